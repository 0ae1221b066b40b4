package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/loader"
	"github.com/chestnutstream/chestnutstream/permit"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/quarantine"
	"github.com/chestnutstream/chestnutstream/software"
)

var (
	_ ingress.Dispatcher = (*Node)(nil)
	_ instance.Handler   = (*Node)(nil)
)

// storeTimeout bounds one call of the store, which responds within milliseconds,
// or within a few hundred when it is slow.
const storeTimeout = 1500 * time.Millisecond

// emptyTableWait is the time in which an instance that reaches the store usually learns that
// it has returned from a copy. It has two calls that get no response in it.
const emptyTableWait = 2 * storeTimeout

// Node holds the state of one instance and makes its decisions.
type Node struct {
	cfg          platform.Settings
	log          log.Interface
	timer        chestnutstream.Timer
	boot         func() time.Duration
	metrics      *metrics.Set
	incarnation  uint64 // of this process
	member       instance.Member
	id           string // identity of this instance
	store        *platform.Store
	engineClient *platform.EngineClient
	dial         chestnutstream.DialFunc // connects to backend servers, and to other instances to forward requests
	dialPeer     chestnutstream.DialFunc // connects to other instances for messages
	mesh         *instance.Mesh
	updates      map[string]chan instance.TableUpdate // by table: changes received from the zone's readers

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	orders sync.WaitGroup // being sent; none is added once ctx is done

	routes   atomic.Pointer[chestnutstream.RouteTable]
	draining atomic.Pointer[drainState]

	mu                sync.Mutex
	rows              cachedRows
	fleet             *fleet.Fleet
	leases            *lease.Manager
	leaseWait         bool          // leases of earlier eras of the store may be valid
	storeRestored     chan struct{} // closed and replaced when the store returns from a copy
	loaders           map[string]*loader.Engine
	peers             map[string]*peer
	modelDemands      map[string]*modelDemand // by base model
	loadWaits         map[adapterKey]*loadWait
	usage             map[adapterKey]*adapterUsage
	sentLoads         map[string]int // by owned engine: requests in the last message sent
	loadsSentAt       time.Time
	changedUsage      map[adapterKey]bool // usage changes not yet sent to the owners
	usageSentAt       time.Time
	budgets           map[string]*fleet.Budget
	sentEntries       map[string]entryDigest // by server: the newest entry sent to the followers in the zone
	allSentAt         time.Time              // when all entries were last sent
	polls             map[string]poll        // long polls in progress, by table
	storeState        dependency
	storeBack         chan struct{} // closed when the store responds again after a failure
	restoredAt        time.Time
	permits           *permit.Issuer
	responseTimes     *permit.ResponseTimes
	peersChangedAt    time.Time         // when another instance was last reached, drained or no longer reached
	slots             *permit.Slots     // of brittle servers
	slotGrants        map[string]uint64 // by server: grants of slots received
	unusedGrants      map[string]int    // by server: of those, the ones whose requests are about to be sent
	spareSlots        spareSlots
	waitlists         waitlists
	lastPermitID      uint64                                  // of the newest permit request
	permitWaiters     map[uint64]chan instance.PermitResponse // by ID of the permit request
	regionInstances   int                                     // instances with a lease that this one exchanges messages with, and this one; 0: not read yet
	lastPrefillID     uint64                                  // of the newest prefill request
	prefillWaits      map[uint64]*prefillWait                 // by ID of the prefill request
	configRequestedAt time.Time                               // when a configuration was last requested from the peers
	started           time.Time
	views             map[string]*view // by table
	sameName          map[string]bool  // identities of other instances that have the name of this one
	crashChecks       map[processKey]*crashCheck
	problems          rowProblems

	quarantine          *quarantine.Tracker
	quarantineUpdatedAt time.Time
	flights             map[*flight]struct{}
	verdictRows         map[string]verdictRow // by key: as last read or written
	verdictRowsAt       time.Time             // when they are compared with the verdicts next

	versions       *software.Versions
	softwareRowsAt time.Time       // when they are compared with the versions next
	cutOff         map[string]bool // services of which this instance reaches no server
	probing        map[string]bool // services whose servers are probed
	mixedServices  int             // services with several software versions
	checkedAt      time.Time       // when the checks of the control loop that look at all servers were last made
	origins        *software.Origins
	lastOriginID   uint64                 // of the newest origin request
	originWaits    map[uint64]*originWait // by ID of the origin request
	originStore    originStore
	originRead     freshRead // of the origins that are kept in the store
	softwareRead   freshRead // of the rows with the software versions of services

	quotas *quotas
}

// adapterKey identifies an adapter on a server.
type adapterKey struct {
	server string
	target chestnutstream.ModelAdapter
}

// adapterUsage counts this instance's requests for an adapter on an engine.
type adapterUsage struct {
	begun      int // requests since the last message to the owner
	inProgress int
}

// peer is the state of another instance as it reports it itself.
type peer struct {
	member      instance.Member
	draining    bool
	incarnation uint64 // of the peer's process
	owned       map[string]bool
	cutOff      map[string]bool // services of which it reaches no server; nil: it takes no forwarded requests

	forwarded           int // requests in progress that this instance has forwarded to it
	forwardAfter        time.Time
	forwardServiceAfter map[string]time.Time // by service
}

// cachedRows are the newest rows of the store, kept encoded for instances that
// cannot read the store.
type cachedRows struct {
	config           []byte
	configRowVersion uint64
	servers          map[string]chestnutstream.TableRow
	versions         map[string]chestnutstream.TableRow
}

// dependency records whether a dependency is down, and since when.
type dependency struct {
	down  bool
	since time.Time
}

func newNode(cfg platform.Settings, logger log.Interface, t chestnutstream.Timer, boot func() time.Duration) *Node {
	incarnation := rand.Uint64()>>8 | 1
	id := chestnutstream.InstanceIdentity(cfg.Instance, cfg.PeerAddress, incarnation)
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: logger, timer: t, boot: boot, metrics: metrics.NewSet(), incarnation: incarnation, id: id,
		store: platform.NewStore(cfg.Store, storeTimeout, nil), dial: ingress.Dial, dialPeer: instance.Dial,
		ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		rows:    cachedRows{servers: map[string]chestnutstream.TableRow{}, versions: map[string]chestnutstream.TableRow{}},
		fleet:   fleet.New(cfg.Zone, cfg.SameRegion, rand.New(rand.NewPCG(incarnation, 1))),
		loaders: map[string]*loader.Engine{}, peers: map[string]*peer{}, modelDemands: map[string]*modelDemand{}, loadWaits: map[adapterKey]*loadWait{}, prefillWaits: map[uint64]*prefillWait{},
		usage: map[adapterKey]*adapterUsage{}, changedUsage: map[adapterKey]bool{}, sentLoads: map[string]int{}, sentEntries: map[string]entryDigest{}, polls: map[string]poll{}, budgets: map[string]*fleet.Budget{},
		permits: permit.NewIssuer(id), responseTimes: permit.NewResponseTimes(), slots: permit.NewSlots(), slotGrants: map[string]uint64{}, unusedGrants: map[string]int{}, spareSlots: spareSlots{}, waitlists: newWaitlists(), permitWaiters: map[uint64]chan instance.PermitResponse{},
		started: t.Now(), views: map[string]*view{}, crashChecks: map[processKey]*crashCheck{},
		quarantine: quarantine.NewTracker(quarantine.DefaultSettings()), flights: map[*flight]struct{}{}, verdictRows: map[string]verdictRow{},
		versions: software.NewVersions(streamRetention(nil)), origins: software.NewOrigins(streamRetention(nil)), originWaits: map[uint64]*originWait{},
		cutOff: map[string]bool{}, probing: map[string]bool{},
	}
	n.fleet.SetHeartbeat(cfg.Heartbeat)
	n.originRead.read, n.softwareRead.read = n.readOrigins, n.readSoftwareRows
	n.engineClient = platform.NewEngineClient(boot, n.recordBackendBackpressure)
	n.storeRestored = make(chan struct{})
	n.updates = map[string]chan instance.TableUpdate{}
	watches := n.watches()
	for _, w := range watches {
		n.updates[w.table] = make(chan instance.TableUpdate, maxQueuedUpdates)
	}
	n.registerViewGauges(watches)
	n.watchEra()
	n.metrics.NewGauge(`chestnutstream_instances_of_same_name`, n.sameNameCount)
	n.member = instance.Member{Name: id, Address: cfg.PeerAddress, Zone: cfg.Zone}
	leaseSettings := lease.DefaultSettings(cfg.MinHandoverDelay)
	leaseSettings.Regions, leaseSettings.Bootstrap, leaseSettings.EmptyTableWait = cfg.Regions, cfg.Bootstrap, emptyTableWait
	n.leases = lease.NewManager(lease.Holder{Name: id, Zone: cfg.Zone, Address: cfg.PeerAddress, Incarnation: incarnation}, leaseSettings)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return n.dialPeer(ctx, network, address)
	}
	n.mesh = instance.NewMesh(instance.Settings{Self: n.member, Incarnation: incarnation, Timer: t, Log: logger, Dial: dial}, n)
	n.quotas = newQuotas(n)
	return n
}

// Routes implements ingress.Dispatcher.
func (n *Node) Routes() *chestnutstream.RouteTable { return n.routes.Load() }

// AwaitRoutes implements ingress.Dispatcher. It also waits for the servers, which
// are known soon after the configuration.
func (n *Node) AwaitRoutes(ctx context.Context) *chestnutstream.RouteTable {
	for !n.Ready() {
		select {
		case <-ctx.Done():
			return n.routes.Load()
		case <-time.After(readyPollInterval):
		}
	}
	return n.routes.Load()
}

// readyPollInterval is how often AwaitRoutes checks for readiness.
const readyPollInterval = 10 * time.Millisecond

// drainState is a planned shutdown in progress.
type drainState struct {
	startedAt time.Time
	end       time.Time // when responses in progress are cut off
}

// Draining implements ingress.Dispatcher.
func (n *Node) Draining() (ingress.Drain, bool) {
	d := n.draining.Load()
	if d == nil {
		return ingress.Drain{}, false
	}
	now := n.now()
	return ingress.Drain{Since: now.Sub(d.startedAt), Remaining: d.end.Sub(now)}, true
}

// Ready reports whether callers should be sent here: a configuration is in
// force, servers are known, and the instance is not draining.
func (n *Node) Ready() bool {
	if n.draining.Load() != nil || n.routes.Load() == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.Len() > 0
}

// wakeControl makes the control loop run its next step at once.
func (n *Node) wakeControl() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// now returns the time of the timer.
func (n *Node) now() time.Time { return n.timer.Now() }

// engineSpec returns the configuration of a service's engines, nil for a plain
// service.
func (n *Node) engineSpec(service string) *chestnutstream.EngineSpec {
	t := n.routes.Load()
	if t == nil || t.Services[service] == nil {
		return nil
	}
	return t.Services[service].Engine
}

// engines returns the engines that need an owner. Callers hold mu.
func (n *Node) engines() []lease.Server {
	var out []lease.Server
	for _, s := range n.fleet.Servers() {
		if n.engineSpec(s.Service) != nil && s.State == chestnutstream.BackendReady {
			out = append(out, lease.Server{ID: s.ID, Zone: s.Zone})
		}
	}
	return out
}
