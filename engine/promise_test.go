package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An adapter that serves any request stays loaded until that request ends, and
// an engine that ignores fencing numbers has one owner at most: through crashes,
// pauses past the lease, lost and late messages, store outages, engine restarts
// and lost answers of the store. Longer runs:
//
//	go test ./engine -run AdapterInUseStays -rapid.checks=20000
func TestAdapterInUseStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.advance(3 * time.Second)
		instance := rapid.IntRange(0, len(w.instances)-1)
		submitted := 0
		// traffic sends requests at every instance while the time passes, so that
		// the slots are always fought for.
		traffic := func(t *rapid.T) {
			for range rapid.IntRange(5, 60).Draw(t, "steps") {
				for _, in := range w.instances {
					submitted++
					if in.dead || w.now.Before(in.pausedUntil) || submitted%4 != 0 {
						continue
					}
					av := w.adapters[(submitted*7+submitted/29)%len(w.adapters)]
					in.do(in.placement.Step(w.now, Submit{Pending{
						ID: fmt.Sprintf("r%d", submitted), AdapterVersion: av, BaseModel: "base", Urgency: 60, Deadline: w.now.Add(20 * time.Second),
					}}))
				}
				w.advance(4 * worldStep)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"traffic":  traffic,
			"traffic-": traffic,
			"traffic+": traffic,
			"quiet": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * worldStep)
			},
			"pause": func(t *rapid.T) {
				in := w.instances[instance.Draw(t, "instance")]
				if rapid.IntRange(0, 2).Draw(t, "spare") > 0 {
					return
				}
				in.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second)
			},
			"crash": func(t *rapid.T) {
				in := w.instances[instance.Draw(t, "instance")]
				if rapid.IntRange(0, 2).Draw(t, "spare") > 0 {
					return
				}
				in.crash()
			},
			"restart": func(t *rapid.T) {
				if in := w.instances[instance.Draw(t, "instance")]; in.dead {
					in.start()
				}
			},
			"store": func(t *rapid.T) { w.storeDown = rapid.Bool().Draw(t, "down") },
			"cut": func(t *rapid.T) {
				a, b := w.instances[instance.Draw(t, "a")].name, w.instances[instance.Draw(t, "b")].name
				w.cut[[2]string{a, b}] = rapid.Bool().Draw(t, "cut")
			},
			"engine-restart": func(t *rapid.T) {
				e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
				e.epoch++
				e.fence = 0
				for name := range e.slots {
					delete(e.slots, name)
				}
			},
			"": func(*rapid.T) { w.checkOwners() },
		})
		t.Logf("unloads: %d", w.unloads)
	})
}
