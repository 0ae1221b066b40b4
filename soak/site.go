package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Sizes of the deployment.
const (
	instances    = 3
	engines      = 3
	desks        = 2
	adapterSlots = 4
	adapters     = 24
	events       = 6 // of a stream
	beat         = 400 * time.Millisecond
	grace        = 5 * time.Second
)

// site is a deployment: the platform's side in this process, and the programs in
// processes of their own.
type site struct {
	cfg   Settings
	dir   string
	store *standin.Store
	door  *door
	stop  chan struct{}

	mu         sync.Mutex
	backends   []*backend
	programs   []*program
	version    uint64               // of the newest configuration
	configured []time.Time          // when configurations were acknowledged, the oldest first
	versions   map[string]int       // adapter versions declared
	since      map[string]time.Time // when
	nextDesk   int
}

type backend struct {
	*standin.Backend
	id    string
	proxy *proxy
}

// program is one instance: the same addresses and settings over all its
// processes.
type program struct {
	name     string
	settings string
	callers  string
	metrics  string
	log      string
	path     *proxy // to the store

	mu      sync.Mutex
	cmd     *exec.Cmd
	run     int       // processes so far
	ended   time.Time // of the newest that was killed
	stopped bool      // paused
}

// door is the store's HTTP face, with its faults.
type door struct {
	mu    sync.Mutex
	next  http.Handler
	rng   *rand.Rand
	delay time.Duration
	lose  float64 // share of calls that are done and not answered
	late  float64 // share of writes that are done a second later and not answered
	away  bool
}

func (d *door) set(delay time.Duration, lose, late float64, away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay, d.lose, d.late, d.away = delay, lose, late, away
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	delay, away := d.delay, d.away
	lose, late := d.rng.Float64() < d.lose, r.Method == http.MethodPost && d.rng.Float64() < d.late
	d.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	if late {
		time.Sleep(time.Second)
	}
	if lose || late {
		d.next.ServeHTTP(&nowhere{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	d.next.ServeHTTP(w, r)
}

// nowhere is where lost answers go.
type nowhere struct{ header http.Header }

// Header implements http.ResponseWriter.
func (n *nowhere) Header() http.Header { return n.header }

// WriteHeader implements http.ResponseWriter.
func (n *nowhere) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (n *nowhere) Write(b []byte) (int, error) { return len(b), nil }

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func newSite(cfg Settings, rng *rand.Rand) (*site, error) {
	dir, err := os.MkdirTemp(cfg.Folder, fmt.Sprintf("soak-%d-", cfg.Seed))
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	s := &site{cfg: cfg, dir: dir, store: standin.NewStore(), stop: make(chan struct{}), versions: map[string]int{}, since: map[string]time.Time{}}
	s.door = &door{next: s.store, rng: rng}
	for i := range engines {
		if err := s.addBackend(standin.BackendSettings{
			ID: fmt.Sprintf("i-engine-%d", i), Service: "assistant", Slots: 24, AdapterSlots: adapterSlots, Model: "m",
			Work: 6 * time.Millisecond, Events: events, LoadTime: 120 * time.Millisecond, ModelTime: 300 * time.Millisecond,
		}); err != nil {
			return nil, err
		}
	}
	for range desks {
		if err := s.addDesk(); err != nil {
			return nil, err
		}
	}
	s.configure()
	door, err := serve(s.door)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range instances {
		p, err := s.newProgram(fmt.Sprintf("edge-%d", i), door, seeds)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, p.peers())
	}
	return s, nil
}

func (s *site) addDesk() error {
	s.nextDesk++
	return s.addBackend(standin.BackendSettings{ID: fmt.Sprintf("i-desk-%d", s.nextDesk), Service: "desk", Slots: 12, Work: 8 * time.Millisecond})
}

func (s *site) addBackend(cfg standin.BackendSettings) error {
	cfg.Zone = "zone-a"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for %s: %w", cfg.ID, err)
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	cfg.Address = p.address()
	b := &backend{Backend: standin.NewBackend(cfg, s.store), id: cfg.ID, proxy: p}
	go func() { _ = http.Serve(l, b) }()
	b.Beat()
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(beat):
				b.Beat()
			}
		}
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends = append(s.backends, b)
	return nil
}

// configure puts a configuration of the next version in force. It has a route of
// its own, in place of that of the one before.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += versionStep
	s.store.Put("op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"ask","host":"h.example","prefix":"/ask/","type":"streaming","resumable":true,"maxAttempts":2,"timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":400,"service":"assistant"},
 {"name":"once","host":"h.example","prefix":"/once/","type":"streaming","maxAttempts":1,"timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":400,"service":"assistant"},
 {"name":"order","host":"h.example","prefix":"/order/","type":"non_idempotent","maxAttempts":1,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"},
 {"name":"look","host":"h.example","prefix":"/look/","type":"idempotent","maxAttempts":2,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"},
 {"name":"news","host":"h.example","prefix":%q,"type":"non_idempotent","maxAttempts":1,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"}],
 "services":[{"name":"assistant","healthPath":"/health","maxConnections":200,"engine":{"slots":24,"weightsMb":100,"adapterSlots":%d,"models":[{"name":"m","weightsMb":90,"loadTimeS":0.3,"adapters":%d,"adapterSizeMb":1}]}},
 {"name":"desk","healthPath":"/health","maxConnections":200}],"limits":{"maxBodyBytes":100000,"idleTimeoutMs":15000}}`, s.version, newsPrefix(s.version), adapterSlots, adapters)))
	s.configured = append(s.configured, time.Now())
}

// declare names a new version of an adapter.
func (s *site) declare(adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[adapter] = max(s.versions[adapter], 1) + 1
	s.since[adapter] = time.Now()
	s.store.Put("op", "version/m."+adapter, []byte(fmt.Sprintf(`{"model":"m","adapter":%q,"version":%d}`, adapter, s.versions[adapter])))
}

func (p *program) peers() string { return p.callers[:len(p.callers)-1] + "2" }

// newProgram writes an instance's settings and starts it. Its ports are ten in a
// row, so that all its addresses are known beforehand.
func (s *site) newProgram(name, door string, seeds []string) (*program, error) {
	path, err := newProxy(door)
	if err != nil {
		return nil, err
	}
	base, err := freePorts()
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	p := &program{name: name, callers: at(0), metrics: at(3), path: path, settings: filepath.Join(s.dir, name+".yaml"), log: filepath.Join(s.dir, name+".log")}
	text := fmt.Sprintf("nodeName: %q\nzone: \"zone-a\"\nip: \"127.0.0.1\"\nlisten:\n  frontend: %q\n  readiness: %q\n  control: %q\ninternalPorts: [%d, %d]\nseeds: [",
		name, at(0), at(1), at(2), base+3, base+9)
	for i, seed := range seeds {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", seed)
	}
	text += fmt.Sprintf("]\nlimits: {memoryMb: 256, maxFds: 2000}\nheartbeatMs: %d\nbounds: {drainMs: 2000, graceS: %d, configApplyMs: 2000, version_ms: 5000, leaseMs: 3000, retryBudgetRatio: 0.2, retryBudgetExtra: 58, budgetWindowS: 10}\nplatform: {address: %q}\n",
		beat.Milliseconds(), int(grace.Seconds()), path.address())
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	s.mu.Lock()
	s.programs = append(s.programs, p)
	s.mu.Unlock()
	return p, s.start(p)
}

// freePorts returns the first of ten free ports that ends in 0.
func freePorts() (int, error) {
	for range 200 {
		base := 20000 + 10*rand.IntN(3000)
		free := true
		for i := range 10 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no ten free ports in a row")
}

// start starts a process of a program.
func (s *site) start(p *program) error {
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(s.cfg.Program, s.cfg.Arguments...)
	cmd.Env = append(os.Environ(), "CHESTNUTSTREAM_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.stopped = cmd, false
	p.run++
	return nil
}

// signal sends a signal to a program's process, by its id.
func (p *program) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(sig)
	switch sig {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
}

// restart ends a process with a signal, waits for its end and starts the next.
func (s *site) restart(p *program, sig syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(sig)
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(grace + time.Second):
		p.signal(syscall.SIGKILL)
		<-done
	}
	p.mu.Lock()
	p.ended = time.Now()
	p.mu.Unlock()
	return s.start(p)
}

// close ends all processes, by their ids, and the platform's side.
func (s *site) close() {
	s.mu.Lock()
	programs, backends := s.programs, s.backends
	s.mu.Unlock()
	for _, p := range programs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		_ = cmd.Wait()
		p.path.close()
	}
	close(s.stop)
	for _, b := range backends {
		b.proxy.close()
	}
}
