package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/standin"
)

var questionClass = Class{Name: "question", Urgency: 80, Timeout: 10 * time.Second, Tokens: 12}

// startSmallDeployment starts a deployment for tests of single failures.
func startSmallDeployment(t *testing.T) *Deployment {
	t.Helper()
	spec := Spec{
		Name: "small", Zones: 2, Entries: 4, Engines: 3, Services: 2, ServiceName: "desk", Adapters: 40, Teams: 2,
		LoadsPerSecond: 50, Step: 4 * time.Millisecond, SlotLimit: 4, BatchLimit: 8, Measures: chestnutstream.ObjectiveWeights{LoadStall: 1, BatchEfficiency: 1},
		Classes: []Class{questionClass, {Name: ClassOrder, Urgency: 90, Timeout: 5 * time.Second}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	d, err := StartDeployment(ctx, spec, Options{Seed: 1, Policy: entry.PolicyDefault, Log: discardLog()})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

// mustGenerate sends a streaming completion request to an instance and checks that
// the response has no wrong, repeated or missing token.
func (d *Deployment) mustGenerate(t *testing.T, entry int, model string, class Class) observation {
	t.Helper()
	s, err := newClient().generate(context.Background(), d.Entries[entry].address(), model, class, time.Now())
	assert.NilError(t, err)
	assert.Assert(t, !s.wrongAdapter && !s.doubled && !s.truncated && !s.lost, "%+v", s)
	return s
}

// sendOrder sends an order to an instance, with an idempotency key unless it is empty.
func (d *Deployment) sendOrder(t *testing.T, entry int, id, key string) observation {
	t.Helper()
	s, err := newClient().call(context.Background(), http.MethodPost, d.Entries[entry].address(), "/services/desk/orders/"+id,
		Class{Name: ClassOrder, Timeout: 5 * time.Second}, key, time.Now())
	assert.NilError(t, err)
	return s
}

// orderRuns returns how often the services executed an order.
func (d *Deployment) orderRuns(id string) int {
	n := 0
	for _, s := range d.Services {
		n += s.Service.Counts().Runs[id]
	}
	return n
}

func (d *Deployment) unloadedInUse() int {
	n := 0
	for _, s := range d.Engines {
		n += s.Engine.Counts().UnloadedInUse
	}
	return n
}

func waitFor(t *testing.T, timeout time.Duration, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out after %v waiting for: %s", timeout, condition)
}

// An engine that generates with the weights of another adapter must not have its
// response relayed, and its load is quarantined and replaced.
func TestResponseOfWrongAdapterIsNotRelayed(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	for _, s := range d.Engines {
		s.Engine.SetFaults(standin.EngineFaults{WrongModel: true})
	}
	s := d.mustGenerate(t, 0, "round-0001@v1", questionClass)
	assert.Assert(t, !s.complete, "a response of another adapter was relayed")
	for _, s := range d.Engines {
		s.Engine.SetFaults(standin.EngineFaults{})
	}
	waitFor(t, 10*time.Second, "replacement of the quarantined loads", func() bool {
		return d.mustGenerate(t, 1, "round-0001@v1", questionClass).complete
	})
}

// Every second stream is aborted by the engine after two tokens. The instance must
// resume it, so that callers receive each token exactly once.
func TestBrokenStreamsAreResumed(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	for _, s := range d.Engines {
		s.Engine.SetFaults(standin.EngineFaults{BreakEvery: 2})
	}
	for i := range 12 {
		s := d.mustGenerate(t, i%4, "round-0002@v1", questionClass)
		assert.Assert(t, s.complete && s.outcome == "ran", "%+v", s)
	}
}

// The connections to all engines become unresponsive in the middle of streams. The
// instances must detect it and complete the streams on new connections.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	long := Class{Name: "question", Timeout: 20 * time.Second, Tokens: 400}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := d.mustGenerate(t, i, "round-0003@v1", long)
			assert.Check(t, s.complete && s.outcome == "ran", "%+v", s)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	for _, s := range d.Engines {
		s.Listener.SilenceConnections()
	}
	wg.Wait()
}

// All engines restart and lose their streams. The caller of a stream must receive
// outcome unknown, and a later request must load the adapter again.
func TestEngineRestartDuringStream(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	long := Class{Name: "question", Timeout: 20 * time.Second, Tokens: 300}
	done := make(chan observation)
	go func() { done <- d.mustGenerate(t, 0, "round-0004@v1", long) }()
	time.Sleep(700 * time.Millisecond)
	for _, s := range d.Engines {
		s.Engine.Restart()
	}
	s := <-done
	assert.Assert(t, !s.complete && s.outcome == "unknown", "a stream aborted by a restart must end with outcome unknown: %+v", s)
	after := d.mustGenerate(t, 1, "round-0004@v1", questionClass)
	assert.Assert(t, after.complete, "%+v", after)
}

// The current version of an adapter changes under load. Each response must come from
// the version that the instance reports, and no adapter in use may be unloaded.
func TestVersionChangeUnderLoad(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	put := func(version string) uint64 {
		body := strings.ReplaceAll(string(d.Sections()["adapters/team-0"]), "current: v1", "current: "+version)
		head, err := d.Store.Head(context.Background())
		assert.NilError(t, err)
		c, err := d.Store.Put(context.Background(), OperatorTeam, "adapters/team-0", head.Sections["adapters/team-0"].Revision, "to-"+version, []byte(body))
		assert.NilError(t, err)
		return c.Revision
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
					body, adapter := d.generateChat(t, i, "round-0000")
					assert.Check(t, strings.Contains(body, adapter+"#0"), "response of adapter %s: %s", adapter, body)
				}
			}
		}()
	}
	time.Sleep(time.Second)
	revision := put("v2")
	waitFor(t, 9*time.Second, "the revision in force on every instance", func() bool {
		for _, e := range d.Entries {
			if e.Instance.Revision() < revision {
				return false
			}
		}
		return true
	})
	_, adapter := d.generateChat(t, 2, "round-0000")
	assert.Equal(t, adapter, "round-0000@v2")
	close(stop)
	wg.Wait()
	assert.Equal(t, d.unloadedInUse(), 0)
}

// generateChat sends a chat completion request without streaming and returns the
// response body and the adapter version that the instance resolved.
func (d *Deployment) generateChat(t *testing.T, entry int, model string) (body, adapter string) {
	t.Helper()
	resp, err := newClient().send(context.Background(), http.MethodPost, d.Entries[entry].address(), "/v1/chat/completions", questionClass, nil,
		fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":2}`, model))
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(b))
	return string(b), resp.Header.Get("Chestnutstream-Adapter")
}

// Orders are retried at other instances while responses of services and of the store
// are lost. An order must be executed at most once, and reported outcomes must be true.
func TestOrderRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	t.Run("retry at another instance returns the recorded response", func(t *testing.T) {
		assert.Equal(t, d.sendOrder(t, 0, "o1", "k1").outcome, "ran")
		waitFor(t, 2*time.Second, "the recorded response", func() bool { return d.sendOrder(t, 1, "o1", "k1").outcome == "ran" })
		assert.Equal(t, d.orderRuns("o1"), 1)
	})
	t.Run("idempotency key reused for another order", func(t *testing.T) {
		s := d.sendOrder(t, 1, "o1-other", "k1")
		assert.Equal(t, s.code, "idempotency-key-reused")
		assert.Equal(t, d.orderRuns("o1-other"), 0)
	})
	t.Run("connection lost after execution", func(t *testing.T) {
		d.setServiceFaults(standin.ServiceFaults{DropAfterRun: true})
		defer d.setServiceFaults(standin.ServiceFaults{})
		assert.Equal(t, d.sendOrder(t, 0, "o2", "k2").outcome, "unknown")
		assert.Equal(t, d.sendOrder(t, 1, "o2", "k2").outcome, "unknown")
		assert.Equal(t, d.sendOrder(t, 2, "o3", "").outcome, "unknown")
		assert.Equal(t, d.orderRuns("o2"), 1)
		assert.Equal(t, d.orderRuns("o3"), 1)
	})
	t.Run("refused by the server, retry allowed", func(t *testing.T) {
		d.setServiceFaults(standin.ServiceFaults{Refuse: true})
		assert.Equal(t, d.sendOrder(t, 0, "o4", "k4").outcome, "not-run")
		d.setServiceFaults(standin.ServiceFaults{})
		waitFor(t, 3*time.Second, "execution of the order after its refusal", func() bool { return d.sendOrder(t, 1, "o4", "k4").outcome == "ran" })
		assert.Equal(t, d.orderRuns("o4"), 1)
	})
	t.Run("store down", func(t *testing.T) {
		d.Platform.SetFaults(standin.PlatformFaults{StoreDown: true})
		defer d.Platform.SetFaults(standin.PlatformFaults{})
		start := time.Now()
		s := d.sendOrder(t, 0, "o5", "k5")
		assert.Equal(t, s.outcome, "not-run")
		assert.Assert(t, time.Since(start) < 4*time.Second)
		assert.Equal(t, d.orderRuns("o5"), 0)
		assert.Equal(t, d.sendOrder(t, 0, "o6", "").outcome, "ran", "an order without a key needs no claim")
	})
	t.Run("responses of the store lost", func(t *testing.T) {
		d.Platform.SetFaults(standin.PlatformFaults{LostResponses: 0.5})
		defer d.Platform.SetFaults(standin.PlatformFaults{})
		for i := range 10 {
			id := fmt.Sprintf("lost-%d", i)
			for j := range 3 {
				d.sendOrder(t, j, id, id)
			}
			assert.Equal(t, d.orderRuns(id), 1)
		}
	})
}

func (d *Deployment) setServiceFaults(f standin.ServiceFaults) {
	for _, s := range d.Services {
		s.Service.SetFaults(f)
	}
}

// An instance drains while a stream runs. The stream must complete, new requests are
// refused as not run, and its servers must get new owners.
func TestDrainCompletesRunningStreams(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	done := make(chan observation)
	go func() {
		done <- d.mustGenerate(t, 1, "round-0005@v1", Class{Name: "question", Timeout: 20 * time.Second, Tokens: 500})
	}()
	time.Sleep(700 * time.Millisecond)
	drained := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	go func() { drained <- d.Entries[1].Instance.Drain(ctx) }()
	time.Sleep(100 * time.Millisecond)
	s, err := newClient().generate(ctx, d.Entries[1].address(), "round-0005@v1", questionClass, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, s.code, "leaving")
	assert.Equal(t, s.outcome, "not-run")
	s = <-done
	assert.Assert(t, s.complete && s.outcome == "ran", "%+v", s)
	assert.NilError(t, <-drained)
	assert.Assert(t, d.mustGenerate(t, 0, "round-0006@v1", questionClass).complete, "the servers of the drained instance must have new owners")
	assert.Equal(t, d.unloadedInUse(), 0)
}

// An engine and a service announce that they are leaving. They must receive no new
// requests after the grace period.
func TestLeavingServersGetNoNewRequests(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	for i := range 3 {
		d.mustGenerate(t, 0, adapterName(i)+"@v1", questionClass)
	}
	d.Engines[0].Engine.SetFaults(standin.EngineFaults{Leaving: true})
	d.Services[0].Service.SetFaults(standin.ServiceFaults{Leaving: true})
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, d.mustGenerate(t, 1, "round-0001@v1", questionClass).complete)
		assert.Equal(t, d.sendOrder(t, 2, fmt.Sprint(time.Now().UnixNano()), "").outcome, "ran")
	}
	assert.Equal(t, d.Engines[0].Engine.Counts().AfterLeaving, 0)
	assert.Equal(t, d.Services[0].Service.Counts().AfterLeaving, 0)
}

// The store is unavailable for longer than leases and report leases last. Loaded
// adapters must stay in service, on engines that check fencing tokens and on one
// that does not. An instance that starts during the outage must become ready with
// the configuration of its peers.
func TestLoadedAdaptersServeDuringStoreOutage(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	var models []string
	for i := range 6 {
		model := adapterName(i) + "@v1"
		models = append(models, model)
		assert.Assert(t, d.mustGenerate(t, i%4, model, questionClass).complete)
	}
	d.Platform.SetFaults(standin.PlatformFaults{StoreDown: true})
	revision := d.Entries[0].Instance.Revision()
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, model := range models {
			s := d.mustGenerate(t, i%4, model, questionClass)
			assert.Assert(t, s.complete, "%s: %+v", model, s)
		}
	}
	d.Entries[3].Instance.Close()
	assert.NilError(t, d.Restart(d.Entries[3]))
	waitFor(t, 9*time.Second, "readiness of an instance that starts during the store outage", d.Entries[3].Instance.Ready)
	assert.Equal(t, d.Entries[3].Instance.Revision(), revision)
	d.Platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, d.unloadedInUse(), 0)
}

// A zone is partitioned from the others and from the platform. It must serve the
// adapters that are loaded in it, the other zones must not be affected, and after the
// partition the zone must receive the configuration change that it missed.
func TestPartitionedZoneServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	// The only engine in zone-b is assistant-2; adapters loaded there stay in service.
	var modelInB string
	waitFor(t, 20*time.Second, "an adapter loaded in zone-b", func() bool {
		for i := range 12 {
			d.mustGenerate(t, 1, adapterName(i)+"@v1", questionClass)
			if d.Engines[1].Engine.Counts().Loads > 0 {
				modelInB = adapterName(i) + "@v1"
				return true
			}
		}
		return false
	})
	d.Network.Cut("zone-b", true)
	d.Platform.SetFaults(standin.PlatformFaults{CutZones: "zone-b"})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s := d.mustGenerate(t, 1, modelInB, questionClass)
		assert.Assert(t, s.complete, "in the partitioned zone: %+v", s)
		assert.Assert(t, d.mustGenerate(t, 0, "round-0013@v1", questionClass).complete, "outside the partitioned zone")
	}
	head, err := d.Store.Head(context.Background())
	assert.NilError(t, err)
	change, err := d.Store.Put(context.Background(), OperatorTeam, "measures", head.Sections["measures"].Revision, "while-cut", []byte("load-stalls: 2\nbatch-efficiency: 1\n"))
	assert.NilError(t, err)
	d.Network.Cut("zone-b", false)
	d.Platform.SetFaults(standin.PlatformFaults{})
	waitFor(t, 9*time.Second, "the missed revision on the instances of zone-b", func() bool {
		return d.Entries[1].Instance.Revision() >= change.Revision && d.Entries[3].Instance.Revision() >= change.Revision
	})
	assert.Equal(t, d.unloadedInUse(), 0)
}

// Concurrent changes start from one revision while responses of the store are lost.
// Exactly one must succeed, and the others must get a conflict.
func TestConcurrentPutsConflict(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	head, err := d.Store.Head(context.Background())
	assert.NilError(t, err)
	base := head.Sections["measures"].Revision
	d.Platform.SetFaults(standin.PlatformFaults{LostResponses: 0.5})
	var mu sync.Mutex
	succeeded, conflicts := 0, 0
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := d.Store.Put(context.Background(), OperatorTeam, "measures", base, fmt.Sprintf("race-%d", i), fmt.Appendf(nil, "load-stalls: %d\nbatch-efficiency: 1\n", i+1))
			mu.Lock()
			defer mu.Unlock()
			var conflict *operator.ConflictError
			switch {
			case err == nil:
				succeeded++
			case errors.As(err, &conflict):
				conflicts++
				assert.Check(t, conflict.Base == base && conflict.Current > base && conflict.Section == "measures", "%+v", conflict)
			default:
				assert.Check(t, err)
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, succeeded, 1)
	assert.Equal(t, conflicts, 5)
}

// Malformed, unauthorized and oversized requests must be rejected with their status
// and error code, and with outcome not-run.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	address := d.Entries[0].address()
	validCredential := "Bearer " + caller.Credential(CallerSecret, CallerName)
	tests := []struct {
		name   string
		method string
		path   string
		header map[string]string
		body   string
		status int
		code   string
	}{
		{"malformed JSON", "POST", "/v1/completions", nil, `{"model":`, 400, "bad-body"},
		{"body is not an object", "POST", "/v1/completions", nil, `null`, 400, "bad-body"},
		{"no model", "POST", "/v1/completions", nil, `{"prompt":"x"}`, 400, "bad-body"},
		{"unknown adapter", "POST", "/v1/completions", nil, `{"model":"nobody"}`, 404, "unknown-adapter"},
		{"unknown version", "POST", "/v1/completions", nil, `{"model":"round-0001@v9"}`, 404, "unknown-version"},
		{"path traversal in model name", "POST", "/v1/completions", nil, `{"model":"round-0001@v1:../../x"}`, 404, "unknown-adapter"},
		{"adapter not allowed for caller", "POST", "/v1/completions", map[string]string{"Authorization": "Bearer " + caller.Credential(CallerSecret, "stranger")}, `{"model":"round-0001"}`, 403, "not-allowed"},
		{"service not allowed for caller", "POST", "/services/desk/orders/1", map[string]string{"Authorization": "Bearer " + caller.Credential(CallerSecret, "stranger")}, ``, 403, "not-allowed"},
		{"no credential", "POST", "/v1/completions", map[string]string{"Authorization": ""}, `{"model":"round-0001"}`, 401, "not-authenticated"},
		{"forged credential", "POST", "/v1/completions", map[string]string{"Authorization": "Bearer " + CallerName + ":00"}, `{"model":"round-0001"}`, 401, "not-authenticated"},
		{"oversized body", "POST", "/v1/completions", nil, `{"model":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "body-too-large"},
		{"unknown class", "POST", "/v1/completions", map[string]string{"Request-Class": "vip"}, `{"model":"round-0001"}`, 400, "unknown-class"},
		{"bad timeout", "POST", "/v1/completions", map[string]string{"Request-Timeout-Ms": "-5"}, `{"model":"round-0001"}`, 400, "bad-timeout"},
		{"invalid request id", "POST", "/v1/completions", map[string]string{"Request-Id": "a b\tc"}, `{"model":"round-0001"}`, 400, "bad-request-id"},
		{"invalid idempotency key", "POST", "/services/desk/orders/1", map[string]string{"Idempotency-Key": "a b"}, ``, 400, "bad-idempotency-key"},
		{"unknown service", "GET", "/services/nobody/x", nil, ``, 404, "unknown-service"},
		{"unknown path", "GET", "/v2/x", nil, ``, 404, "no-such-path"},
		{"operator path without credential", "GET", "/dump", nil, ``, 401, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(tt.method, "http://"+address+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			req.Header.Set("Authorization", validCredential)
			for k, v := range tt.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status, string(b))
			var e struct {
				Error struct{ Code, Message, Outcome string }
			}
			if tt.code == "" {
				return
			}
			assert.NilError(t, json.Unmarshal(b, &e), string(b))
			assert.Equal(t, e.Error.Code, tt.code)
			assert.Equal(t, e.Error.Outcome, "not-run")
			assert.Assert(t, e.Error.Message != "")
		})
	}
	t.Run("non-idempotent path with the prefix of an idempotent one", func(t *testing.T) {
		before := d.orderRuns("x1")
		s, err := newClient().call(context.Background(), http.MethodPost, address, "/services/desk/stock/../orders/x1", Class{Name: ClassOrder, Timeout: time.Second}, "", time.Now())
		assert.NilError(t, err)
		assert.Equal(t, s.outcome, "ran")
		assert.Equal(t, d.orderRuns("x1"), before+1)
	})
}

// Malformed and unauthenticated requests on the peer port must be rejected and must
// not affect the instance.
func TestMalformedPeerRequestsAreRejected(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	address := d.Entries[0].Instance.PeerAddress
	for _, request := range []string{"\x00\xff\x13garbage\r\n\r\n", "GET /peer HTTP/1.1\r\nHost: x\r\n\r\n", "GET /peer HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nAuthorization: Peer entry-b1:1:00\r\n\r\n"} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = conn.Write([]byte(request))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		b, _ := io.ReadAll(conn)
		assert.Assert(t, bytes.HasPrefix(b, []byte("HTTP/1.1 400")) || bytes.HasPrefix(b, []byte("HTTP/1.1 401")), "%q", b)
		assert.NilError(t, conn.Close())
	}
	assert.Assert(t, d.mustGenerate(t, 0, "round-0001@v1", questionClass).complete)
}
