package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream/timer"
)

// BackendSettings configure a Backend.
type BackendSettings struct {
	ID            string
	Service       string
	Zone          string
	Address       string
	Software      string // version of its software, named in the events of its streams; empty: "v1", not named
	Slots         int
	Queue         int                   // requests that wait for a slot; further ones are rejected
	AdapterSlots  int                   // 0 for a plain service
	WeightsMB     float64               // that an engine holds
	ModelMB       float64               // size of a base model
	AdapterMB     float64               // size of an adapter
	Model         string                // base model that an engine has loaded at the start; empty for none
	ServiceTime   time.Duration         // duration of a plain request, or interval between the events of a stream
	Events        int                   // number of events in a stream
	LoadTime      time.Duration         // of an adapter that was not loaded before; a repeated load takes a tenth
	ModelLoadTime time.Duration         // load time of the base model
	Observe       func(r *http.Request) // called with each request and call before it is handled; may be nil
}

// defaultSoftware is the software version of backend servers whose settings name none.
const defaultSoftware = "v1"

// BackendCounts holds what a Backend observed.
type BackendCounts struct {
	Arrivals                  int            // requests received, including refused ones
	Rejections                int            // of them, those rejected for want of room
	Runs                      map[string]int // executions by request id
	WrongRuns                 int            // executions for an adapter that is not loaded
	Holders                   []string       // instances that sent orders, in sequence, without immediate repeats
	FencingTokenDecreased     bool           // an order had a lower fencing token than an earlier one
	SlotsExceeded             bool           // orders loaded more adapters than AdapterSlots
	WeightsExceeded           bool           // orders loaded more than WeightsMB
	UnloadsInUse              int            // unload orders for an adapter with requests in progress
	ModelUnloads              int
	EarlyEnds                 int // streams that ended inside an event
	Malformed                 int // responses with a malformed head
	Unloads                   int
	Orders                    int
	LatestArrivalAfterDrain   time.Duration // time from the start of draining, or from Leave, to the latest request
	CrashArrivals             []time.Time   // arrival times of prompts on which the process crashes
	CrashLoads                []time.Time   // times of accepted orders to load what crashes the process
	ArrivalsUnderBackpressure []time.Time   // arrival times while responses signal backpressure; SetFaults clears them
	Misdirected               int           // executions that got status 421
	RepeatedRejections        int           // rejections that were sent a second time
	RunsAfterRejection        int           // executions of requests that were rejected before
	RepeatedToSameRequest     int           // those of them that preceded the response to the rejected request itself
}

type backendAdapter struct {
	version        int
	readyAt        time.Time
	replaces       bool // an older version stays loaded until readyAt
	activeRequests int
}

// Backend is a stand-in for a backend server that speaks the protocol of the
// users' platform: a plain service or a model engine, registered in the
// platform's store.
type Backend struct {
	cfg       BackendSettings
	store     *Store
	startedMS int64
	router    *mux.Router
	crash     func() // ends the process; nil: it cannot crash

	entry sync.Mutex // held while the server's row is written or removed

	mu              sync.Mutex
	left            bool // its row is removed, and not written again
	faults          BackendFaults
	counts          BackendCounts
	state           string
	heartbeats      int
	model           string
	modelReadyAt    time.Time
	adapters        map[string]*backendAdapter
	loadedBefore    map[string]bool
	rejectedIDs     map[string]bool
	orders          int // accepted orders, compared with an order's expectedRev
	maxFencingToken uint64
	orderRecords    []OrderRecord
	drainingSince   time.Time
	unloadingModel  bool   // the base model's unload waits for requests in progress
	unloading       string // adapter whose unload waits for requests in progress; empty for none
	running         int
	waiting         int           // requests in the queue
	freed           chan struct{} // closed and replaced when a request ends
	served          int
	streams         int
	admitted        int // requests that could run, including those that a fault rejects
	repeatable      int // requests that ran on a connection whose previous response was a rejection
	orderRequests   int
	rejections      []time.Time // of the last second
}

// NewBackend returns a backend server. Heartbeat registers it in store.
func NewBackend(cfg BackendSettings, store *Store) *Backend {
	b := &Backend{
		cfg: cfg, store: store, startedMS: time.Now().UnixMilli(), state: "ready", model: cfg.Model, freed: make(chan struct{}),
		adapters: map[string]*backendAdapter{}, loadedBefore: map[string]bool{}, rejectedIDs: map[string]bool{}, counts: BackendCounts{Runs: map[string]int{}},
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
	if b.cfg.Observe != nil {
		b.cfg.Observe(r)
	}
	if id := r.Header.Get("X-Chestnutstream-Request-Id"); id != "" {
		w.Header().Set("X-Chestnutstream-Request-Id", id)
	}
	if want := r.Header.Get("X-Chestnutstream-Expect-Instance"); want != "" && want != b.cfg.ID {
		w.Header().Set("X-Chestnutstream-Instance-Id", b.cfg.ID)
		b.reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	b.router.ServeHTTP(w, r)
}

// reject responds to a request that was not executed.
func (b *Backend) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Chestnutstream-Not-Executed", "1")
	b.recordRejection(r, status, w.Header())
	w.WriteHeader(status)
}

// OnCrash sets the function that ends the process when a fault crashes it. It is set
// before the first request; a BackendProcess does so itself.
func (b *Backend) OnCrash(end func()) { b.crash = end }

// MaxInWindow returns the largest number of times within any window of length
// span. times must be in ascending order.
func MaxInWindow(times []time.Time, span time.Duration) int {
	maxCount, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= span {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// Counts returns a copy of the counters.
func (b *Backend) Counts() BackendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Runs = make(map[string]int, len(b.counts.Runs))
	for id, n := range b.counts.Runs {
		c.Runs[id] = n
	}
	c.Holders = append([]string(nil), b.counts.Holders...)
	c.ArrivalsUnderBackpressure = append([]time.Time(nil), b.counts.ArrivalsUnderBackpressure...)
	return c
}

// Runs returns how often a request has been executed.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.Runs[id]
}

type backendModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

type backendRow struct {
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

// Heartbeat sends a heartbeat: it writes the server's row to the store.
func (b *Backend) Heartbeat() {
	b.entry.Lock()
	defer b.entry.Unlock()
	b.mu.Lock()
	if b.left {
		b.mu.Unlock()
		return
	}
	b.heartbeats++
	row := backendRow{
		Service: b.cfg.Service, Address: b.cfg.Address, Zone: b.cfg.Zone, Version: cmp.Or(b.cfg.Software, defaultSoftware), Slots: b.cfg.Slots,
		State: b.state, Born: b.startedMS, Sequence: b.heartbeats, Models: b.loadedModels(),
	}
	b.mu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		panic(fmt.Sprintf("encode backend row: %v", err)) // cannot happen: all fields are encodable
	}
	acknowledged := b.store.Put(tableServers, b.cfg.ID, value) > 0
	b.mu.Lock()
	defer b.mu.Unlock()
	if acknowledged && row.State == "draining" && b.drainingSince.IsZero() {
		b.drainingSince = time.Now()
	}
}

// Drain sets the server's state to draining and publishes it in its row.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.Heartbeat()
}

// Leave removes the server's row without a notice. The server still responds to requests.
func (b *Backend) Leave() {
	b.entry.Lock()
	defer b.entry.Unlock()
	b.store.Remove(tableServers, b.cfg.ID)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left, b.drainingSince = true, time.Now()
}

// finishUnload removes the adapter whose unload was deferred once it has no more
// requests in progress. Callers hold mu.
func (b *Backend) finishUnload() {
	if a := b.adapters[b.unloading]; b.unloading != "" && a.activeRequests == 0 {
		delete(b.adapters, b.unloading)
		b.loadedBefore[b.unloading], b.unloading = true, ""
	}
}

// loadedModels returns the loaded base model with its loaded adapters, or nil
// while no model is ready. Callers hold mu.
func (b *Backend) loadedModels() []backendModel {
	if b.model == "" || time.Now().Before(b.modelReadyAt) {
		return nil
	}
	m := backendModel{Name: b.model, Version: 1, Adapters: []string{}}
	for name, a := range b.adapters {
		if !time.Now().Before(a.readyAt) {
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
		if time.Now().Before(a.readyAt) {
			pending = append(pending, b.model+"/"+name+"@"+strconv.Itoa(a.version))
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": b.loadedModels(), "busy": time.Now().Before(b.modelReadyAt), "sequence": b.orders,
		"queued": 0, "active": b.running, "pending": pending, "born": b.startedMS,
	})
}

// admit decides whether a request is executed. status is 0 if it is admitted and
// the response status otherwise; fail reports that it is to end with status 500.
func (b *Backend) admit(ctx context.Context, r *http.Request) (adapter *backendAdapter, status int, fail bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Arrivals++
	if b.faults.crashesOn(r) {
		b.counts.CrashArrivals = append(b.counts.CrashArrivals, time.Now())
	}
	if b.faults.signalsBackpressure() {
		b.counts.ArrivalsUnderBackpressure = append(b.counts.ArrivalsUnderBackpressure, time.Now())
	}
	if !b.drainingSince.IsZero() {
		b.counts.LatestArrivalAfterDrain = time.Since(b.drainingSince)
	}
	if b.faults.Pause > 0 {
		return nil, http.StatusServiceUnavailable, false
	}
	model, name, _ := strings.Cut(r.Header.Get("X-Chestnutstream-Model"), "/")
	if b.cfg.AdapterSlots > 0 && len(b.loadedModels()) == 0 {
		return nil, http.StatusMisdirectedRequest, false
	}
	if b.unloadingModel {
		return nil, http.StatusServiceUnavailable, false
	}
	if b.cfg.AdapterSlots > 0 && name != "" {
		a := b.adapters[name]
		if a == nil || model != b.model {
			return nil, http.StatusMisdirectedRequest, false
		}
		if v := r.Header.Get("X-Chestnutstream-Expect-Version"); v != "" && v != strconv.Itoa(a.version) {
			return nil, http.StatusMisdirectedRequest, false
		}
		if time.Now().Before(a.readyAt) || name == b.unloading {
			return nil, http.StatusServiceUnavailable, false
		}
		adapter = a
	}
	if b.running+b.waiting >= b.cfg.Slots && !b.awaitSlot(ctx) {
		return nil, http.StatusServiceUnavailable, false
	}
	b.admitted++
	if n := b.faults.RejectEvery; n > 0 && b.admitted%n == 0 {
		if adapter != nil {
			return nil, http.StatusMisdirectedRequest, false
		}
		return nil, http.StatusServiceUnavailable, false
	}
	if adapter != nil {
		adapter.activeRequests++
	}
	b.running++
	b.served++
	id := r.Header.Get("X-Chestnutstream-Request-Id")
	b.counts.Runs[id]++
	if b.rejectedIDs[id] {
		b.counts.RunsAfterRejection++
	}
	return adapter, 0, b.faults.FailEvery > 0 && b.served%b.faults.FailEvery == 0
}

// awaitSlot waits in the queue until a slot is free. It reports false if the queue is full or
// ctx ends. Callers hold mu, which is released meanwhile.
func (b *Backend) awaitSlot(ctx context.Context) bool {
	if b.waiting >= b.cfg.Queue {
		b.rejected()
		return false
	}
	b.waiting++
	defer func() { b.waiting-- }()
	for b.running >= b.cfg.Slots && ctx.Err() == nil {
		freed := b.freed
		b.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		b.mu.Lock()
	}
	return ctx.Err() == nil
}

// rejected counts a rejection for want of room. Callers hold mu.
func (b *Backend) rejected() {
	now := time.Now()
	b.counts.Rejections++
	b.rejections = append(slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if n := b.faults.Brittle; n > 0 && len(b.rejections) > n && b.crash != nil {
		go b.crash()
	}
}

func (b *Backend) request(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := b.runContext(r)
	defer cancel()
	adapter, status, fail := b.admit(ctx, r)
	h := w.Header()
	h.Set("X-Chestnutstream-Instance-Id", b.cfg.ID)
	b.mu.Lock()
	f := b.faults
	h.Set("X-Chestnutstream-Server-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.cfg.Slots))
	b.mu.Unlock()
	f.setHeaders(h)
	if status != 0 {
		b.reject(w, r, status)
		return
	}
	defer func() {
		b.mu.Lock()
		b.running--
		close(b.freed)
		b.freed = make(chan struct{})
		b.finishModelUnload()
		if adapter != nil {
			adapter.activeRequests--
		}
		b.finishUnload()
		b.mu.Unlock()
	}()
	b.repeatRejection(r, f.RepeatRejections)
	h.Set("X-Chestnutstream-Server-Signature", b.cfg.ID+"."+r.Header.Get("X-Chestnutstream-Request-Id"))
	if adapter != nil {
		h.Set("X-Chestnutstream-Weight-Versions", strconv.Itoa(adapter.version))
	}
	if f.Hang {
		<-ctx.Done()
		return
	}
	if head, ok := b.malformed(f); ok {
		timer.Sleep(ctx, f.serviceTime(b.cfg.ServiceTime))
		writeMalformed(w, head)
		return
	}
	if status := b.failure(f, fail); status != 0 {
		if status == http.StatusMisdirectedRequest {
			h.Del("X-Chestnutstream-Server-Signature")
		}
		timer.Sleep(ctx, f.serviceTime(b.cfg.ServiceTime))
		w.WriteHeader(status)
		return
	}
	if b.cfg.AdapterSlots == 0 {
		timer.Sleep(ctx, f.serviceTime(b.cfg.ServiceTime))
		if b.crash != nil && f.crashesOn(r) {
			b.crash()
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		_, _ = fmt.Fprintf(w, "%s %s by %s", r.Method, r.RequestURI, b.cfg.ID)
		return
	}
	b.stream(ctx, w, r, f)
}

// event returns an event of a stream.
func (b *Backend) event(i int, model string) string {
	text := fmt.Sprintf("piece %d of %s", i, model)
	if b.cfg.Software != "" {
		text += " by " + b.cfg.Software
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, text)
}

// stream writes the events of a response, starting after Last-Event-Id.
func (b *Backend) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, f BackendFaults) {
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if f.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	flusher := http.NewResponseController(w)
	if b.crash != nil && f.crashesOn(r) {
		_ = flusher.Flush()
		timer.Sleep(r.Context(), f.serviceTime(b.cfg.ServiceTime))
		b.crash()
		panic(http.ErrAbortHandler)
	}
	if n, ok := b.endsEarly(f); ok {
		b.endEarly(w, r, from, n)
		return
	}
	for i := from; i < b.cfg.Events; i++ {
		if f.BreakAfter > 0 && i-from == f.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		timer.Sleep(ctx, f.serviceTime(b.cfg.ServiceTime))
		if ctx.Err() != nil {
			return
		}
		if _, err := io.WriteString(w, b.event(i, r.Header.Get("X-Chestnutstream-Model"))); err != nil && !f.FinishAbandoned {
			return
		}
		if err := flusher.Flush(); err != nil && !f.FinishAbandoned {
			return
		}
	}
}
