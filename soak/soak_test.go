package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
)

// mutantVariable makes this test program run as an instance with a planted fault.
const mutantVariable = "SOAK_MUTANT"

func TestMain(m *testing.M) {
	if kind := os.Getenv(mutantVariable); kind != "" {
		runMutant(kind)
		return
	}
	os.Exit(m.Run())
}

// A short run of the real program, with a fixed seed.
func TestRealProgramKeepsItsPromises(t *testing.T) {
	r, err := Run(context.Background(), Settings{Program: realProgram(t), Arguments: []string{"edge"}, Seed: 20261204, Duration: 8 * time.Second})
	assert.NilError(t, err)
	assert.Assert(t, len(r.Broken) == 0, "logs in %s: %s", r.Folder, strings.Join(r.Broken, "\n"))
	assert.Assert(t, r.Answered > r.Requests/2, "%+v", r)
}

// realProgram builds the program.
func realProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "chestnutstream")
	out, err := exec.Command("go", "build", "-o", program, "github.com/chestnutstream/chestnutstream/cmd/chestnutstream").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// A configuration and a version that come after the store's feeds were deaf are
// in force in time. The random runs meet this order of things rarely.
func TestDeafFeedsDelayNothing(t *testing.T) {
	s, r := calmRun(t, realProgram(t), "edge")
	time.Sleep(warmUp)
	stop := r.startClients(1)
	r.begins()
	r.deafen()
	time.Sleep(2 * beat) // ends the feeds that wait
	r.undeafen()
	r.ends()
	time.Sleep(contact)
	r.configure()
	r.declare("a0")
	time.Sleep(versionMax + 2*time.Second)
	stop()
	r.checkEnd()
	s.close()
	assert.Assert(t, len(r.broken) == 0, strings.Join(r.broken, "\n"))
	var due, beyond int
	for _, res := range r.results {
		if res.due == s.version {
			due++
		}
		if res.beyond == s.versions["a0"] {
			beyond++
		}
	}
	assert.Assert(t, due > 0 && beyond > 0, "%d requests after the configuration, %d after the version", due, beyond)
}

// Random runs are rarely calm for long enough to judge this.
func TestServersInNeedAreSpared(t *testing.T) {
	s, r := calmRun(t, realProgram(t), "edge")
	assert.NilError(t, s.addDesk())
	time.Sleep(warmUp)
	stop := r.startClients(1)
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for _, need := range []func(){
		func() { r.limits(s.backends[0]) },
		func() { r.limits(s.backends[engines]) },
		func() { r.pauses(s.backends[1]) },
		func() { r.pauses(s.backends[engines+1]) },
	} {
		wg.Add(1)
		go func() { defer wg.Done(); need() }()
	}
	wg.Wait()
	r.leaves()
	stop()
	r.checkEnd()
	s.close()
	assert.Assert(t, len(r.broken) == 0, strings.Join(r.broken, "\n"))
	served := 0
	for _, res := range r.results {
		if res.err == nil && res.status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served >= len(r.results)*9/10, "%d of %d requests served", served, len(r.results))
}

// The checks must find each planted fault.
func TestPlantedFaultsAreFound(t *testing.T) {
	tests := []struct{ mutant, want string }{
		{"retries-orders", " ran 2 times"},
		{"says-not-run", "said that it has not run, and it ran"},
		{"loads-without-asking", "more adapters than it has slots"},
		{"trusts-its-lease", "got orders of two holders within"},
		{"sends-to-leaving", "after it began to drain"},
		{"ignores-limits", " where it had named a limit: "},
		{"ignores-pauses", " while it wanted none: "},
		{"ignores-answers", " after it said that it leaves: "},
		{"cuts-streams", "not the whole answer"},
		{"logs-nothing", "no log line tells why"},
		{"keeps-old-routes", " served by configuration 2 over 2s after 4 was acknowledged"},
		{"takes-no-new-routes", " has no route of configuration 4 over 2s after it was acknowledged"},
	}
	for _, tt := range tests {
		t.Run(tt.mutant, func(t *testing.T) {
			t.Parallel()
			t.Logf("planted: %s", tt.mutant)
			program := mutantProgram(t, tt.mutant)
			s, r := calmRun(t, program)
			r.configure()
			stop := r.startClients(1)
			switch tt.mutant {
			case "sends-to-leaving":
				r.drainDesk()
			case "ignores-limits":
				r.limits(r.backends[engines])
			case "ignores-pauses":
				r.pauses(r.backends[engines])
			case "ignores-answers":
				r.leaves()
			}
			time.Sleep(3 * time.Second)
			stop()
			r.checkEnd()
			s.close()
			assert.Assert(t, strings.Contains(strings.Join(r.broken, "\n"), tt.want), "found %q", r.broken)
		})
	}
}

// calmRun starts a deployment without faults.
func calmRun(t *testing.T, program string, arguments ...string) (*site, *run) {
	s, err := newSite(Settings{Program: program, Arguments: arguments, Seed: 1, Folder: t.TempDir()}, rand.New(rand.NewPCG(1, 2)))
	assert.NilError(t, err)
	r := &run{site: s, rng: rand.New(rand.NewPCG(1, 1)), faults: map[string]int{}}
	time.Sleep(500 * time.Millisecond)
	return s, r
}

// mutantProgram is a script that runs this test program as a mutant.
func mutantProgram(t *testing.T, kind string) string {
	self, err := os.Executable()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "mutant")
	assert.NilError(t, os.WriteFile(path, []byte("#!/bin/sh\nexec env "+mutantVariable+"="+kind+" "+self+"\n"), 0o700))
	return path
}

// mutant is a simple instance with one fault. It reads its settings and the list
// of servers, and sends each request to any server of the service.
type mutant struct {
	kind  string
	store string
	mu    sync.Mutex
	count map[string]int // orders accepted, by server
}

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
	m := &mutant{kind: kind, store: cfg.Platform.Address, count: map[string]int{}}
	if kind == "trusts-its-lease" || kind == "loads-without-asking" {
		go m.orders(cfg.NodeName)
	}
	fmt.Println(http.ListenAndServe(cfg.Listen.Frontend, m))
}

type mutantServer struct {
	id      string
	Service string `json:"service"`
	Address string `json:"address"`
	State   string `json:"state"`
}

func (m *mutant) servers(service string) []mutantServer {
	resp, err := http.Get("http://" + m.store + "/rows-get?table=servers")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var a struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil
	}
	var out []mutantServer
	for _, r := range a.Rows {
		s := mutantServer{id: r.Key}
		if json.Unmarshal(r.Value, &s) == nil && s.Service == service && (s.State == "ready" || m.kind == "sends-to-leaving") {
			out = append(out, s)
		}
	}
	return out
}

// orders gives orders to every engine, as if it were the owner of all.
func (m *mutant) orders(name string) {
	for n := 0; ; n++ {
		for _, s := range m.servers("assistant") {
			adapter := fmt.Sprintf("a%d", n%adapters)
			if m.kind == "trusts-its-lease" {
				adapter = "a1"
			}
			body := fmt.Sprintf(`{"operation":"load","model":"m","adapter":%q,"expectedRev":%d,"holder":%q,"fencingToken":%d}`, adapter, m.count[s.id], name, n+1)
			resp, err := http.Post("http://"+s.Address+"/order", "application/json", strings.NewReader(body))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusAccepted {
				m.count[s.id]++
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
	sends := 1
	if m.kind == "retries-orders" {
		sends = 2
	}
	for i := range sends {
		req, _ := http.NewRequest(r.Method, "http://"+s.Address+r.RequestURI, bytes.NewReader(body))
		req.Host, req.Header = r.Host, r.Header.Clone()
		if service == "assistant" {
			req.Header.Set(platform.HeaderModel, "m") // none of its adapters is loaded
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if i+1 < sends {
			continue
		}
		if m.kind == "says-not-run" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if m.kind == "cuts-streams" && service == "assistant" {
			answer = answer[:len(answer)/2]
		}
		w.Header().Set(platform.HeaderSignature, resp.Header.Get(platform.HeaderSignature))
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(answer)
	}
}
