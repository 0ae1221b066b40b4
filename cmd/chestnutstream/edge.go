package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/chestnutstream/chestnutstream/edge"
	"github.com/chestnutstream/chestnutstream/oncall"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// edgeCommand runs one instance on the users' platform until SIGTERM or SIGINT.
type edgeCommand struct {
	path  string
	level string
}

func (*edgeCommand) Name() string     { return "edge" }
func (*edgeCommand) Synopsis() string { return "run one instance on the users' platform" }
func (*edgeCommand) Usage() string {
	return `edge [-settings PATH] [-log-level LEVEL]
  Runs one instance on the users' platform, whose settings file stands at PATH
  or at the path in ` + platform.SettingsVariable + `. SIGTERM drains it, SIGHUP reads the
  file again. Logs go to standard output, a JSON object a line.

`
}

func (c *edgeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	f.StringVar(&c.level, "log-level", "info", "debug, info, warn, error or fatal")
}

func (c *edgeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level, err := log.ParseLevel(c.level)
	if err != nil {
		return misused(err)
	}
	cfg, err := platform.ReadSettings(c.path)
	if err != nil {
		return misused(err)
	}
	h := oncall.NewHandler(os.Stdout, timer.NewSystem().Now)
	defer h.Close()
	logger := (&log.Logger{Handler: h, Level: level}).WithField("instance", cfg.Instance)
	in, err := edge.Start(cfg, logger)
	if err != nil {
		return failed(err)
	}
	logger.WithFields(log.Fields{"zone": cfg.Zone, "callers": cfg.CallerAddress, "peers": cfg.PeerAddress}).Info("started")
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	for known := c.stamp(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-hup:
			known = c.stamp()
			c.reload(in, logger)
		case <-look.C:
			if now := c.stamp(); now != known {
				known = now
				c.reload(in, logger)
			}
		}
	}
	logger.Info("stopping")
	if err := in.Drain(context.Background()); err != nil {
		logger.WithError(err).Error("stopped")
		return subcommands.ExitFailure
	}
	logger.Info("stopped")
	return subcommands.ExitSuccess
}

// settingsLook is the time between looks at the settings file, which the platform
// may change without a signal.
const settingsLook = 2 * time.Second

// stamp tells whether the settings file has changed.
func (c *edgeCommand) stamp() string {
	info, err := os.Stat(c.path)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %v", info.Size(), info.ModTime())
}

func (c *edgeCommand) reload(in *edge.Instance, logger log.Interface) {
	cfg, err := platform.ReadSettings(c.path)
	if err != nil {
		logger.WithError(err).Error("settings not reloaded, the earlier ones stay")
		return
	}
	in.Reload(cfg)
}
