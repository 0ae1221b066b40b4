package fleet

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// limit is the newest word of a server on how many requests a second it takes
// from all instances together.
type limit struct {
	rate float64   // 0: it names none
	at   time.Time // of that word
}

// said takes an answer to a request that was sent at began. Answers overtake one
// another: one that names no limit, or a higher one, counts only if its request
// was sent after the newest word was heard.
func (l *limit) said(now, began time.Time, b chestnutstream.Backpressure) {
	switch {
	case b.Limit == 0 && !b.Unlimited:
	case b.Limit > 0 && (l.rate == 0 || b.Limit <= l.rate):
		l.rate, l.at = b.Limit, now
	case began.After(l.at):
		l.rate, l.at = b.Limit, began
	}
}

// Said takes what a server's answer says of the work that it wants, to a request
// of this instance that was sent at began. It returns what that changes.
func (f *Fleet) Said(now, began time.Time, id string, b chestnutstream.Backpressure) []Change {
	s := f.servers[id]
	if s == nil {
		return nil
	}
	var changes []Change
	before := s.limit.rate
	s.limit.said(now, began, b)
	switch {
	case s.limit.rate == before:
	case s.limit.rate == 0:
		changes = append(changes, Change{Server: id, What: "limit-ended", Row: s.Row})
	default:
		changes = append(changes, Change{Server: id, What: "limit", Row: s.Row, Limit: s.limit.rate})
	}
	if until := began.Add(b.Pause); b.Pause > 0 && until.After(s.pausedTo) {
		s.pausedTo = until
		changes = append(changes, Change{Server: id, What: "paused", Row: s.Row, Pause: b.Pause})
	}
	if b.Leaving && !s.leaves {
		s.leaves = true
		changes = append(changes, Change{Server: id, What: "says-it-leaves", Row: s.Row})
	}
	return changes
}

// Limit returns how many requests a second a server takes from all instances; 0:
// it has named no limit.
func (s *Server) Limit() float64 { return s.limit.rate }

// Paused returns for how long a server wants nothing from this instance.
func (s *Server) Paused(now time.Time) time.Duration { return max(s.pausedTo.Sub(now), 0) }
