package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Two leaders at once, each receiving requests from any of the zones, must not
// grant more loads in flight than the weight store's limit.
func TestPermitsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const inFlight, zones = 16, 4
		now := time.Unix(0, 0)
		cfg := PermitSettings{LoadsInFlight: inFlight, Zones: zones, FullSpeedLoadTime: time.Second, InstanceTimeout: 10 * time.Second}
		leaders := []*PermitIssuer{NewPermitIssuer(cfg), NewPermitIssuer(cfg)}
		requests := map[string][]PermitRequest{} // by leader and instance
		serial := 0
		drawSender := func(t *rapid.T) (leader int, instance string, zone string) {
			leader = rapid.IntRange(0, 1).Draw(t, "leader")
			z := rapid.IntRange(0, zones-1).Draw(t, "zone")
			return leader, fmt.Sprintf("i%d", z), fmt.Sprintf("z%d", z)
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				leader, instance, zone := drawSender(t)
				key := fmt.Sprint(leader, instance)
				for range rapid.IntRange(1, 6).Draw(t, "asks") {
					serial++
					requests[key] = append(requests[key], PermitRequest{ID: fmt.Sprint(serial), Priority: float64(serial % 7)})
				}
				leaders[leader].Step(now, instance, zone, requests[key])
			},
			"end": func(t *rapid.T) {
				leader, instance, zone := drawSender(t)
				key := fmt.Sprint(leader, instance)
				var left []PermitRequest
				granted := map[string]bool{}
				for _, id := range leaders[leader].Granted(instance) {
					granted[id] = true
				}
				for _, r := range requests[key] {
					if !granted[r.ID] {
						left = append(left, r)
					}
				}
				requests[key] = left
				leaders[leader].Step(now, instance, zone, left)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if n := leaders[0].InFlight() + leaders[1].InFlight(); n > inFlight {
					t.Fatalf("%d loads in flight", n)
				}
			},
		})
	})
}

// Permits must be granted by priority, and their number must follow how long the
// loads take in the weight store.
func TestPermitsFollowPriorityAndStoreSpeed(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPermitIssuer(PermitSettings{LoadsInFlight: 16, Zones: 4, FullSpeedLoadTime: 600 * time.Millisecond, InstanceTimeout: time.Minute})
	p.Step(now, "a", "z", []PermitRequest{{ID: "later", Priority: 1}, {ID: "urgent", Priority: 9}})
	assert.DeepEqual(t, p.Granted("a"), []string{"urgent"})
	// Loads at full speed raise the limit, up to the zone's share.
	p.Step(now.Add(250*time.Millisecond), "a", "z", []PermitRequest{{ID: "later", Priority: 1}, {ID: "x", Priority: 5}})
	assert.DeepEqual(t, p.Granted("a"), []string{"later", "x"})
	// Loads that are queued in the store lower the limit.
	p.Step(now.Add(3*time.Second), "a", "z", []PermitRequest{{ID: "y", Priority: 1}, {ID: "w", Priority: 5}})
	assert.DeepEqual(t, p.Granted("a"), []string{"w"})
}
