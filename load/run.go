package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/operator"
)

// Plan is one run of the tool.
type Plan struct {
	Deployment string
	Seed       uint64
	Policy     entry.Policy
	Faults     string // comma-separated names
	Duration   time.Duration
	Rate       float64 // factor on the deployment's arrival rates
	Log        log.Interface
	Progress   func(string) // may be nil
}

// runner is a run in progress.
type runner struct {
	plan   Plan
	d      *Deployment
	client *client
	began  time.Time
	shift  atomic.Int64 // added to the popularity ranks
	racing atomic.Bool

	faultMu sync.Mutex

	mu     sync.Mutex
	away   map[string]bool // instances that the balancer does not send to
	report *collector
	errs   []error
	wg     sync.WaitGroup
}

// Run starts a deployment, runs the plan and returns the report.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	spec, err := FindSpec(plan.Deployment)
	if err != nil {
		return nil, err
	}
	if _, err := findFaults(plan.Faults); err != nil {
		return nil, err
	}
	d, err := StartDeployment(ctx, spec, Options{Seed: plan.Seed, Policy: plan.Policy, Log: plan.Log})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return RunOn(ctx, d, plan)
}

// RunOn runs the plan on a deployment that stands.
func RunOn(ctx context.Context, d *Deployment, plan Plan) (*Report, error) {
	chosen, err := findFaults(plan.Faults)
	if err != nil {
		return nil, err
	}
	if plan.Rate <= 0 {
		plan.Rate = 1
	}
	r := &runner{plan: plan, d: d, client: newClient(), away: map[string]bool{}, report: newCollector(d.Spec)}
	return r.run(ctx, chosen)
}

func (r *runner) run(ctx context.Context, chosen []fault) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.began = time.Now()
	var background sync.WaitGroup
	for _, f := range chosen {
		background.Add(1)
		go func() {
			defer background.Done()
			f.run(ctx, r, r.plan.Duration/4, 3*r.plan.Duration/4)
		}()
	}
	if r.d.Store != nil {
		background.Add(1)
		go func() {
			defer background.Done()
			r.changeConfiguration(ctx)
		}()
	}
	r.arrivals(ctx)
	r.wg.Wait()
	background.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errs) > 0 {
		return nil, r.errs[0]
	}
	report, err := r.report.finish(r.plan, r.d)
	if err != nil {
		return nil, err
	}
	return report, ctx.Err()
}

// at waits until a point in time of the run.
func (r *runner) at(d time.Duration) { time.Sleep(time.Until(r.began.Add(d))) }

func (r *runner) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *runner) setAway(e *Entry, away bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away[e.Name] = away
}

// zipf draws popularity ranks with a given exponent.
type zipf struct{ cumulative []float64 }

func newZipf(n int, skew float64) zipf {
	z := zipf{make([]float64, n)}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -skew)
		z.cumulative[i] = sum
	}
	return z
}

func (z zipf) draw(rng *rand.Rand) int {
	x := rng.Float64() * z.cumulative[len(z.cumulative)-1]
	lo, hi := 0, len(z.cumulative)-1
	for lo < hi {
		if mid := (lo + hi) / 2; z.cumulative[mid] < x {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// arrivals sends the requests of all classes at their planned times.
func (r *runner) arrivals(ctx context.Context) {
	var wg sync.WaitGroup
	for i, class := range r.d.Spec.Classes {
		rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(i+1)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.arrivalsOf(ctx, class, rng)
		}()
	}
	wg.Wait()
}

func (r *runner) arrivalsOf(ctx context.Context, class Class, rng *rand.Rand) {
	popularity := newZipf(r.d.Spec.Adapters, r.d.Spec.Skew)
	rate := class.Rate * r.plan.Rate
	next := time.Duration(0)
	for n := 0; ; n++ {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		rank, entryDraw := popularity.draw(rng), rng.Uint64()
		if next >= r.plan.Duration || ctx.Err() != nil {
			return
		}
		r.at(next)
		planned := r.began.Add(next)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.one(ctx, class, n, rank, entryDraw, planned)
		}()
	}
}

// one sends one request of a class.
func (r *runner) one(ctx context.Context, class Class, n, rank int, draw uint64, planned time.Time) {
	switch class.Name {
	case ClassOrder:
		r.order(ctx, class, n, draw, planned)
	case ClassLookup:
		path := fmt.Sprintf("/services/%s/stock/item-%d", r.d.Spec.ServiceName, rank)
		s := r.viaBalancer(draw, func(address string) (seen, error) {
			return r.client.call(ctx, "GET", address, path, class, "", planned)
		})
		r.report.add(s, planned.Sub(r.began))
	default:
		rank = (rank + int(r.shift.Load())) % r.d.Spec.Adapters
		model := adapterName(rank) + "@v1"
		s := r.viaBalancer(draw, func(address string) (seen, error) {
			return r.client.generate(ctx, address, model, class, planned)
		})
		r.report.add(s, planned.Sub(r.began))
	}
}

// orderRepeats is how often a caller repeats an order that was not answered, at
// whatever instance the balancer picks, with the same key.
const orderRepeats = 3

// order sends an order and repeats it under its key until it is told an answer.
func (r *runner) order(ctx context.Context, class Class, n int, draw uint64, planned time.Time) {
	id := fmt.Sprintf("order-%d-%d", r.plan.Seed, n)
	path := fmt.Sprintf("/services/%s/orders/%s", r.d.Spec.ServiceName, id)
	var all []seen
	for i := range orderRepeats {
		s := r.viaBalancer(draw+uint64(i), func(address string) (seen, error) {
			return r.client.call(ctx, "POST", address, path, class, id, planned)
		})
		all = append(all, s)
		if s.outcome == "ran" || ctx.Err() != nil {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.report.addOrder(id, all, planned.Sub(r.began))
}

// viaBalancer sends a request to an instance as the platform's balancer does:
// one that refuses the connection is passed over.
func (r *runner) viaBalancer(draw uint64, send func(address string) (seen, error)) seen {
	var s seen
	for i := range len(r.d.Entries) {
		e := r.d.Entries[(draw+uint64(i))%uint64(len(r.d.Entries))]
		r.mu.Lock()
		away := r.away[e.Name]
		address := e.address()
		r.mu.Unlock()
		if away {
			continue
		}
		var err error
		s, err = send(address)
		if err == nil || !dialFailed(err) {
			return s
		}
	}
	return s
}

// Periods of the configuration changes that a run makes.
const (
	changePeriod   = 5 * time.Second
	raceWriters    = 4
	adoptionWithin = 9 * time.Second
	adoptionPoll   = 20 * time.Millisecond
)

// changeConfiguration puts a section again and again, and measures how long a
// change takes until it is in force on every reachable instance.
func (r *runner) changeConfiguration(ctx context.Context) {
	for n := 0; time.Since(r.began) < r.plan.Duration-changePeriod; n++ {
		writers := 1
		if r.racing.Load() {
			writers = raceWriters
		}
		var wg sync.WaitGroup
		for w := range writers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.putChange(ctx, fmt.Sprintf("change-%d-%d", n, w))
			}()
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(changePeriod):
		}
	}
}

// putChange changes the classes section: its content alternates in a comment,
// so that the run itself is not affected.
func (r *runner) putChange(ctx context.Context, id string) {
	section := "classes"
	body := append(r.d.Sections()[section], fmt.Appendf(nil, "# %s\n", id)...)
	ctx, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	for ctx.Err() == nil {
		head, err := r.d.Store.Head(ctx)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		change, err := r.d.Store.Put(ctx, OperatorTeam, section, head.Sections[section].Revision, id, body)
		if isConflict(err) {
			r.report.conflict()
			continue
		}
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		r.measureAdoption(change)
		return
	}
}

// measureAdoption waits until a change is in force on every instance that the
// balancer sends to and that is not cut off.
func (r *runner) measureAdoption(change operator.Change) {
	from := time.Now()
	for time.Since(from) < 2*adoptionWithin {
		if r.inForce(change.Revision) {
			r.report.adopted(time.Since(from))
			return
		}
		time.Sleep(adoptionPoll)
	}
	r.report.adopted(time.Since(from))
}

func (r *runner) inForce(revision uint64) bool {
	cut := r.d.Platform.Faults().CutZones
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.d.Entries {
		unreachable := r.away[e.Name] || cut != "" && strings.Contains(cut, e.Zone)
		if !unreachable && e.Instance.Revision() < revision {
			return false
		}
	}
	return true
}
