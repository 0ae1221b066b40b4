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

	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/load"
)

// demoCommand runs a complete deployment on loopback.
type demoCommand struct {
	deployment string
	runFor     time.Duration
	addresses  string
	log        logFlags
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a complete deployment on loopback" }
func (*demoCommand) Usage() string {
	return `demo [flags]
  Starts the platform, engines, plain servers and entry instances on loopback,
  sends a sample of traffic, reports its results and prints how to send more.
  Exit status 1 if an invariant was violated.

`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "attiki", "attiki or nz-south")
	f.DurationVar(&c.runFor, "for", 0, "time after which the demo ends; 0 runs until SIGINT")
	f.StringVar(&c.addresses, "addresses", "", "file to which all addresses are written, as JSON")
	c.log.set(f, "warn")
}

// sampleDuration is the length of the demo's traffic sample.
const sampleDuration = 8 * time.Second

// sampleRate is the factor on the deployment's arrival rates during the sample. It
// is below 1 because the engines start empty.
const sampleRate = 0.3

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	logger, err := c.log.logger()
	if err != nil {
		return usageError(err)
	}
	spec, err := load.FindSpec(c.deployment)
	if err != nil {
		return usageError(err)
	}
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx = signalCtx
	if c.runFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(signalCtx, c.runFor)
		defer cancel()
	}
	fmt.Printf("starting %s: %d engines, %d plain servers, %d entry instances in %d availability zones\n",
		spec.Name, spec.Engines, spec.Services, spec.Entries, spec.Zones)
	d, err := load.StartDeployment(signalCtx, spec, load.Options{Seed: 1, Policy: entry.PolicyDefault, Log: logger})
	if err != nil {
		return failure(err)
	}
	defer d.Close()
	if c.addresses != "" {
		if err := writeAddresses(c.addresses, d); err != nil {
			return failure(err)
		}
	}
	return c.sample(signalCtx, ctx, d)
}

// sample sends traffic and waits for the end of the demo. Only a signal, not the end
// of -for, interrupts the traffic, so that every request in it gets a response.
func (c *demoCommand) sample(signalCtx, ctx context.Context, d *load.Deployment) subcommands.ExitStatus {
	duration := sampleDuration
	if c.runFor > 0 {
		duration = min(duration, c.runFor/4)
	}
	fmt.Printf("sending a sample of traffic for %v\n\n", duration)
	report, err := load.RunOn(signalCtx, d, load.Plan{Deployment: d.Spec.Name, Seed: 1, Policy: entry.PolicyDefault, Duration: duration, Rate: sampleRate})
	if err != nil {
		return failure(err)
	}
	if err := report.Table(os.Stdout); err != nil {
		return failure(err)
	}
	c.printHints(d)
	<-ctx.Done()
	if violations := report.Violations(); len(violations) > 0 {
		return failure(fmt.Errorf("invariants violated: %v", violations))
	}
	return subcommands.ExitSuccess
}

// printHints prints commands that send a request and inspect the instances.
func (c *demoCommand) printHints(d *load.Deployment) {
	address := d.Entries[0].Instance.CallerAddress
	fmt.Printf(`
Send a request:

  curl -sN http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model": "round-0007", "prompt": "what is left on the round?", "stream": true}'

Inspect an instance:

  chestnutstream dump -entries %s -operator-secret %s
  chestnutstream config -entry %s -operator-secret %s status

`, address, caller.Credential(load.CallerSecret, load.CallerName), address, load.OperatorSecret, address, load.OperatorSecret)
	if c.runFor == 0 {
		fmt.Println("Ctrl-C ends the demo.")
	}
}

// demoEntry, demoServer and demoAddresses are the JSON that -addresses writes and
// load -target reads.
type demoEntry struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer-address"`
	Zone        string `json:"availability-zone"`
}

type demoServer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"availability-zone"`
}

type demoAddresses struct {
	Entries  []demoEntry  `json:"entries"`
	Platform string       `json:"platform"`
	Engines  []demoServer `json:"engines"`
	Services []demoServer `json:"services"`
}

// writeAddresses writes the addresses of a deployment to a file, as JSON.
func writeAddresses(file string, d *load.Deployment) error {
	a := demoAddresses{Platform: d.PlatformListener.Address}
	for _, e := range d.Entries {
		a.Entries = append(a.Entries, demoEntry{e.Name, e.Instance.CallerAddress, e.Instance.PeerAddress, e.Zone})
	}
	for _, s := range d.Engines {
		a.Engines = append(a.Engines, demoServer{s.Name, s.Listener.Address, s.Zone})
	}
	for _, s := range d.Services {
		a.Services = append(a.Services, demoServer{s.Name, s.Listener.Address, s.Zone})
	}
	b, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return fmt.Errorf("encode addresses: %w", err)
	}
	if err := os.WriteFile(file, append(b, '\n'), 0o600); err != nil {
		return fmt.Errorf("write addresses: %w", err)
	}
	return nil
}
