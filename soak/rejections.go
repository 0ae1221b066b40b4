package soak

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// repeatRejections makes the servers reject some requests and send each rejection a second
// time, late, for a duration. Servers that signal backpressure are left out.
func (r *run) repeatRejections(ctx context.Context, duration time.Duration) {
	r.failServers(ctx, duration, standin.BackendFaults{RejectEvery: 4, RepeatRejections: 1})
}

// misdirect makes servers respond 421 to some requests that they have run.
func (r *run) misdirect(ctx context.Context, duration time.Duration) {
	r.failServers(ctx, duration, standin.BackendFaults{MisdirectEvery: 5})
}

// endStreamsEarly makes servers fail some requests, and end some streams inside an event.
func (r *run) endStreamsEarly(ctx context.Context, duration time.Duration) {
	r.failServers(ctx, duration, standin.BackendFaults{FailEvery: 5, EndEarlyEvery: 7})
}

// malformResponses makes servers begin some responses with what is no head of one.
func (r *run) malformResponses(ctx context.Context, duration time.Duration) {
	r.failServers(ctx, duration, standin.BackendFaults{MalformedEvery: 4})
}

// failServers puts faults in force on all servers that have none.
func (r *run) failServers(ctx context.Context, duration time.Duration, f standin.BackendFaults) {
	r.mu.Lock()
	backends := slices.Clone(r.backends)
	r.mu.Unlock()
	for _, b := range backends {
		if r.markBackpressured(b) {
			defer r.clearBackpressured(b)
			defer b.setFaults(standin.BackendFaults{})
			b.setFaults(f)
		}
	}
	timer.Sleep(ctx, duration)
}
