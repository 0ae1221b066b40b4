package edge

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// One instance reads the servers table for its zone. A change reaches all instances,
// also when the reader has just stopped without notice. In a large zone one instance
// reads the operator table as well: the number of reads does not grow with that of the
// instances, and a change of that table ends only one poll.
func TestReaderUpdatesItsZone(t *testing.T) {
	for _, instances := range []int{3, readersOnlyZoneSize + 1} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			checkReaderUpdatesZone(t, instances)
		})
	}
}

func checkReaderUpdatesZone(t *testing.T, instances int) {
	s := newTestSite(t, 1, 3)
	all := s.instances(instances)
	s.awaitOwners(1, all...)
	time.Sleep(startLeasesPeriod) // until then each instance reads all tables itself
	before := make([]int64, len(all))
	for i, in := range all {
		before[i], _ = in.Node().store.Operations()
	}
	time.Sleep(2 * time.Second)
	if instances >= readersOnlyZoneSize {
		s.store.Put(platform.TableOperator, "other", []byte("{}"))
	}
	time.Sleep(2 * time.Second)
	total := int64(0)
	for i, in := range all {
		reads, _ := in.Node().store.Operations()
		total += reads - before[i]
	}
	// With one reader for each table: 4 reads of the servers table, 4 of the operator
	// table, 1 to 2 of the leases. If each of three instances read for itself there would
	// be 27 and more. The change of the operator table in the large zone ends one more
	// poll.
	most := int64(10)
	if instances >= readersOnlyZoneSize {
		most++
	}
	assert.Assert(t, total <= most, "%d reads in 4 s by %d instances", total, instances)

	var reader *testInstance
	for _, in := range all {
		readers, connected := in.Node().zoneReaders("servers")
		assert.Equal(t, len(connected), instances)
		if readers[0] == in.Node().id {
			reader = in
		}
	}
	reader.Close()
	s.backends[1].Drain()
	drained := time.Now()
	for _, in := range all {
		if in == reader {
			continue
		}
		eventually(t, "the server is known to drain", func() bool {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			server := n.fleet.Server("i-desk-0")
			return server != nil && !server.Usable()
		})
	}
	citest.CheckDuration(t, time.Since(drained), 2*time.Second)
}

// A reader's update with a gap before it is not applied: the follower reads the table
// itself.
func TestGapInReaderUpdatesIsReadAgain(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	a, b := s.instance("edge-a"), s.instance("edge-b")
	s.awaitOwners(1, a, b)
	s.store.DropHistory()
	s.backend(standin.BackendSettings{ID: "i-desk-9", Service: "desk", Slots: 6, ServiceTime: time.Millisecond})
	for _, in := range []*testInstance{a, b} {
		eventually(t, "the new server is known", func() bool {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.fleet.Server("i-desk-9") != nil
		})
	}
	assert.NilError(t, a.Drain(context.Background()))
}

// Whatever a reader reads, including late and repeated rows: a follower that receives
// only its updates has the same state of each server.
func TestFollowerStateMatchesReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := idleNode(t, "a"), idleNode(t, "b")
		version := uint64(0)
		for range rapid.IntRange(1, 8).Draw(t, "reads") {
			var rows []chestnutstream.TableRow
			for range rapid.IntRange(0, 5).Draw(t, "rows") {
				version++
				r := chestnutstream.TableRow{Table: platform.TableServers, Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Version: version}
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					r.Removed = true
				case 1:
					r.Value = []byte("?")
				default:
					r.Value = fmt.Appendf(nil, `{"born":%d,"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q}`,
						rapid.IntRange(1, 2).Draw(t, "born"), rapid.SampledFrom([]string{"ready", "ready", "draining"}).Draw(t, "state"))
				}
				rows = append(rows, r)
			}
			reader.applyServerRows(rows, false, 0)
			follower.applyServerRows(reader.changedEntries(rows), false, 0)
			for _, id := range []string{"a", "b"} {
				x, y := reader.fleet.Server(id), follower.fleet.Server(id)
				if (x == nil) != (y == nil) || (x != nil && (x.State != y.State || x.Born != y.Born)) {
					t.Fatalf("%s: reader %+v, follower %+v, after %d", id, x, y, version)
				}
			}
		}
	})
}

// A reader sends the changes of the servers' entries, but not entries that were only
// written again or that list other adapters.
func TestReaderSendsChangedEntriesOnly(t *testing.T) {
	n := idleNode(t, "a")
	row := func(version uint64, key, state, adapters string) chestnutstream.TableRow {
		value := fmt.Sprintf(`{"born":1,"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q,"models":[{"name":"m","version":1,"adapters":[%s]}]}`, state, adapters)
		return chestnutstream.TableRow{Table: platform.TableServers, Key: key, Value: []byte(value), Version: version}
	}
	sent := func(rows ...chestnutstream.TableRow) string {
		n.applyServerRows(rows, false, 0)
		keys := ""
		for _, r := range n.changedEntries(rows) {
			keys += r.Key + " "
		}
		return keys
	}
	steps := []struct {
		name string
		rows []chestnutstream.TableRow
		want string
	}{
		{"first entries", []chestnutstream.TableRow{row(1, "a", "ready", ""), row(2, "b", "ready", "")}, "a b "},
		{"written again", []chestnutstream.TableRow{row(3, "a", "ready", ""), row(4, "b", "ready", "")}, ""},
		{"other adapters", []chestnutstream.TableRow{row(5, "a", "ready", `"x@1"`)}, ""},
		{"draining", []chestnutstream.TableRow{row(6, "a", "draining", ""), row(7, "b", "ready", "")}, "a "},
		{"draining in the middle of a read", []chestnutstream.TableRow{row(21, "b", "ready", ""), row(22, "b", "draining", ""), row(23, "b", "ready", "")}, "b b b "},
		{"removed", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "a", Version: 28, Removed: true}}, "a "},
		{"restarted", []chestnutstream.TableRow{row(29, "a", "ready", "")}, "a "},
		{"malformed entry", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "c", Version: 30, Value: []byte("?")}}, "c "},
		{"malformed entry written again", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "c", Version: 31, Value: []byte("??")}}, ""},
		{"entry of a removed server", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "b", Version: 32, Removed: true}, row(26, "b", "ready", "")}, "b b "},
		{"first sound entry", []chestnutstream.TableRow{row(33, "c", "ready", "")}, "c "},
		{"malformed entry of a server", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "c", Version: 34, Value: []byte("?")}}, ""},
		{"removed and malformed", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "c", Version: 35, Removed: true}, {Table: platform.TableServers, Key: "c", Version: 36, Value: []byte("?")}}, "c c "},
		{"back", []chestnutstream.TableRow{row(37, "c", "ready", ""), row(38, "b", "ready", "")}, "c b "},
	}
	for _, s := range steps {
		assert.Equal(t, sent(s.rows...), s.want, s.name)
	}
	n.allSentAt = n.now().Add(-fullUpdateInterval)
	assert.Equal(t, sent(row(41, "a", "ready", ""), row(42, "b", "ready", "")), "a b ")
	odd := chestnutstream.TableRow{Table: platform.TableServers, Key: "d", Version: 43, Value: []byte("?")}
	assert.Equal(t, sent(odd), "d ")
	n.allSentAt = n.now().Add(-fullUpdateInterval)
	odd.Version++
	assert.Equal(t, sent(odd, row(45, "a", "ready", "")), "a ", "an entry that names no server is not sent with all entries")
}

// What a reader sends has to fit its link: after an outage it sends all entries of the
// servers to each of its followers. A zone of 25 instances had one reader with 10
// Mbit/s, and draining servers got requests after 3 s.
func TestReaderUpdatesFitTheirLinks(t *testing.T) {
	const (
		entryBytes = 600 // of a server with 8 adapters loaded
		servers    = 200
		link       = 10e6 / 8 // bytes a second
		drain      = 3 * time.Second
	)
	for _, instances := range []int{1, 6, 12, 13, 25, 40, 41, 100} {
		readers := readerCount(platform.TableServers, instances)
		followers := (instances - readers + readers - 1) / readers
		takes := time.Duration(float64(followers*servers*entryBytes) / link * float64(time.Second))
		n := &Node{cfg: platform.Settings{DrainBound: drain}}
		assert.Check(t, n.serversInterval()+takes < drain, "%d instances: %d readers, each sends to %d in %v", instances, readers, followers, takes)
		assert.Check(t, readerCount(platform.TableOperator, instances) <= readers)
	}
}

// A follower that had only received updates since an outage took a removal long after it for an expired entry.
func TestRemovalLongAfterOutageIsNotTakenForExpiry(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	s.backendWithoutHeartbeat(standin.BackendSettings{ID: "i-desk-left", Service: "desk", Slots: 6, ServiceTime: time.Millisecond})
	all := []*testInstance{s.instance("edge-a"), s.instance("edge-b")}
	s.awaitOwners(1, all...)
	time.Sleep(startLeasesPeriod) // until then each instance reads all tables itself
	readers, _ := all[0].Node().zoneReaders(platform.TableServers)
	reader, follower := all[0], all[1]
	if readers[0] != reader.Node().id {
		reader, follower = follower, reader
	}
	server := func() *fleet.Server {
		n := follower.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.fleet.Server("i-desk-left")
	}
	s.storeGate.setUnavailable(true)
	eventually(t, "a read of the follower has failed", func() bool {
		n := follower.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		return !n.view(platform.TableServers).failedAt.IsZero()
	})
	s.storeGate.setUnavailable(false)
	time.Sleep(4 * time.Second) // until the store counts as stable
	reader.Close()
	s.store.Remove(platform.TableServers, "i-desk-left")
	left := time.Now()
	eventually(t, "the server is removed", func() bool { return server() == nil })
	citest.CheckDuration(t, time.Since(left), 2*time.Second)
	for _, change := range follower.log.with("server entry changed") {
		assert.Assert(t, change["server"] != "i-desk-left" || change["change"] != "missing", "%v", change)
	}
}

// Followers of a large zone, which read nothing while updates come, counted the store as away for good.
func TestOutageEndsForFollowersOfLargeZone(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	all := s.instances(readersOnlyZoneSize + 1)
	s.awaitOwners(1, all...)
	time.Sleep(startLeasesPeriod) // until then each instance reads all tables itself
	down := func(in *testInstance) bool {
		n := in.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.storeState.down
	}
	s.storeGate.setUnavailable(true)
	eventually(t, "all instances have noticed the outage", func() bool { return !slices.ContainsFunc(all, func(in *testInstance) bool { return !down(in) }) })
	s.storeGate.setUnavailable(false)
	eventually(t, "the outage has ended for all", func() bool { return !slices.ContainsFunc(all, down) })
}
