package engine

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// OwnershipSettings are the times of ownership.
type OwnershipSettings struct {
	LeaseDuration time.Duration // an observer waits this long on an unchanged lease row
	OrderFlight   time.Duration // and this long more, for orders under way
	FenceValidity time.Duration // how long a status read with our fencing number confirms it
	Unheard       time.Duration // an owner that checks fences is replaced after this silence
	RetryAfter    time.Duration // pause after a failed or lost acquisition
	ReadPeriod    time.Duration // between reads of the ownership rows, while they matter
	Settle        time.Duration // a newly seen set of peers stands this long before servers are handed over
}

// DefaultOwnershipSettings returns the times in use. leaseDuration is the
// platform's lease duration.
func DefaultOwnershipSettings(leaseDuration time.Duration) OwnershipSettings {
	return OwnershipSettings{
		LeaseDuration: leaseDuration, OrderFlight: 2500 * time.Millisecond, FenceValidity: 3 * time.Second,
		Unheard: 4 * time.Second, RetryAfter: time.Second, ReadPeriod: time.Second, Settle: 10 * time.Second,
	}
}

// Ownership decides which backend servers of its availability zone an instance
// owns. Only the owner of a server gives it load and unload orders.
//
// There are two registers. An engine that refuses old fencing numbers is its
// own register: an owner raises the number, and each status read that still
// shows it confirms the ownership for FenceValidity; the table service is not
// needed. For an engine that ignores fencing numbers the register is a row of
// the table service that refers to the instance's lease.
//
// Invariant: Valid is true on at most one instance for an engine that ignores
// fencing numbers. For one that checks them, orders of an owner that was
// replaced are refused by the engine itself.
type Ownership struct {
	cfg        OwnershipSettings
	self       string
	startedAt  time.Time
	draining   bool
	unheard    time.Duration
	alive      []string
	aliveSince map[string]time.Time
	lease      LeaseHeld
	leaseSince time.Time // start of the current uninterrupted validity
	servers    map[string]*ownedBy
	readAt     time.Time
}

type ownedBy struct {
	settings    chestnutstream.ServerSettings
	held        bool
	fence       uint64
	seenFence   uint64
	statusSeen  bool
	acquiredAt  time.Time
	confirmedAt time.Time
	rowVersion  uint64
	released    bool
	notBefore   time.Time // no new attempt before this
	reporter    string    // the peer that last reported it as its own
	reportedAt  time.Time
	reportFence uint64
	yielding    bool // that peer wants to hand it over
	watched     observation
}

// observation is a pair of row versions and since when it has been seen.
type observation struct {
	owner, lease uint64
	since        time.Time
}

// Events of Ownership.
type (
	// ZoneServers names the engines of the instance's zone.
	ZoneServers struct {
		Servers []chestnutstream.ServerSettings
	}
	// PeerOwns is a peer's report of a server that it owns.
	PeerOwns struct {
		Peer     string
		Server   string
		Fence    uint64
		Yielding bool
	}
	// PeerStillOwns renews a peer's earlier report.
	PeerStillOwns struct{ Peer, Server string }
	// LeaseHeld is the state of the instance's own lease.
	LeaseHeld struct {
		ValidUntil  time.Time
		Version     uint64
		Incarnation string // changes when another instance ended the lease
	}
	// OwnersRead is a read of the ownership rows and of the leases that they
	// refer to.
	OwnersRead struct {
		Owners map[string]OwnerRow // by server
		Leases map[string]LeaseRow // by instance
	}
	// FenceSeen is the fencing number that a status read showed.
	FenceSeen struct {
		Server string
		Fence  uint64
		SentAt time.Time
	}
	// Acquired is the result of AcquireRow or RaiseFence.
	Acquired struct {
		Server     string
		Fence      uint64
		RowVersion uint64
		SentAt     time.Time
		Err        error
	}
	// Released is the result of ReleaseRow.
	Released struct {
		Server string
		Err    error
	}
	// Drain says that the instance is leaving.
	Drain struct{}
	// ZoneTick passes the time. Alive are the instances of the zone that were
	// heard lately and are not leaving, this one included.
	ZoneTick struct {
		Alive   []string
		Unheard time.Duration // raises the silence after which an owner is replaced; 0: as set
	}
)

// OwnerRow is an ownership row of the table service.
type OwnerRow struct {
	Owner       string // empty: released
	Incarnation string
	Fence       uint64
	Version     uint64
}

// LeaseRow is a lease row of the table service.
type LeaseRow struct {
	Incarnation string
	Version     uint64
}

// Actions of Ownership.
type (
	// ReadOwners asks for OwnersRead of these servers.
	ReadOwners struct{ Servers []string }
	// AcquireRow writes the ownership row if it has RowVersion, our lease has
	// MyLease, and the lease of OldOwner has OldLease, which is then deleted.
	AcquireRow struct {
		Server     string
		Fence      uint64
		RowVersion uint64
		MyLease    uint64
		OldOwner   string // empty: no lease to delete
		OldLease   uint64
	}
	// RaiseFence raises an engine's fencing number.
	RaiseFence struct {
		Server string
		Fence  uint64
	}
	// ReleaseRow empties the ownership row.
	ReleaseRow struct {
		Server     string
		Fence      uint64
		RowVersion uint64
	}
)

// Holding is a server that the instance may give orders until NotAfter.
type Holding struct {
	Server     string
	Fence      uint64
	NotAfter   time.Time
	AcquiredAt time.Time // start of the uninterrupted ownership
	Yielding   bool
}

// NewOwnership returns an ownership of nothing. now is the instance's start.
func NewOwnership(cfg OwnershipSettings, self, incarnation string, now time.Time) *Ownership {
	return &Ownership{
		cfg: cfg, self: self, startedAt: now, unheard: cfg.Unheard, lease: LeaseHeld{Incarnation: incarnation},
		aliveSince: map[string]time.Time{}, servers: map[string]*ownedBy{},
	}
}

// Step takes an event and returns the actions that it leads to.
func (o *Ownership) Step(now time.Time, event any) []Action {
	switch e := event.(type) {
	case ZoneServers:
		o.setServers(e.Servers)
	case PeerOwns:
		o.peerOwns(now, e)
	case PeerStillOwns:
		if s := o.servers[e.Server]; s != nil && s.reporter == e.Peer {
			s.reportedAt = now
		}
	case LeaseHeld:
		o.setLease(now, e)
	case OwnersRead:
		return o.ownersRead(now, e)
	case FenceSeen:
		return o.fenceSeen(now, e)
	case Acquired:
		o.acquired(now, e)
	case Released:
		o.releasedRow(now, e)
	case Drain:
		o.draining = true
	case ZoneTick:
		o.unheard = max(o.cfg.Unheard, e.Unheard)
		return o.tick(now, e.Alive)
	}
	return nil
}

// Holdings returns the servers that may be given orders at now.
func (o *Ownership) Holdings(now time.Time) []Holding {
	var out []Holding
	for name := range o.servers {
		if h, ok := o.Valid(now, name); ok {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Server < out[j].Server })
	return out
}

// Valid returns the holding of a server if it may be given orders at now.
func (o *Ownership) Valid(now time.Time, server string) (Holding, bool) {
	s := o.servers[server]
	if s == nil || !s.held || s.released {
		return Holding{}, false
	}
	h := Holding{Server: server, Fence: s.fence, AcquiredAt: s.acquiredAt, NotAfter: s.confirmedAt.Add(o.cfg.FenceValidity)}
	h.Yielding = o.wantsToYield(now, server)
	if !s.settings.ChecksFences {
		h.NotAfter = o.lease.ValidUntil
		if o.leaseSince.After(h.AcquiredAt) {
			h.AcquiredAt = o.leaseSince
		}
	}
	return h, now.Before(h.NotAfter)
}

// Watched returns the servers whose status this instance reads: those that it
// holds and those that it should own.
func (o *Ownership) Watched() []string {
	var out []string
	for _, name := range o.names() {
		if o.servers[name].held || o.target(name) == o.self {
			out = append(out, name)
		}
	}
	return out
}

func (o *Ownership) setServers(servers []chestnutstream.ServerSettings) {
	named := map[string]bool{}
	for _, settings := range servers {
		named[settings.Name] = true
		s := o.servers[settings.Name]
		if s == nil || s.settings.ChecksFences != settings.ChecksFences {
			s = &ownedBy{}
			o.servers[settings.Name] = s
		}
		s.settings = settings
	}
	for name := range o.servers {
		if !named[name] {
			delete(o.servers, name)
		}
	}
}

func (o *Ownership) peerOwns(now time.Time, e PeerOwns) {
	s := o.servers[e.Server]
	if s == nil || e.Fence < s.reportFence && now.Sub(s.reportedAt) < o.unheard {
		return
	}
	s.reporter, s.reportedAt, s.reportFence, s.yielding = e.Peer, now, e.Fence, e.Yielding
	if s.held && e.Fence > s.fence {
		o.lose(now, s)
	}
}

func (o *Ownership) lose(now time.Time, s *ownedBy) {
	s.held, s.released = false, false
	s.notBefore = now.Add(o.cfg.RetryAfter)
}

// setLease takes the state of the lease. A lease that lapsed or was taken ends
// the holdings' uninterrupted validity; one that was taken ends the holdings.
func (o *Ownership) setLease(now time.Time, e LeaseHeld) {
	valid := now.Before(e.ValidUntil)
	if valid && !now.Before(o.lease.ValidUntil) {
		o.leaseSince = now
	}
	ended := e.Incarnation != o.lease.Incarnation
	o.lease = e
	if !ended {
		return
	}
	for _, s := range o.servers {
		if s.held && !s.settings.ChecksFences {
			o.lose(now, s)
		}
	}
}

func (o *Ownership) tick(now time.Time, alive []string) []Action {
	o.noteAlive(now, alive)
	if now.Sub(o.startedAt) < o.cfg.RetryAfter {
		return nil // first hear who is there
	}
	var actions []Action
	var needRows []string
	for _, name := range o.names() {
		s := o.servers[name]
		if s.held {
			actions = append(actions, o.yield(now, name, s)...)
			continue
		}
		if now.Before(s.notBefore) || o.target(name) != o.self || o.draining {
			continue
		}
		if !s.settings.ChecksFences {
			needRows = append(needRows, name)
			continue
		}
		if o.vacant(now, s) {
			s.notBefore = now.Add(o.cfg.RetryAfter)
			actions = append(actions, RaiseFence{Server: name, Fence: o.nextFence(max(s.seenFence, s.reportFence))})
		}
	}
	if len(needRows) > 0 && now.Sub(o.readAt) >= o.cfg.ReadPeriod {
		o.readAt = now
		actions = append(actions, ReadOwners{needRows})
	}
	return actions
}

func (o *Ownership) names() []string {
	names := make([]string, 0, len(o.servers))
	for name := range o.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (o *Ownership) noteAlive(now time.Time, alive []string) {
	o.alive = alive
	seen := map[string]bool{}
	for _, name := range alive {
		seen[name] = true
		if _, ok := o.aliveSince[name]; !ok {
			o.aliveSince[name] = now
		}
	}
	for name := range o.aliveSince {
		if !seen[name] {
			delete(o.aliveSince, name)
		}
	}
}
