package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"

	"github.com/chestnutstream/chestnutstream/entry"
)

// Comparison holds the reports of the default and the naive policy over several
// seeds.
type Comparison struct {
	Deployment string    `json:"deployment"`
	Faults     string    `json:"faults"`
	Duration   string    `json:"duration"`
	Rate       float64   `json:"rate"`
	Naive      []*Report `json:"naive"`
	Default    []*Report `json:"default"`
}

// Compare runs a plan under both policies for the seeds 1 to n. The two runs of
// a seed have the same arrivals and run concurrently.
func Compare(ctx context.Context, plan Plan, n int) (*Comparison, error) {
	c := &Comparison{Deployment: plan.Deployment, Faults: plan.Faults, Duration: plan.Duration.String(), Rate: plan.Rate}
	for seed := range n {
		plan.Seed = uint64(seed + 1)
		var wg sync.WaitGroup
		var reports [2]*Report
		var errs [2]error
		for i, policy := range []entry.Policy{entry.PolicyNaive, entry.PolicyDefault} {
			p := plan
			p.Policy = policy
			wg.Add(1)
			go func() {
				defer wg.Done()
				reports[i], errs[i] = Run(ctx, p)
			}()
		}
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return nil, fmt.Errorf("seed %d: %w", plan.Seed, err)
			}
		}
		c.Naive, c.Default = append(c.Naive, reports[0]), append(c.Default, reports[1])
	}
	return c, nil
}

// Violations returns the invariants that were violated, over all runs.
func (c *Comparison) Violations() []string {
	var out []string
	for _, r := range append(append([]*Report{}, c.Naive...), c.Default...) {
		for _, violation := range r.Violations() {
			out = append(out, fmt.Sprintf("%s seed %d: %s", r.Policy, r.Seed, violation))
		}
	}
	return out
}

// median returns the median of a metric over reports.
func median(reports []*Report, metric func(*Report) float64) float64 {
	var values []float64
	for _, r := range reports {
		values = append(values, metric(r))
	}
	sort.Float64s(values)
	return values[len(values)/2]
}

// Table writes a table of the medians under both policies.
func (c *Comparison) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %s at rate %g, faults %q, medians of %d seeds\tnaive\tdefault\tratio\n", c.Deployment, c.Duration, c.Rate, c.Faults, len(c.Naive))
	row := func(name string, metric func(*Report) float64) {
		n, d := median(c.Naive, metric), median(c.Default, metric)
		ratio := "-"
		if n != 0 {
			ratio = fmt.Sprintf("%.2f", d/n)
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%s\n", name, n, d, ratio)
	}
	row("batch efficiency", func(r *Report) float64 { return r.Efficiency })
	row("loads", func(r *Report) float64 { return float64(r.Loads) })
	for _, class := range sortedKeys(c.Default[0].Goodput) {
		row(class+": answered share", func(r *Report) float64 { return r.Goodput[class] })
		if c.Default[0].LoadStall[class].Count == 0 {
			continue
		}
		row(class+": load stall p50, ms", func(r *Report) float64 { return r.LoadStall[class].P50 })
		row(class+": load stall p95, ms", func(r *Report) float64 { return r.LoadStall[class].P95 })
		row(class+": first token p50, ms", func(r *Report) float64 { return r.FirstToken[class].P50 })
		row(class+": first token p95, ms", func(r *Report) float64 { return r.FirstToken[class].P95 })
	}
	for _, violation := range c.Violations() {
		fmt.Fprintf(t, "BROKEN\t%s\n", violation)
	}
	return t.Flush()
}
