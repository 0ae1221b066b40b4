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

// Quantiles are quantiles of a measure, in its unit.
type Quantiles struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
	Count int64   `json:"count"`
}

// StandIn is what the stand-ins themselves counted.
type StandIn struct {
	Platform     standin.PlatformCounts `json:"platform"`
	Engines      standin.EngineCounts   `json:"engines"`
	OrderRuns    int                    `json:"order-runs"`
	AfterLeaving int                    `json:"after-leaving"`
	Batches      []EngineBatch          `json:"batches"`
}

// EngineBatch is how one engine's batch was filled.
type EngineBatch struct {
	Engine string `json:"engine"`
	Steps  int    `json:"steps"`
	Filled int    `json:"filled"`
	Loads  int    `json:"loads"`
}

// Report is the report of a run.
type Report struct {
	Deployment     string               `json:"deployment"`
	Seed           uint64               `json:"seed"`
	Policy         string               `json:"policy"`
	Faults         string               `json:"faults"`
	Duration       string               `json:"duration"`
	Rate           float64              `json:"rate"`
	Requests       int                  `json:"requests"`
	Answered       int                  `json:"answered"`
	Refused        int                  `json:"refused-not-run"`
	Unknown        int                  `json:"unknown"`
	Lost           int                  `json:"lost"`
	Doubled        int                  `json:"doubled"`
	WrongAdapter   int                  `json:"wrong-adapter"`
	Truncated      int                  `json:"truncated"`
	UnloadedInUse  int                  `json:"unloaded-in-use"`
	FalseNotRun    int                  `json:"false-not-run"`
	FalseRan       int                  `json:"false-ran"`
	AfterLeaving   int                  `json:"after-leaving"`
	LateAdoptions  int                  `json:"late-adoptions"`
	Conflicts      int                  `json:"configuration-conflicts"`
	LoadStall      map[string]Quantiles `json:"load-stall-ms"`
	FirstToken     map[string]Quantiles `json:"first-token-ms"`
	Goodput        map[string]float64   `json:"answered-share"`
	Codes          map[string]int       `json:"error-codes"`
	Messages       map[string]string    `json:"error-samples"` // one message for each code
	Efficiency     float64              `json:"batch-efficiency"`
	Loads          int                  `json:"loads"`
	LoadFailures   int                  `json:"load-failures"`
	ConfigLag      Quantiles            `json:"configuration-lag-ms"`
	StandIn        StandIn              `json:"stand-in"`
	StallBySecond  []float64            `json:"load-stall-p95-by-5s"`
	AnswerBySecond []int                `json:"answered-by-5s"`
}

// Broken returns the rules that did not hold.
func (r *Report) Broken() []string {
	rules := []struct {
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
	for _, rule := range rules {
		if rule.count > 0 {
			out = append(out, fmt.Sprintf("%s: %d", rule.name, rule.count))
		}
	}
	return out
}

// histMaxMS is the largest time that a histogram tells apart, in milliseconds.
const histMaxMS = 10 * 60 * 1000

// bucketSize is the length of the parts of a run that are reported on their own.
const bucketSize = 5 * time.Second

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMaxMS, 3) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)), P95: float64(h.ValueAtQuantile(95)),
		P99: float64(h.ValueAtQuantile(99)), Max: float64(h.Max()), Count: h.TotalCount(),
	}
}

// collector gathers what callers saw.
type collector struct {
	mu       sync.Mutex
	spec     Spec
	report   Report
	stalls   map[string]*hdrhistogram.Histogram
	first    map[string]*hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram
	sent     map[string]int
	answered map[string]int
	buckets  []*hdrhistogram.Histogram
	orders   map[string][]seen
}

func newCollector(spec Spec) *collector {
	c := &collector{
		spec: spec, stalls: map[string]*hdrhistogram.Histogram{"all": newHist()}, first: map[string]*hdrhistogram.Histogram{"all": newHist()},
		lag: newHist(), sent: map[string]int{}, answered: map[string]int{}, orders: map[string][]seen{},
	}
	c.report.Codes, c.report.Messages = map[string]int{}, map[string]string{}
	for _, s := range Deployments() {
		for _, class := range s.Classes {
			c.stalls[class.Name], c.first[class.Name] = newHist(), newHist()
		}
	}
	return c
}

func (c *collector) conflict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Conflicts++
}

func (c *collector) adopted(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.lag.RecordValue(lag.Milliseconds())
	if lag > adoptionWithin {
		c.report.LateAdoptions++
	}
}

// add takes what a caller saw of one request that was planned at a point of the
// run.
func (c *collector) add(s seen, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Requests++
	c.sent[s.class]++
	bucket := int(at / bucketSize)
	for len(c.buckets) <= bucket {
		c.buckets = append(c.buckets, newHist())
		c.report.AnswerBySecond = append(c.report.AnswerBySecond, 0)
	}
	c.report.count(s)
	if s.whole && !s.truncated {
		c.answered[s.class]++
		c.report.AnswerBySecond[bucket]++
		for _, h := range []*hdrhistogram.Histogram{c.first["all"], c.first[s.class]} {
			_ = h.RecordValue(s.firstToken.Milliseconds())
		}
	}
	if s.hasStall {
		for _, h := range []*hdrhistogram.Histogram{c.stalls["all"], c.stalls[s.class], c.buckets[bucket]} {
			_ = h.RecordValue(s.stall.Milliseconds())
		}
	}
}

func (r *Report) count(s seen) {
	if s.code != "" {
		r.Codes[s.code]++
		r.Messages[s.code] = s.message
	}
	switch {
	case s.lost:
		r.Lost++
	case s.whole:
		r.Answered++
	case s.refused:
		r.Refused++
	default:
		r.Unknown++
	}
	r.Truncated += btoi(s.truncated)
	r.Doubled += btoi(s.doubled)
	r.WrongAdapter += btoi(s.wrong)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// addOrder takes what a caller saw of an order and its repeats. The last one
// counts as its outcome.
func (c *collector) addOrder(id string, all []seen, at time.Duration) {
	c.add(all[len(all)-1], at)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[id] = all
}

// finish joins what callers saw with what the stand-ins counted.
func (c *collector) finish(plan Plan, d *Deployment) (*Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Deployment, r.Seed, r.Policy, r.Faults = plan.Deployment, plan.Seed, string(plan.Policy), plan.Faults
	r.Duration, r.Rate = plan.Duration.String(), plan.Rate
	r.LoadStall, r.FirstToken, r.Goodput = map[string]Quantiles{}, map[string]Quantiles{}, map[string]float64{}
	for name, h := range c.stalls {
		r.LoadStall[name] = quantiles(h)
	}
	for name, h := range c.first {
		r.FirstToken[name] = quantiles(h)
	}
	for class, n := range c.sent {
		r.Goodput[class] = float64(c.answered[class]) / float64(n)
	}
	for _, h := range c.buckets {
		r.StallBySecond = append(r.StallBySecond, float64(h.ValueAtQuantile(95)))
	}
	r.ConfigLag = quantiles(c.lag)
	var err error
	if r.StandIn.Platform, err = d.platformCounts(); err != nil {
		return nil, err
	}
	for _, s := range d.Engines {
		counts, err := s.engineCounts()
		if err != nil {
			return nil, err
		}
		addCounts(&r.StandIn.Engines, counts)
		r.StandIn.Batches = append(r.StandIn.Batches, EngineBatch{s.Name, counts.Steps, counts.BatchFilled, counts.Loads})
	}
	r.UnloadedInUse = r.StandIn.Engines.UnloadedInUse
	r.AfterLeaving = r.StandIn.Engines.AfterLeaving
	r.Loads, r.LoadFailures = r.StandIn.Engines.Loads, r.StandIn.Engines.LoadFailures
	if r.StandIn.Engines.BatchPlaces > 0 {
		r.Efficiency = float64(r.StandIn.Engines.BatchFilled) / float64(r.StandIn.Engines.BatchPlaces)
	}
	if err := c.judgeOrders(&r, d); err != nil {
		return nil, err
	}
	return &r, nil
}

// judgeOrders holds what callers were told of their orders against the runs
// that the plain servers counted.
func (c *collector) judgeOrders(r *Report, d *Deployment) error {
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
	for id, all := range c.orders {
		ran, allNotRun := false, true
		for _, s := range all {
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

func addCounts(sum *standin.EngineCounts, c standin.EngineCounts) {
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

// Table writes the report as a table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "deployment\t%s, seed %d, policy %s, faults %q, %s at rate %g\n", r.Deployment, r.Seed, r.Policy, r.Faults, r.Duration, r.Rate)
	fmt.Fprintf(t, "requests\t%d: %d answered, %d refused not-run, %d unknown\n", r.Requests, r.Answered, r.Refused, r.Unknown)
	fmt.Fprintf(t, "rules\tlost %d, doubled %d, wrong-adapter %d, truncated %d, unloaded-in-use %d, false-not-run %d, after-leaving %d, late-adoptions %d\n",
		r.Lost, r.Doubled, r.WrongAdapter, r.Truncated, r.UnloadedInUse, r.FalseNotRun, r.AfterLeaving, r.LateAdoptions)
	fmt.Fprintf(t, "batch efficiency\t%.3f\n", r.Efficiency)
	fmt.Fprintf(t, "loads\t%d, %d failed, %d slowed, at most %d in flight\n", r.Loads, r.LoadFailures, r.StandIn.Platform.LoadsSlowed, r.StandIn.Platform.MaxInFlight)
	fmt.Fprintf(t, "configuration lag\tp50 %.0f ms, max %.0f ms, %d changes, %d conflicts\n", r.ConfigLag.P50, r.ConfigLag.Max, r.ConfigLag.Count, r.Conflicts)
	for _, class := range sortedKeys(r.Goodput) {
		s, f := r.LoadStall[class], r.FirstToken[class]
		fmt.Fprintf(t, "%s\tanswered %.3f, stall p50/p95/p99 %.0f/%.0f/%.0f ms, first token %.0f/%.0f/%.0f ms\n", class, r.Goodput[class], s.P50, s.P95, s.P99, f.P50, f.P95, f.P99)
	}
	if len(r.Codes) > 0 {
		fmt.Fprintf(t, "error codes\t%v\n", r.Codes)
		for code, message := range r.Messages {
			fmt.Fprintf(t, "  %s\t%s\n", code, message)
		}
	}
	if broken := r.Broken(); len(broken) > 0 {
		fmt.Fprintf(t, "BROKEN\t%v\n", broken)
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
