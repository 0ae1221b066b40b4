package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// edge is one process of the role "edge" of the deploy file.
type edge struct {
	name     string
	zone     string
	ip       string
	frontend string
	ready    string
	control  string
	settings string
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

// deployment is a small deployment: one edge process in each zone, and the store.
type deployment struct {
	dir       string
	storeAddr string
	store     *store
	edges     []*edge
	rec       *recorder
}

var zones = []string{"attiki-a", "attiki-b", "attiki-c", "attiki-d"}

// basePort returns a port such that it and the following ones are free on all addresses.
func basePort(ips []string) (int, error) {
	for port := 21000; port < 31000; port += 50 {
		free := true
		for _, ip := range ips {
			for i := 0; i < 20 && free; i++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// newDeployment starts the store and writes the settings of n edge processes.
func newDeployment(rec *recorder, n int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	d := &deployment{dir: dir, store: newStore(), rec: rec}
	l, err := net.Listen("tcp", "127.0.9.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", i+1))
	}
	port, err := basePort(ips)
	if err != nil {
		return nil, err
	}
	for i, ip := range ips {
		e := &edge{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: ip}
		e.frontend, e.ready, e.control = fmt.Sprintf("%s:%d", ip, port), fmt.Sprintf("%s:%d", ip, port+1), fmt.Sprintf("%s:%d", ip, port+2)
		e.settings = filepath.Join(dir, e.name+".yaml")
		d.edges = append(d.edges, e)
	}
	for _, e := range d.edges {
		if err := os.WriteFile(e.settings, []byte(d.settingsText(e, port)), 0o600); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
	}
	return d, nil
}

// settingsText returns the settings file of the platform, with the bounds of sty-round.
func (d *deployment) settingsText(e *edge, port int) string {
	var seeds strings.Builder
	for _, s := range d.edges[:min(3, len(d.edges))] {
		fmt.Fprintf(&seeds, "  - %q\n", s.control)
	}
	var regions strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&regions, "  %s: \"attiki\"\n", z)
	}
	return fmt.Sprintf(`nodeName: %q
role: "edge"
machineClass: "edge"
serves:
  - "edge"
  - "control_plane"
ip: %q
zone: %q
region: "attiki"
zones:
%slisten:
  frontend: %q
  readiness: %q
  control: %q
internalPorts:
  - %d
  - %d
seeds:
%sbootstrap: true
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
faultTolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
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
  retryAfterS: 0
  fencingEnforced: false
  leaseMs: 3000
  thawSlackMs: 300
  ceilingWindowS: 5
  ceilingOvershoot: 1.1
  version_ms: 5000
platform:
  address: %q
  form: "table"
  writesPerS: 400
  readsPerS: 2000
  txMs: 3.0
  partitionWritesS: 300
  rowBytes: 65536
  across: true
  historyS: 20
  blobBytes: 8388608
  blobMs: 25.0
  blobMbS: 80.0
`, e.name, e.ip, e.zone, regions.String(), e.frontend, e.ready, e.control, port+3, port+18, seeds.String(), d.storeAddr)
}

// start starts an edge process with the command of the deploy file.
func (d *deployment) start(e *edge) error {
	log, err := os.OpenFile(filepath.Join(d.dir, e.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	e.log, e.cmd, e.exited = log, exec.Command("target/chestnutstream", "edge"), make(chan struct{})
	e.cmd.Env = append(os.Environ(), "CHESTNUTSTREAM_CONFIG="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	cmd, exited := e.cmd, e.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// startAll starts all edge processes and waits until all are ready.
func (d *deployment) startAll() error {
	for _, e := range d.edges {
		if err := d.start(e); err != nil {
			return err
		}
	}
	for _, e := range d.edges {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (e *edge) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.name)
}

func (e *edge) signal(s syscall.Signal) {
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// close ends all edge processes.
func (d *deployment) close() {
	for _, e := range d.edges {
		if e.cmd == nil {
			continue
		}
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		<-e.exited
		_ = e.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
