package engine

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// SchedulerSettings holds the durations and limits of load scheduling.
type SchedulerSettings struct {
	ReportLeaseDuration time.Duration // how long a peer may act on an owner's last reports (report lease)
	ReportLeaseMargin   time.Duration // added to ReportLeaseDuration before a previous owner's report leases count as expired
	StatusPeriod        time.Duration // between status reads of an owned server
	RetireTimeout       time.Duration // a retiring slot still in use after this becomes ready again
	DrainTimeout        time.Duration // the same for a slot drained for a starving load candidate
	LoadsPerServer      int           // maximum of pending loads per server; a load is pending from its permit request to its result
	OrderReconcileAfter time.Duration // an order without a response for this long is reconciled from the engine's status
	BackoffInitial      time.Duration // delay after the first failed load of an adapter version; doubles up to BackoffMax
	BackoffMax          time.Duration
	RateHalfLife        time.Duration // of the request rate that eviction compares
}

// DefaultSchedulerSettings returns the default settings.
func DefaultSchedulerSettings() SchedulerSettings {
	return SchedulerSettings{
		ReportLeaseDuration: 10 * time.Second, ReportLeaseMargin: 4 * time.Second, StatusPeriod: 500 * time.Millisecond,
		RetireTimeout: 500 * time.Millisecond, DrainTimeout: 30 * time.Second, LoadsPerServer: 2, OrderReconcileAfter: 1500 * time.Millisecond,
		BackoffInitial: time.Second, BackoffMax: time.Minute, RateHalfLife: time.Minute,
	}
}

// Events of Scheduler.
type (
	// PeerStateReceived is the state that an instance, this one included, sent to the
	// owner: its usage of the servers owned here and its demand on them. Applied
	// is the owner's report version that the instance has applied: it starts no
	// new request on a slot that is not ready in that version.
	PeerStateReceived struct {
		Peer       string
		Applied    uint64
		Usage      map[chestnutstream.LoadName]int
		Demand     []chestnutstream.Demand
		Quarantine []chestnutstream.LoadName // load names for which a response named another adapter
	}
	// PeerDeparted reports that an instance left and has ended all its requests.
	PeerDeparted struct{ Peer string }
	// StatusRead is the result of a status read that was sent at SentAt.
	StatusRead struct {
		Server string
		Status chestnutstream.EngineStatus
		SentAt time.Time
		Err    error
	}
	// OrderDone is the result of a LoadOrder or an UnloadOrder.
	OrderDone struct {
		Server string
		Name   chestnutstream.LoadName
		Unload bool
		Err    error
	}
	// PermitsGranted lists all permit requests that are granted now, by ID.
	PermitsGranted struct{ IDs []string }
	// Tick advances the time. Instances are all instances that may have a
	// report lease from an owner of the servers in Holdings, this instance included.
	Tick struct {
		Holdings         []Holding
		Instances        []string
		ObjectiveWeights chestnutstream.ObjectiveWeights
	}
)

// Actions of Scheduler.
type (
	// LoadOrder loads an adapter version under a new load name.
	LoadOrder struct {
		Server   string
		Name     chestnutstream.LoadName
		Fence    uint64
		NotAfter time.Time
	}
	// UnloadOrder unloads a slot that no instance uses.
	UnloadOrder struct {
		Server   string
		Name     chestnutstream.LoadName
		Fence    uint64
		NotAfter time.Time
	}
	// ReadStatus requests a StatusRead.
	ReadStatus struct{ Server string }
	// TraceEvent is a trace event for explain.
	TraceEvent struct{ Subject, Step, Detail string }
)

// PermitRequest is a request for a permit to load from the weight store.
type PermitRequest struct {
	ID       string
	Priority float64
	Running  bool // granted, and the load is in progress
}

// Scheduler decides what the servers of an instance load and unload. It is the
// owner's side of the report-lease protocol that keeps an adapter in use
// loaded. Placement is the other side.
//
// Invariant: an UnloadOrder is issued only for a slot that (1) was reported to
// all instances as retiring, (2) is not used by any instance: each has since
// reported it unused, or sent nothing for so long that its report lease has
// expired, and (3) has no requests in a status read begun after that.
type Scheduler struct {
	cfg              SchedulerSettings
	policy           chestnutstream.LoadPolicy
	self             string
	serial           uint64
	version          uint64
	servers          map[string]*ownedServer
	peers            map[string]*peerState
	backoffs         map[chestnutstream.AdapterVersion]*loadBackoff
	rates            map[chestnutstream.AdapterVersion]*decayingRate
	granted          map[string]bool
	objectiveWeights chestnutstream.ObjectiveWeights
}

type ownedServer struct {
	name              string
	holding           Holding
	status            chestnutstream.EngineStatus
	statusSentAt      time.Time // send time of the newest status
	statusRequestedAt time.Time // when a read was last requested
	reachable         bool
	failedReads       int
	changedVersion    uint64 // report version of its last change
	slots             map[chestnutstream.LoadName]*ownedSlot
	pendingLoads      map[chestnutstream.AdapterVersion]*pendingLoad
}

type ownedSlot struct {
	slot           chestnutstream.Slot
	stateSince     time.Time // start of the current state
	loadedAt       time.Time
	lastUsed       time.Time
	retiredVersion uint64    // report version that first shows it as retiring
	draining       bool      // retired while in use
	unusedSince    time.Time // zero: an instance may still use it
	orderPending   bool      // an order for it has no result yet
	quarantined    bool
}

type peerState struct {
	receivedAt time.Time
	applied    uint64
	usage      map[chestnutstream.LoadName]int
	demands    []chestnutstream.Demand
}

// NewScheduler returns a scheduler that owns no servers.
func NewScheduler(self string, cfg SchedulerSettings, policy chestnutstream.LoadPolicy) *Scheduler {
	return &Scheduler{
		cfg: cfg, policy: policy, self: self,
		servers: map[string]*ownedServer{}, peers: map[string]*peerState{},
		backoffs: map[chestnutstream.AdapterVersion]*loadBackoff{},
		rates:    map[chestnutstream.AdapterVersion]*decayingRate{},
		granted:  map[string]bool{},
	}
}

// Step handles an event and returns the resulting actions.
func (s *Scheduler) Step(now time.Time, event any) []Action {
	switch e := event.(type) {
	case PeerStateReceived:
		s.updatePeer(now, e)
	case PeerDeparted:
		delete(s.peers, e.Peer)
	case StatusRead:
		return s.updateStatus(now, e)
	case OrderDone:
		return s.finishOrder(now, e)
	case PermitsGranted:
		s.granted = map[string]bool{}
		for _, id := range e.IDs {
			s.granted[id] = true
		}
		return s.schedule(now)
	case Tick:
		return s.tick(now, e)
	}
	return nil
}

// Version returns the report version, which rises with each change that peers
// must receive.
func (s *Scheduler) Version() uint64 { return s.version }

func (s *Scheduler) markChanged(srv *ownedServer) {
	s.version++
	srv.changedVersion = s.version
}

// Reports returns the reports of the servers that changed after the given
// report version, sorted by server.
func (s *Scheduler) Reports(after uint64) []OwnerReport {
	var out []OwnerReport
	for _, srv := range s.servers {
		if srv.changedVersion > after {
			out = append(out, OwnerReport{Fence: srv.holding.Fence, Yielding: srv.holding.Yielding, Report: srv.report()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Report.Server < out[j].Report.Server })
	return out
}

// LoadFigures returns the load figures of the servers. They change too often to be
// part of the versioned reports.
func (s *Scheduler) LoadFigures() []LoadFigures {
	out := make([]LoadFigures, 0, len(s.servers))
	for _, srv := range s.sortedServers() {
		out = append(out, LoadFigures{Server: srv.name, Running: srv.status.Running, Waiting: srv.status.Waiting, Idle: s.idleSlots(srv)})
	}
	return out
}

// LoadFigures is the load of a server as the engine last reported it; the
// figures lag.
type LoadFigures struct {
	Server           string
	Running, Waiting int
	Idle             int // slots that are free, or ready and unused
}

// Busy reports whether a load or an unload is pending.
func (s *Scheduler) Busy() bool {
	for _, srv := range s.servers {
		if len(srv.pendingLoads) > 0 {
			return true
		}
		for _, sl := range srv.slots {
			if sl.slot.State == chestnutstream.SlotRetiring {
				return true
			}
		}
	}
	return false
}

// Owned returns the names of the servers scheduled here, sorted.
func (s *Scheduler) Owned() []string {
	out := make([]string, 0, len(s.servers))
	for _, srv := range s.sortedServers() {
		out = append(out, srv.name)
	}
	return out
}

// OwnerReport is a server report with the fencing token of the owner that made
// it.
type OwnerReport struct {
	Fence    uint64
	Yielding bool
	Report   chestnutstream.ServerReport
}

func (srv *ownedServer) report() chestnutstream.ServerReport {
	r := chestnutstream.ServerReport{
		Server: srv.name, Leaving: srv.status.Leaving, Reachable: srv.reachable,
		Running: srv.status.Running, Waiting: srv.status.Waiting,
		BatchLimit: srv.status.BatchLimit, SlotLimit: srv.status.SlotLimit,
	}
	for _, sl := range srv.sortedSlots() {
		r.Slots = append(r.Slots, sl.slot)
	}
	return r
}

func (srv *ownedServer) sortedSlots() []*ownedSlot {
	out := make([]*ownedSlot, 0, len(srv.slots))
	for _, sl := range srv.slots {
		out = append(out, sl)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].slot.Name < out[j].slot.Name })
	return out
}

// PermitRequests returns the permit requests of this instance, granted ones included.
func (s *Scheduler) PermitRequests() []PermitRequest {
	var requests []PermitRequest
	for _, srv := range s.servers {
		for _, l := range srv.pendingLoads {
			requests = append(requests, PermitRequest{ID: l.id, Priority: l.priority, Running: l.loading})
		}
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].ID < requests[j].ID })
	return requests
}

func (s *Scheduler) updatePeer(now time.Time, e PeerStateReceived) {
	p := s.peers[e.Peer]
	if p == nil {
		p = &peerState{}
		s.peers[e.Peer] = p
	}
	for name, n := range e.Usage {
		if n > p.usage[name] {
			s.recordUse(now, name, n-p.usage[name])
		}
	}
	p.receivedAt, p.applied, p.usage, p.demands = now, e.Applied, e.Usage, e.Demand
	for _, name := range e.Quarantine {
		s.quarantine(now, name)
	}
}

func (s *Scheduler) recordUse(now time.Time, name chestnutstream.LoadName, n int) {
	for _, srv := range s.servers {
		if sl := srv.slots[name]; sl != nil {
			sl.lastUsed = now
			s.addRate(now, sl.slot.AdapterVersion, float64(n))
		}
	}
}

func (s *Scheduler) tick(now time.Time, e Tick) []Action {
	s.objectiveWeights = e.ObjectiveWeights
	owned := map[string]bool{}
	for _, h := range e.Holdings {
		owned[h.Server] = true
		srv := s.servers[h.Server]
		if srv == nil || srv.holding.Fence != h.Fence {
			srv = &ownedServer{name: h.Server, slots: map[chestnutstream.LoadName]*ownedSlot{}, pendingLoads: map[chestnutstream.AdapterVersion]*pendingLoad{}}
			s.servers[h.Server] = srv
			srv.holding = h
			s.markChanged(srv)
		}
		if srv.holding.Yielding != h.Yielding {
			s.markChanged(srv)
		}
		srv.holding = h
	}
	for name := range s.servers {
		if !owned[name] {
			delete(s.servers, name)
			s.version++
		}
	}
	actions := s.requestStatuses(now)
	actions = append(actions, s.advanceRetiring(now, e.Instances)...)
	return append(actions, s.schedule(now)...)
}

func (s *Scheduler) requestStatuses(now time.Time) []Action {
	var actions []Action
	for _, srv := range s.sortedServers() {
		if now.Sub(srv.statusRequestedAt) < s.cfg.StatusPeriod {
			continue
		}
		srv.statusRequestedAt = now
		actions = append(actions, ReadStatus{srv.name})
	}
	return actions
}

func (s *Scheduler) sortedServers() []*ownedServer {
	out := make([]*ownedServer, 0, len(s.servers))
	for _, srv := range s.servers {
		out = append(out, srv)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// unreachableFailures is the number of consecutive failed status reads after
// which a server is reported as unreachable.
const unreachableFailures = 2

func (s *Scheduler) updateStatus(now time.Time, e StatusRead) []Action {
	srv := s.servers[e.Server]
	if srv == nil {
		return nil
	}
	if e.Err != nil {
		srv.failedReads++
		if srv.failedReads >= unreachableFailures && srv.reachable {
			srv.reachable = false
			s.markChanged(srv)
			return []Action{TraceEvent{srv.name, "status", "unreachable: " + e.Err.Error()}}
		}
		return nil
	}
	if e.SentAt.Before(srv.statusSentAt) {
		return nil
	}
	var actions []Action
	changed := !srv.reachable || srv.status.Leaving != e.Status.Leaving ||
		srv.status.BatchLimit != e.Status.BatchLimit || srv.status.SlotLimit != e.Status.SlotLimit
	if srv.status.Epoch != "" && srv.status.Epoch != e.Status.Epoch {
		actions = append(actions, TraceEvent{srv.name, "status", "engine restarted empty"})
	}
	srv.failedReads, srv.reachable, srv.statusSentAt = 0, true, e.SentAt
	srv.status = e.Status
	if s.reconcileSlots(now, srv, e.SentAt) {
		changed = true
	}
	if changed {
		s.markChanged(srv)
	}
	return append(actions, s.unloadUnused(now, srv)...)
}

// reconcileSlots reconciles the slots with a status and reports whether one
// changed. A slot that only the engine has was loaded for a previous owner and
// is adopted; a slot that the engine lacks is removed.
func (s *Scheduler) reconcileSlots(now time.Time, srv *ownedServer, sent time.Time) bool {
	changed := false
	reportedSlots := map[chestnutstream.LoadName]bool{}
	for _, es := range srv.status.Slots {
		reportedSlots[es.Name] = true
		sl := srv.slots[es.Name]
		if sl == nil {
			s.adoptSlot(now, srv, es)
			changed = true
			continue
		}
		if len(es.Requests) > 0 {
			sl.lastUsed = now
		}
		if sl.orderPending && sl.slot.State == chestnutstream.SlotLoading && !es.Loading && sent.Sub(sl.stateSince) >= s.cfg.OrderReconcileAfter {
			// The adapter is loaded, but the order's response has not arrived.
			sl.orderPending = false
			delete(srv.pendingLoads, sl.slot.AdapterVersion)
		}
		if !es.Loading && !sl.orderPending && sl.slot.State == chestnutstream.SlotLoading && sl.stateSince.Before(sent) {
			sl.slot.State, sl.stateSince, sl.loadedAt = chestnutstream.SlotReady, now, now
			changed = true
		}
	}
	for name, sl := range srv.slots {
		orderResolved := !sl.orderPending || sent.Sub(sl.stateSince) >= s.cfg.OrderReconcileAfter
		if !reportedSlots[name] && orderResolved && sl.stateSince.Before(sent) {
			delete(srv.slots, name)
			delete(srv.pendingLoads, sl.slot.AdapterVersion)
			changed = true
		}
	}
	return changed
}

func (s *Scheduler) adoptSlot(now time.Time, srv *ownedServer, es chestnutstream.EngineSlot) {
	av, err := es.Name.AdapterVersion()
	state := chestnutstream.SlotReady
	if es.Loading {
		state = chestnutstream.SlotLoading
	}
	sl := &ownedSlot{
		slot:       chestnutstream.Slot{Name: es.Name, AdapterVersion: av, State: state},
		stateSince: now, loadedAt: now, lastUsed: now,
	}
	srv.slots[es.Name] = sl
	if err != nil {
		sl.quarantined = true
		s.retire(now, srv, sl, true)
	}
}

func (s *Scheduler) finishOrder(now time.Time, e OrderDone) []Action {
	srv := s.servers[e.Server]
	if srv == nil {
		return nil
	}
	sl := srv.slots[e.Name]
	if sl == nil {
		return nil
	}
	sl.orderPending = false
	defer s.markChanged(srv)
	if e.Unload {
		if e.Err != nil {
			sl.stateSince, sl.unusedSince = now, time.Time{}
			return []Action{ReadStatus{srv.name}, TraceEvent{srv.name, "unload", e.Err.Error()}}
		}
		delete(srv.slots, e.Name)
		return s.schedule(now)
	}
	return append(s.finishLoad(now, srv, sl, e.Err), s.schedule(now)...)
}
