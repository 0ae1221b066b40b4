package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Settings of the process that the platform's file does not give.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdle        = 90 * time.Second // longer than any configuration lets a caller's connection idle
	headerBytes       = 64 << 10
	memoryShare       = 0.7                     // of the machine's memory, as the soft limit of Go's heap
	collectAt         = 200                     // percent of growth between collections: processor time is priced, memory less
	drainNotice       = 3200 * time.Millisecond // from SIGTERM until idle connections are closed: the balancer needs two missed checks
	drainMargin       = 400 * time.Millisecond  // before the end of the grace period
	drainLook         = 50 * time.Millisecond
)

// Instance is a running instance.
type Instance struct {
	node    *Node
	ingress *ingress.Server
	servers []*http.Server
	callers *http.Server
}

// Start starts an instance.
func Start(cfg platform.Settings, logger log.Interface) (*Instance, error) {
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryBytes)))
	}
	debug.SetGCPercent(collectAt)
	t := timer.NewSystem()
	n := newNode(cfg, logger, t, timer.Boot)
	in := &Instance{node: n, ingress: ingress.NewServer(ingress.Settings{Timer: t, Log: logger, Metrics: n.metrics}, n)}
	listeners := []struct {
		address string
		handler http.Handler
	}{
		{cfg.CallerAddress, in.ingress},
		{cfg.ReadinessAddress, in.readiness()},
		{cfg.PeerAddress, in.peers()},
		{cfg.MetricsAddress, in.operations()},
	}
	for i, l := range listeners {
		if l.address == "" {
			continue
		}
		s := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes}
		if err := in.listen(s, l.address); err != nil {
			in.Close()
			return nil, err
		}
		if i == 0 {
			in.callers = s
		}
	}
	for _, f := range n.feeds() {
		go n.follow(f)
	}
	go n.control()
	for _, seed := range cfg.Seeds {
		if seed != cfg.PeerAddress {
			n.mesh.Add(instance.Member{Name: instance.SeedName(seed), Address: seed})
		}
	}
	return in, nil
}

func (in *Instance) listen(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	in.servers = append(in.servers, s)
	go func() {
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			in.node.log.WithError(err).WithField("address", address).Error("listener ended")
		}
	}()
	return nil
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
	return r
}

func (in *Instance) operations() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		in.node.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	r.HandleFunc("/dump", in.node.dump)
	return r
}

// Drain ends the instance after SIGTERM: it is not ready any more, takes what
// still comes and can end in time, and ends every request.
func (in *Instance) Drain(ctx context.Context) error {
	n := in.node
	began := n.now()
	n.mu.Lock()
	end := began.Add(n.cfg.Grace - drainMargin)
	n.leaving.Store(&leave{began: began, end: end})
	n.book.Leave()
	n.mu.Unlock()
	n.mesh.Broadcast(func(b *instance.Bundle) { b.Leaving = true })
	for n.now().Sub(began) < drainNotice && n.now().Before(end) {
		n.sleep(drainLook)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := in.callers.Shutdown(ctx)
	left := in.ingress.InProgress()
	in.Close()
	if err != nil {
		return fmt.Errorf("%d requests in progress at the end of the grace period: %w", left, err)
	}
	return nil
}

// Close ends the instance at once.
func (in *Instance) Close() {
	in.node.cancel()
	in.node.mesh.Close()
	for _, s := range in.servers {
		_ = s.Close()
	}
}

// Node returns what the instance knows.
func (in *Instance) Node() *Node { return in.node }

var _ chestnutstream.Timer = (*timer.System)(nil)

// Reload takes settings that were read again. Those of addresses need a
// restart; budgets are in force at once.
func (in *Instance) Reload(cfg platform.Settings) {
	n := in.node
	n.mu.Lock()
	old := n.cfg
	n.cfg.RetryShare, n.cfg.RetryExtra, n.cfg.RetryWindow, n.cfg.Grace = cfg.RetryShare, cfg.RetryExtra, cfg.RetryWindow, cfg.Grace
	clear(n.budgets)
	n.mu.Unlock()
	restart := old.Store != cfg.Store || old.CallerAddress != cfg.CallerAddress || old.ReadinessAddress != cfg.ReadinessAddress || old.PeerAddress != cfg.PeerAddress
	n.log.WithField("needs-restart", restart).Info("settings reloaded")
}
