package software

import (
	"slices"
	"time"
)

// Versions records which software versions of each service may have begun streams that
// callers can still take up. Times are readings of the boot clock.
type Versions struct {
	retention time.Duration
	services  map[string]*serviceVersions
}

type serviceVersions struct {
	seenAt map[string]time.Duration // by version: when a server of it was last listed
}

// NewVersions returns an empty record. A version counts for the retention time after its
// last server was listed.
func NewVersions(retention time.Duration) *Versions {
	return &Versions{retention: retention, services: map[string]*serviceVersions{}}
}

// SetRetention changes the retention time.
func (v *Versions) SetRetention(d time.Duration) { v.retention = d }

func (v *Versions) service(name string) *serviceVersions {
	s := v.services[name]
	if s == nil {
		s = &serviceVersions{seenAt: map[string]time.Duration{}}
		v.services[name] = s
	}
	return s
}

// Observe records the versions of the listed servers, by service.
func (v *Versions) Observe(now time.Duration, listed map[string]map[string]bool) {
	for name, versions := range listed {
		s := v.service(name)
		for version := range versions {
			s.seenAt[version] = now
		}
	}
	for _, s := range v.services {
		for version, at := range s.seenAt {
			if now-at > v.retention {
				delete(s.seenAt, version)
			}
		}
	}
}

// possible returns the versions that may have begun streams, in order.
func (s *serviceVersions) possible(now, retention time.Duration) []string {
	var out []string
	for version, at := range s.seenAt {
		if now-at <= retention {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// Sole returns the version that has begun every stream of a service that callers may
// still take up; ok is false if there may be several, or if it is unknown.
func (v *Versions) Sole(now time.Duration, service string) (version string, ok bool) {
	s := v.services[service]
	if s == nil {
		return "", false
	}
	possible := s.possible(now, v.retention)
	if len(possible) != 1 || possible[0] == "" {
		return "", false
	}
	return possible[0], true
}

// Mixed reports whether several versions of a service may have begun streams.
func (v *Versions) Mixed(now time.Duration, service string) bool {
	s := v.services[service]
	return s != nil && len(s.possible(now, v.retention)) > 1
}
