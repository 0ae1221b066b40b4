package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/service"
)

// call sends a call to a backend server of its service. An idempotent call is
// repeated on another server while time and the retry budget allow; any other
// is sent again only when it certainly did not run.
type call struct{ server *Server }

// Serve implements Filter.
func (f *call) Serve(x *Exchange, _ func()) {
	s := f.server
	s.retries.earn(x.Config.Limits.RetryShare)
	avoid := map[string]bool{}
	var last error
	for attempt := 0; attempt < maxAttempts && x.Ctx.Err() == nil; attempt++ {
		if attempt > 0 && !s.retries.take() {
			break
		}
		name, address, ok := s.parts.Pool.Pick(x.Service.Name, avoid)
		if !ok {
			break
		}
		x.note(s, "dispatch", name)
		answer, err := f.attempt(x, attempt, address)
		s.parts.Pool.Done(name, err != nil)
		if err == nil {
			f.answered(x, answer)
			return
		}
		last = err
		x.note(s, "attempt", name+": "+err.Error())
		avoid[name] = true
		if !x.Idempotent && x.Outcome != chestnutstream.NotRun {
			break
		}
	}
	f.giveUp(x, last)
}

// errRefused says that a service refused a call by a status that its
// configuration declares to mean that the call did not run.
var errRefused = errors.New("the server refused the call")

func (f *call) attempt(x *Exchange, attempt int, address string) (chestnutstream.ServiceAnswer, error) {
	before := x.Outcome
	x.Outcome = chestnutstream.Unknown
	began := f.server.cfg.Timer.Now()
	ctx := x.Ctx
	if !x.Idempotent {
		// A caller that leaves does not take its order back: the answer is
		// recorded all the same.
		deadline, _ := x.Ctx.Deadline()
		detached, cancel := context.WithDeadline(context.WithoutCancel(x.Ctx), deadline)
		defer cancel()
		ctx = detached
	}
	answer, err := f.server.parts.Services.Call(ctx, address, chestnutstream.ServiceCall{
		Method: x.R.Method, Path: x.ServicePath, Header: x.R.Header, Body: x.Body,
		Idempotent: x.Idempotent, RequestID: x.ID, Patience: f.patience(x, attempt),
	})
	if err == nil {
		f.server.answerTimes.Observe(f.server.cfg.Timer.Now().Sub(began))
	}
	switch {
	case errors.Is(err, service.ErrNotSent):
		x.Outcome = before
	case err == nil && x.Service.RefusalStatus(answer.Status):
		x.Outcome = before
		err = errRefused
	}
	return answer, err
}

// patience returns how long an idempotent call waits for an answer before it is
// asked again elsewhere. The last attempt waits to the end.
func (f *call) patience(x *Exchange, attempt int) time.Duration {
	if !x.Idempotent || attempt == maxAttempts-1 {
		return 0
	}
	return f.server.answerTimes.Threshold(engine.DefaultStallSettings())
}

func (f *call) answered(x *Exchange, answer chestnutstream.ServiceAnswer) {
	x.Outcome = chestnutstream.Ran
	if x.Claim != nil {
		f.server.parts.Claims.Settle(*x.Claim, answer)
	}
	x.answer(answer)
}

// giveUp gives the final answer of a call that no server answered.
func (f *call) giveUp(x *Exchange, err error) {
	if x.Outcome == chestnutstream.NotRun {
		if x.Claim != nil {
			f.server.parts.Claims.Release(*x.Claim)
		}
		code := "no-server"
		if x.Ctx.Err() != nil {
			code = "deadline"
		}
		x.refuse(refusalStatus(code), &RefusedError{Code: code, Reason: "no backend server took the call: " + errorText(err), RetryAfter: retryPause})
		return
	}
	if x.R.Context().Err() != nil {
		x.Status = statusClientGone
		return
	}
	x.fail(http.StatusBadGateway, "answer-lost", "the call was sent and its answer was lost: "+errorText(err))
}

// answer passes a service's whole answer on.
func (x *Exchange) answer(a chestnutstream.ServiceAnswer) {
	h := x.W.Header()
	for name, values := range a.Header {
		if _, ours := h[name]; !ours {
			h[name] = values
		}
	}
	h.Set(outcomeHeader, string(x.Outcome))
	if x.R.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.Status = a.Status
	x.W.WriteHeader(a.Status)
	_, _ = x.W.Write(a.Body)
}
