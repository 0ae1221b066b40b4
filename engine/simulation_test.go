package engine

import (
	"fmt"
	"sort"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// simulation is a small availability zone: instances that run the real decision
// modules, engines and a table service that are plain maps, and a network
// that delays and loses messages. Its engines check the rules.
type simulation struct {
	t         *rapid.T
	now       time.Time
	instances []*simInstance
	engines   []*simEngine
	rows      map[string]OwnerRow
	leases    map[string]LeaseRow
	version   uint64
	storeDown bool
	serial    int
	unloads   int
	inFlight  []simDispatch
	orphans   map[string]simRequest // of crashed instances
	linksCut  map[[2]string]bool    // directed pairs that lose every message
	adapters  []chestnutstream.AdapterVersion
}

type simEngine struct {
	settings chestnutstream.ServerSettings
	epoch    int
	fence    uint64
	slots    map[chestnutstream.LoadName]map[string]bool // IDs of the requests in progress
}

type simInstance struct {
	sim                *simulation
	name               string
	processIncarnation int
	crashed            bool
	pausedUntil        time.Time
	ownership          *Ownership
	scheduler          *Scheduler
	placement          *Placement
	leaseUntil         time.Time
	leaseVersion       uint64
	incarnation        string
	leaseLosses        int
	renewedAt          time.Time
	storeFailing       StoreFailing
	peers              map[string]*simPeer
	applied            uint64 // version of its own reports
	inbox              []simMessage
	orders             []simOrder
	running            map[string]simRequest
	lastSent           map[string]time.Time
}

type simPeer struct {
	processIncarnation int
	receivedAt         time.Time
	applied            uint64
	seq                int
	owned              []string
	ackSent            time.Time // send time of our newest message that it has acknowledged
}

type simMessage struct {
	due, sentAt     time.Time
	from            string
	fromIncarnation int
	seq             int
	ackSentAt       time.Time // send time of the receiver's message that this acknowledges
	ackIncarnation  int
	applied         uint64
	version         uint64
	owned           []string
	reports         []OwnerReport
	demands         []chestnutstream.Demand
	usage           map[chestnutstream.LoadName]int
	quarantine      []chestnutstream.LoadName
}

type simDispatch struct {
	due                time.Time
	from               *simInstance
	processIncarnation int
	dispatch           Dispatch
	ends               time.Time
}

type simOrder struct {
	due    time.Time
	action any
}

type simRequest struct {
	server string
	name   chestnutstream.LoadName
	ends   time.Time
}

const simStep = 50 * time.Millisecond

func newSimulation(t *rapid.T, instances int) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_000_000, 0), rows: map[string]OwnerRow{}, leases: map[string]LeaseRow{},
		linksCut: map[[2]string]bool{}, orphans: map[string]simRequest{},
	}
	for i := range 9 {
		sim.adapters = append(sim.adapters, chestnutstream.AdapterVersion{Adapter: fmt.Sprintf("a%d", i), Version: "v1"})
	}
	for i, fences := range []bool{true, false} {
		sim.engines = append(sim.engines, &simEngine{
			settings: chestnutstream.ServerSettings{Name: fmt.Sprintf("e%d", i), Kind: chestnutstream.KindEngine, Zone: "z", Address: "x", BaseModel: "base", ChecksFencingTokens: fences},
			slots:    map[chestnutstream.LoadName]map[string]bool{},
		})
	}
	for i := range instances {
		in := &simInstance{sim: sim, name: fmt.Sprintf("i%d", i)}
		sim.instances = append(sim.instances, in)
		in.start()
	}
	return sim
}

func (sim *simulation) engine(name string) *simEngine {
	for _, e := range sim.engines {
		if e.settings.Name == name {
			return e
		}
	}
	return nil
}

func (in *simInstance) start() {
	sim := in.sim
	in.processIncarnation++
	in.crashed, in.pausedUntil = false, time.Time{}
	in.incarnation = fmt.Sprintf("%s.%d", in.name, in.processIncarnation)
	in.leaseUntil, in.leaseVersion, in.leaseLosses = time.Time{}, 0, 0
	in.renewedAt, in.storeFailing = time.Time{}, StoreFailing{}
	in.applied, in.inbox, in.orders = 0, nil, nil
	in.peers, in.running, in.lastSent = map[string]*simPeer{}, map[string]simRequest{}, map[string]time.Time{}
	in.ownership = NewOwnership(DefaultOwnershipSettings(8*time.Second), in.name, in.incarnation, sim.now)
	in.scheduler = NewScheduler(in.name+in.incarnation, DefaultSchedulerSettings(), DefaultLoads{})
	in.placement = NewPlacement("z", DefaultPlacementSettings(), DefaultPlacement{})
	var servers []chestnutstream.ServerSettings
	for _, e := range sim.engines {
		servers = append(servers, e.settings)
	}
	in.ownership.Step(sim.now, ZoneServers{servers})
	in.placement.Step(sim.now, Servers{Servers: servers})
}

// advance advances the time by d in steps of simStep.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		sim.deliverDispatches()
		sim.finishOrphans()
		for _, in := range sim.instances {
			if !in.crashed && !sim.now.Before(in.pausedUntil) {
				in.tick()
			}
		}
		sim.checkOwners()
	}
}

// checkOwners checks the invariant of Ownership: an engine that ignores fencing
// tokens has at most one valid owner.
func (sim *simulation) checkOwners() {
	for _, e := range sim.engines {
		if e.settings.ChecksFencingTokens {
			continue
		}
		var owners []string
		for _, in := range sim.instances {
			if _, ok := in.ownership.Valid(sim.now, e.settings.Name); ok && !in.crashed {
				owners = append(owners, in.name)
			}
		}
		if len(owners) > 1 {
			sim.t.Fatalf("%s has owners %v", e.settings.Name, owners)
		}
	}
}

func (in *simInstance) tick() {
	sim := in.sim
	in.renew()
	in.receive()
	in.runOrders()
	in.execute(in.ownership.Step(sim.now, LeaseState{ValidUntil: in.leaseUntil, Version: in.leaseVersion, Incarnation: in.incarnation}))
	in.execute(in.ownership.Step(sim.now, ZoneTick{Alive: in.alive()}))
	for _, name := range in.ownership.Watched() {
		in.readStatus(name)
	}
	in.decide()
	in.finishRequests()
	for _, other := range sim.instances {
		if other != in && sim.now.Sub(in.lastSent[other.name]) >= 200*time.Millisecond {
			in.lastSent[other.name] = sim.now
			in.send(other)
		}
	}
}

func (in *simInstance) alive() []string {
	names := []string{in.name}
	for name, p := range in.peers {
		if in.sim.now.Sub(p.receivedAt) < 2*time.Second {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (in *simInstance) decide() {
	sim := in.sim
	var all []string
	for _, other := range sim.instances {
		all = append(all, other.name)
	}
	in.execute(in.scheduler.Step(sim.now, Tick{Holdings: in.ownership.Holdings(sim.now), Instances: all, ObjectiveWeights: chestnutstream.ObjectiveWeights{LoadStall: 1, BatchEfficiency: 1}}))
	in.execute(in.placement.Step(sim.now, in.storeFailing))
	in.execute(in.placement.Step(sim.now, PlacementTick{Limits: QueueLimits{PerAdapter: 20, Total: 50}}))
	if v := in.scheduler.Version(); v != in.applied {
		for _, r := range in.scheduler.Reports(in.applied) {
			in.execute(in.placement.Step(sim.now, ServerReported{in.name, r.Fence, r.Report}))
		}
		in.placement.Step(sim.now, OwnerServers{in.name, in.scheduler.Owned()})
		in.applied = v
	}
	in.execute(in.placement.Step(sim.now, ReportLeaseExtended{in.name, sim.now.Add(time.Second)}))
	in.execute(in.scheduler.Step(sim.now, PeerStateReceived{Peer: in.name, Applied: in.applied, Usage: in.placement.Usage()[in.name], Demand: in.placement.Demand(sim.now)[in.name]}))
	var ids []string
	for _, r := range in.scheduler.PermitRequests() {
		ids = append(ids, r.ID)
	}
	in.execute(in.scheduler.Step(sim.now, PermitsGranted{ids}))
}

func (in *simInstance) renew() {
	sim := in.sim
	if sim.now.Sub(in.renewedAt) < 2500*time.Millisecond {
		return
	}
	in.renewedAt = sim.now
	if sim.storeDown {
		if in.storeFailing.Since.IsZero() {
			in.storeFailing.Since = sim.now
		}
		in.storeFailing.Last = sim.now
		return
	}
	in.storeFailing = StoreFailing{}
	row := sim.leases[in.name]
	if row.Version != in.leaseVersion {
		if in.leaseVersion != 0 {
			in.leaseLosses++
			in.incarnation = fmt.Sprintf("%s.%d.%d", in.name, in.processIncarnation, in.leaseLosses)
			in.leaseUntil = time.Time{}
		}
		in.leaseVersion = row.Version
		return
	}
	sim.version++
	sim.leases[in.name] = LeaseRow{Incarnation: in.incarnation, Version: sim.version}
	in.leaseVersion, in.leaseUntil = sim.version, sim.now.Add(7500*time.Millisecond)
}

func (in *simInstance) send(other *simInstance) {
	sim := in.sim
	p := in.peers[other.name]
	if p == nil {
		p = &simPeer{}
		in.peers[other.name] = p
	}
	sim.serial++
	m := simMessage{
		due: sim.now.Add(time.Duration(sim.serial%4) * simStep), sentAt: sim.now, from: in.name, fromIncarnation: in.processIncarnation, seq: sim.serial,
		ackSentAt: p.ackSent, ackIncarnation: p.processIncarnation, applied: p.applied, version: in.scheduler.Version(),
		owned: in.scheduler.Owned(), reports: in.scheduler.Reports(0),
		usage: in.placement.Usage()[other.name], demands: in.placement.Demand(sim.now)[other.name], quarantine: in.placement.Quarantined(),
	}
	if !sim.linksCut[[2]string{in.name, other.name}] && !other.crashed {
		other.inbox = append(other.inbox, m)
	}
}

// receive applies the messages that are due; applyMessage drops those that a
// newer one has overtaken.
func (in *simInstance) receive() {
	var later []simMessage
	for _, m := range in.inbox {
		if m.due.After(in.sim.now) {
			later = append(later, m)
			continue
		}
		in.applyMessage(m)
	}
	in.inbox = later
}

func (in *simInstance) applyMessage(m simMessage) {
	sim := in.sim
	p := in.peers[m.from]
	if p == nil {
		p = &simPeer{}
		in.peers[m.from] = p
	}
	if m.fromIncarnation < p.processIncarnation || m.fromIncarnation == p.processIncarnation && m.seq <= p.seq {
		return
	}
	if m.fromIncarnation != p.processIncarnation {
		*p = simPeer{processIncarnation: m.fromIncarnation}
	}
	p.seq, p.receivedAt, p.ackSent = m.seq, sim.now, m.sentAt
	for _, r := range m.reports {
		in.execute(in.placement.Step(sim.now, ServerReported{m.from, r.Fence, r.Report}))
		in.ownership.Step(sim.now, PeerOwns{m.from, r.Report.Server, r.Fence, r.Yielding})
	}
	in.placement.Step(sim.now, OwnerServers{m.from, m.owned})
	p.applied = max(p.applied, m.version)
	until := time.Time{}
	applied := uint64(0)
	if m.ackIncarnation == in.processIncarnation {
		applied = m.applied
		if !m.ackSentAt.IsZero() {
			until = m.ackSentAt.Add(DefaultSchedulerSettings().ReportLeaseDuration)
		}
	}
	in.placement.Step(sim.now, ReportLeaseExtended{m.from, until})
	in.execute(in.scheduler.Step(sim.now, PeerStateReceived{Peer: m.from, Applied: applied, Usage: m.usage, Demand: m.demands, Quarantine: m.quarantine}))
}

func (in *simInstance) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Dispatch:
			in.dispatch(a)
		case ReadStatus:
			in.readStatus(a.Server)
		case LoadOrder, UnloadOrder, RaiseFence, AcquireRow, ReleaseRow, ReadOwners:
			delay := time.Duration(in.sim.serial%3) * simStep
			in.orders = append(in.orders, simOrder{in.sim.now.Add(delay), a})
		}
	}
}

func (in *simInstance) readStatus(server string) {
	sim := in.sim
	e := sim.engine(server)
	st := chestnutstream.EngineStatus{Epoch: fmt.Sprint(e.epoch), Fence: e.fence, BatchLimit: 4, SlotLimit: 2}
	for name, requests := range e.slots {
		slot := chestnutstream.EngineSlot{Name: name}
		for id := range requests {
			slot.Requests = append(slot.Requests, id)
		}
		st.Slots = append(st.Slots, slot)
	}
	in.execute(in.ownership.Step(sim.now, FenceRead{server, e.fence, sim.now}))
	in.execute(in.scheduler.Step(sim.now, StatusRead{Server: server, Status: st, SentAt: sim.now}))
}

func (in *simInstance) runOrders() {
	orders := in.orders
	in.orders = nil
	for _, o := range orders {
		if o.due.After(in.sim.now) {
			in.orders = append(in.orders, o)
			continue
		}
		in.runOrder(o.action)
	}
}

// checkOwnership is the last check before an order is sent, as in entry.Node.
func (in *simInstance) checkOwnership(server string, fence uint64) error {
	if h, ok := in.ownership.Valid(in.sim.now, server); !ok || h.Fence != fence {
		return chestnutstream.ErrOrderExpired
	}
	return nil
}

func (in *simInstance) runOrder(action any) {
	sim := in.sim
	switch a := action.(type) {
	case LoadOrder:
		err := in.checkOwnership(a.Server, a.Fence)
		if err == nil {
			err = sim.engine(a.Server).load(a.Name, a.Fence)
		}
		in.execute(in.scheduler.Step(sim.now, OrderDone{a.Server, a.Name, false, err}))
	case UnloadOrder:
		err := in.checkOwnership(a.Server, a.Fence)
		if err == nil {
			err = sim.engine(a.Server).unload(sim, in.name, a.Name, a.Fence)
		}
		in.execute(in.scheduler.Step(sim.now, OrderDone{a.Server, a.Name, true, err}))
	case RaiseFence:
		err := sim.engine(a.Server).raise(a.Fence)
		in.ownership.Step(sim.now, Acquired{a.Server, a.Fence, 0, sim.now, err})
	case ReadOwners:
		if !sim.storeDown {
			read := OwnerRowsRead{Owners: map[string]OwnerRow{}, Leases: map[string]LeaseRow{}}
			for k, v := range sim.rows {
				read.Owners[k] = v
			}
			for k, v := range sim.leases {
				read.Leases[k] = v
			}
			in.execute(in.ownership.Step(sim.now, read))
		}
	case AcquireRow:
		in.acquire(a)
	case ReleaseRow:
		err := chestnutstream.ErrUnavailable
		if !sim.storeDown && sim.rows[a.Server].Version == a.RowVersion {
			sim.version++
			sim.rows[a.Server] = OwnerRow{Fence: a.Fence, Version: sim.version}
			err = nil
		}
		in.ownership.Step(sim.now, Released{a.Server, err})
	}
}

func (in *simInstance) acquire(a AcquireRow) {
	sim := in.sim
	ok := !sim.storeDown && sim.rows[a.Server].Version == a.RowVersion && sim.leases[in.name].Version == a.LeaseVersion &&
		(a.OldOwner == "" || sim.leases[a.OldOwner].Version == a.OldLeaseVersion)
	if !ok {
		in.ownership.Step(sim.now, Acquired{Server: a.Server, Fence: a.Fence, SentAt: sim.now, Err: chestnutstream.ErrUnavailable})
		return
	}
	if a.OldOwner != "" {
		delete(sim.leases, a.OldOwner)
	}
	sim.version++
	sim.rows[a.Server] = OwnerRow{Owner: in.name, Incarnation: in.incarnation, Fence: a.Fence, Version: sim.version}
	if sim.serial%5 == 0 {
		// The response is lost although the write took effect.
		in.ownership.Step(sim.now, Acquired{Server: a.Server, Fence: a.Fence, SentAt: sim.now, Err: chestnutstream.ErrUnavailable})
		return
	}
	in.ownership.Step(sim.now, Acquired{Server: a.Server, Fence: a.Fence, RowVersion: sim.version, SentAt: sim.now})
}

// dispatch sends a request over the network; it arrives a little later.
func (in *simInstance) dispatch(a Dispatch) {
	sim := in.sim
	sim.serial++
	ends := sim.now.Add(time.Duration(100+97*(sim.serial%9)) * time.Millisecond)
	sim.inFlight = append(sim.inFlight, simDispatch{sim.now.Add(time.Duration(sim.serial%4) * simStep), in, in.processIncarnation, a, ends})
}

// deliverDispatches delivers the requests that are due, whether their instance
// is running, paused or crashed.
func (sim *simulation) deliverDispatches() {
	flights := sim.inFlight
	sim.inFlight = nil
	for _, f := range flights {
		if f.due.After(sim.now) {
			sim.inFlight = append(sim.inFlight, f)
			continue
		}
		f.from.startRequest(f)
	}
}

func (in *simInstance) startRequest(f simDispatch) {
	sim, a := in.sim, f.dispatch
	if in.processIncarnation != f.processIncarnation || in.crashed {
		if requests, ok := sim.engine(a.Server).slots[a.Name]; ok {
			requests[a.ID] = true
			sim.orphans[a.ID] = simRequest{a.Server, a.Name, f.ends}
		}
		return
	}
	in.running[a.ID] = simRequest{a.Server, a.Name, f.ends}
	requests, ok := sim.engine(a.Server).slots[a.Name]
	if !ok {
		delete(in.running, a.ID)
		in.execute(in.placement.Step(sim.now, Finished{a.ID, NotLoaded}))
		return
	}
	requests[a.ID] = true
}

func (in *simInstance) finishRequests() {
	sim := in.sim
	for id, r := range in.running {
		if sim.now.Before(r.ends) {
			continue
		}
		delete(sim.engine(r.server).slots[r.name], id)
		delete(in.running, id)
		in.execute(in.placement.Step(sim.now, Finished{ID: id}))
	}
}

func (e *simEngine) raise(fence uint64) error {
	if e.settings.ChecksFencingTokens {
		if fence < e.fence {
			return chestnutstream.ErrFenced
		}
		e.fence = fence
	}
	return nil
}

func (e *simEngine) load(name chestnutstream.LoadName, fence uint64) error {
	if err := e.raise(fence); err != nil {
		return err
	}
	if len(e.slots) >= 2 {
		return chestnutstream.ErrNoSlot
	}
	e.slots[name] = map[string]bool{}
	return nil
}

// unload follows the order, as engines do, and fails the test if a request uses
// the slot.
func (e *simEngine) unload(sim *simulation, by string, name chestnutstream.LoadName, fence uint64) error {
	if err := e.raise(fence); err != nil {
		return err
	}
	if n := len(e.slots[name]); n > 0 {
		sim.t.Fatalf("%s unloads %s from %s while %d requests use it\n%s", by, name, e.settings.Name, n, sim.describe(e, name))
	}
	delete(e.slots, name)
	sim.unloads++
	return nil
}

// describe returns the requests that use a slot and each instance's view of it.
func (sim *simulation) describe(e *simEngine, name chestnutstream.LoadName) string {
	out := fmt.Sprintf("at %v, used by %v\n", sim.now.Sub(time.Unix(1_000_000, 0)), e.slots[name])
	for _, in := range sim.instances {
		s := in.placement.servers[e.settings.Name]
		out += fmt.Sprintf("%s: crashed %v, running %v, owner %q owned %v fence %d report lease for %v, store unresponsive %v, usage %v\n", in.name, in.crashed, len(in.running),
			s.owner, s.owned, s.fence, in.placement.reportLeases[s.owner].Sub(sim.now), in.placement.storeUnresponsive(sim.now), s.usage)
		for peer, p := range in.scheduler.peers {
			out += fmt.Sprintf("  its scheduler's state of %s: received %v ago, applied %d of %d, usage %v\n", peer, sim.now.Sub(p.receivedAt), p.applied, in.scheduler.version, p.usage)
		}
	}
	return out
}

// finishOrphans ends the requests of crashed instances, which the engines
// continue for a while.
func (sim *simulation) finishOrphans() {
	for id, r := range sim.orphans {
		if sim.now.Before(r.ends) {
			continue
		}
		delete(sim.engine(r.server).slots[r.name], id)
		delete(sim.orphans, id)
	}
}

// crash stops an instance; its requests continue on the engines.
func (in *simInstance) crash() {
	for id, r := range in.running {
		in.sim.orphans[id] = r
	}
	in.running = map[string]simRequest{}
	in.crashed = true
}
