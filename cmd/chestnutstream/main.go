// Command chestnutstream is the single binary of the serving layer.
//
// # Usage
//
//	chestnutstream entry    one entry instance, configured by flags and environment variables
//	chestnutstream edge     one instance on the users' platform
//	chestnutstream standin  a stand-in for the platform, an engine or a plain service
//	chestnutstream demo     a complete deployment on loopback
//	chestnutstream load     load generation and fault experiments
//	chestnutstream soak     instances under random faults
//	chestnutstream config   read and change the configuration document
//	chestnutstream dump     the state of one or more instances
//	chestnutstream explain  the decisions on a request or a backend server
//	chestnutstream where    where an instance on the users' platform would send a request now
//	chestnutstream token    the credential of a caller or a team
//
// The sub-commands other than edge and soak also read their flags from environment
// variables: -peer-secret from CHESTNUTSTREAM_PEER_SECRET. A flag overrides its
// variable.
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

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "CHESTNUTSTREAM"

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{&entryCommand{}, &edgeCommand{}, &standinCommand{}, &demoCommand{}, &loadCommand{}, &soakCommand{}} {
		subcommands.Register(c, "running")
	}
	for _, c := range []subcommands.Command{&configCommand{}, &dumpCommand{}, &explainCommand{}, &whereCommand{}, &tokenCommand{}} {
		subcommands.Register(c, "operating")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// parseEnvironment sets flags that were not given from environment variables.
func parseEnvironment(f *flag.FlagSet) error {
	if err := ff.Parse(f, f.Args(), ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return fmt.Errorf("parse environment variables: %w", err)
	}
	return nil
}

// failure prints an error to standard error and returns exit status 1.
func failure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "chestnutstream:", err)
	return subcommands.ExitFailure
}

// usageError prints an error in the arguments to standard error and returns exit
// status 2.
func usageError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "chestnutstream:", err)
	return subcommands.ExitUsageError
}

// logFlags are the flags that configure logging.
type logFlags struct {
	level  string
	format string
}

// set defines the flags; level is the default of -log-level.
func (l *logFlags) set(f *flag.FlagSet, level string) {
	f.StringVar(&l.level, "log-level", level, "debug, info, warn, error or fatal")
	f.StringVar(&l.format, "log-format", "text", "text or json")
}

// logger returns a logger to standard error with the level and format of the flags.
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
