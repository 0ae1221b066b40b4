package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/chestnutstream/chestnutstream/entry"
	"github.com/chestnutstream/chestnutstream/timer"
)

// entryCommand runs one entry instance until SIGTERM or SIGINT.
type entryCommand struct {
	cfg    entry.Settings
	policy string
	log    logFlags
}

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run one entry instance" }
func (*entryCommand) Usage() string {
	return `entry -name NAME -availability-zone ZONE -platform HOST:PORT [flags]
  Runs one entry instance. SIGTERM drains it: requests in progress are completed.
  Each flag can be set by an environment variable, such as
  CHESTNUTSTREAM_PEER_SECRET for -peer-secret.

`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	c.cfg = entry.DefaultSettings()
	f.StringVar(&c.cfg.Name, "name", "", "name of this instance, unique in the fleet")
	f.StringVar(&c.cfg.Region, "region", c.cfg.Region, "region of this instance; only instances of one region are peers")
	f.StringVar(&c.cfg.Zone, "availability-zone", "", "availability zone of this instance")
	f.StringVar(&c.cfg.CallerAddress, "caller-address", c.cfg.CallerAddress, "HOST:PORT to listen on for callers and operators")
	f.StringVar(&c.cfg.PeerAddress, "peer-address", c.cfg.PeerAddress, "HOST:PORT to listen on for peers; peers must be able to reach it")
	f.StringVar(&c.cfg.Platform, "platform", "", "HOST:PORT of the platform")
	f.StringVar(&c.cfg.Peers, "peers", "", "comma-separated initial peer addresses; the platform's list adds more")
	f.StringVar(&c.cfg.PeerSecret, "peer-secret", "", "secret shared by all instances, at least 16 characters")
	f.StringVar(&c.cfg.OperatorSecret, "operator-secret", "", "secret of the operators' credentials, at least 16 characters")
	f.StringVar(&c.cfg.CallerSecret, "caller-secret", "", "secret of the callers' credentials; empty accepts every caller as anonymous")
	f.StringVar(&c.policy, "policy", string(entry.PolicyDefault), "default or naive")
	f.DurationVar(&c.cfg.DrainTimeout, "drain-timeout", c.cfg.DrainTimeout, "longest wait for requests in progress after SIGTERM")
	f.IntVar(&c.cfg.MemoryMB, "memory-mb", 0, "memory that the process may use, in MB, from which the limits of connections follow; 0 assumes 512 for them and sets no limit")
	f.IntVar(&c.cfg.MaxDescriptors, "max-descriptors", 0, "file descriptors that the process may open, from which the limits of connections follow; 0 is the limit that the system sets")
	c.log.set(f, "info")
}

func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	logger, err := c.log.logger()
	if err != nil {
		return usageError(err)
	}
	c.cfg.Policy, c.cfg.Timer = entry.Policy(c.policy), timer.NewSystem()
	c.cfg.Log = logger.WithField("instance", c.cfg.Name)
	if err := c.cfg.Check(); err != nil {
		return usageError(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go func() {
		for range hup {
			c.cfg.Log.Info("SIGHUP ignored: settings are read at the start only")
		}
	}()
	in, err := entry.Start(c.cfg)
	if err != nil {
		return failure(err)
	}
	c.cfg.Log.WithField("caller-address", in.CallerAddress).WithField("peer-address", in.PeerAddress).Info("started")
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), c.cfg.DrainTimeout)
	defer cancel()
	if err := in.Drain(drainCtx); err != nil {
		return failure(err)
	}
	c.cfg.Log.Info("left")
	return subcommands.ExitSuccess
}
