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

// EngineSettings are the sizes of a model engine stand-in.
type EngineSettings struct {
	Name        string
	Platform    string // address of the weight store
	Zone        string
	BatchLimit  int           // requests in one step
	QueueLimit  int           // waiting requests; more are refused, not run
	SlotLimit   int           // adapter slots
	Step        time.Duration // time of one step: one token for each running request
	ReportLag   time.Duration // age of the load report
	CheckFence  bool          // refuse orders with an old fencing number
	PrefixLimit int           // prompt prefixes in the prefix cache
}

// DefaultEngineSettings returns the sizes that the demo uses.
func DefaultEngineSettings(name string) EngineSettings {
	return EngineSettings{
		Name: name, BatchLimit: 8, QueueLimit: 64, SlotLimit: 4, Step: 10 * time.Millisecond,
		ReportLag: 300 * time.Millisecond, CheckFence: true, PrefixLimit: 256,
	}
}

// EngineFaults are switched at run time by PUT /faults on an engine.
type EngineFaults struct {
	Leaving     bool `json:"leaving"`
	ReportLagMS int  `json:"report-lag-ms"` // added to the lag of the load report
	StepDelayMS int  `json:"step-delay-ms"`
	BreakEvery  int  `json:"break-every"` // break every nth stream after its second token
	WrongModel  bool `json:"wrong-model"` // answer with a neighbour's weights
}

// EngineCounts is what an engine counted.
type EngineCounts struct {
	Requests      int `json:"requests"`
	Finished      int `json:"finished"`
	Cancelled     int `json:"cancelled"`
	Refused       int `json:"refused"`
	UnknownModel  int `json:"unknown-model"`
	Loads         int `json:"loads"`
	LoadFailures  int `json:"load-failures"`
	Unloads       int `json:"unloads"`
	UnloadedInUse int `json:"unloaded-in-use"` // requests ended by an unload
	FencedOrders  int `json:"fenced-orders"`
	AfterLeaving  int `json:"after-leaving"` // requests begun more than 2 s after the engine began to leave
	Restarts      int `json:"restarts"`
	Steps         int `json:"steps"`         // steps with work running or waiting
	BatchFilled   int `json:"batch-filled"`  // running requests summed over those steps
	BatchPlaces   int `json:"batch-places"`  // batch limits summed over those steps
	TokensMade    int `json:"tokens-made"`   // tokens over all requests
	PrefixHits    int `json:"prefix-hits"`   // requests whose prefix was cached
	MaxWaiting    int `json:"max-waiting"`   // longest queue
	ResumedReads  int `json:"resumed-reads"` // streams read again from an offset
}

type engineSlot struct {
	weights string // what the weight store gave: the true adapter and version
	loading bool
}

type generation struct {
	id        string
	slot      string
	chat      bool
	weights   string
	priority  int
	seq       int
	prefill   int
	limit     int
	tokens    []string
	done      bool
	broken    bool // ended without an end marker
	running   bool
	readers   int
	lastRead  time.Time
	changed   chan struct{}
	breakable bool
}

// Engine is a stand-in of a model engine with continuous batching.
type Engine struct {
	cfg    EngineSettings
	router *mux.Router
	client *http.Client

	mu           sync.Mutex
	faults       EngineFaults
	epoch        int
	fence        uint64
	slots        map[string]*engineSlot
	gens         map[string]*generation
	waiting      []*generation
	running      []*generation
	stepping     bool
	seq          int
	reports      []loadReport
	prefixes     []string
	events       []CacheEvent
	eventSeq     int
	leavingSince time.Time
	counts       EngineCounts
}

type loadReport struct {
	at               time.Time
	running, waiting int
}

// NewEngine returns an empty engine.
func NewEngine(cfg EngineSettings) *Engine {
	e := &Engine{
		cfg: cfg, client: &http.Client{Timeout: time.Minute},
		slots: map[string]*engineSlot{}, gens: map[string]*generation{}, epoch: 1,
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

// SetFaults switches the faults.
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

// Counts returns what the engine counted so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Restart empties the engine: adapters, streams and prefix cache are gone, as
// is the fencing number.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.counts.Restarts++
	e.fence = 0
	e.slots = map[string]*engineSlot{}
	for _, g := range e.gens {
		e.end(g, true)
	}
	e.gens = map[string]*generation{}
	e.waiting, e.running, e.prefixes = nil, nil, nil
}

// end marks a generation as over and wakes its readers. Callers hold mu.
func (e *Engine) end(g *generation, broken bool) {
	if g.done || g.broken {
		return
	}
	g.broken = broken
	g.done = !broken
	g.lastRead = time.Now()
	wake(g)
}

func wake(g *generation) {
	close(g.changed)
	g.changed = make(chan struct{})
}

// EngineStatusSlot is a slot in the status of an engine.
type EngineStatusSlot struct {
	Name     string   `json:"name"`
	Loading  bool     `json:"loading"`
	Requests []string `json:"requests"`
}

// EngineStatusAnswer is the status of an engine. Running and waiting lag.
type EngineStatusAnswer struct {
	Epoch      string             `json:"epoch"`
	Fence      uint64             `json:"fence"`
	Leaving    bool               `json:"leaving"`
	BatchLimit int                `json:"batch-limit"`
	SlotLimit  int                `json:"slot-limit"`
	Running    int                `json:"running"`
	Waiting    int                `json:"waiting"`
	Slots      []EngineStatusSlot `json:"slots"`
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	a := EngineStatusAnswer{
		Epoch: fmt.Sprint(e.epoch), Fence: e.fence, Leaving: e.faults.Leaving,
		BatchLimit: e.cfg.BatchLimit, SlotLimit: e.cfg.SlotLimit, Slots: []EngineStatusSlot{},
	}
	a.Running, a.Waiting = e.laggingLoad(time.Now())
	for name, s := range e.slots {
		slot := EngineStatusSlot{Name: name, Loading: s.loading, Requests: []string{}}
		for _, g := range e.gens {
			if g.slot == name && !g.done && !g.broken {
				slot.Requests = append(slot.Requests, g.id)
			}
		}
		a.Slots = append(a.Slots, slot)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

// laggingLoad records the load now and returns the newest record that is at
// least the lag old.
func (e *Engine) laggingLoad(now time.Time) (running, waiting int) {
	e.reports = append(e.reports, loadReport{now, len(e.running), len(e.waiting)})
	lag := e.cfg.ReportLag + time.Duration(e.faults.ReportLagMS)*time.Millisecond
	first := 0
	for i, r := range e.reports {
		if now.Sub(r.at) >= lag {
			first = i
		}
	}
	e.reports = e.reports[first:]
	return e.reports[0].running, e.reports[0].waiting
}

type engineOrder struct {
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

// fenced reads an order and refuses it when its fencing number is old.
func (e *Engine) fenced(w http.ResponseWriter, r *http.Request) (engineOrder, bool) {
	var o engineOrder
	if !readJSON(w, r, &o) {
		return o, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.CheckFence {
		return o, true
	}
	if o.Fence < e.fence {
		e.counts.FencedOrders++
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

func (e *Engine) raiseFence(w http.ResponseWriter, r *http.Request) { e.fenced(w, r) }

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := e.fenced(w, r)
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
	weights, err := e.fetch(o.Name)
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

// fetch reads the weights that a load name asks for from the weight store.
func (e *Engine) fetch(name string) (string, error) {
	full, _, _ := strings.Cut(name, ":")
	req, err := http.NewRequest(http.MethodGet, "http://"+e.cfg.Platform+"/weights/"+full, http.NoBody)
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
	o, ok := e.fenced(w, r)
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
	for _, g := range e.gens {
		if g.slot == o.Name && !g.done && !g.broken {
			e.counts.UnloadedInUse++
			e.end(g, true)
		}
	}
	e.drop(func(g *generation) bool { return g.broken })
}

// drop removes generations from the batch and the queue. Callers hold mu.
func (e *Engine) drop(gone func(*generation) bool) {
	keep := func(gs []*generation) []*generation {
		var out []*generation
		for _, g := range gs {
			if !gone(g) {
				out = append(out, g)
			}
		}
		return out
	}
	e.running, e.waiting = keep(e.running), keep(e.waiting)
}
