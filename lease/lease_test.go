package lease

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// runUntilOwned lets all contenders read and write in turn, often enough that all
// engines are owned afterwards.
func runUntilOwned(sim *simulation) {
	for range 12 {
		for i := range sim.managers {
			sim.read(i)
			sim.step(i)
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		sim.now += 400 * time.Millisecond
	}
}

func TestEnginesAreDistributedEvenly(t *testing.T) {
	sim := newSimulation(3, 9, noMutant)
	runUntilOwned(sim)
	for i, m := range sim.managers {
		assert.Equal(t, len(m.Owned(sim.now)), 3, "contender %d", i)
	}
}

// deliverWithinLimit delivers the calls in flight as the store does: it refuses
// transactions with too many entries.
func deliverWithinLimit(sim *simulation) {
	for len(sim.inFlight) > 0 {
		c := sim.inFlight[0]
		if c.action.Transaction.Entries() > chestnutstream.MaxTransactionEntries {
			sim.inFlight = sim.inFlight[1:]
			sim.fail(c)
			continue
		}
		sim.deliver(0)
	}
}

// Guards against acquisitions that the store refuses because they have too many
// entries: a single survivor could never take over many engines.
func TestSingleSurvivorAcquiresManyEngines(t *testing.T) {
	tests := []struct {
		name       string
		contenders int
		servers    int
	}{
		{"first start", 1, 120},
		{"one lost instance", 2, 120},
		{"many lost instances", 26, 120},
		{"49 engines of one lost instance", 2, 98},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(tt.contenders, tt.servers, noMutant)
			run := func(d time.Duration) {
				for end := sim.now + d; sim.now < end; sim.now += 100 * time.Millisecond {
					for i := range sim.managers {
						if sim.now%(400*time.Millisecond) == 0 {
							sim.read(i)
						}
						sim.step(i)
					}
					deliverWithinLimit(sim)
					for i, m := range sim.managers {
						for _, s := range m.Owned(sim.now) {
							sim.order(i, s)
						}
					}
				}
			}
			run(5 * time.Second)
			owned := 0
			for _, m := range sim.managers {
				owned += len(m.Owned(sim.now))
			}
			assert.Equal(t, owned, tt.servers)
			for i := range sim.managers[1:] {
				sim.pause(i + 1)
			}
			cfg := DefaultSettings(minHandover)
			run(cfg.MaxDuration + cfg.HandoverDelay + 2*time.Second)
			assert.Equal(t, len(sim.managers[0].Owned(sim.now)), tt.servers)
			sim.restart(0)
			run(2 * time.Second)
			assert.Equal(t, len(sim.managers[0].Owned(sim.now)), tt.servers, "after a restart")
			assert.Equal(t, sim.violation, "")
		})
	}
}

// An acquisition that takes several transactions ends the lease of the last owner in
// the first one; the later ones must not conflict because that lease has ended.
func TestLaterAcquisitionsDoNotConflictWithTheFirst(t *testing.T) {
	sim := newSimulation(2, 200, noMutant)
	for range 12 {
		for i := range sim.managers {
			sim.read(i)
			sim.step(i)
		}
		deliverWithinLimit(sim)
		sim.now += 400 * time.Millisecond
	}
	sim.pause(1)
	for len(sim.managers[0].Owned(sim.now)) <= 100 {
		sim.now += 400 * time.Millisecond
		sim.read(0)
		sim.step(0)
		deliverWithinLimit(sim)
		assert.Assert(t, sim.now < 2*time.Minute, "no takeover")
	}
	for range 2 { // without a read
		sim.step(0)
		deliverWithinLimit(sim)
	}
	assert.Equal(t, len(sim.managers[0].Owned(sim.now)), 200)
}

func TestTakeoverWaitsForPreviousHolder(t *testing.T) {
	sim := newSimulation(2, 1, noMutant)
	runUntilOwned(sim)
	holder, successor := 0, 1
	if len(sim.managers[0].Owned(sim.now)) == 0 {
		holder, successor = 1, 0
	}
	assert.Assert(t, sim.order(holder, "s0"))
	sim.pause(holder)
	pausedAt := sim.now
	for sim.orders["s0"].holder == sim.managers[holder].self.Name {
		sim.now += 500 * time.Millisecond
		sim.read(successor)
		sim.step(successor)
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		sim.order(successor, "s0")
		assert.Assert(t, sim.now-pausedAt < 30*time.Second, "no takeover")
	}
	assert.Equal(t, sim.violation, "")
	assert.Assert(t, sim.now-pausedAt > 10*time.Second)
	sim.resume(holder)
	assert.Assert(t, !sim.order(holder, "s0"), "a holder orders that was paused beyond its lease")
}

func TestRestartedInstanceIsTheSameHolder(t *testing.T) {
	sim := newSimulation(1, 2, noMutant)
	runUntilOwned(sim)
	assert.Assert(t, sim.order(0, "s0"))
	before := sim.orders["s0"].fence
	sim.restart(0)
	assert.Assert(t, !sim.order(0, "s0"), "the new process owns nothing yet")
	for range 2 {
		sim.read(0)
		sim.step(0)
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
	}
	assert.Assert(t, sim.order(0, "s0"), "the new process takes over at once")
	assert.Assert(t, sim.orders["s0"].fence > before)
	assert.Equal(t, sim.violation, "")
}

// An instance that knows a server's owner from the conflict of a transaction, but
// has not read the owner's lease row yet, must not treat the lease as ended.
func TestUnknownLeaseRowIsNotTreatedAsEnded(t *testing.T) {
	sim := newSimulation(2, 1, noMutant)
	for i := range sim.managers {
		sim.read(i)
		sim.step(i)
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		sim.now += 2 * time.Second
	}
	// Both read the table before the other's lease row existed.
	sim.managers[1].updatedAt = sim.now
	sim.managers[0].updatedAt = sim.now
	for range 3 {
		sim.step(0)
		sim.step(1)
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		sim.order(0, "s0")
		sim.order(1, "s0")
		sim.now += 600 * time.Millisecond
	}
	assert.Equal(t, sim.violation, "")
}

func TestOwnersContinueDuringStoreOutage(t *testing.T) {
	sim := newSimulation(2, 2, noMutant)
	runUntilOwned(sim)
	for i := range sim.managers {
		sim.cutOff[i] = true
	}
	outageStart := sim.now
	for sim.now-outageStart < 6*time.Second {
		sim.now += 500 * time.Millisecond
		for i := range sim.managers {
			sim.step(i)
			for len(sim.inFlight) > 0 {
				sim.deliver(0)
			}
		}
		orders := 0
		for _, s := range sim.servers {
			for i := range sim.managers {
				if sim.order(i, s.ID) {
					orders++
				}
			}
		}
		assert.Equal(t, orders, 2, "%v after the start of the outage", sim.now-outageStart)
	}
	assert.Equal(t, sim.violation, "")
}

// drive performs random moves drawn by rapid, and returns the violation if any.
func drive(t *rapid.T, m mutant, moreMoves ...string) string {
	contenders := rapid.IntRange(2, 3).Draw(t, "contenders")
	sim := newSimulation(contenders, 2, m)
	runUntilOwned(sim)
	contender := rapid.IntRange(0, contenders-1)
	moves := []string{"tick", "tick", "tick", "step", "step", "step", "read", "read", "arrive", "arrive", "arrive", "lose", "order", "order", "order", "pause", "wake", "restart", "cut"}
	moves = append(moves, moreMoves...)
	for range rapid.IntRange(10, 120).Draw(t, "moves") {
		i := contender.Draw(t, "contender")
		switch rapid.SampledFrom(moves).Draw(t, "move") {
		case "tick":
			sim.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond
		case "step":
			sim.step(i)
		case "read":
			sim.read(i)
		case "arrive":
			if len(sim.inFlight) > 0 {
				sim.deliver(rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "call"))
			}
		case "lose":
			if len(sim.inFlight) > 0 {
				sim.loseResponse(rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "call"))
			}
		case "order":
			sim.order(i, rapid.SampledFrom(sim.servers).Draw(t, "server").ID)
		case "pause":
			if sim.running(i) {
				sim.pause(i)
			}
		case "wake":
			if !sim.running(i) {
				sim.resume(i)
			}
		case "restart":
			sim.restart(i)
		case "cut":
			sim.cutOff[i] = !sim.cutOff[i]
		case "foreign lease":
			sim.writeForeign(instanceKey(sim.managers[i].self.Name), "?")
		case "foreign owner":
			sim.writeForeign(ownerKey(rapid.SampledFrom(sim.servers).Draw(t, "server").ID), "?")
		}
		if sim.violation != "" {
			return sim.violation
		}
	}
	return ""
}

func TestAtMostOneHolderOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := drive(t, noMutant); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestAtMostOneHolderOrdersBesideForeignRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := drive(t, noMutant, "foreign lease", "foreign owner"); violation != "" {
			t.Fatal(violation)
		}
	})
}

// An instance that has not seen who took an engine over must not take it from them when
// a foreign row hides the owner.
func TestForeignRowDoesNotHideNewOwner(t *testing.T) {
	sim := newSimulation(3, 1, noMutant)
	runUntilOwned(sim)
	holder := slices.IndexFunc(sim.managers, func(m *Manager) bool { return len(m.Owned(sim.now)) > 0 })
	sim.pause(holder)
	newOwner := func() int {
		return slices.IndexFunc(sim.managers, func(m *Manager) bool { return m != sim.managers[holder] && len(m.Owned(sim.now)) > 0 })
	}
	// step lets all renew and acquire; only the given contender reads the table.
	step := func(reader int) {
		sim.read(reader)
		for i := range sim.managers {
			sim.step(i)
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		for i := range sim.managers {
			sim.order(i, "s0")
		}
		sim.now += 500 * time.Millisecond
	}
	tookOver := 0
	for first := range sim.managers {
		start := sim.clone()
		other := 3 - holder - first
		if first != holder {
			sim.pause(other)
		}
		for i := 0; i < 120 && first != holder && newOwner() < 0; i++ {
			step(first)
		}
		if newOwner() == first {
			tookOver++
			sim.writeForeign(ownerKey("s0"), "?")
			sim.resume(other)
			for range 120 {
				step(other)
			}
		}
		assert.Equal(t, sim.violation, "", "%d takes over", first)
		sim = start
	}
	assert.Assert(t, tookOver > 0)
}

// Guards against engines that get no owner any more once a row that cannot be decoded was
// written in place of a lease or of an owner.
func TestEnginesAreOwnedAfterForeignRows(t *testing.T) {
	const takeover = 90 * time.Second
	tests := []struct {
		name     string
		lease    bool // in place of the owner's lease, not of the row of the engine's owner
		ownerEnd bool
		restart  bool // the other instance starts after the row was written
	}{
		{"owner row", false, false, false},
		{"owner row, other starts", false, false, true},
		{"lease row", true, false, false},
		{"lease row, other starts", true, false, true},
		{"lease row, owner ends", true, true, false},
		{"lease row, owner ends, other starts", true, true, true},
	}
	for _, tt := range tests {
		for _, value := range []string{"?", "", strings.Repeat("[", 20_000), `{"r":-1,"n":7}`} {
			sim := newSimulation(2, 1, noMutant)
			runUntilOwned(sim)
			holder, other := 0, 1
			if len(sim.managers[0].Owned(sim.now)) == 0 {
				holder, other = 1, 0
			}
			key := ownerKey("s0")
			if tt.lease {
				key = instanceKey(sim.managers[holder].self.Name)
			}
			sim.writeForeign(key, value)
			if tt.ownerEnd {
				sim.pause(holder)
			}
			if tt.restart {
				sim.restart(other)
			}
			orderedAt := time.Duration(0)
			for end := sim.now + takeover; sim.now < end; sim.now += 500 * time.Millisecond {
				for i := range sim.managers {
					sim.read(i)
					sim.step(i)
				}
				for len(sim.inFlight) > 0 {
					sim.deliver(0)
				}
				for i := range sim.managers {
					if sim.order(i, "s0") {
						orderedAt = sim.now
					}
				}
			}
			assert.Check(t, sim.now-orderedAt < 2*time.Second, "%s %.20q: last order %v ago", tt.name, value, sim.now-orderedAt)
			assert.Check(t, string(sim.rows[key].Value) != value || tt.ownerEnd && tt.lease, "%s %.20q: the foreign row stays", tt.name, value)
			assert.Equal(t, sim.violation, "")
		}
	}
}

func TestMalformedRowsAreNamedInErrors(t *testing.T) {
	m := NewManager(Holder{Name: "a"}, DefaultSettings(minHandover))
	tests := []struct{ key, want string }{
		{"instance/b", "decode lease of b"},
		{"owner/s1", "decode owner of s1"},
	}
	for _, tt := range tests {
		err := m.ApplySnapshot(0, Snapshot{Version: 3, Rows: []chestnutstream.TableRow{{Table: Table, Key: tt.key, Value: []byte("{"), Version: 3}}})
		assert.ErrorContains(t, err, tt.want)
	}
	assert.NilError(t, m.ApplySnapshot(0, Snapshot{Version: 4, Rows: []chestnutstream.TableRow{{Table: Table, Key: "other", Value: []byte("{"), Version: 4}}}))
	assert.Equal(t, fmt.Sprint(m.Holders(0)), "[]")
}

// Guards against a foreign row in place of a lease whose duration overflows: the lease
// counted as ended at once, or never.
func TestLeaseOfOddDurationEndsInTime(t *testing.T) {
	cfg := DefaultSettings(minHandover)
	for _, ms := range []string{"0", "-1", "10000", "9223372036854", "9223372036855", "18446744073709", "9223372036854775807", "-9223372036855", "-9223372036854775808"} {
		m := NewManager(Holder{Name: "a"}, cfg)
		row := chestnutstream.TableRow{Table: Table, Key: "instance/b", Value: []byte(`{"a":"10.0.0.1:1","r":1,"d":` + ms + `}`), Version: 3}
		assert.NilError(t, m.ApplySnapshot(0, Snapshot{Version: 3, Rows: []chestnutstream.TableRow{row}}))
		h := m.holders["b"]
		assert.Check(t, m.alive(cfg.BaseDuration-1, h) && !m.expired(cfg.BaseDuration, h), ms)
		assert.Check(t, m.expired(time.Minute, h) && !m.alive(time.Minute, h), ms)
	}
}

// Renewals of many instances would be most of the calls to the store, so their
// leases last longer and are renewed less often. If the store becomes unavailable
// just before a renewal, as much of the lease is left as with few instances.
func TestLeasesLastLongerWithManyInstances(t *testing.T) {
	tests := []struct {
		instances int
		duration  time.Duration
		renewal   time.Duration
	}{
		{1, 10 * time.Second, 3 * time.Second},
		{9, 10 * time.Second, 3 * time.Second},
		{24, 10 * time.Second, 3 * time.Second},
		{30, 12500 * time.Millisecond, 5500 * time.Millisecond},
		{83, 15 * time.Second, 8 * time.Second},
		{420, 15 * time.Second, 8 * time.Second},
	}
	for _, tt := range tests {
		cfg := DefaultSettings(minHandover)
		m := NewManager(Holder{Name: "a", Zone: "z"}, cfg)
		boot := time.Minute
		var rows []chestnutstream.TableRow
		for i := range tt.instances - 1 {
			rows = append(rows, chestnutstream.TableRow{Table: Table, Key: instanceKey(fmt.Sprintf("n%d", i)), Value: []byte(`{"z":"z"}`), Version: uint64(i + 1)})
		}
		assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Rows: rows, Version: 999}))
		actions := m.Step(boot, nil)
		assert.Equal(t, len(actions), 1)
		m.Renewed(boot, boot, actions[0], 1000)
		assert.Equal(t, m.validUntil, boot+tt.duration-cfg.ClockMargin)
		assert.Equal(t, m.renewAt, boot+tt.renewal)
		// The duration does not decrease when all other instances have left.
		assert.NilError(t, m.ApplySnapshot(m.renewAt, Snapshot{Version: 1000}))
		m.Step(m.renewAt, nil)
		assert.Equal(t, m.duration, tt.duration)
	}
}

// An engine is owned in its availability zone, else in its region, else anywhere.
// All instances that have read the same rows choose the same owner.
func TestOwnersAreNearTheirEngines(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	holders := []Holder{{Name: "a1-1", Zone: "a1"}, {Name: "a2-1", Zone: "a2"}, {Name: "b1-1", Zone: "b1"}, {Name: "b1-2", Zone: "b1"}}
	tests := []struct {
		server Server
		zones  []string // of which the owner must be one
	}{
		{Server{ID: "s1", Zone: "a1"}, []string{"a1"}},
		{Server{ID: "s2", Zone: "b1"}, []string{"b1"}},
		{Server{ID: "s3", Zone: "a3"}, []string{"a1", "a2", "b1"}}, // a zone without settings
		{Server{ID: "s4", Zone: "c1"}, []string{"a1", "a2", "b1"}}, // a region without instances
	}
	for _, tt := range tests {
		chosen := map[string]bool{}
		for _, self := range holders {
			cfg := DefaultSettings(minHandover)
			cfg.Regions = regions
			m := NewManager(self, cfg)
			for i, h := range holders {
				if h.Name != self.Name {
					m.holders[h.Name] = &Holder{Name: h.Name, Zone: h.Zone, version: uint64(i + 1), duration: cfg.BaseDuration, seenAt: time.Minute}
				}
			}
			chosen[m.preferredOwner(time.Minute, tt.server, map[string]int{})] = true
		}
		assert.Equal(t, len(chosen), 1, "%s: %v", tt.server.ID, chosen)
		for _, h := range holders {
			if chosen[h.Name] {
				assert.Assert(t, slices.Contains(tt.zones, h.Zone), "%s has an owner in %s", tt.server.ID, h.Zone)
			}
		}
	}
	// The region takes precedence over the number of owned servers.
	cfg := DefaultSettings(minHandover)
	cfg.Regions = regions
	m := NewManager(holders[2], cfg)
	m.holders["a2-1"] = &Holder{Name: "a2-1", Zone: "a2", version: 1, duration: cfg.BaseDuration, seenAt: time.Minute}
	assert.Equal(t, m.preferredOwner(time.Minute, Server{ID: "s5", Zone: "a1"}, map[string]int{"a2-1": 9}), "a2-1")
}
