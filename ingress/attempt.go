package ingress

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Limits of attempts and retries.
const (
	maxAttempts            = 5   // per request, including attempts that servers rejected
	waitTimeoutShare       = 0.8 // share of the latency target after which a repeatable request is retried on another server
	streamWaitTimeoutShare = 2.0 // the same for streams
	minWaitTimeout         = 60 * time.Millisecond
	rejectionPause         = 25 * time.Millisecond // after a rejection, from the second attempt on
	minRetryTime           = 15 * time.Millisecond // no retry when less time is left before the deadline
)

// run sends the request to one server after another until the caller has a
// response.
func (x *exchange) run() {
	for {
		a, err := x.place()
		if err != nil {
			x.respondUnplaced(err)
			return
		}
		if x.attempt(a) {
			return
		}
	}
}

func (x *exchange) place() (Assignment, error) {
	if x.attempts >= maxAttempts {
		return Assignment{}, &NoServerError{Reason: fmt.Sprintf("not taken by %d servers: %s", x.attempts, x.reason), RetryAfter: x.retryAfter()}
	}
	ctx, cancel := x.waitContext()
	defer cancel()
	a, err := x.server.dispatcher.Place(ctx, x.placement(x.placementDeadline()))
	if aborted := abortedBy(ctx); aborted != nil && err != nil {
		return Assignment{}, aborted
	}
	if err != nil {
		return Assignment{}, fmt.Errorf("place: %w", err)
	}
	x.stall += a.LoadStall
	x.viewAge, x.cachedTokens = a.ViewAge, a.CachedTokens
	if x.connectedAttempts > 0 && !x.retryReserved.Swap(false) && !x.server.dispatcher.AllowRetry(x.service) {
		x.server.dispatcher.Release(a, Ending{Complete: true})
		return Assignment{}, &NoServerError{Reason: "retry budget spent: " + x.reason, RetryAfter: x.retryAfter()}
	}
	return a, nil
}

// retryAfter returns the Retry-After of a request that no server has taken.
func (x *exchange) retryAfter() time.Duration {
	return x.server.dispatcher.RetryAfter(x.service, retryAfterDefault)
}

func (x *exchange) placement(until time.Time) PlacementRequest {
	return PlacementRequest{
		RequestID: x.header.ID, Service: x.service, Target: x.header.Target, Prompt: x.header.Prompt,
		TargetLatency: x.route.TargetLatency, Priority: x.rank(), Workspace: x.workspaceName(), Start: x.start, Avoid: x.avoid, Until: until,
		Continues: x.continues, Software: x.streamSoftware,
		Resumable: x.resumable(),
		Forwarded: x.forwardedBy != "" || x.forwards >= maxForwards, Unreachable: x.unreachable, AvoidPeers: x.avoidPeers,
	}
}

// Callers abandon a stream whose first event does not arrive within the longest
// of these times, according to the platform's documentation.
const (
	minAbandonTime        = 2 * time.Second
	abandonLatencyTargets = 4                      // in latency targets
	abandonEventGaps      = 8                      // in longest allowed pauses between events
	firstEventTime        = 250 * time.Millisecond // time a busy engine takes until the first event
)

// placementDeadline returns the time until which placing the request is useful.
// After that it is rejected, while the caller still waits for a response.
func (x *exchange) placementDeadline() time.Time {
	if x.route.Kind != chestnutstream.RouteStreaming {
		return x.deadline
	}
	abandoned := max(minAbandonTime, abandonLatencyTargets*x.route.TargetLatency, abandonEventGaps*x.route.TargetGap)
	waitsSince := x.start
	if x.stream != nil && x.stream.eventSent {
		waitsSince = x.stream.lastEventAt
	}
	until := waitsSince.Add(abandoned - firstEventTime)
	if x.deadline.Before(until) {
		return x.deadline.Add(-firstEventTime)
	}
	return until
}

// attempt sends the request to one server and releases its assignment, also when it
// panics to break the response off. It returns true if the caller has a response or the
// request cannot be retried.
func (x *exchange) attempt(a Assignment) bool {
	sent := x.startSending()
	defer x.releaseSent(a, sent)
	x.recordSend(a)
	x.responseBegun.Store(false)
	waitTimeout := x.waitTimeout()
	if a.Peer != "" {
		waitTimeout = 0 // the other instance waits for servers
	}
	br, connected, err := x.send(a, x.lastEventID(), waitTimeout)
	sent.response, sent.connected = br, connected
	took := x.server.cfg.Timer.Now().Sub(sent.at)
	if err != nil {
		return x.sendFailed(a, connected, took, err)
	}
	defer br.close()
	x.responseBegun.Store(true)
	if a.Peer != "" {
		return x.checkForwarded(a, br, took)
	}
	return x.checkResponse(a, br, took)
}

// recordSend records that the request is sent to a server. The origin of a stream is
// recorded now, so that it has reached other instances and the store by the first event.
func (x *exchange) recordSend(a Assignment) {
	if a.Peer != "" {
		x.forwards++
		return
	}
	x.attempts++
	x.servers, x.software = append(x.servers, a.Server.ID), append(x.software, a.Server.Software)
	if x.resumable() && !x.continues {
		x.server.dispatcher.RecordOrigin(a, x.header.ID)
	}
}

// recordConnected records that a server gave the request a connection.
func (x *exchange) recordConnected(a Assignment) {
	x.connectedAttempts++
	x.connectedServers = append(x.connectedServers, a.Server.ID)
}

// resumable reports whether the request is for a stream that the caller may take up.
func (x *exchange) resumable() bool {
	return x.route.Kind == chestnutstream.RouteStreaming && x.route.Resumable
}

// waitTimeout returns how long a server may take to respond before a repeatable
// request is retried on another server; 0: no timeout.
func (x *exchange) waitTimeout() time.Duration {
	if !x.route.Repeatable() || len(x.servers) >= x.route.MaxServers || x.route.TargetLatency <= 0 {
		return 0
	}
	share := waitTimeoutShare
	if x.route.Kind == chestnutstream.RouteStreaming {
		share = streamWaitTimeoutShare
	}
	return max(time.Duration(share*float64(x.route.TargetLatency)), minWaitTimeout)
}

func (x *exchange) sendFailed(a Assignment, connected bool, took time.Duration, err error) bool {
	x.reason = err.Error()
	aborted := x.aborted()
	switch {
	case x.r.Context().Err() != nil:
		x.status = statusCallerClosed
		return true
	case aborted != nil:
		x.mayHaveRun = x.mayHaveRun || connected
		x.respondUnplaced(aborted)
		return true
	case a.Peer != "":
		return x.forwardFailed(a, connected, took, err)
	}
	r := Result{Took: took, Outcome: x.sendOutcome(connected, err)}
	x.server.dispatcher.RecordResult(a, x.header.Target, r)
	if r.Outcome == fleet.Inconclusive {
		x.servers, x.software = x.servers[:len(x.servers)-1], x.software[:len(x.software)-1]
		return false
	}
	x.avoid[a.Server.ID] = true
	if !connected {
		x.unreachable++
		return false
	}
	x.recordConnected(a)
	x.mayHaveRun = true
	x.recordBroken(a, chestnutstream.ResponseNone, err)
	if x.mayRetry() {
		return false
	}
	x.respondFailed(err)
	return true
}

// sendOutcome returns what an attempt without a response tells about its server.
func (x *exchange) sendOutcome(connected bool, err error) fleet.Outcome {
	switch {
	case errors.Is(err, errNotWritten):
		return fleet.Inconclusive
	case errors.Is(err, errNoResponse), x.ctx.Err() != nil:
		return fleet.Unresponsive
	case !connected && !errors.Is(err, errNotAccepted):
		return fleet.Unreachable // also when the dial timed out
	}
	return fleet.Failed
}

// mayRetry reports whether a request that may have run may be sent to another
// server.
func (x *exchange) mayRetry() bool {
	if !x.route.Repeatable() || x.suspected || x.ctx.Err() != nil || x.remaining() < minRetryTime {
		return false
	}
	return x.distinctServers() < x.route.MaxServers
}

func (x *exchange) distinctServers() int {
	seen := map[string]bool{}
	for _, s := range x.servers {
		seen[s] = true
	}
	return len(seen)
}

// checkResponse classifies the header of a response and relays the response if it
// is valid. It returns true if the caller has a response or the request cannot be
// retried.
func (x *exchange) checkResponse(a Assignment, br *backendResponse, took time.Duration) bool {
	x.recordConnected(a)
	r := x.result(a, br, took)
	r.Connected = br.connected
	x.server.dispatcher.RecordResult(a, x.header.Target, r)
	if r.Outcome == fleet.Refused {
		return x.rejected(a, r)
	}
	x.mayHaveRun = true
	status := br.resp.StatusCode
	if !br.isValid() {
		h := br.resp.Header
		x.avoid[a.Server.ID] = true
		x.reason = fmt.Sprintf("%s: answer %d is of request %q, signed %t", a.Server.ID, status, h.Get(platform.HeaderRequestID), h.Get(platform.HeaderSignature) != "")
		if x.mayRetry() {
			return false
		}
		x.respond(statusFailed, x.reason)
		return true
	}
	if x.stream != nil && status != http.StatusOK {
		return x.streamFailed(a, fmt.Errorf("resume request got status %d", status))
	}
	return x.relay(a, br)
}

// result classifies a response by its header and collects what it reports about
// its server. A response that may belong to another request reports nothing. A rejection is
// recorded, here and with its connection.
func (x *exchange) result(a Assignment, br *backendResponse, took time.Duration) Result {
	r := Result{Took: took, Outcome: fleet.Responded}
	switch br.belongs {
	case ownResponse:
	case earlierResponse:
		r.Outcome = fleet.Inconclusive
		return r
	default:
		r.Outcome = fleet.Failed
		return r
	}
	status, h := br.resp.StatusCode, br.resp.Header
	if l, ok := platform.ReadServerLoad(h); ok {
		r.Load = &l
	}
	id := h.Get(platform.HeaderServerID)
	otherServer := id != "" && id != a.Server.ID
	basis, rejected := platform.ReadRejection(status, h, a.Server.ID)
	switch {
	case rejected:
		r.Outcome = fleet.Refused
		br.rejected = true
		br.conn.recordRejection(x.header.ID)
		x.rejections = append(x.rejections, rejection{server: a.Server.ID, status: status, basis: basis, requestsBefore: br.seq - 1})
		r.WrongServer = otherServer && status == http.StatusMisdirectedRequest
		r.NotLoaded = !r.WrongServer && status == http.StatusMisdirectedRequest
		if !otherServer {
			r.Backpressure = platform.ReadBackpressure(status, h)
			r.Backpressure.Unlimited, r.Backpressure.Sturdy = false, false // a rejection without a limit does not mean that the server has none
			r.NoRoom = status == http.StatusServiceUnavailable
		}
	case !br.isValid():
		r.Outcome = fleet.Failed
	default:
		if status >= http.StatusInternalServerError {
			r.Outcome = fleet.Failed
		}
		r.Backpressure = platform.ReadBackpressure(status, h)
	}
	return r
}

// rejected continues after a server rejected the request. It returns false if the request
// is to be sent again.
func (x *exchange) rejected(a Assignment, r Result) bool {
	last := x.rejections[len(x.rejections)-1]
	x.reason = fmt.Sprintf("%s refused: %d", a.Server.ID, last.status)
	if !r.NotLoaded {
		x.avoid[a.Server.ID] = true
	}
	if !last.basis.ProvesNotRun() {
		x.mayHaveRun = true
		if !x.mayRetry() {
			x.respondUnstated(a, last.status)
			return true
		}
	}
	if x.ctx.Err() == nil && len(x.servers) > 1 {
		timer.Sleep(x.ctx, rejectionPause)
	}
	return false
}

// respondUnplaced sends the final response if no server can take the request.
func (x *exchange) respondUnplaced(err error) {
	if x.r.Context().Err() != nil {
		x.status, x.reason = statusCallerClosed, "the caller has gone"
		return
	}
	if x.stream != nil {
		x.status, x.reason = statusFailed, "stream broken off: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	if x.mayHaveRun {
		x.respondFailed(err)
		return
	}
	var retryAfter time.Duration
	var noServer *NoServerError
	if errors.As(err, &noServer) {
		retryAfter = noServer.RetryAfter
	} else {
		retryAfter = x.retryAfter()
	}
	retryAfter = max(retryAfter, x.forwardRetryAfter)
	x.reject(retryAfter, err.Error())
}

// respondFailed responds to a request that may have run and got no response.
func (x *exchange) respondFailed(err error) {
	if errors.Is(context.Cause(x.ctx), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		x.respond(statusTimeout, err.Error())
		return
	}
	x.respond(statusFailed, err.Error())
}

// respondUnstated responds to a request whose server did not state whether it has run, with
// a status that its caller would take for that.
func (x *exchange) respondUnstated(a Assignment, status int) {
	x.respond(statusFailed, fmt.Sprintf("%s: answer %d does not say whether the request has run", a.Server.ID, status))
}
