package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

func TestAdaptersAreLoadedEvictedAndServed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 3)
	a, b := s.instance("edge-a"), s.instance("edge-b")
	s.owned(2, a, b)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			in := a
			if i%2 == 1 {
				in = b
			}
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			target := fmt.Sprintf("m/a%d", i%11)
			status, body, err := ask(in, "POST", "/ask/1", target)
			assert.Check(t, err == nil && status == 200 && body == whole(target), "%d %v %q", status, err, body)
		}()
	}
	wg.Wait()
	s.judge()
}

func TestPlainRequestsAndRoutes(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	eventually(t, "ready", in.Node().Ready)
	status, body, err := ask(in, "POST", "/order/7?x=1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.HasPrefix(body, "POST /order/7?x=1 by i-desk-"), body)
	status, _, err = ask(in, "GET", "/new/1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 404)
	s.configure(`{"name":"new","host":"h.example","prefix":"/new/","type":"idempotent","maxAttempts":1,"timeoutMs":2000,"service":"desk"}`)
	eventually(t, "the new route is in force", func() bool {
		status, _, err := ask(in, "GET", "/new/1", "")
		return err == nil && status == 200
	})
	status, _, err = ask(in, "POST", "/order/7", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 404, "the old route is dropped")
}

func TestDrainingServerGetsNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	eventually(t, "ready", in.Node().Ready)
	leaving := s.backends[1]
	leaving.Drain()
	time.Sleep(2 * time.Second)
	before := leaving.Counts().Arrivals
	for range 40 {
		status, _, err := ask(in, "GET", "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
	assert.Equal(t, leaving.Counts().Arrivals, before)
}

// An instance that starts while the store is away serves from what a peer knows;
// what is loaded goes on, and loads do while the lease holds.
func TestStoreAway(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	a := s.instance("edge-a")
	s.owned(1, a)
	s.gate.set(true)
	b := s.instance("edge-b", a.cfg.PeerAddress)
	eventually(t, "ready from a peer's word", b.Node().Ready)
	s.owned(1, b)
	for i, in := range []*running{a, b} {
		target := fmt.Sprintf("m/a%d", i)
		status, body, err := ask(in, "POST", "/ask/1", target)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		assert.Equal(t, body, whole(target))
	}
	s.gate.set(false)
	s.judge()
}

func TestNewAdapterVersionIsServed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	status, _, err := ask(in, "POST", "/ask/1", "m/a1")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	s.store.Put(platform.TableOperator, "version/m.a1", []byte(`{"model":"m","adapter":"a1","version":2}`))
	eventually(t, "the version is known", func() bool {
		n := in.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.fleet.Version(adapterOf("m/a1")) == 2
	})
	status, _, err = ask(in, "POST", "/ask/1", "m/a1")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	held := s.backends[0]
	value := entryOf(t, s, "i-engine-0")
	held.Beat()
	value = entryOf(t, s, "i-engine-0")
	assert.Assert(t, strings.Contains(value, "a1@2"), value)
}

func entryOf(t *testing.T, s *site, id string) string {
	rows, _ := s.store.Rows("servers", "", id, id+"\x00")
	assert.Equal(t, len(rows), 1)
	return string(rows[0].Value)
}

func TestEngineThatStartsAgainGetsItsModelAndAdapters(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	// The same id starts again elsewhere, empty.
	s.backend(standin.BackendSettings{
		ID: "i-engine-0", Service: "assistant", Slots: 16, AdapterSlots: 3, Work: 5 * time.Millisecond, Events: 5,
		LoadTime: 100 * time.Millisecond, ModelTime: 300 * time.Millisecond,
	})
	eventually(t, "served again", func() bool {
		status, body, err := ask(in, "POST", "/ask/1", "m/a1")
		return err == nil && status == 200 && body == whole("m/a1")
	})
}

// A stopping instance is not ready, answers what still comes, and ends every
// request.
func TestDrainEndsEveryRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			status, body, err := ask(in, "POST", "/ask/1", "m/a1")
			assert.Check(t, err == nil && status == 200 && body == whole("m/a1"), "%d: %d %v %q", i, status, err, body)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- in.Drain(context.Background()) }()
	eventually(t, "not ready", func() bool {
		resp, err := http.Get("http://" + in.cfg.ReadinessAddress + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	wg.Wait()
	assert.NilError(t, <-done)
}

// Each failed request has one line that names its cause.
func TestFailedRequestIsExplained(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	for _, b := range s.backends[1:] {
		b.SetFaults(standin.BackendFaults{Hang: true})
	}
	status, _, err := ask(in, "POST", "/order/1", "")
	assert.NilError(t, err)
	assert.Equal(t, status, 504)
	var fields log.Fields
	for _, e := range in.log.Entries {
		if e.Message == "request failed" {
			fields = e.Fields
		}
	}
	assert.Equal(t, fields["status"], 504)
	assert.Equal(t, fields["may-have-run"], true)
	assert.Assert(t, fmt.Sprint(fields["servers"]) != "")
}

func TestDumpAndMetrics(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	_, _, err := ask(in, "GET", "/look/1", "")
	assert.NilError(t, err)
	get := func(path string) []byte {
		resp, err := http.Get("http://" + in.cfg.MetricsAddress + path)
		assert.NilError(t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return b
	}
	var d wireDump
	assert.NilError(t, json.Unmarshal(get("/dump"), &d))
	assert.Equal(t, len(d.Servers), 3)
	assert.Equal(t, d.Config, s.version)
	age, ok := d.Views[platform.TableOperator]
	assert.Assert(t, ok && age >= 0 && age < 15_000, "%v", d.Views)
	assert.Assert(t, strings.Contains(string(get("/metrics")), `chestnutstream_routed_requests_total{status="200"} 1`))
	assert.Assert(t, strings.Contains(string(get("/metrics")), `chestnutstream_view_age_seconds{table="servers"}`))
}

func adapterOf(s string) (t chestnutstream.ModelAdapter) {
	t.Model, t.Adapter, _ = strings.Cut(s, "/")
	return t
}

// A feed that the store took while it was silent is never answered. A change made
// after the store's return is in force all the same: on an instance that reads the
// servers itself, and on those that are told by another.
func TestChangeAfterASilentStore(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	all := []*running{s.instance("edge-a"), s.instance("edge-g")}
	s.owned(1, all...)
	time.Sleep(leasesSoon) // until then each reads for itself
	swallow := func(g *gate, on bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.swallow = on
	}
	for _, in := range all {
		swallow(in.gate, true)
	}
	s.store.Put(platform.TableOperator, "other", []byte("{}")) // ends the feed that waits; the next one is swallowed
	time.Sleep(4 * time.Second)
	// The reader of the servers is answered first. From then on it tells the
	// others, which need not read themselves.
	readers, _ := all[0].Node().zoneReaders(platform.TableServers)
	tellers, _ := all[0].Node().zoneReaders(platform.TableOperator)
	assert.Assert(t, readers[0] != tellers[0], "the one that is told has to read the configuration itself")
	for _, in := range all {
		if readers[0] == in.cfg.Instance {
			swallow(in.gate, false)
		}
	}
	time.Sleep(3 * time.Second)
	for _, in := range all {
		swallow(in.gate, false)
	}
	time.Sleep(2 * time.Second) // until the store counts as stable
	s.configure(`{"name":"new","host":"h.example","prefix":"/new/","type":"idempotent","maxAttempts":1,"timeoutMs":2000,"service":"desk"}`)
	changed := time.Now()
	for _, in := range all {
		eventually(t, "the new route is in force", func() bool {
			status, _, err := ask(in, "GET", "/new/1", "")
			return err == nil && status == 200
		})
		citest.Timely(t, time.Since(changed), 2*time.Second)
	}
}
