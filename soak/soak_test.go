package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// mutantEnv is the environment variable that makes this test binary run as an
// instance with the planted fault that it names.
const mutantEnv = "SOAK_MUTANT"

func TestMain(m *testing.M) {
	if kind := os.Getenv(mutantEnv); kind != "" {
		runMutant(kind)
		return
	}
	os.Exit(m.Run())
}

// Guards against regressions that only random faults on real processes show: a
// short run of the program with a fixed seed.
func TestProgramUnderRandomFaults(t *testing.T) {
	r, err := Run(context.Background(), Settings{Program: buildProgram(t), Arguments: []string{"edge"}, Seed: 20261204, Duration: 8 * time.Second})
	assert.NilError(t, err)
	assert.Assert(t, len(r.Violations) == 0, "logs in %s: %s", r.Folder, strings.Join(r.Violations, "\n"))
	assert.Assert(t, r.Answered > r.Requests/2, "%+v", r)
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "chestnutstream")
	out, err := exec.Command("go", "build", "-o", program, "github.com/chestnutstream/chestnutstream/cmd/chestnutstream").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// A configuration and an adapter version that are written after the store's watches
// lost updates must be applied in time. Random runs rarely produce this order of
// events.
func TestSilentWatchesDelayNoChange(t *testing.T) {
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	time.Sleep(warmUpDuration)
	stop := r.startClients(1)
	r.beginFault()
	r.suppressWatches()
	time.Sleep(2 * heartbeatInterval) // ends the watches that wait
	r.resumeWatches()
	r.endFault()
	time.Sleep(recoveryBound)
	r.putConfiguration()
	r.declareVersion("a1")
	time.Sleep(versionApplyBound + 2*time.Second)
	stop()
	r.checkServerCounts()
	d.close()
	assert.Assert(t, len(r.violations) == 0, strings.Join(r.violations, "\n"))
	var withConfig, withVersion int
	for _, res := range r.results {
		if res.minConfigVersion == d.configVersion {
			withConfig++
		}
		if res.minAdapterVersion == d.adapterVersions["a1"] {
			withVersion++
		}
	}
	assert.Assert(t, withConfig > 0 && withVersion > 0, "%d requests were sent after the configuration was due, %d after the version was due", withConfig, withVersion)
}

// Servers that signal a limit, a pause or that they are leaving must receive few
// enough requests. Random runs are rarely free of faults for long enough to check
// this.
func TestBackpressureIsObeyed(t *testing.T) {
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	assert.NilError(t, d.addPlainServer())
	time.Sleep(warmUpDuration)
	stop := r.startClients(1)
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for _, signal := range []func(){
		func() { r.signalLimit(d.backends[0]) },
		func() { r.signalLimit(d.backends[engineCount]) },
		func() { r.signalPause(d.backends[1]) },
		func() { r.signalPause(d.backends[engineCount+1]) },
	} {
		wg.Add(1)
		go func() { defer wg.Done(); signal() }()
	}
	wg.Wait()
	r.signalLeaving()
	stop()
	r.checkServerCounts()
	d.close()
	assert.Assert(t, len(r.violations) == 0, strings.Join(r.violations, "\n"))
	served := 0
	for _, res := range r.results {
		if res.err == nil && res.status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served >= len(r.results)*9/10, "%d of %d requests served", served, len(r.results))
}

// What crashes servers must stop reaching them. Random runs are rarely free of other faults
// for long enough to check this.
func TestCrashPromptsAreContained(t *testing.T) {
	playCrashes(t, func(r *run) { r.sendCrashPrompts(1) })
}

func TestCrashRequestsAreContained(t *testing.T) {
	playCrashes(t, func(r *run) { r.sendCrashRequests(1) })
}

func playCrashes(t *testing.T, send func(r *run)) {
	t.Helper()
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	time.Sleep(warmUpDuration)
	stop := r.startClients(1)
	time.Sleep(time.Second)
	send(r)
	r.checkRecovery()
	stop()
	r.checkServerCounts()
	d.close()
	assert.Assert(t, len(r.violations) == 0, strings.Join(r.violations, "\n"))
	crashes := 0
	for _, b := range d.backends {
		crashes += len(b.Crashes())
	}
	t.Logf("%d crashes", crashes)
	assert.Assert(t, crashes > 0)
}

// Guards against believing a late second copy of a rejection.
func TestRepeatedRejectionsAreNotBelieved(t *testing.T) {
	playServerFault(t, func(r *run) { r.repeatRejections(context.Background(), 5*time.Second) }, func(c standin.BackendCounts) int { return c.RepeatedRejections })
}

// Guards against believing the status 421 of a server that has run the request.
func TestMisdirectedResponsesAreNotBelieved(t *testing.T) {
	playServerFault(t, func(r *run) { r.misdirect(context.Background(), 5*time.Second) }, func(c standin.BackendCounts) int { return c.Misdirected })
}

// Guards against relaying a stream that ended inside an event as whole, also after a retry
// of a request that its first server failed.
func TestStreamsThatEndEarlyAreNotRelayedAsWhole(t *testing.T) {
	playServerFault(t, func(r *run) { r.endStreamsEarly(context.Background(), 6*time.Second) }, func(c standin.BackendCounts) int { return c.EarlyEnds })
}

// Guards against relaying what a server sends instead of a response, or no response at all.
func TestMalformedResponsesAreNotRelayed(t *testing.T) {
	r := playServerFault(t, func(r *run) { r.malformResponses(context.Background(), 6*time.Second) }, func(c standin.BackendCounts) int { return c.Malformed })
	for _, res := range r.results {
		assert.Check(t, res.err == nil || res.status != 0, "%s: no response: %v", res.id, res.err)
	}
}

// playServerFault plays a fault of servers that random runs rarely draw, and then for a
// short time. injected counts how often it occurred.
func playServerFault(t *testing.T, inject func(r *run), injected func(standin.BackendCounts) int) *run {
	t.Helper()
	d, r := startFaultFreeRun(t, buildProgram(t), "edge")
	time.Sleep(warmUpDuration)
	stop := r.startClients(1)
	r.beginFault()
	inject(r)
	r.endFault()
	r.checkRecovery()
	stop()
	r.checkServerCounts()
	d.close()
	count := 0
	for _, b := range d.backends {
		count += injected(b.Current().Counts())
	}
	t.Logf("injected %d times", count)
	assert.Assert(t, len(r.violations) == 0, strings.Join(r.violations, "\n"))
	assert.Assert(t, count > 0)
	return r
}

// Guards against checks that pass on a faulty instance: each planted fault must be
// found.
func TestChecksFindPlantedFaults(t *testing.T) {
	tests := []struct{ mutant, want string }{
		{"retries-orders", " was executed 2 times"},
		{"says-not-run", "promised that the request was not executed, but it was"},
		{"believes-rejections", " was executed 2 times"},
		{"loads-without-asking", "more adapters than it has slots"},
		{"trusts-its-lease", "orders against its lease, the first: i-engine-"},
		{"sends-to-leaving", "after it began to leave"},
		{"believes-copies", ", which had left before the store returned from a copy"},
		{"ignores-limits", " after it signaled a limit: "},
		{"ignores-pauses", " while paused by Retry-After: "},
		{"ignores-answers", " after it signaled that it is leaving: "},
		{"ignores-crashes", "prompts with a part that crashes engines reached them more than"},
		{"ignores-repeated-crashes", "requests that crash plain servers reached them more than"},
		{"cuts-streams", "not the whole stream"},
		{"believes-any-head", "not that of a plain server"},
		{"believes-any-status", "not that of a final response"},
		{"joins-versions", ": taken up by "},
		{"serves-any-name", ", though the configuration does not list it"},
		{"logs-nothing", "without a log line that gives the reason"},
		{"keeps-old-routes", " served configuration 2 more than 2s after 4 was acknowledged"},
		{"takes-no-new-routes", " lacks the route of configuration 4 more than 2s after it was acknowledged"},
	}
	for _, tt := range tests {
		t.Run(tt.mutant, func(t *testing.T) {
			t.Parallel()
			t.Logf("planted fault: %s", tt.mutant)
			program := mutantProgram(t, tt.mutant)
			d, r := startFaultFreeRun(t, program)
			r.putConfiguration()
			stop := r.startClients(1)
			switch tt.mutant {
			case "believes-rejections":
				r.repeatRejections(context.Background(), 3*time.Second)
			case "believes-any-head", "believes-any-status":
				r.malformResponses(context.Background(), 3*time.Second)
			case "sends-to-leaving":
				r.retirePlainServer((*standin.Backend).Drain)
			case "believes-copies":
				r.returnFromCopy(context.Background(), r.backends[0], 1)
			case "ignores-limits":
				r.signalLimit(r.backends[engineCount])
			case "ignores-pauses":
				r.signalPause(r.backends[engineCount])
			case "ignores-answers":
				r.signalLeaving()
			case "ignores-crashes":
				r.sendCrashPrompts(1)
			case "ignores-repeated-crashes":
				r.sendCrashRequests(1)
			}
			time.Sleep(3 * time.Second)
			stop()
			r.checkServerCounts()
			d.close()
			assert.Assert(t, strings.Contains(strings.Join(r.violations, "\n"), tt.want), "violations: %q", r.violations)
		})
	}
}

// startFaultFreeRun starts a deployment into which no faults are injected.
func startFaultFreeRun(t *testing.T, program string, arguments ...string) (*deployment, *run) {
	return startRun(t, parts{}, program, arguments...)
}

// startRun starts a deployment with parts into which no faults are injected.
func startRun(t *testing.T, p parts, program string, arguments ...string) (*deployment, *run) {
	d, err := newDeployment(Settings{Program: program, Arguments: arguments, Seed: 1, Folder: t.TempDir()}, p, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err)
	r := &run{deployment: d, rng: rand.New(rand.NewPCG(1, 1)), faults: map[string]int{}}
	time.Sleep(500 * time.Millisecond)
	return d, r
}

// mutantProgram returns the path of a script that runs this test binary as a
// mutant.
func mutantProgram(t *testing.T, kind string) string {
	self, err := os.Executable()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "mutant")
	assert.NilError(t, os.WriteFile(path, []byte("#!/bin/sh\nexec env "+mutantEnv+"="+kind+" "+self+"\n"), 0o700))
	return path
}

// mutant is a simplified instance with one planted fault. It reads its settings and
// the servers' rows in the store, and sends each request to a random server of the
// service.
type mutant struct {
	kind           string
	storeAddr      string
	mu             sync.Mutex
	acceptedOrders map[string]int // by server id
}

// runMutant serves callers as a mutant until the process is killed.
func runMutant(kind string) {
	var cfg struct {
		NodeName string `yaml:"nodeName"`
		Listen   struct {
			Frontend string `yaml:"frontend"`
		} `yaml:"listen"`
		Platform struct {
			Address string `yaml:"address"`
		} `yaml:"platform"`
	}
	b, err := os.ReadFile(os.Getenv("CHESTNUTSTREAM_CONFIG"))
	if err == nil {
		err = yaml.Unmarshal(b, &cfg)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	m := &mutant{kind: kind, storeAddr: cfg.Platform.Address, acceptedOrders: map[string]int{}}
	if kind == "trusts-its-lease" || kind == "loads-without-asking" {
		go m.sendOrders(cfg.NodeName)
	}
	if kind == "ignores-crashes" {
		go m.loadModels(cfg.NodeName)
	}
	fmt.Println(http.ListenAndServe(cfg.Listen.Frontend, m))
}

// loadModels orders engines that have started again to load their base model.
func (m *mutant) loadModels(name string) {
	for name == "edge-0" {
		for _, s := range m.servers("assistant") {
			resp, err := http.Post("http://"+s.Address+"/order", "application/json", strings.NewReader(fmt.Sprintf(`{"operation":"load","model":"m","holder":%q,"fencingToken":1}`, name)))
			if err == nil {
				_ = resp.Body.Close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

type mutantServer struct {
	id      string
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// servers returns the ready servers of a service; nil if the store cannot be read.
func (m *mutant) servers(service string) []mutantServer {
	resp, err := http.Get("http://" + m.storeAddr + "/rows-get?table=servers")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var response struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(resp.Body).Decode(&response) != nil {
		return nil
	}
	var out []mutantServer
	for _, r := range response.Rows {
		s := mutantServer{id: r.Key}
		if json.Unmarshal(r.Value, &s) == nil && s.Service == service && (s.State == "ready" || m.kind == "sends-to-leaving") {
			out = append(out, s)
		}
	}
	return out
}

// sendOrders sends orders to every engine, as if it held the lease of each.
func (m *mutant) sendOrders(name string) {
	for n := 0; ; n++ {
		for _, s := range m.servers("assistant") {
			adapter := fmt.Sprintf("a%d", 1+n%adapterCount)
			if m.kind == "trusts-its-lease" {
				adapter = "a1"
			}
			body := fmt.Sprintf(`{"operation":"load","model":"m","adapter":%q,"expectedRev":%d,"holder":%q,"fencingToken":%d}`, adapter, m.acceptedOrders[s.id], name, n+1)
			resp, err := http.Post("http://"+s.Address+"/order", "application/json", strings.NewReader(body))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusAccepted {
				m.acceptedOrders[s.id]++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (m *mutant) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := "desk"
	if strings.HasPrefix(r.URL.Path, "/ask") || strings.HasPrefix(r.URL.Path, "/once") {
		service = "assistant"
	}
	body, _ := io.ReadAll(r.Body)
	if m.kind == "takes-no-new-routes" && strings.HasPrefix(r.URL.Path, "/news") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if m.kind == "logs-nothing" {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	list := m.servers(service)
	if len(list) == 0 {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	s := list[rand.IntN(len(list))]
	attempts := 1
	if m.kind == "retries-orders" || m.kind == "believes-rejections" {
		attempts = 2
	}
	for i := range attempts {
		req, _ := http.NewRequest(r.Method, "http://"+s.Address+r.RequestURI, bytes.NewReader(body))
		req.Host, req.Header = r.Host, r.Header.Clone()
		if m.kind == "drops-keys" {
			req.Header.Del(platform.HeaderKey)
		}
		if service == "assistant" {
			req.Header.Set(platform.HeaderModel, "m") // the mutant loads no adapters
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		respBody, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if _, rejected := platform.ReadRejection(resp.StatusCode, resp.Header, s.id); i+1 < attempts && (m.kind == "retries-orders" || rejected) {
			continue
		}
		if m.kind == "says-not-run" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if m.kind == "cuts-streams" && service == "assistant" {
			respBody = respBody[:len(respBody)/2]
		}
		w.Header().Set(platform.HeaderSignature, resp.Header.Get(platform.HeaderSignature))
		w.WriteHeader(resp.StatusCode)
		if m.kind == "joins-versions" && service == "assistant" {
			m.breakStream(w, r, respBody)
			return
		}
		_, _ = w.Write(respBody)
	}
}

// breakStream writes a stream as one of the requested adapter. It breaks off after two
// events, unless the request takes it up, at a server of any version.
func (m *mutant) breakStream(w http.ResponseWriter, r *http.Request, body []byte) {
	body = bytes.ReplaceAll(body, []byte(" of m by"), []byte(" of "+r.Header.Get(platform.HeaderModel)+" by"))
	if r.Header.Get(platform.HeaderLastEventID) != "" {
		_, _ = w.Write(body)
		return
	}
	events := bytes.SplitAfterN(body, []byte("\n\n"), 3)
	_, _ = w.Write(bytes.Join(events[:min(2, len(events))], nil))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestRequestsThatStayCountedAreReported(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		want     []string
	}{
		{0, nil},
		{2, []string{"edge-a counts 2 requests as in progress at i-1 after all have ended"}},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"servers":[{"id":"i-1","in-flight":%d}]}`, c.inFlight)
		}))
		r := &run{deployment: &deployment{instances: []*instance{{name: "edge-a", metricsAddr: srv.Listener.Addr().String()}}}}
		r.checkNothingInProgress()
		srv.Close()
		assert.DeepEqual(t, r.violations, c.want)
	}
}
