// Package entry assembles an entry instance: the decision modules, the clients
// of the platform, the engines and the plain services, the peer mesh, and the
// HTTP handlers for callers and operators.
//
// # Usage
//
//	in, err := entry.Start(settings)
//	defer in.Close()
//	err = in.Drain(ctx) // on SIGTERM: takes no new work and completes the requests in progress
//
// # How it works
//
// node.go is the event loop around the decision modules. Each input is an event:
// a peer's State, an engine's status, a request, a tick of the clock. The node
// passes an event to its module under one mutex. It executes the returned
// actions outside the mutex, and their results are events again. The decision
// modules use no clock, no socket and no goroutine.
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

// Periods and times of the node.
const (
	decisionPeriod       = 20 * time.Millisecond
	idleDecisionPeriod   = 100 * time.Millisecond
	ownershipPeriod      = 250 * time.Millisecond
	headPollPeriod       = 2 * time.Second
	instanceListPeriod   = 2 * time.Second
	probePeriod          = 500 * time.Millisecond
	claimSweepPeriod     = 5 * time.Second
	platformTimeout      = 2 * time.Second
	selfReportLease      = time.Second            // report lease of an instance to itself; outlasts several decision ticks
	fullSpeedLoadTime    = 600 * time.Millisecond // a load that takes longer was delayed by the weight store
	leaderElectionPeriod = 100 * time.Millisecond // between elections of the leader
)

// Node runs the decision modules of one instance.
type Node struct {
	cfg         Settings
	self        peer.Member
	incarnation uint64 // of this process, never 0
	log         log.Interface
	metrics     *metrics.Set
	trace       *traceLog

	platform *platform.Store
	engines  *engine.Client
	services *service.Client
	lease    *table.Lease
	claims   *table.Claims
	store    *operator.Store
	mesh     *peer.Mesh
	pool     *pool

	config      atomic.Pointer[chestnutstream.Configuration]
	draining    atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	unsubscribe []func()

	mu                 sync.Mutex
	members            *members
	ownership          *engine.Ownership
	scheduler          *engine.Scheduler
	placement          *engine.Placement
	permits            *engine.PermitIssuer
	adoption           *operator.Adoption
	requestedAt        map[string]time.Time            // last request, by hash of a section's content or "peer/" and a peer's name
	waiters            map[string]chan placementResult // by request ID
	statusReads        map[string]bool                 // engines whose status is being read
	appliedVersion     uint64                          // own report version that the placement has applied
	notified           map[string]uint64               // last urgentSignature sent, by peer; absent: 0
	notifiedVersion    uint64                          // own report version that all peers were notified of
	departed           bool                            // the instance is stopping and uses no server any more
	decidedAt          time.Time                       // last call of decide
	leader             string                          // as of electedAt
	electedAt          time.Time
	limits             engine.QueueLimits           // of the active configuration
	probeResults       map[string]peer.ServerHealth // by server of a plain service
	nextSweepPartition int
}

// placementResult is a dispatch, or a refusal if refused is set.
type placementResult struct {
	dispatch engine.Dispatch
	refused  *engine.Refuse
}

func newNode(cfg Settings) *Node {
	incarnation := rand.Uint64() | 1
	leaseIncarnation := fmt.Sprintf("%x", incarnation)
	self := peer.Member{Name: chestnutstream.InstanceIdentity(cfg.Name, cfg.PeerAddress, incarnation), Address: cfg.PeerAddress, Region: cfg.Region, Zone: cfg.Zone}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, self: self, incarnation: incarnation, log: cfg.Log, metrics: metrics.NewSet(), trace: newTraceLog(),
		platform: platform.NewStore(cfg.Platform, platformTimeout, cfg.Dial).WithZone(cfg.Zone),
		engines:  engine.NewClient(cfg.Dial), services: service.NewClient(cfg.Dial),
		ctx: ctx, cancel: cancel,
		members: newMembers(self), adoption: operator.NewAdoption(),
		requestedAt: map[string]time.Time{}, waiters: map[string]chan placementResult{}, statusReads: map[string]bool{},
		notified: map[string]uint64{}, probeResults: map[string]peer.ServerHealth{},
	}
	now := cfg.Timer.Now
	n.lease = table.NewLease(n.platform, now, self.Name, leaseIncarnation)
	n.claims = table.NewClaims(n.platform, now)
	n.store = operator.NewStore(n.platform, n.platform, now)
	n.platform.OnRestore(n.recordRestore)
	n.pool = newPool(now)
	loads, places := newPolicies(cfg)
	n.ownership = engine.NewOwnership(engine.DefaultOwnershipSettings(table.LeaseDuration), self.Name, leaseIncarnation, now())
	n.scheduler = engine.NewScheduler(self.Name, cfg.Scheduler, loads)
	n.placement = engine.NewPlacement(cfg.Zone, cfg.Placement, places)
	n.permits = engine.NewPermitIssuer(engine.PermitSettings{LoadsInFlight: 16, Zones: 4, FullSpeedLoadTime: fullSpeedLoadTime, InstanceTimeout: cfg.Scheduler.ReportLeaseDuration})
	n.mesh = peer.NewMesh(peer.Settings{
		Self: self, Incarnation: incarnation, Secret: cfg.PeerSecret, ReportLeaseDuration: cfg.Scheduler.ReportLeaseDuration,
		Interval: cfg.PeerInterval, IntervalPerPeer: cfg.PeerIntervalPerPeer, Timer: cfg.Timer, Dial: cfg.Dial, Log: cfg.Log,
	}, n)
	return n
}

func newPolicies(cfg Settings) (chestnutstream.LoadPolicy, chestnutstream.PlacementPolicy) {
	if cfg.Policy == PolicyNaive {
		return engine.NaiveLoads{}, engine.NaivePlacement{Seed: cfg.Name, Zone: cfg.Zone}
	}
	return engine.DefaultLoads{}, engine.DefaultPlacement{}
}

// start subscribes the node's periodic tasks to the timer.
func (n *Node) start() {
	timer := n.cfg.Timer
	n.unsubscribe = append(n.unsubscribe,
		timer.Subscribe(decisionPeriod, n.tick),
		timer.Subscribe(ownershipPeriod, n.ownershipTick),
		timer.Subscribe(table.LeaseRenewalPeriod, func(time.Time) { n.renewLease() }),
		timer.Subscribe(jitter(headPollPeriod), func(time.Time) { n.readHead() }),
		timer.Subscribe(jitter(instanceListPeriod), func(time.Time) { n.readInstances() }),
		timer.Subscribe(probePeriod, n.probeServices),
		timer.Subscribe(jitter(claimSweepPeriod), n.sweepClaims),
	)
	go func() {
		n.readInstances()
		n.readHead()
		n.renewLease()
	}()
}

// jitter returns a random duration within 10% of d. It spreads the periodic
// tasks of instances that start together.
func jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/5)
}

func (n *Node) stop() {
	for _, unsubscribe := range n.unsubscribe {
		unsubscribe()
	}
	n.mesh.Close()
	n.cancel()
}

// Configuration returns the active configuration, or nil if there is none yet.
func (n *Node) Configuration() *chestnutstream.Configuration { return n.config.Load() }

// tick runs the decision modules: every decisionPeriod while a request, a load
// or an unload is pending, else every idleDecisionPeriod.
func (n *Node) tick(now time.Time) {
	n.mu.Lock()
	queued, _ := n.placement.RequestCounts()
	if queued == 0 && !n.scheduler.Busy() && now.Sub(n.decidedAt) < idleDecisionPeriod {
		n.mu.Unlock()
		return
	}
	actions := n.decide(now)
	n.mu.Unlock()
	n.execute(actions)
}

// decide runs all decision modules on the current state. The caller must hold mu.
func (n *Node) decide(now time.Time) []engine.Action {
	cfg := n.config.Load()
	if cfg == nil {
		return nil
	}
	n.decidedAt = now
	actions := n.scheduler.Step(now, engine.Tick{
		Holdings: n.ownership.Holdings(now), Instances: n.members.allNames(), ObjectiveWeights: cfg.ObjectiveWeights,
	})
	l := n.lease.State()
	actions = append(actions, n.placement.Step(now, engine.StoreFailing{Since: l.FailingSince, Last: l.LastFailureAt})...)
	actions = append(actions, n.placement.Step(now, engine.PlacementTick{Limits: n.limits, ObjectiveWeights: cfg.ObjectiveWeights, OwnerTimeout: n.aliveTimeout()})...)
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

// recordTraceEvent records a trace event for the explain command.
func (n *Node) recordTraceEvent(e chestnutstream.TraceEvent) { n.trace.add(e) }
