package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// settle lets all contenders read, write and read again until engines are owned.
func settle(w *world) {
	for range 12 {
		for i := range w.books {
			w.read(i)
			w.step(i)
		}
		for len(w.inFlight) > 0 {
			w.arrive(0)
		}
		w.now += 400 * time.Millisecond
	}
}

func TestEnginesAreDealtOutEvenly(t *testing.T) {
	w := newWorld(3, 9, noMutant)
	settle(w)
	for i, b := range w.books {
		assert.Equal(t, len(b.Owned(w.now)), 3, "contender %d", i)
	}
}

func TestTakeoverWaitsForTheLastHolder(t *testing.T) {
	w := newWorld(2, 1, noMutant)
	settle(w)
	holder, taker := 0, 1
	if len(w.books[0].Owned(w.now)) == 0 {
		holder, taker = 1, 0
	}
	assert.Assert(t, w.order(holder, "s0"))
	w.pause(holder)
	from := w.now
	for w.orders["s0"].holder == w.books[holder].self.Name {
		w.now += 500 * time.Millisecond
		w.read(taker)
		w.step(taker)
		for len(w.inFlight) > 0 {
			w.arrive(0)
		}
		w.order(taker, "s0")
		assert.Assert(t, w.now-from < 30*time.Second, "no takeover")
	}
	assert.Equal(t, w.broken, "")
	assert.Assert(t, w.now-from > 10*time.Second)
	w.wake(holder)
	assert.Assert(t, !w.order(holder, "s0"), "a holder that slept past its lease orders")
}

func TestRestartedInstanceIsTheSameHolder(t *testing.T) {
	w := newWorld(1, 2, noMutant)
	settle(w)
	assert.Assert(t, w.order(0, "s0"))
	before := w.orders["s0"].fence
	w.restart(0)
	assert.Assert(t, !w.order(0, "s0"), "the new process owns nothing yet")
	for range 2 {
		w.read(0)
		w.step(0)
		for len(w.inFlight) > 0 {
			w.arrive(0)
		}
	}
	assert.Assert(t, w.order(0, "s0"), "it goes on at once")
	assert.Assert(t, w.orders["s0"].fence > before)
	assert.Equal(t, w.broken, "")
}

// An instance that knows a server's owner from a refused transaction, but has
// not read the owner's lease row yet, must not take it for an ended lease.
func TestUnknownLeaseRowIsNoEndedLease(t *testing.T) {
	w := newWorld(2, 1, noMutant)
	for i := range w.books {
		w.read(i)
		w.step(i)
		for len(w.inFlight) > 0 {
			w.arrive(0)
		}
		w.now += 2 * time.Second
	}
	// Both have read the table before the other's lease row was there.
	w.books[1].fedAt = w.now
	w.books[0].fedAt = w.now
	for range 3 {
		w.step(0)
		w.step(1)
		for len(w.inFlight) > 0 {
			w.arrive(0)
		}
		w.order(0, "s0")
		w.order(1, "s0")
		w.now += 600 * time.Millisecond
	}
	assert.Equal(t, w.broken, "")
}

func TestOwnersGoOnWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(2, 2, noMutant)
	settle(w)
	for i := range w.books {
		w.cut[i] = true
	}
	from := w.now
	for w.now-from < 6*time.Second {
		w.now += 500 * time.Millisecond
		for i := range w.books {
			w.step(i)
			for len(w.inFlight) > 0 {
				w.arrive(0)
			}
		}
		orders := 0
		for _, s := range w.servers {
			for i := range w.books {
				if w.order(i, s.ID) {
					orders++
				}
			}
		}
		assert.Equal(t, orders, 2, "%v after the store was lost", w.now-from)
	}
	assert.Equal(t, w.broken, "")
}

// drive lets rapid choose what happens, and returns what broke.
func drive(t *rapid.T, m mutant) string {
	contenders := rapid.IntRange(2, 3).Draw(t, "contenders")
	w := newWorld(contenders, 2, m)
	settle(w)
	who := rapid.IntRange(0, contenders-1)
	for range rapid.IntRange(10, 120).Draw(t, "moves") {
		i := who.Draw(t, "who")
		switch rapid.SampledFrom([]string{"tick", "tick", "tick", "step", "step", "step", "read", "read", "arrive", "arrive", "arrive", "lose", "order", "order", "order", "pause", "wake", "restart", "cut"}).Draw(t, "move") {
		case "tick":
			w.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond
		case "step":
			w.step(i)
		case "read":
			w.read(i)
		case "arrive":
			if len(w.inFlight) > 0 {
				w.arrive(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "call"))
			}
		case "lose":
			if len(w.inFlight) > 0 {
				w.lose(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "call"))
			}
		case "order":
			w.order(i, rapid.SampledFrom(w.servers).Draw(t, "server").ID)
		case "pause":
			if w.runs(i) {
				w.pause(i)
			}
		case "wake":
			if !w.runs(i) {
				w.wake(i)
			}
		case "restart":
			w.restart(i)
		case "cut":
			w.cut[i] = !w.cut[i]
		}
		if w.broken != "" {
			return w.broken
		}
	}
	return ""
}

func TestOneHolderOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if broken := drive(t, noMutant); broken != "" {
			t.Fatal(broken)
		}
	})
}

func TestRowsThatCannotBeReadAreNamed(t *testing.T) {
	b := NewBook(Holder{Name: "a"}, DefaultSettings(turnBound))
	tests := []struct{ key, want string }{
		{"instance/b", "decode lease of b"},
		{"owner/s1", "decode owner of s1"},
	}
	for _, tt := range tests {
		err := b.Listed(0, []chestnutstream.TableRow{{Table: Table, Key: tt.key, Value: []byte("{"), Version: 3}})
		assert.ErrorContains(t, err, tt.want)
	}
	assert.NilError(t, b.Listed(0, []chestnutstream.TableRow{{Table: Table, Key: "other", Value: []byte("{"), Version: 4}}))
	assert.Equal(t, fmt.Sprint(b.Holders(0)), "[]")
}

// Renewals of many instances would be most of all calls to the store: their
// leases last longer and are renewed less often, and as much of a lease is left
// when the store goes away just before a renewal.
func TestLeasesLastLongerAmongMany(t *testing.T) {
	tests := []struct {
		instances int
		lasts     time.Duration
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
		cfg := DefaultSettings(turnBound)
		b := NewBook(Holder{Name: "a", Zone: "z"}, cfg)
		boot := time.Minute
		var rows []chestnutstream.TableRow
		for i := range tt.instances - 1 {
			rows = append(rows, chestnutstream.TableRow{Table: Table, Key: instanceKey(fmt.Sprintf("n%d", i)), Value: []byte(`{"z":"z"}`), Version: uint64(i + 1)})
		}
		assert.NilError(t, b.Listed(boot, rows))
		actions := b.Step(boot, nil)
		assert.Equal(t, len(actions), 1)
		b.Renewed(boot, boot, 1000)
		assert.Equal(t, b.validTo, boot+tt.lasts-cfg.Safety)
		assert.Equal(t, b.renewAt, boot+tt.renewal)
		// With all others gone again, it stays as long as it was told.
		assert.NilError(t, b.Listed(b.renewAt, nil))
		b.Step(b.renewAt, nil)
		assert.Equal(t, b.lasts, tt.lasts)
	}
}

// An engine is owned in its availability zone, else in its region, else anywhere,
// and all instances that have read the same rows choose the same one.
func TestOwnersAreNear(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	holders := []Holder{{Name: "a1-1", Zone: "a1"}, {Name: "a2-1", Zone: "a2"}, {Name: "b1-1", Zone: "b1"}, {Name: "b1-2", Zone: "b1"}}
	tests := []struct {
		server Server
		zones  []string // of which the owner must be one
	}{
		{Server{ID: "s1", Zone: "a1"}, []string{"a1"}},
		{Server{ID: "s2", Zone: "b1"}, []string{"b1"}},
		{Server{ID: "s3", Zone: "a3"}, []string{"a1", "a2", "b1"}}, // a zone that no settings name
		{Server{ID: "s4", Zone: "c1"}, []string{"a1", "a2", "b1"}}, // a region without instances
	}
	for _, tt := range tests {
		chosen := map[string]bool{}
		for _, self := range holders {
			cfg := DefaultSettings(turnBound)
			cfg.Regions = regions
			b := NewBook(self, cfg)
			for i, h := range holders {
				if h.Name != self.Name {
					b.holders[h.Name] = &Holder{Name: h.Name, Zone: h.Zone, version: uint64(i + 1), lasts: cfg.Duration, seen: time.Minute}
				}
			}
			chosen[b.elected(time.Minute, tt.server, map[string]int{})] = true
		}
		assert.Equal(t, len(chosen), 1, "%s: %v", tt.server.ID, chosen)
		for _, h := range holders {
			if chosen[h.Name] {
				assert.Assert(t, slices.Contains(tt.zones, h.Zone), "%s is owned in %s", tt.server.ID, h.Zone)
			}
		}
	}
	// The region goes before the number that is owned.
	cfg := DefaultSettings(turnBound)
	cfg.Regions = regions
	b := NewBook(holders[2], cfg)
	b.holders["a2-1"] = &Holder{Name: "a2-1", Zone: "a2", version: 1, lasts: cfg.Duration, seen: time.Minute}
	assert.Equal(t, b.elected(time.Minute, Server{ID: "s5", Zone: "a1"}, map[string]int{"a2-1": 9}), "a2-1")
}
