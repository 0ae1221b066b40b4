package engine

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

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

type ticket struct {
	id      string
	created time.Time
	pri     float64
	loading bool
}

type peerUse struct {
	heardAt time.Time
	applied uint64
	uses    map[chestnutstream.LoadName]int
	wants   []chestnutstream.Want
}

type loadBackoff struct {
	until time.Time
	pause time.Duration
}

type decayingRate struct {
	value float64
	at    time.Time
}

// maxRates bounds the adapter versions whose request rate is remembered.
const maxRates = 4096

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
func (s *Scheduler) Step(now time.Time, event any) []any {
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

// idleSlots counts the slots that a load could take without waiting for a
// request to end, less the loads that are on their way.
func (s *Scheduler) idleSlots(srv *ownedServer) int {
	idle := srv.status.SlotLimit - len(srv.slots)
	for name, sl := range srv.slots {
		if sl.slot.State == chestnutstream.SlotReady && s.uses(name) == 0 {
			idle++
		}
	}
	for _, t := range srv.tickets {
		if !t.loading {
			idle--
		}
	}
	return max(0, idle)
}

// uses returns the requests that use a slot, over all instances.
func (s *Scheduler) uses(name chestnutstream.LoadName) int {
	n := 0
	for _, p := range s.peers {
		n += p.uses[name]
	}
	return n
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

// addRate adds n requests to the decaying rate of an adapter version.
func (s *Scheduler) addRate(now time.Time, av chestnutstream.AdapterVersion, n float64) {
	r := s.rates[av]
	if r == nil {
		if len(s.rates) >= maxRates {
			s.forgetRates(now)
		}
		r = &decayingRate{at: now}
		s.rates[av] = r
	}
	r.value = r.read(now, s.cfg.RateHalfLife) + n
	r.at = now
}

// forgetRates drops the lower half of the remembered rates.
func (s *Scheduler) forgetRates(now time.Time) {
	values := make([]float64, 0, len(s.rates))
	for _, r := range s.rates {
		values = append(values, r.read(now, s.cfg.RateHalfLife))
	}
	sort.Float64s(values)
	median := values[len(values)/2]
	for av, r := range s.rates {
		if r.read(now, s.cfg.RateHalfLife) <= median {
			delete(s.rates, av)
		}
	}
}

func (r *decayingRate) read(now time.Time, halfLife time.Duration) float64 {
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(halfLife))
}

func (s *Scheduler) quarantine(now time.Time, name chestnutstream.LoadName) {
	for _, srv := range s.servers {
		sl := srv.slots[name]
		if sl == nil || sl.quarantine {
			continue
		}
		sl.quarantine = true
		s.retire(now, srv, sl, true)
	}
}

func (s *Scheduler) tick(now time.Time, e Tick) []any {
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

func (s *Scheduler) readStatuses(now time.Time) []any {
	var actions []any
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

func (s *Scheduler) statusRead(now time.Time, e StatusRead) []any {
	srv := s.servers[e.Server]
	if srv == nil {
		return nil
	}
	if e.Err != nil {
		srv.failures++
		if srv.failures >= unreachableAfter && srv.reachable {
			srv.reachable = false
			s.touch(srv)
			return []any{Noted{srv.name, "status", "unreachable: " + e.Err.Error()}}
		}
		return nil
	}
	if e.SentAt.Before(srv.statusSent) {
		return nil
	}
	var actions []any
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

// retire tells all instances to start no new use of a slot.
func (s *Scheduler) retire(now time.Time, srv *ownedServer, sl *ownedSlot, draining bool) {
	sl.slot.State, sl.since = chestnutstream.SlotRetiring, now
	sl.draining, sl.clearAt = draining, time.Time{}
	s.touch(srv)
	sl.retired = s.version
}

// advanceRetiring looks which retiring slots no instance uses any more, asks
// for the status read that an unload needs, and gives up on slots that stay in
// use.
func (s *Scheduler) advanceRetiring(now time.Time, instances []string) []any {
	var actions []any
	for _, srv := range s.sorted() {
		ask := false
		for _, sl := range srv.sortedSlots() {
			if sl.slot.State != chestnutstream.SlotRetiring || sl.ordered {
				continue
			}
			if s.clear(now, srv, sl, instances) {
				if sl.clearAt.IsZero() {
					sl.clearAt = now
				}
				ask = true
				continue
			}
			sl.clearAt = time.Time{}
			timeout := s.cfg.RetireTimeout
			if sl.draining {
				timeout = s.cfg.DrainTimeout
			}
			if now.Sub(sl.since) >= timeout && !sl.quarantine {
				sl.slot.State, sl.since = chestnutstream.SlotReady, now
				s.touch(srv)
			}
		}
		if ask {
			actions = append(actions, ReadStatus{srv.name})
		}
	}
	return actions
}

// clear reports whether no instance uses a retiring slot or can begin to.
func (s *Scheduler) clear(now time.Time, srv *ownedServer, sl *ownedSlot, instances []string) bool {
	settled := now.Sub(srv.holding.AcquiredAt) >= s.cfg.PromiseValidity+s.cfg.PromiseSlack
	for _, p := range s.peers {
		if p.applied >= sl.retired {
			if p.uses[sl.slot.Name] > 0 {
				return false
			}
			continue
		}
		if now.Sub(p.heardAt) < s.cfg.PromiseValidity || !settled {
			return false
		}
	}
	for _, name := range instances {
		if s.peers[name] == nil && !settled {
			return false
		}
	}
	return true
}

// unloadClear gives the unload orders that a fresh status allows.
func (s *Scheduler) unloadClear(now time.Time, srv *ownedServer) []any {
	if !now.Before(srv.holding.NotAfter) {
		return nil
	}
	requests := map[chestnutstream.LoadName]int{}
	for _, es := range srv.status.Slots {
		requests[es.Name] = len(es.Requests)
	}
	var actions []any
	for _, sl := range srv.sortedSlots() {
		name := sl.slot.Name
		ready := sl.slot.State == chestnutstream.SlotRetiring && !sl.ordered && !sl.clearAt.IsZero() && !srv.statusSent.Before(sl.clearAt)
		if !ready || requests[name] > 0 {
			continue
		}
		sl.ordered = true
		actions = append(actions,
			UnloadOrder{Server: srv.name, Name: name, Fence: srv.holding.Fence, NotAfter: srv.holding.NotAfter},
			Noted{srv.name, "unload", fmt.Sprintf("%s: no instance uses it", name)})
	}
	return actions
}

func (s *Scheduler) orderDone(now time.Time, e OrderDone) []any {
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
			return []any{ReadStatus{srv.name}, Noted{srv.name, "unload", e.Err.Error()}}
		}
		delete(srv.slots, e.Name)
		return s.schedule(now)
	}
	return append(s.loadDone(now, srv, sl, e.Err), s.schedule(now)...)
}

func (s *Scheduler) loadDone(now time.Time, srv *ownedServer, sl *ownedSlot, err error) []any {
	av := sl.slot.AdapterVersion
	delete(srv.tickets, av)
	if err == nil {
		sl.slot.State, sl.since, sl.loadedAt, sl.lastUsed = chestnutstream.SlotReady, now, now, now
		delete(s.backoffs, av)
		return []any{Noted{srv.name, "load", fmt.Sprintf("%s is ready", sl.slot.Name)}}
	}
	if errors.Is(err, chestnutstream.ErrLoadFailed) {
		s.backOff(now, av)
	}
	// Whether the engine has it is seen by the next status; until then the slot
	// counts as taken.
	sl.since = now
	return []any{ReadStatus{srv.name}, Noted{srv.name, "load", err.Error()}}
}

func (s *Scheduler) backOff(now time.Time, av chestnutstream.AdapterVersion) {
	b := s.backoffs[av]
	if b == nil {
		b = &loadBackoff{pause: s.cfg.BackoffFirst}
		s.backoffs[av] = b
	} else {
		b.pause = min(2*b.pause, s.cfg.BackoffMax)
	}
	b.until = now.Add(b.pause)
}

// schedule asks for permits for the candidates of each server, and loads where
// a permit and a free slot are at hand.
func (s *Scheduler) schedule(now time.Time) []any {
	var actions []any
	wants := s.wantsByServer(now)
	for _, srv := range s.sorted() {
		actions = append(actions, s.scheduleServer(now, srv, wants[srv.name])...)
	}
	for av, b := range s.backoffs {
		if now.Sub(b.until) > s.cfg.BackoffMax {
			delete(s.backoffs, av)
		}
	}
	return actions
}

// wantsByServer sums up the wants of all instances that were heard lately.
func (s *Scheduler) wantsByServer(now time.Time) map[string]map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate {
	out := map[string]map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate{}
	for _, p := range s.peers {
		if now.Sub(p.heardAt) >= s.cfg.PromiseValidity {
			continue
		}
		for _, w := range p.wants {
			if s.servers[w.Server] == nil {
				continue
			}
			byAV := out[w.Server]
			if byAV == nil {
				byAV = map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate{}
				out[w.Server] = byAV
			}
			c := byAV[w.AdapterVersion]
			if c == nil {
				c = &chestnutstream.LoadCandidate{Server: w.Server, AdapterVersion: w.AdapterVersion}
				byAV[w.AdapterVersion] = c
			}
			slack := time.Duration(w.SlackMS)*time.Millisecond - now.Sub(p.heardAt)
			if c.Waiting == 0 || slack < c.Slack {
				c.Slack = slack
			}
			c.Waiting += w.Waiting
			c.Urgent += w.Urgent
			c.Weight += w.Weight
			c.Oldest = max(c.Oldest, time.Duration(w.OldestMS)*time.Millisecond+now.Sub(p.heardAt))
		}
	}
	return out
}

func (s *Scheduler) scheduleServer(now time.Time, srv *ownedServer, wants map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate) []any {
	if !srv.reachable || srv.status.Leaving || !now.Before(srv.holding.NotAfter) || srv.status.SlotLimit == 0 {
		return nil
	}
	for av, t := range srv.tickets {
		if wants[av] == nil && !t.loading {
			delete(srv.tickets, av) // nobody waits for it any more
		}
	}
	var actions []any
	for _, c := range s.candidates(now, srv, wants) {
		t := srv.tickets[c.AdapterVersion]
		if t == nil {
			if len(srv.tickets) >= s.cfg.LoadsPerServer || !s.roomFor(now, srv, c) {
				continue
			}
			s.serial++
			t = &ticket{id: fmt.Sprintf("%s/%d", s.self, s.serial), created: now}
			srv.tickets[c.AdapterVersion] = t
		}
		t.pri = s.policy.Priority(s.measures, c)
		if s.granted[t.id] && !t.loading {
			actions = append(actions, s.useGrant(now, srv, c, t)...)
		}
	}
	return actions
}

// candidates returns what may be loaded on a server, most urgent first.
func (s *Scheduler) candidates(now time.Time, srv *ownedServer, wants map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate) []chestnutstream.LoadCandidate {
	taken := map[chestnutstream.AdapterVersion]bool{}
	for _, sl := range srv.slots {
		if sl.slot.State != chestnutstream.SlotRetiring {
			taken[sl.slot.AdapterVersion] = true
		}
	}
	var out []chestnutstream.LoadCandidate
	for av, c := range wants {
		if b := s.backoffs[av]; taken[av] || b != nil && now.Before(b.until) {
			continue
		}
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		pi, pj := s.policy.Priority(s.measures, out[i]), s.policy.Priority(s.measures, out[j])
		if pi != pj {
			return pi > pj
		}
		return out[i].AdapterVersion.String() < out[j].AdapterVersion.String()
	})
	return out
}

// freeSlots returns the engine's free slots, and how many are becoming free.
func (srv *ownedServer) freeSlots() (free, retiring int) {
	for _, sl := range srv.slots {
		if sl.slot.State == chestnutstream.SlotRetiring {
			retiring++
		}
	}
	return srv.status.SlotLimit - len(srv.slots), retiring
}

// roomFor reports whether a candidate would find a slot, free or to be freed.
func (s *Scheduler) roomFor(now time.Time, srv *ownedServer, c chestnutstream.LoadCandidate) bool {
	free, retiring := srv.freeSlots()
	waiting := 0
	for _, t := range srv.tickets {
		if !t.loading {
			waiting++
		}
	}
	if free+retiring > waiting {
		return true
	}
	slots, uses := s.slotUses(now, srv)
	i, _ := s.policy.Victim(now, s.measures, c, uses)
	return i >= 0 && len(slots) > waiting-free-retiring
}

func (s *Scheduler) useGrant(now time.Time, srv *ownedServer, c chestnutstream.LoadCandidate, t *ticket) []any {
	free, retiring := srv.freeSlots()
	if free > 0 {
		t.loading = true
		return s.load(now, srv, c.AdapterVersion)
	}
	if retiring > 0 {
		return nil // wait for that one
	}
	slots, uses := s.slotUses(now, srv)
	i, draining := s.policy.Victim(now, s.measures, c, uses)
	if i < 0 {
		delete(srv.tickets, c.AdapterVersion)
		return nil
	}
	s.retire(now, srv, slots[i], draining)
	return []any{Noted{srv.name, "retire", fmt.Sprintf("%s makes room for %s", slots[i].slot.Name, c.AdapterVersion)}}
}

func (s *Scheduler) load(now time.Time, srv *ownedServer, av chestnutstream.AdapterVersion) []any {
	s.serial++
	name := chestnutstream.NewLoadName(av, fmt.Sprintf("%s.%x.%d", s.self, srv.holding.Fence, s.serial))
	srv.slots[name] = &ownedSlot{
		slot:  chestnutstream.Slot{Name: name, AdapterVersion: av, State: chestnutstream.SlotLoading},
		since: now, ordered: true,
	}
	s.touch(srv)
	return []any{
		LoadOrder{Server: srv.name, Name: name, Fence: srv.holding.Fence, NotAfter: srv.holding.NotAfter},
		Noted{srv.name, "load", string(name)},
	}
}

// slotUses returns the ready slots of a server and how they are used.
func (s *Scheduler) slotUses(now time.Time, srv *ownedServer) ([]*ownedSlot, []chestnutstream.SlotUse) {
	var slots []*ownedSlot
	for _, sl := range srv.sortedSlots() {
		if sl.slot.State == chestnutstream.SlotReady {
			slots = append(slots, sl)
		}
	}
	uses := make([]chestnutstream.SlotUse, 0, len(slots))
	for _, sl := range slots {
		u := chestnutstream.SlotUse{Slot: sl.slot, Uses: s.uses(sl.slot.Name), LastUsed: sl.lastUsed, LoadedAt: sl.loadedAt}
		if r := s.rates[sl.slot.AdapterVersion]; r != nil {
			u.Rate = r.read(now, s.cfg.RateHalfLife)
		}
		uses = append(uses, u)
	}
	return slots, uses
}
