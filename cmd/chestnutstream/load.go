package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/load"
)

// loadCommand runs the load generation and fault experiment tool.
type loadCommand struct {
	plan         load.Plan
	policy       string
	asJSON       bool
	htmlFile     string
	log          logFlags
	target       string
	compareSeeds int

	matrixSeeds int
	parallel    int
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "generate load, inject faults and report the results" }

func (*loadCommand) Usage() string {
	return `load -deployment attiki|nz-south [flags]
  Starts a deployment on loopback, sends seeded open-loop arrivals, injects the
  faults, and reports what callers and stand-ins observed. Exit status 1 if an
  invariant was violated.

  Faults: ` + strings.Join(load.FaultNames(), ", ") + `

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.plan.Deployment, "deployment", "attiki", "attiki or nz-south")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "seed of arrivals and faults")
	f.StringVar(&c.policy, "policy", string(entry.PolicyDefault), "default or naive")
	f.StringVar(&c.plan.Faults, "fault", "", "comma-separated names of the faults to inject")
	f.DurationVar(&c.plan.Duration, "duration", 30*time.Second, "time during which requests arrive")
	f.Float64Var(&c.plan.Rate, "rate", 1, "factor on the deployment's arrival rates")
	f.StringVar(&c.target, "target", "", "file written by demo -addresses; sends to those instances instead of starting a deployment")
	f.IntVar(&c.matrixSeeds, "matrix", 0, "run every fault and the fault pairs, each for this many seeds, and print a table")
	f.IntVar(&c.parallel, "parallel", 4, "runs of the matrix in parallel")
	f.IntVar(&c.compareSeeds, "compare", 0, "compare both policies over this many seeds and print medians")
	f.BoolVar(&c.asJSON, "json", false, "print one JSON object instead of a table")
	f.StringVar(&c.htmlFile, "html", "", "file to which a report with plots is written")
	c.log.set(f, "fatal")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	logger, err := c.log.logger()
	if err != nil {
		return usageError(err)
	}
	c.plan.Policy, c.plan.Log = entry.Policy(c.policy), logger
	c.plan.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	if c.plan.Policy != entry.PolicyDefault && c.plan.Policy != entry.PolicyNaive {
		return usageError(fmt.Errorf("-policy %q: want default or naive", c.policy))
	}
	if c.matrixSeeds > 0 {
		m, err := load.RunMatrix(ctx, c.plan, c.matrixSeeds, c.parallel)
		if err != nil {
			return failure(err)
		}
		return c.exitStatus(c.print(m, m.Table), m.Violations())
	}
	if c.compareSeeds > 0 {
		comparison, err := load.Compare(ctx, c.plan, c.compareSeeds)
		if err != nil {
			return failure(err)
		}
		return c.exitStatus(c.print(comparison, comparison.Table), comparison.Violations())
	}
	report, err := c.run(ctx)
	if err != nil {
		return failure(err)
	}
	return c.exitStatus(c.write(report), report.Violations())
}

// exitStatus returns the exit status of a run: err is the error of writing its
// report, violations are the invariants that it violated.
func (c *loadCommand) exitStatus(err error, violations []string) subcommands.ExitStatus {
	if err != nil {
		return failure(err)
	}
	if len(violations) > 0 {
		return failure(fmt.Errorf("invariants violated: %v", violations))
	}
	return subcommands.ExitSuccess
}

// run runs the plan on a new deployment, or against the instances of -target.
func (c *loadCommand) run(ctx context.Context) (*load.Report, error) {
	if c.target == "" {
		return load.Run(ctx, c.plan)
	}
	b, err := os.ReadFile(c.target)
	if err != nil {
		return nil, fmt.Errorf("read target: %w", err)
	}
	var addresses demoAddresses
	if err := json.Unmarshal(b, &addresses); err != nil {
		return nil, fmt.Errorf("decode target %s: %w", c.target, err)
	}
	var entries []string
	for _, e := range addresses.Entries {
		entries = append(entries, e.Address)
	}
	var engines, services []string
	for _, s := range addresses.Engines {
		engines = append(engines, s.Address)
	}
	for _, s := range addresses.Services {
		services = append(services, s.Address)
	}
	return load.RunRemote(ctx, c.plan, load.Target{Platform: addresses.Platform, Entries: entries, Engines: engines, Services: services})
}

// write writes the HTML report, if any, and prints the report.
func (c *loadCommand) write(report *load.Report) error {
	if c.htmlFile != "" {
		if err := report.WriteHTML(c.htmlFile); err != nil {
			return err
		}
	}
	return c.print(report, report.Table)
}

// print prints a report as JSON or as a table.
func (c *loadCommand) print(report any, table func(io.Writer) error) error {
	if !c.asJSON {
		return table(os.Stdout)
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(report); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
