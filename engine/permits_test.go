package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Two leads at once, each of them hearing any of the zones, never have more
// loads under way than the weight store takes; and a lead's grants go by
// priority.
func TestPermitsKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const inFlight, zones = 16, 4
		now := time.Unix(0, 0)
		cfg := PermitSettings{LoadsInFlight: inFlight, Zones: zones, FullSpeed: time.Second, Unheard: 10 * time.Second}
		leads := []*Permits{NewPermits(cfg), NewPermits(cfg)}
		asks := map[string][]Ask{} // by lead and instance
		serial := 0
		who := func(t *rapid.T) (lead int, instance string, zone string) {
			lead = rapid.IntRange(0, 1).Draw(t, "lead")
			z := rapid.IntRange(0, zones-1).Draw(t, "zone")
			return lead, fmt.Sprintf("i%d", z), fmt.Sprintf("z%d", z)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				lead, instance, zone := who(t)
				key := fmt.Sprint(lead, instance)
				for range rapid.IntRange(1, 6).Draw(t, "asks") {
					serial++
					asks[key] = append(asks[key], Ask{ID: fmt.Sprint(serial), Priority: float64(serial % 7)})
				}
				leads[lead].Step(now, instance, zone, asks[key])
			},
			"end": func(t *rapid.T) {
				lead, instance, zone := who(t)
				key := fmt.Sprint(lead, instance)
				var left []Ask
				granted := map[string]bool{}
				for _, id := range leads[lead].Granted(instance) {
					granted[id] = true
				}
				for _, a := range asks[key] {
					if !granted[a.ID] {
						left = append(left, a)
					}
				}
				asks[key] = left
				leads[lead].Step(now, instance, zone, left)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if n := leads[0].InFlight() + leads[1].InFlight(); n > inFlight {
					t.Fatalf("%d loads in flight", n)
				}
			},
		})
	})
}

func TestPermitsGoByPriorityAndFollowTheStore(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPermits(PermitSettings{LoadsInFlight: 16, Zones: 4, FullSpeed: 600 * time.Millisecond, Unheard: time.Minute})
	p.Step(now, "a", "z", []Ask{{ID: "later", Priority: 1}, {ID: "urgent", Priority: 9}})
	assert.DeepEqual(t, p.Granted("a"), []string{"urgent"})
	// Loads at full speed let more go at once, up to the zone's share.
	p.Step(now.Add(250*time.Millisecond), "a", "z", []Ask{{ID: "later", Priority: 1}, {ID: "x", Priority: 5}})
	assert.DeepEqual(t, p.Granted("a"), []string{"later", "x"})
	// Loads that wait in the store let fewer go.
	p.Step(now.Add(3*time.Second), "a", "z", []Ask{{ID: "y", Priority: 1}, {ID: "w", Priority: 5}})
	assert.DeepEqual(t, p.Granted("a"), []string{"w"})
}
