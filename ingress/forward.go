package ingress

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
)

// An instance that reaches no server forwards requests to another instance, which places
// them like its own and never forwards them again. The request is the caller's, byte for
// byte; these headers are added on the way and removed at its end.
const (
	headerForwardedBy = "Chestnutstream-Forwarded-By" // request: the forwarding instance
	// headerTried lists the servers that gave the request a connection: in the request those
	// before, in the response all.
	headerTried = "Chestnutstream-Tried-Servers"
	// headerSoftware is, in the request, the software version that has to go on with a
	// stream, and in the response that of the server.
	headerSoftware = "Chestnutstream-Stream-Software"
	// headerWorkspace is the workspace of the request's key, empty for a request without one.
	// The key itself is not forwarded.
	headerWorkspace = "Chestnutstream-Workspace"
	headerOutcome   = "Chestnutstream-Outcome" // response that the other instance itself generated: a forwardOutcome
)

var forwardHeaders = []string{headerForwardedBy, headerTried, headerSoftware, headerWorkspace, headerOutcome}

// forwardOutcome tells what became of a request that an instance responds to itself.
type forwardOutcome string

const (
	forwardNotRun  forwardOutcome = "not-run" // and it never will
	forwardUnknown forwardOutcome = "unknown"
)

// maxForwards is the number of instances to which a request is forwarded.
const maxForwards = 2

// Forwarded returns the handler of requests that other instances forward.
func (s *Server) Forwarded() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, r.Header.Get(headerForwardedBy)) })
}

// IsForwarded reports whether a request was forwarded by another instance.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerForwardedBy) != "" }

// takeForwardHeaders reads and removes the headers that the forwarding instance has added.
func (x *exchange) takeForwardHeaders() {
	h := x.r.Header
	x.addTried(h)
	if _, ok := h[headerSoftware]; ok {
		x.continues, x.streamSoftware = true, h.Get(headerSoftware)
	}
	if name, ok := h[headerWorkspace]; ok && len(name) == 1 {
		x.forwardedWorkspace = &name[0]
	}
	removeForwardHeaders(h)
}

// addTried adds the servers that another instance has sent the request to.
func (x *exchange) addTried(h http.Header) {
	for _, server := range splitList(h.Get(headerTried)) {
		if !slices.Contains(x.connectedServers, server) {
			x.connectedServers = append(x.connectedServers, server)
			x.servers, x.software = append(x.servers, server), append(x.software, "")
			x.avoid[server] = true
		}
	}
}

func removeForwardHeaders(h http.Header) {
	for _, name := range forwardHeaders {
		h.Del(name)
	}
}

func splitList(s string) []string {
	return slices.DeleteFunc(strings.Split(s, ","), func(v string) bool { return v == "" })
}

// setForwardHeaders sets the headers of a request that is forwarded.
func (x *exchange) setForwardHeaders(h http.Header) {
	removeForwardHeaders(h)
	h.Set(headerForwardedBy, x.server.cfg.Instance)
	h.Set(headerTried, strings.Join(x.connectedServers, ","))
	if x.continues {
		h.Set(headerSoftware, x.streamSoftware)
	}
	if x.keyChecked {
		h.Set(headerWorkspace, x.workspaceName())
	}
}

// setForwardedResponse adds to the response to a forwarded request what the forwarding
// instance has to know. outcome is "" for a response of a server.
func (x *exchange) setForwardedResponse(outcome forwardOutcome) {
	if x.forwardedBy == "" {
		return
	}
	h := x.w.Header()
	h.Set(headerTried, strings.Join(x.connectedServers, ","))
	if outcome != "" {
		h.Set(headerOutcome, string(outcome))
	} else if len(x.software) > 0 {
		h.Set(headerSoftware, x.software[len(x.software)-1])
	}
}

// outcome returns what this instance knows of a request that it responds to itself.
func (x *exchange) outcome() forwardOutcome {
	if x.mayHaveRun {
		return forwardUnknown
	}
	return forwardNotRun
}

// checkForwarded classifies the header of another instance's response, and relays the
// response of a server. It returns true if the caller has a response or the request cannot
// be retried.
func (x *exchange) checkForwarded(a Assignment, br *backendResponse, took time.Duration) bool {
	h := br.resp.Header
	outcome := forwardOutcome(h.Get(headerOutcome))
	switch {
	case br.belongs == ownResponse:
		x.addTried(h)
	case outcome == forwardNotRun:
		outcome = forwardUnknown
	}
	switch outcome {
	case forwardNotRun:
		x.reason = fmt.Sprintf("%s has not run it: %d", a.Peer, br.resp.StatusCode)
		x.recordForward(a, fleet.Refused, took)
		x.forwardRetryAfter = platform.ReadBackpressure(br.resp.StatusCode, h).RetryAfter
		return false
	case forwardUnknown:
		x.recordForward(a, fleet.Responded, took)
		x.mayHaveRun = true
		status := statusFailed
		if br.resp.StatusCode == statusTimeout {
			status = statusTimeout
		}
		x.respond(status, fmt.Sprintf("%s: it may have run", a.Peer))
		return true
	}
	x.connectedAttempts++
	x.mayHaveRun = true
	if !br.isValid() {
		x.recordForward(a, fleet.Failed, took)
		x.respond(statusFailed, fmt.Sprintf("%s: answer %d is of no server", a.Peer, br.resp.StatusCode))
		return true
	}
	x.recordForward(a, fleet.Responded, took)
	a.Server.Software = h.Get(headerSoftware)
	if x.resumable() && !x.continues {
		x.server.dispatcher.RecordOrigin(a, x.header.ID)
	}
	if x.stream != nil && br.resp.StatusCode != http.StatusOK {
		return x.streamFailed(a, fmt.Errorf("resume request got status %d", br.resp.StatusCode))
	}
	return x.relay(a, br)
}

// recordForward records the outcome of forwarding to an instance, which gets the request
// no second time.
func (x *exchange) recordForward(a Assignment, o fleet.Outcome, took time.Duration) {
	x.avoidPeers[a.Peer] = true
	x.server.dispatcher.RecordResult(a, x.header.Target, Result{Outcome: o, Took: took})
}

// forwardFailed continues after an instance gave no response. Once it had a connection, it
// is unknown which servers it has sent the request to.
func (x *exchange) forwardFailed(a Assignment, connected bool, took time.Duration, err error) bool {
	if !connected {
		x.recordForward(a, fleet.Unreachable, took)
		return false
	}
	x.logMalformed(a, err)
	x.recordForward(a, fleet.Failed, took)
	x.mayHaveRun = true
	x.respondFailed(err)
	return true
}

// forwardDeadline returns the time left for an instance that the request is forwarded to,
// which knows neither when the request came nor of a drain here.
func (x *exchange) forwardDeadline() time.Duration {
	left := min(x.remaining(), x.deadline.Sub(x.server.cfg.Timer.Now()))
	if drain, draining := x.server.dispatcher.Draining(); draining {
		left = min(left, drain.Remaining)
	}
	return left
}
