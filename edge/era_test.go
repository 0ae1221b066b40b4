package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/software"
	"github.com/chestnutstream/chestnutstream/timer"
)

// serverRow returns the row of a server, in the first start of it.
func serverRow(id, state string, era, counter uint64) chestnutstream.TableRow {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","zone":"z","state":%q,"born":1}`, state)
	return chestnutstream.TableRow{Table: platform.TableServers, Key: id, Value: []byte(value), Version: chestnutstream.RowVersion(era, counter)}
}

func serversUpdate(era, after, to uint64, rows ...chestnutstream.TableRow) instance.TableUpdate {
	return instance.TableUpdate{Table: platform.TableServers, After: chestnutstream.RowVersion(era, after), To: chestnutstream.RowVersion(era, to), Rows: rows, ReadAt: time.Now()}
}

func TestMessagesStateTheEra(t *testing.T) {
	row := chestnutstream.TableRow{Key: "k", Version: chestnutstream.RowVersion(2, 3)}
	tests := []struct {
		name string
		b    instance.Bundle
		era  uint64
	}{
		{"update", instance.Bundle{TableUpdates: []instance.TableUpdate{serversUpdate(2, 5, 5)}}, 2},
		{"update of an earlier era", instance.Bundle{TableUpdates: []instance.TableUpdate{serversUpdate(0, 5, 9)}}, 1},
		{"update of an earlier build", instance.Bundle{TableUpdates: []instance.TableUpdate{serversUpdate(0, 500, 900)}}, 1},
		{"software versions", instance.Bundle{SoftwareRows: []chestnutstream.TableRow{row}}, 2},
		{"removed server", instance.Bundle{RemovedServers: []instance.RemovedServer{{Server: "k", RowVersion: row.Version}}}, 2},
		{"configuration", instance.Bundle{ConfigRowVersion: row.Version}, 2},
		{"none", instance.Bundle{}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := idleNode(t, "a")
			n.store.RaiseEra(1)
			restored := n.restoreSignal()
			polled := false
			n.polls[platform.TableServers] = poll{cancel: func() { polled = true }}
			n.Received(instance.Member{Name: "b"}, tt.b)
			rose := tt.era > 1
			assert.Equal(t, n.store.Era(), tt.era)
			assert.Equal(t, polled, rose, "polls in progress")
			select {
			case <-restored:
				assert.Assert(t, rose)
			default:
				assert.Assert(t, !rose)
			}
			assert.Equal(t, n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`).Get(), tt.era-1)
		})
	}
}

// Guards against messages that state no era and are taken for the era of a store that has
// stated none.
func TestFirstEraIsNoRestore(t *testing.T) {
	n := idleNode(t, "a")
	n.Received(instance.Member{Name: "b"}, instance.Bundle{TableUpdates: []instance.TableUpdate{serversUpdate(0, 500, 900)}})
	n.store.RaiseEra(4)
	assert.Equal(t, n.store.Era(), uint64(4))
	assert.Equal(t, n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`).Get(), uint64(0))
}

// Guards against an instance that does not reach the store, and takes what the others tell
// it in the new era for gaps.
func TestUpdatesOfALaterEraReachInstancesWithoutTheStore(t *testing.T) {
	n := idleNode(t, "a")
	n.applyServerRows([]chestnutstream.TableRow{serverRow("x", "ready", 1, 50), serverRow("y", "ready", 1, 51), serverRow("z", "ready", 1, 52)}, true, chestnutstream.RowVersion(1, 60))
	n.recordRead(platform.TableServers, chestnutstream.RowVersion(1, 60), n.now())
	n.applyServerRows([]chestnutstream.TableRow{{Key: "z", Version: chestnutstream.RowVersion(1, 61), Removed: true}}, false, 0)
	old := n.view(platform.TableServers).asOf()
	n.Received(instance.Member{Name: "b"}, instance.Bundle{TableUpdates: []instance.TableUpdate{
		serversUpdate(2, 20, 30, serverRow("x", "draining", 2, 25), serverRow("z", "ready", 2, 19)),
	}})
	assert.Assert(t, !n.fleet.Server("x").Usable() && n.fleet.Server("y").Usable() && n.fleet.Server("z") == nil)
	assert.Equal(t, n.view(platform.TableServers).asOf(), old, "the view is as old as before")
	n.Received(instance.Member{Name: "b"}, instance.Bundle{TableUpdates: []instance.TableUpdate{serversUpdate(2, 30, 35, serverRow("z", "ready", 2, 31))}})
	assert.Assert(t, n.fleet.Server("z").Usable())
}

// Guards against a follower that waits for a reader of an earlier era, and counts what that
// one sends as current.
func TestReadersOfAnEarlierEraAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	for i := 0; ; i++ {
		n := idleNode(t, fmt.Sprint("a", i))
		n.cfg.DrainBound = time.Minute
		var peer requestCounter
		mesh := instance.NewMesh(instance.Settings{Self: instance.Member{Name: "b", Address: "127.0.0.1:1", Zone: "z"}, Incarnation: 1, Timer: timer.NewSystem(), Log: &log.Logger{Handler: discard.New()}}, &peer)
		t.Cleanup(mesh.Close)
		l := listen(t)
		serve(t, l, mesh)
		n.mesh.Add(instance.Member{Name: "b", Address: l.Addr().String(), Zone: "z"})
		t.Cleanup(n.mesh.Close)
		eventually(t, "connected", func() bool { return n.mesh.Connected("b") })
		n.Received(instance.Member{Name: "b", Zone: "z"}, instance.Bundle{Incarnation: 1})
		if readers, _ := n.zoneReaders(platform.TableServers); readers[0] != "b" {
			continue // this instance reads for the zone
		}
		w := n.watches()[1]
		version := chestnutstream.RowVersion(2, 10)
		n.recordRead(w.table, version, n.now())
		for _, tt := range []struct {
			update instance.TableUpdate
			ok     bool
		}{
			{serversUpdate(2, 10, 12), true},
			{serversUpdate(1, 70, 80), false},
			{serversUpdate(0, 70, 80), false},
			{serversUpdate(3, 1, 2), false},
		} {
			updatedAt := n.view(w.table).updatedAt
			n.updates[w.table] <- tt.update
			begin := time.Now()
			_, ok := n.awaitUpdate(w, version, n.restoreSignal())
			assert.Equal(t, ok, tt.ok)
			assert.Assert(t, time.Since(begin) < w.readerTimeout()/2)
			assert.Equal(t, n.view(w.table).updatedAt.After(updatedAt), tt.ok)
		}
		restored := n.restoreSignal()
		n.store.RaiseEra(1)
		n.store.RaiseEra(2)
		_, ok := n.awaitUpdate(w, version, restored)
		assert.Assert(t, !ok)
		v := view{version: version}
		v.recordUpdate(time.Now(), chestnutstream.RowVersion(1, 70), chestnutstream.RowVersion(1, 80))
		assert.Assert(t, v.updatedAt.IsZero())
		return
	}
}

func configOf(version uint64) []byte {
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, version))
}

func declaration(version int, era, counter uint64) chestnutstream.TableRow {
	value := fmt.Sprintf(`{"model":"m","adapter":"a1","version":%d}`, version)
	return chestnutstream.TableRow{Table: platform.TableOperator, Key: "version/m.a1", Value: []byte(value), Version: chestnutstream.RowVersion(era, counter)}
}

// Guards against an instance that starts after the store has lost a configuration, and knows
// only the one before it while the others have the newer one in force.
func TestLostConfigurationIsLearnedFromAPeer(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name             string
		config, declared uint64 // that the starting instance has read; 0: none
		want             uint64
	}{
		{"older", 6, 1, 7},
		{"none", 0, 0, 7},
		{"newer", 8, 1, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, b := idleNode(t, "a"), idleNode(t, "b")
			a.store.RaiseEra(1)
			a.applyOperatorRows([]chestnutstream.TableRow{{Key: platform.KeyConfig, Value: configOf(7), Version: chestnutstream.RowVersion(1, 90)}, declaration(3, 1, 91)})
			a.store.RaiseEra(2)
			a.applyOperatorRows([]chestnutstream.TableRow{{Key: platform.KeyConfig, Value: configOf(6), Version: chestnutstream.RowVersion(2, 50)}, declaration(2, 2, 51)})
			b.store.RaiseEra(2)
			if tt.config > 0 {
				b.applyOperatorRows([]chestnutstream.TableRow{{Key: platform.KeyConfig, Value: configOf(tt.config), Version: chestnutstream.RowVersion(2, 50)}, declaration(2, 2, 51)})
			}
			for _, n := range []*Node{a, b} {
				l := listen(t)
				serve(t, l, n.mesh)
				other := a
				if n == a {
					other = b
				}
				other.mesh.Add(instance.Member{Name: n.cfg.Instance, Address: l.Addr().String(), Zone: "z"})
				t.Cleanup(n.mesh.Close)
			}
			eventually(t, "the newest configuration is in force", func() bool {
				b.step()
				b.mu.Lock()
				version := b.fleet.Version(adapterOf("m/a1"))
				b.mu.Unlock()
				return b.Routes() != nil && b.Routes().Version == tt.want && version == 3
			})
			eventually(t, "and at the other instance", func() bool { return a.Routes().Version == max(tt.want, 7) })
		})
	}
}

// Guards against servers that drain, and that an instance takes for ready since the copy
// that the store returned from lists them so.
func TestDrainingServersAreStatedOnConnection(t *testing.T) {
	a, b := idleNode(t, "a"), idleNode(t, "b")
	a.applyServerRows([]chestnutstream.TableRow{serverRow("x", "ready", 1, 50), serverRow("y", "ready", 1, 51)}, true, chestnutstream.RowVersion(1, 60))
	a.applyServerRows([]chestnutstream.TableRow{serverRow("x", "draining", 1, 61)}, false, 0)
	copied := []chestnutstream.TableRow{serverRow("x", "ready", 2, 50), serverRow("y", "ready", 2, 51)}
	a.applyServerRows(copied, true, chestnutstream.RowVersion(2, 55))
	b.applyServerRows(copied, true, chestnutstream.RowVersion(2, 55))
	b.Received(instance.Member{Name: "a"}, a.Connected(instance.Member{Name: "b"}))
	assert.Assert(t, !b.fleet.Server("x").Usable() && b.fleet.Server("y").Usable())
}

func TestStoreWithoutErasIsReadAsBefore(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	s.store.HideEra(true)
	all := s.instances(2)
	s.awaitOwners(1, all...)
	s.backends[1].Drain()
	for _, in := range all {
		n := in.Node()
		eventually(t, "the server is known to drain", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			server := n.fleet.Server("i-desk-0")
			return server != nil && !server.Usable()
		})
		n.mu.Lock()
		version := n.view(platform.TableServers).version
		n.mu.Unlock()
		assert.Assert(t, n.store.Era() == 0 && version > 0 && version <= chestnutstream.MaxCounter)
		assert.Equal(t, n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`).Get(), uint64(0))
	}
}

// Guards against an end of all instances after a restore: the store has lost which software
// version began a stream.
func TestOriginsThatTheStoreLostAreWrittenAgain(t *testing.T) {
	for _, mixed := range []int{0, 1} {
		n := idleNode(t, "a")
		n.id = chestnutstream.InstanceIdentity("a", "10.0.0.1:1", 1)
		n.store.RaiseEra(1)
		n.mixedServices = mixed
		n.origins.Record(n.boot(), software.Origin{Stream: 7, Software: "v1"})
		n.store.RaiseEra(2)
		assert.Equal(t, len(n.originStore.queue), mixed)
	}
}
