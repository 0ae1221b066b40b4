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

// soakCommand runs the fault soak.
type soakCommand struct {
	seed     uint64
	seeds    int
	duration time.Duration
	json     bool
	folder   string
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run instances under random faults and check the promises"
}

func (*soakCommand) Usage() string {
	return `soak [-seed N] [-seeds K] [-duration T] [-json]
  Runs instances as processes on loopback before stand-ins, injects faults that
  the seed fixes, and checks what callers and backend servers see. Exit status 1
  and the seed when a promise is broken; the logs stay in the folder named.

`
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "how many seeds, one after the other")
	f.DurationVar(&c.duration, "duration", 20*time.Second, "how long faults are injected for each seed")
	f.BoolVar(&c.json, "json", false, "print the reports as JSON, one a line")
	f.StringVar(&c.folder, "folder", "", "where the folders of runs are made; empty: the system's")
}

// wireSoak is a report as it is printed.
type wireSoak struct {
	Seed     uint64         `json:"seed"`
	Folder   string         `json:"folder,omitempty"`
	Requests int            `json:"requests"`
	Answered int            `json:"answered"`
	Refused  int            `json:"refused-not-run"`
	Failed   int            `json:"failed"`
	Faults   map[string]int `json:"faults"`
	InUse    int            `json:"unloads-of-adapters-in-use"`
	Unloads  int            `json:"unloads"`
	Broken   []string       `json:"broken"`
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	program, err := os.Executable()
	if err != nil {
		return failed(fmt.Errorf("find the program: %w", err))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	status := subcommands.ExitSuccess
	for i := range c.seeds {
		r, err := soak.Run(ctx, soak.Settings{Program: program, Arguments: []string{"edge"}, Seed: c.seed + uint64(i), Duration: c.duration, Folder: c.folder})
		if err != nil {
			return failed(err)
		}
		c.print(r)
		if len(r.Broken) > 0 {
			status = subcommands.ExitFailure
		}
	}
	return status
}

func (c *soakCommand) print(r soak.Report) {
	if c.json {
		if err := json.NewEncoder(os.Stdout).Encode(wireSoak(r)); err != nil {
			fmt.Fprintln(os.Stderr, "chestnutstream:", err)
		}
		return
	}
	fmt.Printf("seed %d: %d requests, %d answered, %d refused, %d failed, faults %v\n", r.Seed, r.Requests, r.Answered, r.Refused, r.Failed, r.Faults)
	for _, b := range r.Broken {
		fmt.Printf("  broken: %s\n", b)
	}
	if r.Folder != "" {
		fmt.Printf("  logs: %s\n", r.Folder)
	}
}
