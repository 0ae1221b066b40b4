package loader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
)

// simulateColdStart simulates requests of many instances for one adapter that no
// engine has loaded, and returns how many wait at each engine and so start at once
// when it is loaded. With 0 slots engines redirect no instance, which is the
// earlier policy.
func simulateColdStart(t *testing.T, slots int) map[string]int {
	const (
		instances = 20
		engines   = 10
		requests  = 60
	)
	start := time.Unix(1700000000, 0)
	target := adapter("hot")
	var fleets []*fleet.Fleet
	for range instances {
		f := fleet.New("z", nil, rand.New(rand.NewPCG(1, 2)))
		var list []fleet.Entry
		for i := range engines {
			id := fmt.Sprint("e", i)
			list = append(list, fleet.Entry{Key: id, RowVersion: uint64(i + 1), Backend: chestnutstream.Backend{
				ID: id, Born: 1, Service: "s", Address: id + ":1", Zone: "z", Slots: 12, State: chestnutstream.BackendReady,
				Models: []chestnutstream.LoadedModel{{Name: testModel}},
			}})
		}
		f.ApplySnapshot(start, 0, list)
		fleets = append(fleets, f)
	}
	simulations := map[string]*simulation{}
	for i := range engines {
		s := newSimulation(8)
		s.loader.spec.Slots = slots
		s.run(reportLag + 50*time.Millisecond)
		simulations[fmt.Sprint("e", i)] = s
	}
	waiting := map[string]int{}
	for i := range requests { // within 0.2 s: less than a load takes
		from := i % instances
		avoid := map[string]bool{}
		for {
			c := fleets[from].PickEngine(start, fleet.Request{Service: "s", Target: target, Version: 1}, avoid, func(*fleet.Server) bool { return true })
			assert.Assert(t, c.Server != nil, "redirected by every engine")
			e := simulations[c.Server.ID].loader
			e.RequestLoad(simulations[c.Server.ID].engine.now, fmt.Sprint("n", from), target, 1, 1+e.waitingFrom(target, fmt.Sprint("n", from)))
			if len(e.redirects) == 0 {
				waiting[c.Server.ID]++
				break
			}
			e.redirects = nil
			avoid[c.Server.ID] = true
		}
	}
	return waiting
}

// waitingFrom returns how many requests of an instance wait for an adapter.
func (e *Engine) waitingFrom(target chestnutstream.ModelAdapter, from string) int {
	if r := e.requests[target]; r != nil {
		return r.waitingBy[from]
	}
	return 0
}

// Guards against many requests starting on one engine at once: all instances
// start without loaded adapters, and many of their first requests are for the same
// adapter.
func TestWaitingRequestsPerAdapterAreLimited(t *testing.T) {
	most := func(waiting map[string]int) int {
		n := 0
		for _, a := range waiting {
			n = max(n, a)
		}
		return n
	}
	unlimited, limited := most(simulateColdStart(t, 0)), most(simulateColdStart(t, 12))
	t.Logf("requests that start at once on one engine of 12 slots: %d without redirects, %d with", unlimited, limited)
	assert.Equal(t, unlimited, 60)
	assert.Assert(t, limited <= 24, "%d requests start at once on an engine of 12 slots", limited)
}

// A redirected instance gets a message and its load request is not kept. Instances
// that already wait may add requests, and are notified when the adapter is loaded.
func TestSaturatedAdapterRedirectsNewInstances(t *testing.T) {
	s := newSimulation(2)
	s.loader.spec.Slots = 10
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 4)
	s.loader.RequestLoad(s.engine.now, "o", adapter("a1"), 1, 1)
	s.loader.RequestLoad(s.engine.now, "late", adapter("a1"), 1, 1)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 9)
	actions := s.loader.Step(s.engine.now)
	assert.Equal(t, actions[0].Kind, RejectLoad)
	assert.DeepEqual(t, actions[0].To, []string{"late"})
	assert.DeepEqual(t, s.loader.requests[adapter("a1")].waitingBy, map[string]int{"n": 9, "o": 1})
	assert.Equal(t, len(s.loader.redirects), 0)
}
