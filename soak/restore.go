package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Times of a store that returns from a copy.
const (
	minCopyAge          = 500 * time.Millisecond
	maxCopyAge          = 7 * time.Second
	maxAwayTime         = 1500 * time.Millisecond
	maxOtherWrites      = 600             // transactions of others that are lost
	operatorRewriteTime = time.Second     // until the operator has written its lost rows again
	engineJoinTime      = 2 * time.Second // after its start, until an engine has an owner
)

// returnFromCopy makes the store return from a copy some seconds old, in half of the cases
// twice in short order. Since the copy an engine may have joined and a plain server left.
// One that had left must get no requests afterwards, unless another fault began meanwhile.
func (r *run) returnFromCopy(ctx context.Context, engine *backend, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 6))
	old := r.replacePlainServer()
	if old == nil {
		return
	}
	older := r.store.Copy()
	for range rng.IntN(maxOtherWrites) {
		r.store.Put("other", "row", nil)
	}
	if rng.IntN(2) == 0 {
		r.beginFault()
		engine.Crash()
		timer.Sleep(ctx, restartTime+engineJoinTime)
		r.endFault()
	}
	server, leaves := old.Current(), rng.IntN(2) == 0
	if leaves {
		r.retire(old, (*standin.Backend).Drain)
	}
	timer.Sleep(ctx, randomDuration(rng, minCopyAge, maxCopyAge))
	known := leaves && r.faultFree() && old.Current() == server // one that has crashed since starts anew, and is ready
	arrivals := server.Counts().Arrivals
	r.beginFault()
	r.beginRestore()
	begun := r.faultsBegun()
	rewritten := r.store.ReturnFrom(older, randomDuration(rng, 0, maxAwayTime), operatorRewriteTime, rng)
	if rng.IntN(2) == 0 {
		timer.Sleep(ctx, randomDuration(rng, 0, maxCopyAge/2))
		r.store.ReturnFrom(r.someCopy(older, rng), randomDuration(rng, 0, maxAwayTime), operatorRewriteTime, rng)()
	}
	rewritten()
	r.endRestore()
	r.endFault()
	timer.Sleep(ctx, recoveryBound)
	if n := server.Counts().Arrivals - arrivals; known && n > 0 && r.faultsBegun() == begun {
		r.reportViolation("%d requests reached %s, which had left before the store returned from a copy", n, old.id)
	}
	if !leaves {
		r.retire(old, (*standin.Backend).Drain)
	}
	r.removePlainServer(old)
}

// someCopy returns an older copy of the store or a new one.
func (r *run) someCopy(older *standin.StoreCopy, rng *rand.Rand) *standin.StoreCopy {
	if rng.IntN(2) == 0 {
		return older
	}
	return r.store.Copy()
}

func randomDuration(rng *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(rng.Int64N(int64(highest-lowest)))
}
