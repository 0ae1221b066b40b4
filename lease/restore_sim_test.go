package lease

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// restoreSimulation is a simulation whose store states an era and may return from a copy.
// Calls may be applied in a later era than they were sent in, and responses and reads may
// arrive late.
type restoreSimulation struct {
	*simulation
	copies     []storeCopy
	responses  []lateResponse
	reads      []lateRead
	orderedAt  map[string]time.Duration
	notReading map[int]bool // contenders that do not read the table
}

type storeCopy struct {
	rows    map[string]chestnutstream.TableRow
	counter uint64
	at      time.Duration
}

type lateResponse struct {
	call     call
	process  int
	version  uint64
	conflict []chestnutstream.TableRow
}

type lateRead struct {
	from, process int
	snapshot      Snapshot
}

// newRestoreSimulation returns a simulation in which all servers are owned. Its first copy
// is of the empty store.
func newRestoreSimulation(contenders, servers int, m mutant) *restoreSimulation {
	sim := &restoreSimulation{simulation: newSimulation(contenders, servers, m), orderedAt: map[string]time.Duration{}, notReading: map[int]bool{}}
	sim.version = chestnutstream.RowVersion(1, 0)
	sim.copy()
	for _, m := range sim.managers {
		m.cfg.Bootstrap = true
	}
	runUntilOwned(sim.simulation)
	for _, m := range sim.managers {
		m.cfg.Bootstrap = false
	}
	return sim
}

func (sim *restoreSimulation) copy() {
	sim.copies = append(sim.copies, storeCopy{maps.Clone(sim.rows), chestnutstream.VersionCounter(sim.version), sim.now})
}

// restore returns the store from the n-th copy.
func (sim *restoreSimulation) restore(n int) {
	c := sim.copies[n]
	era := chestnutstream.VersionEra(sim.version) + 1
	sim.version = chestnutstream.RowVersion(era, c.counter)
	sim.rows = map[string]chestnutstream.TableRow{}
	for key, r := range c.rows {
		r.Version = chestnutstream.RowVersion(era, chestnutstream.VersionCounter(r.Version))
		sim.rows[key] = r
	}
	sim.copies = sim.copies[:n+1]
}

// delayResponse applies the n-th call in flight. Its response arrives later.
func (sim *restoreSimulation) delayResponse(n int) {
	c := sim.inFlight[n]
	if sim.cutOff[c.from] || !c.responded {
		sim.deliver(n)
		return
	}
	sim.inFlight = append(sim.inFlight[:n:n], sim.inFlight[n+1:]...)
	// Responses have the era of the store at this time in all versions.
	version, conflict := sim.apply(c.action.Transaction)
	sim.responses = append(sim.responses, lateResponse{c, sim.processes[c.from], version, conflict})
}

func (sim *restoreSimulation) arrive(n int) {
	r := sim.responses[n]
	sim.responses = append(sim.responses[:n:n], sim.responses[n+1:]...)
	switch {
	case r.process != sim.processes[r.call.from]:
	case sim.running(r.call.from):
		sim.respond(r.call, r.version, r.conflict)
	default:
		sim.fail(r.call)
	}
}

// readSlowly starts a read whose response arrives later.
func (sim *restoreSimulation) readSlowly(i int) {
	if !sim.running(i) || sim.cutOff[i] {
		return
	}
	keys := make([]string, 0, len(sim.rows))
	for k := range sim.rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	s := Snapshot{Version: sim.version, NowMS: sim.now.Milliseconds()}
	for _, k := range keys {
		s.Rows = append(s.Rows, sim.rows[k])
	}
	sim.reads = append(sim.reads, lateRead{i, sim.processes[i], s})
}

func (sim *restoreSimulation) arriveRead(n int) {
	r := sim.reads[n]
	sim.reads = append(sim.reads[:n:n], sim.reads[n+1:]...)
	if r.process == sim.processes[r.from] && sim.running(r.from) {
		sim.applySnapshot(r.from, r.snapshot)
	}
}

// loseAll drops the responses to all calls in flight, and returns the calls.
func (sim *restoreSimulation) loseAll() []call {
	for n := range sim.inFlight {
		sim.loseResponse(n)
	}
	calls := sim.inFlight
	sim.inFlight = nil
	return calls
}

// orderAll lets all contenders send orders to all servers.
func (sim *restoreSimulation) orderAll() {
	for i := range sim.managers {
		for _, s := range sim.servers {
			if sim.order(i, s.ID) {
				sim.orderedAt[s.ID] = sim.now
			}
		}
	}
}

// play runs all contenders for a time. They read the table each second.
func (sim *restoreSimulation) play(d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.violation == ""; sim.now += 100 * time.Millisecond {
		for i := range sim.managers {
			if !sim.notReading[i] && sim.now/(100*time.Millisecond)%10 == time.Duration(i) {
				sim.read(i)
			}
			sim.step(i)
		}
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		sim.orderAll()
	}
}

// holder returns the contender that owns a server, or -1.
func (sim *restoreSimulation) holder(server string) int {
	for i, m := range sim.managers {
		if _, _, ok := m.FencingToken(sim.boot(i), server); ok && sim.running(i) {
			return i
		}
	}
	return -1
}

func (sim *restoreSimulation) join(server string) {
	sim.servers = append(sim.servers, Server{ID: server, Zone: "z"})
}

// unownedFor returns the server that has got no order for the longest time, and that time.
func (sim *restoreSimulation) unownedFor() (server string, d time.Duration) {
	for _, s := range sim.servers {
		if gap := sim.now - sim.orderedAt[s.ID]; gap > d {
			server, d = s.ID, gap
		}
	}
	return server, d
}

func (sim *restoreSimulation) String() string {
	return fmt.Sprintf("%v at version %x: %v", sim.now, sim.version, sortedRows(sim.simulation))
}
