package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/peer"
)

// HTTP limits of an instance.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
	handOverWait      = 15 * time.Second // for other instances to take the servers over
	drainPoll         = 20 * time.Millisecond
	lastStateWait     = 200 * time.Millisecond
)

// Instance is a running entry instance.
type Instance struct {
	CallerAddress string // as bound
	PeerAddress   string // as bound

	node    *Node
	callers *caller.Server
	servers []*http.Server
}

// Start checks the settings, binds the addresses and starts an instance. It is
// ready once it has a configuration; GET /readyz tells.
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
	cfg.CallerAddress, cfg.PeerAddress = callerLn.Addr().String(), peerLn.Addr().String()
	in := &Instance{CallerAddress: cfg.CallerAddress, PeerAddress: cfg.PeerAddress, node: newNode(cfg)}
	in.callers = caller.NewServer(caller.Settings{
		Instance: cfg.Name, Secret: cfg.CallerSecret, Timer: cfg.Timer, Log: cfg.Log, Metrics: in.node.metrics,
	}, in.parts())
	in.serve(callerLn, in.callerRouter(cfg))
	in.serve(peerLn, in.peerRouter())
	in.node.addSeeds(cfg.Peers)
	in.node.start()
	in.register(chestnutstream.Live)
	return in, nil
}

func (in *Instance) parts() caller.Parts {
	n := in.node
	return caller.Parts{
		Configuration: n.Configuration,
		Ready:         func() bool { return !n.draining.Load() },
		Placer:        n,
		Generator:     n.engines,
		Pool:          n.pool,
		Services:      n.services,
		Claims:        n.claims,
		Note:          n.note,
	}
}

func (in *Instance) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout}
	in.servers = append(in.servers, srv)
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			in.node.log.WithError(err).Error("server ended")
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
		if reason := in.node.notReady(); reason != "" {
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

// notReady returns why no requests are taken, or "".
func (n *Node) notReady() string {
	switch {
	case n.draining.Load():
		return "leaving"
	case n.Configuration() == nil:
		return "no configuration yet"
	default:
		return ""
	}
}

// addSeeds links the peers of the settings; their names are learnt from their
// hellos, so a seed stands under its address until then.
func (n *Node) addSeeds(peers string) {
	for _, address := range splitList(peers) {
		if address != n.self.Address {
			n.mesh.Add(peer.Member{Name: peer.SeedName(address), Address: address, Region: n.self.Region})
		}
	}
}

// register tells the platform's list about this instance.
func (in *Instance) register(state chestnutstream.InstanceState) {
	n := in.node
	row := chestnutstream.Instance{
		Name: n.self.Name, Address: n.self.Address, Region: n.self.Region, Zone: n.self.Zone,
		Role: chestnutstream.RoleEntry, State: state,
	}
	go func() {
		for n.ctx.Err() == nil {
			err := n.platform.Register(n.ctx, row)
			if err == nil {
				return
			}
			n.log.WithError(err).Debug("not registered")
			time.Sleep(listPeriod)
		}
	}()
}

// Ready reports whether the instance takes requests.
func (in *Instance) Ready() bool { return in.node.notReady() == "" }

// Revision returns the revision in force, or 0.
func (in *Instance) Revision() uint64 {
	if cfg := in.node.Configuration(); cfg != nil {
		return cfg.Revision()
	}
	return 0
}

// Drain ends the instance without cutting a request off: it takes no new work,
// hands its backend servers over, waits for every request in progress, tells
// its peers and stops. It returns early when ctx ends.
func (in *Instance) Drain(ctx context.Context) error {
	n := in.node
	n.draining.Store(true)
	n.log.Info("leaving: no new requests are taken")
	in.register(chestnutstream.Leaving)
	n.step(func(now time.Time) []engine.Action { return n.ownership.Step(now, engine.Drain{}) })
	n.mesh.NotifyAll()
	handOver, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	waitUntil(handOver, func() bool { return in.callers.InProgress() == 0 && !n.holdsAny() })
	waitUntil(ctx, func() bool { return in.callers.InProgress() == 0 })
	left := in.callers.InProgress()
	n.sayGone()
	if err := n.lease.Release(context.WithoutCancel(ctx)); err != nil {
		n.log.WithError(err).Warn("lease not released; it lapses")
	}
	err := in.shutdown(ctx)
	if left > 0 {
		return fmt.Errorf("drain: %d requests were still in progress: %w", left, ctx.Err())
	}
	return err
}

// sayGone tells the peers that this instance uses nothing any more.
func (n *Node) sayGone() {
	n.mu.Lock()
	n.gone = true
	n.mu.Unlock()
	n.mesh.NotifyAll()
	time.Sleep(lastStateWait)
}

func (n *Node) holdsAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ownership.Holdings(n.cfg.Timer.Now())) > 0
}

func waitUntil(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
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

// Close stops the instance at once, as a kill would: requests in progress are
// cut off and nobody is told.
func (in *Instance) Close() {
	in.node.stop()
	for _, srv := range in.servers {
		_ = srv.Close()
	}
}

// OwnedServers returns the number of backend servers that the instance may give
// orders now.
func (in *Instance) OwnedServers() int {
	n := in.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ownership.Holdings(n.cfg.Timer.Now()))
}

// Pause stops the instance's decisions, its exchange with peers and its lease
// renewals for d, as a paused process would. It is for tests and the load tool.
func (in *Instance) Pause(d time.Duration) {
	n := in.node
	n.mu.Lock() // taken before the lease's lock, as everywhere
	resume := n.lease.Pause()
	time.AfterFunc(d, func() {
		resume()
		n.mu.Unlock()
	})
}

// ControlCounts returns the bytes of peer frames sent and received, and the
// reads and writes of the table service, so far.
func (in *Instance) ControlCounts() (peerBytes, tableReads, tableWrites int64) {
	sent, received := in.node.mesh.Bytes()
	reads, writes := in.node.platform.Operations()
	return sent + received, reads, writes
}
