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

// demoCommand runs a whole deployment on loopback.
type demoCommand struct {
	deployment string
	runFor     time.Duration
	addresses  string
	log        logFlags
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a whole deployment on loopback" }
func (*demoCommand) Usage() string {
	return `demo [flags]
  Starts platform, engines, plain servers and entry instances on loopback, sends
  a sample of traffic, says what came of it and how to send more. Exit status 1
  if a rule that must always hold did not.

`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "attiki", "attiki or nz-south")
	f.DurationVar(&c.runFor, "for", 0, "end after this time; 0 runs until SIGINT")
	f.StringVar(&c.addresses, "addresses", "", "write the addresses of everything to this file, as JSON")
	c.log.set(f, "warn")
}

// sampleFor is the length of the demo's sample of traffic.
const sampleFor = 8 * time.Second

// sampleRate is the share of the deployment's arrivals that the sample has: the
// engines start empty.
const sampleRate = 0.3

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := settle(f); err != nil {
		return misused(err)
	}
	logger, err := c.log.logger()
	if err != nil {
		return misused(err)
	}
	spec, err := load.FindSpec(c.deployment)
	if err != nil {
		return misused(err)
	}
	signalled, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx = signalled
	if c.runFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(signalled, c.runFor)
		defer cancel()
	}
	fmt.Printf("starting %s: %d engines, %d plain servers, %d entry instances in %d availability zones\n",
		spec.Name, spec.Engines, spec.Services, spec.Entries, spec.Zones)
	d, err := load.StartDeployment(signalled, spec, load.Options{Seed: 1, Policy: entry.PolicyDefault, Log: logger})
	if err != nil {
		return failed(err)
	}
	defer d.Close()
	if c.addresses != "" {
		if err := writeAddresses(c.addresses, d); err != nil {
			return failed(err)
		}
	}
	return c.sample(signalled, ctx, d)
}

// sample sends traffic and waits for the end of the demo. The sample itself is
// only cut short by a signal, so that every request in it gets its answer.
func (c *demoCommand) sample(signalled, ctx context.Context, d *load.Deployment) subcommands.ExitStatus {
	length := sampleFor
	if c.runFor > 0 {
		length = min(length, c.runFor/4)
	}
	fmt.Printf("sending a sample of traffic for %v\n\n", length)
	report, err := load.RunOn(signalled, d, load.Plan{Deployment: d.Spec.Name, Seed: 1, Policy: entry.PolicyDefault, Duration: length, Rate: sampleRate})
	if err != nil {
		return failed(err)
	}
	if err := report.Table(os.Stdout); err != nil {
		return failed(err)
	}
	c.howToGoOn(d)
	<-ctx.Done()
	if broken := report.Broken(); len(broken) > 0 {
		return failed(fmt.Errorf("rules that must always hold did not: %v", broken))
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) howToGoOn(d *load.Deployment) {
	address := d.Entries[0].Instance.CallerAddress
	fmt.Printf(`
Ask for an answer yourself:

  curl -sN http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -d '{"model": "round-0007", "prompt": "what is left on the round?", "stream": true}'

Look at an instance:

  chestnutstream dump -entries %s -operator-secret %s
  chestnutstream config -entry %s -operator-secret %s status

`, address, caller.Credential(load.CallerSecret, load.CallerName), address, load.OperatorSecret, address, load.OperatorSecret)
	if c.runFor == 0 {
		fmt.Println("Ctrl-C ends the demo.")
	}
}

// demoEntry, demoServer and demoAddresses are the JSON of -addresses.
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
