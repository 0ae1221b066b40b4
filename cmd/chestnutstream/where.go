package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// whereCommand prints where an instance would send a request now, and why.
type whereCommand struct {
	instance string
	json     bool
	query    map[string]*string // parameters of /where
}

func (*whereCommand) Name() string     { return "where" }
func (*whereCommand) Synopsis() string { return "print where a request would go now, and why" }
func (*whereCommand) Usage() string {
	return `where -instance HOST:PORT [flags]
  Prints the server that an instance on the users' platform would send a request to
  now, the terms by which it compares the servers, which are excluded and why, and
  what becomes of the request if none has room. Nothing is sent to a server, and
  the instance's state does not change. HOST:PORT is the address of its /metrics.
  The request is named by -host and -path, by -service, or by -adapter.

`
}

func (c *whereCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.instance, "instance", "", "operations address of the instance")
	f.BoolVar(&c.json, "json", false, "print JSON")
	c.query = map[string]*string{}
	for name, usage := range map[string]string{
		"host":       "host of the request",
		"path":       "path of the request",
		"service":    "service, if the route or the adapter's model has several",
		"adapter":    "MODEL/ADAPTER, or MODEL",
		"tokens":     "token counts of the prompt: PROMPT or PROMPT,MAX-OUTPUT",
		"prefix":     "parts of the prompt in order, the request's own one last: ID:TOKENS,...",
		"request-id": "ID of the request, which determines the service of a route with several",
	} {
		c.query[name] = f.String(name, "", usage)
	}
}

func (c *whereCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := parseEnvironment(f); err != nil {
		return usageError(err)
	}
	if f.NArg() > 0 {
		return usageError(fmt.Errorf("where: unexpected argument %q", f.Arg(0)))
	}
	if _, _, err := net.SplitHostPort(c.instance); err != nil {
		return usageError(fmt.Errorf("where: -instance %q: want HOST:PORT", c.instance))
	}
	response, err := c.ask(ctx)
	if err != nil {
		return failure(err)
	}
	_, _ = os.Stdout.Write(response)
	return subcommands.ExitSuccess
}

// ask returns the response of the instance.
func (c *whereCommand) ask(ctx context.Context) ([]byte, error) {
	q := url.Values{}
	for name, value := range c.query {
		if *value != "" {
			q.Set(name, *value)
		}
	}
	if c.json {
		q.Set("format", "json")
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.instance+"/where?"+q.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", c.instance, err)
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", c.instance, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s responded %s: %s", c.instance, resp.Status, strings.TrimSpace(string(response)))
	}
	return response, nil
}
