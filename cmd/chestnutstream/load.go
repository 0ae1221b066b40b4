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

// loadCommand runs the load and experiment tool.
type loadCommand struct {
	plan   load.Plan
	policy string
	asJSON bool
	html   string
	log    logFlags
	target string
	seeds  int

	matrix   int
	parallel int
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send load, switch faults, report what was seen" }
func (*loadCommand) Usage() string {
	return `load -deployment attiki|nz-south [flags]
  Starts a deployment on loopback, sends seeded open-loop arrivals, switches the
  faults, and reports what callers and stand-ins saw. Exit status 1 if a rule
  that must always hold did not.

  Faults: ` + strings.Join(load.FaultNames(), ", ") + `

`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.plan.Deployment, "deployment", "attiki", "attiki or nz-south")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "seed of arrivals and faults")
	f.StringVar(&c.policy, "policy", string(entry.PolicyDefault), "default or naive")
	f.StringVar(&c.plan.Faults, "fault", "", "comma-separated names of faults")
	f.DurationVar(&c.plan.Duration, "duration", 30*time.Second, "length of the arrivals")
	f.Float64Var(&c.plan.Rate, "rate", 1, "factor on the deployment's arrival rates")
	f.StringVar(&c.target, "target", "", "file written by demo -addresses: send to those instances instead of starting a deployment")
	f.IntVar(&c.matrix, "matrix", 0, "run every fault and the pairs, each for this many seeds, and print a table")
	f.IntVar(&c.parallel, "parallel", 4, "runs of the matrix at once")
	f.IntVar(&c.seeds, "compare", 0, "run both policies side by side for this many seeds and print medians")
	f.BoolVar(&c.asJSON, "json", false, "print one JSON object instead of a table")
	f.StringVar(&c.html, "html", "", "write a report with plots to this file")
	c.log.set(f, "fatal")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := settle(f); err != nil {
		return misused(err)
	}
	logger, err := c.log.logger()
	if err != nil {
		return misused(err)
	}
	c.plan.Policy, c.plan.Log = entry.Policy(c.policy), logger
	c.plan.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	if c.plan.Policy != entry.PolicyDefault && c.plan.Policy != entry.PolicyNaive {
		return misused(fmt.Errorf("-policy %q: want default or naive", c.policy))
	}
	if c.matrix > 0 {
		m, err := load.RunMatrix(ctx, c.plan, c.matrix, c.parallel)
		if err != nil {
			return failed(err)
		}
		return c.verdict(c.print(m, m.Table), m.Broken())
	}
	if c.seeds > 0 {
		comparison, err := load.Compare(ctx, c.plan, c.seeds)
		if err != nil {
			return failed(err)
		}
		return c.verdict(c.print(comparison, comparison.Table), comparison.Broken())
	}
	report, err := c.run(ctx)
	if err != nil {
		return failed(err)
	}
	return c.verdict(c.write(report), report.Broken())
}

// verdict returns the exit status for a report that was written.
func (c *loadCommand) verdict(err error, broken []string) subcommands.ExitStatus {
	if err != nil {
		return failed(err)
	}
	if len(broken) > 0 {
		return failed(fmt.Errorf("rules that must always hold did not: %v", broken))
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) (*load.Report, error) {
	if c.target == "" {
		return load.Run(ctx, c.plan)
	}
	b, err := os.ReadFile(c.target)
	if err != nil {
		return nil, fmt.Errorf("read target: %w", err)
	}
	var a demoAddresses
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("read target %s: %w", c.target, err)
	}
	var entries []string
	for _, e := range a.Entries {
		entries = append(entries, e.Address)
	}
	var engines, services []string
	for _, s := range a.Engines {
		engines = append(engines, s.Address)
	}
	for _, s := range a.Services {
		services = append(services, s.Address)
	}
	return load.RunAgainst(ctx, c.plan, load.Target{Platform: a.Platform, Entries: entries, Engines: engines, Services: services})
}

func (c *loadCommand) write(report *load.Report) error {
	if c.html != "" {
		if err := report.WriteHTML(c.html); err != nil {
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
