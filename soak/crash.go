package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
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
)

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
		crashes = append(crashes, b.Crashes()...)
		for _, s := range b.Backends() {
			arrivals = append(arrivals, s.Counts().CrashArrivals...)
		}
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
