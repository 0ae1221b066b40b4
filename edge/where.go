package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/platform"
)

// wireWhere tells where a request would go now, and why.
type wireWhere struct {
	Instance   string          `json:"instance"`
	Route      string          `json:"route,omitempty"`
	Service    string          `json:"service"`
	Target     string          `json:"target,omitempty"`
	Version    int             `json:"version,omitempty"`
	Server     string          `json:"server,omitempty"`  // "": none has room
	Replica    string          `json:"replica,omitempty"` // engine that would be asked to load the adapter too
	Decision   string          `json:"decision"`
	Reason     string          `json:"reason,omitempty"` // why this server and not another one
	Needs      []string        `json:"needs,omitempty"`  // from other instances, before the request is sent
	Candidates []wireCandidate `json:"candidates"`       // in the order of preference without load; excluded ones last
}

type wireCandidate struct {
	Server   string             `json:"server"`
	Zone     string             `json:"availability-zone"`
	Excluded string             `json:"excluded,omitempty"`
	Loaded   bool               `json:"loaded,omitempty"`
	Terms    map[string]float64 `json:"terms"`
	names    []string           // of Terms, in order
}

// whereParameters are the parameters of /where.
var whereParameters = []string{"host", "path", "service", "adapter", "tokens", "prefix", "request-id", "format"}

// where responds with where a request would go now. It changes no state.
func (n *Node) where(w http.ResponseWriter, r *http.Request) {
	t := n.routes.Load()
	if t == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	p, route, err := readWhere(t, r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Start = n.now()
	n.mu.Lock()
	out := n.whereNow(p, t.Services[p.Service].Engine == nil)
	n.mu.Unlock()
	if route != nil {
		out.Route = route.Name
	}
	if r.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		err = json.NewEncoder(w).Encode(out)
	} else {
		err = out.write(w)
	}
	if err != nil {
		n.log.WithError(err).Warn("writing the response to /where failed")
	}
}

// readWhere decodes the parameters of /where. route is nil if they name a service or an adapter
// only.
func readWhere(t *chestnutstream.RouteTable, q url.Values) (p ingress.PlacementRequest, route *chestnutstream.Route, err error) {
	for name, values := range q {
		if !slices.Contains(whereParameters, name) || len(values) != 1 {
			return p, nil, fmt.Errorf("parameter %q: want each of %s once at most", name, strings.Join(whereParameters, ", "))
		}
	}
	h := http.Header{}
	for name, parameter := range map[string]string{platform.HeaderModel: "adapter", platform.HeaderTokens: "tokens", platform.HeaderPromptParts: "prefix"} {
		if v := q.Get(parameter); v != "" {
			h.Set(name, v)
		}
	}
	header := platform.ReadRequestHeader(h)
	p.RequestID, p.Target, p.Prompt = q.Get("request-id"), header.Target, header.Prompt
	if err := checkPrompt(q.Get("tokens"), q.Get("prefix"), p.Prompt); err != nil {
		return p, nil, err
	}
	switch host, path := q.Get("host"), q.Get("path"); {
	case host != "":
		if route = t.Match(host, path); route == nil {
			return p, nil, fmt.Errorf("no route for host %q and path %q", host, path)
		}
		p.TargetLatency, p.Priority = route.TargetLatency, route.Priority
		p.Resumable = route.Kind == chestnutstream.RouteStreaming && route.Resumable
		p.Service, err = serviceOfRoute(route, q.Get("service"), p.RequestID)
	case path != "":
		err = errors.New("path without host")
	default:
		p.Service, err = serviceOfAdapter(t, q.Get("service"), p.Target)
	}
	if err != nil {
		return p, nil, err
	}
	s := t.Services[p.Service]
	switch {
	case s == nil:
		return p, nil, fmt.Errorf("no service %q in the configuration", p.Service)
	case s.Engine != nil && p.Target.Model == "":
		return p, nil, fmt.Errorf("service %s has engines: name an adapter as MODEL/ADAPTER, or MODEL", p.Service)
	case s.Engine == nil && p.Target.Model != "":
		return p, nil, fmt.Errorf("service %s has no engines, so that it has no adapter %s", p.Service, p.Target)
	case !t.Lists(p.Service, p.Target):
		return p, nil, fmt.Errorf("service %s has no model or adapter %q in configuration %d", p.Service, p.Target, t.Version)
	}
	return p, route, nil
}

// checkPrompt returns an error if token counts or parts that were given could not be decoded.
func checkPrompt(tokens, prefix string, p chestnutstream.Prompt) error {
	_, output, hasOutput := strings.Cut(tokens, ",")
	switch {
	case tokens != "" && p.Tokens == 0, hasOutput && p.MaxOutputTokens == 0 && strings.TrimSpace(output) != "0":
		return fmt.Errorf("tokens %q: want PROMPT or PROMPT,MAX-OUTPUT", tokens)
	case prefix != "" && tokens == "":
		return errors.New("prefix without tokens")
	}
	if pairs := strings.Split(prefix, ","); prefix != "" && len(p.Parts) < len(pairs) {
		return fmt.Errorf("prefix: pair %d, %q: want ID:TOKENS, with no more tokens in all than the prompt has", len(p.Parts)+1, pairs[len(p.Parts)])
	}
	return nil
}

// serviceOfRoute returns the service to which a route sends a request.
func serviceOfRoute(route *chestnutstream.Route, service, requestID string) (string, error) {
	var names []string
	for _, t := range route.Targets {
		names = append(names, t.Service)
	}
	switch {
	case service != "" && !slices.Contains(names, service):
		return "", fmt.Errorf("route %s does not go to service %q but to %s", route.Name, service, strings.Join(names, ", "))
	case service != "":
		return service, nil
	case requestID == "" && len(names) > 1:
		return "", fmt.Errorf("route %s goes to %s: name one as service, or a request-id", route.Name, strings.Join(names, ", "))
	}
	return route.Target(xxhash.Sum64String(requestID)), nil
}

// serviceOfAdapter returns the service named, or the only one that has the adapter's model.
func serviceOfAdapter(t *chestnutstream.RouteTable, service string, target chestnutstream.ModelAdapter) (string, error) {
	if service != "" {
		return service, nil
	}
	if target.Model == "" {
		return "", errors.New("want a host and path, a service or an adapter")
	}
	var names []string
	for name, s := range t.Services {
		if s.Engine != nil && s.Engine.Model(target.Model) != nil {
			names = append(names, name)
		}
	}
	if len(names) != 1 {
		return "", fmt.Errorf("%d services have model %q: name one as service", len(names), target.Model)
	}
	return names[0], nil
}

// whereNow tells where a request would go, by the code that places it. Callers hold mu.
func (n *Node) whereNow(p ingress.PlacementRequest, plain bool) wireWhere {
	now, version := n.now(), 0
	if !plain {
		version = n.fleet.Version(p.Target)
	}
	out := wireWhere{Instance: n.id, Service: p.Service, Target: p.Target.String(), Version: version}
	avoid := n.excludedServers(p)
	c, candidates := n.fleet.Preview(now, fleetRequest(p, version), plain, avoid, n.loadable)
	for _, x := range candidates {
		wire := wireCandidate{Server: x.Server.ID, Zone: x.Server.Zone, Excluded: x.Excluded, Loaded: x.Loaded, Terms: map[string]float64{}}
		for _, t := range x.Terms {
			wire.Terms[t.Name], wire.names = t.Value, append(wire.names, t.Name)
		}
		out.Candidates = append(out.Candidates, wire)
	}
	if n.cutOff[p.Service] && len(n.forwardTargets(p)) > 0 {
		out.Decision = "forwarded to another instance: this one reaches no server of " + p.Service
		return out
	}
	if plain {
		if s := n.peekSpareSlot(now, p, avoid); s != nil {
			c.Server, c.Reason = s, fleet.ReasonSpareSlot
		}
	}
	if c.Server == nil {
		out.Decision = n.withoutServer(now, p, plain, avoid)
		return out
	}
	spec := n.engineSpec(p.Service)
	if !plain && !c.Loaded && spec != nil && !spec.Fits(p.Target) {
		out.Decision = fmt.Sprintf("rejected with Retry-After %d ms: %s is too large for the engines", noServerRetryAfter.Milliseconds(), p.Target)
		return out
	}
	out.Server, out.Decision, out.Reason = c.Server.ID, "sent to "+c.Server.ID, string(c.Reason)
	if c.Replica != nil {
		out.Replica = c.Replica.ID
	}
	if !plain && !c.Loaded {
		out.Needs = append(out.Needs, fmt.Sprintf("its owner %s to load %s there", n.ownerOf(c.Server.ID), p.Target))
	}
	if !plain && n.prefillPaced(p.Service) {
		out.Needs = append(out.Needs, "a prefill grant of its owner "+n.ownerOf(c.Server.ID))
	}
	if rate, _ := c.Server.Limit(); rate > 0 {
		out.Needs = append(out.Needs, fmt.Sprintf("a permit for its limit of %g requests a second", rate))
	}
	if n.isBrittle(c.Server.ID) {
		out.Needs = append(out.Needs, "a slot, as its service is brittle")
	}
	return out
}

// withoutServer tells what becomes of a request that no server may get now. Callers hold mu.
func (n *Node) withoutServer(now time.Time, p ingress.PlacementRequest, plain bool, avoid map[string]bool) string {
	if unreachable, usable := n.fleet.Reachability(p.Service); 2*unreachable > usable && len(n.forwardTargets(p)) > 0 {
		return fmt.Sprintf("forwarded to another instance: this one does not reach %d of %d servers", unreachable, usable)
	}
	wait, blocked := n.fleet.AvailableIn(now, p.Service, avoid)
	limit := p.TargetLatency
	if plain {
		limit = time.Duration(plainWaitShare * float64(limit))
	}
	switch {
	case blocked && wait > limit:
		return fmt.Sprintf("rejected with Retry-After %d ms or more: all servers take no more for now", max(wait, minRetryAfter).Milliseconds())
	case blocked:
		return fmt.Sprintf("waits %d ms for a server", wait.Milliseconds())
	case plain:
		return fmt.Sprintf("rejected with Retry-After %d ms: no server may take work", noServerRetryAfter.Milliseconds())
	}
	return fmt.Sprintf("tried again every %d ms, and rejected with Retry-After %d ms when a response would be too late", placeRetryInterval.Milliseconds(), noServerRetryAfter.Milliseconds())
}

// peekSpareSlot returns the server that serverWithSpareSlot would, and drops no slot. Callers
// hold mu.
func (n *Node) peekSpareSlot(now time.Time, p ingress.PlacementRequest, avoid map[string]bool) *fleet.Server {
	for id, until := range n.spareSlots {
		s := n.fleet.Server(id)
		if s != nil && s.Service == p.Service && s.Unpaused(now) && !avoid[id] && len(until) > 0 && until[len(until)-1].After(now) {
			return s
		}
	}
	return nil
}

// write writes the response as text.
func (o wireWhere) write(w io.Writer) error {
	subject := o.Service
	if o.Route != "" {
		subject = "route " + o.Route + ", service " + o.Service
	}
	if o.Target != "" {
		subject += fmt.Sprintf(", %s version %d", o.Target, o.Version)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s: %s\n", subject, o.Instance, o.Decision)
	if o.Reason != "" {
		fmt.Fprintf(&b, "  because: %s\n", o.Reason)
	}
	for _, need := range o.Needs {
		fmt.Fprintf(&b, "  needs %s\n", need)
	}
	if o.Replica != "" {
		fmt.Fprintf(&b, "  %s is asked to load a replica\n", o.Replica)
	}
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for i, c := range o.Candidates {
		if i == 0 {
			fmt.Fprintf(table, "server\tzone\tloaded\t%s\texcluded\n", strings.Join(c.names, "\t"))
		}
		fmt.Fprintf(table, "%s\t%s\t%t", c.Server, c.Zone, c.Loaded)
		for _, name := range c.names {
			fmt.Fprintf(table, "\t%.4g", c.Terms[name])
		}
		fmt.Fprintf(table, "\t%s\n", c.Excluded)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("format candidates: %w", err)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}
