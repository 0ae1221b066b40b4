package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/chestnutstream/chestnutstream/standin"
)

// standinCommand runs a stand-in until SIGTERM, SIGINT or the end of -for.
type standinCommand struct {
	address        string
	name           string
	zone           string
	region         string
	platform       string
	runFor         time.Duration
	loadsPerSecond float64
	slots          int
	batchLimit     int
	step           time.Duration
	checksFencing  bool
}

func (*standinCommand) Name() string { return "standin" }
func (*standinCommand) Synopsis() string {
	return "run a stand-in for the platform, an engine or a service"
}

func (*standinCommand) Usage() string {
	return `standin [flags] platform|engine|service
  Runs a stand-in for tests. PUT /faults with JSON sets faults, GET /counts returns
  counts, POST /silence makes the open connections unresponsive, and POST /restart
  empties an engine.

`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:0", "HOST:PORT to serve on")
	f.StringVar(&c.name, "name", "", "name of the engine or service, as in the configuration document")
	f.StringVar(&c.zone, "availability-zone", "zone-a", "availability zone of the engine or service")
	f.StringVar(&c.region, "region", "region", "region of the engine or service")
	f.StringVar(&c.platform, "platform", "", "HOST:PORT of the platform, with which the engine or service is registered")
	f.DurationVar(&c.runFor, "for", 0, "time after which the stand-in ends; 0 runs until SIGTERM")
	f.Float64Var(&c.loadsPerSecond, "loads-per-second", 3, "platform only: loads per second of the weight store")
	f.IntVar(&c.slots, "slots", 4, "adapter slots of the engine")
	f.IntVar(&c.batchLimit, "batch-limit", 8, "maximum of requests in one step of the engine")
	f.DurationVar(&c.step, "step", 30*time.Millisecond, "duration of one step of the engine")
	f.BoolVar(&c.checksFencing, "checks-fencing-numbers", true, "whether the engine rejects orders with an old fencing token")
}

func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.runFor > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.runFor)
		defer cancel()
	}
	h, err := c.handler(ctx, f.Arg(0))
	if err != nil {
		return usageError(err)
	}
	var ln *standin.Listener
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("POST /silence", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, ln.SilenceConnections())
	})
	if ln, err = standin.Serve(c.address, mux); err != nil {
		return failure(err)
	}
	defer ln.Close()
	fmt.Fprintf(os.Stdout, "%s %s serves on %s\n", f.Arg(0), c.name, ln.Address)
	if c.platform != "" {
		if err := standin.RegisterInstance(ctx, c.platform, standin.InstanceRow{
			Name: c.name, Address: ln.Address, Region: c.region, Zone: c.zone, Role: "backend", State: "live",
		}); err != nil {
			return failure(err)
		}
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// handler returns the stand-in of a kind.
func (c *standinCommand) handler(ctx context.Context, kind string) (http.Handler, error) {
	switch kind {
	case "platform":
		s := standin.DefaultPlatformSettings()
		s.LoadsPerSecond = c.loadsPerSecond
		p := standin.NewPlatform(s)
		go p.WatchInstances(ctx, time.Second)
		return p, nil
	case "engine":
		s := standin.DefaultEngineSettings(c.name)
		s.Platform, s.Zone, s.SlotLimit, s.BatchLimit, s.Step, s.CheckFencingToken = c.platform, c.zone, c.slots, c.batchLimit, c.step, c.checksFencing
		return standin.NewEngine(s), nil
	case "service":
		return standin.NewService(c.name), nil
	default:
		return nil, fmt.Errorf("standin %q: want platform, engine or service", kind)
	}
}
