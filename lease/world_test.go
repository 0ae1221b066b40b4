package lease

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// The world of the tests: a store, contenders with their books, and engines that
// write down the orders which they get. It judges the orders as the platform
// does: by holder, number and time.

// turnBound is how long two holders may not take turns.
const turnBound = 3 * time.Second

// orderFlight is how long an order may take from the last check to the engine.
const orderFlight = 300 * time.Millisecond

type world struct {
	now      time.Duration
	version  uint64
	rows     map[string]chestnutstream.TableRow
	books    []*Book
	paused   []time.Duration // since when; 0: runs
	lost     []time.Duration // time spent paused, for the mutant clock
	cut      []bool          // from the store
	inFlight []call
	orders   map[string]order
	servers  []Server
	mutant   mutant
	broken   string
}

// mutant is a guard that is taken out, to see that the oracle misses it.
type mutant string

const (
	noMutant     mutant = ""
	steadyClock  mutant = "steady clock"   // a lease is checked on a clock that stands still while suspended
	noTurn       mutant = "no turn"        // a taker does not wait for the last holder's orders
	noLeaseCheck mutant = "no lease check" // a taker does not end the last holder's lease
	ownLength    mutant = "own length"     // a taker goes by its own idea of how long the holder's lease lasts
	crowded      mutant = "crowded"        // no guard is out: leases are longer than they begin
)

type call struct {
	from   int
	sent   time.Duration
	a      Action
	answer bool // the caller hears of it
}

type order struct {
	holder string
	fence  uint64
	at     time.Duration
}

func newWorld(contenders, servers int, m mutant) *world {
	w := &world{now: time.Minute, rows: map[string]chestnutstream.TableRow{}, orders: map[string]order{}, mutant: m}
	cfg := DefaultSettings(turnBound)
	if m == noTurn {
		cfg.Turn = 0
	}
	if m == crowded || m == ownLength {
		cfg.Crowd = 1
	}
	for i := range contenders {
		name := string(rune('a' + i))
		w.books = append(w.books, NewBook(Holder{Name: name, Zone: "z", Address: name, Run: uint64(i+1) << 16}, cfg))
	}
	w.paused, w.lost, w.cut = make([]time.Duration, contenders), make([]time.Duration, contenders), make([]bool, contenders)
	for i := range servers {
		w.servers = append(w.servers, Server{ID: fmt.Sprintf("s%d", i), Zone: "z"})
	}
	return w
}

func (w *world) runs(i int) bool { return w.paused[i] == 0 }

// boot is the clock that a contender's leases are checked on.
func (w *world) boot(i int) time.Duration {
	if w.mutant == steadyClock {
		return w.now - w.lost[i]
	}
	return w.now
}

func (w *world) pause(i int) { w.paused[i] = w.now }

func (w *world) wake(i int) {
	w.lost[i] += w.now - w.paused[i]
	w.paused[i] = 0
}

// restart replaces a contender's process.
func (w *world) restart(i int) {
	old := w.books[i]
	self := old.self
	self.Run += 1 << 8
	w.books[i] = NewBook(self, old.cfg)
	w.paused[i] = 0
	kept := w.inFlight[:0]
	for _, c := range w.inFlight {
		if c.from == i {
			c.answer = false
		}
		kept = append(kept, c)
	}
	w.inFlight = kept
}

// read lets a contender read the table.
func (w *world) read(i int) {
	if !w.runs(i) || w.cut[i] {
		return
	}
	keys := make([]string, 0, len(w.rows))
	for k := range w.rows {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	rows := make([]chestnutstream.TableRow, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, w.rows[k])
	}
	if err := w.books[i].Listed(w.boot(i), rows); err != nil {
		w.broken = err.Error()
	}
	if w.mutant == ownLength {
		for _, h := range w.books[i].holders {
			h.lasts = w.books[i].cfg.Duration
		}
	}
}

// step lets a contender send what it wants to the store.
func (w *world) step(i int) {
	if !w.runs(i) {
		return
	}
	for _, a := range w.books[i].Step(w.boot(i), w.servers) {
		if w.mutant == noLeaseCheck && len(a.Servers) > 0 {
			a.Transaction = withoutLeases(a.Transaction)
		}
		w.inFlight = append(w.inFlight, call{from: i, sent: w.boot(i), a: a, answer: true})
	}
}

func withoutLeases(t chestnutstream.RowTransaction) chestnutstream.RowTransaction {
	out := chestnutstream.RowTransaction{Writes: t.Writes}
	for _, c := range t.Checks {
		if !strings.HasPrefix(c.Key, instancePrefix) {
			out.Checks = append(out.Checks, c)
		}
	}
	return out
}

// arrive lets the n-th call in flight reach the store.
func (w *world) arrive(n int) {
	c := w.inFlight[n]
	w.inFlight = append(w.inFlight[:n:n], w.inFlight[n+1:]...)
	if w.cut[c.from] {
		w.fail(c)
		return
	}
	version, conflict := w.apply(c.a.Transaction)
	if !c.answer || !w.runs(c.from) {
		w.fail(c)
		return
	}
	w.answer(c, version, conflict)
}

func (w *world) apply(t chestnutstream.RowTransaction) (uint64, []chestnutstream.TableRow) {
	var conflict []chestnutstream.TableRow
	failed := false
	for _, c := range t.Checks {
		row := w.rows[c.Key]
		row.Key = c.Key
		conflict = append(conflict, row)
		failed = failed || row.Version != c.Version
	}
	if failed {
		return 0, conflict
	}
	w.version++
	for _, r := range t.Writes {
		r.Version = w.version
		w.rows[r.Key] = r
	}
	for _, r := range t.Removes {
		delete(w.rows, r.Key)
	}
	return w.version, nil
}

func (w *world) answer(c call, version uint64, conflict []chestnutstream.TableRow) {
	b, boot := w.books[c.from], w.boot(c.from)
	switch {
	case len(c.a.Servers) == 0 && conflict == nil:
		b.Renewed(boot, c.sent, version)
	case len(c.a.Servers) == 0:
		b.RenewalConflict(boot, conflict)
	case conflict == nil:
		b.Acquired(c.a.Servers, version)
	default:
		if err := b.AcquisitionFailed(boot, c.a.Servers, present(conflict)); err != nil {
			w.broken = err.Error()
		}
	}
}

func present(rows []chestnutstream.TableRow) []chestnutstream.TableRow {
	var out []chestnutstream.TableRow
	for _, r := range rows {
		if r.Version != 0 {
			out = append(out, r)
		}
	}
	return out
}

// fail tells a contender that its call brought no answer.
func (w *world) fail(c call) {
	b, boot := w.books[c.from], w.boot(c.from)
	if !c.answer || !w.runs(c.from) {
		// The process that asked is gone, or will hear of the time-out when it
		// wakes.
		if w.runs(c.from) {
			return
		}
	}
	if len(c.a.Servers) == 0 {
		b.RenewalFailed(boot)
		return
	}
	if err := b.AcquisitionFailed(boot, c.a.Servers, nil); err != nil {
		w.broken = err.Error()
	}
}

// lose takes the answer from a call: it may still arrive.
func (w *world) lose(n int) {
	c := w.inFlight[n]
	if !c.answer {
		return
	}
	w.fail(c)
	w.inFlight[n].answer = false
}

// order lets a contender give an order to an engine, if it believes that it
// may. It arrives within orderFlight.
func (w *world) order(i int, server string) bool {
	if !w.runs(i) {
		return false
	}
	fence, _, ok := w.books[i].Fence(w.boot(i), server)
	if !ok {
		return false
	}
	holder := w.books[i].self.Name
	last, before := w.orders[server]
	switch {
	case before && last.holder != holder && last.fence == fence:
		w.broken = fmt.Sprintf("%s: %s and %s order with number %d", server, last.holder, holder, fence)
	case before && fence < last.fence:
		w.broken = fmt.Sprintf("%s: number %d of %s after %d of %s", server, fence, holder, last.fence, last.holder)
	case before && last.holder != holder && w.now-last.at < turnBound+orderFlight:
		w.broken = fmt.Sprintf("%s: %s orders %v after %s", server, holder, w.now-last.at, last.holder)
	}
	w.orders[server] = order{holder, fence, w.now}
	return true
}
