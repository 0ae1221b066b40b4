package fleet

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Changes of what servers' answers say.
const (
	ChangeLimit      = "limit"
	ChangeLimitEnded = "limit-ended"
	ChangePaused     = "paused"
	ChangeLeaves     = "says-it-leaves"
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
		changes = append(changes, Change{Server: id, What: ChangeLimitEnded, Row: s.Row})
	default:
		changes = append(changes, Change{Server: id, What: ChangeLimit, Row: s.Row, Limit: s.limit.rate})
	}
	if until := now.Add(b.Pause); b.Pause > 0 && until.After(s.pausedTo) {
		s.pausedTo = until
		changes = append(changes, Change{Server: id, What: ChangePaused, Row: s.Row, Pause: b.Pause})
	}
	if b.Leaving {
		changes = append(changes, f.SaysItLeaves(id, s.Born)...)
	}
	return changes
}

// SaysItLeaves takes the word of a start of a server that it leaves, from an
// answer or from another instance. Nothing takes it back; a server that is not
// known yet may come.
func (f *Fleet) SaysItLeaves(id string, born int64) []Change {
	if len(f.leaving) >= goneKept {
		clear(f.leaving)
	}
	f.leaving[id] = born
	return f.leave(f.servers[id])
}

// leave makes a server draining if its answers have said that it leaves.
func (f *Fleet) leave(s *Server) []Change {
	if s == nil || s.State != chestnutstream.BackendReady || !f.Leaving(s) {
		return nil
	}
	s.State = chestnutstream.BackendDraining
	return []Change{{Server: s.ID, What: ChangeLeaves, Row: s.Row}}
}

// Leaving reports whether a server's answers have said that it leaves.
func (f *Fleet) Leaving(s *Server) bool {
	born, said := f.leaving[s.ID]
	return said && born == s.Born
}

// Limit returns how many requests a second a server takes from all instances; 0:
// it has named no limit.
func (s *Server) Limit() float64 { return s.limit.rate }

// Paused returns for how long a server wants nothing from this instance.
func (s *Server) Paused(now time.Time) time.Duration { return max(s.pausedTo.Sub(now), 0) }

// Takes reports whether a server may get new work of this instance now, as far as
// its own word goes.
func (s *Server) Takes(now time.Time) bool { return s.Usable() && s.Paused(now) <= 0 }

// TakesIn returns how long it is until a server of a service, besides those to
// avoid, may get work, where all that may get any want none for now; ok is false
// otherwise.
func (f *Fleet) TakesIn(now time.Time, service string, avoid map[string]bool) (wait time.Duration, ok bool) {
	for _, s := range f.services[service] {
		if !s.Usable() || avoid[s.ID] {
			continue
		}
		pause := s.Paused(now)
		if pause <= 0 {
			return 0, false
		}
		if !ok || pause < wait {
			wait, ok = pause, true
		}
	}
	return wait, ok
}
