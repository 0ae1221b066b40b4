package fleet

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Times of the list of servers.
const (
	// comeBack is how long an entry that lapsed while the store was away may
	// take to come back: the platform says about two seconds.
	comeBack = 2200 * time.Millisecond
	// lapseShadow is how long after the store's return a missing entry may have
	// lapsed for want of the store, and not because the server left: the first
	// read after it shows what lapsed meanwhile.
	lapseShadow = time.Second
)

// Entry is a row of the platform's list of servers, decoded.
type Entry struct {
	Key     string
	Row     uint64
	Removed bool
	Backend chestnutstream.Backend
	Err     error // the entry cannot be read: it names no server to use
}

// Change is a change of what the instance believes of a server.
type Change struct {
	Server string
	What   string // "new", "restarted", "draining", "gone", "missing", "back", "unreadable", "changed", or a Change constant
	Row    uint64
	Err    error
	Limit  float64       // requests a second, from all instances
	Pause  time.Duration // until the server wants something again
}

// StoreFailed notes that the store did not answer a read of the list.
func (f *Fleet) StoreFailed() { f.storeAway = true }

// StoreAnswered notes that the store answered a read of the list. It comes
// before what was read.
func (f *Fleet) StoreAnswered(now time.Time) {
	if f.storeAway {
		f.storeAway, f.storeBack = false, now
	}
}

// Listed takes the whole list of servers as of a version of the store. What is
// not on it has left.
func (f *Fleet) Listed(now time.Time, version uint64, entries []Entry) []Change {
	var changes []Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for _, s := range f.Servers() {
		if !listed[s.ID] {
			changes = append(changes, f.lost(now, s, version)...)
		}
	}
	return append(changes, f.Fed(now, entries)...)
}

// Fed takes changes of the list, in the store's order.
func (f *Fleet) Fed(now time.Time, entries []Entry) []Change {
	var changes []Change
	for _, e := range entries {
		changes = append(changes, f.entry(now, e)...)
	}
	if len(changes) > 0 {
		f.index()
	}
	return changes
}

func (f *Fleet) entry(now time.Time, e Entry) []Change {
	s := f.servers[e.Key]
	if s == nil && e.Row <= f.gone[e.Key] {
		return nil // read before the server was found gone
	}
	switch {
	case s != nil && e.Row < s.Row:
		return nil // an older read
	case s != nil && e.Row == s.Row && s.Missing.IsZero():
		return nil
	case e.Removed:
		if s == nil {
			return nil
		}
		return f.lost(now, s, e.Row)
	case e.Err != nil:
		c := Change{Server: e.Key, What: "unreadable", Row: e.Row, Err: e.Err}
		if s != nil {
			// Another writer's bytes stand where the server's entry was. They say
			// nothing of it; its next entry does.
			s.Row = e.Row
		}
		return []Change{c}
	case s == nil:
		f.servers[e.Key] = newServer(e.Backend, e.Row)
		f.holdsListed(now, f.servers[e.Key])
		return append([]Change{{Server: e.Key, What: "new", Row: e.Row}}, f.leave(f.servers[e.Key])...)
	case e.Backend.Born != s.Born || e.Backend.Address != s.Address || e.Backend.Service != s.Service:
		if e.Backend.Born < s.Born {
			return nil // a late entry of an earlier start
		}
		fresh := newServer(e.Backend, e.Row)
		fresh.InFlight = s.InFlight
		f.servers[e.Key] = fresh
		return append([]Change{{Server: e.Key, What: "restarted", Row: e.Row}}, f.leave(fresh)...)
	}
	return f.updated(s, e)
}

// updated takes a new entry of the same start. A server that drains does not
// become ready again.
func (f *Fleet) updated(s *Server, e Entry) []Change {
	var changes []Change
	if !s.Missing.IsZero() {
		s.Missing = time.Time{}
		changes = append(changes, Change{Server: s.ID, What: "back", Row: e.Row})
	}
	s.Row, s.Misplace = e.Row, false
	if s.State == chestnutstream.BackendReady && e.Backend.State == chestnutstream.BackendDraining {
		s.State = chestnutstream.BackendDraining
		changes = append(changes, Change{Server: s.ID, What: "draining", Row: e.Row})
	}
	s.Models, s.Slots, s.Zone = e.Backend.Models, e.Backend.Slots, e.Backend.Zone
	return changes
}

// lost takes the absence of a server's entry. Just after the store's return the
// entry may have lapsed though the server lives; it may come back until comeBack
// after the return.
func (f *Fleet) lost(now time.Time, s *Server, row uint64) []Change {
	s.Row = max(s.Row, row)
	if s.State == chestnutstream.BackendReady && !f.storeBack.IsZero() && now.Sub(f.storeBack) < lapseShadow {
		if !s.Missing.IsZero() {
			return nil
		}
		s.Missing = f.storeBack
		return []Change{{Server: s.ID, What: "missing", Row: row}}
	}
	f.drop(s)
	f.index()
	return []Change{{Server: s.ID, What: "gone", Row: row}}
}

// Unsettled reports whether entries may have lapsed because the store was away.
func (f *Fleet) Unsettled(now time.Time) bool {
	return f.storeAway || (!f.storeBack.IsZero() && now.Sub(f.storeBack) < lapseShadow)
}

// goneKept bounds how many servers are remembered that have gone.
const goneKept = 4096

// drop forgets a server but for the row at which it was found gone.
func (f *Fleet) drop(s *Server) {
	delete(f.servers, s.ID)
	if len(f.gone) >= goneKept {
		clear(f.gone)
	}
	f.gone[s.ID] = s.Row
}

// Tick drops servers whose entries did not come back, and lets those be tried
// again that were found elsewhere.
func (f *Fleet) Tick(now time.Time) []Change {
	var changes []Change
	for _, s := range f.servers {
		if s.Misplace && now.Sub(s.misplacedAt) > misplacedFor {
			s.Misplace = false
		}
		if !s.Missing.IsZero() && now.Sub(s.Missing) > comeBack {
			f.drop(s)
			changes = append(changes, Change{Server: s.ID, What: "gone", Row: s.Row})
		}
	}
	if len(changes) > 0 {
		f.index()
	}
	return changes
}
