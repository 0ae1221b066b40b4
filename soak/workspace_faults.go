package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream/timer"
)

// Sizes of keys that clients send: over what instances look up, near the limit of a request's
// headers, and far over it.
const (
	longKeyBytes     = 2000
	longestKeyBytes  = 9000
	oversizeKeyBytes = 2 << 20
)

// unknownKeyClients is the number of clients that send unknown keys together.
const unknownKeyClients = 3

// workspaceFaults returns the faults of runs with workspaces.
func (r *run) workspaceFaults() []partFault {
	return []partFault{
		{"key-added", func(_ context.Context, rng *rand.Rand) { r.addKey(rng) }},
		{"key-removed", func(_ context.Context, rng *rand.Rand) { r.removeKey(rng) }},
		{"keys-changed-store-away", func(ctx context.Context, rng *rand.Rand) {
			r.changeKeysDuring(ctx, rng, func() { r.faultyStore.setFaults(0, 0, 0, true) }, func() { r.faultyStore.setFaults(0, 0, 0, false) })
		}},
		{"keys-changed-instance-cut-off", func(ctx context.Context, rng *rand.Rand) {
			link := r.instances[rng.IntN(len(r.instances))].storeLink
			r.changeKeysDuring(ctx, rng, func() { link.setFaults(0, true, false) }, func() { link.setFaults(0, false, false); link.reset() })
		}},
		{"quota-lowered", func(context.Context, *rand.Rand) { r.moveLimit(-1) }},
		{"quota-raised", func(context.Context, *rand.Rand) { r.moveLimit(1) }},
		{"unknown-keys", r.sendUnknownKeys},
	}
}

// addKey adds a key to a random workspace.
func (r *run) addKey(rng *rand.Rand) {
	acknowledged := r.workspaces.addKey([]string{workspaceNorth, workspaceSouth, workspaceLow}[rng.IntN(3)])
	r.putConfiguration()
	acknowledged()
}

// removeKey removes a key, or adds one if there is none that may be removed.
func (r *run) removeKey(rng *rand.Rand) {
	acknowledged := r.workspaces.removeKey()
	if acknowledged == nil {
		r.addKey(rng)
		return
	}
	r.putConfiguration()
	acknowledged()
}

// changeKeysDuring adds and removes keys while a fault separates instances from the store.
func (r *run) changeKeysDuring(ctx context.Context, rng *rand.Rand, inject, revert func()) {
	duration := randomDuration(rng, minFaultDuration, maxFaultDuration)
	r.extendEffects(duration)
	r.beginFault()
	defer r.endFault()
	inject()
	defer revert()
	r.addKey(rng)
	r.removeKey(rng)
	timer.Sleep(ctx, duration)
}

// moveLimit changes the quota of workspaceLow by a step; at either end it returns to the
// middle.
func (r *run) moveLimit(step int) {
	w := r.workspaces
	w.mu.Lock()
	present := w.limits[len(w.limits)-1].perSecond
	w.mu.Unlock()
	next := len(lowRates) / 2
	for i, rate := range lowRates {
		if rate == present && i+step >= 0 && i+step < len(lowRates) {
			next = i + step
		}
	}
	acknowledged := w.setLimit(lowRates[next])
	r.putConfiguration()
	acknowledged()
}

// sendUnknownKeys makes several clients send unknown keys for a time.
func (r *run) sendUnknownKeys(ctx context.Context, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, randomDuration(rng, minFaultDuration, maxFaultDuration))
	defer cancel()
	seed := rng.Uint64()
	done := make(chan struct{})
	for c := range unknownKeyClients {
		go func() {
			r.requestWithKeys(ctx, rand.New(rand.NewPCG(seed, uint64(c))), fmt.Sprintf("unknown-%d-%d", seed, c))
			done <- struct{}{}
		}()
	}
	for range unknownKeyClients {
		<-done
	}
}

// requestWithKeys sends requests with unknown keys, and with keys that were added and removed,
// until ctx ends.
func (r *run) requestWithKeys(ctx context.Context, rng *rand.Rand, name string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	for n := 0; ctx.Err() == nil; n++ {
		res := r.newResult(r.instances[rng.IntN(len(r.instances))], fmt.Sprintf("%s-%d-%d", name, r.cfg.Seed, n))
		res.route = []string{"order", "look", "ask"}[rng.IntN(3)]
		if res.route == "ask" {
			res.adapter, res.parts = fmt.Sprintf("a%d", 1+rng.IntN(adapterCount)), fmt.Sprintf("first:100,%s:190", res.id)
		}
		res.auth = r.drawKeys(rng, res.instance)
		res = r.send(client, res)
		r.checkResult(res)
		timer.Sleep(ctx, randomDuration(rng, 20*time.Millisecond, 80*time.Millisecond))
	}
}

// drawKeys returns the keys of a request to an instance.
func (r *run) drawKeys(rng *rand.Rand, inst *instance) *authentication {
	known := permanentKey(workspaceNorth)
	unknown := fmt.Sprintf("%sunknown-%d", keyMarker, rng.Uint64())
	long := func(n int) string { return strings.Repeat(unknown, n/len(unknown)) }
	auth := &authentication{use: keyUnknown, due: time.Since(r.storeReachedSince(inst)) > recoveryBound}
	switch rng.IntN(12) {
	case 0:
		auth.keys = []string{unknown}
	case 1:
		auth.keys = []string{""}
	case 2:
		auth.keys = nil
	case 3:
		auth.keys = []string{known, known}
	case 4:
		auth.keys = []string{known, unknown}
	case 5:
		auth.keys = []string{known + " " + known}
	case 6:
		auth.keys = []string{long(longKeyBytes)}
	case 7:
		auth.keys = []string{long(longestKeyBytes)}
	case 8:
		if rng.IntN(4) == 0 {
			auth.use, auth.keys = keyOversize, []string{long(oversizeKeyBytes)}
			break
		}
		auth.keys = []string{strings.ToUpper(known)}
	default:
		if changed := r.changedKey(rng, inst); changed != nil {
			return changed
		}
		auth.keys = []string{unknown}
	}
	return auth
}

// changedKey returns a random key that was added or removed; nil if there is none.
func (r *run) changedKey(rng *rand.Rand, inst *instance) *authentication {
	reached, restored := r.storeReachedSince(inst), r.restoredSince(time.Now())
	w := r.workspaces
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.keys) == 3 {
		return nil
	}
	k := w.keys[3+rng.IntN(len(w.keys)-3)]
	auth := &authentication{use: keyAdded, keys: []string{k.text}, workspace: k.workspace}
	dueBy := func(acknowledged, possible time.Time, bound time.Duration) bool {
		return !acknowledged.IsZero() && time.Since(acknowledged) > bound && time.Since(possible) > bound
	}
	if !k.removing {
		// Unless a row of the store was lost, an instance that has not read the configuration
		// knows that it has not.
		auth.due = dueBy(k.acknowledgedAt, restored, configApplyBound)
		return auth
	}
	auth.use = keyRemoved
	if w.strictRevoke {
		reached = restored
	}
	auth.due = dueBy(k.removedAt, reached, revokeBound)
	return auth
}

// watchWorkspaces records until ctx ends when limits must have been replaced, and looks for
// keys in what instances show to operators.
func (r *run) watchWorkspaces(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		now := time.Now()
		if now.Sub(r.allReachedStoreSince()) > configApplyBound {
			r.workspaces.bindLimits(now.Add(-configApplyBound), now)
		}
		if n%10 == 0 {
			for _, inst := range r.instances {
				r.checkPages(client, inst)
			}
		}
		timer.Sleep(ctx, partWatchInterval)
	}
}
