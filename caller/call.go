package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/service"
)

// callFilter sends a call to a backend server of its service. An idempotent call
// is retried on another server while the deadline and the retry budget allow. A
// non-idempotent call is retried only if it certainly did not run.
type callFilter struct{ server *Server }

// Serve implements Filter.
func (f *callFilter) Serve(x *Exchange, _ func()) {
	s := f.server
	s.retryBudget.recordRequest(x.Config.Limits.RetryRatio)
	avoid := map[string]bool{}
	var lastErr error
	for attempt := 0; attempt < maxAttempts && x.Ctx.Err() == nil; attempt++ {
		if attempt > 0 && !s.retryBudget.allowRetry() {
			break
		}
		name, address, ok := s.deps.Pool.Pick(x.Service.Name, avoid)
		if !ok {
			break
		}
		x.trace(s, "dispatch", name)
		resp, err := f.tryServer(x, attempt, address)
		s.deps.Pool.Done(name, err != nil)
		if err == nil {
			f.respond(x, resp)
			return
		}
		lastErr = err
		http1.LogMalformed(s.cfg.Log, s.cfg.Metrics, err, name, x.ID)
		x.trace(s, "attempt", name+": "+err.Error())
		avoid[name] = true
		if !x.Idempotent && x.Outcome != chestnutstream.NotRun {
			break
		}
	}
	f.respondFailure(x, lastErr)
}

// errDeclaredNotRun means that the response had a status that the service's
// configuration declares as "the call did not run".
var errDeclaredNotRun = errors.New("the server refused the call")

func (f *callFilter) tryServer(x *Exchange, attempt int, address string) (chestnutstream.ServiceResponse, error) {
	previous := x.Outcome
	x.Outcome = chestnutstream.Unknown
	start := f.server.cfg.Timer.Now()
	ctx := x.Ctx
	if !x.Idempotent {
		// A disconnecting caller does not cancel a non-idempotent call, so
		// that its response can still be recorded.
		deadline, _ := x.Ctx.Deadline()
		detached, cancel := context.WithDeadline(context.WithoutCancel(x.Ctx), deadline)
		defer cancel()
		ctx = detached
	}
	resp, err := f.server.deps.Services.Call(ctx, address, chestnutstream.ServiceCall{
		Method: x.R.Method, Path: x.ServicePath, Header: x.R.Header, Body: x.Body,
		RequestID: x.ID, ResponseTimeout: f.responseTimeout(x, attempt),
	})
	if err == nil {
		f.server.responseTimes.Observe(f.server.cfg.Timer.Now().Sub(start))
	}
	switch {
	case errors.Is(err, service.ErrNotSent):
		x.Outcome = previous
	case err == nil && x.Service.IsNotRunStatus(resp.Status):
		x.Outcome = previous
		err = errDeclaredNotRun
	}
	return resp, err
}

// responseTimeout returns how long an idempotent call waits for a response
// before it is retried on another server. 0 means no limit but the deadline: for
// the last attempt and for non-idempotent calls.
func (f *callFilter) responseTimeout(x *Exchange, attempt int) time.Duration {
	if !x.Idempotent || attempt == maxAttempts-1 {
		return 0
	}
	return f.server.responseTimes.Threshold(engine.DefaultStallSettings())
}

func (f *callFilter) respond(x *Exchange, resp chestnutstream.ServiceResponse) {
	x.Outcome = chestnutstream.Ran
	if x.ClaimTicket != nil {
		f.server.deps.Claims.RecordResponse(*x.ClaimTicket, resp)
	}
	x.writeResponse(resp)
}

// respondFailure ends a call that no server responded to.
func (f *callFilter) respondFailure(x *Exchange, err error) {
	if x.Outcome == chestnutstream.NotRun {
		if x.ClaimTicket != nil {
			f.server.deps.Claims.Release(*x.ClaimTicket)
		}
		code := "no-server"
		if x.Ctx.Err() != nil {
			code = "deadline"
		}
		x.refuse(refusalStatus(code), &RefusedError{Code: code, Reason: "no backend server took the call: " + errorText(err), RetryAfter: retryAfterDelay})
		return
	}
	if x.R.Context().Err() != nil {
		x.Status = statusClientClosedRequest
		return
	}
	x.fail(http.StatusBadGateway, "answer-lost", "the call was sent and its answer was lost: "+errorText(err))
}

// writeResponse writes a service's complete response to the caller. Headers that
// the pipeline has set take precedence over the service's.
func (x *Exchange) writeResponse(resp chestnutstream.ServiceResponse) {
	h := x.W.Header()
	for name, values := range resp.Header {
		if _, exists := h[name]; !exists {
			h[name] = values
		}
	}
	h.Set(outcomeHeader, string(x.Outcome))
	if x.R.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	x.Status = resp.Status
	x.W.WriteHeader(resp.Status)
	_, _ = x.W.Write(resp.Body)
}
