package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// The logs must tell a server's change that came late from one that never came.
func TestServerChangesAreLoggedWithSourceAndViewAge(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	all := []*testInstance{s.instance("edge-a"), s.instance("edge-b")}
	s.awaitOwners(1, all...)
	s.store.Remove(platform.TableServers, "i-desk-0")
	for _, in := range all {
		eventually(t, "a change of the server is logged", func() bool {
			for _, change := range in.log.with("server entry changed") {
				if change["server"] == "i-desk-0" && change["change"] != "new" {
					_, hasAge := change["view-ms"].(int64)
					assert.Assert(t, change["source"] != "" && hasAge, "%v", change)
					return true
				}
			}
			return false
		})
	}
}

// An instance that cannot read the store, and gets no updates of a reader, learned of no leaving at all.
func TestLeavingReadInOneZoneIsSentToOthers(t *testing.T) {
	for _, kind := range []string{"draining", "removed"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 1, 3)
			s.backendWithoutHeartbeat(standin.BackendSettings{ID: "i-desk-left", Service: "desk", Slots: 6, ServiceTime: time.Millisecond})
			a := s.instance("edge-a")
			b := s.instanceAt("zone-b", nil, "edge-b", a.cfg.PeerAddress)
			s.awaitOwners(1, a, b)
			usable := func(in *testInstance) bool {
				n := in.Node()
				n.mu.Lock()
				defer n.mu.Unlock()
				server := n.fleet.Server("i-desk-left")
				return server != nil && server.Usable()
			}
			assert.Assert(t, usable(b))
			b.storeGate.setUnavailable(true)
			if kind == "draining" {
				s.backends[len(s.backends)-1].Drain()
			} else {
				s.store.Remove(platform.TableServers, "i-desk-left")
			}
			within(t, 5*time.Second, "both instances have stopped using the server", func() bool { return !usable(a) && !usable(b) })
		})
	}
}

// An instance that links later is sent the servers that drain, however that was learned.
func TestDrainingServersAreSentOnNewLinks(t *testing.T) {
	n := idleNode(t, "a")
	n.applyServerRows([]chestnutstream.TableRow{serverRow("i-1", "ready", 0, 1), serverRow("i-2", "ready", 0, 2), serverRow("i-1", "draining", 0, 3)}, false, 0)
	notices := n.Connected(instance.Member{Name: "b"}).ServerNotices
	assert.DeepEqual(t, notices, []instance.ServerNotice{{Server: "i-1", Born: 1, Leaving: true}})
}

// A reader that learned of a leaving before it read the entry kept the entry from its followers.
func TestLeavingLearnedBeforeItsEntryIsSentToFollowers(t *testing.T) {
	n := idleNode(t, "a")
	send := func(rows ...chestnutstream.TableRow) []chestnutstream.TableRow {
		n.applyServerRows(rows, false, 0)
		return n.changedEntries(rows)
	}
	send(serverRow("i-1", "ready", 0, 1))
	n.Received(instance.Member{Name: "b"}, instance.Bundle{ServerNotices: []instance.ServerNotice{{Server: "i-1", Born: 1, Leaving: true}}})
	send(serverRow("i-1", "ready", 0, 2))
	assert.Equal(t, len(send(serverRow("i-1", "draining", 0, 3))), 1)
}
