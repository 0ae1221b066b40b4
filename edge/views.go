package edge

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
)

// view is what an instance knows of a table of the store.
type view struct {
	version uint64    // up to which it is known
	read    time.Time // when it was last read here
	heard   time.Time // when a reader last told what it read, with no gap before it
}

// viewOld is the age from which on a view is brought up to date before anything
// is waited for.
const viewOld = toldSlack

// tookRead notes that the table was read up to a version.
func (v *view) tookRead(now time.Time, version uint64) {
	v.read, v.version = now, max(v.version, version)
}

// tookWord notes a reader's word on what came after one version, up to another.
// A word with a gap before it says nothing of what lies between.
func (v *view) tookWord(now time.Time, after, to uint64) {
	if after > v.version {
		return
	}
	v.heard, v.version = now, max(v.version, to)
}

// asOf returns when the table was last known to be current.
func (v *view) asOf() time.Time {
	if v.heard.After(v.read) {
		return v.heard
	}
	return v.read
}

// silent reports whether the table's reader has told nothing for longer than it
// takes between two words.
func (v *view) silent(now time.Time, f feed) bool {
	return now.Sub(v.heard) > f.silence()
}

// feedWait returns how long a feed may wait for changes. The store may hold it to
// the end of its wait though there are some, so only an instance that hears from
// the table's reader waits for long, and one whose view has grown old does not wait
// at all.
func (v *view) feedWait(now time.Time, f feed, reader bool) time.Duration {
	if now.Sub(v.asOf()) > viewOld {
		return 0
	}
	if f.toldWait == 0 || reader || v.silent(now, f) {
		return f.wait
	}
	return f.toldWait
}

// view returns the view of a table. Callers hold mu.
func (n *Node) view(table string) *view {
	v := n.views[table]
	if v == nil {
		v = &view{read: n.started}
		n.views[table] = v
	}
	return v
}

// tookRead notes that a table was read here up to a version.
func (n *Node) tookRead(table string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view(table).tookRead(n.now(), version)
}

// tookWord notes a reader's word on a table.
func (n *Node) tookWord(f instance.Fed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view(f.Table).tookWord(n.now(), f.After, f.To)
}

// feedWait returns how long the next feed of a table waits.
func (n *Node) feedWait(f feed) time.Duration {
	readers, _ := n.zoneReaders(f.table)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view(f.table).feedWait(n.now(), f, slices.Contains(readers, n.cfg.Instance))
}

// endUntold ends feeds that wait for long though their table's reader has fallen
// silent. Callers hold mu.
func (n *Node) endUntold(now time.Time) {
	for table, p := range n.polls {
		if p.wait > p.feed.wait && n.view(table).silent(now, p.feed) {
			p.cancel()
		}
	}
}

// feedTook reports a feed that brought rows at the end of its wait only. The
// store's protocol promises them as soon as they are written.
func (n *Node) feedTook(table string, after uint64, took, wait time.Duration, rows []chestnutstream.TableRow) {
	if len(rows) == 0 || wait <= 0 || took < wait {
		return
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_feeds_overdue_total{table="` + table + `"}`).Inc()
	n.log.WithFields(log.Fields{
		"table": table, "after": after, "rows": len(rows), "oldest": rows[0].Version, "ms": took.Milliseconds(),
	}).Warn("feed brought its rows at the end of its wait")
}

// viewAge returns how long ago a table was known to be current. Callers hold mu.
func (n *Node) viewAge(table string) time.Duration { return n.now().Sub(n.view(table).asOf()) }

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
// milliseconds. Callers hold mu.
func (n *Node) dumpViews() map[string]int64 {
	ages := map[string]int64{}
	for _, f := range n.feeds() {
		ages[f.table] = n.viewAge(f.table).Milliseconds()
	}
	return ages
}
