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

// Figures of sending again.
const (
	sendsMost        = 5   // of one request, refused ones included
	patienceAnswers  = 0.8 // of the latency target: after that a repeatable request is asked elsewhere
	patienceStreams  = 2.0
	patienceLeast    = 60 * time.Millisecond
	pauseAfterRefuse = 25 * time.Millisecond
	runMargin        = 15 * time.Millisecond // less than this before the deadline nothing new is sent
)

// run sends the request until it is answered, or cannot be any more.
func (x *exchange) run() {
	for {
		p, err := x.place()
		if err != nil {
			x.giveUp(err)
			return
		}
		done := x.attempt(p)
		x.server.dispatcher.Done(p)
		if done {
			return
		}
	}
}

func (x *exchange) place() (Placed, error) {
	if x.sends >= sendsMost {
		return Placed{}, &NoPlaceError{Reason: fmt.Sprintf("not taken by %d servers: %s", x.sends, x.reason), RetryAfter: retrySoon}
	}
	p, err := x.server.dispatcher.Place(x.ctx, x.placement(x.placeUntil()))
	if err != nil {
		return Placed{}, fmt.Errorf("place: %w", err)
	}
	x.stall += p.Stall
	if x.arrivals > 0 && !x.server.dispatcher.Again(x.service) {
		x.server.dispatcher.Done(p)
		return Placed{}, &NoPlaceError{Reason: "retry budget spent: " + x.reason, RetryAfter: retrySoon}
	}
	return p, nil
}

func (x *exchange) placement(until time.Time) Placement {
	return Placement{
		RequestID: x.header.ID, Service: x.service, Target: x.header.Target, Prompt: x.header.Prompt,
		Latency: x.route.TargetLatency, Priority: x.route.Priority, Began: x.began, Avoid: x.avoid, Until: until,
	}
}

// Callers abandon a stream whose first event does not come: after the longest of
// these, by the platform's pages.
const (
	abandonLeast   = 2 * time.Second
	abandonTargets = 4                      // latency targets
	abandonGaps    = 8                      // longest pauses between events
	firstEventTime = 250 * time.Millisecond // what an engine takes to the first event, when it is busy
)

// placeUntil returns until when a place for the request is of use. After that it
// is refused, as long as it can be told when to come back.
func (x *exchange) placeUntil() time.Time {
	if x.route.Kind != chestnutstream.RouteStreaming {
		return x.deadline
	}
	abandoned := max(abandonLeast, abandonTargets*x.route.TargetLatency, abandonGaps*x.route.TargetGap)
	until := x.began.Add(abandoned - firstEventTime)
	if x.deadline.Before(until) {
		return x.deadline.Add(-firstEventTime)
	}
	return until
}

// attempt sends the request to one server. It returns true when the caller has
// been answered.
func (x *exchange) attempt(p Placed) bool {
	began := x.server.cfg.Timer.Now()
	x.sends++
	x.servers = append(x.servers, p.Server.ID)
	a, handed, err := x.send(p, x.lastEvent(), x.patience())
	took := x.server.cfg.Timer.Now().Sub(began)
	if err != nil {
		return x.sendFailed(p, handed, took, err)
	}
	defer a.close()
	return x.check(p, a, took)
}

// patience returns how long a server may be silent before a request that may
// be repeated goes elsewhere.
func (x *exchange) patience() time.Duration {
	if !x.route.Repeatable() || len(x.servers) >= x.route.MaxServers || x.route.TargetLatency <= 0 {
		return 0
	}
	share := patienceAnswers
	if x.route.Kind == chestnutstream.RouteStreaming {
		share = patienceStreams
	}
	return max(time.Duration(share*float64(x.route.TargetLatency)), patienceLeast)
}

func (x *exchange) sendFailed(p Placed, handed bool, took time.Duration, err error) bool {
	x.reason = err.Error()
	r := Result{Took: took, Outcome: fleet.Failed}
	switch {
	case x.r.Context().Err() != nil:
		x.status = statusClientGone
		return true
	case errors.Is(err, errSilent), errors.Is(err, context.DeadlineExceeded):
		r.Outcome = fleet.Silent
	case !handed:
		r.Outcome = fleet.Unreachable
	}
	x.server.dispatcher.Answered(p, x.header.Target, r)
	x.avoid[p.Server.ID] = true
	if !handed {
		return false
	}
	x.arrivals++
	x.mayRun = true
	if x.mayRepeat() {
		return false
	}
	x.fail(err)
	return true
}

// mayRepeat reports whether a request that may have run may be sent to one more
// server.
func (x *exchange) mayRepeat() bool {
	if !x.route.Repeatable() || x.ctx.Err() != nil || x.left() < runMargin {
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

// check looks at the beginning of an answer and relays it, if it is one.
func (x *exchange) check(p Placed, a *sent, took time.Duration) bool {
	x.arrivals++
	h := a.resp.Header
	r := x.result(p, a.resp, took)
	status := a.resp.StatusCode
	if r.Outcome == fleet.Refused {
		x.server.dispatcher.Answered(p, x.header.Target, r)
		return x.refusedBy(p, a, r)
	}
	if !x.isAnswer(a.resp) {
		x.server.dispatcher.Answered(p, x.header.Target, r)
		x.mayRun, x.avoid[p.Server.ID] = true, true
		x.reason = fmt.Sprintf("%s: answer %d is of request %q, signed %t", p.Server.ID, status, h.Get(platform.HeaderRequestID), h.Get(platform.HeaderSignature) != "")
		if x.mayRepeat() {
			return false
		}
		x.answer(statusBroken, x.reason)
		return true
	}
	x.mayRun = true
	if x.stream != nil && status != http.StatusOK {
		x.server.dispatcher.Answered(p, x.header.Target, r)
		return x.streamBroke(p, fmt.Errorf("going on was answered %d", status))
	}
	x.server.dispatcher.Answered(p, x.header.Target, r)
	return x.relay(p, a)
}

// result returns what the beginning of an answer tells of its server.
func (x *exchange) result(p Placed, resp *http.Response, took time.Duration) Result {
	r := Result{Took: took, Outcome: fleet.Answered}
	status, h := resp.StatusCode, resp.Header
	if l, ok := platform.ReadServerLoad(h); ok {
		r.Load = &l
	}
	id := h.Get(platform.HeaderServerID)
	other := id != "" && id != p.Server.ID
	switch {
	case platform.NotExecuted(status, h):
		r.Outcome = fleet.Refused
		r.Foreign = other && status == http.StatusMisdirectedRequest
		r.NotHeld = !r.Foreign && status == http.StatusMisdirectedRequest
		if !other {
			r.Said = platform.ReadBackpressure(status, h)
			r.Said.Unlimited = false // not all that refuse say what they take
		}
	case !x.isAnswer(resp):
		r.Outcome = fleet.Failed
	default:
		if status >= http.StatusInternalServerError {
			r.Outcome = fleet.Failed
		}
		r.Said = platform.ReadBackpressure(status, h)
	}
	return r
}

// isAnswer reports whether an answer belongs to this request and bears a server's
// signature.
func (x *exchange) isAnswer(resp *http.Response) bool {
	return resp.Header.Get(platform.HeaderRequestID) == x.header.ID && resp.Header.Get(platform.HeaderSignature) != ""
}

// refusedBy goes on after a server said that it did not run the request.
func (x *exchange) refusedBy(p Placed, a *sent, r Result) bool {
	x.reason = fmt.Sprintf("%s refused: %d", p.Server.ID, a.resp.StatusCode)
	if !r.NotHeld {
		x.avoid[p.Server.ID] = true
	}
	if x.ctx.Err() == nil && len(x.servers) > 1 {
		timer.Sleep(x.ctx, pauseAfterRefuse)
	}
	return false
}

// giveUp gives the final answer when no server can take the request.
func (x *exchange) giveUp(err error) {
	if x.r.Context().Err() != nil {
		x.status, x.reason = statusClientGone, "the caller has gone"
		return
	}
	if x.stream != nil {
		x.status, x.reason = statusBroken, "stream broken off: "+err.Error()
		panic(http.ErrAbortHandler)
	}
	if x.mayRun {
		x.fail(err)
		return
	}
	after := retrySoon
	var none *NoPlaceError
	if errors.As(err, &none) {
		after = none.RetryAfter
	}
	x.refuse(after, err.Error())
}

// fail answers a request that may have run and has no answer.
func (x *exchange) fail(err error) {
	if x.ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		x.answer(statusTimeout, err.Error())
		return
	}
	x.answer(statusBroken, err.Error())
}
