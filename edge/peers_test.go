package edge

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/loader"
	"github.com/chestnutstream/chestnutstream/timer"
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

// asked counts the words that ask for a configuration, and answers none: like a peer
// whose own connection is not up yet.
type asked struct{ n atomic.Int32 }

func (a *asked) Heard(_ instance.Member, b instance.Bundle) {
	if b.AskConfig {
		a.n.Add(1)
	}
}
func (*asked) Linked(instance.Member) instance.Bundle { return instance.Bundle{} }
func (*asked) Unlinked(instance.Member, error)        {}

// An instance that starts while the store is away asks its peers until one answers.
func TestConfigurationIsAskedForAgain(t *testing.T) {
	t.Parallel()
	n := idleNode(t, "a")
	var peer asked
	mesh := instance.NewMesh(instance.Settings{Self: instance.Member{Name: "b", Address: "127.0.0.1:1", Zone: "z"}, Run: 1, Timer: timer.NewSystem(), Log: &log.Logger{Handler: discard.New()}}, &peer)
	t.Cleanup(mesh.Close)
	l := listen(t)
	serve(t, l, mesh)
	n.mesh.Add(instance.Member{Name: "b", Address: l.Addr().String(), Zone: "z"})
	t.Cleanup(n.mesh.Close)
	eventually(t, "it asks again", func() bool {
		n.step()
		return peer.n.Load() >= 3
	})
}
