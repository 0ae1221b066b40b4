package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Admission during a drain: a response that takes longer than what is left of the
// grace period would be cut off midway, while another instance could have served
// it completely. This file estimates which responses end in time.

// Drain describes the drain in progress before a planned stop.
type Drain struct {
	Since     time.Duration // since the signal to stop
	Remaining time.Duration // until responses in progress are cut off
}

// Limits of the admission during a drain.
const (
	// strictAdmissionAfter is how long after the signal a request is admitted
	// based on the durations of earlier responses. From then on it is admitted
	// only if its time limit ends it in time: a response that is cut off counts
	// as lost if its request was sent more than 3 s after the signal, and
	// requests take some time to arrive.
	strictAdmissionAfter = 2500 * time.Millisecond
	// durationsPerRoute is the number of recent responses kept for each route.
	durationsPerRoute = 64
	// retryAfterDraining is the Retry-After for callers that should try another
	// instance.
	retryAfterDraining = 10 * time.Millisecond
)

// drainStages are the points of a drain at which requests get a response all the same.
type drainStages struct {
	waitsEnd     context.Context // for requests that wait for a server since before the drain
	responsesEnd context.Context // for all that have got no response
	endWaits     context.CancelFunc
	endResponses context.CancelFunc
}

func newDrainStages() drainStages {
	var s drainStages
	s.waitsEnd, s.endWaits = context.WithCancel(context.Background())
	s.responsesEnd, s.endResponses = context.WithCancel(context.Background())
	return s
}

// StartDrain is to be called when the dispatcher begins to drain: requests that wait for a
// server get a response while there is time to be served by another instance, and those
// without a response at the end of the drain get one then.
func (s *Server) StartDrain() {
	d, _ := s.dispatcher.Draining()
	time.AfterFunc(d.maxWait(), s.drain.endWaits)
	time.AfterFunc(d.Remaining, s.drain.endResponses)
}

// maxWait returns how long a request may wait for a server from now on: half of the
// time that is left, so that the other half is left for the response.
func (d Drain) maxWait() time.Duration { return d.Remaining / 2 }

// waitsEnd returns the context that ends the waits of a request that arrives now.
func (s *Server) waitsEnd() (context.Context, context.CancelFunc) {
	drain, draining := s.dispatcher.Draining()
	if !draining {
		return s.drain.waitsEnd, func() {}
	}
	return context.WithTimeout(context.Background(), drain.maxWait())
}

// Points at which a drain refuses a request.
const (
	drainAdmission = "on arrival"
	drainWait      = "while it waited for a server"
	drainEnd       = "at the end of the drain"
)

// errDraining returns the error for a request that this instance can no longer serve.
func errDraining(at string) *NoServerError {
	return &NoServerError{Reason: "this instance stops before the answer would end, refused " + at, RetryAfter: retryAfterDraining}
}

// waitContext returns the context for the wait for a server. A request that may have run
// cannot be served by another instance, so it waits until the end of the drain.
func (x *exchange) waitContext() (context.Context, context.CancelFunc) {
	end := x.waitsEnd
	if x.mayHaveRun {
		end = x.server.drain.responsesEnd
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	stop := context.AfterFunc(end, func() { cancel(errDraining(drainWait)) })
	return ctx, func() { stop(); cancel(nil) }
}

// abortUnanswered aborts the request at the end of a drain, unless its caller has got the
// beginning of a response.
func (x *exchange) abortUnanswered() {
	if !x.responseStarted.Load() {
		x.abort(errDraining(drainEnd))
	}
}

// durationHistory keeps the durations of recent responses of each route. The zero
// value is ready for use.
type durationHistory struct {
	mu     sync.Mutex
	routes map[string]*durationRing
}

// durationRing is a ring buffer of durations, each divided by the maximum number
// of output tokens of its request (by 1 if unknown).
type durationRing struct {
	perToken [durationsPerRoute]time.Duration
	n        int // recorded in total
}

// outputTokens returns the divisor of a response's duration: its maximum number of
// output tokens, or 1 if unknown.
func outputTokens(p chestnutstream.Prompt) time.Duration {
	return time.Duration(max(p.MaxOutputTokens, 1))
}

// record adds the duration of a complete response.
func (h *durationHistory) record(route string, p chestnutstream.Prompt, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes == nil {
		h.routes = map[string]*durationRing{}
	}
	r := h.routes[route]
	if r == nil {
		r = &durationRing{}
		h.routes[route] = r
	}
	r.perToken[r.n%durationsPerRoute] = took / outputTokens(p)
	r.n++
}

// maxDuration estimates the longest duration of a response from the slowest recent
// one; ok is false if none was recorded.
func (h *durationHistory) maxDuration(route string, p chestnutstream.Prompt) (longest time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.routes[route]
	if r == nil {
		return 0, false
	}
	for _, d := range r.perToken[:min(r.n, durationsPerRoute)] {
		longest = max(longest, d*outputTokens(p))
	}
	return longest, true
}

// endsInTime reports whether a response is expected to end before the drain cuts it
// off. limit is its own time limit: the caller's deadline or the route's timeout.
// A request that may run once is not admitted by an estimate: if that is wrong, its caller
// does not know whether it has run. For a route without recorded responses, other early
// requests are admitted.
func (h *durationHistory) endsInTime(drain Drain, route *chestnutstream.Route, p chestnutstream.Prompt, limit time.Duration) bool {
	if limit <= drain.Remaining {
		return true
	}
	if drain.Since >= strictAdmissionAfter || route.Kind == chestnutstream.RouteNonIdempotent {
		return false
	}
	longest, ok := h.maxDuration(route.Name, p)
	return !ok || longest <= drain.Remaining
}
