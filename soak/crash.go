package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Engines end when they begin to respond to a prompt with crashPart, and start again
// empty and under another ID.
const (
	crashPart            = "dead"
	restartTime          = 1500 * time.Millisecond
	crashPromptInterval  = 120 * time.Millisecond
	crashPromptDuration  = 9 * time.Second
	crashesUntilBound    = 5
	maxLateCrashArrivals = 3 // later than recoveryBound after the crash number crashesUntilBound
	missedHeartbeats     = 3 // until the row of a crashed server is removed
)

// startBackend starts a server behind the proxy of b.
func (d *deployment) startBackend(b *backend, cfg standin.BackendSettings) {
	s := standin.NewBackend(cfg, d.store)
	s.OnCrash(func() { d.crash(b, s) })
	b.mu.Lock()
	defer b.mu.Unlock()
	s.SetFaults(b.faults)
	b.all, b.down = append(b.all, s), false
	s.Heartbeat()
}

// crash ends a server, and starts the next one at its address after restartTime.
func (d *deployment) crash(b *backend, s *standin.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down || s != b.all[len(b.all)-1] {
		return
	}
	b.down = true
	b.proxy.crash()
	b.crashes = append(b.crashes, time.Now())
	old, next := b.settings.ID, b.settings
	if n := len(b.all) - 1; n > 0 {
		old = fmt.Sprintf("%s-%d", old, n)
	}
	next.ID, next.Model = fmt.Sprintf("%s-%d", next.ID, len(b.all)), ""
	time.AfterFunc(missedHeartbeats*heartbeatInterval, func() { d.store.Remove("servers", old) })
	time.AfterFunc(restartTime, func() {
		select {
		case <-d.stop:
			return
		default:
		}
		d.startBackend(b, next)
		if err := b.proxy.restore(); err != nil {
			panic(err) // another process took the port
		}
	})
}

// sendCrashPrompts sends prompts with crashPart to random instances, and checks how many
// reach engines after recoveryBound, unless a fault was in effect.
func (r *run) sendCrashPrompts(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	startedAt := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(startedAt) < crashPromptDuration; n++ {
		res := r.newResult(r.instances[rng.IntN(len(r.instances))], fmt.Sprintf("crash-%d-%d-%d", seed, startedAt.UnixNano(), n))
		res.route, res.adapter = "once", fmt.Sprintf("a%d", rng.IntN(adapterCount))
		res.parts = fmt.Sprintf("first:100,caller-%d:40,%s:60,%s:150", rng.IntN(5), crashPart, res.id)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.checkResult(r.send(client, res))
		}()
		time.Sleep(crashPromptInterval)
	}
	wg.Wait()
	r.checkCrashArrivals(startedAt)
}

// checkCrashArrivals checks the arrivals of prompts with crashPart that were sent from a
// moment on.
func (r *run) checkCrashArrivals(startedAt time.Time) {
	var crashes, arrivals []time.Time
	r.mu.Lock()
	engines := slices.Clone(r.backends[:engineCount])
	r.mu.Unlock()
	for _, b := range engines {
		b.mu.Lock()
		crashes = append(crashes, b.crashes...)
		for _, s := range b.all {
			arrivals = append(arrivals, s.Counts().CrashArrivals...)
		}
		b.mu.Unlock()
	}
	isBefore := func(t time.Time) bool { return t.Before(startedAt) }
	crashes, arrivals = slices.DeleteFunc(crashes, isBefore), slices.DeleteFunc(arrivals, isBefore)
	if len(crashes) == 0 || !r.faultFreeSince(startedAt) {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bound := crashes[min(len(crashes), crashesUntilBound)-1].Add(recoveryBound)
	late := 0
	for _, at := range arrivals {
		if at.After(bound) {
			late++
		}
	}
	if late > maxLateCrashArrivals {
		r.reportViolation("%d prompts with a part that crashes engines reached them more than %v after crash %d of %d", late, recoveryBound, min(len(crashes), crashesUntilBound), len(crashes))
	}
}

// current returns the server that runs behind the proxy.
func (b *backend) current() *standin.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all[len(b.all)-1]
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.current().ServeHTTP(w, r) }

// setFaults replaces the faults in force.
func (b *backend) setFaults(f standin.BackendFaults) {
	f.CrashPart = crashPart
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.all[len(b.all)-1].SetFaults(f)
}

// heartbeat renews the row of the present server.
func (b *backend) heartbeat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.down {
		b.all[len(b.all)-1].Heartbeat()
	}
}
