package edge

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
)

// viewed notes that a table is known as of now: it was read here, or another
// instance has told what it read.
func (n *Node) viewed(table string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.views[table] = n.now()
}

// viewAge returns how long ago a table was known to be current. Callers hold mu.
func (n *Node) viewAge(table string) time.Duration {
	at, ok := n.views[table]
	if !ok {
		at = n.started
	}
	return n.now().Sub(at)
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
