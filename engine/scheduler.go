package engine

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// SchedulerSettings are the times and limits of load scheduling.
type SchedulerSettings struct {
	PromiseValidity time.Duration // how long a peer may act on what an owner last told it
	PromiseSlack    time.Duration // added for an earlier owner's promises
	StatusPeriod    time.Duration // between status reads of an owned server
	RetireTimeout   time.Duration // a retiring slot that is still used then becomes ready again
	DrainTimeout    time.Duration // the same for a slot that is drained for a starving want
	LoadsPerServer  int           // loads asked for at once per server
	OrderSettle     time.Duration // an order without an answer for this long is settled by the status
	BackoffFirst    time.Duration // pause after the first failed load of an adapter version
	BackoffMax      time.Duration
	RateHalfLife    time.Duration // of the request rate that eviction looks at
}

// DefaultSchedulerSettings returns the settings in use.
func DefaultSchedulerSettings() SchedulerSettings {
	return SchedulerSettings{
		PromiseValidity: 10 * time.Second, PromiseSlack: 4 * time.Second, StatusPeriod: 500 * time.Millisecond,
		RetireTimeout: 500 * time.Millisecond, DrainTimeout: 30 * time.Second, LoadsPerServer: 2, OrderSettle: 1500 * time.Millisecond,
		BackoffFirst: time.Second, BackoffMax: time.Minute, RateHalfLife: time.Minute,
	}
}

// Events of Scheduler.
type (
	// PeerHeard is what an instance, this one included, told about its use of
	// the servers that this instance owns. Applied is the report version that
	// it has applied: it starts no new use of a slot that is not ready in it.
	PeerHeard struct {
		Peer       string
		Applied    uint64
		Uses       map[chestnutstream.LoadName]int
		Wants      []chestnutstream.Want
		Quarantine []chestnutstream.LoadName // loads that answered with another adapter
	}
	// PeerGone says that an instance left and has ended all its uses.
	PeerGone struct{ Peer string }
	// StatusRead is an engine's status, read at SentAt.
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
	// PermitsGranted names the asks that may load now.
	PermitsGranted struct{ IDs []string }
	// Tick passes the time. Instances are all that may hold promises of an
	// owner of these servers, this instance included.
	Tick struct {
		Holdings  []Holding
		Instances []string
		Measures  chestnutstream.Measures
	}
)

// Actions of Scheduler.
type (
	// LoadOrder loads an adapter version under a new name.
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
	// ReadStatus asks for a StatusRead.
	ReadStatus struct{ Server string }
	// Noted is a line for explain.
	Noted struct{ Subject, Step, Detail string }
)

// Ask asks for a permit of the weight store's budget.
type Ask struct {
	ID       string
	Priority float64
	Running  bool // granted and in use
}

// Scheduler decides what the servers of an instance load and unload. It is the
// owner's half of the promise on which an adapter in use stays loaded.
//
// Invariant: an UnloadOrder is given only for a slot that (1) was told to all
// instances as retiring, (2) every instance has since said it does not use, or
// has not been heard for so long that its promise has lapsed, and (3) a status
// read begun after that shows without requests.
type Scheduler struct {
	cfg      SchedulerSettings
	policy   chestnutstream.LoadPolicy
	self     string
	serial   uint64
	version  uint64
	servers  map[string]*ownedServer
	peers    map[string]*peerUse
	backoffs map[chestnutstream.AdapterVersion]*loadBackoff
	rates    map[chestnutstream.AdapterVersion]*decayingRate
	granted  map[string]bool
	measures chestnutstream.Measures
}

type ownedServer struct {
	name       string
	holding    Holding
	status     chestnutstream.EngineStatus
	statusSent time.Time // start of the newest status read
	readAt     time.Time // last time a read was asked for
	reachable  bool
	failures   int
	changed    uint64 // version of the last change of its report
	slots      map[chestnutstream.LoadName]*ownedSlot
	tickets    map[chestnutstream.AdapterVersion]*ticket
}

type ownedSlot struct {
	slot       chestnutstream.Slot
	since      time.Time // of the state
	loadedAt   time.Time
	lastUsed   time.Time
	retired    uint64    // report version that told its retirement
	draining   bool      // retired although in use
	clearAt    time.Time // since when no instance uses it
	ordered    bool      // an order for it is under way
	quarantine bool
}

type peerUse struct {
	heardAt time.Time
	applied uint64
	uses    map[chestnutstream.LoadName]int
	wants   []chestnutstream.Want
}

// NewScheduler returns a scheduler that owns nothing.
func NewScheduler(self string, cfg SchedulerSettings, policy chestnutstream.LoadPolicy) *Scheduler {
	return &Scheduler{
		cfg: cfg, policy: policy, self: self,
		servers: map[string]*ownedServer{}, peers: map[string]*peerUse{},
		backoffs: map[chestnutstream.AdapterVersion]*loadBackoff{},
		rates:    map[chestnutstream.AdapterVersion]*decayingRate{},
		granted:  map[string]bool{},
	}
}

// Step takes an event and returns the actions that it leads to.
func (s *Scheduler) Step(now time.Time, event any) []Action {
	switch e := event.(type) {
	case PeerHeard:
		s.peerHeard(now, e)
	case PeerGone:
		delete(s.peers, e.Peer)
	case StatusRead:
		return s.statusRead(now, e)
	case OrderDone:
		return s.orderDone(now, e)
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

// Version returns the report version: it rises with each change that peers
// have to hear of.
func (s *Scheduler) Version() uint64 { return s.version }

func (s *Scheduler) touch(srv *ownedServer) {
	s.version++
	srv.changed = s.version
}

// Reports returns the reports of the servers that changed after a version.
func (s *Scheduler) Reports(after uint64) []OwnerReport {
	var out []OwnerReport
	for _, srv := range s.servers {
		if srv.changed > after {
			out = append(out, OwnerReport{Fence: srv.holding.Fence, Yielding: srv.holding.Yielding, Report: srv.report()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Report.Server < out[j].Report.Server })
	return out
}

// Loads returns the load figures of the servers, which change too often to be
// reports.
func (s *Scheduler) Loads() []ServerFigures {
	out := make([]ServerFigures, 0, len(s.servers))
	for _, srv := range s.sorted() {
		out = append(out, ServerFigures{Server: srv.name, Running: srv.status.Running, Waiting: srv.status.Waiting, Idle: s.idleSlots(srv)})
	}
	return out
}

// ServerFigures is the load of a server as its engine reported it, late.
type ServerFigures struct {
	Server           string
	Running, Waiting int
	Idle             int // slots that are free, or ready and in no use
}

// Busy reports whether a load or an unload waits for its next step.
func (s *Scheduler) Busy() bool {
	for _, srv := range s.servers {
		if len(srv.tickets) > 0 {
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

// Owned returns the names of the servers that are scheduled here.
func (s *Scheduler) Owned() []string {
	out := make([]string, 0, len(s.servers))
	for _, srv := range s.sorted() {
		out = append(out, srv.name)
	}
	return out
}

// OwnerReport is a report with the fencing number of the owner who makes it.
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

// Asks returns the permits that this instance asks for or holds.
func (s *Scheduler) Asks() []Ask {
	var asks []Ask
	for _, srv := range s.servers {
		for _, t := range srv.tickets {
			asks = append(asks, Ask{ID: t.id, Priority: t.pri, Running: t.loading})
		}
	}
	sort.Slice(asks, func(i, j int) bool { return asks[i].ID < asks[j].ID })
	return asks
}

func (s *Scheduler) peerHeard(now time.Time, e PeerHeard) {
	p := s.peers[e.Peer]
	if p == nil {
		p = &peerUse{}
		s.peers[e.Peer] = p
	}
	for name, n := range e.Uses {
		if n > p.uses[name] {
			s.noteUse(now, name, n-p.uses[name])
		}
	}
	p.heardAt, p.applied, p.uses, p.wants = now, e.Applied, e.Uses, e.Wants
	for _, name := range e.Quarantine {
		s.quarantine(now, name)
	}
}

func (s *Scheduler) noteUse(now time.Time, name chestnutstream.LoadName, n int) {
	for _, srv := range s.servers {
		if sl := srv.slots[name]; sl != nil {
			sl.lastUsed = now
			s.addRate(now, sl.slot.AdapterVersion, float64(n))
		}
	}
}

func (s *Scheduler) tick(now time.Time, e Tick) []Action {
	s.measures = e.Measures
	held := map[string]bool{}
	for _, h := range e.Holdings {
		held[h.Server] = true
		srv := s.servers[h.Server]
		if srv == nil || srv.holding.Fence != h.Fence {
			srv = &ownedServer{name: h.Server, slots: map[chestnutstream.LoadName]*ownedSlot{}, tickets: map[chestnutstream.AdapterVersion]*ticket{}}
			s.servers[h.Server] = srv
			srv.holding = h
			s.touch(srv)
		}
		if srv.holding.Yielding != h.Yielding {
			s.touch(srv)
		}
		srv.holding = h
	}
	for name := range s.servers {
		if !held[name] {
			delete(s.servers, name)
			s.version++
		}
	}
	actions := s.readStatuses(now)
	actions = append(actions, s.advanceRetiring(now, e.Instances)...)
	return append(actions, s.schedule(now)...)
}

func (s *Scheduler) readStatuses(now time.Time) []Action {
	var actions []Action
	for _, srv := range s.sorted() {
		if now.Sub(srv.readAt) < s.cfg.StatusPeriod {
			continue
		}
		srv.readAt = now
		actions = append(actions, ReadStatus{srv.name})
	}
	return actions
}

func (s *Scheduler) sorted() []*ownedServer {
	out := make([]*ownedServer, 0, len(s.servers))
	for _, srv := range s.servers {
		out = append(out, srv)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// unreachableAfter is the number of failed status reads in a row after which a
// server is reported as unreachable.
const unreachableAfter = 2

func (s *Scheduler) statusRead(now time.Time, e StatusRead) []Action {
	srv := s.servers[e.Server]
	if srv == nil {
		return nil
	}
	if e.Err != nil {
		srv.failures++
		if srv.failures >= unreachableAfter && srv.reachable {
			srv.reachable = false
			s.touch(srv)
			return []Action{Noted{srv.name, "status", "unreachable: " + e.Err.Error()}}
		}
		return nil
	}
	if e.SentAt.Before(srv.statusSent) {
		return nil
	}
	var actions []Action
	changed := !srv.reachable || srv.status.Leaving != e.Status.Leaving ||
		srv.status.BatchLimit != e.Status.BatchLimit || srv.status.SlotLimit != e.Status.SlotLimit
	if srv.status.Epoch != "" && srv.status.Epoch != e.Status.Epoch {
		actions = append(actions, Noted{srv.name, "status", "engine restarted empty"})
	}
	srv.failures, srv.reachable, srv.statusSent = 0, true, e.SentAt
	srv.status = e.Status
	if s.matchSlots(now, srv, e.SentAt) {
		changed = true
	}
	if changed {
		s.touch(srv)
	}
	return append(actions, s.unloadClear(now, srv)...)
}

// matchSlots makes the slots agree with a status: what the engine has and we do
// not know was loaded for an earlier owner and is adopted; what it lacks is gone.
func (s *Scheduler) matchSlots(now time.Time, srv *ownedServer, sent time.Time) bool {
	changed := false
	have := map[chestnutstream.LoadName]bool{}
	for _, es := range srv.status.Slots {
		have[es.Name] = true
		sl := srv.slots[es.Name]
		if sl == nil {
			s.adopt(now, srv, es)
			changed = true
			continue
		}
		if len(es.Requests) > 0 {
			sl.lastUsed = now
		}
		if sl.ordered && sl.slot.State == chestnutstream.SlotLoading && !es.Loading && sent.Sub(sl.since) >= s.cfg.OrderSettle {
			// It is loaded though the order's answer has not come.
			sl.ordered = false
			delete(srv.tickets, sl.slot.AdapterVersion)
		}
		if !es.Loading && !sl.ordered && sl.slot.State == chestnutstream.SlotLoading && sl.since.Before(sent) {
			sl.slot.State, sl.since, sl.loadedAt = chestnutstream.SlotReady, now, now
			changed = true
		}
	}
	for name, sl := range srv.slots {
		settled := !sl.ordered || sent.Sub(sl.since) >= s.cfg.OrderSettle
		if !have[name] && settled && sl.since.Before(sent) {
			delete(srv.slots, name)
			delete(srv.tickets, sl.slot.AdapterVersion)
			changed = true
		}
	}
	return changed
}

func (s *Scheduler) adopt(now time.Time, srv *ownedServer, es chestnutstream.EngineSlot) {
	av, err := es.Name.AdapterVersion()
	state := chestnutstream.SlotReady
	if es.Loading {
		state = chestnutstream.SlotLoading
	}
	sl := &ownedSlot{
		slot:  chestnutstream.Slot{Name: es.Name, AdapterVersion: av, State: state},
		since: now, loadedAt: now, lastUsed: now,
	}
	srv.slots[es.Name] = sl
	if err != nil {
		sl.quarantine = true
		s.retire(now, srv, sl, true)
	}
}

func (s *Scheduler) orderDone(now time.Time, e OrderDone) []Action {
	srv := s.servers[e.Server]
	if srv == nil {
		return nil
	}
	sl := srv.slots[e.Name]
	if sl == nil {
		return nil
	}
	sl.ordered = false
	defer s.touch(srv)
	if e.Unload {
		if e.Err != nil {
			sl.since, sl.clearAt = now, time.Time{}
			return []Action{ReadStatus{srv.name}, Noted{srv.name, "unload", e.Err.Error()}}
		}
		delete(srv.slots, e.Name)
		return s.schedule(now)
	}
	return append(s.loadDone(now, srv, sl, e.Err), s.schedule(now)...)
}
