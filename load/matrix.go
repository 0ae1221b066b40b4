package load

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
)

// faultPairs are the combinations of faults that the matrix runs.
var faultPairs = []string{
	"store-down,instance-killed",
	"store-lost-answers,instance-paused",
	"zone-cut,configuration-race",
	"engine-restart,popularity-shift",
	"silent-connections,instance-drain",
	"store-slow,load-failures",
	"server-leaving,late-reports",
}

// Matrix holds the reports of runs without faults, with each single fault and with
// each pair of faults. Runs has Seeds consecutive reports for each of them.
type Matrix struct {
	Deployment string    `json:"deployment"`
	Duration   string    `json:"duration"`
	Seeds      int       `json:"seeds"`
	Runs       []*Report `json:"runs"`
}

// RunMatrix runs the plan without faults, with each single fault and with each
// pair, for the seeds 1 to n each. At most parallel runs are concurrent.
func RunMatrix(ctx context.Context, plan Plan, n, parallel int) (*Matrix, error) {
	faults := append([]string{""}, FaultNames()...)
	faults = append(faults, faultPairs...)
	m := &Matrix{Deployment: plan.Deployment, Duration: plan.Duration.String(), Seeds: n, Runs: make([]*Report, len(faults)*n)}
	semaphore := make(chan struct{}, max(1, parallel))
	errs := make(chan error, len(m.Runs))
	var wg sync.WaitGroup
	for i := range m.Runs {
		p := plan
		p.Faults, p.Seed = faults[i/n], uint64(i%n+1)
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			report, err := Run(ctx, p)
			if err != nil {
				errs <- fmt.Errorf("faults %q, seed %d: %w", p.Faults, p.Seed, err)
				return
			}
			m.Runs[i] = report
			if plan.Progress != nil {
				plan.Progress(fmt.Sprintf("faults %q, seed %d: %d of %d answered, broken %v", p.Faults, p.Seed, report.Answered, report.Requests, report.Violations()))
			}
		}()
	}
	wg.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return m, nil
	}
}

// Violations returns the invariants that were violated, over all runs.
func (m *Matrix) Violations() []string {
	var out []string
	for _, r := range m.Runs {
		for _, violation := range r.Violations() {
			out = append(out, fmt.Sprintf("faults %q seed %d: %s", r.Faults, r.Seed, violation))
		}
	}
	return out
}

// Table writes a Markdown table with one row per fault or pair, summed over seeds.
func (m *Matrix) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintf(t, "| %s, %s, %d seeds\t| requests\t| answered\t| not-run\t| unknown\t| lost\t| doubled\t| wrong-adapter\t| truncated\t| unloaded-in-use\t| false not-run\t| after-leaving\t| adopted late\t| slowed loads\t| max in flight\t|\n", m.Deployment, m.Duration, m.Seeds)
	fmt.Fprintln(t, "|---\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|")
	for i := 0; i < len(m.Runs); i += m.Seeds {
		var sum Report
		for _, r := range m.Runs[i : i+m.Seeds] {
			sum.addReport(r)
		}
		name := strings.ReplaceAll(m.Runs[i].Faults, ",", " + ")
		if name == "" {
			name = "none"
		}
		fmt.Fprintf(t, "| %s\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t| %d\t|\n", name, sum.Requests, sum.Answered, sum.Refused, sum.Unknown,
			sum.Lost, sum.Doubled, sum.WrongAdapter, sum.Truncated, sum.UnloadedInUse, sum.FalseNotRun, sum.AfterLeaving, sum.LateAdoptions,
			sum.StandIn.Platform.LoadsSlowed, sum.StandIn.Platform.MaxInFlight)
	}
	return t.Flush()
}

// addReport adds the counts of another report that the matrix table shows.
func (r *Report) addReport(other *Report) {
	r.Requests += other.Requests
	r.Answered += other.Answered
	r.Refused += other.Refused
	r.Unknown += other.Unknown
	r.Lost += other.Lost
	r.Doubled += other.Doubled
	r.WrongAdapter += other.WrongAdapter
	r.Truncated += other.Truncated
	r.UnloadedInUse += other.UnloadedInUse
	r.FalseNotRun += other.FalseNotRun
	r.AfterLeaving += other.AfterLeaving
	r.LateAdoptions += other.LateAdoptions
	r.StandIn.Platform.LoadsSlowed += other.StandIn.Platform.LoadsSlowed
	r.StandIn.Platform.MaxInFlight = max(r.StandIn.Platform.MaxInFlight, other.StandIn.Platform.MaxInFlight)
}
