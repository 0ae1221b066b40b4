package fleet

import (
	"math"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Changes caused by the backpressure that servers signal in their responses.
const (
	ChangeLimit      = "limit"
	ChangeLimitEnded = "limit-ended"
	ChangePaused     = "paused"
	ChangeLeaving    = "says-it-leaves"
)

// rateLimit is the latest limit that a server has signalled for the requests of
// all instances together.
type rateLimit struct {
	rate     float64   // requests a second; 0: no limit
	at       time.Time // when the server signalled it
	reported float64   // rate of the latest Change
}

// Parameters of rate limits.
const (
	// minLimitChange is the relative change of a limit that counts as a Change.
	minLimitChange = 0.05
	// backpressureTTL is how long after its latest limit a server counts as
	// signalling backpressure: its engine loads no adapters while another one can.
	backpressureTTL = 5 * time.Second
	// maxRejectionWait is the longest Retry-After given to requests rejected because
	// of a limit, unless the wait for a permit is longer.
	maxRejectionWait = 3 * time.Second
)

// update applies the limit in the response to a request sent at sentAt. Responses
// overtake one another: a missing or higher limit counts only if its request was
// sent after the latest limit was received.
func (l *rateLimit) update(now, sentAt time.Time, b chestnutstream.Backpressure) {
	switch {
	case b.RateLimit == 0 && !b.Unlimited:
	case b.RateLimit > 0 && (l.rate == 0 || b.RateLimit <= l.rate):
		l.rate, l.at = b.RateLimit, now
	case sentAt.After(l.at):
		l.rate, l.at = b.RateLimit, sentAt
	}
}

// RecordBackpressure applies the backpressure in a server's response to a request
// that this instance sent at sentAt. It returns the changes that follow.
func (f *Fleet) RecordBackpressure(now, sentAt time.Time, id string, b chestnutstream.Backpressure) []Change {
	s := f.servers[id]
	if s == nil {
		return nil
	}
	var changes []Change
	s.limit.update(now, sentAt, b)
	changes = append(changes, s.limitChanged()...)
	if until := now.Add(b.RetryAfter); b.RetryAfter > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
		changes = append(changes, Change{Server: id, What: ChangePaused, RowVersion: s.RowVersion, Pause: b.RetryAfter})
	}
	changes = append(changes, f.recordBrittleness(now, sentAt, s, b)...)
	if b.Leaving {
		changes = append(changes, f.RecordLeaving(id, s.Born)...)
	}
	return changes
}

// limitChanged returns the change of the server's limit since the latest reported
// one, if it is large enough.
func (s *Server) limitChanged() []Change {
	l := &s.limit
	if math.Abs(l.rate-l.reported) <= minLimitChange*l.reported && (l.rate > 0) == (l.reported > 0) {
		return nil
	}
	l.reported = l.rate
	if l.rate == 0 {
		return []Change{{Server: s.ID, What: ChangeLimitEnded, RowVersion: s.RowVersion}}
	}
	return []Change{{Server: s.ID, What: ChangeLimit, RowVersion: s.RowVersion, Limit: l.rate}}
}

// RecordPeerLimit applies a server's limit that another instance has received. born
// names the start of the server; at is when the server signalled the limit.
func (f *Fleet) RecordPeerLimit(id string, born int64, at time.Time, rate float64) []Change {
	s := f.servers[id]
	if s == nil || s.Born != born || !at.After(s.limit.at) {
		return nil
	}
	s.limit.rate, s.limit.at = rate, at
	return s.limitChanged()
}

// RecordLeaving records that a start of a server has signalled that it leaves, in a
// response to this or another instance. This is never revoked. The server may be
// one that is not in the list yet.
func (f *Fleet) RecordLeaving(id string, born int64) []Change {
	f.leaving.put(id, born)
	return f.applyLeaving(f.servers[id])
}

// applyLeaving sets a server to draining if it has signalled that it leaves. s may
// be nil.
func (f *Fleet) applyLeaving(s *Server) []Change {
	if s == nil || s.State != chestnutstream.BackendReady || !f.Leaving(s) {
		return nil
	}
	s.State = chestnutstream.BackendDraining
	return []Change{{Server: s.ID, What: ChangeLeaving, RowVersion: s.RowVersion}}
}

// Leaving reports whether a server has signalled in a response that it leaves.
func (f *Fleet) Leaving(s *Server) bool {
	born, ok := f.leaving.get(s.ID)
	return ok && born == s.Born
}

// Limit returns a server's limit for the requests of all instances together, in
// requests a second, and when it was last signalled. The rate is 0 if there is
// none.
func (s *Server) Limit() (rate float64, at time.Time) { return s.limit.rate, s.limit.at }

// backpressured reports whether a server has signalled a limit within
// backpressureTTL.
func (s *Server) backpressured(now time.Time) bool {
	return s.limit.rate > 0 && now.Sub(s.limit.at) < backpressureTTL
}

// RecordNoPermit records that no permit for a server with a limit is available for the
// duration wait.
func (f *Fleet) RecordNoPermit(now time.Time, id string, wait time.Duration) {
	if s := f.servers[id]; s != nil {
		s.permitRetryAt, s.permitWait, s.rejected = now.Add(wait), wait, 0
	}
}

// Paused returns for how long a server is still paused by Retry-After.
func (s *Server) Paused(now time.Time) time.Duration { return max(s.pausedUntil.Sub(now), 0) }

// blockedFor returns for how long this instance sends no requests to a server: it
// is paused, or there is no permit.
func (s *Server) blockedFor(now time.Time) time.Duration {
	return max(s.Paused(now), s.permitRetryAt.Sub(now))
}

// Unpaused reports whether a server is usable and not paused by Retry-After. A
// request to a server with a limit still needs a permit.
func (s *Server) Unpaused(now time.Time) bool { return s.Usable() && s.Paused(now) <= 0 }

// Available reports whether a server may get a request of this instance now, as far as
// is known before a permit request.
func (s *Server) Available(now time.Time) bool { return s.Usable() && s.blockedFor(now) <= 0 }

// AvailableIn returns the time until a server of a service, besides those to avoid,
// may get a request. ok is false if one may get a request now or none is usable.
func (f *Fleet) AvailableIn(now time.Time, service string, avoid map[string]bool) (wait time.Duration, ok bool) {
	for _, s := range f.services[service] {
		if !s.Usable() || avoid[s.ID] {
			continue
		}
		blocked := s.blockedFor(now)
		if blocked <= 0 {
			return 0, false
		}
		if !ok || blocked < wait {
			wait, ok = blocked, true
		}
	}
	return wait, ok
}

// RecordRejection records that a request is rejected because no server of its service
// takes requests for the duration wait, and returns the request's Retry-After.
// This instance gets about one permit per permit wait, so the requests rejected
// during the same wait get increasing times.
func (f *Fleet) RecordRejection(now time.Time, service string, wait time.Duration) time.Duration {
	for _, s := range f.services[service] {
		if s.Usable() && s.blockedFor(now) == wait && s.permitRetryAt.Sub(now) == wait {
			s.rejected++
			return min(wait+time.Duration(s.rejected-1)*s.permitWait, max(maxRejectionWait, wait))
		}
	}
	return wait
}
