package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// coldStart plays requests for one adapter that no engine holds yet, and returns
// how many came to each engine when its load was complete. Without counted, those
// that wait for a load are not counted as load of its engine: the policy before.
func coldStart(counted bool) map[string]int {
	const (
		instances = 20
		requests  = 60
		slots     = 12
		toldEvery = 25 * time.Millisecond
	)
	target := chestnutstream.ModelAdapter{Model: "m", Adapter: "hot"}
	var fleets []*Fleet
	for range instances {
		f := newFleet()
		var list []Entry
		for i := range 10 {
			list = append(list, entry(string(rune('a'+i)), uint64(i+1), func(b *chestnutstream.Backend) { b.Slots = slots }))
		}
		f.Listed(start, 0, list)
		fleets = append(fleets, f)
	}
	waiting := map[string]int{}
	loadedAt := map[string]time.Time{}
	arrived := map[string]int{}
	now, told := start, start
	for i := range requests { // a fifth of a second: as many as wait for a load of 300 ms
		now = now.Add(3 * time.Millisecond)
		if counted && now.Sub(told) >= toldEvery {
			told = now
			for _, f := range fleets {
				for id, n := range waiting {
					f.AllHave(id, n)
				}
			}
		}
		f := fleets[i%instances]
		c := f.PickEngine(now, Request{Service: testService, Target: target, Version: 1}, nil, anyLoadable)
		id := c.Server.ID
		if loadedAt[id].IsZero() {
			loadedAt[id] = now.Add(adapterLoad)
		}
		waiting[id]++
		if counted {
			f.Waits(id, 1)
		}
	}
	for id, n := range waiting {
		arrived[id] += n
	}
	return arrived
}

// The load that this answers: all instances start cold, and a fifth of their
// requests are for one adapter.
func TestRequestsThatWaitForALoadAreLoad(t *testing.T) {
	most := func(arrived map[string]int) int {
		n := 0
		for _, a := range arrived {
			n = max(n, a)
		}
		return n
	}
	before, now := most(coldStart(false)), most(coldStart(true))
	t.Logf("requests that come to one engine of 12 slots at once, before and now: %d, %d", before, now)
	assert.Equal(t, before, 60)
	assert.Assert(t, now <= 24, "%d requests at once to an engine of 12 slots", now)
}

// Waiting requests are forgotten with those that wait.
func TestWaitingIsNeverNegative(t *testing.T) {
	f := engines(1)
	f.Waits("e0", 2)
	f.Waits("e0", -5)
	f.Waits("unknown", 1)
	assert.Equal(t, f.Server("e0").Waiting, 0)
	assert.Equal(t, f.Server("e0").Load(start), 0.0)
}
