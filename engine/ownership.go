package engine

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// OwnershipSettings holds the durations of ownership.
type OwnershipSettings struct {
	LeaseDuration time.Duration // how long an observer must see a lease row unchanged before the lease counts as expired
	OrderMargin   time.Duration // added to LeaseDuration, for orders in flight
	FenceValidity time.Duration // how long a status read with our fencing token confirms the ownership
	OwnerTimeout  time.Duration // the owner of an engine that checks fencing tokens is replaced after this long without a report
	RetryDelay    time.Duration // delay after a failed or lost acquisition
	ReadPeriod    time.Duration // between reads of the ownership rows, while a server is to be acquired
	HandoverDelay time.Duration // a peer must be alive for this long before a server is handed over to it; also the delay after a release
}

// DefaultOwnershipSettings returns the default settings. leaseDuration is the
// platform's lease duration.
func DefaultOwnershipSettings(leaseDuration time.Duration) OwnershipSettings {
	return OwnershipSettings{
		LeaseDuration: leaseDuration, OrderMargin: 2500 * time.Millisecond, FenceValidity: 3 * time.Second,
		OwnerTimeout: 4 * time.Second, RetryDelay: time.Second, ReadPeriod: time.Second, HandoverDelay: 10 * time.Second,
	}
}

// Ownership decides which backend servers of its availability zone an instance
// owns. Only the owner of a server sends it load and unload orders.
//
// Ownership is recorded in one of two places. An engine that rejects old
// fencing tokens records its own: an owner raises the token, and each status
// read that still shows it confirms the ownership for FenceValidity; the table
// service is not needed. For an engine that ignores fencing tokens the record
// is a row of the table service that refers to the instance's lease.
//
// Invariant: Valid is true on at most one instance for an engine that ignores
// fencing tokens. An engine that checks them rejects the orders of a replaced
// owner itself.
type Ownership struct {
	cfg             OwnershipSettings
	self            string
	startedAt       time.Time
	draining        bool
	ownerTimeout    time.Duration
	alive           []string
	aliveSince      map[string]time.Time
	lease           LeaseState
	leaseValidSince time.Time // start of the current uninterrupted validity
	servers         map[string]*serverOwnership
	rowsReadAt      time.Time
}

type serverOwnership struct {
	settings      chestnutstream.ServerSettings
	held          bool
	fence         uint64
	highestFence  uint64
	statusSeen    bool
	acquiredAt    time.Time
	confirmedAt   time.Time
	rowVersion    uint64
	keptUntil     time.Time // the end of the ownership if its row is of an earlier era than the lease
	unconfirmed   bool      // an acquisition got no response, so that its row may name this instance
	attempted     uint64    // version of the row that the latest acquisition checked
	releasing     bool
	notBefore     time.Time // no new attempt before this
	reportingPeer string    // the peer that last reported it as its own
	reportedAt    time.Time
	reportFence   uint64
	yielding      bool // that peer is ready to hand it over
	observed      observation
}

// observation is a pair of row versions and since when both are unchanged.
type observation struct {
	ownerVersion, leaseVersion uint64
	since                      time.Time
}

// Events of Ownership.
type (
	// ZoneServers lists the engines of the instance's zone.
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
	// PeerStillOwns confirms a peer's earlier report.
	PeerStillOwns struct{ Peer, Server string }
	// LeaseState is the state of the instance's own lease.
	LeaseState struct {
		ValidUntil  time.Time
		Version     uint64
		Era         uint64    // of the store, as of the last renewal
		KeptUntil   time.Time // the end of the lease as of the last renewal of an earlier era
		Incarnation string    // changes after another instance took the lease over
	}
	// OwnerRowsRead is the result of ReadOwners: the ownership rows and the leases
	// that they refer to.
	OwnerRowsRead struct {
		Owners map[string]OwnerRow // by server
		Leases map[string]LeaseRow // by instance
		Era    uint64              // of the rows' versions
		EraAge time.Duration       // how long ago the era began, at least; does not matter in era 0
	}
	// FenceRead is the fencing token in a status read that was sent at SentAt.
	FenceRead struct {
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
	// Drain reports that the instance is draining.
	Drain struct{}
	// ZoneTick advances the time. Alive are the instances of the zone that sent
	// a message recently and are not draining, this one included.
	ZoneTick struct {
		Alive           []string
		MinOwnerTimeout time.Duration // lower bound of the timeout after which an owner is replaced; 0: as in the settings
	}
)

// OwnerRow is an ownership row of the table service.
type OwnerRow struct {
	Owner       string // empty: released
	Incarnation string
	Fence       uint64
	Era         uint64 // in which it was written; 0: unknown
	Version     uint64
}

// LeaseRow is a lease row of the table service.
type LeaseRow struct {
	Incarnation string
	Version     uint64
}

// Actions of Ownership.
type (
	// ReadOwners requests an OwnerRowsRead of these servers.
	ReadOwners struct{ Servers []string }
	// AcquireRow writes the ownership row if three rows still have these versions:
	// RowVersion the ownership row, LeaseVersion this instance's lease, and
	// OldLeaseVersion the lease of OldOwner, which is then deleted.
	AcquireRow struct {
		Server          string
		Fence           uint64
		RowVersion      uint64
		LeaseVersion    uint64
		OldOwner        string // empty: no lease to delete
		OldLeaseVersion uint64
		Era             uint64 // of the versions
	}
	// RaiseFence raises an engine's fencing token.
	RaiseFence struct {
		Server string
		Fence  uint64
	}
	// ReleaseRow clears the owner in the ownership row.
	ReleaseRow struct {
		Server     string
		Fence      uint64
		RowVersion uint64
	}
)

// Holding is an owned server, which the instance may send orders until
// NotAfter.
type Holding struct {
	Server     string
	Fence      uint64
	NotAfter   time.Time
	AcquiredAt time.Time // start of the uninterrupted ownership
	Yielding   bool
}

// NewOwnership returns an ownership without servers. now is the instance's
// start.
func NewOwnership(cfg OwnershipSettings, self, incarnation string, now time.Time) *Ownership {
	return &Ownership{
		cfg: cfg, self: self, startedAt: now, ownerTimeout: cfg.OwnerTimeout, lease: LeaseState{Incarnation: incarnation},
		aliveSince: map[string]time.Time{}, servers: map[string]*serverOwnership{},
	}
}

// Step handles an event and returns the resulting actions.
func (o *Ownership) Step(now time.Time, event any) []Action {
	switch e := event.(type) {
	case ZoneServers:
		o.setServers(e.Servers)
	case PeerOwns:
		o.updatePeerOwner(now, e)
	case PeerStillOwns:
		if s := o.servers[e.Server]; s != nil && s.reportingPeer == e.Peer {
			s.reportedAt = now
		}
	case LeaseState:
		o.setLease(now, e)
	case OwnerRowsRead:
		return o.acquireVacantRows(now, e)
	case FenceRead:
		return o.updateFence(now, e)
	case Acquired:
		o.finishAcquire(now, e)
	case Released:
		o.finishRelease(now, e)
	case Drain:
		o.draining = true
	case ZoneTick:
		o.ownerTimeout = max(o.cfg.OwnerTimeout, e.MinOwnerTimeout)
		return o.tick(now, e.Alive)
	}
	return nil
}

// Holdings returns the servers that may be sent orders at now, sorted.
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

// Valid returns the holding of a server and whether the server may be sent
// orders at now.
func (o *Ownership) Valid(now time.Time, server string) (Holding, bool) {
	s := o.servers[server]
	if s == nil || !s.held || s.releasing {
		return Holding{}, false
	}
	h := Holding{Server: server, Fence: s.fence, AcquiredAt: s.acquiredAt, NotAfter: s.confirmedAt.Add(o.cfg.FenceValidity)}
	h.Yielding = o.shouldYield(now, server)
	if !s.settings.ChecksFencingTokens {
		h.NotAfter = o.lease.ValidUntil
		if o.kept(s) {
			h.NotAfter = s.keptUntil
		}
		if o.leaseValidSince.After(h.AcquiredAt) {
			h.AcquiredAt = o.leaseValidSince
		}
	}
	return h, now.Before(h.NotAfter)
}

// Watched returns the servers whose status this instance reads: those that it
// owns and those that it should own.
func (o *Ownership) Watched() []string {
	var out []string
	for _, name := range o.serverNames() {
		if o.servers[name].held || o.target(name) == o.self {
			out = append(out, name)
		}
	}
	return out
}

func (o *Ownership) setServers(servers []chestnutstream.ServerSettings) {
	configured := map[string]bool{}
	for _, settings := range servers {
		configured[settings.Name] = true
		s := o.servers[settings.Name]
		if s == nil || s.settings.ChecksFencingTokens != settings.ChecksFencingTokens {
			s = &serverOwnership{}
			o.servers[settings.Name] = s
		}
		s.settings = settings
	}
	for name := range o.servers {
		if !configured[name] {
			delete(o.servers, name)
		}
	}
}

func (o *Ownership) updatePeerOwner(now time.Time, e PeerOwns) {
	s := o.servers[e.Server]
	if s == nil || e.Fence < s.reportFence && now.Sub(s.reportedAt) < o.ownerTimeout {
		return
	}
	s.reportingPeer, s.reportedAt, s.reportFence, s.yielding = e.Peer, now, e.Fence, e.Yielding
	if s.held && e.Fence > s.fence {
		o.loseOwnership(now, s)
	}
}

func (o *Ownership) loseOwnership(now time.Time, s *serverOwnership) {
	s.held, s.releasing = false, false
	s.notBefore = now.Add(o.cfg.RetryDelay)
}

// setLease applies the state of the lease. An expired lease ends the
// uninterrupted validity of the holdings; a lease that another instance took
// over ends the holdings.
func (o *Ownership) setLease(now time.Time, e LeaseState) {
	valid := now.Before(e.ValidUntil)
	if valid && !now.Before(o.lease.ValidUntil) {
		o.leaseValidSince = now
	}
	ended := e.Incarnation != o.lease.Incarnation
	if e.Era > o.lease.Era {
		o.keepOwned(now, e.KeptUntil)
	}
	o.lease = e
	if !ended {
		return
	}
	for _, s := range o.servers {
		if s.held && !s.settings.ChecksFencingTokens {
			o.loseOwnership(now, s)
		}
	}
}

func (o *Ownership) tick(now time.Time, alive []string) []Action {
	o.recordAlive(now, alive)
	if now.Sub(o.startedAt) < o.cfg.RetryDelay {
		return nil // first learn which instances are alive
	}
	var actions []Action
	var needRows []string
	for _, name := range o.serverNames() {
		s := o.servers[name]
		if s.held && o.kept(s) {
			switch {
			case !now.Before(s.keptUntil):
				o.loseOwnership(now, s)
			case !now.Before(s.notBefore) && !o.draining:
				needRows = append(needRows, name)
			}
			continue
		}
		if s.held {
			actions = append(actions, o.yield(now, name, s)...)
			continue
		}
		if now.Before(s.notBefore) || !s.unconfirmed && o.target(name) != o.self || o.draining {
			continue
		}
		if !s.settings.ChecksFencingTokens {
			needRows = append(needRows, name)
			continue
		}
		if o.vacant(now, s) {
			s.notBefore = now.Add(o.cfg.RetryDelay)
			actions = append(actions, RaiseFence{Server: name, Fence: o.nextFence(max(s.highestFence, s.reportFence))})
		}
	}
	if len(needRows) > 0 && now.Sub(o.rowsReadAt) >= o.cfg.ReadPeriod {
		o.rowsReadAt = now
		actions = append(actions, ReadOwners{needRows})
	}
	return actions
}

func (o *Ownership) serverNames() []string {
	names := make([]string, 0, len(o.servers))
	for name := range o.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (o *Ownership) recordAlive(now time.Time, alive []string) {
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
