package edge

import (
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

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// site is a small deployment on loopback in the users' platform's protocol: a
// store that can be away, model engines, a plain service, and instances.
type site struct {
	t        *testing.T
	store    *standin.Store
	gate     *gate
	backends []*standin.Backend
	version  uint64
	stop     chan struct{}
}

// gate is the store's door; while it is shut every call is answered 503.
type gate struct {
	mu      sync.Mutex
	shut    bool
	swallow bool // calls are taken and never answered
	next    http.Handler
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	shut, swallow := g.shut, g.swallow
	g.mu.Unlock()
	if swallow {
		<-r.Context().Done()
		return
	}
	if shut {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.next.ServeHTTP(w, r)
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func serve(t *testing.T, l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
}

// newSite starts the platform's side with a configuration of version 1.
func newSite(t *testing.T, engines, slots int) *site {
	s := &site{t: t, store: standin.NewStore(), stop: make(chan struct{})}
	s.gate = &gate{next: s.store}
	t.Cleanup(func() { close(s.stop) })
	for i := range engines {
		s.backend(standin.BackendSettings{
			ID: fmt.Sprintf("i-engine-%d", i), Service: "assistant", Slots: 16, AdapterSlots: slots, Model: "m",
			Work: 5 * time.Millisecond, Events: 5, LoadTime: 100 * time.Millisecond, ModelTime: 300 * time.Millisecond,
		})
	}
	for i := range 2 {
		s.backend(standin.BackendSettings{ID: fmt.Sprintf("i-desk-%d", i), Service: "desk", Slots: 6, Work: 5 * time.Millisecond})
	}
	s.configure(`{"name":"ask","host":"h.example","prefix":"/ask/","type":"streaming","resumable":true,"maxAttempts":2,"timeoutMs":4000,"targetLatencyMs":500,"service":"assistant"},
		{"name":"order","host":"h.example","prefix":"/order/","type":"non_idempotent","maxAttempts":1,"timeoutMs":2000,"targetLatencyMs":200,"service":"desk"},
		{"name":"look","host":"h.example","prefix":"/look/","type":"idempotent","maxAttempts":2,"timeoutMs":2000,"targetLatencyMs":200,"service":"desk"}`)
	return s
}

func (s *site) backend(cfg standin.BackendSettings) *standin.Backend {
	l := listen(s.t)
	cfg.Address = l.Addr().String()
	if cfg.Zone == "" {
		cfg.Zone = "zone-a"
	}
	b := standin.NewBackend(cfg, s.store)
	serve(s.t, l, b)
	b.Beat()
	s.backends = append(s.backends, b)
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(300 * time.Millisecond):
				b.Beat()
			}
		}
	}()
	return b
}

func (s *site) configure(routes string) {
	s.version += 3
	s.store.Put("op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[
		{"name":"assistant","healthPath":"/health","maxConnections":100,"engine":{"slots":16,"weightsMb":100,"adapterSlots":3,"models":[{"name":"m","weightsMb":90,"loadTimeS":0.3,"adapters":50,"adapterSizeMb":1}]}},
		{"name":"desk","healthPath":"/health","maxConnections":100}],"limits":{"maxBodyBytes":100000,"idleTimeoutMs":15000}}`, s.version, routes)))
}

// running is an instance of a site.
type running struct {
	*Instance
	cfg  platform.Settings
	log  *memory.Handler
	gate *gate // between this instance and the store
}

func (s *site) instance(name string, seeds ...string) *running {
	return s.instanceAt("zone-a", nil, name, seeds...)
}

// instanceAt starts an instance in an availability zone; regions are by zone.
func (s *site) instanceAt(zone string, regions map[string]string, name string, seeds ...string) *running {
	gateListener, own := listen(s.t), &gate{next: s.gate}
	serve(s.t, gateListener, own)
	address := func() string {
		l := listen(s.t)
		defer l.Close()
		return l.Addr().String()
	}
	cfg := platform.Settings{
		Instance: name, Zone: zone, Regions: regions, CallerAddress: address(), ReadinessAddress: address(), PeerAddress: address(), MetricsAddress: address(),
		Store: gateListener.Addr().String(), Seeds: seeds, Grace: 4 * time.Second, OrderTurn: 3 * time.Second,
		RetryShare: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	}
	h := memory.New()
	in, err := Start(cfg, &log.Logger{Handler: h, Level: log.InfoLevel})
	assert.NilError(s.t, err)
	s.t.Cleanup(in.Close)
	return &running{Instance: in, cfg: cfg, log: h, gate: own}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 1500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not in 15 s: " + what)
}

// owned waits until instances own all engines of the site.
func (s *site) owned(engines int, instances ...*running) {
	s.t.Helper()
	eventually(s.t, "all engines are owned and known to be", func() bool {
		for _, in := range instances {
			if !in.Node().Ready() {
				return false
			}
			n := in.Node()
			n.mu.Lock()
			known := 0
			for _, server := range n.fleet.Service("assistant") {
				if n.ownerOf(server.ID) != "" {
					known++
				}
			}
			n.mu.Unlock()
			if known < engines {
				return false
			}
		}
		return true
	})
}

var nextID struct {
	sync.Mutex
	n int
}

func ask(in *running, method, path, target string) (status int, body string, err error) {
	nextID.Lock()
	nextID.n++
	id := fmt.Sprintf("r-%d", nextID.n)
	nextID.Unlock()
	req, err := http.NewRequest(method, "http://"+in.cfg.CallerAddress+path, strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Chestnutstream-Request-Id", id)
	req.Header.Set("X-Chestnutstream-Deadline-Ms", "4000")
	if target != "" {
		req.Header.Set("X-Chestnutstream-Model", target)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// whole is the stream that an engine writes for a target.
func whole(target string) string {
	out := ""
	for i := range 5 {
		out += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, target)
	}
	return out
}

// judge checks what every backend server has seen.
func (s *site) judge() {
	s.t.Helper()
	for _, b := range s.backends {
		c := b.Counts()
		assert.Assert(s.t, !c.OverSlots, "more adapters than slots")
		assert.Assert(s.t, !c.FenceFell, "a fencing number fell")
		assert.Assert(s.t, len(c.Holders) <= 1, "holders took turns: %v", c.Holders)
	}
}

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
	s.store.Put("op", "version/m.a1", []byte(`{"model":"m","adapter":"a1","version":2}`))
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
	assert.Assert(t, strings.Contains(string(get("/metrics")), `chestnutstream_routed_requests_total{status="200"} 1`))
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
	s.store.Put("op", "other", []byte("{}")) // ends the feed that waits; the next one is swallowed
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
