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

// Sizes and intervals of the deployment.
const (
	instanceCount     = 3
	engineCount       = 3
	plainServerCount  = 2
	adapterSlots      = 4
	adapterCount      = 24
	eventsPerStream   = 6
	heartbeatInterval = 400 * time.Millisecond
	gracePeriod       = 5 * time.Second
)

// deployment holds the platform stand-ins, which run in this process, and the
// instances, each of which runs in a process of its own.
type deployment struct {
	cfg         Settings
	dir         string
	store       *standin.Store
	faultyStore *faultyStore
	parts       parts
	workspaces  *workspaces // nil: the configuration has none
	paceRNG     *rand.Rand  // draws what new servers state of their pace; guarded by mu

	mu                sync.Mutex
	backends          []*backend
	instances         []*instance
	configVersion     uint64               // newest configuration
	acknowledgedAt    []time.Time          // by configuration, oldest first
	adapterVersions   map[string]int       // newest declared version by adapter
	declaredAt        map[string]time.Time // time of the newest declaration by adapter
	plainServersAdded int
}

// backend is a stand-in backend server that is reached through a proxy.
type backend struct {
	*standin.BackendProcess
	id      string
	service string
	proxy   *proxy

	paceMu sync.Mutex
	pace   serverPace
}

// setFaults replaces the faults in force.
func (b *backend) setFaults(f standin.BackendFaults) {
	f.CrashPart, f.CrashPath = crashPart, "/order/"+crashPath
	b.paceMu.Lock()
	f = b.pace.apply(f)
	b.paceMu.Unlock()
	b.SetFaults(f)
}

// instance is an instance under test; its addresses and settings stay the same
// over all its processes.
type instance struct {
	name         string
	settingsPath string
	callerAddr   string
	metricsAddr  string
	logPath      string
	storeLink    *proxy // between the instance and the store

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int               // number of processes started so far
	exits       map[int]time.Time // by incarnation: when the process ended
	paused      bool              // by SIGSTOP
	changedAt   time.Time         // latest start or signal
}

// faultyStore is an HTTP handler that injects faults into calls of the store.
type faultyStore struct {
	mu            sync.Mutex
	next          http.Handler
	rng           *rand.Rand
	delay         time.Duration
	lossRate      float64 // share of calls that take effect and get no response
	lateWriteRate float64 // share of writes that take effect a second late and get no response
	unavailable   bool
	changedAt     time.Time
}

// setFaults replaces the faults in force.
func (f *faultyStore) setFaults(delay time.Duration, lossRate, lateWriteRate float64, unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.lossRate, f.lateWriteRate, f.unavailable = delay, lossRate, lateWriteRate, unavailable
	f.changedAt = time.Now()
}

// ServeHTTP implements http.Handler.
func (f *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	delay, unavailable := f.delay, f.unavailable
	lost, late := f.rng.Float64() < f.lossRate, r.Method == http.MethodPost && f.rng.Float64() < f.lateWriteRate
	f.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(delay)
	if late {
		time.Sleep(time.Second)
	}
	if lost || late {
		f.next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	f.next.ServeHTTP(w, r)
}

// discardWriter discards a response, which is then lost to the client.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *discardWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// serveLoopback serves h on a free loopback port and returns the address.
func serveLoopback(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// newDeployment starts the platform stand-ins and the instances.
func newDeployment(cfg Settings, p parts, rng *rand.Rand) (*deployment, error) {
	dir, err := os.MkdirTemp(cfg.Folder, fmt.Sprintf("soak-%d-", cfg.Seed))
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	d := &deployment{cfg: cfg, dir: dir, store: standin.NewStore(), adapterVersions: map[string]int{}, declaredAt: map[string]time.Time{}, parts: p, paceRNG: rand.New(rand.NewPCG(cfg.Seed, 12))}
	if p.workspaces {
		d.workspaces = newWorkspaces(p.strictRevoke)
	}
	d.faultyStore = &faultyStore{next: d.store, rng: rng}
	for i := range engineCount {
		if err := d.addBackend(standin.BackendSettings{
			ID: fmt.Sprintf("i-engine-%d", i), Service: "assistant", Slots: 24, AdapterSlots: adapterSlots, Model: "m", WeightsMB: 100, ModelMB: 90, AdapterMB: 1,
			Software: softwareVersions[i%len(softwareVersions)], ServiceTime: 6 * time.Millisecond, Events: eventsPerStream, LoadTime: 120 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
		}); err != nil {
			return nil, err
		}
	}
	for range plainServerCount {
		if err := d.addPlainServer(); err != nil {
			return nil, err
		}
	}
	d.putConfiguration()
	storeAddr, err := serveLoopback(d.faultyStore)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range instanceCount {
		inst, err := d.newInstance(fmt.Sprintf("edge-%d", i), storeAddr, seeds)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, inst.peerAddr())
	}
	return d, nil
}

// addPlainServer adds a server of the service desk.
func (d *deployment) addPlainServer() error {
	d.plainServersAdded++
	return d.addBackend(standin.BackendSettings{ID: fmt.Sprintf("i-desk-%d", d.plainServersAdded), Service: "desk", Slots: 12, ServiceTime: 8 * time.Millisecond})
}

// addBackend starts a backend server behind a proxy.
func (d *deployment) addBackend(cfg standin.BackendSettings) error {
	cfg.Zone = "zone-a"
	l, err := net.Listen("tcp", standin.ProcessAddress)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", cfg.ID, err)
	}
	link, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	cfg.Address = link.address()
	if w := d.workspaces; w != nil {
		cfg.Observe = func(req *http.Request) { w.observe(cfg.ID, req) }
	}
	process := standin.StartProcessOn(l, standin.ProcessSettings{
		Backend: cfg, Heartbeat: heartbeatInterval, RestartTime: restartTime, KeepID: len(d.backends)%2 == 1, Crashed: link.refuse, Restarted: link.restore,
	}, d.store)
	b := &backend{BackendProcess: process, id: cfg.ID, service: cfg.Service, proxy: link}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.parts.pace {
		b.setPace(drawPace(d.paceRNG, d.parts.statesPace(cfg.Service)))
	}
	b.setFaults(standin.BackendFaults{})
	d.backends = append(d.backends, b)
	return nil
}

// putConfiguration writes the next version of the configuration. The route "news"
// has a path prefix that only this version has.
func (d *deployment) putConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion += configVersionStep
	d.putAsOperator("config", []byte(fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"ask","host":"h.example","prefix":"/ask/","type":"streaming","resumable":true,"maxAttempts":2,"timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":400,"service":"assistant"},
 {"name":"once","host":"h.example","prefix":"/once/","type":"streaming","maxAttempts":1,"timeoutMs":4000,"targetLatencyMs":500,"targetGapMs":400,"service":"assistant"},
 {"name":"order","host":"h.example","prefix":"/order/","type":"non_idempotent","maxAttempts":1,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"},
 {"name":"look","host":"h.example","prefix":"/look/","type":"idempotent","maxAttempts":2,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"},
 {"name":"news","host":"h.example","prefix":%q,"type":"non_idempotent","maxAttempts":1,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"}%s],
 "services":[{"name":"assistant","healthPath":"/health","maxConnections":200,"engine":{"slots":24,"weightsMb":100,"adapterSlots":%d,"models":[{"name":"m","weightsMb":90,"loadTimeS":0.3,"adapters":%d,"adapterSizeMb":1}]}},
 {"name":"desk","healthPath":"/health","maxConnections":200}],"limits":{"maxBodyBytes":100000,"idleTimeoutMs":15000}%s}`, d.configVersion, versionedPrefix(d.configVersion), d.workspaces.route(), adapterSlots, adapterCount, d.workspaces.tenants())))
	d.acknowledgedAt = append(d.acknowledgedAt, time.Now())
}

// declareVersion declares the next version of an adapter.
func (d *deployment) declareVersion(adapter string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adapterVersions[adapter] = max(d.adapterVersions[adapter], 1) + 1
	d.putAsOperator("version/m."+adapter, []byte(fmt.Sprintf(`{"model":"m","adapter":%q,"version":%d}`, adapter, d.adapterVersions[adapter])))
	d.declaredAt[adapter] = time.Now()
}

// putAsOperator writes a row of the operator and returns when it is acknowledged.
func (d *deployment) putAsOperator(key string, value []byte) {
	for d.store.Put("op", key, value) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// peerAddr returns the address for peers: the port of callerAddr ends in 0, that of
// peers in 2.
func (inst *instance) peerAddr() string { return inst.callerAddr[:len(inst.callerAddr)-1] + "2" }

// newInstance writes an instance's settings file and starts it. It has ten
// consecutive ports, so that its addresses are known before it starts.
func (d *deployment) newInstance(name, storeAddr string, seeds []string) (*instance, error) {
	storeLink, err := newProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	basePort, err := freePorts()
	if err != nil {
		return nil, err
	}
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", basePort+i) }
	inst := &instance{name: name, callerAddr: addr(0), metricsAddr: addr(3), storeLink: storeLink, settingsPath: filepath.Join(d.dir, name+".yaml"), logPath: filepath.Join(d.dir, name+".log")}
	settingsText := fmt.Sprintf("nodeName: %q\nbootstrap: true\nzone: \"zone-a\"\nip: \"127.0.0.1\"\nlisten:\n  frontend: %q\n  readiness: %q\n  control: %q\ninternalPorts: [%d, %d]\nseeds: [",
		name, addr(0), addr(1), addr(2), basePort+3, basePort+9)
	for i, seed := range seeds {
		if i > 0 {
			settingsText += ", "
		}
		settingsText += fmt.Sprintf("%q", seed)
	}
	contracts, bounds := d.workspaces.settings()
	settingsText += fmt.Sprintf("]\n%slimits: {memoryMb: 256, maxFds: 2000}\nheartbeatMs: %d\nbounds: {drainMs: 2000, graceS: %d, configApplyMs: 2000, version_ms: 5000, leaseMs: 3000, retryBudgetRatio: 0.2, retryBudgetExtra: 58, budgetWindowS: 10%s}\nplatform: {address: %q}\n",
		contracts, heartbeatInterval.Milliseconds(), int(gracePeriod.Seconds()), bounds, storeLink.address())
	if err := os.WriteFile(inst.settingsPath, []byte(settingsText), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	d.mu.Lock()
	d.instances = append(d.instances, inst)
	d.mu.Unlock()
	return inst, d.start(inst)
}

// Ports of instances. They are below the ports from which Linux takes those of outgoing
// connections by default, so that none is taken between its choice and its use.
const (
	minInstancePort = 12000
	maxInstancePort = 32000
)

// freePorts returns the first of ten consecutive free ports; its last digit is 0.
func freePorts() (int, error) {
	for range 200 {
		basePort := minInstancePort + 10*rand.IntN((maxInstancePort-minInstancePort)/10)
		free := true
		for i := range 10 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", basePort+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return basePort, nil
		}
	}
	return 0, fmt.Errorf("no ten consecutive free ports found")
}

// start starts a process of an instance.
func (d *deployment) start(inst *instance) error {
	out, err := os.OpenFile(inst.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(d.cfg.Program, d.cfg.Arguments...)
	cmd.Env = append(os.Environ(), "CHESTNUTSTREAM_CONFIG="+inst.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when this one ends, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", inst.name, err)
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.cmd, inst.paused, inst.changedAt = cmd, false, time.Now()
	inst.incarnation++
	return nil
}

// signal sends a signal to an instance's process.
func (inst *instance) signal(sig syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.cmd == nil || inst.cmd.Process == nil {
		return
	}
	_ = inst.cmd.Process.Signal(sig)
	inst.changedAt = time.Now()
	switch sig {
	case syscall.SIGSTOP:
		inst.paused = true
	case syscall.SIGCONT:
		inst.paused = false
	}
}

// restart sends a signal to the process of an instance, waits until it exits and
// starts the next. A process that runs on past the grace period is killed.
func (d *deployment) restart(inst *instance, sig syscall.Signal) error {
	inst.mu.Lock()
	cmd := inst.cmd
	inst.mu.Unlock()
	inst.signal(syscall.SIGCONT)
	inst.signal(sig)
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(gracePeriod + time.Second):
		inst.signal(syscall.SIGKILL)
		<-done
	}
	inst.mu.Lock()
	if inst.exits == nil {
		inst.exits = map[int]time.Time{}
	}
	inst.exits[inst.incarnation] = time.Now()
	inst.mu.Unlock()
	return d.start(inst)
}

// close kills all instance processes and stops the platform stand-ins.
func (d *deployment) close() {
	d.mu.Lock()
	instances, backends := d.instances, d.backends
	d.mu.Unlock()
	for _, inst := range instances {
		inst.signal(syscall.SIGCONT)
		inst.signal(syscall.SIGKILL)
		inst.mu.Lock()
		cmd := inst.cmd
		inst.mu.Unlock()
		_ = cmd.Wait()
		inst.storeLink.close()
	}
	for _, b := range backends {
		b.Close()
		b.proxy.close()
	}
}
