package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream/timer"
)

// BackendSettings describe a backend server in the users' platform's protocol.
type BackendSettings struct {
	ID           string
	Service      string
	Zone         string
	Address      string
	Slots        int
	AdapterSlots int           // 0: a plain service
	Model        string        // that an engine holds at its start; empty: none
	Work         time.Duration // of a plain request, or between a stream's events
	Events       int           // of a stream
	LoadTime     time.Duration // of an adapter that was not held before
	ModelTime    time.Duration // of the model
}

// BackendFaults are switched at run time.
type BackendFaults struct {
	FailShare int // every n-th request fails with the server's own 500; 0: none
	Hang      bool
	BreakAt   int // streams break off after so many events; 0: never
	LoseOrder int // every n-th order brings no answer and is not carried out; 0: none

	Limit   string  // requests a second that answers name as the server's limit; empty: none
	Leaving bool    // answers say that it leaves
	Pause   float64 // seconds: requests are refused, and wanted again after that; 0: none
}

// inNeed reports whether answers say that the server wants less work.
func (f BackendFaults) inNeed() bool { return f.Limit != "" || f.Leaving || f.Pause > 0 }

// BackendCounts is what a backend server has seen.
type BackendCounts struct {
	Arrivals    int            // requests that reached it, refused ones included
	Ran         map[string]int // runs by request id
	WrongRuns   int            // runs of an adapter that it does not hold
	Holders     []string       // of orders, in turn, each once in a row
	FenceFell   bool           // an order came with a lower number than one before
	OverSlots   bool           // it was ordered to hold more adapters than it has slots
	UnloadInUse int            // orders to unload an adapter in use
	Unloads     int
	Orders      int
	ShortTurn   time.Duration // the shortest time between orders of two holders; 0: one holder only
	LateArrival time.Duration // of the latest request after the server began to drain
	InNeed      []time.Time   // arrivals since it has been saying that it wants less work
}

type backendAdapter struct {
	version int
	ready   time.Time
	uses    int
}

// Backend is a stand-in of a backend server of the users' platform: a plain
// service or a model engine, registered in the platform's store.
type Backend struct {
	cfg    BackendSettings
	store  *Store
	born   int64
	router *mux.Router

	mu       sync.Mutex
	faults   BackendFaults
	counts   BackendCounts
	state    string
	beats    int
	model    string
	modelAt  time.Time
	adapters map[string]*backendAdapter
	past     map[string]bool
	orders   int // accepted
	fence    uint64
	orderAt  time.Time // of the newest order
	drainAt  time.Time
	going    string // an adapter in use that is to be unloaded
	running  int
	served   int
	asked    int
}

// NewBackend returns a backend server; Beat registers it.
func NewBackend(cfg BackendSettings, store *Store) *Backend {
	b := &Backend{
		cfg: cfg, store: store, born: time.Now().UnixMilli(), state: "ready", model: cfg.Model,
		adapters: map[string]*backendAdapter{}, past: map[string]bool{}, counts: BackendCounts{Ran: map[string]int{}},
	}
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/report", b.report).Methods(http.MethodGet)
	r.HandleFunc("/order", b.order).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(b.request)
	b.router = r
	return b
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Chestnutstream-Expect-Instance"); want != "" && want != b.cfg.ID {
		w.Header().Set("X-Chestnutstream-Instance-Id", b.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.router.ServeHTTP(w, r)
}

// SetFaults switches the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.counts.InNeed = f, nil
}

// say writes what a server in need says into the head of an answer.
func (f BackendFaults) say(h http.Header) {
	if f.Limit != "" {
		h.Set("X-Chestnutstream-Server-Limit", f.Limit)
	}
	if f.Leaving {
		h.Set("X-Chestnutstream-Server-Leaving", "1")
	}
	if f.Pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.Pause, 'f', -1, 64))
	}
}

// MostWithin returns the largest number of times that lie within one span; times
// are in order.
func MostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Counts returns a copy of what the server has seen.
func (b *Backend) Counts() BackendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Ran = make(map[string]int, len(b.counts.Ran))
	for id, n := range b.counts.Ran {
		c.Ran[id] = n
	}
	c.Holders = append([]string(nil), b.counts.Holders...)
	c.InNeed = append([]time.Time(nil), b.counts.InNeed...)
	return c
}

type backendModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

type backendEntry struct {
	Service  string         `json:"service"`
	Address  string         `json:"address"`
	Zone     string         `json:"zone"`
	Version  string         `json:"version"`
	Slots    int            `json:"slots"`
	State    string         `json:"state"`
	Born     int64          `json:"born"`
	Sequence int            `json:"sequence"`
	Models   []backendModel `json:"models,omitempty"`
}

// Beat writes the server's entry.
func (b *Backend) Beat() {
	b.mu.Lock()
	b.beats++
	e := backendEntry{
		Service: b.cfg.Service, Address: b.cfg.Address, Zone: b.cfg.Zone, Version: "v1", Slots: b.cfg.Slots,
		State: b.state, Born: b.born, Sequence: b.beats, Models: b.held(),
	}
	b.mu.Unlock()
	value, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("encode entry: %v", err)) // a struct of plain fields
	}
	b.store.Put("servers", b.cfg.ID, value)
}

// Drain makes the server leave: its entry says so.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.Beat()
	b.mu.Lock()
	b.drainAt = time.Now()
	b.mu.Unlock()
}

// gone drops an adapter whose unload waited for its runs. Callers hold mu.
func (b *Backend) gone() {
	if a := b.adapters[b.going]; b.going != "" && a.uses == 0 {
		delete(b.adapters, b.going)
		b.past[b.going], b.going = true, ""
	}
}

// held returns what the engine holds. Callers hold mu.
func (b *Backend) held() []backendModel {
	if b.model == "" || time.Now().Before(b.modelAt) {
		return nil
	}
	m := backendModel{Name: b.model, Version: 1, Adapters: []string{}}
	for name, a := range b.adapters {
		if !time.Now().Before(a.ready) {
			m.Adapters = append(m.Adapters, name+"@"+strconv.Itoa(a.version))
		}
	}
	sort.Strings(m.Adapters)
	return []backendModel{m}
}

func (b *Backend) report(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := []string{}
	for name, a := range b.adapters {
		if time.Now().Before(a.ready) {
			pending = append(pending, b.model+"/"+name+"@"+strconv.Itoa(a.version))
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": b.held(), "busy": time.Now().Before(b.modelAt), "sequence": b.orders,
		"queued": 0, "active": b.running, "pending": pending, "born": b.born,
	})
}

type backendOrder struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	ExpectedRev  *int   `json:"expectedRev"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

func (b *Backend) order(w http.ResponseWriter, r *http.Request) {
	var o backendOrder
	if !readJSON(w, r, &o) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked++
	if b.faults.LoseOrder > 0 && b.asked%b.faults.LoseOrder == 0 {
		panic(http.ErrAbortHandler)
	}
	b.counts.Orders++
	b.counts.FenceFell = b.counts.FenceFell || o.FencingToken < b.fence
	b.fence = max(b.fence, o.FencingToken)
	if n := len(b.counts.Holders); n == 0 || b.counts.Holders[n-1] != o.Holder {
		if turn := time.Since(b.orderAt); n > 0 && (b.counts.ShortTurn == 0 || turn < b.counts.ShortTurn) {
			b.counts.ShortTurn = turn
		}
		b.counts.Holders = append(b.counts.Holders, o.Holder)
	}
	b.orderAt = time.Now()
	w.WriteHeader(b.carryOut(o))
}

// carryOut takes an order and returns its answer. Callers hold mu.
func (b *Backend) carryOut(o backendOrder) int {
	now := time.Now()
	if o.Adapter == "" {
		if b.model == o.Model {
			return http.StatusOK
		}
		b.orders++
		b.model, b.modelAt = o.Model, now.Add(b.cfg.ModelTime)
		return http.StatusAccepted
	}
	a := b.adapters[o.Adapter]
	version := max(o.Version, 1)
	if o.Operation == "load" && a != nil && a.version >= version {
		if now.Before(a.ready) {
			return http.StatusAccepted
		}
		return http.StatusOK
	}
	if o.Operation == "unload" && a == nil {
		return http.StatusOK
	}
	if b.going != "" {
		if o.Operation == "unload" && o.Adapter == b.going {
			return http.StatusAccepted
		}
		return http.StatusConflict
	}
	if b.model != o.Model || now.Before(b.modelAt) || o.ExpectedRev == nil || *o.ExpectedRev != b.orders {
		return http.StatusConflict
	}
	b.orders++
	if o.Operation == "unload" {
		b.counts.Unloads++
		if a.uses > 0 {
			b.counts.UnloadInUse++
			b.going = o.Adapter
			return http.StatusAccepted
		}
		delete(b.adapters, o.Adapter)
		b.past[o.Adapter] = true
		return http.StatusOK
	}
	load := b.cfg.LoadTime
	if b.past[o.Adapter] {
		load /= 10
	}
	b.adapters[o.Adapter] = &backendAdapter{version: version, ready: now.Add(load)}
	b.counts.OverSlots = b.counts.OverSlots || len(b.adapters) > b.cfg.AdapterSlots
	return http.StatusAccepted
}

// admit checks a request before it runs; status 0 lets it.
func (b *Backend) admit(r *http.Request) (adapter *backendAdapter, status int, fails bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Arrivals++
	if b.faults.inNeed() {
		b.counts.InNeed = append(b.counts.InNeed, time.Now())
	}
	if !b.drainAt.IsZero() {
		b.counts.LateArrival = time.Since(b.drainAt)
	}
	if b.faults.Pause > 0 {
		return nil, http.StatusServiceUnavailable, false
	}
	model, name, _ := strings.Cut(r.Header.Get("X-Chestnutstream-Model"), "/")
	if b.cfg.AdapterSlots > 0 && len(b.held()) == 0 {
		return nil, http.StatusMisdirectedRequest, false
	}
	if b.cfg.AdapterSlots > 0 && name != "" {
		a := b.adapters[name]
		if a == nil || model != b.model {
			return nil, http.StatusMisdirectedRequest, false
		}
		if v := r.Header.Get("X-Chestnutstream-Expect-Version"); v != "" && v != strconv.Itoa(a.version) {
			return nil, http.StatusMisdirectedRequest, false
		}
		if time.Now().Before(a.ready) || name == b.going {
			return nil, http.StatusServiceUnavailable, false
		}
		adapter = a
	}
	if b.running >= b.cfg.Slots {
		return nil, http.StatusServiceUnavailable, false
	}
	if adapter != nil {
		adapter.uses++
	}
	b.running++
	b.served++
	b.counts.Ran[r.Header.Get("X-Chestnutstream-Request-Id")]++
	return adapter, 0, b.faults.FailShare > 0 && b.served%b.faults.FailShare == 0
}

func (b *Backend) request(w http.ResponseWriter, r *http.Request) {
	adapter, status, fails := b.admit(r)
	h := w.Header()
	h.Set("X-Chestnutstream-Instance-Id", b.cfg.ID)
	b.mu.Lock()
	f, running := b.faults, b.running
	b.mu.Unlock()
	f.say(h)
	if status != 0 {
		h.Set("X-Chestnutstream-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer func() {
		b.mu.Lock()
		b.running--
		if adapter != nil {
			adapter.uses--
		}
		b.gone()
		b.mu.Unlock()
	}()
	h.Set("X-Chestnutstream-Request-Id", r.Header.Get("X-Chestnutstream-Request-Id"))
	h.Set("X-Chestnutstream-Server-Signature", b.cfg.ID+"."+r.Header.Get("X-Chestnutstream-Request-Id"))
	h.Set("X-Chestnutstream-Server-Load", fmt.Sprintf("%d,0,%d", running, b.cfg.Slots))
	if adapter != nil {
		h.Set("X-Chestnutstream-Weight-Versions", strconv.Itoa(adapter.version))
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if fails {
		timer.Sleep(r.Context(), b.cfg.Work)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if b.cfg.AdapterSlots == 0 {
		timer.Sleep(r.Context(), b.cfg.Work)
		_, _ = fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, b.cfg.ID)
		return
	}
	b.stream(w, r, f)
}

// stream writes the events of an answer, from the one after Last-Event-Id.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, f BackendFaults) {
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := from; i < b.cfg.Events; i++ {
		if f.BreakAt > 0 && i-from == f.BreakAt {
			panic(http.ErrAbortHandler)
		}
		timer.Sleep(r.Context(), b.cfg.Work)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, r.Header.Get("X-Chestnutstream-Model")); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}
