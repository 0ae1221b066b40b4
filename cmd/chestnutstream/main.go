// Command chestnutstream is the one binary of the serving layer.
//
// # Usage
//
//	chestnutstream entry    one entry instance, from flags and environment variables
//	chestnutstream standin  the platform, an engine or a plain service, as a stand-in
//	chestnutstream demo     a whole deployment on loopback
//	chestnutstream load     the load and experiment tool
//	chestnutstream config   get, check, put, history, status
//	chestnutstream dump     the state of instances
//	chestnutstream explain  why a request went where it went
//	chestnutstream token    the credential of a caller or a team
//
// Every flag has an environment variable: -peer-secret is
// CHESTNUTSTREAM_PEER_SECRET. A flag goes before its variable.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	textlog "github.com/apex/log/handlers/text"
	"github.com/google/subcommands"
	"github.com/peterbourgon/ff/v3"
)

// envPrefix begins the name of every environment variable.
const envPrefix = "CHESTNUTSTREAM"

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{&entryCommand{}, &edgeCommand{}, &standinCommand{}, &demoCommand{}, &loadCommand{}, &soakCommand{}} {
		subcommands.Register(c, "running")
	}
	for _, c := range []subcommands.Command{&configCommand{}, &dumpCommand{}, &explainCommand{}, &tokenCommand{}} {
		subcommands.Register(c, "operating")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// settle fills flags that were not given from the environment.
func settle(f *flag.FlagSet) error {
	if err := ff.Parse(f, f.Args(), ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// failed prints an error and returns the exit status for it.
func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "chestnutstream:", err)
	return subcommands.ExitFailure
}

// misused prints an error of the arguments and returns the exit status for it.
func misused(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "chestnutstream:", err)
	return subcommands.ExitUsageError
}

// logFlags are the flags of the log.
type logFlags struct {
	level  string
	format string
}

func (l *logFlags) set(f *flag.FlagSet, level string) {
	f.StringVar(&l.level, "log-level", level, "debug, info, warn, error or fatal")
	f.StringVar(&l.format, "log-format", "text", "text or json")
}

// logger returns the log that the flags describe; it writes to standard error.
func (l *logFlags) logger() (*log.Logger, error) {
	level, err := log.ParseLevel(l.level)
	if err != nil {
		return nil, fmt.Errorf("-log-level %q: want debug, info, warn, error or fatal", l.level)
	}
	switch l.format {
	case "text":
		return &log.Logger{Handler: textlog.New(os.Stderr), Level: level}, nil
	case "json":
		return &log.Logger{Handler: jsonlog.New(os.Stderr), Level: level}, nil
	default:
		return nil, fmt.Errorf("-log-format %q: want text or json", l.format)
	}
}
