package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// EngineSettings configure an Engine.
type EngineSettings struct {
	Name              string
	Platform          string // address of the weight store
	Zone              string
	BatchLimit        int           // maximum number of requests in a batch
	QueueLimit        int           // maximum number of waiting requests; more are refused without execution
	SlotLimit         int           // number of adapter slots
	Step              time.Duration // duration of a step, which generates one token per running request
	ReportLag         time.Duration // age of the load figures in the status
	CheckFencingToken bool          // refuse orders with an outdated fencing token
	PrefixLimit       int           // capacity of the prefix cache, in prompt prefixes
}

// DefaultEngineSettings returns the settings of the demo.
func DefaultEngineSettings(name string) EngineSettings {
	return EngineSettings{
		Name: name, BatchLimit: 8, QueueLimit: 64, SlotLimit: 4, Step: 10 * time.Millisecond,
		ReportLag: 300 * time.Millisecond, CheckFencingToken: true, PrefixLimit: 256,
	}
}

// EngineFaults are the faults that an Engine injects. PUT /faults replaces them
// at run time.
type EngineFaults struct {
	Leaving     bool `json:"leaving"`
	ReportLagMS int  `json:"report-lag-ms"` // added to EngineSettings.ReportLag
	StepDelayMS int  `json:"step-delay-ms"`
	BreakEvery  int  `json:"break-every"` // abort every n-th stream after its second token; 0 for none
	WrongModel  bool `json:"wrong-model"` // generate with the weights of another adapter
}

// EngineCounts holds the counters of an Engine.
type EngineCounts struct {
	Requests        int `json:"requests"`
	Finished        int `json:"finished"`
	Cancelled       int `json:"cancelled"`
	Refused         int `json:"refused"`
	UnknownModel    int `json:"unknown-model"`
	Loads           int `json:"loads"`
	LoadFailures    int `json:"load-failures"`
	Unloads         int `json:"unloads"`
	UnloadedInUse   int `json:"unloaded-in-use"` // requests aborted by an unload
	FencedOrders    int `json:"fenced-orders"`
	AfterLeaving    int `json:"after-leaving"` // requests enqueued more than 2 s after the Leaving fault was set
	Restarts        int `json:"restarts"`
	Steps           int `json:"steps"`         // steps with requests running or waiting
	BatchFilled     int `json:"batch-filled"`  // sum of running requests over those steps
	BatchPlaces     int `json:"batch-places"`  // sum of BatchLimit over those steps
	TokensGenerated int `json:"tokens-made"`   // tokens generated for all requests
	PrefixHits      int `json:"prefix-hits"`   // requests whose prefix was cached
	MaxWaiting      int `json:"max-waiting"`   // maximum queue length
	ResumedReads    int `json:"resumed-reads"` // requests to read a stream from an offset
}

type engineSlot struct {
	weights string // response of the weight store: the adapter and version actually loaded
	loading bool
}

type generation struct {
	id                  string
	slot                string
	chat                bool
	weights             string
	priority            int
	seq                 int
	prefillSteps        int
	limit               int
	tokens              []string
	done                bool
	broken              bool // aborted without an end marker
	running             bool
	readers             int
	lastRead            time.Time
	changed             chan struct{}
	abortAfterTwoTokens bool
}

// Engine is a stand-in for a model engine with continuous batching.
type Engine struct {
	cfg    EngineSettings
	router *mux.Router
	client *http.Client

	mu              sync.Mutex
	faults          EngineFaults
	epoch           int
	fencingToken    uint64
	slots           map[string]*engineSlot
	generations     map[string]*generation
	waiting         []*generation
	running         []*generation
	stepLoopRunning bool
	seq             int
	loadSamples     []loadSample
	prefixes        []string
	events          []CacheEvent
	eventSeq        int
	leavingSince    time.Time
	counts          EngineCounts
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// NewEngine returns an engine without adapters.
func NewEngine(cfg EngineSettings) *Engine {
	e := &Engine{
		cfg: cfg, client: &http.Client{Timeout: time.Minute},
		slots: map[string]*engineSlot{}, generations: map[string]*generation{}, epoch: 1,
	}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/status", e.status).Methods(http.MethodGet)
	r.HandleFunc("/orders/load", e.load).Methods(http.MethodPost)
	r.HandleFunc("/orders/unload", e.unload).Methods(http.MethodPost)
	r.HandleFunc("/orders/fence", e.raiseFence).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/kv/{prefix}", e.kv).Methods(http.MethodGet, http.MethodPut)
	r.HandleFunc("/cache-events", e.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFaults
		if readJSON(w, r, &f) {
			e.SetFaults(f)
		}
	}).Methods(http.MethodPut)
	r.HandleFunc("/restart", func(http.ResponseWriter, *http.Request) { e.Restart() }).Methods(http.MethodPost)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Counts()) })
	e.router = r
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Leaving && !e.faults.Leaving {
		e.leavingSince = time.Now()
	}
	e.faults = f
}

// Faults returns the faults in force.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counts returns a copy of the counters.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Restart simulates a restart of the engine: it increments the epoch, aborts all
// streams, and clears the adapters, the prefix cache and the fencing token.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.counts.Restarts++
	e.fencingToken = 0
	e.slots = map[string]*engineSlot{}
	for _, g := range e.generations {
		e.finish(g, true)
	}
	e.generations = map[string]*generation{}
	e.waiting, e.running, e.prefixes = nil, nil, nil
}

// finish marks a generation as done, or as broken, and notifies its readers.
// Callers hold mu.
func (e *Engine) finish(g *generation, broken bool) {
	if g.done || g.broken {
		return
	}
	g.broken = broken
	g.done = !broken
	g.lastRead = time.Now()
	notifyReaders(g)
}

// notifyReaders wakes the readers that wait for g to change. Callers hold mu.
func notifyReaders(g *generation) {
	close(g.changed)
	g.changed = make(chan struct{})
}

// EngineSlotStatus is the state of an adapter slot in EngineStatus.
type EngineSlotStatus struct {
	Name     string   `json:"name"`
	Loading  bool     `json:"loading"`
	Requests []string `json:"requests"`
}

// EngineStatus is the response to GET /status. Running and Waiting are delayed by
// the report lag.
type EngineStatus struct {
	Epoch      string             `json:"epoch"`
	Fence      uint64             `json:"fence"`
	Leaving    bool               `json:"leaving"`
	BatchLimit int                `json:"batch-limit"`
	SlotLimit  int                `json:"slot-limit"`
	Running    int                `json:"running"`
	Waiting    int                `json:"waiting"`
	Slots      []EngineSlotStatus `json:"slots"`
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := EngineStatus{
		Epoch: fmt.Sprint(e.epoch), Fence: e.fencingToken, Leaving: e.faults.Leaving,
		BatchLimit: e.cfg.BatchLimit, SlotLimit: e.cfg.SlotLimit, Slots: []EngineSlotStatus{},
	}
	status.Running, status.Waiting = e.delayedLoad(time.Now())
	for name, s := range e.slots {
		slot := EngineSlotStatus{Name: name, Loading: s.loading, Requests: []string{}}
		for _, g := range e.generations {
			if g.slot == name && !g.done && !g.broken {
				slot.Requests = append(slot.Requests, g.id)
			}
		}
		status.Slots = append(status.Slots, slot)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// delayedLoad adds a sample of the current load and returns the newest sample that
// is at least as old as the report lag, or the oldest one. Callers hold mu.
func (e *Engine) delayedLoad(now time.Time) (running, waiting int) {
	e.loadSamples = append(e.loadSamples, loadSample{now, len(e.running), len(e.waiting)})
	lag := e.cfg.ReportLag + time.Duration(e.faults.ReportLagMS)*time.Millisecond
	first := 0
	for i, sample := range e.loadSamples {
		if now.Sub(sample.at) >= lag {
			first = i
		}
	}
	e.loadSamples = e.loadSamples[first:]
	return e.loadSamples[0].running, e.loadSamples[0].waiting
}

type engineOrder struct {
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// readOrder reads an order and refuses it if its fencing token is outdated and
// CheckFencingToken is set. It returns false if it has written an error response.
func (e *Engine) readOrder(w http.ResponseWriter, r *http.Request) (engineOrder, bool) {
	var o engineOrder
	if !readJSON(w, r, &o) {
		return o, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.CheckFencingToken {
		return o, true
	}
	if o.Fence < e.fencingToken {
		e.counts.FencedOrders++
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return o, false
	}
	e.fencingToken = o.Fence
	return o, true
}

// raiseFence records a higher fencing token without another effect.
func (e *Engine) raiseFence(w http.ResponseWriter, r *http.Request) { e.readOrder(w, r) }

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	if _, loaded := e.slots[o.Name]; loaded {
		e.mu.Unlock()
		http.Error(w, "already loaded", http.StatusConflict)
		return
	}
	if len(e.slots) >= e.cfg.SlotLimit {
		e.mu.Unlock()
		http.Error(w, "no free adapter slot", http.StatusInsufficientStorage)
		return
	}
	e.counts.Loads++
	slot := &engineSlot{loading: true}
	e.slots[o.Name] = slot
	e.mu.Unlock()
	weights, err := e.fetchWeights(o.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || e.slots[o.Name] != slot {
		e.counts.LoadFailures++
		if e.slots[o.Name] == slot {
			delete(e.slots, o.Name)
		}
		http.Error(w, fmt.Sprintf("load failed: %v", err), http.StatusBadGateway)
		return
	}
	slot.weights, slot.loading = weights, false
}

// fetchWeights requests the weights of a load name from the weight store. The
// part of name after a colon is not sent.
func (e *Engine) fetchWeights(name string) (string, error) {
	adapterVersion, _, _ := strings.Cut(name, ":")
	req, err := http.NewRequest(http.MethodGet, "http://"+e.cfg.Platform+"/weights/"+adapterVersion, http.NoBody)
	if err != nil {
		return "", err
	}
	req.Header.Set("Availability-Zone", e.cfg.Zone)
	resp, err := e.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("weight store: %s", resp.Status)
	}
	return string(body), nil
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, loaded := e.slots[o.Name]; !loaded {
		http.Error(w, "not loaded", http.StatusNotFound)
		return
	}
	e.counts.Unloads++
	delete(e.slots, o.Name)
	for _, g := range e.generations {
		if g.slot == o.Name && !g.done && !g.broken {
			e.counts.UnloadedInUse++
			e.finish(g, true)
		}
	}
	e.removeMatching(func(g *generation) bool { return g.broken })
}

// removeMatching removes the generations that match from the batch and the queue.
// Callers hold mu.
func (e *Engine) removeMatching(match func(*generation) bool) {
	filter := func(gs []*generation) []*generation {
		var out []*generation
		for _, g := range gs {
			if !match(g) {
				out = append(out, g)
			}
		}
		return out
	}
	e.running, e.waiting = filter(e.running), filter(e.waiting)
}
