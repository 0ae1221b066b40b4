package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
)

func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }

var start = time.Unix(1_800_000_000, 0)

const testService = "s"

func newFleet() *Fleet { return New("z1", nil, rand.New(rand.NewPCG(1, 2))) }

// entry returns the list entry of a ready server, changed by edits.
func entry(id string, row uint64, edits ...func(*chestnutstream.Backend)) Entry {
	b := chestnutstream.Backend{
		ID: id, Born: 1, Service: testService, Address: id + ":1", Zone: "z1", Slots: 8, State: chestnutstream.BackendReady,
		Models: []chestnutstream.LoadedModel{{Name: "m", Version: 1}},
	}
	for _, edit := range edits {
		edit(&b)
	}
	return Entry{Key: id, RowVersion: row, Backend: b}
}

func draining(b *chestnutstream.Backend) { b.State = chestnutstream.BackendDraining }

// usable returns the IDs of the servers that may get new work.
func usable(f *Fleet) []string {
	var ids []string
	for _, s := range f.Service(testService) {
		if s.Usable() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// A server that drains or has left must get no new work, also if an entry of the
// same start shows it as ready again.
func TestDrainingAndRemovedServersAreNotUsable(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{entry("a", 1), entry("b", 2), entry("c", 3)})
	f.ApplyUpdates(start, []Entry{entry("a", 4, draining), {Key: "b", RowVersion: 5, Removed: true}})
	assert.DeepEqual(t, usable(f), []string{"c"})
	f.ApplyUpdates(start, []Entry{entry("a", 6)})
	assert.DeepEqual(t, usable(f), []string{"c"}) // a draining server does not become ready again
	f.ApplyUpdates(start, []Entry{entry("a", 7, func(b *chestnutstream.Backend) { b.Born = 2 })})
	assert.DeepEqual(t, usable(f), []string{"a", "c"}) // but its next start is ready
}

// Entries expire during an outage of the store although their servers are alive.
// Only a server whose entry stays missing, or goes missing later, has left.
func TestMissingEntriesAfterStoreOutage(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	tests := []struct {
		name    string
		outage  time.Duration // before the store's recovery; 0: none
		after   time.Duration // the store's recovery, when the entry is found missing
		checkAt time.Duration // after the store's recovery, when the server is checked
		usable  bool
	}{
		{"removed while the store is available", 0, 0, 0, false},
		{"missing in the first read after an outage", 3 * heartbeat, 0, 2 * time.Second, true},
		{"still missing when it should be back", 3 * heartbeat, 0, 2500 * time.Millisecond, false},
		{"removed a while after the outage", 3 * heartbeat, 1500 * time.Millisecond, 1500 * time.Millisecond, false},
		{"missing after failed reads of two heartbeats", 2 * heartbeat, 0, 2 * time.Second, true},
		{"missing after one failed read", heartbeat, 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet()
			f.SetHeartbeat(heartbeat)
			f.RecordStoreSuccess(start.Add(-tt.outage))
			f.ApplySnapshot(start, 0, []Entry{entry("a", 1)})
			if tt.outage > 0 {
				f.RecordStoreFailure()
			}
			f.RecordStoreSuccess(start)
			f.ApplyUpdates(start.Add(tt.after), []Entry{{Key: "a", RowVersion: 2, Removed: true}})
			f.Tick(start.Add(tt.checkAt))
			assert.Equal(t, len(usable(f)) == 1, tt.usable)
		})
	}
}

// An entry that comes back after an outage of the store must keep its server.
func TestReappearingEntryKeepsServer(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{entry("a", 1)})
	f.RecordStoreFailure()
	f.RecordStoreSuccess(start)
	f.ApplySnapshot(start, 0, nil)
	changes := f.ApplyUpdates(start.Add(time.Second), []Entry{entry("a", 3)})
	assert.Equal(t, changes[0].What, "back")
	assert.Equal(t, len(f.Tick(start.Add(time.Minute))), 0)
	assert.DeepEqual(t, usable(f), []string{"a"})
}

// An instance that had just started took a server that another one still listed for a new
// one, though its own read of the list, which was newer, did not have it. Nothing removed
// that server again.
func TestRowsOlderThanTheSnapshotAddNoServer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		row    uint64 // version of another instance's row of server b
		usable []string
	}{
		{"from before the read of the list", 7, []string{"a"}},
		{"of the version of the read", 10, []string{"a"}},
		{"from after it", 11, []string{"a", "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet()
			f.ApplySnapshot(start, 10, []Entry{entry("a", 9)})
			f.ApplyUpdates(start, []Entry{entry("a", 5), entry("b", tt.row)})
			assert.DeepEqual(t, usable(f), tt.usable)
			f.ApplySnapshot(start, 20, []Entry{entry("a", 9), entry("c", 8)}) // a snapshot says what there is
			assert.DeepEqual(t, usable(f), []string{"a", "c"})
		})
	}
}

// A malformed or foreign row in the list must neither add nor remove a server.
func TestMalformedEntriesChangeNoServer(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{entry("a", 1)})
	changes := f.ApplyUpdates(start, []Entry{{Key: "x", RowVersion: 2, Err: errors.New("no JSON")}, {Key: "a", RowVersion: 3, Err: errors.New("no JSON")}})
	assert.Equal(t, len(changes), 2)
	assert.DeepEqual(t, usable(f), []string{"a"}) // the malformed rows have no effect
}

// A server must get no requests while another one responds at its address, until a
// timeout or its next entry.
func TestMisplacedServerIsNotUsable(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{entry("a", 1), entry("b", 2)})
	f.RecordMisplaced(start, "a")
	f.Tick(start.Add(time.Second))
	assert.DeepEqual(t, usable(f), []string{"b"})
	f.Tick(start.Add(misplacedTimeout + time.Millisecond))
	assert.DeepEqual(t, usable(f), []string{"a", "b"}) // the exclusion ends: the response from the other server may have been an isolated one
	f.RecordMisplaced(start, "a")
	f.ApplyUpdates(start, []Entry{entry("a", 3, func(b *chestnutstream.Backend) { b.Address = "new:1"; b.Born = 2 })})
	assert.DeepEqual(t, usable(f), []string{"a", "b"})
}

// Rows may be read late, twice, out of order or not at all. The row of a server
// must never be replaced by an older one, and once all rows are read the list must match the store.
func TestListConvergesAfterReorderedReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		now := start
		stored := map[string]Entry{}
		newest := map[string]uint64{}
		latestBorn := map[string]int64{}
		var written []Entry
		row := uint64(0)
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := ids.Draw(t, "id")
			switch rapid.SampledFrom([]string{"write", "write", "remove", "drain", "read", "read", "old", "all", "outage", "tick"}).Draw(t, "step") {
			case "write":
				row++
				born := max(int64(rapid.IntRange(1, 3).Draw(t, "born")), latestBorn[id]) // a later start has a higher Born
				latestBorn[id] = born
				stored[id] = entry(id, row, func(b *chestnutstream.Backend) { b.Born = born })
				written = append(written, stored[id])
			case "drain":
				if e, ok := stored[id]; ok {
					row++
					e.RowVersion, e.Backend.State = row, chestnutstream.BackendDraining
					latestBorn[id] = e.Backend.Born + 1 // a draining server ends; its next start has another Born
					stored[id] = e
					written = append(written, e)
				}
			case "remove":
				if _, ok := stored[id]; ok {
					row++
					delete(stored, id)
					written = append(written, Entry{Key: id, RowVersion: row, Removed: true})
				}
			case "read":
				f.ApplyUpdates(now, written)
			case "old":
				if len(written) > 0 {
					f.ApplyUpdates(now, written[:rapid.IntRange(0, len(written)).Draw(t, "n")])
				}
			case "all":
				var all []Entry
				for _, e := range stored {
					all = append(all, e)
				}
				f.ApplySnapshot(now, row, all)
			case "outage":
				f.RecordStoreFailure()
				f.RecordStoreSuccess(now)
			case "tick":
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
				f.Tick(now)
			}
			for _, s := range f.Servers() {
				if s.RowVersion < newest[s.ID] {
					t.Fatalf("%s went back from row %d to %d", s.ID, newest[s.ID], s.RowVersion)
				}
				newest[s.ID] = s.RowVersion
			}
		}
		// Once all rows are read and all timeouts have expired, the list matches the store.
		now = now.Add(time.Minute)
		f.ApplyUpdates(now, written)
		var all []Entry
		for _, e := range stored {
			all = append(all, e)
		}
		f.ApplySnapshot(now, row, all)
		f.Tick(now)
		for _, id := range []string{"a", "b", "c"} {
			e, present := stored[id]
			want := present && e.Backend.State == chestnutstream.BackendReady
			s := f.Server(id)
			if got := s != nil && s.Usable(); got != want {
				t.Fatalf("%s: usable %t, want %t", id, got, want)
			}
		}
	})
}

// anyLoadable reports that every engine can load adapters.
func anyLoadable(*Server) bool { return true }

// engines returns a fleet of n engines, e0 to e(n-1), with 64 slots each.
func engines(n int) *Fleet {
	f := newFleet()
	var list []Entry
	for i := range n {
		list = append(list, entry(fmt.Sprintf("e%d", i), uint64(i+1), func(b *chestnutstream.Backend) { b.Slots = 64 }))
	}
	f.ApplySnapshot(start, 0, list)
	return f
}

// All instances must choose the same engine for an adapter, and the removal of
// another engine must not move it.
func TestAdapterPlacementIsStable(t *testing.T) {
	f, g := engines(9), engines(9)
	g.ApplyUpdates(start, []Entry{{Key: "e4", RowVersion: 100, Removed: true}})
	moved := 0
	for i := range 300 {
		target := chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprintf("a%d", i)}
		a := f.PickEngine(start, Request{Service: testService, Target: target, Version: 1}, nil, anyLoadable).Server.ID
		b := g.PickEngine(start, Request{Service: testService, Target: target, Version: 1}, nil, anyLoadable).Server.ID
		if a != "e4" {
			assert.Equal(t, a, b)
		} else {
			moved++
		}
	}
	assert.Assert(t, moved > 15 && moved < 60, "%d of 300 adapters were on one engine of nine", moved)
}

// One adapter gets a fifth of all requests. Without replicas its engine would get
// a fifth of the load of nine engines, and its requests would queue.
func TestPopularAdapterIsReplicatedBeforeItsEngineQueues(t *testing.T) {
	f := engines(9)
	popular := chestnutstream.ModelAdapter{Model: "m", Adapter: "hot"}
	replicas := map[string]bool{}
	for i := range 180 {
		target := popular
		if i%5 != 0 {
			target = chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprintf("a%d", i)}
		}
		c := f.PickEngine(start, Request{Service: testService, Target: target, Version: 1}, nil, anyLoadable)
		f.RecordSent(c.Server.ID)
		f.RecordLoaded(start, c.Server.ID, target, 1)
		if c.Replica != nil {
			f.RecordLoaded(start, c.Replica.ID, target, 1)
		}
		if target == popular {
			replicas[c.Server.ID] = true
		}
	}
	most := 0
	for _, s := range f.Servers() {
		most = max(most, s.InFlight)
	}
	assert.Assert(t, most <= 40, "an engine has %d of 180 requests; an even share is 20, the popular adapter alone has 36", most)
	assert.Assert(t, len(replicas) >= 2)
}

// An engine without the base model must not be chosen to load an adapter while
// another one has the model.
func TestEnginesWithoutTheModelGetNoLoads(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{
		entry("empty", 1, func(b *chestnutstream.Backend) { b.Models = nil }),
		entry("full", 2),
	})
	for i := range 20 {
		c := f.PickEngine(start, Request{Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint(i)}, Version: 1}, nil, anyLoadable)
		assert.Equal(t, c.Server.ID, "full")
	}
}

// A failing server must get only probe requests, an unreachable one a single probe
// per backoff. When all servers are unreachable, requests must fail at once.
func TestFailingServersGetOnlyProbes(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{entry("bad", 1), entry("good", 2, func(b *chestnutstream.Backend) { b.Zone = "z2" })})
	now := start
	for range 8 {
		f.RecordOutcome(now, "bad", Failed, 0)
	}
	counts := map[string]int{}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		s := f.PickPlain(now, testService, nil)
		counts[s.ID]++ // bad is in the nearer zone
		if s.ID == "bad" {
			f.RecordOutcome(now, "bad", Failed, 0)
		}
	}
	assert.Assert(t, counts["bad"] <= 10, "%d of 200 requests to a server that fails all of them", counts["bad"])
	for range 3 {
		f.RecordOutcome(now, "bad", Unreachable, 0)
		f.RecordOutcome(now, "good", Unreachable, 0)
	}
	assert.Assert(t, f.PickPlain(now, testService, nil) == nil)
	now = now.Add(maxBackoff)
	assert.Assert(t, f.PickPlain(now, testService, nil) != nil, "no probe after the backoff")
	assert.Assert(t, f.PickPlain(now, testService, nil) != nil, "no probe of the other server")
	assert.Assert(t, f.PickPlain(now, testService, nil) == nil, "more than one probe of each server")
	f.RecordOutcome(now, "good", Responded, time.Millisecond)
	assert.Equal(t, f.PickPlain(now, testService, nil).ID, "good")
}

// A zone that is cut off must cost one failed connection per backoff, not one for
// each of its servers.
func TestPartitionedZoneIsProbedOncePerBackoff(t *testing.T) {
	f := newFleet()
	var list []Entry
	for i := range 12 {
		list = append(list, entry(fmt.Sprintf("s%d", i), uint64(i+1), func(b *chestnutstream.Backend) { b.Zone = fmt.Sprintf("z%d", 1+i/6) }))
	}
	f.ApplySnapshot(start, 0, list)
	now, failed := start, 0
	for range 300 { // 3 s, a request every 10 ms; z2 is cut off
		now = now.Add(10 * time.Millisecond)
		s := f.PickEngine(now, Request{Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint(now.UnixNano())}, Version: 1}, nil, anyLoadable).Server
		if s.Zone == "z2" {
			failed++
			f.RecordOutcome(now, s.ID, Unreachable, 0)
			continue
		}
		f.RecordOutcome(now, s.ID, Responded, time.Millisecond)
	}
	assert.Assert(t, failed <= 9, "%d connections tried to a zone that is cut off", failed)
	f.RecordOutcome(now, "s7", Responded, time.Millisecond)
	taken := 0
	for i := range 100 {
		if f.PickEngine(now, Request{Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint(i)}, Version: 1}, nil, anyLoadable).Server.Zone == "z2" {
			taken++
		}
	}
	assert.Assert(t, taken > 10, "the zone is reachable again and got %d of 100 requests", taken)
}

// Requests must prefer the own zone, but not queue there while another zone has an
// idle server.
func TestOwnZoneIsPreferredUntilItQueues(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, 0, []Entry{entry("near", 1), entry("far", 2, func(b *chestnutstream.Backend) { b.Zone = "z2" })})
	var order []string
	for range 4 {
		s := f.PickPlain(start, testService, nil)
		f.RecordSent(s.ID)
		order = append(order, s.ID)
	}
	assert.DeepEqual(t, order, []string{"near", "far", "near", "far"})
}

// The retries of all instances together must stay within the budget in every
// window, also while some instances are not known to the others yet.
func TestRetryBudgetHoldsOverAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra, window = 0.2, 58.0, 10 * time.Second
		const step, steps, perWindow = 100 * time.Millisecond, 400, 100
		known := rapid.IntRange(2, 12).Draw(t, "known")
		instances := known + rapid.IntRange(0, known/2).Draw(t, "unknown")
		var budgets []*Budget
		for range instances {
			budgets = append(budgets, NewBudget(ratio, extra, window, known))
		}
		var requests, retries [steps + 1]int // cumulative, by step
		rate := rapid.IntRange(0, 30).Draw(t, "requests a step")
		from := rapid.IntRange(0, steps/2).Draw(t, "failures from")
		now := start
		for s := range steps {
			now = now.Add(step)
			requests[s+1], retries[s+1] = requests[s], retries[s]
			for i, b := range budgets {
				for range rate/instances + i%2 {
					b.RecordRequest(now)
					requests[s+1]++
				}
				for s >= from && b.AllowRetry(now) {
					retries[s+1]++
				}
			}
		}
		for end := perWindow; end <= steps; end++ {
			in := func(sums [steps + 1]int, end int) int { return sums[end] - sums[max(end-perWindow, 0)] }
			own := max(in(requests, end), in(requests, max(end-perWindow, 0)), in(requests, max(end-perWindow/2, 0)))
			if n := in(retries, end); float64(n) > ratio*float64(own)+extra {
				t.Fatalf("%d retries for %d requests (%d instances, %d known)", n, own, instances, known)
			}
		}
	})
}

// Requests must stay in the region while it has a server that may get them.
func TestOtherRegionsAreUsedOnlyIfOwnHasNoServer(t *testing.T) {
	f := New("z1", func(zone string) bool { return zone != "far" }, rand.New(rand.NewPCG(1, 2)))
	f.ApplySnapshot(start, 0, []Entry{
		entry("near", 1, func(b *chestnutstream.Backend) { b.Zone = "z2" }),
		entry("far-1", 2, func(b *chestnutstream.Backend) { b.Zone = "far" }),
		entry("far-2", 3, func(b *chestnutstream.Backend) { b.Zone = "far" }),
	})
	pick := func(i int) (engine, plain string) {
		r := Request{Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint(i)}, Version: 1}
		return f.PickEngine(start, r, nil, anyLoadable).Server.ID, f.PickPlain(start, testService, nil).ID
	}
	for i := range 20 {
		engine, plain := pick(i)
		assert.Equal(t, engine, "near")
		assert.Equal(t, plain, "near")
	}
	f.ApplyUpdates(start, []Entry{entry("near", 4, draining, func(b *chestnutstream.Backend) { b.Zone = "z2" })})
	engine, plain := pick(0)
	assert.Assert(t, engine != "near" && plain != "near")
}
