package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/connlimit"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/peer"
)

// HTTP limits and drain times of an instance.
const (
	idleTimeout        = 2 * time.Minute
	handOverTimeout    = 15 * time.Second // until other instances have acquired the servers
	drainPollInterval  = 20 * time.Millisecond
	departureSendDelay = 200 * time.Millisecond // for the last State to be sent
)

// Instance is a running entry instance.
type Instance struct {
	CallerAddress string // bound address
	PeerAddress   string // bound address

	node    *Node
	callers *caller.Server
	servers []*http.Server
}

// Start checks the settings, binds the addresses and starts an instance. The
// instance is ready once it has a configuration; GET /readyz reports it.
func Start(cfg Settings) (*Instance, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	callerLn, err := net.Listen("tcp", cfg.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	peerLn, err := net.Listen("tcp", cfg.PeerAddress)
	if err != nil {
		_ = callerLn.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(connlimit.Machine{MemoryBytes: int64(cfg.MemoryMB) << 20}.SoftMemoryLimit())
	}
	cfg.CallerAddress, cfg.PeerAddress = callerLn.Addr().String(), peerLn.Addr().String()
	in := &Instance{CallerAddress: cfg.CallerAddress, PeerAddress: cfg.PeerAddress, node: newNode(cfg)}
	in.callers = caller.NewServer(caller.Settings{
		Instance: cfg.Name, Secret: cfg.CallerSecret, Timer: cfg.Timer, Log: cfg.Log, Metrics: in.node.metrics,
	}, in.callerDependencies())
	in.serve(connlimit.KindCallers, callerLn, in.callerRouter(cfg))
	in.serve(connlimit.KindPeers, peerLn, in.peerRouter())
	in.node.addSeeds(cfg.Peers)
	in.node.start()
	in.register(chestnutstream.Live)
	return in, nil
}

func (in *Instance) callerDependencies() caller.Dependencies {
	n := in.node
	return caller.Dependencies{
		Configuration: n.Configuration,
		Ready:         func() bool { return !n.draining.Load() },
		Placer:        n,
		Generator:     n.engines,
		Pool:          n.pool,
		Services:      n.services,
		Claims:        n.claims,
		Trace:         n.recordTraceEvent,
	}
}

// serve serves h within the listener's part of the connections and memory of the process.
func (in *Instance) serve(kind connlimit.Kind, inner net.Listener, h http.Handler) {
	cfg := in.node.cfg
	ln := connlimit.NewListener(inner, connlimit.Settings{
		Kind: kind, Machine: connlimit.Machine{Descriptors: cfg.MaxDescriptors, MemoryBytes: int64(cfg.MemoryMB) << 20}, Log: in.node.log, Metrics: in.node.metrics,
	})
	srv := ln.Server(h, idleTimeout)
	in.servers = append(in.servers, srv)
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			in.node.log.WithError(err).Error("HTTP server failed")
		}
	}()
}

func (in *Instance) callerRouter(cfg Settings) http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	in.addHealth(r)
	operator.Handle(r, operator.Server{Secret: cfg.OperatorSecret, Backend: in.node})
	r.NotFoundHandler = in.callers
	return r
}

func (in *Instance) peerRouter() http.Handler {
	r := mux.NewRouter()
	in.addHealth(r)
	r.Handle(peer.Path, in.node.mesh)
	return r
}

func (in *Instance) addHealth(r *mux.Router) {
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }).Methods(http.MethodGet)
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := in.node.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}).Methods(http.MethodGet)
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		in.node.updateMetrics()
		in.node.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
}

// notReadyReason returns why the instance accepts no requests, or "".
func (n *Node) notReadyReason() string {
	switch {
	case n.draining.Load():
		return "leaving"
	case n.Configuration() == nil:
		return "no configuration yet"
	default:
		return ""
	}
}

// addSeeds links the peers given in the settings. Each has a name made from its
// address until its Hello brings the real name.
func (n *Node) addSeeds(peers string) {
	for _, address := range splitList(peers) {
		if address != n.self.Address {
			n.mesh.Add(peer.Member{Name: peer.SeedName(address), Address: address, Region: n.self.Region})
		}
	}
}

// register writes this instance and its state to the platform's list. It retries
// in the background until it succeeds.
func (in *Instance) register(state chestnutstream.InstanceState) {
	n := in.node
	row := chestnutstream.Instance{
		Name: n.cfg.Name, Address: n.self.Address, Region: n.self.Region, Zone: n.self.Zone,
		Role: chestnutstream.RoleEntry, State: state,
	}
	go func() {
		for n.ctx.Err() == nil {
			err := n.platform.Register(n.ctx, row)
			if err == nil {
				return
			}
			n.log.WithError(err).Debug("failed to register with the platform")
			time.Sleep(instanceListPeriod)
		}
	}()
}

// Ready reports whether the instance accepts requests.
func (in *Instance) Ready() bool { return in.node.notReadyReason() == "" }

// Revision returns the active configuration revision, or 0 if there is none.
func (in *Instance) Revision() uint64 {
	if cfg := in.node.Configuration(); cfg != nil {
		return cfg.Revision()
	}
	return 0
}

// Drain stops the instance without interrupting a request: it accepts no new
// work, hands its backend servers over, waits for all requests in progress,
// notifies its peers and stops. If ctx ends first, Drain stops the instance and
// returns an error.
func (in *Instance) Drain(ctx context.Context) error {
	n := in.node
	n.draining.Store(true)
	n.log.Info("draining: no new requests are accepted")
	in.register(chestnutstream.Leaving)
	n.handleEvent(func(now time.Time) []engine.Action { return n.ownership.Step(now, engine.Drain{}) })
	n.mesh.NotifyAll()
	handOver, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	waitUntil(handOver, func() bool { return in.callers.InProgress() == 0 && !n.ownsAny() })
	waitUntil(ctx, func() bool { return in.callers.InProgress() == 0 })
	remaining := in.callers.InProgress()
	n.announceDeparture()
	if err := n.lease.Release(context.WithoutCancel(ctx)); err != nil {
		n.log.WithError(err).Warn("failed to release the lease; it will expire")
	}
	err := in.shutdown(ctx)
	if remaining > 0 {
		return fmt.Errorf("drain: %d requests were still in progress: %w", remaining, ctx.Err())
	}
	return err
}

// announceDeparture notifies the peers that this instance uses no server any more.
func (n *Node) announceDeparture() {
	n.mu.Lock()
	n.departed = true
	n.mu.Unlock()
	n.mesh.NotifyAll()
	time.Sleep(departureSendDelay)
}

// ownsAny reports whether this instance still owns a backend server.
func (n *Node) ownsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ownership.Holdings(n.cfg.Timer.Now())) > 0
}

// waitUntil polls done until it returns true or ctx ends.
func waitUntil(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

func (in *Instance) shutdown(ctx context.Context) error {
	in.node.stop()
	var first error
	for _, srv := range in.servers {
		if err := srv.Shutdown(ctx); err != nil && first == nil {
			first = fmt.Errorf("shut down: %w", err)
		}
	}
	return first
}

// Close stops the instance at once, like a kill: it interrupts the requests in
// progress and notifies nobody.
func (in *Instance) Close() {
	in.node.stop()
	for _, srv := range in.servers {
		_ = srv.Close()
	}
}

// OwnedServers returns the number of backend servers to which the instance may
// send orders now.
func (in *Instance) OwnedServers() int {
	n := in.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ownership.Holdings(n.cfg.Timer.Now()))
}

// Pause stops the instance's decisions, its exchange with peers and its lease
// renewals for d, like a paused process. It is for tests and the load tool.
func (in *Instance) Pause(d time.Duration) {
	n := in.node
	n.mu.Lock() // lock order: the node's mutex before the lease's
	resume := n.lease.Pause()
	time.AfterFunc(d, func() {
		resume()
		n.mu.Unlock()
	})
}

// ControlTraffic returns the total bytes of peer frames sent and received, and
// the total reads and writes of the table service.
func (in *Instance) ControlTraffic() (peerBytes, tableReads, tableWrites int64) {
	sent, received := in.node.mesh.Bytes()
	reads, writes := in.node.platform.Operations()
	return sent + received, reads, writes
}
