package fleet

import "time"

// unreachable reports whether the latest new connections of this instance to a server, or
// to the servers of its availability zone, have failed. Older connections may live on.
func (f *Fleet) unreachable(s *Server) bool {
	z := f.zones[s.Zone]
	return s.detector.unreachable() || (z != nil && z.unreachable())
}

func (d *outlierDetector) unreachable() bool { return d.dialFailures >= d.connFailureLimit() }

// IsUnreachable reports whether the latest new connections to a server have failed.
func (f *Fleet) IsUnreachable(id string) bool {
	s := f.servers[id]
	return s != nil && f.unreachable(s)
}

// CutOff reports whether a service has usable servers and this instance reaches none.
func (f *Fleet) CutOff(service string) bool {
	unreachable, usable := f.Reachability(service)
	return usable > 0 && unreachable == usable
}

// Reachability returns how many usable servers a service has, and how many of them this
// instance does not reach.
func (f *Fleet) Reachability(service string) (unreachable, usable int) {
	for _, s := range f.services[service] {
		if !s.Usable() {
			continue
		}
		usable++
		if f.unreachable(s) {
			unreachable++
		}
	}
	return unreachable, usable
}

// Unreachable returns the usable servers of a service that this instance does not reach.
func (f *Fleet) Unreachable(service string) []*Server {
	var out []*Server
	for _, s := range f.services[service] {
		if s.Usable() && f.unreachable(s) {
			out = append(out, s)
		}
	}
	return out
}

// RecordConnection records whether a new connection to a server could be opened.
func (f *Fleet) RecordConnection(now time.Time, id string, ok bool) {
	s := f.servers[id]
	if s == nil {
		return
	}
	if !ok {
		s.detector.recordPick(now)
		return
	}
	s.detector.recordConnected()
	if z := f.zones[s.Zone]; z != nil {
		z.recordConnected()
	}
}

func (d *outlierDetector) recordConnected() {
	d.connFailures, d.dialFailures, d.backoffUntil = 0, 0, time.Time{}
}

// Services returns the names of the services that have servers.
func (f *Fleet) Services() []string {
	var out []string
	for name := range f.services {
		out = append(out, name)
	}
	return out
}
