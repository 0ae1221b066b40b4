package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/http1"
)

// maxAttempts limits the attempts of one request, the first included.
const maxAttempts = 4

// generateFilter places a generation request on an engine, dispatches it and
// relays the response. Generating has no side effects, so a failed attempt is
// retried on another server as long as the caller has received no part of the
// response.
type generateFilter struct{ server *Server }

// Serve implements Filter.
func (f *generateFilter) Serve(x *Exchange, _ func()) {
	s := f.server
	s.retryBudget.recordRequest(x.Config.Limits.RetryRatio)
	out := newRelay(x)
	avoid := map[string]bool{}
	var lastErr error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !s.retryBudget.allowRetry() {
			x.trace(s, "retry", "the retry budget is spent")
			break
		}
		dispatch, err := s.deps.Placer.Place(x.Ctx, f.pendingRequest(x, attempt, avoid))
		if err != nil {
			lastErr = err
			x.addLoadStall(loadStallOf(err))
			break
		}
		x.addLoadStall(dispatch.LoadStall)
		x.trace(s, "dispatch", dispatch.Server+": "+dispatch.Reason)
		lastErr = f.tryServer(x, dispatch, out)
		if lastErr == nil {
			out.finish()
			return
		}
		http1.LogMalformed(s.cfg.Log, s.cfg.Metrics, lastErr, dispatch.Server, x.ID)
		x.trace(s, "attempt", fmt.Sprintf("%s: %v", dispatch.Server, lastErr))
		if out.started() || x.Ctx.Err() != nil {
			break
		}
		if !engine.IsUnknownModel(lastErr) {
			avoid[dispatch.Server] = true
		}
	}
	f.respondFailure(x, out, lastErr)
}

// addLoadStall adds d to the time that the request waited for its adapter, and
// updates the response header that reports it in milliseconds.
func (x *Exchange) addLoadStall(d time.Duration) {
	x.LoadStall += d
	x.W.Header().Set("Chestnutstream-Load-Stall-Ms", strconv.FormatInt(x.LoadStall.Milliseconds(), 10))
}

func loadStallOf(err error) time.Duration {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.LoadStall
	}
	return 0
}

func (f *generateFilter) pendingRequest(x *Exchange, attempt int, avoid map[string]bool) engine.PendingRequest {
	deadline, _ := x.Ctx.Deadline()
	avoidCopy := make(map[string]bool, len(avoid))
	for name := range avoid {
		avoidCopy[name] = true
	}
	return engine.PendingRequest{
		ID: x.AttemptPrefix + "." + strconv.Itoa(attempt), AdapterVersion: x.Resolved.AdapterVersion,
		BaseModel: x.Resolved.BaseModel, Class: x.Class.Name, Urgency: x.Class.Urgency,
		Deadline: deadline, Avoid: avoidCopy,
	}
}

// tryServer sends the request to one engine and relays its response. The
// exchange's outcome is unknown afterwards, unless the attempt provably did not
// run.
func (f *generateFilter) tryServer(x *Exchange, dispatch engine.Dispatch, out *relay) error {
	previous := x.Outcome
	body, err := x.Generation.engineBody(dispatch.Name)
	if err != nil {
		f.server.deps.Placer.Finish(dispatch.ID, engine.NoFailure)
		return err
	}
	x.Outcome = chestnutstream.Unknown
	err = f.server.deps.Generator.Generate(x.Ctx, dispatch.Address, chestnutstream.Generation{
		RequestID: dispatch.ID, Path: x.R.URL.Path, Body: body, Priority: x.Class.Urgency,
	}, out.writeChunk)
	f.server.deps.Placer.Finish(dispatch.ID, failureOf(err))
	if engine.DidNotRun(err) {
		x.Outcome = previous
	}
	return err
}

func failureOf(err error) engine.Failure {
	var wrongAdapter *wrongAdapterError
	var refused *engine.RefusedError
	var malformed *http1.MalformedError
	switch {
	case err == nil:
		return engine.NoFailure
	case errors.As(err, &wrongAdapter):
		return engine.WrongAdapter
	case engine.IsUnknownModel(err):
		return engine.NotLoaded
	case errors.As(err, &refused):
		return engine.Busy
	case errors.Is(err, engine.ErrNotSent), errors.As(err, &malformed):
		return engine.Unreachable
	default:
		return engine.NoFailure
	}
}

// respondFailure ends a request of which every attempt failed. A stream that
// has started is aborted; otherwise an error response is written, unless the
// caller has closed the connection.
func (f *generateFilter) respondFailure(x *Exchange, out *relay, err error) {
	if out.started() {
		out.abort(err)
		return
	}
	var refused *RefusedError
	switch {
	case x.R.Context().Err() != nil:
		x.Status = statusClientClosedRequest
	case x.Outcome == chestnutstream.NotRun && errors.As(err, &refused):
		x.refuse(refusalStatus(refused.Code), refused)
	case x.Outcome == chestnutstream.NotRun:
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "no-server", Reason: "no backend server took the request: " + errorText(err), RetryAfter: retryAfterDelay})
	case x.Ctx.Err() != nil:
		x.fail(http.StatusGatewayTimeout, "deadline", "no whole answer before the deadline")
	default:
		x.fail(http.StatusBadGateway, "answer-lost", "the answer was lost on its way: "+errorText(err))
	}
}

func errorText(err error) string {
	if err == nil {
		return "no attempt was made"
	}
	return err.Error()
}
