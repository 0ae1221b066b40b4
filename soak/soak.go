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

	"github.com/chestnutstream/chestnutstream/timer"
)

// Settings of a run.
type Settings struct {
	Program   string   // path of the program that is run
	Arguments []string // of it
	Seed      uint64
	Duration  time.Duration
	Folder    string // where the folder of the run is made; empty: the system's
}

// Report is what a run saw.
type Report struct {
	Seed     uint64
	Folder   string // kept when something broke
	Requests int
	Answered int
	Refused  int // told not to have run
	Failed   int // without an answer, or told nothing of whether they ran
	Faults   map[string]int
	InUse    int // orders to unload an adapter in use, which engines put off
	Unloads  int
	Broken   []string
}

// Times of a run.
const (
	warmUp     = 4 * time.Second        // until engines are owned
	faultLeast = 300 * time.Millisecond // a fault lasts from this
	faultMost  = 3500 * time.Millisecond
	pauseMost  = 1500 * time.Millisecond // between faults
	calmDown   = 6 * time.Second         // after the last fault: what is broken off ends, everything is served again
	drainBound = 2 * time.Second
	versionMax = 5 * time.Second
	turnLeast  = 3 * time.Second
	contact    = 3 * time.Second // after a fault, until promises with a time bound hold
)

// Run runs one seed.
func Run(ctx context.Context, cfg Settings) (Report, error) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	s, err := newSite(cfg, rand.New(rand.NewPCG(cfg.Seed, 2)))
	if err != nil {
		return Report{}, err
	}
	r := &run{site: s, rng: rng, faults: map[string]int{}}
	timer.Sleep(ctx, warmUp)
	stopClients := r.startClients(cfg.Seed)
	watch, stopWatch := context.WithCancel(ctx)
	go r.watchVersions(watch)
	end := time.Now().Add(cfg.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		r.fault(ctx)
		timer.Sleep(ctx, time.Duration(rng.Int64N(int64(pauseMost))))
	}
	r.quiet.Wait()
	timer.Sleep(ctx, calmDown/2)
	r.checkServedAgain()
	stopClients()
	stopWatch()
	time.Sleep(calmDown / 2)
	r.checkEnd()
	s.close()
	report := r.report(cfg)
	if len(report.Broken) == 0 {
		if err := os.RemoveAll(s.dir); err != nil {
			return report, fmt.Errorf("remove folder: %w", err)
		}
		report.Folder = ""
	}
	return report, ctx.Err()
}

// run is the state of a run.
type run struct {
	*site
	rng   *rand.Rand
	quiet sync.WaitGroup // faults that last on

	resMu   sync.Mutex
	results []result
	faults  map[string]int
	broken  []string
	faulty  time.Time         // until when a fault may still be felt
	lasting int               // faults under way that are felt
	deaf    int               // those that make feeds deaf
	needy   map[*backend]bool // servers that say that they want less work; under the site's mu
}

func (r *run) breaks(format string, args ...any) {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// felt notes that a fault is felt for a while.
func (r *run) felt(d time.Duration) {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	if t := time.Now().Add(d); t.After(r.faulty) {
		r.faulty = t
	}
}

// begins notes that a fault is felt until ends is called.
func (r *run) begins() {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	r.lasting++
}

// ends notes that a fault has ended.
func (r *run) ends() {
	r.felt(0)
	r.resMu.Lock()
	defer r.resMu.Unlock()
	r.lasting--
}

// calmSince reports whether no fault has been felt since a moment, nor for as long
// before it as promises with a time bound need.
func (r *run) calmSince(t time.Time) bool {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	return r.lasting == 0 && r.faulty.Before(t.Add(-contact))
}

// calm reports whether no fault has been felt for as long as promises with a
// time bound need.
func (r *run) calm() bool {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	return r.lasting == 0 && time.Since(r.faulty) > contact
}

// deafen makes the store drop its history, and feeds that begin from then on
// deaf. Such faults may overlap.
func (r *run) deafen() {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	r.deaf++
	r.store.Deafen(true)
	r.store.Forget()
}

// undeafen ends one such fault; feeds hear again after the last.
func (r *run) undeafen() {
	r.resMu.Lock()
	defer r.resMu.Unlock()
	r.deaf--
	r.store.Deafen(r.deaf > 0)
}

// fault injects one fault. Those that last go on in the background, so that the
// next may overlap.
func (r *run) fault(ctx context.Context) {
	p := r.programs[r.rng.IntN(len(r.programs))]
	r.mu.Lock()
	b := r.backends[r.rng.IntN(len(r.backends))]
	r.mu.Unlock()
	lasts := faultLeast + time.Duration(r.rng.Int64N(int64(faultMost-faultLeast)))
	adapter := fmt.Sprintf("a%d", r.rng.IntN(adapters))
	kinds := []struct {
		name string
		do   func()
		undo func()
	}{
		{"pause", func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }},
		{"long-pause", func() { p.signal(syscall.SIGSTOP); timer.Sleep(ctx, 3*lasts) }, func() { p.signal(syscall.SIGCONT) }},
		{"kill", func() { r.mustRestart(p, syscall.SIGKILL) }, nil},
		{"terminate", func() { r.mustRestart(p, syscall.SIGTERM) }, nil},
		{"reload", func() { p.signal(syscall.SIGHUP) }, nil},
		{"store-away", func() { r.door.set(0, 0, 0, true) }, func() { r.door.set(0, 0, 0, false) }},
		{"store-slow", func() { r.door.set(250*time.Millisecond, 0, 0, false) }, func() { r.door.set(0, 0, 0, false) }},
		{"store-loses", func() { r.door.set(0, 0.3, 0.2, false) }, func() { r.door.set(0, 0, 0, false) }},
		{"store-forgets", r.store.Forget, nil},
		{"store-deaf", r.deafen, r.undeafen},
		{"store-cut", func() { p.path.set(0, true, false) }, func() { p.path.set(0, false, false); p.path.reset() }},
		{"store-one-way", func() { p.path.set(0, false, true) }, func() { p.path.set(0, false, false); p.path.reset() }},
		{"server-silent", func() { b.proxy.set(0, true, false) }, func() { b.proxy.set(0, false, false); b.proxy.reset() }},
		{"server-one-way", func() { b.proxy.set(0, false, true) }, func() { b.proxy.set(0, false, false); b.proxy.reset() }},
		{"server-slow", func() { b.proxy.set(30*time.Millisecond, false, false) }, func() { b.proxy.set(0, false, false) }},
		{"server-resets", b.proxy.reset, nil},
		{"configuration", r.configure, nil},
		{"version", func() { r.declare(adapter) }, nil},
		{"drain", r.drainDesk, nil},
		{"server-limit", func() { r.limits(b) }, nil},
		{"server-pause", func() { r.pauses(b) }, nil},
		{"server-says-it-leaves", r.leaves, nil},
	}
	k := kinds[r.rng.IntN(len(kinds))]
	r.resMu.Lock()
	r.faults[k.name]++
	r.resMu.Unlock()
	felt := true
	switch k.name {
	case "configuration", "version", "drain", "reload", "server-limit", "server-pause", "server-says-it-leaves":
		felt = false
	default:
		r.felt(lasts)
		r.begins()
	}
	r.quiet.Add(1)
	go func() {
		defer r.quiet.Done()
		k.do()
		if k.undo != nil {
			timer.Sleep(ctx, lasts)
			k.undo()
		}
		if felt {
			r.ends()
		}
	}()
	if r.rng.IntN(2) == 0 {
		timer.Sleep(ctx, lasts) // alone
	}
}

func (r *run) mustRestart(p *program, sig syscall.Signal) {
	if err := r.restart(p, sig); err != nil {
		r.breaks("%s did not start again: %v", p.name, err)
	}
}

// drainDesk makes a plain server leave, after a new one has come. Requests that
// reach it late count only when nothing else was wrong.
func (r *run) drainDesk() {
	old := r.replaceDesk()
	if old == nil {
		return
	}
	calm := r.calm()
	old.Drain()
	time.Sleep(drainBound + contact)
	if late := old.Counts().LateArrival; calm && r.calm() && late > drainBound {
		r.breaks("a request reached %s %v after it began to drain", old.id, late)
	}
	r.remove(old)
}

// replaceDesk lets a new plain server come and returns one that is to leave; nil
// where there is none.
func (r *run) replaceDesk() *backend {
	r.mu.Lock()
	var old *backend
	for _, b := range r.backends {
		if strings.HasPrefix(b.id, "i-desk") && !r.needy[b] {
			old = b
			break
		}
	}
	r.mu.Unlock()
	if old == nil {
		return nil
	}
	if err := r.addDesk(); err != nil {
		r.breaks("no new server: %v", err)
		return nil
	}
	time.Sleep(2 * time.Second)
	return old
}

// remove ends a plain server.
func (r *run) remove(old *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, b := range r.backends {
		if b == old && i > 0 {
			r.backends = append(r.backends[:i:i], r.backends[i+1:]...)
		}
	}
	r.store.Remove("servers", old.id)
}

func (r *run) report(cfg Settings) Report {
	out := Report{Seed: cfg.Seed, Folder: r.dir, Faults: r.faults, Broken: r.broken, Requests: len(r.results)}
	for _, res := range r.results {
		switch {
		case res.err == nil && res.signed:
			out.Answered++
		case promises(res.status):
			out.Refused++
		default:
			out.Failed++
		}
	}
	for _, b := range r.backends {
		c := b.Counts()
		out.InUse += c.UnloadInUse
		out.Unloads += c.Unloads
	}
	sort.Strings(out.Broken)
	return out
}
