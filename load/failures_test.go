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

var question = Class{Name: "question", Urgency: 80, Timeout: 10 * time.Second, Tokens: 12}

// small is a deployment for focused failure tests.
func small(t *testing.T) *Deployment {
	t.Helper()
	spec := Spec{
		Name: "small", Zones: 2, Entries: 4, Engines: 3, Services: 2, ServiceName: "desk", Adapters: 40, Teams: 2,
		LoadsPerSecond: 50, Step: 4 * time.Millisecond, SlotLimit: 4, BatchLimit: 8, Measures: chestnutstream.Measures{LoadStall: 1, BatchEfficiency: 1},
		Classes: []Class{question, {Name: ClassOrder, Urgency: 90, Timeout: 5 * time.Second}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	d, err := StartDeployment(ctx, spec, Options{Seed: 1, Policy: entry.PolicyDefault, Log: quiet()})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	return d
}

// ask sends a streamed generation to an instance and checks its answer.
func (d *Deployment) ask(t *testing.T, entry int, model string, class Class) seen {
	t.Helper()
	s, err := newClient().generate(context.Background(), d.Entries[entry].address(), model, class, time.Now())
	assert.NilError(t, err)
	assert.Assert(t, !s.wrong && !s.doubled && !s.truncated && !s.lost, "%+v", s)
	return s
}

func (d *Deployment) order(t *testing.T, entry int, id, key string) seen {
	t.Helper()
	s, err := newClient().call(context.Background(), http.MethodPost, d.Entries[entry].address(), "/services/desk/orders/"+id,
		Class{Name: ClassOrder, Timeout: 5 * time.Second}, key, time.Now())
	assert.NilError(t, err)
	return s
}

func (d *Deployment) runs(id string) int {
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

func eventually(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

func TestAnswerOfAnotherAdapterIsNeverRelayed(t *testing.T) {
	t.Parallel()
	d := small(t)
	for _, s := range d.Engines {
		s.Engine.SetFaults(standin.EngineFaults{WrongModel: true})
	}
	s := d.ask(t, 0, "round-0001@v1", question)
	assert.Assert(t, !s.whole, "an answer of a neighbour was passed on")
	for _, s := range d.Engines {
		s.Engine.SetFaults(standin.EngineFaults{})
	}
	eventually(t, 10*time.Second, "the quarantined loads are replaced", func() bool {
		return d.ask(t, 1, "round-0001@v1", question).whole
	})
}

func TestBrokenStreamsArriveWholeAndOnce(t *testing.T) {
	t.Parallel()
	d := small(t)
	for _, s := range d.Engines {
		s.Engine.SetFaults(standin.EngineFaults{BreakEvery: 2})
	}
	for i := range 12 {
		s := d.ask(t, i%4, "round-0002@v1", question)
		assert.Assert(t, s.whole && s.outcome == "ran", "%+v", s)
	}
}

func TestSilentConnectionsAreLeft(t *testing.T) {
	t.Parallel()
	d := small(t)
	long := Class{Name: "question", Timeout: 20 * time.Second, Tokens: 400}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := d.ask(t, i, "round-0003@v1", long)
			assert.Check(t, s.whole && s.outcome == "ran", "%+v", s)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	for _, s := range d.Engines {
		s.Listener.SilenceConnections()
	}
	wg.Wait()
}

func TestEngineRestartIsToldOrHealed(t *testing.T) {
	t.Parallel()
	d := small(t)
	long := Class{Name: "question", Timeout: 20 * time.Second, Tokens: 300}
	done := make(chan seen)
	go func() { done <- d.ask(t, 0, "round-0004@v1", long) }()
	time.Sleep(700 * time.Millisecond)
	for _, s := range d.Engines {
		s.Engine.Restart()
	}
	s := <-done
	assert.Assert(t, !s.whole && s.outcome == "unknown", "a stream that broke in the middle says so: %+v", s)
	after := d.ask(t, 1, "round-0004@v1", question)
	assert.Assert(t, after.whole, "%+v", after)
}

func TestVersionChangeInMidTraffic(t *testing.T) {
	t.Parallel()
	d := small(t)
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
					body, adapter := d.whole(t, i, "round-0000")
					assert.Check(t, strings.Contains(body, adapter+"#0"), "adapter %s made %s", adapter, body)
				}
			}
		}()
	}
	time.Sleep(time.Second)
	revision := put("v2")
	eventually(t, 9*time.Second, "in force everywhere", func() bool {
		for _, e := range d.Entries {
			if e.Instance.Revision() < revision {
				return false
			}
		}
		return true
	})
	_, adapter := d.whole(t, 2, "round-0000")
	assert.Equal(t, adapter, "round-0000@v2")
	close(stop)
	wg.Wait()
	assert.Equal(t, d.unloadedInUse(), 0)
}

// whole asks for an answer that is not streamed and returns it with the adapter
// that the instance says it resolved.
func (d *Deployment) whole(t *testing.T, entry int, model string) (body, adapter string) {
	t.Helper()
	resp, err := newClient().send(context.Background(), http.MethodPost, d.Entries[entry].address(), "/v1/chat/completions", question, nil,
		fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":2}`, model))
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, string(b))
	return string(b), resp.Header.Get("Chestnutstream-Adapter")
}

func TestOrderRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	d := small(t)
	t.Run("repeated at another instance it is answered, not run", func(t *testing.T) {
		assert.Equal(t, d.order(t, 0, "o1", "k1").outcome, "ran")
		eventually(t, 2*time.Second, "the recorded answer", func() bool { return d.order(t, 1, "o1", "k1").outcome == "ran" })
		assert.Equal(t, d.runs("o1"), 1)
	})
	t.Run("key reused for another order", func(t *testing.T) {
		s := d.order(t, 1, "o1-other", "k1")
		assert.Equal(t, s.code, "idempotency-key-reused")
		assert.Equal(t, d.runs("o1-other"), 0)
	})
	t.Run("connection lost after it ran", func(t *testing.T) {
		d.setServices(standin.ServiceFaults{DropAfterRun: true})
		defer d.setServices(standin.ServiceFaults{})
		assert.Equal(t, d.order(t, 0, "o2", "k2").outcome, "unknown")
		assert.Equal(t, d.order(t, 1, "o2", "k2").outcome, "unknown")
		assert.Equal(t, d.order(t, 2, "o3", "").outcome, "unknown")
		assert.Equal(t, d.runs("o2"), 1)
		assert.Equal(t, d.runs("o3"), 1)
	})
	t.Run("refused by the server it may be asked again", func(t *testing.T) {
		d.setServices(standin.ServiceFaults{Refuse: true})
		assert.Equal(t, d.order(t, 0, "o4", "k4").outcome, "not-run")
		d.setServices(standin.ServiceFaults{})
		eventually(t, 3*time.Second, "the order after its refusal", func() bool { return d.order(t, 1, "o4", "k4").outcome == "ran" })
		assert.Equal(t, d.runs("o4"), 1)
	})
	t.Run("store down", func(t *testing.T) {
		d.Platform.SetFaults(standin.PlatformFaults{StoreDown: true})
		defer d.Platform.SetFaults(standin.PlatformFaults{})
		began := time.Now()
		s := d.order(t, 0, "o5", "k5")
		assert.Equal(t, s.outcome, "not-run")
		assert.Assert(t, time.Since(began) < 4*time.Second)
		assert.Equal(t, d.runs("o5"), 0)
		assert.Equal(t, d.order(t, 0, "o6", "").outcome, "ran", "an order without a key needs no claim")
	})
	t.Run("answers of the store lost", func(t *testing.T) {
		d.Platform.SetFaults(standin.PlatformFaults{LostResponses: 0.5})
		defer d.Platform.SetFaults(standin.PlatformFaults{})
		for i := range 10 {
			id := fmt.Sprintf("lost-%d", i)
			for j := range 3 {
				d.order(t, j, id, id)
			}
			assert.Equal(t, d.runs(id), 1)
		}
	})
}

func (d *Deployment) setServices(f standin.ServiceFaults) {
	for _, s := range d.Services {
		s.Service.SetFaults(f)
	}
}

func TestDrainCutsNothingOff(t *testing.T) {
	t.Parallel()
	d := small(t)
	done := make(chan seen)
	go func() {
		done <- d.ask(t, 1, "round-0005@v1", Class{Name: "question", Timeout: 20 * time.Second, Tokens: 500})
	}()
	time.Sleep(700 * time.Millisecond)
	drained := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	go func() { drained <- d.Entries[1].Instance.Drain(ctx) }()
	time.Sleep(100 * time.Millisecond)
	s, err := newClient().generate(ctx, d.Entries[1].address(), "round-0005@v1", question, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, s.code, "leaving")
	assert.Equal(t, s.outcome, "not-run")
	s = <-done
	assert.Assert(t, s.whole && s.outcome == "ran", "%+v", s)
	assert.NilError(t, <-drained)
	assert.Assert(t, d.ask(t, 0, "round-0006@v1", question).whole, "its servers have new owners")
	assert.Equal(t, d.unloadedInUse(), 0)
}

func TestLeavingServersGetNoNewWork(t *testing.T) {
	t.Parallel()
	d := small(t)
	for i := range 3 {
		d.ask(t, 0, adapterName(i)+"@v1", question)
	}
	d.Engines[0].Engine.SetFaults(standin.EngineFaults{Leaving: true})
	d.Services[0].Service.SetFaults(standin.ServiceFaults{Leaving: true})
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, d.ask(t, 1, "round-0001@v1", question).whole)
		assert.Equal(t, d.order(t, 2, fmt.Sprint(time.Now().UnixNano()), "").outcome, "ran")
	}
	assert.Equal(t, d.Engines[0].Engine.Counts().AfterLeaving, 0)
	assert.Equal(t, d.Services[0].Service.Counts().AfterLeaving, 0)
}

// The store is down for longer than leases and promises last: what is loaded
// goes on, on engines that check fencing numbers and on one that does not; so
// does an instance that starts meanwhile, with the configuration of its peers.
func TestStoreDownWhatIsLoadedGoesOn(t *testing.T) {
	t.Parallel()
	d := small(t)
	var models []string
	for i := range 6 {
		model := adapterName(i) + "@v1"
		models = append(models, model)
		assert.Assert(t, d.ask(t, i%4, model, question).whole)
	}
	d.Platform.SetFaults(standin.PlatformFaults{StoreDown: true})
	revision := d.Entries[0].Instance.Revision()
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, model := range models {
			s := d.ask(t, i%4, model, question)
			assert.Assert(t, s.whole, "%s: %+v", model, s)
		}
	}
	d.Entries[3].Instance.Close()
	assert.NilError(t, d.Restart(d.Entries[3]))
	eventually(t, 9*time.Second, "an instance that starts while the store is down", d.Entries[3].Instance.Ready)
	assert.Equal(t, d.Entries[3].Instance.Revision(), revision)
	d.Platform.SetFaults(standin.PlatformFaults{})
	assert.Equal(t, d.unloadedInUse(), 0)
}

func TestZoneCutOffServesWhatItCanAndCatchesUp(t *testing.T) {
	t.Parallel()
	d := small(t)
	// zone-b has the engine assistant-2; an adapter that is loaded there goes on.
	var inB string
	eventually(t, 20*time.Second, "an adapter loaded in zone-b", func() bool {
		for i := range 12 {
			d.ask(t, 1, adapterName(i)+"@v1", question)
			if d.Engines[1].Engine.Counts().Loads > 0 {
				inB = adapterName(i) + "@v1"
				return true
			}
		}
		return false
	})
	d.Network.Cut("zone-b", true)
	d.Platform.SetFaults(standin.PlatformFaults{CutZones: "zone-b"})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s := d.ask(t, 1, inB, question)
		assert.Assert(t, s.whole, "in the cut zone: %+v", s)
		assert.Assert(t, d.ask(t, 0, "round-0013@v1", question).whole, "outside it")
	}
	head, err := d.Store.Head(context.Background())
	assert.NilError(t, err)
	change, err := d.Store.Put(context.Background(), OperatorTeam, "measures", head.Sections["measures"].Revision, "while-cut", []byte("load-stalls: 2\nbatch-efficiency: 1\n"))
	assert.NilError(t, err)
	d.Network.Cut("zone-b", false)
	d.Platform.SetFaults(standin.PlatformFaults{})
	eventually(t, 9*time.Second, "the zone catches up", func() bool {
		return d.Entries[1].Instance.Revision() >= change.Revision && d.Entries[3].Instance.Revision() >= change.Revision
	})
	assert.Equal(t, d.unloadedInUse(), 0)
}

func TestRacingPutsGiveTheLoserAConflict(t *testing.T) {
	t.Parallel()
	d := small(t)
	head, err := d.Store.Head(context.Background())
	assert.NilError(t, err)
	base := head.Sections["measures"].Revision
	d.Platform.SetFaults(standin.PlatformFaults{LostResponses: 0.5})
	var mu sync.Mutex
	won, lost := 0, 0
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
				won++
			case errors.As(err, &conflict):
				lost++
				assert.Check(t, conflict.Base == base && conflict.Current > base && conflict.Section == "measures", "%+v", conflict)
			default:
				assert.Check(t, err)
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, won, 1)
	assert.Equal(t, lost, 5)
}

func TestBadInputIsRefusedClearly(t *testing.T) {
	t.Parallel()
	d := small(t)
	address := d.Entries[0].address()
	good := "Bearer " + caller.Credential(CallerSecret, CallerName)
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
		{"no object", "POST", "/v1/completions", nil, `null`, 400, "bad-body"},
		{"no model", "POST", "/v1/completions", nil, `{"prompt":"x"}`, 400, "bad-body"},
		{"unknown adapter", "POST", "/v1/completions", nil, `{"model":"nobody"}`, 404, "unknown-adapter"},
		{"unknown version", "POST", "/v1/completions", nil, `{"model":"round-0001@v9"}`, 404, "unknown-version"},
		{"hostile model name", "POST", "/v1/completions", nil, `{"model":"round-0001@v1:../../x"}`, 404, "unknown-adapter"},
		{"adapter that the caller may not use", "POST", "/v1/completions", map[string]string{"Authorization": "Bearer " + caller.Credential(CallerSecret, "stranger")}, `{"model":"round-0001"}`, 403, "not-allowed"},
		{"service that the caller may not use", "POST", "/services/desk/orders/1", map[string]string{"Authorization": "Bearer " + caller.Credential(CallerSecret, "stranger")}, ``, 403, "not-allowed"},
		{"no credential", "POST", "/v1/completions", map[string]string{"Authorization": ""}, `{"model":"round-0001"}`, 401, "not-authenticated"},
		{"forged credential", "POST", "/v1/completions", map[string]string{"Authorization": "Bearer " + CallerName + ":00"}, `{"model":"round-0001"}`, 401, "not-authenticated"},
		{"oversized body", "POST", "/v1/completions", nil, `{"model":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "body-too-large"},
		{"unknown class", "POST", "/v1/completions", map[string]string{"Request-Class": "vip"}, `{"model":"round-0001"}`, 400, "unknown-class"},
		{"bad timeout", "POST", "/v1/completions", map[string]string{"Request-Timeout-Ms": "-5"}, `{"model":"round-0001"}`, 400, "bad-timeout"},
		{"hostile request id", "POST", "/v1/completions", map[string]string{"Request-Id": "a b\tc"}, `{"model":"round-0001"}`, 400, "bad-request-id"},
		{"hostile key", "POST", "/services/desk/orders/1", map[string]string{"Idempotency-Key": "a b"}, ``, 400, "bad-idempotency-key"},
		{"unknown service", "GET", "/services/nobody/x", nil, ``, 404, "unknown-service"},
		{"unknown path", "GET", "/v2/x", nil, ``, 404, "no-such-path"},
		{"operators' path without credential", "GET", "/dump", nil, ``, 401, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequest(tt.method, "http://"+address+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			req.Header.Set("Authorization", good)
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
	t.Run("a path that looks idempotent and is not", func(t *testing.T) {
		before := d.runs("x1")
		s, err := newClient().call(context.Background(), http.MethodPost, address, "/services/desk/stock/../orders/x1", Class{Name: ClassOrder, Timeout: time.Second}, "", time.Now())
		assert.NilError(t, err)
		assert.Equal(t, s.outcome, "ran")
		assert.Equal(t, d.runs("x1"), before+1)
	})
}

func TestGarbageOnThePeerPort(t *testing.T) {
	t.Parallel()
	d := small(t)
	address := d.Entries[0].Instance.PeerAddress
	for _, garbage := range []string{"\x00\xff\x13garbage\r\n\r\n", "GET /peer HTTP/1.1\r\nHost: x\r\n\r\n", "GET /peer HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nAuthorization: Peer entry-b1:1:00\r\n\r\n"} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = conn.Write([]byte(garbage))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
		b, _ := io.ReadAll(conn)
		assert.Assert(t, bytes.HasPrefix(b, []byte("HTTP/1.1 400")) || bytes.HasPrefix(b, []byte("HTTP/1.1 401")), "%q", b)
		assert.NilError(t, conn.Close())
	}
	assert.Assert(t, d.ask(t, 0, "round-0001@v1", question).whole)
}
