package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// One instance reads the servers for its zone; a change reaches all, also when the
// reader has just gone without a word. In a large zone one reads the operator's
// table as well: calls do not grow with the instances, and a change of that table
// ends the feed of one.
func TestReaderTellsItsZone(t *testing.T) {
	for _, instances := range []int{3, ownFeeds + 1} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			readerTellsItsZone(t, instances)
		})
	}
}

func readerTellsItsZone(t *testing.T, instances int) {
	s := newSite(t, 1, 3)
	all := s.instances(instances)
	s.owned(1, all...)
	time.Sleep(leasesSoon) // until then each reads for itself
	before := make([]int64, len(all))
	for i, in := range all {
		before[i], _ = in.Node().store.Operations()
	}
	time.Sleep(2 * time.Second)
	if instances >= ownFeeds {
		s.store.Put(platform.TableOperator, "other", []byte("{}"))
	}
	time.Sleep(2 * time.Second)
	total := int64(0)
	for i, in := range all {
		reads, _ := in.Node().store.Operations()
		total += reads - before[i]
	}
	// One reader for each table: 4 reads of servers, 4 of the operator's table, 1
	// to 2 of leases; each for itself would be 27 and more of three instances. The
	// change of the operator's table in the large zone ends one feed more.
	most := int64(10)
	if instances >= ownFeeds {
		most++
	}
	assert.Assert(t, total <= most, "%d reads in 4 s by %d instances", total, instances)

	var reader *running
	for _, in := range all {
		readers, known := in.Node().zoneReaders("servers")
		assert.Equal(t, len(known), instances)
		if readers[0] == in.cfg.Instance {
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
		eventually(t, "the draining server is known", func() bool {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			server := n.fleet.Server("i-desk-0")
			return server != nil && !server.Usable()
		})
	}
	citest.Timely(t, time.Since(drained), 2*time.Second)
}

// Reads that a reader tells with a gap before them are not taken.
func TestGapInWhatIsToldIsReadAgain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	a, b := s.instance("edge-a"), s.instance("edge-b")
	s.owned(1, a, b)
	s.store.Forget()
	s.backend(standin.BackendSettings{ID: "i-desk-9", Service: "desk", Slots: 6, Work: time.Millisecond})
	for _, in := range []*running{a, b} {
		eventually(t, "the new server is known", func() bool {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.fleet.Server("i-desk-9") != nil
		})
	}
	assert.NilError(t, a.Drain(context.Background()))
}

// Whatever a reader reads, late and doubled rows included: who hears only what it
// tells believes the same of each server.
func TestWhoIsToldBelievesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, hears := idleNode(t, "a"), idleNode(t, "b")
		version := uint64(0)
		for range rapid.IntRange(1, 8).Draw(t, "reads") {
			var rows []chestnutstream.TableRow
			for range rapid.IntRange(0, 5).Draw(t, "rows") {
				version++
				r := chestnutstream.TableRow{Table: platform.TableServers, Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Version: version}
				if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
					r.Removed = true
				} else {
					r.Value = fmt.Appendf(nil, `{"born":%d,"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q}`,
						rapid.IntRange(1, 2).Draw(t, "born"), rapid.SampledFrom([]string{"ready", "ready", "draining"}).Draw(t, "state"))
				}
				rows = append(rows, r)
			}
			reader.serverRows(rows, false, 0)
			hears.serverRows(reader.newEntries(rows), false, 0)
			for _, id := range []string{"a", "b"} {
				x, y := reader.fleet.Server(id), hears.fleet.Server(id)
				if (x == nil) != (y == nil) || (x != nil && (x.State != y.State || x.Born != y.Born)) {
					t.Fatalf("%s: reader %+v, who is told %+v, after %d", id, x, y, version)
				}
			}
		}
	})
}

// A reader passes on what is new of the servers' entries: not that they were
// written again, nor which adapters they list.
func TestReaderTellsWhatIsNew(t *testing.T) {
	n := idleNode(t, "a")
	row := func(version uint64, key, state, adapters string) chestnutstream.TableRow {
		value := fmt.Sprintf(`{"born":1,"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":%q,"models":[{"name":"m","version":1,"adapters":[%s]}]}`, state, adapters)
		return chestnutstream.TableRow{Table: platform.TableServers, Key: key, Value: []byte(value), Version: version}
	}
	told := func(rows ...chestnutstream.TableRow) string {
		n.serverRows(rows, false, 0)
		keys := ""
		for _, r := range n.newEntries(rows) {
			keys += r.Key + " "
		}
		return keys
	}
	steps := []struct {
		name string
		rows []chestnutstream.TableRow
		want string
	}{
		{"at first all", []chestnutstream.TableRow{row(1, "a", "ready", ""), row(2, "b", "ready", "")}, "a b "},
		{"written again", []chestnutstream.TableRow{row(3, "a", "ready", ""), row(4, "b", "ready", "")}, ""},
		{"other adapters", []chestnutstream.TableRow{row(5, "a", "ready", `"x@1"`)}, ""},
		{"draining", []chestnutstream.TableRow{row(6, "a", "draining", ""), row(7, "b", "ready", "")}, "a "},
		{"draining in the middle of a read", []chestnutstream.TableRow{row(21, "b", "ready", ""), row(22, "b", "draining", ""), row(23, "b", "ready", "")}, "b b b "},
		{"gone", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "a", Version: 28, Removed: true}}, "a "},
		{"another start", []chestnutstream.TableRow{row(29, "a", "ready", "")}, "a "},
		{"not an entry", []chestnutstream.TableRow{{Table: platform.TableServers, Key: "c", Version: 30, Value: []byte("?")}}, "c "},
	}
	for _, s := range steps {
		assert.Equal(t, told(s.rows...), s.want, s.name)
	}
	n.toldWhole = n.now().Add(-wholePause)
	assert.Equal(t, told(row(31, "a", "ready", ""), row(32, "b", "ready", "")), "a b ")
}

// What a reader passes on has to fit its link: after an outage that is all entries
// of the servers, to each instance that it tells (a zone of 25 instances had one
// reader with 10 Mbit/s, and leaving servers got requests after 3 s).
func TestReadersTellWhatTheirLinksCarry(t *testing.T) {
	const (
		entryBytes = 600 // of a server that holds 8 adapters
		servers    = 200
		link       = 10e6 / 8 // bytes a second
		drain      = 3 * time.Second
	)
	for _, instances := range []int{1, 6, 12, 13, 25, 40, 41, 100} {
		readers := readersAmong(platform.TableServers, instances)
		told := (instances - readers + readers - 1) / readers
		takes := time.Duration(float64(told*servers*entryBytes) / link * float64(time.Second))
		n := &Node{cfg: platform.Settings{Drain: drain}}
		assert.Check(t, n.serversPause()+takes < drain, "%d instances: %d readers, each tells %d in %v", instances, readers, told, takes)
		assert.Check(t, readersAmong(platform.TableOperator, instances) <= readers)
	}
}
