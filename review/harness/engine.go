package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineSpec describes the engines of a service, as the configuration does.
type engineSpec struct {
	model        string
	modelMB      float64
	weightsMB    float64
	adapterMB    float64
	adapterSlots int
	adapters     int
	slots        int
	events       int           // of a stream
	gap          time.Duration // between them
}

// Times of an engine.
const (
	reportAge       = 200 * time.Millisecond
	adapterLoadTime = 250 * time.Millisecond
	recentLoadTime  = adapterLoadTime / 10
	modelLoadTime   = 570 * time.Millisecond
	beatInterval    = 1200 * time.Millisecond
)

type adapter struct {
	version int
	readyAt time.Time
	running int
}

// engine is a stand-in for a model engine. It carries out orders as the users' pages say,
// and crashes when it is ordered to load more than it holds.
type engine struct {
	rec     *recorder
	store   *store
	spec    engineSpec
	name    string
	zone    string
	address string

	mu        sync.Mutex
	life      int
	id        string
	born      int64
	beats     int
	down      bool
	listener  net.Listener
	server    *http.Server
	modelAt   time.Time // when the model is loaded; zero: it is not
	hadModel  bool
	adapters  map[string]*adapter
	recent    map[string]bool
	sequence  int
	unloading string
	reports   []timedReport
	crashes   []string
	runs      map[string]int // by request id
	faults    engineFaults
	answers   int // streams begun while faults are in force
	broken    int // of these, broken off
	stop      chan struct{}
}

// engineFaults are the faults of an engine's answers.
type engineFaults struct {
	failShare  float64 // of the requests fail with the server's own 500
	breakShare float64 // of the answers end in the middle of an event, and have no length
}

func (e *engine) setFaults(f engineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.answers, e.broken = f, 0, 0
}

type timedReport struct {
	at   time.Time
	body []byte
}

func startEngine(rec *recorder, st *store, spec engineSpec, name, zone, ip string) (*engine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &engine{rec: rec, store: st, spec: spec, name: name, zone: zone, address: l.Addr().String(), recent: map[string]bool{}, runs: map[string]int{}, stop: make(chan struct{})}
	e.begin(l, true)
	go e.beat()
	go e.takeReports()
	return e, nil
}

// begin begins a lifetime. At the start of the deployment the model is in place.
func (e *engine) begin(l net.Listener, withModel bool) {
	e.mu.Lock()
	e.life++
	e.id, e.born, e.beats, e.down, e.listener = fmt.Sprintf("%s-%d", e.name, e.life), time.Now().UnixMilli(), 0, false, l
	e.adapters, e.sequence, e.unloading, e.reports, e.modelAt = map[string]*adapter{}, 0, "", nil, time.Time{}
	if withModel {
		e.modelAt = time.Now()
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	srv := e.server
	e.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	e.writeEntry()
}

func (e *engine) beat() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(beatInterval):
			e.writeEntry()
		}
	}
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.beats++
	value, _ := json.Marshal(map[string]any{
		"service": "assistant", "address": e.address, "zone": e.zone, "version": "v1", "slots": e.spec.slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": e.models(time.Now()), "sequence": e.beats, "born": e.born,
	})
	id := e.id
	e.mu.Unlock()
	e.store.put("servers", id, value)
}

// models lists what is loaded. Callers hold mu.
func (e *engine) models(now time.Time) []map[string]any {
	if e.modelAt.IsZero() || now.Before(e.modelAt) {
		return []map[string]any{}
	}
	loaded := []string{}
	for name, a := range e.adapters {
		if !now.Before(a.readyAt) {
			loaded = append(loaded, fmt.Sprintf("%s@%d", name, a.version))
		}
	}
	return []map[string]any{{"name": e.spec.model, "version": 1, "adapters": loaded}}
}

// takeReports keeps reports, which are handed out when they are reportAge old.
func (e *engine) takeReports() {
	for {
		select {
		case <-e.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		e.mu.Lock()
		if !e.down {
			now := time.Now()
			pending, active := []string{}, 0
			for name, a := range e.adapters {
				active += a.running
				if now.Before(a.readyAt) {
					pending = append(pending, fmt.Sprintf("%s/%s@%d", e.spec.model, name, a.version))
				}
			}
			body, _ := json.Marshal(map[string]any{
				"stage": "both", "models": e.models(now), "busy": !e.modelAt.IsZero() && now.Before(e.modelAt), "sequence": e.sequence,
				"queued": 0, "active": active, "kvUsed": 0, "kvTotal": 251415, "handles": 0, "pending": pending, "born": e.born,
			})
			e.reports = append(e.reports, timedReport{now, body})
			for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= reportAge {
				e.reports = e.reports[1:]
			}
		}
		e.mu.Unlock()
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	w.Header().Set("X-Chestnutstream-Instance-Id", id)
	if request := r.Header.Get("X-Chestnutstream-Request-Id"); request != "" {
		w.Header().Set("X-Chestnutstream-Request-Id", request)
	}
	if want := r.Header.Get("X-Chestnutstream-Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.mu.Lock()
		body := []byte("{}")
		if len(e.reports) > 0 {
			body = e.reports[0].body
		}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	case r.URL.Path == "/order" && r.Method == http.MethodPost:
		e.serveOrder(w, r)
	default:
		e.serveStream(w, r, id)
	}
}

type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	ExpectedRev  *int   `json:"expectedRev"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status, crash := e.execute(o)
	occupied := len(e.adapters)
	id := e.id
	e.mu.Unlock()
	e.rec.printf("order  %s %s %s@%d to %s by %s: %d, %d adapters loaded or loading", o.Operation, o.Model, o.Adapter, o.Version, id, o.Holder, status, occupied)
	if crash != "" {
		go e.crash(crash)
	}
	w.WriteHeader(status)
}

// execute carries out an order. Callers hold mu.
func (e *engine) execute(o order) (status int, crash string) {
	now := time.Now()
	if o.Adapter == "" {
		if !e.modelAt.IsZero() || o.Operation != "load" {
			return http.StatusOK, ""
		}
		if o.ExpectedRev != nil && *o.ExpectedRev != e.sequence {
			return http.StatusConflict, ""
		}
		e.sequence++
		e.modelAt = now.Add(modelLoadTime)
		return http.StatusAccepted, ""
	}
	a := e.adapters[o.Adapter]
	version := max(o.Version, 1)
	switch {
	case o.Operation == "load" && a != nil && a.version >= version:
		if now.Before(a.readyAt) {
			return http.StatusAccepted, ""
		}
		return http.StatusOK, ""
	case o.Operation == "unload" && a == nil:
		return http.StatusOK, ""
	case o.Operation == "unload" && e.unloading == o.Adapter:
		return http.StatusAccepted, ""
	case e.unloading != "", e.modelAt.IsZero(), now.Before(e.modelAt), o.ExpectedRev != nil && *o.ExpectedRev != e.sequence:
		return http.StatusConflict, ""
	}
	e.sequence++
	if o.Operation == "unload" {
		if a.running > 0 {
			e.unloading = o.Adapter
			return http.StatusAccepted, ""
		}
		delete(e.adapters, o.Adapter)
		e.recent[o.Adapter] = true
		return http.StatusOK, ""
	}
	load := adapterLoadTime
	if e.recent[o.Adapter] {
		load = recentLoadTime
	}
	e.adapters[o.Adapter] = &adapter{version: version, readyAt: now.Add(load)}
	n := len(e.adapters)
	if mb := e.spec.modelMB + float64(n)*e.spec.adapterMB; mb > e.spec.weightsMB || n > e.spec.adapterSlots {
		crash = fmt.Sprintf("%s was ordered to load %s: %.0f MB of weights and %d adapters, it holds %.0f MB and %d", e.id, o.Adapter, mb, n, e.spec.weightsMB, e.spec.adapterSlots)
	}
	return http.StatusAccepted, crash
}

// crash ends the process. Its entry expires, and another one starts empty.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.crashes = append(e.crashes, why)
	srv, l, id := e.server, e.listener, e.id
	e.mu.Unlock()
	e.rec.summary("LIMIT: %s", why)
	_ = l.Close()
	_ = srv.Close()
	time.Sleep(3 * time.Second)
	next, err := net.Listen("tcp", e.address)
	if err != nil {
		return
	}
	e.begin(next, false)
	time.Sleep(beatInterval)
	e.store.remove("servers", id)
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	request := r.Header.Get("X-Chestnutstream-Request-Id")
	model, name, _ := strings.Cut(r.Header.Get("X-Chestnutstream-Model"), "/")
	e.mu.Lock()
	a := e.adapters[name]
	status := 0
	switch {
	case model != e.spec.model || e.modelAt.IsZero() || time.Now().Before(e.modelAt) || a == nil:
		status = http.StatusMisdirectedRequest
	case r.Header.Get("X-Chestnutstream-Expect-Version") != "" && r.Header.Get("X-Chestnutstream-Expect-Version") != strconv.Itoa(a.version):
		status = http.StatusMisdirectedRequest
	case time.Now().Before(a.readyAt) || e.unloading == name:
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		e.mu.Unlock()
		w.Header().Set("X-Chestnutstream-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	a.running++
	e.runs[request]++
	version := a.version
	fail := rand.Float64() < e.faults.failShare
	breakOff := false
	if !fail && e.faults.breakShare > 0 {
		e.answers++
		if breakOff = float64(e.broken+1) <= e.faults.breakShare*float64(e.answers); breakOff {
			e.broken++
		}
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.running--
		if e.unloading == name && a.running == 0 {
			delete(e.adapters, name)
			e.recent[name], e.unloading = true, ""
		}
	}()
	e.rec.printf("run    %s for %s by %s", request, name, id)
	h := w.Header()
	h.Set("X-Chestnutstream-Server-Signature", id+"."+request)
	h.Set("X-Chestnutstream-Weight-Versions", strconv.Itoa(version))
	if fail {
		e.rec.printf("fault  %s fails %s with 500", id, request)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if breakOff {
		e.breakOff(w, request, name)
		return
	}
	from := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last
	}
	out := http.NewResponseController(w)
	for i := from + 1; i <= e.spec.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.spec.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s for %s\n\n", i, i, request, name); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
	}
}

// breakOff sends an answer without a length, which ends in the middle of its third event.
func (e *engine) breakOff(w http.ResponseWriter, request, name string) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	header.Set("Connection", "close")
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(&b)
	b.WriteString("\r\n")
	_, _ = conn.Write(b.Bytes())
	for i := 1; i <= 3; i++ {
		time.Sleep(e.spec.gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s for %s\n\n", i, i, request, name)
		if i == 3 {
			event = event[:len(event)/2]
		}
		_, _ = conn.Write([]byte(event))
	}
	e.rec.printf("fault  %s stops in the middle of event 3 of %s", e.name, request)
}

// close ends the engine for good.
func (e *engine) close() {
	close(e.stop)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.server.Shutdown(ctx)
}
