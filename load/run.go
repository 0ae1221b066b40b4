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

// Plan describes one run of the tool.
type Plan struct {
	Deployment string
	Seed       uint64
	Policy     entry.Policy
	Faults     string // comma-separated fault names
	Duration   time.Duration
	Rate       float64 // factor on the deployment's arrival rates; 0 means 1
	Log        log.Interface
	Progress   func(string) // receives progress lines; may be nil
}

// runner executes a Plan on a deployment.
type runner struct {
	plan              Plan
	d                 *Deployment
	client            *client
	startedAt         time.Time
	popularityShift   atomic.Int64 // added to the popularity ranks of adapters
	raceConfiguration atomic.Bool

	faultMu sync.Mutex

	mu            sync.Mutex
	outOfRotation map[string]bool // by instance name: excluded by the load balancer
	collector     *collector
	errs          []error
	wg            sync.WaitGroup
}

// Run starts the deployment that plan names, runs the plan on it and returns the
// report.
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

// RunOn runs the plan on a running deployment and returns the report.
func RunOn(ctx context.Context, d *Deployment, plan Plan) (*Report, error) {
	selected, err := findFaults(plan.Faults)
	if err != nil {
		return nil, err
	}
	if plan.Rate <= 0 {
		plan.Rate = 1
	}
	r := &runner{plan: plan, d: d, client: newClient(), outOfRotation: map[string]bool{}, collector: newCollector(d.Spec)}
	return r.run(ctx, selected)
}

func (r *runner) run(ctx context.Context, selected []fault) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.startedAt = time.Now()
	var background sync.WaitGroup
	for _, f := range selected {
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
	r.sendAll(ctx)
	r.wg.Wait()
	background.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errs) > 0 {
		return nil, r.errs[0]
	}
	report, err := r.collector.finish(r.plan, r.d)
	if err != nil {
		return nil, err
	}
	return report, ctx.Err()
}

// sleepUntil sleeps until the time d after the start of the run.
func (r *runner) sleepUntil(d time.Duration) { time.Sleep(time.Until(r.startedAt.Add(d))) }

// fail records an error that makes the run fail.
func (r *runner) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *runner) setOutOfRotation(e *Entry, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outOfRotation[e.Name] = out
}

// zipf draws popularity ranks from a Zipf distribution.
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

// sendAll sends the requests of all classes at their planned times.
func (r *runner) sendAll(ctx context.Context) {
	var wg sync.WaitGroup
	for i, class := range r.d.Spec.Classes {
		rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(i+1)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.sendClass(ctx, class, rng)
		}()
	}
	wg.Wait()
}

func (r *runner) sendClass(ctx context.Context, class Class, rng *rand.Rand) {
	popularity := newZipf(r.d.Spec.Adapters, r.d.Spec.Skew)
	rate := class.Rate * r.plan.Rate
	next := time.Duration(0)
	for n := 0; ; n++ {
		next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		rank, instanceDraw := popularity.draw(rng), rng.Uint64()
		if next >= r.plan.Duration || ctx.Err() != nil {
			return
		}
		r.sleepUntil(next)
		planned := r.startedAt.Add(next)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.sendRequest(ctx, class, n, rank, instanceDraw, planned)
		}()
	}
}

// sendRequest sends one request of a class and records what the caller observed.
func (r *runner) sendRequest(ctx context.Context, class Class, n, rank int, instanceDraw uint64, planned time.Time) {
	switch class.Name {
	case ClassOrder:
		r.sendOrder(ctx, class, n, instanceDraw, planned)
	case ClassLookup:
		path := fmt.Sprintf("/services/%s/stock/item-%d", r.d.Spec.ServiceName, rank)
		s := r.viaBalancer(instanceDraw, func(address string) (observation, error) {
			return r.client.call(ctx, "GET", address, path, class, "", planned)
		})
		r.collector.addRequest(s, planned.Sub(r.startedAt))
	default:
		rank = (rank + int(r.popularityShift.Load())) % r.d.Spec.Adapters
		model := adapterName(rank) + "@v1"
		s := r.viaBalancer(instanceDraw, func(address string) (observation, error) {
			return r.client.generate(ctx, address, model, class, planned)
		})
		r.collector.addRequest(s, planned.Sub(r.startedAt))
	}
}

// maxOrderAttempts is how often a caller sends an order with the same idempotency
// key, to whichever instance the load balancer picks, until it was executed.
const maxOrderAttempts = 3

// sendOrder sends an order and retries it with its idempotency key until a response
// reports that it ran, up to maxOrderAttempts times.
func (r *runner) sendOrder(ctx context.Context, class Class, n int, instanceDraw uint64, planned time.Time) {
	id := fmt.Sprintf("order-%d-%d", r.plan.Seed, n)
	path := fmt.Sprintf("/services/%s/orders/%s", r.d.Spec.ServiceName, id)
	var attempts []observation
	for i := range maxOrderAttempts {
		s := r.viaBalancer(instanceDraw+uint64(i), func(address string) (observation, error) {
			return r.client.call(ctx, "POST", address, path, class, id, planned)
		})
		attempts = append(attempts, s)
		if s.outcome == "ran" || ctx.Err() != nil {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.collector.addOrder(id, attempts, planned.Sub(r.startedAt))
}

// viaBalancer sends a request as the platform's load balancer does: it starts at
// the instance that instanceDraw selects and skips instances that are out of
// rotation or refuse the connection.
func (r *runner) viaBalancer(instanceDraw uint64, send func(address string) (observation, error)) observation {
	var s observation
	for i := range len(r.d.Entries) {
		e := r.d.Entries[(instanceDraw+uint64(i))%uint64(len(r.d.Entries))]
		r.mu.Lock()
		out := r.outOfRotation[e.Name]
		address := e.address()
		r.mu.Unlock()
		if out {
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

// Settings of the configuration changes that a run makes. raceWriters is the number
// of concurrent writers under the fault configuration-race; a change that takes
// longer than adoptionLimit to be in force everywhere counts as late.
const (
	changePeriod  = 5 * time.Second
	raceWriters   = 4
	adoptionLimit = 9 * time.Second
	adoptionPoll  = 20 * time.Millisecond
)

// changeConfiguration changes a section every changePeriod and measures how long
// a change takes until it is in force on every reachable instance.
func (r *runner) changeConfiguration(ctx context.Context) {
	for n := 0; time.Since(r.startedAt) < r.plan.Duration-changePeriod; n++ {
		writers := 1
		if r.raceConfiguration.Load() {
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

// putChange changes the classes section by a comment only, so that the run itself
// is not affected, and measures its adoption. It retries after errors and conflicts.
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
			r.collector.recordConflict()
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

// measureAdoption records the time until a change is in force on every instance
// that is in the balancer's rotation and not in a partitioned zone. It gives up
// after twice adoptionLimit.
func (r *runner) measureAdoption(change operator.Change) {
	start := time.Now()
	for time.Since(start) < 2*adoptionLimit {
		if r.adoptedEverywhere(change.Revision) {
			r.collector.recordAdoption(time.Since(start))
			return
		}
		time.Sleep(adoptionPoll)
	}
	r.collector.recordAdoption(time.Since(start))
}

// adoptedEverywhere reports whether every reachable instance has the revision.
func (r *runner) adoptedEverywhere(revision uint64) bool {
	cutZones := r.d.Platform.Faults().CutZones
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.d.Entries {
		unreachable := r.outOfRotation[e.Name] || cutZones != "" && strings.Contains(cutZones, e.Zone)
		if !unreachable && e.Instance.Revision() < revision {
			return false
		}
	}
	return true
}
