package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Settings configures a run.
type Settings struct {
	Program   string   // path of the executable that each instance runs
	Arguments []string // command-line arguments of Program
	Seed      uint64
	Duration  time.Duration
	Folder    string // parent of the run's folder; empty: the system's temporary folder
}

// Report summarizes a run.
type Report struct {
	Seed         uint64
	Folder       string   // the run's folder, kept only if there were violations
	Parts        []string // what the seed selected in addition to faults
	Requests     int
	Answered     int
	Rejected     int // the status states that the request was not executed
	Failed       int // no whole response, or a status that does not rule out execution
	Faults       map[string]int
	UnloadsInUse int // orders to unload an adapter in use; engines defer these
	Unloads      int
	Checked      map[string]int // requests to which the checks of keys with a time bound applied, by use, and the part of the quota used
	Violations   []string
}

// Durations and time bounds of a run.
const (
	warmUpDuration    = 4 * time.Second // until every engine has an owner
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 3500 * time.Millisecond
	maxFaultInterval  = 1500 * time.Millisecond // between faults
	coolDownDuration  = 6 * time.Second         // after the last fault: broken connections end and all requests are served again
	drainBound        = 2 * time.Second
	versionApplyBound = 5 * time.Second
	minHandover       = 3 * time.Second // between orders of two holders of an engine
	recoveryBound     = 3 * time.Second // after a fault, until guarantees with a time bound hold again
)

// Run runs the deployment under the faults of one seed and reports what it
// observed. The error is that of setting up the deployment, of removing its
// folder, or of ctx.
func Run(ctx context.Context, cfg Settings) (Report, error) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	d, err := newDeployment(cfg, drawParts(cfg.Seed), rand.New(rand.NewPCG(cfg.Seed, 2)))
	if err != nil {
		return Report{}, err
	}
	r := &run{deployment: d, rng: rng, faults: map[string]int{}}
	timer.Sleep(ctx, warmUpDuration)
	stopClients := r.startClients(cfg.Seed)
	stopPartFaults, stopPartClients := r.startParts(cfg.Seed)
	watchCtx, stopWatch := context.WithCancel(ctx)
	go r.watchConfigVersions(watchCtx)
	end := time.Now().Add(cfg.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.injectFault(ctx)
		timer.Sleep(ctx, time.Duration(rng.Int64N(int64(maxFaultInterval))))
	}
	stopPartFaults()
	r.faultsInProgress.Wait()
	timer.Sleep(ctx, coolDownDuration/2)
	r.checkRecovery()
	r.checkParts()
	stopPartClients()
	stopClients()
	stopWatch()
	time.Sleep(coolDownDuration / 2)
	r.checkServerCounts()
	r.checkNothingInProgress()
	r.checkPartRecords()
	d.close()
	report := r.report(cfg)
	if len(report.Violations) == 0 {
		if err := os.RemoveAll(d.dir); err != nil {
			return report, fmt.Errorf("remove folder: %w", err)
		}
		report.Folder = ""
	}
	return report, ctx.Err()
}

// run is the state of one run.
type run struct {
	*deployment
	rng              *rand.Rand
	faultsInProgress sync.WaitGroup // faults that run in the background

	resultsMu         sync.Mutex
	results           []result
	faults            map[string]int
	violations        []string
	effectsUntil      time.Time         // when the effects of the latest fault end
	ongoing           int               // faults in progress that affect requests
	begun             int               // faults so far that affect requests
	suppressedWatches int               // faults in progress that suppress the updates of the store's watches
	backpressured     map[*backend]bool // servers that signal backpressure; guarded by deployment.mu
	replaced          map[*backend]bool // servers that leave or have left; guarded by deployment.mu
	watchesChangedAt  time.Time         // when suppressedWatches last changed
	restoring         int               // restores of the store in progress
	restoredAt        time.Time         // when the latest restore was complete
}

// reportViolation records a violated guarantee.
func (r *run) reportViolation(format string, args ...any) {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// extendEffects records that requests may be affected by a fault for at least d
// from now.
func (r *run) extendEffects(d time.Duration) {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	if t := time.Now().Add(d); t.After(r.effectsUntil) {
		r.effectsUntil = t
	}
}

// beginFault records that a fault affects requests until endFault is called.
func (r *run) beginFault() {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.ongoing++
	r.begun++
}

// faultsBegun returns the number of faults so far that affect requests.
func (r *run) faultsBegun() int {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	return r.begun
}

// endFault records the end of a fault that beginFault recorded.
func (r *run) endFault() {
	r.extendEffects(0)
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.ongoing--
}

// faultFreeSince reports whether no fault has affected requests since
// recoveryBound before t.
func (r *run) faultFreeSince(t time.Time) bool {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	return r.ongoing == 0 && r.effectsUntil.Before(t.Add(-recoveryBound))
}

// faultFree reports whether no fault has affected requests for recoveryBound, so
// that guarantees with a time bound must hold.
func (r *run) faultFree() bool {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	return r.ongoing == 0 && time.Since(r.effectsUntil) > recoveryBound
}

// suppressWatches makes the store drop its change history and send no updates to
// watches that start from then on. Such faults may overlap.
func (r *run) suppressWatches() {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.suppressedWatches++
	r.watchesChangedAt = time.Now()
	r.store.SuppressUpdates(true)
	r.store.DropHistory()
}

// resumeWatches ends one fault that suppressWatches began. Watches receive updates
// again once all have ended.
func (r *run) resumeWatches() {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.suppressedWatches--
	r.watchesChangedAt = time.Now()
	r.store.SuppressUpdates(r.suppressedWatches > 0)
}

// injectFault injects one random fault. It runs in the background, so that faults
// may overlap; in half of the cases injectFault first waits for the fault's duration.
func (r *run) injectFault(ctx context.Context) {
	inst := r.instances[r.rng.IntN(len(r.instances))]
	r.mu.Lock()
	b := r.backends[r.rng.IntN(len(r.backends))]
	r.mu.Unlock()
	duration := minFaultDuration + time.Duration(r.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	adapter := fmt.Sprintf("a%d", 1+r.rng.IntN(adapterCount))
	engine, seed := r.backends[r.rng.IntN(engineCount)], r.rng.Uint64()
	kinds := []struct {
		name   string
		inject func()
		revert func()
	}{
		{"pause", func() { inst.signal(syscall.SIGSTOP) }, func() { inst.signal(syscall.SIGCONT) }},
		{"long-pause", func() { inst.signal(syscall.SIGSTOP); timer.Sleep(ctx, 3*duration) }, func() { inst.signal(syscall.SIGCONT) }},
		{"kill", func() { r.mustRestart(inst, syscall.SIGKILL) }, nil},
		{"kill-all", r.restartAll, nil},
		{"terminate", func() { r.mustRestart(inst, syscall.SIGTERM) }, nil},
		{"reload", func() { inst.signal(syscall.SIGHUP) }, nil},
		{"store-away", func() { r.faultyStore.setFaults(0, 0, 0, true) }, func() { r.faultyStore.setFaults(0, 0, 0, false) }},
		{"store-slow", func() { r.faultyStore.setFaults(250*time.Millisecond, 0, 0, false) }, func() { r.faultyStore.setFaults(0, 0, 0, false) }},
		{"store-loses", func() { r.faultyStore.setFaults(0, 0.3, 0.2, false) }, func() { r.faultyStore.setFaults(0, 0, 0, false) }},
		{"store-forgets", r.store.DropHistory, nil},
		{"store-deaf", r.suppressWatches, r.resumeWatches},
		{"store-cut", func() { inst.storeLink.setFaults(0, true, false) }, func() { inst.storeLink.setFaults(0, false, false); inst.storeLink.reset() }},
		{"store-one-way", func() { inst.storeLink.setFaults(0, false, true) }, func() { inst.storeLink.setFaults(0, false, false); inst.storeLink.reset() }},
		{"server-silent", func() { b.proxy.setFaults(0, true, false) }, func() { b.proxy.setFaults(0, false, false); b.proxy.reset() }},
		{"server-one-way", func() { b.proxy.setFaults(0, false, true) }, func() { b.proxy.setFaults(0, false, false); b.proxy.reset() }},
		{"server-slow", func() { b.proxy.setFaults(30*time.Millisecond, false, false) }, func() { b.proxy.setFaults(0, false, false) }},
		{"server-resets", b.proxy.reset, nil},
		{"configuration", r.putConfiguration, nil},
		{"version", func() { r.declareVersion(adapter) }, nil},
		{"drain", func() { r.retirePlainServer((*standin.Backend).Drain) }, nil},
		{"remove", func() { r.retirePlainServer((*standin.Backend).Leave) }, nil},
		{"server-crashes", func() { engine.Crash() }, nil},
		{"crash-prompts", func() { r.sendCrashPrompts(seed) }, nil},
		{"crash-requests", func() { r.sendCrashRequests(seed) }, nil},
		{"server-limit", func() { r.signalLimit(b) }, nil},
		{"server-pause", func() { r.signalPause(b) }, nil},
		{"server-says-it-leaves", r.signalLeaving, nil},
		{"streams-end-early", func() { r.endStreamsEarly(ctx, duration) }, nil},
		{"servers-respond-malformed", func() { r.malformResponses(ctx, duration) }, nil},
		{"servers-misdirect-what-they-ran", func() { r.misdirect(ctx, duration) }, nil},
		{"servers-repeat-rejections", func() { r.repeatRejections(ctx, duration) }, nil},
		{"store-returns-from-copy", func() { r.returnFromCopy(ctx, engine, seed) }, nil},
		{"hostile-clients", func() { r.sendHostileClients(ctx, inst, duration, seed) }, nil},
	}
	kind := kinds[r.rng.IntN(len(kinds))]
	r.resultsMu.Lock()
	r.faults[kind.name]++
	r.resultsMu.Unlock()
	disruptive := true
	switch kind.name {
	case "configuration", "version", "drain", "remove", "reload", "crash-prompts", "crash-requests", "server-limit", "server-pause", "server-says-it-leaves", "store-returns-from-copy":
		disruptive = false
	default:
		r.extendEffects(duration)
		r.beginFault()
	}
	r.faultsInProgress.Add(1)
	go func() {
		defer r.faultsInProgress.Done()
		kind.inject()
		if kind.revert != nil {
			timer.Sleep(ctx, duration)
			kind.revert()
		}
		if disruptive {
			r.endFault()
		}
	}()
	if r.rng.IntN(2) == 0 {
		timer.Sleep(ctx, duration) // no overlap
	}
}

// mustRestart restarts an instance and records a violation if that fails.
func (r *run) mustRestart(inst *instance, sig syscall.Signal) {
	if err := r.restart(inst, sig); err != nil {
		r.reportViolation("%s failed to restart: %v", inst.name, err)
	}
}

// retirePlainServer adds a plain server and then lets an old one leave.
func (r *run) retirePlainServer(leave func(*standin.Backend)) {
	if old := r.replacePlainServer(); old != nil {
		r.retire(old, leave)
		r.removePlainServer(old)
	}
}

// retire lets a plain server leave. Requests that reach it late are violations only if no
// other fault was in effect.
func (r *run) retire(old *backend, leave func(*standin.Backend)) {
	faultFree := r.faultFree()
	leave(old.Current())
	time.Sleep(drainBound + recoveryBound)
	if late := old.Current().Counts().LatestArrivalAfterDrain; faultFree && r.faultFree() && late > drainBound {
		r.reportViolation("a request reached %s %v after it began to leave", old.id, late)
	}
}

// replacePlainServer adds a plain server and returns one that is to be removed;
// nil if there is none.
func (r *run) replacePlainServer() *backend {
	r.mu.Lock()
	var old *backend
	if r.replaced == nil {
		r.replaced = map[*backend]bool{}
	}
	for _, b := range r.backends {
		if strings.HasPrefix(b.id, "i-desk") && !r.backpressured[b] && !r.replaced[b] {
			old = b
			r.replaced[b] = true
			break
		}
	}
	r.mu.Unlock()
	if old == nil {
		return nil
	}
	if err := r.addPlainServer(); err != nil {
		r.reportViolation("adding a server failed: %v", err)
		return nil
	}
	time.Sleep(2 * time.Second)
	return old
}

// removePlainServer removes a plain server from the deployment and the store.
func (r *run) removePlainServer(old *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, b := range r.backends {
		if b == old && i > 0 {
			r.backends = append(r.backends[:i:i], r.backends[i+1:]...)
		}
	}
	r.store.Remove("servers", old.id)
}

// report summarizes the run.
func (r *run) report(cfg Settings) Report {
	out := Report{Seed: cfg.Seed, Folder: r.dir, Parts: r.parts.names(), Faults: r.faults, Violations: r.violations, Requests: len(r.results)}
	for _, res := range r.results {
		switch {
		case res.err == nil && res.signed:
			out.Answered++
		case statesNotExecuted(res.status):
			out.Rejected++
		default:
			out.Failed++
		}
	}
	for _, b := range r.backends {
		for _, s := range b.Backends() {
			c := s.Counts()
			out.UnloadsInUse += c.UnloadsInUse
			out.Unloads += c.Unloads
		}
	}
	if r.workspaces != nil {
		out.Checked = r.workspaces.dueUses()
	}
	sort.Strings(out.Violations)
	return out
}
