package edge

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/connlimit"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Process settings that the platform's settings file does not contain.
const (
	callerStallTimeout = 5 * time.Second         // servers abort a response that remains unread for some seconds as well
	heldBytesShare     = 0.3                     // of the machine's memory, for the bodies of requests and responses
	gcPercent          = 200                     // heap growth between collections: processor time is billed at a higher rate than memory
	drainDelay         = 3200 * time.Millisecond // from SIGTERM until idle connections are closed: the balancer needs two failed readiness checks
	drainMargin        = 400 * time.Millisecond  // before the end of the grace period
	lastResponseTime   = 150 * time.Millisecond  // from there, for the responses to requests that have none
	releaseTimeout     = 150 * time.Millisecond  // then for the release of the lease
	drainPollInterval  = 50 * time.Millisecond
)

// Instance is a running instance: its state and its listeners.
type Instance struct {
	node    *Node
	ingress *ingress.Server
	servers []*http.Server
	callers *http.Server
}

// Start starts an instance: its listeners, the watches of the store and the
// control loop, in this order, as its identity is that of its earlier process only if it
// listens at the same address for peers. It fails when an address cannot be listened on.
func Start(cfg platform.Settings, logger log.Interface) (*Instance, error) {
	return start(cfg, logger, dialers{servers: ingress.Dial, peers: instance.Dial})
}

// dialers are the functions that connect an instance to others.
type dialers struct {
	servers chestnutstream.DialFunc // to backend servers, and to instances that requests are forwarded to
	peers   chestnutstream.DialFunc // to instances, for messages
}

// start is Start with functions that connect to other processes.
func start(cfg platform.Settings, logger log.Interface, dial dialers) (*Instance, error) {
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(connlimit.Machine{MemoryBytes: cfg.MemoryBytes}.SoftMemoryLimit())
	}
	debug.SetGCPercent(gcPercent)
	t := timer.NewSystem()
	n := newNode(cfg, logger, t, timer.Boot)
	n.dial, n.dialPeer = dial.servers, dial.peers
	in := &Instance{node: n, ingress: ingress.NewServer(ingress.Settings{Instance: n.id, Timer: t, Log: logger, Metrics: n.metrics, Dial: dial.servers, HeldBytes: int64(heldBytesShare * float64(cfg.MemoryBytes)), Keys: n.keySettings(), Quotas: n.quotas, CallerStallTimeout: stallTimeout(cfg)}, n)}
	listeners := []struct {
		kind    connlimit.Kind
		address string
		handler http.Handler
	}{
		{connlimit.KindCallers, cfg.CallerAddress, in.ingress},
		{connlimit.KindReadiness, cfg.ReadinessAddress, in.readiness()},
		{connlimit.KindPeers, cfg.PeerAddress, in.peers()},
		{connlimit.KindMetrics, cfg.MetricsAddress, in.operations()},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		s, err := in.listen(l.kind, l.address, l.handler)
		if err != nil {
			in.Close()
			return nil, err
		}
		if l.kind == connlimit.KindCallers {
			in.callers = s
		}
	}
	for _, w := range n.watches() {
		go n.watch(w)
	}
	go n.control()
	go n.quotas.run(n.ctx)
	go n.loadOrigins()
	for _, seed := range cfg.Seeds {
		if seed != cfg.PeerAddress {
			n.mesh.Add(instance.Member{Name: instance.SeedName(seed), Address: seed})
		}
	}
	return in, nil
}

// stallTimeout returns how long a caller may read nothing of its response; 0: no limit.
func stallTimeout(cfg platform.Settings) time.Duration {
	if !cfg.SlowReaders {
		return 0
	}
	return callerStallTimeout
}

func (in *Instance) readiness() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !in.node.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (in *Instance) peers() http.Handler {
	r := mux.NewRouter()
	r.Handle(instance.Path, in.node.mesh)
	forwarded := in.ingress.Forwarded()
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if ingress.IsForwarded(req) {
			forwarded.ServeHTTP(w, req)
			return
		}
		r.ServeHTTP(w, req)
	})
}

func (in *Instance) operations() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		in.node.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	r.HandleFunc("/dump", in.node.dump)
	r.HandleFunc("/where", in.node.where).Methods(http.MethodGet)
	r.HandleFunc("/quarantine/{service}/{trait:.+}", in.node.releaseTrait).Methods(http.MethodDelete)
	return r
}

// Drain shuts the instance down after SIGTERM: it reports not ready, serves the
// requests that still arrive and can end in time, and waits for all requests in
// progress. It returns an error when some are left at the end of the grace period.
func (in *Instance) Drain(ctx context.Context) error {
	n := in.node
	start := n.now()
	n.mu.Lock()
	end := start.Add(n.cfg.Grace - drainMargin)
	n.draining.Store(&drainState{startedAt: start, end: end})
	n.leases.StopAcquiring()
	n.mu.Unlock()
	in.ingress.StartDrain()
	n.mesh.Broadcast(func(b *instance.Bundle) { b.Draining = true })
	n.quotas.notify()
	for n.now().Sub(start) < drainDelay && n.now().Before(end) {
		n.sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := in.callers.Shutdown(ctx)
	for err == nil && in.ingress.InProgress() > 0 { // requests that other instances have forwarded
		n.sleep(drainPollInterval)
		err = ctx.Err()
	}
	left := in.ingress.InProgress()
	if err != nil {
		n.sleep(lastResponseTime)
	}
	n.quotas.giveUp()
	n.releaseLease()
	in.Close()
	if err != nil {
		return fmt.Errorf("%d requests in progress at the end of the grace period: %w", left, err)
	}
	return nil
}

// Close stops the instance at once. It frees its addresses once no more orders are sent: a
// process that can listen at the address for peers is the next one of this instance.
func (in *Instance) Close() {
	in.node.stopOrders()
	in.node.mesh.Close()
	for _, s := range in.servers {
		_ = s.Close()
	}
}

// Node returns the state of the instance.
func (in *Instance) Node() *Node { return in.node }

var _ chestnutstream.Timer = (*timer.System)(nil)

// Reload applies settings that were read again. Retry budgets and the grace period
// apply at once; changed addresses need a restart.
func (in *Instance) Reload(cfg platform.Settings) {
	n := in.node
	n.mu.Lock()
	old := n.cfg
	n.cfg.RetryRatio, n.cfg.RetryExtra, n.cfg.RetryWindow, n.cfg.Grace = cfg.RetryRatio, cfg.RetryExtra, cfg.RetryWindow, cfg.Grace
	clear(n.budgets)
	n.mu.Unlock()
	restart := old.Store != cfg.Store || old.CallerAddress != cfg.CallerAddress || old.ReadinessAddress != cfg.ReadinessAddress || old.PeerAddress != cfg.PeerAddress
	n.log.WithField("needs-restart", restart).Info("settings reloaded")
}
