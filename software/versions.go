package software

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// maxObservationGap is the longest time between two observations of the list of servers
// in between which a version counts as absent throughout.
const maxObservationGap = 5 * time.Second

// writeStagger is the time after which the next instance in order writes a row that the
// instance before it should have written.
const writeStagger = 300 * time.Millisecond

// Versions records which software versions of each service may have begun streams that
// callers can still take up. Times are readings of the boot clock.
type Versions struct {
	retention time.Duration
	era       uint64 // of the newest snapshot of the store
	services  map[string]*serviceVersions
}

type serviceVersions struct {
	row         Row                      // as last read or written, with the versions that the store has lost since
	stored      []string                 // versions of the row in the store
	malformed   uint64                   // revision of a malformed or foreign row in its place; 0: there is none
	listed      map[string]bool          // versions of the listed servers
	seenAt      map[string]time.Duration // by version: when a server of it was last listed
	absentSince map[string]time.Duration // by version of the row that no listed server has
	observedAt  time.Duration
	changeSince time.Duration // since when the row is to be changed; 0: it is not
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
		s = &serviceVersions{listed: map[string]bool{}, seenAt: map[string]time.Duration{}, absentSince: map[string]time.Duration{}}
		v.services[name] = s
	}
	return s
}

// Observe records the versions of the listed servers, by service.
func (v *Versions) Observe(now time.Duration, listed map[string]map[string]bool) {
	for name := range listed {
		v.service(name)
	}
	for name, s := range v.services {
		s.observe(now, v.retention, listed[name])
	}
}

func (s *serviceVersions) observe(now, retention time.Duration, listed map[string]bool) {
	if now-s.observedAt > maxObservationGap {
		clear(s.absentSince)
	}
	s.observedAt, s.listed = now, listed
	for version := range listed {
		s.seenAt[version] = now
		delete(s.absentSince, version)
	}
	for _, version := range s.row.Versions {
		if _, ok := s.absentSince[version]; !ok && !listed[version] {
			s.absentSince[version] = now
		}
	}
	maps.DeleteFunc(s.seenAt, func(_ string, at time.Duration) bool { return now-at > retention })
}

// ApplyRow records a row as it was read or written. Older ones are ignored. A row of a
// later era may lack versions that the store has lost: they are kept, to be written again.
func (v *Versions) ApplyRow(r Row) {
	s := v.service(r.Service)
	if r.Revision <= s.revision() || chestnutstream.VersionEra(r.Revision) < v.era {
		return
	}
	stored := r.Versions
	if s.lostVersions() || chestnutstream.VersionEra(r.Revision) > chestnutstream.VersionEra(s.row.Revision) {
		r.Versions = union(r.Versions, s.row.Versions)
	}
	s.row, s.stored, s.malformed, s.changeSince = r, stored, 0, 0
}

// lostVersions reports whether the store has lost versions of the row.
func (s *serviceVersions) lostVersions() bool { return !slices.Equal(s.row.Versions, s.stored) }

// union returns the elements of both slices, in order.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// LoseRows records a snapshot of the store at a version, by the keys of its rows. The rows
// of earlier eras that it lacks are to be written again.
func (v *Versions) LoseRows(version uint64, keys map[string]bool) {
	v.era = max(v.era, chestnutstream.VersionEra(version))
	for name, s := range v.services {
		if chestnutstream.VersionEra(s.revision()) < chestnutstream.VersionEra(version) && !keys[RowKey(name)] {
			s.row.Revision, s.stored, s.malformed, s.changeSince = 0, nil, 0, 0
		}
	}
}

// ApplyMalformed records that the row of a service cannot be decoded. It says nothing of
// the service, and is to be replaced.
func (v *Versions) ApplyMalformed(service string, revision uint64) {
	if s := v.service(service); revision > s.revision() {
		s.malformed = revision
	}
}

// revision returns the version of the row in the store, as far as it is known.
func (s *serviceVersions) revision() uint64 { return max(s.row.Revision, s.malformed) }

// Rows returns the known rows, in the order of their services.
func (v *Versions) Rows() []Row {
	var out []Row
	for _, name := range slices.Sorted(maps.Keys(v.services)) {
		if r := v.services[name].row; r.Revision > 0 {
			out = append(out, r)
		}
	}
	return out
}

// KnownRows reports whether a row is known, and whether one of them has several versions.
func (v *Versions) KnownRows() (known, several bool) {
	for _, s := range v.services {
		known = known || s.row.Revision > 0
		several = several || len(s.row.Versions) > 1
	}
	return known, several
}

// Registered reports whether a version is in the row of its service. A resumable stream
// begins on registered versions only: after an end of all instances, the row alone tells
// which versions may have begun it.
func (v *Versions) Registered(service, version string) bool {
	s := v.services[service]
	return s != nil && slices.Contains(s.row.Versions, version)
}

// AllRegistered reports whether the versions of all listed servers are registered.
func (v *Versions) AllRegistered(service string) bool {
	s := v.services[service]
	if s == nil {
		return false
	}
	for version := range s.listed {
		if !slices.Contains(s.row.Versions, version) {
			return false
		}
	}
	return true
}

// Changes returns the rows to be written, each to be applied if the row still has its
// Revision. Versions are added once they are listed, and removed when none of their
// servers has been listed for the retention time. slot returns the position of this
// instance in the order in which the instances write a service's row.
func (v *Versions) Changes(now time.Duration, slot func(service string) int) []Row {
	var out []Row
	for _, name := range slices.Sorted(maps.Keys(v.services)) {
		s := v.services[name]
		versions := s.wanted(now, v.retention)
		if len(versions) == 0 || (slices.Equal(versions, s.stored) && s.malformed == 0) {
			s.changeSince = 0
			continue
		}
		if s.changeSince == 0 {
			s.changeSince = now
		}
		if now-s.changeSince >= time.Duration(slot(name))*writeStagger {
			out = append(out, Row{Service: name, Versions: versions, Revision: s.revision()})
		}
	}
	return out
}

// wanted returns the versions that the row is to have, in order: those that it has, while
// no server is listed.
func (s *serviceVersions) wanted(now, retention time.Duration) []string {
	if len(s.listed) == 0 {
		return s.row.Versions
	}
	versions := maps.Clone(s.listed)
	for _, version := range s.row.Versions {
		if since, absent := s.absentSince[version]; !absent || now-since <= retention {
			versions[version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// possible returns the versions that may have begun streams.
func (s *serviceVersions) possible(now, retention time.Duration) map[string]bool {
	out := map[string]bool{}
	for _, version := range s.row.Versions {
		out[version] = true
	}
	for version, at := range s.seenAt {
		if now-at <= retention {
			out[version] = true
		}
	}
	return out
}

// Sole returns the version that has begun every stream of a service that callers may
// still take up; ok is false if there may be several, or while the row is not known. Streams
// that began after the row was last applied may have another version.
func (v *Versions) Sole(now time.Duration, service string) (version string, ok bool) {
	s := v.services[service]
	if s == nil || s.row.Revision == 0 {
		return "", false
	}
	possible := slices.Collect(maps.Keys(s.possible(now, v.retention)))
	if len(possible) != 1 || possible[0] == "" {
		return "", false
	}
	return possible[0], true
}

// MixedServices returns the number of services for which Mixed reports true.
func (v *Versions) MixedServices(now time.Duration) int {
	count := 0
	for name := range v.services {
		if v.Mixed(now, name) {
			count++
		}
	}
	return count
}

// Mixed reports whether several versions of a service may have begun streams.
func (v *Versions) Mixed(now time.Duration, service string) bool {
	s := v.services[service]
	return s != nil && len(s.possible(now, v.retention)) > 1
}
