package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/operator"
)

// operatorTimeout is the timeout of one call to an instance.
const operatorTimeout = 30 * time.Second

// operatorFlags are the flags of the sub-commands for operators.
type operatorFlags struct {
	secret string
	team   string
}

// set defines the flags.
func (o *operatorFlags) set(f *flag.FlagSet) {
	f.StringVar(&o.secret, "operator-secret", "", "secret of the operators' credentials")
	f.StringVar(&o.team, "team", "platform-team", "team on whose behalf the command is run")
}

// call sends one request to an instance and returns the response's header and body.
// A status other than 200 is an error.
func (o *operatorFlags) call(ctx context.Context, method, address, path string, q url.Values, body []byte) (http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+operator.Credential(o.secret, o.team))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%s responded %s: %s", address, resp.Status, strings.TrimSpace(string(response)))
	}
	return resp.Header, response, nil
}

// configCommand reads and changes the configuration document.
type configCommand struct {
	operatorFlags
	entry  string
	file   string
	base   int64
	change string
}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "read and change the configuration document" }
func (*configCommand) Usage() string {
	return `config [flags] get [SECTION] | check SECTION | put SECTION | history | status
  get      the document in force on the instance, or one section
  check    whether -file is valid as content of the section
  put      replace the section by -file; -base is the revision that the change is
           based on (by default the section's newest one)
  history  the accepted changes
  status   the revision in force on each instance

`
}

func (c *configCommand) SetFlags(f *flag.FlagSet) {
	c.operatorFlags.set(f)
	f.StringVar(&c.entry, "entry", "127.0.0.1:8080", "caller address of any instance")
	f.StringVar(&c.file, "file", "-", "file with the section's content; - is standard input")
	f.Int64Var(&c.base, "base", -1, "section revision that the change is based on; negative: the newest")
	f.StringVar(&c.change, "change", "", "id of the change; a put repeated with the same id takes effect once")
}

func (c *configCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	action, section := f.Arg(0), f.Arg(1)
	var response []byte
	var err error
	switch action {
	case "get":
		q := url.Values{}
		if section != "" {
			q.Set("section", section)
		}
		_, response, err = c.call(ctx, http.MethodGet, c.entry, "/configuration", q, nil)
	case "history", "status":
		_, response, err = c.call(ctx, http.MethodGet, c.entry, "/configuration/"+action, nil, nil)
	case "check", "put":
		response, err = c.checkOrPut(ctx, action, section)
	default:
		return usageError(fmt.Errorf("config %q: want get, check, put, history or status", action))
	}
	if err != nil {
		return failure(err)
	}
	_, _ = os.Stdout.Write(response)
	return subcommands.ExitSuccess
}

// checkOrPut sends one section to be checked or put, according to action. A put
// without -base uses the section's revision in force, one without -change a new
// change id.
func (c *configCommand) checkOrPut(ctx context.Context, action, section string) ([]byte, error) {
	if !operator.ValidSection(section) {
		return nil, fmt.Errorf("config %s %q: invalid section name", action, section)
	}
	body, err := c.readSection()
	if err != nil {
		return nil, err
	}
	q := url.Values{"section": {section}}
	if action == "check" {
		_, response, err := c.call(ctx, http.MethodPost, c.entry, "/configuration/check", q, body)
		return response, err
	}
	if c.base < 0 {
		if c.base, err = c.sectionRevision(ctx, section); err != nil {
			return nil, err
		}
	}
	if c.change == "" {
		c.change = fmt.Sprintf("%s-%d", c.team, time.Now().UnixNano())
	}
	q.Set("base", strconv.FormatInt(c.base, 10))
	q.Set("change", c.change)
	_, response, err := c.call(ctx, http.MethodPut, c.entry, "/configuration/section", q, body)
	if err != nil {
		return nil, fmt.Errorf("change %s: %w", c.change, err)
	}
	return response, nil
}

// sectionRevision returns a section's revision in force on the instance, 0 if the
// section does not exist.
func (c *configCommand) sectionRevision(ctx context.Context, section string) (int64, error) {
	h, _, err := c.call(ctx, http.MethodGet, c.entry, "/configuration", url.Values{"section": {section}}, nil)
	if err != nil {
		if strings.Contains(err.Error(), "unknown-section") || strings.Contains(err.Error(), "no-configuration") {
			return 0, nil
		}
		return 0, err
	}
	n, err := strconv.ParseInt(h.Get("Chestnutstream-Section-Revision"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse section revision: %w", err)
	}
	return n, nil
}

// readSection returns the section's content from -file.
func (c *configCommand) readSection() ([]byte, error) {
	if c.file == "-" {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return b, nil
	}
	b, err := os.ReadFile(c.file)
	if err != nil {
		return nil, fmt.Errorf("read section file: %w", err)
	}
	return b, nil
}

// dumpCommand prints the state of instances.
type dumpCommand struct {
	operatorFlags
	entries string
}

func (*dumpCommand) Name() string     { return "dump" }
func (*dumpCommand) Synopsis() string { return "print the state of one or more instances" }
func (*dumpCommand) Usage() string {
	return "dump -entries HOST:PORT[,HOST:PORT...]\n  Prints one JSON object for each instance; instances that do not respond are reported on standard error.\n\n"
}

func (c *dumpCommand) SetFlags(f *flag.FlagSet) {
	c.operatorFlags.set(f)
	f.StringVar(&c.entries, "entries", "127.0.0.1:8080", "comma-separated caller addresses")
}

func (c *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	return c.callEach(ctx, c.entries, "/dump", nil)
}

// callEach calls instances one after the other and prints their responses. The exit
// status is 1 if any call failed.
func (o *operatorFlags) callEach(ctx context.Context, entries, path string, q url.Values) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	for _, address := range strings.Split(entries, ",") {
		_, response, err := o.call(ctx, http.MethodGet, strings.TrimSpace(address), path, q, nil)
		if err != nil {
			status = failure(err)
			continue
		}
		_, _ = os.Stdout.Write(response)
	}
	return status
}

// explainCommand prints the decisions on a request, a backend server or the
// configuration.
type explainCommand struct {
	operatorFlags
	entries string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "print why a request was routed as it was" }
func (*explainCommand) Usage() string {
	return "explain -entries HOST:PORT[,...] SUBJECT\n  SUBJECT is a request id, a backend server, or configuration. Instances keep only their newest decisions.\n\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.operatorFlags.set(f)
	f.StringVar(&c.entries, "entries", "127.0.0.1:8080", "comma-separated caller addresses")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if f.Arg(0) == "" {
		return usageError(fmt.Errorf("explain: want a request id, a backend server, or configuration"))
	}
	return c.callEach(ctx, c.entries, "/explain", url.Values{"subject": {f.Arg(0)}})
}

// tokenCommand prints a credential.
type tokenCommand struct {
	secret string
}

func (*tokenCommand) Name() string     { return "token" }
func (*tokenCommand) Synopsis() string { return "print the credential of a caller or a team" }
func (*tokenCommand) Usage() string {
	return "token -secret SECRET caller|team NAME\n  Prints the bearer token of a caller under the callers' secret, or of a team under the operators' secret.\n\n"
}

func (c *tokenCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.secret, "secret", "", "the callers' or the operators' secret")
}

func (c *tokenCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if c.secret == "" || f.Arg(1) == "" {
		return usageError(fmt.Errorf("token: want -secret, and caller or team with a name"))
	}
	switch f.Arg(0) {
	case "caller":
		fmt.Println(caller.Credential(c.secret, f.Arg(1)))
	case "team":
		fmt.Println(operator.Credential(c.secret, f.Arg(1)))
	default:
		return usageError(fmt.Errorf("token %q: want caller or team", f.Arg(0)))
	}
	return subcommands.ExitSuccess
}
