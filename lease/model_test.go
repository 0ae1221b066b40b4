package lease

import (
	"fmt"
	"maps"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The model check goes through all interleavings of two or three contenders for
// one engine up to a bounded depth, with states that were met before left out.

// move is a step of the model.
type move struct {
	name string
	do   func(w *world)
}

// The ticks of the model: a little over a quarter of the time after which a
// lease may be ended, and less than two holders must leave between them.
const (
	longTick  = 3500 * time.Millisecond
	shortTick = time.Second
)

func moves(contenders int) []move {
	list := []move{
		{"tick", func(w *world) { w.now += longTick }},
		{"short tick", func(w *world) { w.now += shortTick }},
		{"arrive", func(w *world) {
			if len(w.inFlight) > 0 {
				w.arrive(0)
			}
		}},
		{"arrive last", func(w *world) {
			if len(w.inFlight) > 1 {
				w.arrive(len(w.inFlight) - 1)
			}
		}},
		{"lose answer", func(w *world) {
			if len(w.inFlight) > 0 {
				w.lose(0)
			}
		}},
	}
	for i := range contenders {
		list = append(
			list,
			move{fmt.Sprintf("%d reads", i), func(w *world) { w.read(i) }},
			move{fmt.Sprintf("%d steps", i), func(w *world) { w.step(i) }},
			move{fmt.Sprintf("%d orders", i), func(w *world) { w.order(i, "s0") }},
			move{fmt.Sprintf("%d pauses or wakes", i), func(w *world) {
				if w.runs(i) {
					w.pause(i)
					return
				}
				w.wake(i)
			}},
			move{fmt.Sprintf("%d is cut off or linked", i), func(w *world) { w.cut[i] = !w.cut[i] }},
		)
	}
	return list
}

func (w *world) clone() *world {
	c := *w
	c.rows, c.orders = maps.Clone(w.rows), maps.Clone(w.orders)
	c.paused, c.lost, c.cut = append([]time.Duration(nil), w.paused...), append([]time.Duration(nil), w.lost...), append([]bool(nil), w.cut...)
	c.inFlight = append([]call(nil), w.inFlight...)
	c.books = nil
	for _, b := range w.books {
		d := *b
		d.holders = map[string]*Holder{}
		for k, h := range b.holders {
			copied := *h
			d.holders[k] = &copied
		}
		d.owners, d.acquiring, d.retryAt = maps.Clone(b.owners), maps.Clone(b.acquiring), maps.Clone(b.retryAt)
		c.books = append(c.books, &d)
	}
	return &c
}

// key names a state: equal keys behave alike.
func (w *world) key() string {
	var s strings.Builder
	fmt.Fprint(&s, w.now, w.version, sortedRows(w), w.paused, w.lost, w.cut, w.orders)
	for _, c := range w.inFlight {
		fmt.Fprint(&s, c.from, c.sent, c.answer, c.a.Servers, c.a.Transaction.Checks)
	}
	for _, b := range w.books {
		fmt.Fprint(&s, "|", b.version, b.lasts, b.validTo, b.renewAt, b.renewing, b.fedAt, b.owners, b.acquiring, b.retryAt, b.self.Run)
		names := make([]string, 0, len(b.holders))
		for name, h := range b.holders {
			names = append(names, fmt.Sprint(name, h.version, h.lasts, h.seen))
		}
		sort.Strings(names)
		fmt.Fprint(&s, names)
	}
	return s.String()
}

func sortedRows(w *world) []string {
	var out []string
	for k, r := range w.rows {
		out = append(out, fmt.Sprint(k, r.Version))
	}
	sort.Strings(out)
	return out
}

// explore returns the moves that break an order's rules, and how many states
// were met.
func explore(m mutant, contenders, depth int, prefix ...string) (broken []string, states int) {
	start := newWorld(contenders, 1, m)
	settle(start)
	list := moves(contenders)
	for _, name := range prefix {
		for _, mv := range list {
			if mv.name == name {
				mv.do(start)
			}
		}
	}
	type node struct {
		w    *world
		path []string
	}
	seen := map[string]bool{start.key(): true}
	frontier := []node{{w: start, path: prefix}}
	for range depth {
		var next []node
		for _, n := range frontier {
			for _, mv := range list {
				w := n.w.clone()
				mv.do(w)
				path := append(append([]string(nil), n.path...), mv.name)
				if w.broken != "" {
					return append(path, w.broken), len(seen)
				}
				if k := w.key(); !seen[k] {
					seen[k] = true
					next = append(next, node{w, path})
				}
			}
		}
		frontier = next
	}
	return nil, len(seen)
}

// roles returns which contender holds the engine at the start, and which would
// take it.
func roles(m mutant) (holder, taker string) {
	w := newWorld(2, 1, m)
	settle(w)
	if len(w.books[0].Owned(w.boot(0))) == 0 {
		return "1", "0"
	}
	return "0", "1"
}

// takeover is how most failures begin: the holder orders, and stands still or is
// cut off from the store until the other may take over.
func takeover(m mutant, how string, ticks int) []string {
	holder, taker := roles(m)
	path := []string{holder + " orders", holder + " " + how}
	for range ticks {
		path = append(path, "tick", taker+" steps", "arrive", taker+" reads")
	}
	return path
}

// blind is a taker that renews its lease and does not read for long, while the
// holder goes on.
func blind(m mutant) []string {
	holder, taker := roles(m)
	path := []string{holder + " orders"}
	for range 4 {
		path = append(path, "tick", holder+" steps", "arrive", taker+" steps", "arrive")
	}
	return path
}

func TestAllInterleavingsKeepOneHolder(t *testing.T) {
	tests := []struct {
		name       string
		kind       mutant
		contenders int
		depth      int
		prefix     []string
	}{
		{"from the start", noMutant, 2, 5, nil},
		{"three contenders", noMutant, 3, 4, nil},
		{"the holder stands still", noMutant, 2, 5, takeover(noMutant, "pauses or wakes", 3)},
		{"the holder is cut off", noMutant, 2, 5, takeover(noMutant, "is cut off or linked", 2)},
		{"the taker does not read", noMutant, 2, 5, blind(noMutant)},
		{"longer leases", crowded, 2, 5, nil},
		{"longer leases, the holder stands still", crowded, 2, 5, takeover(crowded, "pauses or wakes", 4)},
		{"longer leases, the holder is cut off", crowded, 2, 5, takeover(crowded, "is cut off or linked", 3)},
	}
	for _, tt := range tests {
		broken, states := explore(tt.kind, tt.contenders, tt.depth, tt.prefix...)
		t.Logf("%s: %d states", tt.name, states)
		assert.Assert(t, broken == nil, "%s: %s", tt.name, strings.Join(broken, ", "))
		assert.Assert(t, states > 1000)
	}
}

// Each guard that is taken out must be missed by the oracle.
func TestMutantsAreFound(t *testing.T) {
	tests := []struct {
		mutant mutant
		prefix []string
	}{
		{steadyClock, takeover(steadyClock, "pauses or wakes", 3)},
		{noLeaseCheck, blind(noLeaseCheck)},
		{noTurn, takeover(noTurn, "is cut off or linked", 2)},
		{ownLength, takeover(ownLength, "is cut off or linked", 3)},
	}
	for _, tt := range tests {
		broken, states := explore(tt.mutant, 2, 7, tt.prefix...)
		assert.Assert(t, broken != nil, "%q was not found in %d states", tt.mutant, states)
		t.Logf("%q found after %d states: %s", tt.mutant, states, strings.Join(broken[len(broken)-3:], ", "))
	}
}
