package fleet

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Changes of a service whose servers are brittle: they crash when they have to reject too
// many requests in a second.
const (
	ChangeBrittle      = "brittle"
	ChangeBrittleEnded = "brittle-ended"
)

// brittleness is what the servers of a service signal, since all of them do.
type brittleness struct {
	maxRejections int // of one server in a second
	at            time.Time
}

// Parameters of brittle servers.
const (
	rejectionWindow = time.Second
	// rejectionShare is the share of the rejections that a server bears after which no
	// instance sends requests to it for the rest of the window.
	rejectionShare = 0.4
)

// recordBrittleness applies what a response to a request that was sent at sentAt signals.
func (f *Fleet) recordBrittleness(now, sentAt time.Time, s *Server, b chestnutstream.Backpressure) []Change {
	old, brittle := f.brittle[s.Service]
	switch {
	case b.Brittle:
		f.brittle[s.Service] = brittleness{b.MaxRejections, now}
		if !brittle || old.maxRejections != b.MaxRejections {
			return []Change{{Server: s.ID, What: ChangeBrittle, RowVersion: s.RowVersion}}
		}
	case b.Sturdy && brittle && sentAt.After(old.at):
		delete(f.brittle, s.Service)
		return []Change{{Server: s.ID, What: ChangeBrittleEnded, RowVersion: s.RowVersion}}
	}
	return nil
}

// Brittle reports whether the servers of a service are brittle, how many rejections one of
// them bears in a second, and when that was last signalled.
func (f *Fleet) Brittle(service string) (maxRejections int, at time.Time, ok bool) {
	b, ok := f.brittle[service]
	return b.maxRejections, b.at, ok
}

// BrittleServices returns the services whose servers are brittle.
func (f *Fleet) BrittleServices() []string {
	var out []string
	for name := range f.brittle {
		out = append(out, name)
	}
	return out
}

// RecordPeerBrittle applies what another instance knows of a service, as of at.
func (f *Fleet) RecordPeerBrittle(service string, at time.Time, brittle bool, maxRejections int) {
	if old := f.brittle[service]; !at.After(old.at) {
		return
	}
	if brittle {
		f.brittle[service] = brittleness{maxRejections, at}
	} else {
		delete(f.brittle, service)
	}
}

// RecordRejectionOf records that a brittle server rejected a request of any instance. It
// reports whether the server gets no more requests for a while.
func (f *Fleet) RecordRejectionOf(now time.Time, id string) bool {
	s := f.servers[id]
	if s == nil {
		return false
	}
	b, brittle := f.brittle[s.Service]
	if !brittle {
		return false
	}
	recent := s.rejections[:0]
	for _, at := range s.rejections {
		if now.Sub(at) < rejectionWindow {
			recent = append(recent, at)
		}
	}
	s.rejections = append(recent, now)
	if float64(len(s.rejections)) < rejectionShare*float64(b.maxRejections) {
		return false
	}
	f.RecordNoPermit(now, id, s.rejections[0].Add(rejectionWindow).Sub(now))
	return true
}
