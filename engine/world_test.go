package engine

import (
	"fmt"
	"sort"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// world is a small zone: instances that run the real decision parts, engines
// and a table service that are plain maps, and a network that delays and loses
// messages. Its engines judge the rules.
type world struct {
	t         *rapid.T
	now       time.Time
	instances []*worldInstance
	engines   []*worldEngine
	rows      map[string]OwnerRow
	leases    map[string]LeaseRow
	version   uint64
	storeDown bool
	serial    int
	unloads   int
	flights   []worldFlight
	orphans   map[string]worldRequest // of instances that died
	cut       map[[2]string]bool      // directed pairs that lose everything
	adapters  []chestnutstream.AdapterVersion
}

type worldEngine struct {
	settings chestnutstream.ServerSettings
	epoch    int
	fence    uint64
	slots    map[chestnutstream.LoadName]map[string]bool // requests in use
}

type worldInstance struct {
	w           *world
	name        string
	run         int
	dead        bool
	pausedUntil time.Time
	ownership   *Ownership
	scheduler   *Scheduler
	placement   *Placement
	leaseUntil  time.Time
	leaseVer    uint64
	incarnation string
	losses      int
	renewedAt   time.Time
	failing     StoreFailing
	peers       map[string]*worldPeer
	applied     uint64 // of its own reports
	inbox       []worldMessage
	orders      []worldOrder
	running     map[string]worldRequest
	lastSent    map[string]time.Time
}

type worldPeer struct {
	run     int
	heardAt time.Time
	applied uint64
	seq     int
	owned   []string
	ackSent time.Time // send time of our newest State that it has acknowledged
}

type worldMessage struct {
	due, sentAt time.Time
	from        string
	fromRun     int
	seq         int
	ackSentAt   time.Time // send time of the receiver's State that this acknowledges
	ackRun      int
	applied     uint64
	version     uint64
	owned       []string
	reports     []OwnerReport
	wants       []chestnutstream.Want
	uses        map[chestnutstream.LoadName]int
	quarantine  []chestnutstream.LoadName
}

type worldFlight struct {
	due      time.Time
	from     *worldInstance
	run      int
	dispatch Dispatch
	ends     time.Time
}

type worldOrder struct {
	due    time.Time
	action any
}

type worldRequest struct {
	server string
	name   chestnutstream.LoadName
	ends   time.Time
}

const worldStep = 50 * time.Millisecond

func newWorld(t *rapid.T, instances int) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), rows: map[string]OwnerRow{}, leases: map[string]LeaseRow{},
		cut: map[[2]string]bool{}, orphans: map[string]worldRequest{},
	}
	for i := range 9 {
		w.adapters = append(w.adapters, chestnutstream.AdapterVersion{Adapter: fmt.Sprintf("a%d", i), Version: "v1"})
	}
	for i, fences := range []bool{true, false} {
		w.engines = append(w.engines, &worldEngine{
			settings: chestnutstream.ServerSettings{Name: fmt.Sprintf("e%d", i), Kind: chestnutstream.KindEngine, Zone: "z", Address: "x", BaseModel: "base", ChecksFences: fences},
			slots:    map[chestnutstream.LoadName]map[string]bool{},
		})
	}
	for i := range instances {
		in := &worldInstance{w: w, name: fmt.Sprintf("i%d", i)}
		w.instances = append(w.instances, in)
		in.start()
	}
	return w
}

func (w *world) engine(name string) *worldEngine {
	for _, e := range w.engines {
		if e.settings.Name == name {
			return e
		}
	}
	return nil
}

func (in *worldInstance) start() {
	w := in.w
	in.run++
	in.dead, in.pausedUntil = false, time.Time{}
	in.incarnation = fmt.Sprintf("%s.%d", in.name, in.run)
	in.leaseUntil, in.leaseVer, in.losses = time.Time{}, 0, 0
	in.renewedAt, in.failing = time.Time{}, StoreFailing{}
	in.applied, in.inbox, in.orders = 0, nil, nil
	in.peers, in.running, in.lastSent = map[string]*worldPeer{}, map[string]worldRequest{}, map[string]time.Time{}
	in.ownership = NewOwnership(DefaultOwnershipSettings(8*time.Second), in.name, in.incarnation, w.now)
	in.scheduler = NewScheduler(in.name+in.incarnation, DefaultSchedulerSettings(), DefaultLoads{})
	in.placement = NewPlacement("z", DefaultPlacementSettings(), DefaultPlacement{})
	var servers []chestnutstream.ServerSettings
	for _, e := range w.engines {
		servers = append(servers, e.settings)
	}
	in.ownership.Step(w.now, ZoneServers{servers})
	in.placement.Step(w.now, Servers{Servers: servers})
}

// advance passes time in small steps.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		w.land()
		w.finishOrphans()
		for _, in := range w.instances {
			if !in.dead && !w.now.Before(in.pausedUntil) {
				in.tick()
			}
		}
		w.checkOwners()
	}
}

// checkOwners holds the invariant of Ownership: an engine that ignores fencing
// numbers has at most one valid owner.
func (w *world) checkOwners() {
	for _, e := range w.engines {
		if e.settings.ChecksFences {
			continue
		}
		var owners []string
		for _, in := range w.instances {
			if _, ok := in.ownership.Valid(w.now, e.settings.Name); ok && !in.dead {
				owners = append(owners, in.name)
			}
		}
		if len(owners) > 1 {
			w.t.Fatalf("%s has owners %v", e.settings.Name, owners)
		}
	}
}

func (in *worldInstance) tick() {
	w := in.w
	in.renew()
	in.receive()
	in.runOrders()
	in.do(in.ownership.Step(w.now, LeaseHeld{ValidUntil: in.leaseUntil, Version: in.leaseVer, Incarnation: in.incarnation}))
	in.do(in.ownership.Step(w.now, ZoneTick{Alive: in.alive()}))
	for _, name := range in.ownership.Watched() {
		in.readStatus(name)
	}
	in.decide()
	in.finishRequests()
	for _, other := range w.instances {
		if other != in && w.now.Sub(in.lastSent[other.name]) >= 200*time.Millisecond {
			in.lastSent[other.name] = w.now
			in.send(other)
		}
	}
}

func (in *worldInstance) alive() []string {
	names := []string{in.name}
	for name, p := range in.peers {
		if in.w.now.Sub(p.heardAt) < 2*time.Second {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (in *worldInstance) decide() {
	w := in.w
	var all []string
	for _, other := range w.instances {
		all = append(all, other.name)
	}
	in.do(in.scheduler.Step(w.now, Tick{Holdings: in.ownership.Holdings(w.now), Instances: all, Measures: chestnutstream.Measures{LoadStall: 1, BatchEfficiency: 1}}))
	in.do(in.placement.Step(w.now, in.failing))
	in.do(in.placement.Step(w.now, PlacementTick{Limits: QueueLimits{PerAdapter: 20, Total: 50}}))
	if v := in.scheduler.Version(); v != in.applied {
		for _, r := range in.scheduler.Reports(in.applied) {
			in.do(in.placement.Step(w.now, Reported{in.name, r.Fence, r.Report}))
		}
		in.placement.Step(w.now, OwnerServers{in.name, in.scheduler.Owned()})
		in.applied = v
	}
	in.do(in.placement.Step(w.now, Promised{in.name, w.now.Add(time.Second)}))
	in.do(in.scheduler.Step(w.now, PeerHeard{Peer: in.name, Applied: in.applied, Uses: in.placement.Uses()[in.name], Wants: in.placement.Wants(w.now)[in.name]}))
	var ids []string
	for _, a := range in.scheduler.Asks() {
		ids = append(ids, a.ID)
	}
	in.do(in.scheduler.Step(w.now, PermitsGranted{ids}))
}

func (in *worldInstance) renew() {
	w := in.w
	if w.now.Sub(in.renewedAt) < 2500*time.Millisecond {
		return
	}
	in.renewedAt = w.now
	if w.storeDown {
		if in.failing.Since.IsZero() {
			in.failing.Since = w.now
		}
		in.failing.Last = w.now
		return
	}
	in.failing = StoreFailing{}
	row := w.leases[in.name]
	if row.Version != in.leaseVer {
		if in.leaseVer != 0 {
			in.losses++
			in.incarnation = fmt.Sprintf("%s.%d.%d", in.name, in.run, in.losses)
			in.leaseUntil = time.Time{}
		}
		in.leaseVer = row.Version
		return
	}
	w.version++
	w.leases[in.name] = LeaseRow{Incarnation: in.incarnation, Version: w.version}
	in.leaseVer, in.leaseUntil = w.version, w.now.Add(7500*time.Millisecond)
}

func (in *worldInstance) send(other *worldInstance) {
	w := in.w
	p := in.peers[other.name]
	if p == nil {
		p = &worldPeer{}
		in.peers[other.name] = p
	}
	w.serial++
	m := worldMessage{
		due: w.now.Add(time.Duration(w.serial%4) * worldStep), sentAt: w.now, from: in.name, fromRun: in.run, seq: w.serial,
		ackSentAt: p.ackSent, ackRun: p.run, applied: p.applied, version: in.scheduler.Version(),
		owned: in.scheduler.Owned(), reports: in.scheduler.Reports(0),
		uses: in.placement.Uses()[other.name], wants: in.placement.Wants(w.now)[other.name], quarantine: in.placement.Quarantined(),
	}
	if !w.cut[[2]string{in.name, other.name}] && !other.dead {
		other.inbox = append(other.inbox, m)
	}
}

// receive takes the messages that are due; one that was overtaken is dropped.
func (in *worldInstance) receive() {
	var later []worldMessage
	for _, m := range in.inbox {
		if m.due.After(in.w.now) {
			later = append(later, m)
			continue
		}
		in.take(m)
	}
	in.inbox = later
}

func (in *worldInstance) take(m worldMessage) {
	w := in.w
	p := in.peers[m.from]
	if p == nil {
		p = &worldPeer{}
		in.peers[m.from] = p
	}
	if m.fromRun < p.run || m.fromRun == p.run && m.seq <= p.seq {
		return
	}
	if m.fromRun != p.run {
		*p = worldPeer{run: m.fromRun}
	}
	p.seq, p.heardAt, p.ackSent = m.seq, w.now, m.sentAt
	for _, r := range m.reports {
		in.do(in.placement.Step(w.now, Reported{m.from, r.Fence, r.Report}))
		in.ownership.Step(w.now, PeerOwns{m.from, r.Report.Server, r.Fence, r.Yielding})
	}
	in.placement.Step(w.now, OwnerServers{m.from, m.owned})
	p.applied = max(p.applied, m.version)
	until := time.Time{}
	applied := uint64(0)
	if m.ackRun == in.run {
		applied = m.applied
		if !m.ackSentAt.IsZero() {
			until = m.ackSentAt.Add(DefaultSchedulerSettings().PromiseValidity)
		}
	}
	in.placement.Step(w.now, Promised{m.from, until})
	in.do(in.scheduler.Step(w.now, PeerHeard{Peer: m.from, Applied: applied, Uses: m.uses, Wants: m.wants, Quarantine: m.quarantine}))
}

func (in *worldInstance) do(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Dispatch:
			in.dispatch(a)
		case ReadStatus:
			in.readStatus(a.Server)
		case LoadOrder, UnloadOrder, RaiseFence, AcquireRow, ReleaseRow, ReadOwners:
			delay := time.Duration(in.w.serial%3) * worldStep
			in.orders = append(in.orders, worldOrder{in.w.now.Add(delay), a})
		}
	}
}

func (in *worldInstance) readStatus(server string) {
	w := in.w
	e := w.engine(server)
	st := chestnutstream.EngineStatus{Epoch: fmt.Sprint(e.epoch), Fence: e.fence, BatchLimit: 4, SlotLimit: 2}
	for name, requests := range e.slots {
		slot := chestnutstream.EngineSlot{Name: name}
		for id := range requests {
			slot.Requests = append(slot.Requests, id)
		}
		st.Slots = append(st.Slots, slot)
	}
	in.do(in.ownership.Step(w.now, FenceSeen{server, e.fence, w.now}))
	in.do(in.scheduler.Step(w.now, StatusRead{Server: server, Status: st, SentAt: w.now}))
}

func (in *worldInstance) runOrders() {
	orders := in.orders
	in.orders = nil
	for _, o := range orders {
		if o.due.After(in.w.now) {
			in.orders = append(in.orders, o)
			continue
		}
		in.order(o.action)
	}
}

// holds is the last look before an order, as in entry.Node.
func (in *worldInstance) holds(server string, fence uint64) error {
	if h, ok := in.ownership.Valid(in.w.now, server); !ok || h.Fence != fence {
		return chestnutstream.ErrOrderExpired
	}
	return nil
}

func (in *worldInstance) order(action any) {
	w := in.w
	switch a := action.(type) {
	case LoadOrder:
		err := in.holds(a.Server, a.Fence)
		if err == nil {
			err = w.engine(a.Server).load(a.Name, a.Fence)
		}
		in.do(in.scheduler.Step(w.now, OrderDone{a.Server, a.Name, false, err}))
	case UnloadOrder:
		err := in.holds(a.Server, a.Fence)
		if err == nil {
			err = w.engine(a.Server).unload(w, in.name, a.Name, a.Fence)
		}
		in.do(in.scheduler.Step(w.now, OrderDone{a.Server, a.Name, true, err}))
	case RaiseFence:
		err := w.engine(a.Server).raise(a.Fence)
		in.ownership.Step(w.now, Acquired{a.Server, a.Fence, 0, w.now, err})
	case ReadOwners:
		if !w.storeDown {
			read := OwnersRead{Owners: map[string]OwnerRow{}, Leases: map[string]LeaseRow{}}
			for k, v := range w.rows {
				read.Owners[k] = v
			}
			for k, v := range w.leases {
				read.Leases[k] = v
			}
			in.do(in.ownership.Step(w.now, read))
		}
	case AcquireRow:
		in.acquire(a)
	case ReleaseRow:
		err := chestnutstream.ErrUnavailable
		if !w.storeDown && w.rows[a.Server].Version == a.RowVersion {
			w.version++
			w.rows[a.Server] = OwnerRow{Fence: a.Fence, Version: w.version}
			err = nil
		}
		in.ownership.Step(w.now, Released{a.Server, err})
	}
}

func (in *worldInstance) acquire(a AcquireRow) {
	w := in.w
	ok := !w.storeDown && w.rows[a.Server].Version == a.RowVersion && w.leases[in.name].Version == a.MyLease &&
		(a.OldOwner == "" || w.leases[a.OldOwner].Version == a.OldLease)
	if !ok {
		in.ownership.Step(w.now, Acquired{Server: a.Server, Fence: a.Fence, SentAt: w.now, Err: chestnutstream.ErrUnavailable})
		return
	}
	if a.OldOwner != "" {
		delete(w.leases, a.OldOwner)
	}
	w.version++
	w.rows[a.Server] = OwnerRow{Owner: in.name, Incarnation: in.incarnation, Fence: a.Fence, Version: w.version}
	if w.serial%5 == 0 {
		// The answer is lost though the write took effect.
		in.ownership.Step(w.now, Acquired{Server: a.Server, Fence: a.Fence, SentAt: w.now, Err: chestnutstream.ErrUnavailable})
		return
	}
	in.ownership.Step(w.now, Acquired{Server: a.Server, Fence: a.Fence, RowVersion: w.version, SentAt: w.now})
}

// dispatch hands a request to the network; it arrives a little later.
func (in *worldInstance) dispatch(a Dispatch) {
	w := in.w
	w.serial++
	ends := w.now.Add(time.Duration(100+97*(w.serial%9)) * time.Millisecond)
	w.flights = append(w.flights, worldFlight{w.now.Add(time.Duration(w.serial%4) * worldStep), in, in.run, a, ends})
}

// land has the requests arrive that are due, whether their instance lives, is
// paused or has died.
func (w *world) land() {
	flights := w.flights
	w.flights = nil
	for _, f := range flights {
		if f.due.After(w.now) {
			w.flights = append(w.flights, f)
			continue
		}
		f.from.arrive(f)
	}
}

func (in *worldInstance) arrive(f worldFlight) {
	w, a := in.w, f.dispatch
	if in.run != f.run || in.dead {
		if requests, ok := w.engine(a.Server).slots[a.Name]; ok {
			requests[a.ID] = true
			w.orphans[a.ID] = worldRequest{a.Server, a.Name, f.ends}
		}
		return
	}
	in.running[a.ID] = worldRequest{a.Server, a.Name, f.ends}
	requests, ok := w.engine(a.Server).slots[a.Name]
	if !ok {
		delete(in.running, a.ID)
		in.do(in.placement.Step(w.now, Finished{a.ID, NotLoaded}))
		return
	}
	requests[a.ID] = true
}

func (in *worldInstance) finishRequests() {
	w := in.w
	for id, r := range in.running {
		if w.now.Before(r.ends) {
			continue
		}
		delete(w.engine(r.server).slots[r.name], id)
		delete(in.running, id)
		in.do(in.placement.Step(w.now, Finished{ID: id}))
	}
}

func (e *worldEngine) raise(fence uint64) error {
	if e.settings.ChecksFences {
		if fence < e.fence {
			return chestnutstream.ErrFenced
		}
		e.fence = fence
	}
	return nil
}

func (e *worldEngine) load(name chestnutstream.LoadName, fence uint64) error {
	if err := e.raise(fence); err != nil {
		return err
	}
	if len(e.slots) >= 2 {
		return chestnutstream.ErrNoSlot
	}
	e.slots[name] = map[string]bool{}
	return nil
}

// unload obeys, as engines do, and judges.
func (e *worldEngine) unload(w *world, by string, name chestnutstream.LoadName, fence uint64) error {
	if err := e.raise(fence); err != nil {
		return err
	}
	if n := len(e.slots[name]); n > 0 {
		w.t.Fatalf("%s unloads %s from %s while %d requests use it\n%s", by, name, e.settings.Name, n, w.describe(e, name))
	}
	delete(e.slots, name)
	w.unloads++
	return nil
}

// describe tells who uses a slot and what each instance believes.
func (w *world) describe(e *worldEngine, name chestnutstream.LoadName) string {
	out := fmt.Sprintf("at %v, used by %v\n", w.now.Sub(time.Unix(1_000_000, 0)), e.slots[name])
	for _, in := range w.instances {
		s := in.placement.servers[e.settings.Name]
		out += fmt.Sprintf("%s: dead %v, runs %v, owner %q owned %v fence %d promised %v silent %v uses %v\n", in.name, in.dead, len(in.running),
			s.owner, s.owned, s.fence, in.placement.promises[s.owner].Sub(w.now), in.placement.storeSilent(w.now), s.uses)
		for peer, p := range in.scheduler.peers {
			out += fmt.Sprintf("  scheduler sees %s: heard %v ago, applied %d of %d, uses %v\n", peer, w.now.Sub(p.heardAt), p.applied, in.scheduler.version, p.uses)
		}
	}
	return out
}

// finishOrphans ends the requests of an instance that died: the engine goes on
// with them for a while.
func (w *world) finishOrphans() {
	for id, r := range w.orphans {
		if w.now.Before(r.ends) {
			continue
		}
		delete(w.engine(r.server).slots[r.name], id)
		delete(w.orphans, id)
	}
}

// crash ends an instance; its requests go on at the engines.
func (in *worldInstance) crash() {
	for id, r := range in.running {
		in.w.orphans[id] = r
	}
	in.running = map[string]worldRequest{}
	in.dead = true
}
