package hostile_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/hostile"
	"github.com/chestnutstream/chestnutstream/standin"
)

// The crowd, and the bounds of the processes, which are those of their settings. They are
// fixed: a change of the product must not need a change of them.
const (
	clients        = 600 // at one port
	clientsPerPort = 300 // where the crowd is at several ports at once
	maxMemoryMB    = 96
	maxDescriptors = 400
	crowdTime      = 900 * time.Millisecond
	samplePeriod   = 20 * time.Millisecond
	responseBound  = 30 * time.Second // only for tests that would not end otherwise
)

// process is a running process of the system.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	output bytes.Buffer
}

// start runs the program until the end of the test.
func start(t *testing.T, program string, env []string, args ...string) *process {
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	// The kernel kills the process when this one ends, also when this one is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("%v: last output:\n%s", args, p.output.Bytes()[max(0, p.output.Len()-4000):])
		}
	})
	return p
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (p *process) descriptors() int {
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer d.Close()
	names, _ := d.Readdirnames(-1) // fails only if the process has ended
	return len(names)
}

// peakMemory returns the largest resident memory so far, in KB.
func (p *process) peakMemory(t *testing.T) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var kb int
		if _, err := fmt.Sscanf(in.Text(), "VmHWM: %d kB", &kb); err == nil {
			return kb
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// deployment has the stand-ins that the processes use.
type deployment struct {
	program  string
	store    string
	platform string
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{program: filepath.Join(t.TempDir(), "chestnutstream")}
	out, err := exec.Command("go", "build", "-o", d.program, "github.com/chestnutstream/chestnutstream/cmd/chestnutstream").CombinedOutput()
	assert.NilError(t, err, string(out))
	return d
}

const configuration = `{"version":2,"routes":[
 {"name":"look","host":"h.example","prefix":"/look/","type":"idempotent","maxAttempts":2,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"},
 {"name":"order","host":"h.example","prefix":"/order/","type":"non_idempotent","maxAttempts":1,"timeoutMs":2500,"targetLatencyMs":300,"service":"desk"}],
 "services":[{"name":"desk","healthPath":"/health","maxConnections":200}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startStore starts the store and the backend server of the users' platform.
func (d *deployment) startStore(t *testing.T) {
	store := standin.NewStore()
	assert.Assert(t, store.Put("op", "config", []byte(configuration)) > 0)
	b, err := standin.StartProcess(standin.ProcessSettings{
		Backend: standin.BackendSettings{ID: "i-desk-1", Service: "desk", Zone: "zone-a", Slots: 12, ServiceTime: time.Millisecond}, Heartbeat: 400 * time.Millisecond,
	}, store)
	assert.NilError(t, err)
	t.Cleanup(b.Close)
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	d.store = strings.TrimPrefix(srv.URL, "http://")
}

// ports are the addresses of a process.
type ports struct{ callers, readiness, peers, metrics string }

// startEdge starts an instance on the users' platform.
func (d *deployment) startEdge(t *testing.T) (*process, ports) {
	base := freePorts(t)
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", base+i) }
	p := ports{callers: addr(0), readiness: addr(1), peers: addr(2), metrics: addr(3)}
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `nodeName: "edge-1"
bootstrap: true
zone: "zone-a"
ip: "127.0.0.1"
listen: {frontend: %q, readiness: %q, control: %q}
internalPorts: [%d]
limits: {memoryMb: %d, maxFds: %d}
heartbeatMs: 400
bounds: {drainMs: 2000, graceS: 5, configApplyMs: 2000, leaseMs: 3000, retryBudgetRatio: 0.2, retryBudgetExtra: 58, budgetWindowS: 10}
platform: {address: %q}
`, p.callers, p.readiness, p.peers, base+3, maxMemoryMB, maxDescriptors, d.store), 0o600))
	return start(t, d.program, []string{"CHESTNUTSTREAM_CONFIG=" + settings}, "edge"), p
}

// startPlatform starts the platform and the service of the product's own interface, and
// writes the configuration document.
func (d *deployment) startPlatform(t *testing.T) {
	pf := standin.NewPlatform(standin.DefaultPlatformSettings())
	l, err := standin.Serve("127.0.0.1:0", pf)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	d.platform = l.Address
	service, err := standin.Serve("127.0.0.1:0", standin.NewService("desk-1"))
	assert.NilError(t, err)
	t.Cleanup(service.Close)
	pf.Register(standin.InstanceRow{Name: "desk-1", Address: service.Address, Region: "region", Zone: "zone-a", Role: "backend", State: "live"})
	p, addrs := d.startEntry(t)
	awaitResponse(t, p, "http://"+addrs.callers+"/healthz", "", http.StatusOK)
	for _, section := range [][2]string{
		{"services", `[{name: desk, may-use: ["*"], idempotent: [{method: GET, path: /stock}]}]`},
		{"backend-servers", `[{name: desk-1, kind: service, availability-zone: zone-a, service: desk}]`},
	} {
		cmd := exec.Command(d.program, "config", "-entry", addrs.callers, "-operator-secret", operatorSecret, "-base", "0", "put", section[0])
		cmd.Stdin = strings.NewReader(section[1])
		out, err := cmd.CombinedOutput()
		assert.NilError(t, err, "%s: %s", section[0], out)
	}
}

const (
	operatorSecret = "hostile-test-operator-secret"
	peerSecret     = "hostile-test-peer-secret"
)

// startEntry starts an instance of the product's own interface. Its limits are set by
// environment variables, which a program that does not know them ignores.
func (d *deployment) startEntry(t *testing.T) (*process, ports) {
	base := freePorts(t)
	p := ports{callers: fmt.Sprintf("127.0.0.1:%d", base), peers: fmt.Sprintf("127.0.0.1:%d", base+1)}
	env := []string{fmt.Sprintf("CHESTNUTSTREAM_MEMORY_MB=%d", maxMemoryMB), fmt.Sprintf("CHESTNUTSTREAM_MAX_DESCRIPTORS=%d", maxDescriptors)}
	return start(t, d.program, env, "entry", "-name", "entry-1", "-availability-zone", "zone-a", "-platform", d.platform,
		"-caller-address", p.callers, "-peer-address", p.peers, "-peer-secret", peerSecret, "-operator-secret", operatorSecret), p
}

// freePorts returns the first of four consecutive free ports, below those from which
// Linux takes the ports of outgoing connections.
func freePorts(t *testing.T) int {
	for range 200 {
		base := 12000 + 10*rand.IntN(2000)
		free := true
		for i := range 4 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			free = free && err == nil
			if err == nil {
				_ = l.Close()
			}
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// awaitResponse sends an ordinary request until it is answered with the wanted status: how
// many of them are answered depends on the machine.
func awaitResponse(t *testing.T, p *process, url, hostName string, want int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var last string
	for end := time.Now().Add(responseBound); time.Now().Before(end); time.Sleep(samplePeriod) {
		assert.Assert(t, p.running(), "the process has ended")
		req, err := http.NewRequest(http.MethodGet, url, nil)
		assert.NilError(t, err)
		req.Host = hostName
		req.Header.Set("X-Chestnutstream-Request-Id", fmt.Sprintf("ordinary-%d", rand.Uint64()))
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == want && err == nil {
			return
		}
		last = resp.Status
	}
	t.Fatalf("%s: no status %d within %v; last: %s", url, want, responseBound, last)
}

// check runs a crowd at some ports of a process. It guards against a process that runs out
// of memory or descriptors, ends, or responds to no one any more. Ordinary requests are sent
// before and after the crowd, and beside one that does not keep the machine busy.
func check(t *testing.T, p *process, crowd hostile.Crowd, addresses []string, ordinary func()) {
	ordinary()
	calm := p.peakMemory(t)
	n := clients
	if len(addresses) > 1 {
		n = clientsPerPort
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() { crowd.Run(ctx, address, n) })
	}
	descriptors := 0
	wg.Go(func() {
		for ctx.Err() == nil {
			descriptors = max(descriptors, p.descriptors())
			time.Sleep(samplePeriod)
		}
	})
	time.Sleep(crowdTime)
	if !crowd.Busy() {
		ordinary()
	}
	cancel()
	wg.Wait()
	assert.Assert(t, p.running(), "the process has ended")
	peak := p.peakMemory(t)
	t.Logf("peak memory %d MB (%d before), %d descriptors", peak>>10, calm>>10, descriptors)
	assert.Check(t, peak < maxMemoryMB<<10, "peak memory %d MB of %d", peak>>10, maxMemoryMB)
	assert.Check(t, descriptors < maxDescriptors, "%d descriptors of %d", descriptors, maxDescriptors)
	ordinary()
}

// Guards against clients that make an instance run out of memory or descriptors: header
// lines take some ten times their size in memory, and connections were not limited.
func TestEdgeEnduresHostileClients(t *testing.T) {
	d := newDeployment(t)
	d.startStore(t)
	run := func(name string, crowd hostile.Crowd, addresses func(ports) []string) {
		t.Run(name+"/"+crowd.Name, func(t *testing.T) {
			p, addrs := d.startEdge(t)
			check(t, p, crowd, addresses(addrs), func() {
				awaitResponse(t, p, "http://"+addrs.readiness+"/ready", "", http.StatusOK)
				awaitResponse(t, p, "http://"+addrs.metrics+"/metrics", "", http.StatusOK)
				awaitResponse(t, p, "http://"+addrs.peers+"/none", "", http.StatusNotFound)
				awaitResponse(t, p, "http://"+addrs.callers+"/look/1", "h.example", http.StatusOK)
			})
		})
	}
	for _, crowd := range hostile.Crowds() {
		run("callers", crowd, func(p ports) []string { return []string{p.callers} })
	}
	for _, crowd := range hostile.HeadCrowds() {
		run("peers, readiness and metrics", crowd, func(p ports) []string { return []string{p.peers, p.readiness, p.metrics} })
	}
}

// As TestEdgeEnduresHostileClients, for the product's own interface.
func TestEntryEnduresHostileClients(t *testing.T) {
	d := newDeployment(t)
	d.startPlatform(t)
	for _, crowd := range hostile.HeadCrowds() {
		t.Run("callers and peers/"+crowd.Name, func(t *testing.T) {
			p, addrs := d.startEntry(t)
			check(t, p, crowd, []string{addrs.callers, addrs.peers}, func() {
				awaitResponse(t, p, "http://"+addrs.peers+"/healthz", "", http.StatusOK)
				awaitResponse(t, p, "http://"+addrs.callers+"/services/desk/stock/1", "", http.StatusOK)
			})
		})
	}
}
