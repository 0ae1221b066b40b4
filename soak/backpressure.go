package soak

import (
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Backpressure that servers signal, and the platform's bounds on the requests that
// they may still receive.
const (
	signaledRate         = 4.0                    // requests per second that a server signals as its limit
	signaledPauseSeconds = 1.5                    // Retry-After of a server that rejects all requests
	observationTime      = 4 * time.Second        // interval whose requests are counted
	reactionTime         = 500 * time.Millisecond // until instances obey a pause
	limitFactor          = 1.5                    // allowed requests: limitFactor times the limit, plus limitBurst
	limitBurst           = 5
	requestsPerPause     = 2 // allowed per instance
)

// checkBackpressure makes a server signal backpressure for settleTime and
// observationTime, and checks that it receives at most maxRequests requests during
// the latter, unless a fault was in effect. condition describes what the server
// signaled, for the text of the violation.
func (r *run) checkBackpressure(b *backend, f standin.BackendFaults, settleTime time.Duration, maxRequests int, condition string) {
	if !r.markBackpressured(b) {
		return
	}
	defer r.clearBackpressured(b)
	time.Sleep(reactionTime)
	b.setFaults(f)
	startedAt := time.Now()
	time.Sleep(settleTime + observationTime)
	faultFree, n := r.faultFreeSince(startedAt), 0
	for _, at := range b.Current().Counts().ArrivalsUnderBackpressure {
		if at.Sub(startedAt) >= settleTime {
			n++
		}
	}
	b.setFaults(standin.BackendFaults{})
	if faultFree && n > maxRequests {
		r.reportViolation("%s received %d requests in %v %s: %d allowed", b.id, n, observationTime, condition, maxRequests)
	}
}

// markBackpressured records that a server signals backpressure. It returns false if
// the server already does.
func (r *run) markBackpressured(b *backend) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backpressured == nil {
		r.backpressured = map[*backend]bool{}
	}
	if r.backpressured[b] {
		return false
	}
	r.backpressured[b] = true
	return true
}

// clearBackpressured records that a server no longer signals backpressure.
func (r *run) clearBackpressured(b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backpressured, b)
}

// signalLimit makes a server signal a request limit. Requests are counted once
// recoveryBound has passed.
func (r *run) signalLimit(b *backend) {
	maxRequests := int(limitFactor*signaledRate*observationTime.Seconds()) + limitBurst
	r.checkBackpressure(b, standin.BackendFaults{Limit: fmt.Sprint(signaledRate)}, recoveryBound, maxRequests, "after it signaled a limit")
}

// signalPause makes a server reject all requests with Retry-After. One pause more
// than fits into observationTime is allowed, since instances begin their pauses at
// different times.
func (r *run) signalPause(b *backend) {
	maxPauses := int(observationTime.Seconds()/signaledPauseSeconds) + 1
	r.checkBackpressure(b, standin.BackendFaults{Pause: signaledPauseSeconds}, reactionTime, maxPauses*requestsPerPause*instanceCount, "while paused by Retry-After")
}

// signalLeaving adds a plain server and then makes an old one signal in its
// responses, but not in its row of the store, that it is leaving.
func (r *run) signalLeaving() {
	old := r.replacePlainServer()
	if old == nil {
		return
	}
	r.checkBackpressure(old, standin.BackendFaults{Leaving: true}, drainBound, 0, "after it signaled that it is leaving")
	r.removePlainServer(old)
}
