package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["two-models"] = twoModels }

// Sizes and times of the case: two models, of which a server holds one.
const (
	modelMB       = 42700
	serverMB      = 44800
	smallAdapter  = 66
	places        = 18
	modelEvents   = 6 // of a stream
	coldModelTime = 2100 * time.Millisecond
	warmModelTime = 840 * time.Millisecond
	engineCount   = 9
	modelReport   = 300 * time.Millisecond  // age of the reports
	crashInterval = 2500 * time.Millisecond // between two faults, each of two engines
	crashRounds   = 33
	downTime      = 300 * time.Millisecond
	adapterRange  = 90 // adapters of each model that are asked for
	askInterval   = 8 * time.Millisecond
)

// modelEngine is a stand-in for an engine of a service with two models.
type modelEngine struct {
	rec            *recorder
	store          *store
	id, zone, addr string

	mu       sync.Mutex
	born     int64
	beats    int
	down     bool
	listener net.Listener
	server   *http.Server
	loaded   map[string]time.Time // when a model is loaded
	held     map[string]bool      // models that it has held
	adapters map[string]*adapter  // by MODEL/NAME
	sequence int
	reports  []timedReport
	overload []string
}

func startModelEngine(rec *recorder, st *store, id, zone, ip, model string) (*modelEngine, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &modelEngine{rec: rec, store: st, id: id, zone: zone, addr: l.Addr().String(), held: map[string]bool{model: true}}
	e.begin(l, model)
	go func() {
		for {
			time.Sleep(beatInterval)
			e.writeEntry()
		}
	}()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			e.takeReport()
		}
	}()
	return e, nil
}

func (e *modelEngine) begin(l net.Listener, model string) {
	e.mu.Lock()
	e.born, e.beats, e.down, e.listener = time.Now().UnixMilli(), 0, false, l
	e.loaded, e.adapters, e.sequence, e.reports = map[string]time.Time{}, map[string]*adapter{}, 0, nil
	if model != "" {
		e.loaded[model] = time.Now()
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	srv := e.server
	e.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	e.writeEntry()
}

// end ends the process; another one starts under the same id, empty.
func (e *modelEngine) end(why string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	srv, l := e.server, e.listener
	e.mu.Unlock()
	e.rec.printf("crash  %s: %s", e.id, why)
	_ = l.Close()
	_ = srv.Close()
	time.Sleep(downTime)
	next, err := net.Listen("tcp", e.addr)
	if err != nil {
		e.rec.summary("cannot listen again: %v", err)
		return
	}
	e.begin(next, "")
}

func (e *modelEngine) models(now time.Time) []map[string]any {
	out := []map[string]any{}
	for m, at := range e.loaded {
		if now.Before(at) {
			continue
		}
		names := []string{}
		for k, a := range e.adapters {
			if model, name, _ := strings.Cut(k, "/"); model == m && !now.Before(a.readyAt) {
				names = append(names, fmt.Sprintf("%s@%d", name, a.version))
			}
		}
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": names})
	}
	return out
}

func (e *modelEngine) busy(now time.Time) bool {
	for _, at := range e.loaded {
		if now.Before(at) {
			return true
		}
	}
	return false
}

func (e *modelEngine) writeEntry() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.beats++
	value, _ := json.Marshal(map[string]any{
		"service": "assistant", "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "stage": "both", "models": e.models(time.Now()), "sequence": e.beats, "born": e.born,
	})
	e.mu.Unlock()
	e.store.put("servers", e.id, value)
}

func (e *modelEngine) takeReport() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	now := time.Now()
	pending := []string{}
	for k, a := range e.adapters {
		if now.Before(a.readyAt) {
			pending = append(pending, fmt.Sprintf("%s@%d", k, a.version))
		}
	}
	body, _ := json.Marshal(map[string]any{
		"stage": "both", "models": e.models(now), "busy": e.busy(now), "sequence": e.sequence, "queued": 0, "active": 0,
		"kvUsed": 0, "kvTotal": 251415, "handles": 0, "pending": pending, "born": e.born,
	})
	e.reports = append(e.reports, timedReport{now, body})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= modelReport {
		e.reports = e.reports[1:]
	}
}

func (e *modelEngine) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Chestnutstream-Instance-Id", e.id)
	if request := r.Header.Get("X-Chestnutstream-Request-Id"); request != "" {
		w.Header().Set("X-Chestnutstream-Request-Id", request)
	}
	if want := r.Header.Get("X-Chestnutstream-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		body := []byte("{}")
		if len(e.reports) > 0 {
			body = e.reports[0].body
		}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	case "/order":
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		status := e.execute(o)
		sequence, models := e.sequence, len(e.loaded)
		e.mu.Unlock()
		expected := -1
		if o.ExpectedRev != nil {
			expected = *o.ExpectedRev
		}
		e.rec.printf("order  %s %s/%s to %s by %s (expects %d): %d, sequence %d, %d models", o.Operation, o.Model, o.Adapter, e.id, o.Holder, expected, status, sequence, models)
		if models > 1 {
			e.mu.Lock()
			why := fmt.Sprintf("%s was ordered to load %s beside another model: %d MB, it holds %d MB", e.id, o.Model, 2*modelMB, serverMB)
			e.overload = append(e.overload, why)
			e.mu.Unlock()
			e.rec.summary("LIMIT: %s", why)
			go e.end("too many weights")
		}
		w.WriteHeader(status)
	default:
		e.stream(w, r)
	}
}

func (e *modelEngine) execute(o order) int {
	now := time.Now()
	_, present := e.loaded[o.Model]
	switch {
	case o.Adapter == "" && present && !e.busy(now):
		return http.StatusOK
	case e.busy(now), o.ExpectedRev != nil && *o.ExpectedRev != e.sequence && o.Adapter == "":
		return http.StatusConflict
	case o.Adapter == "":
		load := coldModelTime
		if e.held[o.Model] {
			load = warmModelTime
		}
		e.sequence++
		e.loaded[o.Model], e.held[o.Model] = now.Add(load), true
		return http.StatusAccepted
	}
	k := o.Model + "/" + o.Adapter
	a := e.adapters[k]
	switch {
	case o.Operation == "load" && a != nil:
		if now.Before(a.readyAt) {
			return http.StatusAccepted
		}
		return http.StatusOK
	case o.Operation == "unload" && a == nil:
		return http.StatusOK
	case !present, o.ExpectedRev != nil && *o.ExpectedRev != e.sequence, o.Operation == "unload" && a.running > 0:
		return http.StatusConflict
	}
	e.sequence++
	if o.Operation == "unload" {
		delete(e.adapters, k)
		return http.StatusOK
	}
	e.adapters[k] = &adapter{version: max(o.Version, 1), readyAt: now.Add(adapterLoadTime)}
	return http.StatusAccepted
}

func (e *modelEngine) stream(w http.ResponseWriter, r *http.Request) {
	k := r.Header.Get("X-Chestnutstream-Model")
	model, _, _ := strings.Cut(k, "/")
	e.mu.Lock()
	a := e.adapters[k]
	at, present := e.loaded[model]
	if !present || time.Now().Before(at) || a == nil || time.Now().Before(a.readyAt) {
		e.mu.Unlock()
		w.Header().Set("X-Chestnutstream-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.running++
	e.mu.Unlock()
	e.rec.printf("run    %s for %s by %s", r.Header.Get("X-Chestnutstream-Request-Id"), k, e.id)
	defer func() { e.mu.Lock(); a.running--; e.mu.Unlock() }()
	w.Header().Set("X-Chestnutstream-Server-Signature", e.id)
	w.Header().Set("X-Chestnutstream-Weight-Versions", strconv.Itoa(a.version))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= modelEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(25 * time.Millisecond):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, k); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// twoModels: engines crash and start again under their ids, empty. No engine may be ordered
// to load the second model beside the first.
func twoModels(rec *recorder, trouble bool) error {
	d, err := newDeployment(rec, 4)
	if err != nil {
		return err
	}
	defer d.close()
	var engines []*modelEngine
	for i := range engineCount {
		e, err := startModelEngine(rec, d.store, fmt.Sprintf("i-llm-%d", i+1), zones[i%4], fmt.Sprintf("127.0.2.%d", i+1), fmt.Sprintf("m%d", 1+i%2))
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	var cfg map[string]any
	_ = json.Unmarshal(assistantConfig(engineSpec{model: "m1", modelMB: modelMB, weightsMB: serverMB, adapterMB: smallAdapter, adapterSlots: places, adapters: 3000, slots: 64}, streamRoute{timeoutMS: 6000, targetMS: 500, gapMS: 400, attempts: 1}), &cfg)
	engine := cfg["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	first := engine["models"].([]any)[0].(map[string]any)
	first["loadTimeS"], first["diskLoadS"] = coldModelTime.Seconds(), warmModelTime.Seconds()
	second := map[string]any{}
	for k, v := range first {
		second[k] = v
	}
	second["name"] = "m2"
	engine["models"] = append(engine["models"].([]any), second)
	b, _ := json.Marshal(cfg)
	d.store.put("op", "config", b)
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	c := &modelClients{d: d, client: &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	go c.play(stop)
	time.Sleep(4 * time.Second)
	for i := range crashRounds {
		if trouble {
			go engines[2*i%engineCount].end("fault")
			go engines[(2*i+1)%engineCount].end("fault")
		}
		time.Sleep(crashInterval)
	}
	close(stop)
	time.Sleep(time.Second)
	broken := 0
	for _, e := range engines {
		e.mu.Lock()
		broken += len(e.overload)
		e.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.summary("%d orders over the weights; %d of %d streams complete", broken, c.served, c.n)
	if broken > 0 {
		return errBroken
	}
	if c.served < c.n/4 {
		return fmt.Errorf("hardly any stream was served")
	}
	return nil
}

// modelClients ask for streams of adapters of both models in turn.
type modelClients struct {
	d      *deployment
	client *http.Client

	mu        sync.Mutex
	n, served int
}

func (c *modelClients) play(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(askInterval):
		}
		go c.ask(i)
	}
}

func (c *modelClients) ask(i int) {
	e := c.d.edges[i%len(c.d.edges)]
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.frontend+"/ask/1", strings.NewReader("p"))
	r.Host = "ask.example"
	id := fmt.Sprintf("q-%06d", i)
	r.Header.Set("X-Chestnutstream-Request-Id", id)
	r.Header.Set("X-Chestnutstream-Model", fmt.Sprintf("m%d/a%d", 1+i%2, 1+(i*7)%adapterRange))
	r.Header.Set("X-Chestnutstream-Token-Count", "491,70")
	r.Header.Set("X-Chestnutstream-Deadline-Ms", "6000")
	c.d.rec.printf("send   %s to %s", id, e.name)
	status, events := 0, 0
	resp, err := c.client.Do(r)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, events, err = resp.StatusCode, strings.Count(string(body), "\n\n"), readErr
	}
	c.d.rec.printf("answer %s %d, %d events, %v", id, status, events, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	if err == nil && status == http.StatusOK && events == modelEvents {
		c.served++
	}
}
