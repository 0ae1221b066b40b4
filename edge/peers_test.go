package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/loader"
)

// Loads are told in one word for all engines of an instance, when they have moved
// and not too often; among many instances less often, but for jumps.
func TestLoadsAreToldInOneWord(t *testing.T) {
	n := idleNode(t, "a")
	target := chestnutstream.ModelAdapter{Model: "m", Adapter: "x"}
	boot, now := time.Minute, time.Unix(1700000000, 0)
	for _, id := range []string{"e1", "e2"} {
		n.loaders[id] = loader.NewEngine(chestnutstream.Backend{ID: id, Slots: 20}, chestnutstream.EngineKind{Slots: 20}, boot)
	}
	use := func(requests int) {
		for _, e := range n.loaders {
			e.Used(boot, "b", target, requests, requests)
		}
	}
	steps := []struct {
		name     string
		peers    int
		after    time.Duration
		requests int
		told     bool
	}{
		{"at first", 8, time.Second, 2, true},
		{"moved by one", 8, time.Second, 3, false},
		{"moved by two", 8, time.Second, 4, true},
		{"again at once", 8, 100 * time.Millisecond, 6, false},
		{"a little later", 8, 60 * time.Millisecond, 6, true},
		{"among many", 82, 160 * time.Millisecond, 8, false},
		{"among many, later", 82, 200 * time.Millisecond, 8, true},
		{"a jump", 82, 30 * time.Millisecond, 2, true},
	}
	for _, s := range steps {
		clear(n.peers)
		for i := range s.peers {
			n.peers[instance.SeedName(string(rune('a'+i)))] = &peer{}
		}
		now = now.Add(s.after)
		use(s.requests)
		was := n.loadsToldAt
		n.tellLoads(boot, now)
		assert.Equal(t, n.loadsToldAt != was, s.told, s.name)
		if s.told {
			assert.DeepEqual(t, n.loads, map[string]int{"e1": s.requests, "e2": s.requests})
		}
	}
}
