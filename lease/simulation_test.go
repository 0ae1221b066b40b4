package lease

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// The simulation has a store, contenders with their lease managers, and engines
// that record the orders they get. It checks orders as the platform does: by
// holder, fencing token and time.

// minHandover is the least time between orders of two holders.
const minHandover = 3 * time.Second

// maxOrderDelay is how long an order may take from the last check to the engine.
const maxOrderDelay = 300 * time.Millisecond

type simulation struct {
	now       time.Duration
	version   uint64
	rows      map[string]chestnutstream.TableRow
	managers  []*Manager      // by contender
	pausedAt  []time.Duration // 0: running
	suspended []time.Duration // total time paused, for the mutant suspendedClock
	cutOff    []bool          // from the store
	processes []int           // started by contender, beyond the first
	inFlight  []call
	orders    map[string]order // last one by server
	servers   []Server
	mutant    mutant
	foreign   bool // rows were written by another writer
	violation string
}

// mutant is a guard that is disabled, to check that the simulation detects its
// absence.
type mutant string

const (
	noMutant        mutant = ""
	suspendedClock  mutant = "suspended clock"   // leases are checked on a clock that stops while the machine is suspended
	noHandoverDelay mutant = "no handover delay" // a successor does not wait for the last holder's orders
	noLeaseCheck    mutant = "no lease check"    // a successor does not end the last holder's lease
	ownDuration     mutant = "own duration"      // a successor assumes its own configured duration for the holder's lease
	longLeases      mutant = "long leases"       // no guard is disabled: leases grow beyond their initial duration
)

type call struct {
	from      int
	sent      time.Duration
	action    Action
	responded bool // the caller gets the response
}

type order struct {
	holder string
	fence  uint64
	at     time.Duration
}

func newSimulation(contenders, servers int, m mutant) *simulation {
	sim := &simulation{now: time.Minute, rows: map[string]chestnutstream.TableRow{}, orders: map[string]order{}, mutant: m}
	cfg := DefaultSettings(minHandover)
	if m == noHandoverDelay {
		cfg.HandoverDelay = 0
	}
	if m == longLeases || m == ownDuration {
		cfg.BaseInstances = 1
	}
	for i := range contenders {
		name := string(rune('a' + i))
		sim.managers = append(sim.managers, NewManager(Holder{Name: name, Zone: "z", Address: name, Incarnation: uint64(i+1) << 16}, cfg))
	}
	sim.pausedAt, sim.suspended, sim.cutOff = make([]time.Duration, contenders), make([]time.Duration, contenders), make([]bool, contenders)
	sim.processes = make([]int, contenders)
	for i := range servers {
		sim.servers = append(sim.servers, Server{ID: fmt.Sprintf("s%d", i), Zone: "z"})
	}
	return sim
}

func (sim *simulation) running(i int) bool { return sim.pausedAt[i] == 0 }

// boot returns the clock that a contender's leases are checked on.
func (sim *simulation) boot(i int) time.Duration {
	if sim.mutant == suspendedClock {
		return sim.now - sim.suspended[i]
	}
	return sim.now
}

func (sim *simulation) pause(i int) { sim.pausedAt[i] = sim.now }

func (sim *simulation) resume(i int) {
	sim.suspended[i] += sim.now - sim.pausedAt[i]
	sim.pausedAt[i] = 0
}

// restart replaces a contender's process.
func (sim *simulation) restart(i int) {
	old := sim.managers[i]
	self := old.self
	self.Incarnation += 1 << 8
	sim.managers[i] = NewManager(self, old.cfg)
	sim.processes[i]++
	sim.pausedAt[i] = 0
	kept := sim.inFlight[:0]
	for _, c := range sim.inFlight {
		if c.from == i {
			c.responded = false
		}
		kept = append(kept, c)
	}
	sim.inFlight = kept
}

// read gives a contender a snapshot of the table.
func (sim *simulation) read(i int) {
	if !sim.running(i) || sim.cutOff[i] {
		return
	}
	keys := make([]string, 0, len(sim.rows))
	for k := range sim.rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	rows := make([]chestnutstream.TableRow, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, sim.rows[k])
	}
	sim.applySnapshot(i, Snapshot{Rows: rows, Version: sim.version, NowMS: sim.now.Milliseconds()})
}

func (sim *simulation) applySnapshot(i int, s Snapshot) {
	if err := sim.managers[i].ApplySnapshot(sim.boot(i), s); err != nil && !sim.foreign {
		sim.violation = err.Error()
	}
	if sim.mutant == ownDuration {
		for _, h := range sim.managers[i].holders {
			h.duration = sim.managers[i].cfg.BaseDuration
		}
	}
}

// writeForeign writes a row as another writer.
func (sim *simulation) writeForeign(key, value string) {
	sim.version++
	sim.foreign = true
	sim.rows[key] = chestnutstream.TableRow{Table: Table, Key: key, Value: []byte(value), Version: sim.version}
}

// step puts a contender's due transactions in flight.
func (sim *simulation) step(i int) {
	if !sim.running(i) {
		return
	}
	for _, a := range sim.managers[i].Step(sim.boot(i), sim.servers) {
		if sim.mutant == noLeaseCheck && len(a.Servers) > 0 {
			a.Transaction = withoutLeaseChecks(a.Transaction)
		}
		sim.inFlight = append(sim.inFlight, call{from: i, sent: sim.boot(i), action: a, responded: true})
	}
}

func withoutLeaseChecks(t chestnutstream.RowTransaction) chestnutstream.RowTransaction {
	out := chestnutstream.RowTransaction{Writes: t.Writes}
	for _, c := range t.Checks {
		if !strings.HasPrefix(c.Key, instancePrefix) {
			out.Checks = append(out.Checks, c)
		}
	}
	return out
}

// deliver delivers the n-th call in flight to the store.
func (sim *simulation) deliver(n int) {
	c := sim.inFlight[n]
	sim.inFlight = append(sim.inFlight[:n:n], sim.inFlight[n+1:]...)
	if sim.cutOff[c.from] {
		sim.fail(c)
		return
	}
	version, conflict := sim.apply(c.action.Transaction)
	if !c.responded || !sim.running(c.from) {
		sim.fail(c)
		return
	}
	sim.respond(c, version, conflict)
}

func (sim *simulation) apply(t chestnutstream.RowTransaction) (uint64, []chestnutstream.TableRow) {
	var conflict []chestnutstream.TableRow
	failed := false
	for _, c := range t.Checks {
		row := sim.rows[c.Key]
		row.Key = c.Key
		conflict = append(conflict, row)
		failed = failed || chestnutstream.VersionCounter(row.Version) != chestnutstream.VersionCounter(c.Version)
	}
	if failed {
		return 0, conflict
	}
	sim.version++
	for _, r := range t.Writes {
		r.Version = sim.version
		sim.rows[r.Key] = r
	}
	for _, r := range t.Deletes {
		delete(sim.rows, r.Key)
	}
	return sim.version, nil
}

func (sim *simulation) respond(c call, version uint64, conflict []chestnutstream.TableRow) {
	m, boot := sim.managers[c.from], sim.boot(c.from)
	var err error
	switch {
	case c.action.Kind == ActionNoteEra && conflict == nil:
		m.EraNoted(boot, c.action, version)
	case c.action.Kind == ActionNoteEra:
		err = m.EraNotNoted(boot, existing(conflict))
	case c.action.Kind == ActionRenew && conflict == nil:
		m.Renewed(boot, c.sent, c.action, version)
	case c.action.Kind == ActionRenew:
		m.RenewalConflict(boot, c.action, conflict)
	case conflict == nil:
		m.Acquired(boot, c.action, version)
	default:
		err = m.AcquisitionFailed(boot, c.action, existing(conflict))
	}
	if err != nil && !sim.foreign {
		sim.violation = err.Error()
	}
}

func existing(rows []chestnutstream.TableRow) []chestnutstream.TableRow {
	var out []chestnutstream.TableRow
	for _, r := range rows {
		if r.Version != 0 {
			out = append(out, r)
		}
	}
	return out
}

// fail reports to a contender that its call got no response.
func (sim *simulation) fail(c call) {
	m, boot := sim.managers[c.from], sim.boot(c.from)
	if !c.responded || !sim.running(c.from) {
		// The process that sent the call has ended, or is paused and gets the
		// timeout when it resumes.
		if sim.running(c.from) {
			return
		}
	}
	var err error
	switch c.action.Kind {
	case ActionRenew:
		m.RenewalFailed(boot)
	case ActionNoteEra:
		err = m.EraNotNoted(boot, nil)
	default:
		err = m.AcquisitionFailed(boot, c.action, nil)
	}
	if err != nil {
		sim.violation = err.Error()
	}
}

// loseResponse drops the response to a call; the call itself may still be
// delivered.
func (sim *simulation) loseResponse(n int) {
	c := sim.inFlight[n]
	if !c.responded {
		return
	}
	sim.fail(c)
	sim.inFlight[n].responded = false
}

// order lets a contender send an order to an engine, if its lease manager allows
// it. The order arrives within maxOrderDelay.
func (sim *simulation) order(i int, server string) bool {
	if !sim.running(i) {
		return false
	}
	accepted := 0
	if _, ordered := sim.orders[server]; ordered {
		accepted = 1
	}
	sim.managers[i].RecordOrderCount(server, accepted) // the engine's report is read before its first order
	fence, _, ok := sim.managers[i].FencingToken(sim.boot(i), server)
	if !ok {
		return false
	}
	holder := sim.managers[i].self.Name
	last, before := sim.orders[server]
	switch {
	case before && last.holder != holder && last.fence == fence:
		sim.violation = fmt.Sprintf("%s: %s and %s order with token %d", server, last.holder, holder, fence)
	case before && fence < last.fence:
		sim.violation = fmt.Sprintf("%s: token %d of %s after %d of %s", server, fence, holder, last.fence, last.holder)
	case before && last.holder != holder && sim.now-last.at < minHandover+maxOrderDelay:
		sim.violation = fmt.Sprintf("%s: %s orders %v after %s", server, holder, sim.now-last.at, last.holder)
	}
	sim.orders[server] = order{holder, fence, sim.now}
	return true
}
