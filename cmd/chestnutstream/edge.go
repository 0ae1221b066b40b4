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
	settingsPath string
	logLevel     string
}

func (*edgeCommand) Name() string     { return "edge" }
func (*edgeCommand) Synopsis() string { return "run one instance on the users' platform" }
func (*edgeCommand) Usage() string {
	return `edge [-settings PATH] [-log-level LEVEL]
  Runs one instance on the users' platform with the settings file at PATH or at
  the path in ` + platform.SettingsVariable + `. SIGTERM drains it, SIGHUP reloads the file.
  Logs go to standard output, one JSON object per line.

`
}

func (c *edgeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsPath, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn, error or fatal")
}

func (c *edgeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// Before the settings are read: a signal that they have changed may come at any time.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lvl, err := log.ParseLevel(c.logLevel)
	if err != nil {
		return usageError(err)
	}
	cfg, err := platform.ReadSettings(c.settingsPath)
	if err != nil {
		return usageError(err)
	}
	h := oncall.NewHandler(os.Stdout, timer.NewSystem().Now)
	defer h.Close()
	logger := (&log.Logger{Handler: h, Level: lvl}).WithField("instance", cfg.Instance)
	in, err := edge.Start(cfg, logger)
	if err != nil {
		return failure(err)
	}
	logger.WithFields(log.Fields{"zone": cfg.Zone, "callers": cfg.CallerAddress, "peers": cfg.PeerAddress}).Info("started")
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for lastState := c.fileState(); ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-hup:
			lastState = c.fileState()
			c.reload(in, logger)
		case <-poll.C:
			if now := c.fileState(); now != lastState {
				lastState = now
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

// settingsPollInterval is the interval of checks of the settings file, which the
// platform may change without sending a signal.
const settingsPollInterval = 2 * time.Second

// fileState returns the size and modification time of the settings file, or the
// error of reading them; it changes when the file does.
func (c *edgeCommand) fileState() string {
	info, err := os.Stat(c.settingsPath)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %v", info.Size(), info.ModTime())
}

// reload applies the settings file to the instance. An invalid file changes nothing.
func (c *edgeCommand) reload(in *edge.Instance, logger log.Interface) {
	cfg, err := platform.ReadSettings(c.settingsPath)
	if err != nil {
		logger.WithError(err).Error("settings reload failed; keeping the previous settings")
		return
	}
	in.Reload(cfg)
}
