package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// zones are the availability zones; each has an instance.
var zones = []string{"zone-a", "zone-b"}

// record is the file in which all that was observed is written.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process that the test has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// deployment is a platform, servers and instances.
type deployment struct {
	rec     *record
	dir     string
	edge    string // program
	store   *store
	addr    string // of the store
	mu      sync.Mutex
	procs   []*process
	servers map[string]*backend
	onLine  func(server, line string)
}

// backend is a server process.
type backend struct {
	*process
	id, service, zone, model, address string
	born                              int64
}

func newDeployment(rec *record, edge string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, edge: edge, store: newStore(), servers: map[string]*backend{}, onLine: func(string, string) {}}
	d.addr, err = d.store.listen()
	return d, err
}

func (d *deployment) spawn(name string, cmd *exec.Cmd) (*process, *bufio.Scanner, error) {
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	d.mu.Lock()
	d.procs = append(d.procs, p)
	d.mu.Unlock()
	return p, bufio.NewScanner(out), nil
}

// startServer starts a server process, which registers itself with the platform at each
// heartbeat, until three after its end.
func (d *deployment) startServer(id, service, zone, model string, flags ...string) error {
	self, _ := os.Executable()
	p, lines, err := d.spawn(id, exec.Command(self, append([]string{"server", "-id", id, "-model", model}, flags...)...))
	if err != nil {
		return err
	}
	b := &backend{process: p, id: id, service: service, zone: zone, model: model}
	if !lines.Scan() {
		return fmt.Errorf("server %s does not start", id)
	}
	if _, err := fmt.Sscanf(lines.Text(), "listening %s %d", &b.address, &b.born); err != nil {
		return err
	}
	d.mu.Lock()
	d.servers[id] = b
	d.mu.Unlock()
	go func() {
		for lines.Scan() {
			d.rec.printf("server %s", lines.Text())
			d.onLine(id, lines.Text())
		}
		_ = p.cmd.Wait()
		close(p.ended)
		d.rec.printf("server %s has ended", id)
	}()
	go d.beat(b)
	return nil
}

// kill kills a server, and records what a connection to its address meets then.
func (d *deployment) kill(id string) {
	d.mu.Lock()
	b := d.servers[id]
	d.mu.Unlock()
	b.signal(syscall.SIGKILL)
	<-b.ended
	conn, err := net.DialTimeout("tcp", b.address, time.Second)
	if err == nil {
		_ = conn.Close()
	}
	d.rec.printf("server %s was killed; a new connection to its address: %v", id, err)
}

func (d *deployment) beat(b *backend) {
	models := []any{}
	if b.model != "" {
		models = append(models, map[string]any{"name": b.model, "version": 1, "adapters": []string{}})
	}
	for sequence := 1; b.running(); sequence++ {
		d.store.put("servers", b.id, map[string]any{
			"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
			"stage": "both", "models": models, "sequence": sequence, "born": b.born,
		})
		select {
		case <-time.After(heartbeat):
		case <-b.ended:
		}
	}
	time.Sleep(3 * heartbeat)
	d.store.remove("servers", b.id)
}

// instance is an instance of the project.
type instance struct {
	*process
	name, ip            string
	boot                string // path of its settings
	frontend, readiness string
}

// freePort returns a port that is free on a loopback address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// startInstances starts an instance in each zone and waits until they are ready.
func (d *deployment) startInstances() ([]*instance, error) {
	control := freePort("127.0.0.2") // ports are the same on all machines
	var out []*instance
	for i, zone := range zones {
		in, err := d.newInstance("edge-"+zone, fmt.Sprintf("127.0.0.%d", 2+i), zone, control)
		if err != nil {
			return nil, err
		}
		if err := d.startInstance(in); err != nil {
			return nil, err
		}
		out = append(out, in)
	}
	return out, d.awaitReady(out...)
}

// newInstance writes the settings of an instance.
func (d *deployment) newInstance(name, ip, zone string, control int) (*instance, error) {
	in := &instance{name: name, ip: ip, boot: filepath.Join(d.dir, name+".yaml")}
	in.frontend = fmt.Sprintf("%s:%d", ip, freePort(ip))
	in.readiness = fmt.Sprintf("%s:%d", ip, freePort(ip))
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName: %q\nrole: \"edge\"\nmachineClass: \"edge\"\nserves:\n  - \"edge\"\n  - \"control_plane\"\nip: %q\nzone: %q\nregion: \"r\"\nzones:\n", name, ip, zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"r\"\n", z)
	}
	fmt.Fprintf(&b, "listen:\n  frontend: %q\n  readiness: %q\n  control: %q\n", in.frontend, in.readiness, fmt.Sprintf("%s:%d", ip, control))
	p := freePort(ip)
	fmt.Fprintf(&b, "internalPorts:\n  - %d\n  - %d\nseeds:\n  - %q\n", p, p, fmt.Sprintf("127.0.0.2:%d", control))
	fmt.Fprintf(&b, `bootstrap: true
faultCounted: false
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
bounds:
  contactMs: 3000
  ackMs: 4000
  drainMs: 2000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  maxStretchMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetExtra: 58
  recoveryS: 12
  passMs: 120
  fencingEnforced: false
  leaseMs: 3000
  thawSlackMs: 300
  version_ms: 5000
platform:
  address: %q
  form: "table"
  across: true
`, d.addr)
	return in, os.WriteFile(in.boot, []byte(b.String()), 0o600)
}

func (d *deployment) startInstance(in *instance) error {
	cmd := exec.Command(d.edge, "edge")
	cmd.Env = append(os.Environ(), "CHESTNUTSTREAM_CONFIG="+in.boot, "GOMAXPROCS=1")
	p, lines, err := d.spawn(in.name, cmd)
	if err != nil {
		return err
	}
	in.process = p
	d.rec.printf("instance %s started", in.name)
	go func() {
		for lines.Scan() { // logs are not evidence
		}
		_ = p.cmd.Wait()
		close(p.ended)
		d.rec.printf("instance %s has ended: %v", in.name, p.cmd.ProcessState)
	}()
	return nil
}

func (d *deployment) awaitReady(ins ...*instance) error {
	end := time.Now().Add(15 * time.Second)
	for _, in := range ins {
		for {
			resp, err := http.Get("http://" + in.readiness + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range d.procs {
		<-p.ended
	}
	_ = os.RemoveAll(d.dir)
}
