package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Guards against requests that wait for a server with a limit, or arrive meanwhile, and take
// the place of a more urgent one that waits too; and against waitlists where routes have one
// priority, or servers state no pace.
func TestUrgentRequestIsPlacedFirst(t *testing.T) {
	boot := time.Now()
	n := newNode(platform.Settings{Instance: "n", Zone: "z1"}, &log.Logger{Handler: discard.New()}, timer.NewSystem(), func() time.Duration { return time.Since(boot) })
	defer n.cancel()
	service := &chestnutstream.BackendService{Name: "s"}
	table := func(priority int) *chestnutstream.RouteTable {
		var routes []*chestnutstream.Route
		for _, p := range []int{0, priority} {
			routes = append(routes, &chestnutstream.Route{Host: "h", Prefix: "/", Priority: p, Targets: []chestnutstream.RouteTarget{{Service: "s", Weight: 1}}})
		}
		return chestnutstream.NewRouteTable(1, routes, []*chestnutstream.BackendService{service}, chestnutstream.ClientLimits{})
	}
	n.routes.Store(table(0))
	assert.Assert(t, n.enterWaitlist(ingress.PlacementRequest{Service: "s"}) == nil)
	n.routes.Store(table(2))
	b := chestnutstream.Backend{ID: "i-1", Born: 1, Service: "s", Address: "127.0.0.1:1", Zone: "z1", Slots: 8, State: chestnutstream.BackendReady}
	now := n.now()
	n.mu.Lock()
	n.regionInstances = 1
	n.fleet.ApplySnapshot(now, 1, []fleet.Entry{{Key: "i-1", RowVersion: 1, Backend: b}})
	assert.Assert(t, n.enterWaitlist(ingress.PlacementRequest{Service: "s"}) == nil) // its servers state no pace
	n.fleet.RecordPace(now, "i-1", 1)
	n.fleet.RecordBackpressure(now, now, "i-1", chestnutstream.Backpressure{RateLimit: 5, RetryAfter: 300 * time.Millisecond})
	n.mu.Unlock()
	var mu sync.Mutex
	var placed []int
	var wg sync.WaitGroup
	place := func(priority int, target time.Duration) {
		defer wg.Done()
		start := n.now()
		_, err := n.Place(context.Background(), ingress.PlacementRequest{Service: "s", Priority: priority, TargetLatency: target, Start: start, Until: start.Add(4 * time.Second)})
		mu.Lock()
		defer mu.Unlock()
		assert.Check(t, err == nil, "priority %d: %v", priority, err)
		placed = append(placed, priority)
	}
	wg.Add(5)
	for range 2 {
		go place(2, 5*time.Second)
	}
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		go place(0, 4*time.Second)
	}
	time.Sleep(50 * time.Millisecond)
	go place(2, 5*time.Second)
	wg.Wait()
	assert.DeepEqual(t, placed, []int{0, 0, 2, 2, 2})
	n.mu.Lock()
	defer n.mu.Unlock()
	assert.Equal(t, n.waitlists.lists["s"].Held(), 0)
	assert.Equal(t, len(n.waitlists.wake["s"]), 0)
}
