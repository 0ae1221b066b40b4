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

// The model check explores all interleavings of two or three contenders for one
// engine up to a bounded depth, skipping states already visited.

// move is a step of the model.
type move struct {
	name string
	do   func(sim *simulation)
}

// The ticks of the model: a little over a quarter of the time after which a lease
// may be ended, and less than the least time between two holders.
const (
	longTick  = 3500 * time.Millisecond
	shortTick = time.Second
)

func moves(contenders int) []move {
	list := []move{
		{"tick", func(sim *simulation) { sim.now += longTick }},
		{"short tick", func(sim *simulation) { sim.now += shortTick }},
		{"arrive", func(sim *simulation) {
			if len(sim.inFlight) > 0 {
				sim.deliver(0)
			}
		}},
		{"arrive last", func(sim *simulation) {
			if len(sim.inFlight) > 1 {
				sim.deliver(len(sim.inFlight) - 1)
			}
		}},
		{"lose response", func(sim *simulation) {
			if len(sim.inFlight) > 0 {
				sim.loseResponse(0)
			}
		}},
	}
	for i := range contenders {
		list = append(
			list,
			move{fmt.Sprintf("%d reads", i), func(sim *simulation) { sim.read(i) }},
			move{fmt.Sprintf("%d steps", i), func(sim *simulation) { sim.step(i) }},
			move{fmt.Sprintf("%d orders", i), func(sim *simulation) { sim.order(i, "s0") }},
			move{fmt.Sprintf("%d pauses or resumes", i), func(sim *simulation) {
				if sim.running(i) {
					sim.pause(i)
					return
				}
				sim.resume(i)
			}},
			move{fmt.Sprintf("%d is cut off or reconnected", i), func(sim *simulation) { sim.cutOff[i] = !sim.cutOff[i] }},
		)
	}
	return list
}

func (sim *simulation) clone() *simulation {
	c := *sim
	c.rows, c.orders = maps.Clone(sim.rows), maps.Clone(sim.orders)
	c.pausedAt, c.suspended, c.cutOff = append([]time.Duration(nil), sim.pausedAt...), append([]time.Duration(nil), sim.suspended...), append([]bool(nil), sim.cutOff...)
	c.processes = append([]int(nil), sim.processes...)
	c.inFlight = append([]call(nil), sim.inFlight...)
	c.managers = nil
	for _, m := range sim.managers {
		d := *m
		d.holders = map[string]*Holder{}
		for k, h := range m.holders {
			copied := *h
			d.holders[k] = &copied
		}
		d.owners, d.acquiring, d.retryAt, d.kept = maps.Clone(m.owners), maps.Clone(m.acquiring), maps.Clone(m.retryAt), maps.Clone(m.kept)
		c.managers = append(c.managers, &d)
	}
	return &c
}

// key identifies a state: states with equal keys behave alike.
func (sim *simulation) key() string {
	var s strings.Builder
	fmt.Fprint(&s, sim.now, sim.version, sortedRows(sim), sim.pausedAt, sim.suspended, sim.cutOff, sim.orders)
	for _, c := range sim.inFlight {
		fmt.Fprint(&s, c.from, c.sent, c.responded, c.action.Servers, c.action.Transaction.Checks, c.action.Transaction.Writes)
	}
	for _, m := range sim.managers {
		fmt.Fprint(&s, "|", m.version, m.duration, m.validUntil, m.renewAt, m.renewing, m.updatedAt, m.owners, m.acquiring, m.retryAt, m.self.Incarnation)
		names := make([]string, 0, len(m.holders))
		for name, h := range m.holders {
			names = append(names, fmt.Sprint(name, h.version, h.duration, h.seenAt))
		}
		sort.Strings(names)
		fmt.Fprint(&s, names)
	}
	return s.String()
}

func sortedRows(sim *simulation) []string {
	var out []string
	for k, r := range sim.rows {
		out = append(out, fmt.Sprint(k, r.Version, string(r.Value)))
	}
	sort.Strings(out)
	return out
}

// explore returns a path of moves that leads to a violation, followed by the
// violation, and the number of visited states.
func explore(m mutant, contenders, depth int, prefix ...string) (path []string, states int) {
	start := newSimulation(contenders, 1, m)
	runUntilOwned(start)
	list := moves(contenders)
	for _, name := range prefix {
		for _, mv := range append(releases(contenders), list...) {
			if mv.name == name {
				mv.do(start)
			}
		}
	}
	type node struct {
		sim  *simulation
		path []string
	}
	seen := map[string]bool{start.key(): true}
	frontier := []node{{sim: start, path: prefix}}
	for range depth {
		var next []node
		for _, n := range frontier {
			for _, mv := range list {
				sim := n.sim.clone()
				mv.do(sim)
				path := append(append([]string(nil), n.path...), mv.name)
				if sim.violation != "" {
					return append(path, sim.violation), len(seen)
				}
				if k := sim.key(); !seen[k] {
					seen[k] = true
					next = append(next, node{sim, path})
				}
			}
		}
		frontier = next
	}
	return nil, len(seen)
}

// roles returns which contender owns the engine at the start, and which one would
// take over.
func roles(m mutant) (holder, successor string) {
	sim := newSimulation(2, 1, m)
	runUntilOwned(sim)
	if len(sim.managers[0].Owned(sim.boot(0))) == 0 {
		return "1", "0"
	}
	return "0", "1"
}

// failover returns the start of most failures: the holder sends an order, then is
// paused or cut off from the store until the other may take over.
func failover(m mutant, how string, ticks int) []string {
	holder, successor := roles(m)
	path := []string{holder + " orders", holder + " " + how}
	for range ticks {
		path = append(path, "tick", successor+" steps", "arrive", successor+" reads")
	}
	return path
}

// renewalsOnly returns a path on which the successor renews its lease for long
// without reading the table, while the holder continues.
func renewalsOnly(m mutant) []string {
	holder, successor := roles(m)
	path := []string{holder + " orders"}
	for range 4 {
		path = append(path, "tick", holder+" steps", "arrive", successor+" steps", "arrive")
	}
	return path
}

func TestAllInterleavingsKeepOneHolder(t *testing.T) {
	tests := []struct {
		name       string
		mutant     mutant
		contenders int
		depth      int
		prefix     []string
	}{
		{"from the start", noMutant, 2, 5, nil},
		{"three contenders", noMutant, 3, 4, nil},
		{"the holder is paused", noMutant, 2, 5, failover(noMutant, "pauses or resumes", 3)},
		{"the holder is cut off", noMutant, 2, 5, failover(noMutant, "is cut off or reconnected", 2)},
		{"the successor does not read", noMutant, 2, 5, renewalsOnly(noMutant)},
		{"longer leases", longLeases, 2, 5, nil},
		{"longer leases, the holder is paused", longLeases, 2, 5, failover(longLeases, "pauses or resumes", 4)},
		{"longer leases, the holder is cut off", longLeases, 2, 5, failover(longLeases, "is cut off or reconnected", 3)},
	}
	for _, tt := range tests {
		path, states := explore(tt.mutant, tt.contenders, tt.depth, tt.prefix...)
		t.Logf("%s: %d states", tt.name, states)
		assert.Assert(t, path == nil, "%s: %s", tt.name, strings.Join(path, ", "))
		assert.Assert(t, states > 1000)
	}
}

// With any one guard disabled the exploration must find a violation.
func TestMutantsAreDetected(t *testing.T) {
	tests := []struct {
		mutant mutant
		prefix []string
	}{
		{suspendedClock, failover(suspendedClock, "pauses or resumes", 3)},
		{noLeaseCheck, renewalsOnly(noLeaseCheck)},
		{noHandoverDelay, failover(noHandoverDelay, "is cut off or reconnected", 2)},
		{ownDuration, failover(ownDuration, "is cut off or reconnected", 3)},
	}
	for _, tt := range tests {
		path, states := explore(tt.mutant, 2, 7, tt.prefix...)
		assert.Assert(t, path != nil, "%q was not detected in %d states", tt.mutant, states)
		t.Logf("%q detected after %d states: %s", tt.mutant, states, strings.Join(path[len(path)-3:], ", "))
	}
}
