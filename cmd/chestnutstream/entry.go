package main

import (
	"context"
	"flag"
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
  Runs one entry instance. SIGTERM drains it: no request in progress is cut off.
  Each flag can be given as an environment variable, such as
  CHESTNUTSTREAM_PEER_SECRET for -peer-secret.

`
}

func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	c.cfg = entry.DefaultSettings()
	f.StringVar(&c.cfg.Name, "name", "", "name of this instance, unique in the fleet")
	f.StringVar(&c.cfg.Region, "region", c.cfg.Region, "region of this instance; peers are of one region")
	f.StringVar(&c.cfg.Zone, "availability-zone", "", "availability zone of this instance")
	f.StringVar(&c.cfg.CallerAddress, "caller-address", c.cfg.CallerAddress, "HOST:PORT on which callers and operators are served")
	f.StringVar(&c.cfg.PeerAddress, "peer-address", c.cfg.PeerAddress, "HOST:PORT on which peers are served, reachable from them")
	f.StringVar(&c.cfg.Platform, "platform", "", "HOST:PORT of the platform")
	f.StringVar(&c.cfg.Peers, "peers", "", "comma-separated peer addresses to begin with; the platform's list adds to them")
	f.StringVar(&c.cfg.PeerSecret, "peer-secret", "", "secret that all instances share, at least 16 characters")
	f.StringVar(&c.cfg.OperatorSecret, "operator-secret", "", "secret of the operators' credentials, at least 16 characters")
	f.StringVar(&c.cfg.CallerSecret, "caller-secret", "", "secret of the callers' credentials; empty lets everybody in as anonymous")
	f.StringVar(&c.policy, "policy", string(entry.PolicyDefault), "default or naive")
	f.DurationVar(&c.cfg.DrainTimeout, "drain-timeout", c.cfg.DrainTimeout, "longest wait for requests in progress after SIGTERM")
	c.log.set(f, "info")
}

func (c *entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := settle(f); err != nil {
		return misused(err)
	}
	logger, err := c.log.logger()
	if err != nil {
		return misused(err)
	}
	c.cfg.Policy, c.cfg.Timer = entry.Policy(c.policy), timer.NewSystem()
	c.cfg.Log = logger.WithField("instance", c.cfg.Name)
	if err := c.cfg.Check(); err != nil {
		return misused(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	in, err := entry.Start(c.cfg)
	if err != nil {
		return failed(err)
	}
	c.cfg.Log.WithField("caller-address", in.CallerAddress).WithField("peer-address", in.PeerAddress).Info("started")
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.Background(), c.cfg.DrainTimeout)
	defer cancel()
	if err := in.Drain(drain); err != nil {
		return failed(err)
	}
	c.cfg.Log.Info("left")
	return subcommands.ExitSuccess
}
