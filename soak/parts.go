package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream/timer"
)

// parts are what a run has in addition to the faults of injectFault, which a seed determines
// with and without them.
type parts struct {
	workspaces   bool
	strictRevoke bool   // instances reject all keys while their configuration may be out of date
	pace         bool   // servers send a fourth number in the header of their load
	unstated     string // service whose servers never send a valid one; empty: none
}

// drawParts returns the parts of a seed: three quarters of the seeds have some.
func drawParts(seed uint64) parts {
	rng := rand.New(rand.NewPCG(seed, 7))
	p := parts{workspaces: rng.IntN(2) == 0, pace: rng.IntN(2) == 0}
	p.strictRevoke = p.workspaces && rng.IntN(2) == 0
	if p.pace {
		p.unstated = []string{"", "assistant", "desk"}[rng.IntN(3)]
	}
	return p
}

// statesPace reports whether servers of a service send valid numbers.
func (p parts) statesPace(service string) bool { return p.pace && service != p.unstated }

// names returns the names of the parts, for reports.
func (p parts) names() []string {
	var names []string
	for _, part := range []struct {
		name string
		has  bool
	}{{"workspaces", p.workspaces}, {"strict-revoke", p.strictRevoke}, {"pace", p.pace}} {
		if part.has {
			names = append(names, part.name)
		}
	}
	return names
}

// Intervals of the faults of parts.
const (
	maxPartFaultInterval = 1200 * time.Millisecond
	partWatchInterval    = 100 * time.Millisecond
)

// partFault is a fault of a part of the run. It takes as long as inject does.
type partFault struct {
	name   string
	inject func(ctx context.Context, rng *rand.Rand)
}

// startParts starts the faults and clients of the run's parts. stopFaults ends the faults and
// waits for them; stopClients does the same for the clients.
func (r *run) startParts(seed uint64) (stopFaults, stopClients func()) {
	faultsCtx, cancelFaults := context.WithCancel(context.Background())
	clientsCtx, cancelClients := context.WithCancel(context.Background())
	var faults, clients sync.WaitGroup
	if r.parts.workspaces {
		faults.Go(func() { r.injectPartFaults(faultsCtx, rand.New(rand.NewPCG(seed, 8)), r.workspaceFaults()) })
		clients.Go(func() { r.requestWithKeys(clientsCtx, rand.New(rand.NewPCG(seed, 10)), "keys") })
		clients.Go(func() { r.watchWorkspaces(clientsCtx) })
	}
	if r.parts.pace {
		faults.Go(func() { r.injectPartFaults(faultsCtx, rand.New(rand.NewPCG(seed, 9)), r.paceFaults()) })
	}
	return func() { cancelFaults(); faults.Wait() }, func() { cancelClients(); clients.Wait() }
}

// injectPartFaults injects faults one after the other until ctx ends.
func (r *run) injectPartFaults(ctx context.Context, rng *rand.Rand, kinds []partFault) {
	for ctx.Err() == nil {
		kind := kinds[rng.IntN(len(kinds))]
		r.resultsMu.Lock()
		r.faults[kind.name]++
		r.resultsMu.Unlock()
		kind.inject(ctx, rng)
		timer.Sleep(ctx, randomDuration(rng, 0, maxPartFaultInterval))
	}
}

// checkParts makes the checks of the run's parts after the last fault.
func (r *run) checkParts() {
	if r.parts.workspaces {
		r.checkWorkspacesServed()
	}
	if r.parts.pace {
		r.checkUnstatedPaces()
	}
}

// checkPartRecords checks what was recorded of the run's parts. It is called once, after the
// last request.
func (r *run) checkPartRecords() {
	if r.parts.workspaces {
		r.checkWorkspaceRecords()
	}
}
