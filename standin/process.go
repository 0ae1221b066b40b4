package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// BackendProcess runs a Backend on an address of its own and can crash. RestartTime
// after a crash another Backend starts at the address, with nothing loaded and under
// another ID.
type BackendProcess struct {
	cfg     ProcessSettings
	address string
	store   *Store
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	faults   BackendFaults
	backends []*Backend // all that ran here, the present one last
	srv      *http.Server
	running  bool
	closed   bool
	crashes  []time.Time
}

// ProcessSettings configure a BackendProcess.
type ProcessSettings struct {
	Backend     BackendSettings // Address: the advertised one; empty: that of the process
	Heartbeat   time.Duration   // between heartbeats
	RestartTime time.Duration
	KeepID      bool         // the next Backend starts under the ID of the first one
	Crashed     func()       // called as the process ends; may be nil
	Restarted   func() error // called when the next Backend accepts connections; may be nil
}

// missedHeartbeats is the number of heartbeats after which the row of a crashed
// process is removed.
const missedHeartbeats = 3

// ProcessAddress is the address to listen on for a process that ends and starts again. It
// is a loopback address of its own, so that other listeners and outgoing connections,
// which use 127.0.0.1, do not take the port meanwhile.
const ProcessAddress = "127.0.0.2:0"

// StartProcess starts a process on a free loopback port.
func StartProcess(cfg ProcessSettings, store *Store) (*BackendProcess, error) {
	l, err := net.Listen("tcp", ProcessAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", cfg.Backend.ID, err)
	}
	return StartProcessOn(l, cfg, store), nil
}

// StartProcessOn starts a process on a listener.
func StartProcessOn(l net.Listener, cfg ProcessSettings, store *Store) *BackendProcess {
	p := &BackendProcess{cfg: cfg, address: l.Addr().String(), store: store, stop: make(chan struct{})}
	if cfg.Backend.Address == "" {
		p.cfg.Backend.Address = p.address
	}
	p.start(p.cfg.Backend, l)
	p.wg.Add(1)
	go p.heartbeats()
	return p
}

// start runs a new Backend on a listener.
func (p *BackendProcess) start(cfg BackendSettings, l net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = l.Close()
		return
	}
	b := NewBackend(cfg, p.store)
	b.OnCrash(func() { p.end(b) })
	b.SetFaults(p.faults)
	srv := b.Server()
	go func() { _ = srv.Serve(l) }()
	p.backends, p.srv, p.running = append(p.backends, b), srv, true
	b.Heartbeat()
}

func (p *BackendProcess) heartbeats() {
	defer p.wg.Done()
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(p.cfg.Heartbeat):
		}
		p.mu.Lock()
		b, running := p.backends[len(p.backends)-1], p.running
		p.mu.Unlock()
		if running {
			b.Heartbeat()
		}
	}
}

// SetFaults replaces the faults in force, also for later Backends.
func (p *BackendProcess) SetFaults(f BackendFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.backends[len(p.backends)-1].SetFaults(f)
}

// Current returns the present Backend, or the latest one while none runs.
func (p *BackendProcess) Current() *Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[len(p.backends)-1]
}

// Crash ends the present Backend: its address refuses connections until the next one
// starts.
func (p *BackendProcess) Crash() { p.end(p.Current()) }

// end ends a Backend if it still runs.
func (p *BackendProcess) end(b *Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running || p.closed || p.backends[len(p.backends)-1] != b {
		return
	}
	p.running = false
	p.crashes = append(p.crashes, time.Now())
	_ = p.srv.Close()
	if p.cfg.Crashed != nil {
		p.cfg.Crashed()
	}
	p.wg.Add(2)
	go p.removeRow(b.cfg.ID)
	go p.restart(len(p.crashes))
}

func (p *BackendProcess) removeRow(id string) {
	defer p.wg.Done()
	select {
	case <-p.stop:
	case <-time.After(missedHeartbeats * p.cfg.Heartbeat):
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.running || p.backends[len(p.backends)-1].cfg.ID != id {
			p.store.Remove(tableServers, id)
		}
	}
}

func (p *BackendProcess) restart(n int) {
	defer p.wg.Done()
	select {
	case <-p.stop:
		return
	case <-time.After(p.cfg.RestartTime):
	}
	cfg := p.cfg.Backend
	cfg.Model = ""
	if !p.cfg.KeepID {
		cfg.ID = fmt.Sprintf("%s-%d", cfg.ID, n)
	}
	l, err := net.Listen("tcp", p.address)
	if err == nil {
		p.start(cfg, l)
		if p.cfg.Restarted != nil {
			err = p.cfg.Restarted()
		}
	}
	if err != nil {
		panic(fmt.Sprintf("restart %s: %v", cfg.ID, err)) // another process took the port
	}
}

// Crashes returns the times of the crashes.
func (p *BackendProcess) Crashes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}

// Backends returns all Backends that ran here.
func (p *BackendProcess) Backends() []*Backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Backend(nil), p.backends...)
}

// Close stops the process for good.
func (p *BackendProcess) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.srv.Close()
	p.mu.Unlock()
	close(p.stop)
	p.wg.Wait()
}

// Address returns the address of the process, which stays the same over its restarts.
func (p *BackendProcess) Address() string { return p.address }
