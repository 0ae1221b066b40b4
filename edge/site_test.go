package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/memory"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
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
	b := s.silentBackend(cfg)
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

// silentBackend starts a backend server that writes its entry once.
func (s *site) silentBackend(cfg standin.BackendSettings) *standin.Backend {
	l := listen(s.t)
	cfg.Address = l.Addr().String()
	if cfg.Zone == "" {
		cfg.Zone = "zone-a"
	}
	b := standin.NewBackend(cfg, s.store)
	serve(s.t, l, b)
	b.Beat()
	s.backends = append(s.backends, b)
	return b
}

func (s *site) configure(routes string) {
	s.version += 3
	s.store.Put(platform.TableOperator, "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[
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

// instances starts so many instances.
func (s *site) instances(n int) []*running {
	var all []*running
	for i := range n {
		all = append(all, s.instance(fmt.Sprint("edge-", string(rune('a'+i)))))
	}
	return all
}

// instanceAt starts an instance in an availability zone; regions are by zone.
func (s *site) instanceAt(zone string, regions map[string]string, name string, seeds ...string) *running {
	gateListener, own := listen(s.t), &gate{next: s.gate}
	serve(s.t, gateListener, own)
	cfg := platform.Settings{
		Instance: name, Zone: zone, Regions: regions, Store: gateListener.Addr().String(), Seeds: seeds, Grace: 4 * time.Second, ConfigApply: 2 * time.Second, OrderTurn: 3 * time.Second,
		RetryShare: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
	}
	h := memory.New()
	in, err := startAnywhere(s.t, &cfg, &log.Logger{Handler: h, Level: log.InfoLevel})
	assert.NilError(s.t, err)
	s.t.Cleanup(in.Close)
	return &running{Instance: in, cfg: cfg, log: h, gate: own}
}

// idleNode returns a node that follows nothing and whose store is not there.
func idleNode(t interface{ Cleanup(func()) }, name string) *Node {
	n := newNode(platform.Settings{Instance: name, Zone: "z", Store: "127.0.0.1:1"}, &log.Logger{Handler: discard.New()}, timer.NewSystem(), timer.Boot)
	t.Cleanup(n.cancel)
	return n
}

// startAnywhere starts an instance on free ports. A port may be taken by another
// test between its choice and its use; then others are chosen.
func startAnywhere(t *testing.T, cfg *platform.Settings, logger log.Interface) (in *Instance, err error) {
	address := func() string {
		l := listen(t)
		defer l.Close()
		return l.Addr().String()
	}
	for range 10 {
		cfg.CallerAddress, cfg.ReadinessAddress, cfg.PeerAddress, cfg.MetricsAddress = address(), address(), address(), address()
		if in, err = Start(*cfg, logger); !errors.Is(err, syscall.EADDRINUSE) {
			return in, err
		}
	}
	return nil, err
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
	status, body, _, err = askVersion(in, method, path, target)
	return status, body, err
}

// askVersion is ask with the version of the adapter that answered.
func askVersion(in *running, method, path, target string) (status int, body, version string, err error) {
	nextID.Lock()
	nextID.n++
	id := fmt.Sprintf("r-%d", nextID.n)
	nextID.Unlock()
	req, err := http.NewRequest(method, "http://"+in.cfg.CallerAddress+path, strings.NewReader("x"))
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "h.example"
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, "4000")
	if target != "" {
		req.Header.Set(platform.HeaderModel, target)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), resp.Header.Get(platform.HeaderWeights), err
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
