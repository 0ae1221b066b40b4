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

// PlatformSettings are the sizes of a platform stand-in.
type PlatformSettings struct {
	LoadsPerSecond  float64       // weight store: loads a second
	LoadBurst       int           // weight store: loads at once at full speed
	LoadTime        time.Duration // time of one load while at most LoadsInFlight are in flight
	LoadsInFlight   int           // above it a load takes longer in proportion
	WritesPerSecond float64
	ReadsPerSecond  float64
	ListLag         time.Duration // lag of the list of instances
	Seed            uint64
}

// DefaultPlatformSettings returns the Syndesmos sizes.
func DefaultPlatformSettings() PlatformSettings {
	return PlatformSettings{
		LoadsPerSecond: 3, LoadBurst: 2, LoadTime: 250 * time.Millisecond, LoadsInFlight: 16,
		WritesPerSecond: 400, ReadsPerSecond: 2000, ListLag: 2 * time.Second, Seed: 1,
	}
}

// PlatformFaults are switched at run time by PUT /faults on the platform.
type PlatformFaults struct {
	StoreDown       bool    `json:"store-down"`
	StoreDelayMS    int     `json:"store-delay-ms"`
	LostAnswers     float64 `json:"lost-answers"`      // share of writes whose answer is lost after they took effect
	LoadFailures    float64 `json:"load-failures"`     // share of loads that fail
	FailingAdapter  string  `json:"failing-adapter"`   // loads of this adapter always fail
	CutZones        string  `json:"cut-zones"`         // comma-separated zones that cannot reach the platform
	ListDown        bool    `json:"list-down"`         // the list of instances does not answer
	WeightStoreDown bool    `json:"weight-store-down"` // no adapter can be loaded
}

// PlatformCounts is what a platform counted.
type PlatformCounts struct {
	Writes        int `json:"writes"`
	Reads         int `json:"reads"`
	Conflicts     int `json:"conflicts"`
	LostAnswers   int `json:"lost-answers"`
	Loads         int `json:"loads"`
	LoadFailures  int `json:"load-failures"`
	LoadsSlowed   int `json:"loads-slowed"`
	MaxInFlight   int `json:"max-in-flight"`
	OverRate      int `json:"over-rate"`
	MaxOfListRows int `json:"list-rows"`
}

// InstanceRow is a row of the platform's list of instances.
type InstanceRow struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"availability-zone"`
	Role    string `json:"role"`
	State   string `json:"state"`
}

type listedInstance struct {
	row     InstanceRow
	visible time.Time
	before  *InstanceRow
	misses  int
}

// Platform is a stand-in of the platform's table service, object store, weight
// store and list of instances.
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
	r.Use(p.faulty)
	p.store.route(r, p.write, p.read)
	r.HandleFunc("/weights/{name}", p.weights).Methods(http.MethodGet)
	r.HandleFunc("/faults", p.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	p.router = r
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Counts returns what the platform counted so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetFaults switches the faults.
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

// faulty drops the requests that a fault keeps from the platform: the
// connection is closed without an answer.
func (p *Platform) faulty(next http.Handler) http.Handler {
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

// write limits, counts and, by a fault, loses the answers of transactions. Those
// of the list of instances go to the list.
func (p *Platform) write(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.writes.Wait(r.Context()) != nil {
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if p.registered(body) {
			writeJSON(w, http.StatusOK, StoreAnswer{})
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(answer, r)
		if p.counted(answer.status) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
	})
}

// counted counts a transaction and reports whether its answer is lost.
func (p *Platform) counted(status int) (lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes++
	if status != http.StatusOK {
		p.counts.Conflicts++
		return false
	}
	lost = p.faults.LostAnswers > 0 && p.rng.Float64() < p.faults.LostAnswers
	if lost {
		p.counts.LostAnswers++
	}
	return lost
}

// registered takes a transaction that writes to the list of instances.
func (p *Platform) registered(body []byte) bool {
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

// read limits and counts reads. Those of the list of instances show the list,
// lagging.
func (p *Platform) read(next http.Handler) http.Handler {
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
		a := StoreAnswer{Rows: []StoreRow{}}
		for _, row := range p.List() {
			value, err := json.Marshal(row)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			a.Rows = append(a.Rows, StoreRow{Table: tableInstances, Key: row.Name, Value: value})
		}
		writeJSON(w, http.StatusOK, a)
	})
}

// tableInstances is the table whose rows are the list of instances.
const tableInstances = "instances"

// bufferedAnswer holds an answer back until it is known whether it is lost.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedAnswer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedAnswer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedAnswer) Write(p []byte) (int, error) {
	n, err := b.body.Write(p)
	if err != nil {
		return n, fmt.Errorf("buffer answer: %w", err)
	}
	return n, nil
}

// List returns the list as the platform shows it now, lagging.
func (p *Platform) List() []InstanceRow {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []InstanceRow{}
	for _, in := range p.instances {
		switch {
		case !now.Before(in.visible):
			if in.row.State != "gone" {
				rows = append(rows, in.row)
			}
		case in.before != nil:
			rows = append(rows, *in.before)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	p.counts.MaxOfListRows = max(p.counts.MaxOfListRows, len(rows))
	return rows
}

// Register adds or changes a row of the list; it shows after the lag. A new
// instance shows at once.
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
	before := old.row
	p.instances[row.Name] = &listedInstance{row: row, visible: time.Now().Add(p.cfg.ListLag), before: &before}
}

// WatchInstances probes the listed instances by GET /healthz until ctx ends,
// as the platform does for its list and its balancer. Three missed probes take
// an instance off the list.
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
				p.noteProbe(row, probe(client, row.Address))
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

func (p *Platform) noteProbe(row InstanceRow, ok bool) {
	p.mu.Lock()
	in := p.instances[row.Name]
	if in == nil || in.row.Address != row.Address {
		p.mu.Unlock()
		return
	}
	if ok {
		in.misses = 0
		p.mu.Unlock()
		return
	}
	in.misses++
	gone := in.misses >= 3
	p.mu.Unlock()
	if gone {
		row.State = "gone"
		p.Register(row)
	}
}

// weights serves one adapter load. The store hands out LoadsPerSecond tokens;
// while more than LoadsInFlight loads are in flight each takes longer in
// proportion.
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
	slow := 1.0
	if p.inFlight > p.cfg.LoadsInFlight {
		slow = float64(p.inFlight) / float64(p.cfg.LoadsInFlight)
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
	timer.Sleep(r.Context(), wait+time.Duration(slow*float64(p.cfg.LoadTime)))
	if fail {
		p.mu.Lock()
		p.counts.LoadFailures++
		p.mu.Unlock()
		http.Error(w, "the weights could not be read", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, name)
}
