// Package entry puts one entry instance together: the decision parts, the
// clients of the platform, engines and services, the peer mesh, and the HTTP
// handlers of callers and operators.
//
// # Usage
//
//	in, err := entry.Start(settings)
//	defer in.Close()
//	err = in.Drain(ctx) // on SIGTERM: no new work, every request ends
//
// # How it works
//
// node.go is the loop around the decision parts. Everything that happens is an
// event: a peer's State, an engine's status, a request, the passing of time.
// Under one mutex the event is handed to the part that it concerns; the actions
// that come back are carried out outside the mutex, and their results are
// events again. No decision part knows a clock, a socket or a goroutine.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/peer"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/service"
	"github.com/chestnutstream/chestnutstream/table"
)

// Periods of the node's work.
const (
	decisionPeriod  = 20 * time.Millisecond
	idlePeriod      = 100 * time.Millisecond
	ownershipPeriod = 250 * time.Millisecond
	headPeriod      = 2 * time.Second
	listPeriod      = 2 * time.Second
	probePeriod     = 500 * time.Millisecond
	sweepPeriod     = 5 * time.Second
	platformTimeout = 2 * time.Second
	selfPromise     = time.Second // an instance's promise to itself lasts until the next ticks
	fullSpeedLoad   = 600 * time.Millisecond
	leadPeriod      = 100 * time.Millisecond // between elections of the lead
)

// Node is the loop around the decision parts of one instance.
type Node struct {
	cfg     Settings
	self    peer.Member
	run     uint64 // incarnation of this run
	log     log.Interface
	metrics *metrics.Set
	notes   *notes

	platform *platform.Store
	engines  *engine.Client
	services *service.Client
	lease    *table.Lease
	claims   *table.Claims
	store    *operator.Store
	mesh     *peer.Mesh
	pool     *pool

	config   atomic.Pointer[chestnutstream.Configuration]
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	stops    []func()

	mu        sync.Mutex
	members   *members
	ownership *engine.Ownership
	scheduler *engine.Scheduler
	placement *engine.Placement
	permits   *engine.Permits
	adoption  *operator.Adoption
	asked     map[string]time.Time // contents that are being fetched, by hash
	waiters   map[string]chan placed
	reading   map[string]bool // status reads under way
	applied   uint64          // own report version that the placement has applied
	told      map[string]uint64
	toldAll   uint64
	gone      bool
	decidedAt time.Time
	leadName  string // as of leadAt
	leadAt    time.Time
	limits    engine.QueueLimits // of the configuration in force
	probes    map[string]peer.ServiceState
	sweepNext int
}

type placed struct {
	dispatch engine.Dispatch
	refused  *engine.Refuse
}

func newNode(cfg Settings) *Node {
	run := rand.Uint64() | 1
	incarnation := fmt.Sprintf("%x", run)
	self := peer.Member{Name: cfg.Name, Address: cfg.PeerAddress, Region: cfg.Region, Zone: cfg.Zone}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, self: self, run: run, log: cfg.Log, metrics: metrics.NewSet(), notes: newNotes(),
		platform: platform.NewStore(cfg.Platform, platformTimeout, cfg.Dial).From(cfg.Zone),
		engines:  engine.NewClient(cfg.Dial), services: service.NewClient(cfg.Dial),
		ctx: ctx, cancel: cancel,
		members: newMembers(self), adoption: operator.NewAdoption(),
		asked: map[string]time.Time{}, waiters: map[string]chan placed{}, reading: map[string]bool{},
		told: map[string]uint64{}, probes: map[string]peer.ServiceState{},
	}
	now := cfg.Timer.Now
	n.lease = table.NewLease(n.platform, now, cfg.Name, incarnation)
	n.claims = table.NewClaims(n.platform, now)
	n.store = operator.NewStore(n.platform, n.platform, now)
	n.pool = newPool(now)
	loads, places := policies(cfg)
	n.ownership = engine.NewOwnership(engine.DefaultOwnershipSettings(table.LeaseDuration), cfg.Name, incarnation, now())
	n.scheduler = engine.NewScheduler(cfg.Name, cfg.Scheduler, loads)
	n.placement = engine.NewPlacement(cfg.Zone, cfg.Placement, places)
	n.permits = engine.NewPermits(engine.PermitSettings{LoadsInFlight: 16, Zones: 4, FullSpeed: fullSpeedLoad, Unheard: cfg.Scheduler.PromiseValidity})
	n.mesh = peer.NewMesh(peer.Settings{
		Self: self, Incarnation: run, Secret: cfg.PeerSecret, PromiseValidity: cfg.Scheduler.PromiseValidity,
		Interval: cfg.PeerInterval, IntervalPerPeer: cfg.PeerIntervalPerPeer, Timer: cfg.Timer, Dial: cfg.Dial, Log: cfg.Log,
	}, n)
	return n
}

func policies(cfg Settings) (chestnutstream.LoadPolicy, chestnutstream.PlacementPolicy) {
	if cfg.Policy == PolicyNaive {
		return engine.NaiveLoads{}, engine.NaivePlacement{Seed: cfg.Name, Zone: cfg.Zone}
	}
	return engine.DefaultLoads{}, engine.DefaultPlacement{}
}

// start subscribes the node's work to the timer.
func (n *Node) start() {
	t := n.cfg.Timer
	n.stops = append(n.stops,
		t.Subscribe(decisionPeriod, n.tick),
		t.Subscribe(ownershipPeriod, n.ownershipTick),
		t.Subscribe(table.LeaseRenewal, func(time.Time) { n.renewLease() }),
		t.Subscribe(jitter(headPeriod), func(time.Time) { n.readHead() }),
		t.Subscribe(jitter(listPeriod), func(time.Time) { n.readList() }),
		t.Subscribe(probePeriod, n.probeServices),
		t.Subscribe(jitter(sweepPeriod), n.sweepClaims),
	)
	go func() {
		n.readList()
		n.readHead()
		n.renewLease()
	}()
}

// jitter spreads the periods of instances that start together.
func jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/5)
}

func (n *Node) stop() {
	for _, stop := range n.stops {
		stop()
	}
	n.mesh.Close()
	n.cancel()
}

// Configuration returns the configuration in force, or nil.
func (n *Node) Configuration() *chestnutstream.Configuration { return n.config.Load() }

// tick passes the time to the decision parts: every decisionPeriod while
// something waits for a decision, else every idlePeriod.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	queued, _ := n.placement.Waiting()
	if queued == 0 && !n.scheduler.Busy() && now.Sub(n.decidedAt) < idlePeriod {
		n.mu.Unlock()
		return
	}
	actions := n.decide(now)
	n.mu.Unlock()
	n.do(actions)
}

// decide lets all parts decide with what is known now. Callers hold mu.
func (n *Node) decide(now time.Time) []engine.Action {
	cfg := n.config.Load()
	if cfg == nil {
		return nil
	}
	n.decidedAt = now
	actions := n.scheduler.Step(now, engine.Tick{
		Holdings: n.ownership.Holdings(now), Instances: n.members.all(), Measures: cfg.Measures,
	})
	l := n.lease.State()
	actions = append(actions, n.placement.Step(now, engine.StoreFailing{Since: l.FailedSince, Last: l.FailedAt})...)
	actions = append(actions, n.placement.Step(now, engine.PlacementTick{Limits: n.limits, Measures: cfg.Measures, OwnerSilence: n.aliveLimit()})...)
	actions = append(actions, n.syncSelf(now)...)
	actions = append(actions, n.grantPermits(now)...)
	n.notifyPeers(now)
	return actions
}

func queueLimits(cfg *chestnutstream.Configuration) engine.QueueLimits {
	l := engine.QueueLimits{PerAdapter: cfg.Limits.QueuePerAdapter, Total: cfg.Limits.QueueTotal, PerClass: make(map[string]int, len(cfg.Classes))}
	for name, c := range cfg.Classes {
		l.PerClass[name] = c.QueueLimit
	}
	return l
}

// note records a decision for explain.
func (n *Node) note(d chestnutstream.Decision) { n.notes.add(d) }
