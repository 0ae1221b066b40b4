package edge

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
)

// view is what this instance knows of a table of the store.
type view struct {
	version uint64    // up to which it is known
	read    time.Time // when it was last read here
	heard   time.Time // when a reader last told what it read, with no gap before it
}

// viewed notes that a table was read up to a version of the store.
func (n *Node) viewed(table string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.views[table]
	v.read, v.version = n.now(), max(v.version, version)
	n.views[table] = v
}

// viewHeard notes a reader's word on a table. One with a gap before it says
// nothing of what lies between.
func (n *Node) viewHeard(f instance.Fed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.views[f.Table]
	if f.After > v.version {
		return
	}
	v.heard, v.version = n.now(), max(v.version, f.To)
	n.views[f.Table] = v
}

// viewAge returns how long ago a table was known to be current. Callers hold mu.
func (n *Node) viewAge(table string) time.Duration {
	at := n.started
	for _, t := range []time.Time{n.views[table].read, n.views[table].heard} {
		if t.After(at) {
			at = t
		}
	}
	return n.now().Sub(at)
}

// feedWait returns how long a feed may wait for changes. The store may hold it to
// the end of its wait though there are some, so only an instance that hears from
// the table's reader waits for long.
func (n *Node) feedWait(f feed) time.Duration {
	readers, _ := n.zoneReaders(f.table)
	if f.toldWait == 0 || slices.Contains(readers, n.cfg.Instance) {
		return f.wait
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now().Sub(n.views[f.table].heard) > f.wait+toldSlack {
		return f.wait
	}
	return f.toldWait
}

// endUntold ends feeds that wait for long though their table's reader has fallen
// silent. Callers hold mu.
func (n *Node) endUntold(now time.Time) {
	for table, p := range n.polls {
		if p.told && now.Sub(n.views[table].heard) > p.limit {
			p.cancel()
		}
	}
}

// feedTook reports a feed that brought rows at the end of its wait only. The
// store's protocol promises them as soon as they are written.
func (n *Node) feedTook(table string, after uint64, took, wait time.Duration, rows []chestnutstream.TableRow) {
	if len(rows) == 0 || took < wait {
		return
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_feeds_overdue_total{table="` + table + `"}`).Inc()
	n.log.WithFields(log.Fields{
		"table": table, "after": after, "rows": len(rows), "oldest": rows[0].Version, "ms": took.Milliseconds(),
	}).Warn("feed brought its rows at the end of its wait")
}

// gaugeViews makes the age of each table's view a metric.
func (n *Node) gaugeViews(feeds []feed) {
	for _, f := range feeds {
		n.metrics.NewGauge(`chestnutstream_view_age_seconds{table="`+f.table+`"}`, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.viewAge(f.table).Seconds()
		})
	}
}

// dumpViews returns the ages of the views of the store's tables, in
// milliseconds.
func (n *Node) dumpViews() map[string]int64 {
	ages := map[string]int64{}
	for _, f := range n.feeds() {
		ages[f.table] = n.viewAge(f.table).Milliseconds()
	}
	return ages
}
