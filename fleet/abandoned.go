package fleet

import (
	"slices"
	"time"
)

// Parameters of requests that ended at this instance before their server's response did:
// servers may finish them all the same.
const (
	longestDecay     = 64   // of the longest duration, by a part of so many with each request
	abandonedMargin  = 1.25 // on the longest duration
	maxAbandonedTime = 10 * time.Second
)

// RecordDuration records how long a request to a server took that the server has finished.
func (f *Fleet) RecordDuration(id string, took time.Duration) {
	if s := f.servers[id]; s != nil {
		s.longest = max(took, s.longest-s.longest/longestDecay)
	}
}

// RecordAbandoned records that a request to a server has ended at this instance after the
// time took, though the server may still work on it. It returns how long it counts as in
// progress there: as long as the longest request takes or, if this one has taken longer, the
// time left until the deadline that the server knows.
func (f *Fleet) RecordAbandoned(now time.Time, id string, took, left time.Duration) time.Duration {
	s := f.servers[id]
	if s == nil {
		return 0
	}
	remaining := min(left, maxAbandonedTime)
	if took < s.longest {
		remaining = min(remaining, time.Duration(abandonedMargin*float64(s.longest))-took)
	}
	remaining = max(remaining, 0)
	s.abandoned = append(s.abandoned, now.Add(remaining))
	return remaining
}

// Abandoned returns the requests of this instance that have ended here and that the server
// may still work on.
func (s *Server) Abandoned(now time.Time) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(end time.Time) bool { return !end.After(now) })
	return len(s.abandoned)
}
