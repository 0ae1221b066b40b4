package caller

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/table"
)

// claimTimeout limits the time for a claim, so that a caller whose call cannot be
// claimed soon learns that it did not run.
const claimTimeout = 2 * time.Second

// claimFilter ensures that a non-idempotent call with an idempotency key is
// dispatched at most once over all instances.
type claimFilter struct{ server *Server }

// Serve implements Filter.
func (f *claimFilter) Serve(x *Exchange, next func()) {
	key := x.R.Header.Get("Idempotency-Key")
	if key == "" || x.Idempotent {
		next()
		return
	}
	if !validID(key) {
		x.refuse(http.StatusBadRequest, &RefusedError{Code: "bad-idempotency-key", Reason: "idempotency-key: want at most 128 letters, digits or -_.:@/"})
		return
	}
	ctx, cancel := context.WithTimeout(x.Ctx, claimTimeout)
	defer cancel()
	claimKey := table.ClaimKey(x.Caller, x.Service.Name, key)
	verdict, ticket, recorded, err := f.server.deps.Claims.Claim(ctx, claimKey, x.AttemptPrefix, table.HashRequest(x.R.Method, x.ServicePath, x.Body))
	if err != nil {
		x.trace(f.server, "claim", err.Error())
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "not-claimed", Reason: "the order could not be claimed, so it was not sent", RetryAfter: retryAfterDelay})
		return
	}
	x.trace(f.server, "claim", string(verdict))
	switch verdict {
	case table.ClaimGranted:
		x.ClaimTicket = &ticket
		next()
	case table.ClaimReplay:
		f.replay(x, recorded)
	case table.ClaimMismatch:
		x.refuse(http.StatusUnprocessableEntity, &RefusedError{Code: "idempotency-key-reused", Reason: "the key was used for another request; this one was not sent"})
	case table.ClaimUnsettled:
		// Each 503 states that the order did not run, so this is none.
		x.Outcome = chestnutstream.Unknown
		x.W.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.server.deps.Claims.SettleDelay().Seconds()))))
		x.fail(http.StatusConflict, "order-unsettled", "this order is not sent now; whether one with its key ran before is not known, as the store has returned from a copy: repeat it with the same key")
	case table.ClaimUnknown:
		x.Outcome = chestnutstream.Unknown
		x.W.Header().Set("Retry-After", "1")
		x.fail(http.StatusConflict, "order-unknown", "this order was sent before and its outcome is not recorded; it is not sent again")
	}
}

// replay writes the recorded response of a call that ran before.
func (f *claimFilter) replay(x *Exchange, recorded table.Claim) {
	x.Outcome = chestnutstream.Ran
	x.W.Header().Set("Chestnutstream-Replayed", "true")
	if recorded.Truncated {
		x.fail(http.StatusConflict, "answer-not-kept", "the order ran; its answer was too long to be kept")
		return
	}
	x.writeResponse(recorded.Response)
}
