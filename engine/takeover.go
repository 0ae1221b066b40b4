package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// fenceTagBits is the number of low bits of a fencing token that distinguish
// contenders.
const fenceTagBits = 20

// nextFence returns a fencing token above seen that no other instance picks.
func (o *Ownership) nextFence(seen uint64) uint64 {
	tag := xxhash.Sum64String(o.self+"\x00"+o.lease.Incarnation) & (1<<fenceTagBits - 1)
	return (seen>>fenceTagBits+1)<<fenceTagBits | tag
}

func (o *Ownership) updateFence(now time.Time, e FenceRead) []Action {
	s := o.servers[e.Server]
	if s == nil || !s.settings.ChecksFencingTokens {
		return nil
	}
	s.highestFence = max(s.highestFence, e.Fence)
	s.statusSeen = true
	switch {
	case !s.held:
		return nil
	case e.Fence > s.fence:
		o.loseOwnership(now, s)
	case e.Fence == s.fence:
		if e.SentAt.After(s.confirmedAt) {
			s.confirmedAt = e.SentAt
		}
	case now.After(s.notBefore):
		// The engine restarted and lost the token: raise it again.
		s.notBefore = now.Add(o.cfg.RetryDelay)
		return []Action{RaiseFence{Server: e.Server, Fence: s.fence}}
	}
	return nil
}

func (o *Ownership) finishAcquire(now time.Time, e Acquired) {
	s := o.servers[e.Server]
	if s == nil {
		return
	}
	s.notBefore = now.Add(o.cfg.RetryDelay)
	var conflict *chestnutstream.ConflictError
	s.unconfirmed = e.Err != nil && !s.settings.ChecksFencingTokens && !errors.As(e.Err, &conflict)
	if e.Err != nil {
		if errors.Is(e.Err, chestnutstream.ErrFenced) && s.held && s.fence == e.Fence {
			o.loseOwnership(now, s)
		}
		return
	}
	if s.settings.ChecksFencingTokens {
		if e.Fence < s.highestFence {
			return // raised by another instance since
		}
		s.confirmedAt, s.highestFence = e.SentAt, e.Fence
	}
	if !s.held || s.fence != e.Fence {
		s.acquiredAt = now
	}
	s.held, s.releasing, s.fence, s.rowVersion = true, false, e.Fence, e.RowVersion
}

func (o *Ownership) finishRelease(now time.Time, e Released) {
	s := o.servers[e.Server]
	if s == nil || !s.held {
		return
	}
	if e.Err != nil {
		s.releasing = false
		s.notBefore = now.Add(o.cfg.RetryDelay)
		return
	}
	o.loseOwnership(now, s)
	s.notBefore = now.Add(o.cfg.HandoverDelay)
}

// target returns the instance that should own a server.
func (o *Ownership) target(server string) string { return Elect(server, o.alive) }

// vacant reports whether an engine that checks fencing tokens has no owner that
// reported within the timeout, or one that hands it over.
func (o *Ownership) vacant(now time.Time, s *serverOwnership) bool {
	if s.reportingPeer == "" {
		neverOwned := s.statusSeen && s.highestFence == 0
		return neverOwned || now.Sub(o.startedAt) >= o.ownerTimeout
	}
	return s.yielding || now.Sub(s.reportedAt) >= o.ownerTimeout
}

// shouldYield reports whether a server should be handed over: the instance is
// draining, or another instance is the server's target and has been alive for
// HandoverDelay, and this one owns more than its even share.
func (o *Ownership) shouldYield(now time.Time, server string) bool {
	if o.draining {
		return true
	}
	target := o.target(server)
	if target == "" || target == o.self || now.Sub(o.aliveSince[target]) < o.cfg.HandoverDelay {
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

func (o *Ownership) yield(now time.Time, name string, s *serverOwnership) []Action {
	if s.settings.ChecksFencingTokens || s.releasing || now.Before(s.notBefore) || !o.shouldYield(now, name) {
		return nil
	}
	s.releasing = true
	return []Action{ReleaseRow{Server: name, Fence: s.fence, RowVersion: s.rowVersion}}
}

// acquireVacantRows checks the rows of the servers that this instance should
// own and acquires those without an owner or whose owner's lease has not been
// renewed for long enough.
func (o *Ownership) acquireVacantRows(now time.Time, e OwnerRowsRead) []Action {
	var actions []Action
	for _, name := range o.serverNames() {
		s := o.servers[name]
		if s.settings.ChecksFencingTokens || now.Before(s.notBefore) || o.draining {
			continue
		}
		row := e.Owners[name]
		if row.Version != s.attempted {
			s.unconfirmed = s.unconfirmed && row.Owner == o.self
		}
		ours := s.unconfirmed && row.Owner == o.self && row.Incarnation == o.lease.Incarnation
		if kept := s.held && o.kept(s); !kept && (s.held || !ours && o.target(name) != o.self) {
			continue
		}
		if !now.Before(o.lease.ValidUntil) || e.Era != o.lease.Era {
			continue
		}
		if a, ok := o.takeover(now, name, s, e); ok {
			s.notBefore, s.attempted = now.Add(o.cfg.RetryDelay), a.RowVersion
			actions = append(actions, a)
		}
	}
	return actions
}

func (o *Ownership) takeover(now time.Time, name string, s *serverOwnership, e OwnerRowsRead) (AcquireRow, bool) {
	row := e.Owners[name]
	lease := e.Leases[row.Owner]
	acquire := AcquireRow{Server: name, Fence: s.nextRowFence(row, e.Era), RowVersion: row.Version, LeaseVersion: o.lease.Version, Era: e.Era}
	if e.Era > 0 && row.Era != e.Era {
		// The row, or that there is none, is of an earlier era.
		settled := e.EraAge >= o.cfg.LeaseDuration+o.cfg.OrderMargin
		if s.held || row.Version == 0 || row.Era != 0 || !settled {
			return acquire, s.held && now.Before(s.keptUntil) || settled
		}
	} else if s.held {
		o.loseOwnership(now, s) // acquired by another instance, or by this one without a response
	}
	if row.Version == 0 || row.Owner == "" || lease.Version == 0 {
		return acquire, true
	}
	if row.Owner == o.self && row.Incarnation == o.lease.Incarnation {
		return acquire, true // our own acquisition, whose response was lost
	}
	seen := observation{ownerVersion: row.Version}
	if lease.Incarnation == row.Incarnation {
		seen.leaseVersion = lease.Version
	}
	if s.observed.ownerVersion != seen.ownerVersion || s.observed.leaseVersion != seen.leaseVersion {
		seen.since = now
		s.observed = seen
		return AcquireRow{}, false
	}
	if now.Sub(s.observed.since) < o.cfg.LeaseDuration+o.cfg.OrderMargin {
		return AcquireRow{}, false
	}
	if seen.leaseVersion != 0 {
		acquire.OldOwner, acquire.OldLeaseVersion = row.Owner, lease.Version
	}
	return acquire, true
}

// nextRowFence returns a fencing token above all earlier ones, also above those of rows that
// the store lost when it returned from a copy.
func (s *serverOwnership) nextRowFence(row OwnerRow, era uint64) uint64 {
	return max(row.Fence, s.fence, s.reportFence, chestnutstream.RowVersion(era, 0)) + 1
}

// kept reports whether a server is owned by a row of an earlier era than the lease's. The store
// may have lost the row.
func (o *Ownership) kept(s *serverOwnership) bool {
	return !s.settings.ChecksFencingTokens && chestnutstream.VersionEra(s.rowVersion) < o.lease.Era
}

// keepOwned limits the ownership of what is owned at the end of an era to the end of its lease.
func (o *Ownership) keepOwned(now, until time.Time) {
	for _, s := range o.servers {
		switch {
		case s.settings.ChecksFencingTokens || !s.held:
		case s.releasing:
			o.loseOwnership(now, s)
		case !o.kept(s):
			s.keptUntil = until
		}
	}
}

// Elect returns the name that is responsible for key, by rendezvous hashing,
// which gives the same result on every instance with the same names. Of the
// identities of instances only the names are hashed, as in earlier releases. Without
// names the result is empty.
func Elect(key string, names []string) string {
	best, bestHash := "", uint64(0)
	for _, n := range names {
		if h := xxhash.Sum64String(key + "\x00" + chestnutstream.InstanceName(n)); best == "" || h > bestHash || h == bestHash && n < best {
			best, bestHash = n, h
		}
	}
	return best
}
