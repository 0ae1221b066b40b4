package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Engines end when they begin to respond to a prompt with crashPart, and plain servers when
// they have run an order with crashPath. They start again empty and under another ID.
const (
	crashPart            = "dead"
	crashPath            = "dead"
	restartTime          = 1500 * time.Millisecond
	crashPromptInterval  = 120 * time.Millisecond
	crashPromptDuration  = 9 * time.Second
	crashesUntilBound    = 5
	repeatsUntilBound    = 3 // the same for a single request that comes again
	maxLateCrashArrivals = 3 // later than recoveryBound after the crash number crashesUntilBound
)

// sendCrashPrompts sends prompts with crashPart to random instances, and checks how many
// reach engines after recoveryBound, unless a fault was in effect.
func (r *run) sendCrashPrompts(seed uint64) {
	startedAt := r.sendCrashing(seed, func(rng *rand.Rand, res *result) {
		res.route, res.adapter = "once", fmt.Sprintf("a%d", 1+rng.IntN(adapterCount))
		res.parts = fmt.Sprintf("first:100,caller-%d:40,%s:60,%s:150", rng.IntN(5), crashPart, res.id)
	})
	r.mu.Lock()
	engines := slices.Clone(r.backends[:engineCount])
	r.mu.Unlock()
	r.checkCrashArrivals(startedAt, engines, crashesUntilBound, "prompts with a part that crashes engines")
}

// sendCrashRequests is sendCrashPrompts for one order that comes again and again.
func (r *run) sendCrashRequests(seed uint64) {
	startedAt := r.sendCrashing(seed, func(_ *rand.Rand, res *result) { res.route, res.path = "order", crashPath })
	r.mu.Lock()
	plain := slices.Clone(r.backends[engineCount:])
	r.mu.Unlock()
	r.checkCrashArrivals(startedAt, plain, repeatsUntilBound, "requests that crash plain servers")
}

// sendCrashing sends requests to random instances; set fills them in. It returns when it
// began.
func (r *run) sendCrashing(seed uint64, set func(rng *rand.Rand, res *result)) time.Time {
	rng := rand.New(rand.NewPCG(seed, 5))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	startedAt := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(startedAt) < crashPromptDuration; n++ {
		res := r.newResult(r.instances[rng.IntN(len(r.instances))], fmt.Sprintf("crash-%d-%d-%d", seed, startedAt.UnixNano(), n))
		set(rng, &res)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.checkResult(r.send(client, res))
		}()
		time.Sleep(crashPromptInterval)
	}
	wg.Wait()
	return startedAt
}

// checkCrashArrivals checks the arrivals at servers of what crashes them, sent from a moment
// on. After untilBound crashes only a few may follow.
func (r *run) checkCrashArrivals(startedAt time.Time, servers []*backend, untilBound int, what string) {
	var crashes, arrivals []time.Time
	for _, b := range servers {
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
	untilBound = min(len(crashes), untilBound)
	bound := crashes[untilBound-1].Add(recoveryBound)
	late := 0
	for _, at := range arrivals {
		if at.After(bound) {
			late++
		}
	}
	if late > maxLateCrashArrivals {
		r.reportViolation("%d %s reached them more than %v after crash %d of %d", late, what, recoveryBound, untilBound, len(crashes))
	}
}
