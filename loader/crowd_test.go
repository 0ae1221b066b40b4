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

// coldStart plays requests of many instances for one adapter that no engine holds
// yet, and returns how many come to each engine at once when its load is complete.
// With a batch of 0 slots engines send nobody on: the policy before.
func coldStart(t *testing.T, slots int) map[string]int {
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
			list = append(list, fleet.Entry{Key: id, Row: uint64(i + 1), Backend: chestnutstream.Backend{
				ID: id, Born: 1, Service: "s", Address: id + ":1", Zone: "z", Slots: 12, State: chestnutstream.BackendReady,
				Models: []chestnutstream.HeldModel{{Name: testModel}},
			}})
		}
		f.Listed(start, 0, list)
		fleets = append(fleets, f)
	}
	plays := map[string]*play{}
	for i := range engines {
		p := newPlay(8)
		p.e.kind.Slots = slots
		p.run(reportLag + 50*time.Millisecond)
		plays[fmt.Sprint("e", i)] = p
	}
	waiting := map[string]int{}
	for i := range requests { // a fifth of a second: less than a load takes
		from := i % instances
		avoid := map[string]bool{}
		for {
			c := fleets[from].PickEngine(start, fleet.Request{Service: "s", Target: target, Version: 1}, avoid, func(*fleet.Server) bool { return true })
			assert.Assert(t, c.Server != nil, "sent on by every engine")
			e := plays[c.Server.ID].e
			e.Want(plays[c.Server.ID].w.now, fmt.Sprint("n", from), target, 1, 1+e.askedBy(target, fmt.Sprint("n", from)))
			if len(e.sentOn) == 0 {
				waiting[c.Server.ID]++
				break
			}
			e.sentOn = nil
			avoid[c.Server.ID] = true
		}
	}
	return waiting
}

// askedBy returns how many requests of an instance wait for an adapter.
func (e *Engine) askedBy(target chestnutstream.ModelAdapter, from string) int {
	if w := e.wants[target]; w != nil {
		return w.askers[from]
	}
	return 0
}

// The load that this answers: all instances start cold, and many of their first
// requests are for one adapter.
func TestEnoughWaitForOneAdapter(t *testing.T) {
	most := func(waiting map[string]int) int {
		n := 0
		for _, a := range waiting {
			n = max(n, a)
		}
		return n
	}
	before, now := most(coldStart(t, 0)), most(coldStart(t, 12))
	t.Logf("requests that come to one engine of 12 slots at once, before and now: %d, %d", before, now)
	assert.Equal(t, before, 60)
	assert.Assert(t, now <= 24, "%d requests at once to an engine of 12 slots", now)
}

// An instance that is sent on hears so, and its want is not kept; those that wait
// already may add to theirs, and are told when the adapter is there.
func TestInstancesAreSentOn(t *testing.T) {
	p := newPlay(2)
	p.e.kind.Slots = 10
	p.run(reportLag + 50*time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 4)
	p.e.Want(p.w.now, "o", adapter("a1"), 1, 1)
	p.e.Want(p.w.now, "late", adapter("a1"), 1, 1)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 9)
	actions := p.e.Step(p.w.now)
	assert.Equal(t, actions[0].Kind, TellRetry)
	assert.DeepEqual(t, actions[0].To, []string{"late"})
	assert.DeepEqual(t, p.e.wants[adapter("a1")].askers, map[string]int{"n": 9, "o": 1})
	assert.Equal(t, len(p.e.sentOn), 0)
}
