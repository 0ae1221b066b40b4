package load

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
)

// pairs are the combinations of faults that the matrix runs.
var pairs = []string{
	"store-down,instance-killed",
	"store-lost-answers,instance-paused",
	"zone-cut,configuration-race",
	"engine-restart,popularity-shift",
	"silent-connections,instance-drain",
	"store-slow,load-failures",
	"server-leaving,late-reports",
}

// Matrix is the runs of every fault alone and of the pairs.
type Matrix struct {
	Deployment string    `json:"deployment"`
	Duration   string    `json:"duration"`
	Seeds      int       `json:"seeds"`
	Runs       []*Report `json:"runs"`
}

// RunMatrix runs the plan without a fault, with every fault alone and with the
// pairs, each for the seeds 1 to n, some runs at once.
func RunMatrix(ctx context.Context, plan Plan, n, parallel int) (*Matrix, error) {
	faults := append([]string{""}, FaultNames()...)
	faults = append(faults, pairs...)
	m := &Matrix{Deployment: plan.Deployment, Duration: plan.Duration.String(), Seeds: n, Runs: make([]*Report, len(faults)*n)}
	slots := make(chan struct{}, max(1, parallel))
	errs := make(chan error, len(m.Runs))
	var wg sync.WaitGroup
	for i := range m.Runs {
		p := plan
		p.Faults, p.Seed = faults[i/n], uint64(i%n+1)
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			report, err := Run(ctx, p)
			if err != nil {
				errs <- fmt.Errorf("faults %q, seed %d: %w", p.Faults, p.Seed, err)
				return
			}
			m.Runs[i] = report
			if plan.Progress != nil {
				plan.Progress(fmt.Sprintf("faults %q, seed %d: %d of %d answered, broken %v", p.Faults, p.Seed, report.Answered, report.Requests, report.Broken()))
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

// Broken returns the rules that did not hold in any run.
func (m *Matrix) Broken() []string {
	var out []string
	for _, r := range m.Runs {
		for _, b := range r.Broken() {
			out = append(out, fmt.Sprintf("faults %q seed %d: %s", r.Faults, r.Seed, b))
		}
	}
	return out
}

// Table writes a row for each fault, its seeds summed up, in Markdown.
func (m *Matrix) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 1, ' ', 0)
	fmt.Fprintf(t, "| %s, %s, %d seeds\t| requests\t| answered\t| not-run\t| unknown\t| lost\t| doubled\t| wrong-adapter\t| truncated\t| unloaded-in-use\t| false not-run\t| after-leaving\t| adopted late\t| slowed loads\t| max in flight\t|\n", m.Deployment, m.Duration, m.Seeds)
	fmt.Fprintln(t, "|---\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|--:\t|")
	for i := 0; i < len(m.Runs); i += m.Seeds {
		var sum Report
		for _, r := range m.Runs[i : i+m.Seeds] {
			sum.addRules(r)
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

func (r *Report) addRules(o *Report) {
	r.Requests += o.Requests
	r.Answered += o.Answered
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.Lost += o.Lost
	r.Doubled += o.Doubled
	r.WrongAdapter += o.WrongAdapter
	r.Truncated += o.Truncated
	r.UnloadedInUse += o.UnloadedInUse
	r.FalseNotRun += o.FalseNotRun
	r.AfterLeaving += o.AfterLeaving
	r.LateAdoptions += o.LateAdoptions
	r.StandIn.Platform.LoadsSlowed += o.StandIn.Platform.LoadsSlowed
	r.StandIn.Platform.MaxInFlight = max(r.StandIn.Platform.MaxInFlight, o.StandIn.Platform.MaxInFlight)
}
