package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/chestnutstream/chestnutstream/timer"
)

// PlatformSettings configure a Platform.
type PlatformSettings struct {
	LoadsPerSecond  float64       // rate limit of the weight store
	LoadBurst       int           // burst of the weight store's rate limit
	LoadTime        time.Duration // duration of a load while at most LoadsInFlight are in flight
	LoadsInFlight   int           // more loads in flight slow each one down in proportion
	WritesPerSecond float64
	ReadsPerSecond  float64
	ListLag         time.Duration // delay until a change is visible in the instance list
	Seed            uint64
}

// DefaultPlatformSettings returns the limits of the Syndesmos platform.
func DefaultPlatformSettings() PlatformSettings {
	return PlatformSettings{
		LoadsPerSecond: 3, LoadBurst: 2, LoadTime: 250 * time.Millisecond, LoadsInFlight: 16,
		WritesPerSecond: 400, ReadsPerSecond: 2000, ListLag: 2 * time.Second, Seed: 1,
	}
}

// PlatformFaults are the faults that a Platform injects. PUT /faults replaces
// them at run time.
type PlatformFaults struct {
	StoreDown       bool    `json:"store-down"`
	StoreDelayMS    int     `json:"store-delay-ms"`
	LostResponses   float64 `json:"lost-answers"`      // fraction of writes that take effect but get no response
	LoadFailures    float64 `json:"load-failures"`     // fraction of loads that fail
	FailingAdapter  string  `json:"failing-adapter"`   // adapter whose loads always fail
	CutZones        string  `json:"cut-zones"`         // comma-separated availability zones that cannot reach the platform
	ListDown        bool    `json:"list-down"`         // the instance list is unavailable
	WeightStoreDown bool    `json:"weight-store-down"` // the weight store is unavailable
}

// PlatformCounts holds the counters of a Platform.
type PlatformCounts struct {
	Writes        int `json:"writes"`
	Reads         int `json:"reads"`
	Conflicts     int `json:"conflicts"`
	LostResponses int `json:"lost-answers"`
	Loads         int `json:"loads"`
	LoadFailures  int `json:"load-failures"`
	LoadsSlowed   int `json:"loads-slowed"`
	MaxInFlight   int `json:"max-in-flight"`
	OverRate      int `json:"over-rate"`
	MaxListRows   int `json:"list-rows"`
}

// InstanceRow is a row of the platform's instance list.
type InstanceRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"availability-zone"`
	Role    string `json:"role"`
	State   string `json:"state"`
}

type listedInstance struct {
	row          InstanceRow
	visibleAt    time.Time
	previous     *InstanceRow
	missedProbes int
}

// Platform is a stand-in for the platform's table service, object store, weight
// store and instance list.
type Platform struct {
	cfg    PlatformSettings
	router *mux.Router
	loads  *rate.Limiter
	writes *rate.Limiter
	reads  *rate.Limiter
	store  *Store

	mu        sync.Mutex
	faults    PlatformFaults
	instances map[string]*listedInstance
	inFlight  int
	counts    PlatformCounts
	rng       *rand.Rand
}

// NewPlatform returns a platform with empty tables.
func NewPlatform(cfg PlatformSettings) *Platform {
	p := &Platform{
		cfg:       cfg,
		loads:     rate.NewLimiter(rate.Limit(cfg.LoadsPerSecond), max(cfg.LoadBurst, 1)),
		writes:    rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), int(cfg.WritesPerSecond)+1),
		reads:     rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)+1),
		store:     NewStore(),
		instances: map[string]*listedInstance{},
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	r := mux.NewRouter().UseEncodedPath()
	r.Use(p.injectFaults)
	p.store.addRoutes(r, p.limitWrites, p.limitReads)
	r.HandleFunc("/weights/{name}", p.weights).Methods(http.MethodGet)
	r.HandleFunc("/faults", p.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	p.router = r
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Store returns the table service and object store.
func (p *Platform) Store() *Store { return p.store }

// Counts returns a copy of the counters.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if readJSON(w, r, &f) {
		p.SetFaults(f)
	}
}

// injectFaults is middleware for the faults that make the platform unreachable or
// slow: it closes the connection without a response, or delays the request.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := p.Faults()
		zone := r.Header.Get("Availability-Zone")
		if zone != "" && f.CutZones != "" && strings.Contains(","+f.CutZones+",", ","+zone+",") {
			panic(http.ErrAbortHandler)
		}
		list := r.URL.Query().Get("table") == tableInstances
		store := !list && (strings.HasPrefix(r.URL.Path, "/rows-") || strings.HasPrefix(r.URL.Path, "/blob-"))
		if store && f.StoreDown || list && f.ListDown {
			panic(http.ErrAbortHandler)
		}
		if store && f.StoreDelayMS > 0 {
			timer.Sleep(r.Context(), time.Duration(f.StoreDelayMS)*time.Millisecond)
		}
		next.ServeHTTP(w, r)
	})
}

// limitWrites is middleware that rate-limits and counts transactions and drops
// responses according to the LostResponses fault. A transaction on the instance list
// is applied to the list instead of the store.
func (p *Platform) limitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.writes.Wait(r.Context()) != nil {
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if p.applyRegistration(body) {
			p.store.stateEra(w.Header())
			writeJSON(w, http.StatusOK, StoreResponse{})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(response, r)
		if p.countWrite(response.status) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(response.status)
		_, _ = w.Write(response.body.Bytes())
	})
}

// countWrite counts a transaction and reports whether its response is lost.
func (p *Platform) countWrite(status int) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if status != http.StatusOK {
		p.counts.Conflicts++
		return false
	}
	lost = p.faults.LostResponses > 0 && p.rng.Float64() < p.faults.LostResponses
	if lost {
		p.counts.LostResponses++
	}
	return lost
}

// applyRegistration applies a transaction on the instance list. It returns false if
// body is not such a transaction.
func (p *Platform) applyRegistration(body []byte) bool {
	var t StoreTransaction
	if err := json.Unmarshal(body, &t); err != nil || len(t.Writes) != 1 || t.Writes[0].Table != tableInstances {
		return false
	}
	var row InstanceRow
	if err := json.Unmarshal(t.Writes[0].Value, &row); err != nil {
		return false
	}
	p.Register(row)
	return true
}

// limitReads is middleware that rate-limits and counts reads. A read of the
// instance list returns the rows of List, which lag.
func (p *Platform) limitReads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.reads.Wait(r.Context()) != nil {
			return
		}
		p.mu.Lock()
		p.counts.Reads++
		p.mu.Unlock()
		if r.URL.Query().Get("table") != tableInstances {
			next.ServeHTTP(w, r)
			return
		}
		response := StoreResponse{Rows: []StoreRow{}}
		for _, row := range p.List() {
			value, err := json.Marshal(row)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			response.Rows = append(response.Rows, StoreRow{Table: tableInstances, Key: row.Name, Value: value})
		}
		p.store.stateEra(w.Header())
		writeJSON(w, http.StatusOK, response)
	})
}

// tableInstances is the table whose rows are the instance list.
const tableInstances = "instances"

// bufferedResponse buffers a response until it is known whether it is lost.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) {
	n, err := b.body.Write(p)
	if err != nil {
		return n, fmt.Errorf("buffer answer: %w", err)
	}
	return n, nil
}

// List returns the visible rows of the instance list, which lag by ListLag, in
// order of name.
func (p *Platform) List() []InstanceRow {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []InstanceRow{}
	for _, in := range p.instances {
		switch {
		case !now.Before(in.visibleAt):
			if in.row.State != "gone" {
				rows = append(rows, in.row)
			}
		case in.previous != nil:
			rows = append(rows, *in.previous)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	p.counts.MaxListRows = max(p.counts.MaxListRows, len(rows))
	return rows
}

// Register adds or changes a row of the instance list. A change becomes visible
// after ListLag, a new instance at once.
func (p *Platform) Register(row InstanceRow) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.instances[row.Name]
	if !ok {
		p.instances[row.Name] = &listedInstance{row: row}
		return
	}
	if old.row == row {
		return
	}
	previous := old.row
	p.instances[row.Name] = &listedInstance{row: row, visibleAt: time.Now().Add(p.cfg.ListLag), previous: &previous}
}

// WatchInstances probes the listed instances with GET /healthz once per period
// until ctx ends, as the platform does for its list and its load balancer. Three
// consecutive failed probes remove an instance from the list.
func (p *Platform) WatchInstances(ctx context.Context, period time.Duration) {
	client := &http.Client{Timeout: period}
	for ctx.Err() == nil {
		timer.Sleep(ctx, period)
		p.mu.Lock()
		rows := make([]InstanceRow, 0, len(p.instances))
		for _, in := range p.instances {
			if in.row.State != "gone" {
				rows = append(rows, in.row)
			}
		}
		p.mu.Unlock()
		var wg sync.WaitGroup
		for _, row := range rows {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.recordProbe(row, probe(client, row.Address))
			}()
		}
		wg.Wait()
	}
}

func probe(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *Platform) recordProbe(row InstanceRow, ok bool) {
	p.mu.Lock()
	in := p.instances[row.Name]
	if in == nil || in.row.Address != row.Address {
		p.mu.Unlock()
		return
	}
	if ok {
		in.missedProbes = 0
		p.mu.Unlock()
		return
	}
	in.missedProbes++
	removed := in.missedProbes >= 3
	p.mu.Unlock()
	if removed {
		row.State = "gone"
		p.Register(row)
	}
}

// weights serves one adapter load. Loads are limited to LoadsPerSecond. While
// more than LoadsInFlight loads are in flight, each takes longer in proportion.
func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	p.mu.Lock()
	if p.faults.WeightStoreDown {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	p.inFlight++
	p.counts.Loads++
	p.counts.MaxInFlight = max(p.counts.MaxInFlight, p.inFlight)
	slowdown := 1.0
	if p.inFlight > p.cfg.LoadsInFlight {
		slowdown = float64(p.inFlight) / float64(p.cfg.LoadsInFlight)
		p.counts.LoadsSlowed++
	}
	adapter, _, _ := strings.Cut(name, "@")
	fail := p.faults.FailingAdapter == adapter || p.faults.LoadFailures > 0 && p.rng.Float64() < p.faults.LoadFailures
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.inFlight--
		p.mu.Unlock()
	}()
	reservation := p.loads.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		p.mu.Lock()
		p.counts.OverRate++
		p.mu.Unlock()
	}
	timer.Sleep(r.Context(), wait+time.Duration(slowdown*float64(p.cfg.LoadTime)))
	if fail {
		p.mu.Lock()
		p.counts.LoadFailures++
		p.mu.Unlock()
		http.Error(w, "the weights could not be read", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, name)
}
