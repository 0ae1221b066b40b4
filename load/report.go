package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream/operator"
	"github.com/chestnutstream/chestnutstream/standin"
)

func isConflict(err error) bool {
	var c *operator.ConflictError
	return errors.As(err, &c)
}

// Quantiles holds quantiles of a metric, in its unit.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

// StandIn holds the counters of the stand-ins, summed over engines and services;
// MaxWaiting is the maximum over the engines.
type StandIn struct {
	Platform     standin.PlatformCounts `json:"platform"`
	Engines      standin.EngineCounts   `json:"engines"`
	OrderRuns    int                    `json:"order-runs"`
	AfterLeaving int                    `json:"after-leaving"`
	Batches      []EngineBatch          `json:"batches"`
}

// EngineBatch holds the batch counters of one engine.
type EngineBatch struct {
	Engine string `json:"engine"`
	Steps  int    `json:"steps"`
	Filled int    `json:"filled"`
	Loads  int    `json:"loads"`
}

// Report is the result of a run. Requests are counted as the callers observed them.
type Report struct {
	Deployment         string               `json:"deployment"`
	Seed               uint64               `json:"seed"`
	Policy             string               `json:"policy"`
	Faults             string               `json:"faults"`
	Duration           string               `json:"duration"`
	Rate               float64              `json:"rate"`
	Requests           int                  `json:"requests"`
	Answered           int                  `json:"answered"`
	Refused            int                  `json:"refused-not-run"`
	Unknown            int                  `json:"unknown"`
	Lost               int                  `json:"lost"`
	Doubled            int                  `json:"doubled"`
	WrongAdapter       int                  `json:"wrong-adapter"`
	Truncated          int                  `json:"truncated"`
	UnloadedInUse      int                  `json:"unloaded-in-use"`
	FalseNotRun        int                  `json:"false-not-run"`
	FalseRan           int                  `json:"false-ran"`
	AfterLeaving       int                  `json:"after-leaving"`
	LateAdoptions      int                  `json:"late-adoptions"`
	ConfigConflicts    int                  `json:"configuration-conflicts"`
	LoadStall          map[string]Quantiles `json:"load-stall-ms"`
	FirstToken         map[string]Quantiles `json:"first-token-ms"`
	Goodput            map[string]float64   `json:"answered-share"`
	ErrorCodes         map[string]int       `json:"error-codes"`
	ErrorSamples       map[string]string    `json:"error-samples"` // one error message for each code
	Efficiency         float64              `json:"batch-efficiency"`
	Loads              int                  `json:"loads"`
	LoadFailures       int                  `json:"load-failures"`
	ConfigLag          Quantiles            `json:"configuration-lag-ms"`
	StandIn            StandIn              `json:"stand-in"`
	LoadStallPerBucket []float64            `json:"load-stall-p95-by-5s"`
	AnsweredPerBucket  []int                `json:"answered-by-5s"`
}

// Violations returns the invariants that were violated, with the count of violations.
func (r *Report) Violations() []string {
	invariants := []struct {
		name  string
		count int
	}{
		{"lost", r.Lost},
		{"doubled", r.Doubled},
		{"wrong-adapter", r.WrongAdapter},
		{"truncated", r.Truncated},
		{"unloaded-in-use", r.UnloadedInUse},
		{"false-not-run", r.FalseNotRun},
		{"false-ran", r.FalseRan},
		{"after-leaving", r.AfterLeaving},
		{"late-adoptions", r.LateAdoptions},
	}
	var out []string
	for _, invariant := range invariants {
		if invariant.count > 0 {
			out = append(out, fmt.Sprintf("%s: %d", invariant.name, invariant.count))
		}
	}
	return out
}

// maxHistogramMS is the largest value of a histogram, in milliseconds.
const maxHistogramMS = 10 * 60 * 1000

// bucketDuration is the length of the intervals of the time series in a report.
const bucketDuration = 5 * time.Second

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMS, 3) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)), P95: float64(h.ValueAtQuantile(95)),
		P99: float64(h.ValueAtQuantile(99)), Max: float64(h.Max()), Count: h.TotalCount(),
	}
}

// collector collects the observations of callers.
type collector struct {
	mu           sync.Mutex
	spec         Spec
	report       Report
	loadStalls   map[string]*hdrhistogram.Histogram
	firstTokens  map[string]*hdrhistogram.Histogram
	configLag    *hdrhistogram.Histogram
	sent         map[string]int
	answered     map[string]int
	stallBuckets []*hdrhistogram.Histogram
	orders       map[string][]observation
}

func newCollector(spec Spec) *collector {
	c := &collector{
		spec: spec, loadStalls: map[string]*hdrhistogram.Histogram{"all": newHistogram()}, firstTokens: map[string]*hdrhistogram.Histogram{"all": newHistogram()},
		configLag: newHistogram(), sent: map[string]int{}, answered: map[string]int{}, orders: map[string][]observation{},
	}
	c.report.ErrorCodes, c.report.ErrorSamples = map[string]int{}, map[string]string{}
	for _, s := range Deployments() {
		for _, class := range s.Classes {
			c.loadStalls[class.Name], c.firstTokens[class.Name] = newHistogram(), newHistogram()
		}
	}
	return c
}

func (c *collector) recordConflict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.ConfigConflicts++
}

func (c *collector) recordAdoption(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.configLag.RecordValue(lag.Milliseconds())
	if lag > adoptionLimit {
		c.report.LateAdoptions++
	}
}

// addRequest records the observation of a request. offset is its planned arrival
// time, measured from the start of the run.
func (c *collector) addRequest(s observation, offset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	c.sent[s.class]++
	bucket := int(offset / bucketDuration)
	for len(c.stallBuckets) <= bucket {
		c.stallBuckets = append(c.stallBuckets, newHistogram())
		c.report.AnsweredPerBucket = append(c.report.AnsweredPerBucket, 0)
	}
	c.report.countRequest(s)
	if s.complete && !s.truncated {
		c.answered[s.class]++
		c.report.AnsweredPerBucket[bucket]++
		for _, h := range []*hdrhistogram.Histogram{c.firstTokens["all"], c.firstTokens[s.class]} {
			_ = h.RecordValue(s.firstToken.Milliseconds())
		}
	}
	if s.hasStall {
		for _, h := range []*hdrhistogram.Histogram{c.loadStalls["all"], c.loadStalls[s.class], c.stallBuckets[bucket]} {
			_ = h.RecordValue(s.stall.Milliseconds())
		}
	}
}

func (r *Report) countRequest(s observation) {
	if s.code != "" {
		r.ErrorCodes[s.code]++
		r.ErrorSamples[s.code] = s.message
	}
	switch {
	case s.lost:
		r.Lost++
	case s.complete:
		r.Answered++
	case s.refused:
		r.Refused++
	default:
		r.Unknown++
	}
	r.Truncated += boolToInt(s.truncated)
	r.Doubled += boolToInt(s.doubled)
	r.WrongAdapter += boolToInt(s.wrongAdapter)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// addOrder records the observations of all attempts of an order. The last one
// counts as its outcome.
func (c *collector) addOrder(id string, attempts []observation, offset time.Duration) {
	c.addRequest(attempts[len(attempts)-1], offset)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[id] = attempts
}

// finish combines the observations of callers with the counters of the stand-ins.
func (c *collector) finish(plan Plan, d *Deployment) (*Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Deployment, r.Seed, r.Policy, r.Faults = plan.Deployment, plan.Seed, string(plan.Policy), plan.Faults
	r.Duration, r.Rate = plan.Duration.String(), plan.Rate
	r.LoadStall, r.FirstToken, r.Goodput = map[string]Quantiles{}, map[string]Quantiles{}, map[string]float64{}
	for name, h := range c.loadStalls {
		r.LoadStall[name] = quantiles(h)
	}
	for name, h := range c.firstTokens {
		r.FirstToken[name] = quantiles(h)
	}
	for class, n := range c.sent {
		r.Goodput[class] = float64(c.answered[class]) / float64(n)
	}
	for _, h := range c.stallBuckets {
		r.LoadStallPerBucket = append(r.LoadStallPerBucket, float64(h.ValueAtQuantile(95)))
	}
	r.ConfigLag = quantiles(c.configLag)
	var err error
	if r.StandIn.Platform, err = d.platformCounts(); err != nil {
		return nil, err
	}
	for _, s := range d.Engines {
		counts, err := s.engineCounts()
		if err != nil {
			return nil, err
		}
		addEngineCounts(&r.StandIn.Engines, counts)
		r.StandIn.Batches = append(r.StandIn.Batches, EngineBatch{s.Name, counts.Steps, counts.BatchFilled, counts.Loads})
	}
	r.UnloadedInUse = r.StandIn.Engines.UnloadedInUse
	r.AfterLeaving = r.StandIn.Engines.AfterLeaving
	r.Loads, r.LoadFailures = r.StandIn.Engines.Loads, r.StandIn.Engines.LoadFailures
	if r.StandIn.Engines.BatchPlaces > 0 {
		r.Efficiency = float64(r.StandIn.Engines.BatchFilled) / float64(r.StandIn.Engines.BatchPlaces)
	}
	if err := c.checkOrders(&r, d); err != nil {
		return nil, err
	}
	return &r, nil
}

// checkOrders compares the outcomes that callers received for their orders with
// the executions that the plain services counted.
func (c *collector) checkOrders(r *Report, d *Deployment) error {
	runs := map[string]int{}
	for _, s := range d.Services {
		counts, err := s.serviceCounts()
		if err != nil {
			return err
		}
		r.AfterLeaving += counts.AfterLeaving
		for id, n := range counts.Runs {
			runs[id] += n
			r.StandIn.OrderRuns += n
		}
	}
	r.StandIn.AfterLeaving = r.AfterLeaving
	for id, attempts := range c.orders {
		ran, allNotRun := false, true
		for _, s := range attempts {
			ran = ran || s.outcome == "ran"
			allNotRun = allNotRun && s.refused
		}
		switch n := runs[id]; {
		case n > 1:
			r.Doubled++
		case n == 0 && ran:
			r.FalseRan++
		case n == 1 && allNotRun:
			r.FalseNotRun++
		}
	}
	return nil
}

func addEngineCounts(sum *standin.EngineCounts, c standin.EngineCounts) {
	sum.Requests += c.Requests
	sum.Finished += c.Finished
	sum.Cancelled += c.Cancelled
	sum.Refused += c.Refused
	sum.UnknownModel += c.UnknownModel
	sum.Loads += c.Loads
	sum.LoadFailures += c.LoadFailures
	sum.Unloads += c.Unloads
	sum.UnloadedInUse += c.UnloadedInUse
	sum.FencedOrders += c.FencedOrders
	sum.AfterLeaving += c.AfterLeaving
	sum.Restarts += c.Restarts
	sum.Steps += c.Steps
	sum.BatchFilled += c.BatchFilled
	sum.BatchPlaces += c.BatchPlaces
	sum.TokensGenerated += c.TokensGenerated
	sum.PrefixHits += c.PrefixHits
	sum.MaxWaiting = max(sum.MaxWaiting, c.MaxWaiting)
	sum.ResumedReads += c.ResumedReads
}

// Table writes the report as a text table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "deployment\t%s, seed %d, policy %s, faults %q, %s at rate %g\n", r.Deployment, r.Seed, r.Policy, r.Faults, r.Duration, r.Rate)
	fmt.Fprintf(t, "requests\t%d: %d answered, %d refused not-run, %d unknown\n", r.Requests, r.Answered, r.Refused, r.Unknown)
	fmt.Fprintf(t, "rules\tlost %d, doubled %d, wrong-adapter %d, truncated %d, unloaded-in-use %d, false-not-run %d, after-leaving %d, late-adoptions %d\n",
		r.Lost, r.Doubled, r.WrongAdapter, r.Truncated, r.UnloadedInUse, r.FalseNotRun, r.AfterLeaving, r.LateAdoptions)
	fmt.Fprintf(t, "batch efficiency\t%.3f\n", r.Efficiency)
	fmt.Fprintf(t, "loads\t%d, %d failed, %d slowed, at most %d in flight\n", r.Loads, r.LoadFailures, r.StandIn.Platform.LoadsSlowed, r.StandIn.Platform.MaxInFlight)
	fmt.Fprintf(t, "configuration lag\tp50 %.0f ms, max %.0f ms, %d changes, %d conflicts\n", r.ConfigLag.P50, r.ConfigLag.Max, r.ConfigLag.Count, r.ConfigConflicts)
	for _, class := range sortedKeys(r.Goodput) {
		s, f := r.LoadStall[class], r.FirstToken[class]
		fmt.Fprintf(t, "%s\tanswered %.3f, stall p50/p95/p99 %.0f/%.0f/%.0f ms, first token %.0f/%.0f/%.0f ms\n", class, r.Goodput[class], s.P50, s.P95, s.P99, f.P50, f.P95, f.P99)
	}
	if len(r.ErrorCodes) > 0 {
		fmt.Fprintf(t, "error codes\t%v\n", r.ErrorCodes)
		for code, message := range r.ErrorSamples {
			fmt.Fprintf(t, "  %s\t%s\n", code, message)
		}
	}
	if violations := r.Violations(); len(violations) > 0 {
		fmt.Fprintf(t, "BROKEN\t%v\n", violations)
	}
	return t.Flush()
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
