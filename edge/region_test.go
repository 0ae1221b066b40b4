package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Instances exchange messages within their region, also when their seed is of another
// region. Instances of a region without engines use those of other regions, and have to
// reach their owners.
func TestMessagesStayInTheRegion(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3) // its servers are in zone-a
	s.backend(standin.BackendSettings{
		ID: "i-engine-north", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m", Zone: "zone-n",
		ServiceTime: 5 * time.Millisecond, Events: 5, LoadTime: 100 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
	})
	regions := map[string]string{"zone-a": "east", "zone-b": "east", "zone-n": "north", "zone-w": "west"}
	a := s.instanceAt("zone-a", regions, "edge-a")
	b := s.instanceAt("zone-b", regions, "edge-b", a.cfg.PeerAddress)
	north := s.instanceAt("zone-n", regions, "edge-north", a.cfg.PeerAddress)
	west := s.instanceAt("zone-w", regions, "edge-west", a.cfg.PeerAddress)
	connected := func(from, to *testInstance) bool { return from.Node().mesh.Connected(to.Node().id) }
	eventually(t, "only the expected instances are connected", func() bool {
		return connected(a, b) && connected(b, a) && connected(west, a) && connected(a, west) && connected(west, north) && connected(north, west) &&
			!connected(a, north) && !connected(north, a) && !connected(north, b)
	})
	owner := func(in *testInstance, server string) string {
		n := in.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.leases.Owner(server)
	}
	eventually(t, "each region owns its engines", func() bool {
		return owner(north, "i-engine-north") == north.Node().id && owner(a, "i-engine-0") == a.Node().id
	})
	s.awaitOwners(1, a, b, north)
	s.awaitOwners(2, west)
	for _, in := range []*testInstance{a, b, north, west} {
		status, body, err := sendRequest(in, "POST", "/ask/1", "m/a1")
		assert.Assert(t, err == nil && status == 200 && body == fullStream("m/a1"), "%s: %d %v %q", in.cfg.Instance, status, err, body)
	}
	s.checkBackends()
}
