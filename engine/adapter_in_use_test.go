package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An adapter must stay loaded until every request on it has ended, and an engine
// that ignores fencing tokens must have at most one owner. Crashes, pauses longer
// than the lease, lost and late messages, store outages, engine restarts and lost
// responses of the store could break either. Longer runs:
//
//	go test ./engine -run AdapterInUseStays -rapid.checks=20000
func TestAdapterInUseStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 3)
		sim.advance(3 * time.Second)
		instance := rapid.IntRange(0, len(sim.instances)-1)
		submitted := 0
		// traffic submits requests on every instance as time advances, for more
		// adapters than there are slots.
		traffic := func(t *rapid.T) {
			for range rapid.IntRange(5, 60).Draw(t, "steps") {
				for _, in := range sim.instances {
					submitted++
					if in.crashed || sim.now.Before(in.pausedUntil) || submitted%4 != 0 {
						continue
					}
					av := sim.adapters[(submitted*7+submitted/29)%len(sim.adapters)]
					in.execute(in.placement.Step(sim.now, Submit{PendingRequest{
						ID: fmt.Sprintf("r%d", submitted), AdapterVersion: av, BaseModel: "base", Urgency: 60, Deadline: sim.now.Add(20 * time.Second),
					}}))
				}
				sim.advance(4 * simStep)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"traffic":  traffic,
			"traffic-": traffic,
			"traffic+": traffic,
			"quiet": func(t *rapid.T) {
				sim.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * simStep)
			},
			"pause": func(t *rapid.T) {
				in := sim.instances[instance.Draw(t, "instance")]
				if rapid.IntRange(0, 2).Draw(t, "spare") > 0 {
					return
				}
				in.pausedUntil = sim.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second)
			},
			"crash": func(t *rapid.T) {
				in := sim.instances[instance.Draw(t, "instance")]
				if rapid.IntRange(0, 2).Draw(t, "spare") > 0 {
					return
				}
				in.crash()
			},
			"restart": func(t *rapid.T) {
				if in := sim.instances[instance.Draw(t, "instance")]; in.crashed {
					in.start()
				}
			},
			"store": func(t *rapid.T) { sim.storeDown = rapid.Bool().Draw(t, "down") },
			"cut": func(t *rapid.T) {
				a, b := sim.instances[instance.Draw(t, "a")].name, sim.instances[instance.Draw(t, "b")].name
				sim.linksCut[[2]string{a, b}] = rapid.Bool().Draw(t, "cut")
			},
			"engine-restart": func(t *rapid.T) {
				e := sim.engines[rapid.IntRange(0, len(sim.engines)-1).Draw(t, "engine")]
				e.epoch++
				e.fence = 0
				for name := range e.slots {
					delete(e.slots, name)
				}
			},
			"": func(*rapid.T) { sim.checkOwners() },
		})
		t.Logf("unloads: %d", sim.unloads)
	})
}
