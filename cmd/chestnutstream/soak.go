package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/chestnutstream/chestnutstream/soak"
)

// soakCommand runs instances under random faults.
type soakCommand struct {
	seed     uint64
	seeds    int
	duration time.Duration
	asJSON   bool
	folder   string
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run instances under random faults and check their guarantees"
}

func (*soakCommand) Usage() string {
	return `soak [-seed N] [-seeds K] [-duration T] [-json]
  Runs instances as processes on loopback against stand-ins, injects faults
  determined by the seed, and checks what callers and backend servers observe. If
  a guarantee is violated, the exit status is 1, and the seed and the folder with
  the logs are printed.

`
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds, run one after the other")
	f.DurationVar(&c.duration, "duration", 20*time.Second, "time for which faults are injected, for each seed")
	f.BoolVar(&c.asJSON, "json", false, "print each report as one line of JSON")
	f.StringVar(&c.folder, "folder", "", "parent folder of the runs' folders; empty: the system's temporary folder")
}

// soakReport is the JSON form of soak.Report.
type soakReport struct {
	Seed         uint64         `json:"seed"`
	Folder       string         `json:"folder,omitempty"`
	Parts        []string       `json:"parts,omitempty"`
	Requests     int            `json:"requests"`
	Answered     int            `json:"answered"`
	Rejected     int            `json:"refused-not-run"`
	Failed       int            `json:"failed"`
	Faults       map[string]int `json:"faults"`
	UnloadsInUse int            `json:"unloads-of-adapters-in-use"`
	Unloads      int            `json:"unloads"`
	Checked      map[string]int `json:"checked,omitempty"`
	Violations   []string       `json:"broken"`
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	program, err := os.Executable()
	if err != nil {
		return failure(fmt.Errorf("find the executable: %w", err))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	status := subcommands.ExitSuccess
	for i := range c.seeds {
		r, err := soak.Run(ctx, soak.Settings{Program: program, Arguments: []string{"edge"}, Seed: c.seed + uint64(i), Duration: c.duration, Folder: c.folder})
		if err != nil {
			return failure(err)
		}
		c.print(r)
		if len(r.Violations) > 0 {
			status = subcommands.ExitFailure
		}
	}
	return status
}

// print prints a report as JSON or as text.
func (c *soakCommand) print(r soak.Report) {
	if c.asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(soakReport(r)); err != nil {
			fmt.Fprintln(os.Stderr, "chestnutstream:", err)
		}
		return
	}
	fmt.Printf("seed %d: parts %v, %d requests, %d answered, %d refused, %d failed, faults %v, checked %v\n", r.Seed, r.Parts, r.Requests, r.Answered, r.Rejected, r.Failed, r.Faults, r.Checked)
	for _, violation := range r.Violations {
		fmt.Printf("  broken: %s\n", violation)
	}
	if r.Folder != "" {
		fmt.Printf("  logs: %s\n", r.Folder)
	}
}
