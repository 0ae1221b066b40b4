package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
)

// maxAttempts bounds the servers that one request is tried on.
const maxAttempts = 4

// generate has a generation placed, dispatched and relayed. A generation has
// no effect but its answer, so an attempt of which the caller has seen nothing
// may be repeated on another server.
type generate struct{ server *Server }

// Serve implements Filter.
func (f *generate) Serve(x *Exchange, _ func()) {
	s := f.server
	s.retries.earn(x.Config.Limits.RetryShare)
	out := newRelay(x)
	avoid := map[string]bool{}
	var last error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !s.retries.take() {
			x.note(s, "retry", "the retry budget is spent")
			break
		}
		d, err := s.parts.Placer.Place(x.Ctx, f.pending(x, attempt, avoid))
		if err != nil {
			last = err
			x.noteStall(stallOf(err))
			break
		}
		x.noteStall(d.Stall)
		x.note(s, "dispatch", d.Server+": "+d.Reason)
		last = f.attempt(x, d, out)
		if last == nil {
			out.finish()
			return
		}
		x.note(s, "attempt", fmt.Sprintf("%s: %v", d.Server, last))
		if out.started() || x.Ctx.Err() != nil {
			break
		}
		if !engine.UnknownModel(last) {
			avoid[d.Server] = true
		}
	}
	f.giveUp(x, out, last)
}

// noteStall adds to the time that the request waited for its adapter, which
// the answer tells in milliseconds.
func (x *Exchange) noteStall(d time.Duration) {
	x.Stall += d
	x.W.Header().Set("Chestnutstream-Load-Stall-Ms", strconv.FormatInt(x.Stall.Milliseconds(), 10))
}

func stallOf(err error) time.Duration {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Stall
	}
	return 0
}

func (f *generate) pending(x *Exchange, attempt int, avoid map[string]bool) engine.Pending {
	deadline, _ := x.Ctx.Deadline()
	taken := make(map[string]bool, len(avoid))
	for name := range avoid {
		taken[name] = true
	}
	return engine.Pending{
		ID: x.Attempt + "." + strconv.Itoa(attempt), AdapterVersion: x.Resolved.AdapterVersion,
		BaseModel: x.Resolved.BaseModel, Class: x.Class.Name, Urgency: x.Class.Urgency,
		Deadline: deadline, Avoid: taken,
	}
}

// attempt sends the request to one server and relays its answer.
func (f *generate) attempt(x *Exchange, d engine.Dispatch, out *relay) error {
	before := x.Outcome
	body, err := x.Generation.body(d.Name)
	if err != nil {
		f.server.parts.Placer.Finish(d.ID, engine.NoFailure)
		return err
	}
	x.Outcome = chestnutstream.Unknown
	err = f.server.parts.Generator.Generate(x.Ctx, d.Address, chestnutstream.Generation{
		RequestID: d.ID, Path: x.R.URL.Path, Body: body, Priority: x.Class.Urgency,
	}, out.chunk)
	f.server.parts.Placer.Finish(d.ID, failureOf(err))
	if err != nil && certainlyNotRun(err) {
		x.Outcome = before
	}
	return err
}

// certainlyNotRun reports whether an attempt was not sent, or was refused by
// the server's own word.
func certainlyNotRun(err error) bool {
	var refused *engine.RefusedError
	return errors.Is(err, engine.ErrNotSent) || errors.As(err, &refused)
}

func failureOf(err error) engine.Failure {
	var wrong *wrongAdapterError
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return engine.NoFailure
	case errors.As(err, &wrong):
		return engine.WrongAdapter
	case engine.UnknownModel(err):
		return engine.NotLoaded
	case errors.As(err, &refused):
		return engine.Busy
	case errors.Is(err, engine.ErrNotSent):
		return engine.Unreachable
	default:
		return engine.NoFailure
	}
}

// giveUp gives the final answer of a request that no attempt answered.
func (f *generate) giveUp(x *Exchange, out *relay, err error) {
	if out.started() {
		out.abort(err)
		return
	}
	var refused *RefusedError
	switch {
	case x.R.Context().Err() != nil:
		x.Status = statusClientGone
	case x.Outcome == chestnutstream.NotRun && errors.As(err, &refused):
		x.refuse(refusalStatus(refused.Code), refused)
	case x.Outcome == chestnutstream.NotRun:
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "no-server", Reason: "no backend server took the request: " + errorText(err), RetryAfter: retryPause})
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
