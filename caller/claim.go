package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/table"
)

// claimWait bounds the time that a claim may take: a caller whose order cannot
// be claimed hears soon that it did not run.
const claimWait = 2 * time.Second

// claim makes sure that a keyed non-idempotent call is dispatched at most once
// over all instances.
type claim struct{ server *Server }

// Serve implements Filter.
func (f *claim) Serve(x *Exchange, next func()) {
	key := x.R.Header.Get("Idempotency-Key")
	if key == "" || x.Idempotent {
		next()
		return
	}
	if !validToken(key) {
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "bad-idempotency-key", Reason: "idempotency-key: want at most 128 letters, digits or -_.:@/"})
		return
	}
	ctx, cancel := context.WithTimeout(x.Ctx, claimWait)
	defer cancel()
	row := table.ClaimKey(x.Caller, x.Service.Name, key)
	verdict, ticket, found, err := f.server.parts.Claims.Claim(ctx, row, x.Attempt, table.HashRequest(x.R.Method, x.ServicePath, x.Body))
	if err != nil {
		x.note(f.server, "claim", err.Error())
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "not-claimed", Reason: "the order could not be claimed, so it was not sent", RetryAfter: retryPause})
		return
	}
	x.note(f.server, "claim", string(verdict))
	switch verdict {
	case table.ClaimGranted:
		x.Claim = &ticket
		next()
	case table.ClaimReplay:
		f.replay(x, found)
	case table.ClaimMismatch:
		x.refuse(http.StatusUnprocessableEntity, &RefusedError{Code: "idempotency-key-reused", Reason: "the key was used for another request; this one was not sent"})
	case table.ClaimUnknown:
		x.Outcome = chestnutstream.Unknown
		x.W.Header().Set("Retry-After", "1")
		x.fail(http.StatusConflict, "order-unknown", "this order was sent before and its outcome is not recorded; it is not sent again")
	}
}

// replay gives the recorded answer of an order that ran before.
func (f *claim) replay(x *Exchange, found table.Claim) {
	x.Outcome = chestnutstream.Ran
	x.W.Header().Set("Chestnutstream-Replayed", "true")
	if found.Truncated {
		x.fail(http.StatusConflict, "answer-not-kept", "the order ran; its answer was too long to be kept")
		return
	}
	x.answer(found.Answer)
}
