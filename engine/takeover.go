package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// fenceBits are the low bits of a fencing number that tell contenders apart.
const fenceBits = 20

// nextFence returns a fencing number above seen that no other instance picks.
func (o *Ownership) nextFence(seen uint64) uint64 {
	tag := xxhash.Sum64String(o.self+"\x00"+o.lease.Incarnation) & (1<<fenceBits - 1)
	return (seen>>fenceBits+1)<<fenceBits | tag
}

func (o *Ownership) fenceSeen(now time.Time, e FenceSeen) []Action {
	s := o.servers[e.Server]
	if s == nil || !s.settings.ChecksFences {
		return nil
	}
	s.seenFence = max(s.seenFence, e.Fence)
	s.statusSeen = true
	switch {
	case !s.held:
		return nil
	case e.Fence > s.fence:
		o.lose(now, s)
	case e.Fence == s.fence:
		if e.SentAt.After(s.confirmedAt) {
			s.confirmedAt = e.SentAt
		}
	case now.After(s.notBefore):
		// The engine restarted empty and forgot the number: raise it again.
		s.notBefore = now.Add(o.cfg.RetryAfter)
		return []Action{RaiseFence{Server: e.Server, Fence: s.fence}}
	}
	return nil
}

func (o *Ownership) acquired(now time.Time, e Acquired) {
	s := o.servers[e.Server]
	if s == nil {
		return
	}
	s.notBefore = now.Add(o.cfg.RetryAfter)
	if e.Err != nil {
		if errors.Is(e.Err, chestnutstream.ErrFenced) && s.held && s.fence == e.Fence {
			o.lose(now, s)
		}
		return
	}
	if s.settings.ChecksFences {
		if e.Fence < s.seenFence {
			return // raised again by another since
		}
		s.confirmedAt, s.seenFence = e.SentAt, e.Fence
	}
	if !s.held || s.fence != e.Fence {
		s.acquiredAt = now
	}
	s.held, s.released, s.fence, s.rowVersion = true, false, e.Fence, e.RowVersion
}

func (o *Ownership) releasedRow(now time.Time, e Released) {
	s := o.servers[e.Server]
	if s == nil || !s.held {
		return
	}
	if e.Err != nil {
		s.released = false
		s.notBefore = now.Add(o.cfg.RetryAfter)
		return
	}
	o.lose(now, s)
	s.notBefore = now.Add(o.cfg.Settle)
}

// target returns the instance that should own a server.
func (o *Ownership) target(server string) string { return Elect(server, o.alive) }

// vacant reports whether an engine that checks fences has no owner that was
// heard of lately, or one that hands it over.
func (o *Ownership) vacant(now time.Time, s *ownedBy) bool {
	if s.reporter == "" {
		neverOwned := s.statusSeen && s.seenFence == 0
		return neverOwned || now.Sub(o.startedAt) >= o.unheard
	}
	return s.yielding || now.Sub(s.reportedAt) >= o.unheard
}

// wantsToYield reports whether a server should be handed over: the instance is
// leaving, or another is its target, has been there for a while, and this one
// holds more than its even share.
func (o *Ownership) wantsToYield(now time.Time, server string) bool {
	if o.draining {
		return true
	}
	target := o.target(server)
	if target == "" || target == o.self || now.Sub(o.aliveSince[target]) < o.cfg.Settle {
		return false
	}
	held := 0
	for _, s := range o.servers {
		if s.held {
			held++
		}
	}
	return held > (len(o.servers)+len(o.alive)-1)/max(1, len(o.alive))
}

func (o *Ownership) yield(now time.Time, name string, s *ownedBy) []Action {
	if s.settings.ChecksFences || s.released || now.Before(s.notBefore) || !o.wantsToYield(now, name) {
		return nil
	}
	s.released = true
	return []Action{ReleaseRow{Server: name, Fence: s.fence, RowVersion: s.rowVersion}}
}

// ownersRead watches the rows of the servers that this instance should own and
// takes over those whose lease has stood still for long enough.
func (o *Ownership) ownersRead(now time.Time, e OwnersRead) []Action {
	var actions []Action
	for _, name := range o.names() {
		s := o.servers[name]
		if s.settings.ChecksFences || s.held || now.Before(s.notBefore) || o.draining || o.target(name) != o.self {
			continue
		}
		if !now.Before(o.lease.ValidUntil) {
			continue
		}
		if a, ok := o.takeover(now, name, s, e); ok {
			s.notBefore = now.Add(o.cfg.RetryAfter)
			actions = append(actions, a)
		}
	}
	return actions
}

func (o *Ownership) takeover(now time.Time, name string, s *ownedBy, e OwnersRead) (AcquireRow, bool) {
	row := e.Owners[name]
	lease := e.Leases[row.Owner]
	take := AcquireRow{Server: name, Fence: row.Fence + 1, RowVersion: row.Version, MyLease: o.lease.Version}
	if row.Version == 0 || row.Owner == "" || lease.Version == 0 {
		return take, true
	}
	if row.Owner == o.self && row.Incarnation == o.lease.Incarnation {
		return take, true // our own acquisition, whose answer was lost
	}
	seen := observation{owner: row.Version}
	if lease.Incarnation == row.Incarnation {
		seen.lease = lease.Version
	}
	if s.watched.owner != seen.owner || s.watched.lease != seen.lease {
		seen.since = now
		s.watched = seen
		return AcquireRow{}, false
	}
	if now.Sub(s.watched.since) < o.cfg.LeaseDuration+o.cfg.OrderFlight {
		return AcquireRow{}, false
	}
	if seen.lease != 0 {
		take.OldOwner, take.OldLease = row.Owner, lease.Version
	}
	return take, true
}

// Elect returns the one of the names that looks after key, by rendezvous
// hashing: the same on every instance that sees the same names. Without names it
// is empty.
func Elect(key string, names []string) string {
	best, bestHash := "", uint64(0)
	for _, n := range names {
		if h := xxhash.Sum64String(key + "\x00" + n); best == "" || h > bestHash || h == bestHash && n < best {
			best, bestHash = n, h
		}
	}
	return best
}
