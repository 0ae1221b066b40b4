package edge

import (
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// view records up to which version, and as of when, an instance knows a table of the
// store.
type view struct {
	version   uint64        // up to which it is known
	readAt    time.Time     // when it was last read here
	updatedAt time.Time     // when a reader read its latest update with no gap before it
	failedAt  time.Time     // when a read here last failed
	readTook  time.Duration // the latest read here that did not wait for changes
}

// maxViewAge is the age above which a view is first refreshed by a poll that does not
// wait.
const maxViewAge = followerSlack

// recordRead records that the table was read up to a version.
func (v *view) recordRead(readAt time.Time, version uint64) {
	v.readAt, v.version = readAt, max(v.version, version)
}

// recordUpdate records a reader's update with the changes after one version, up to
// another, that the reader has read at readAt. An update with a gap before it, or of an
// earlier era, leaves the view unchanged.
func (v *view) recordUpdate(readAt time.Time, after, to uint64) {
	if after > v.version || chestnutstream.VersionEra(to) < chestnutstream.VersionEra(v.version) {
		return
	}
	v.updatedAt, v.version = readAt, max(v.version, to)
}

// asOf returns when the table was last known to be current.
func (v *view) asOf() time.Time {
	if v.updatedAt.After(v.readAt) {
		return v.updatedAt
	}
	return v.readAt
}

// readerTimedOut reports whether no update of the table's reader has come within the
// timeout.
func (v *view) readerTimedOut(now time.Time, w tableWatch) bool {
	return now.Sub(v.updatedAt) > w.readerTimeout()
}

// updateTimeout returns how long to wait for a reader's update before the table is read
// here. It counts from the age of the view, wherever the wait begins, and after a failed
// read from that.
func (v *view) updateTimeout(now time.Time, w tableWatch) time.Duration {
	since := v.asOf()
	if v.failedAt.After(since) {
		since = v.failedAt
	}
	return max(w.readerTimeout()-now.Sub(since), 0)
}

// pollWait returns how long a poll may wait for changes. The store may hold a poll to
// the end of its wait although there are changes, so only an instance that receives the
// reader's updates polls with a long wait, and one with an old view does not wait at
// all.
func (v *view) pollWait(now time.Time, w tableWatch, reader bool) time.Duration {
	if now.Sub(v.asOf()) > maxViewAge {
		return 0
	}
	if w.followerWait == 0 || reader || v.readerTimedOut(now, w) {
		return w.wait
	}
	return w.followerWait
}

// view returns the view of a table. Callers hold mu.
func (n *Node) view(table string) *view {
	v := n.views[table]
	if v == nil {
		v = &view{readAt: n.started}
		n.views[table] = v
	}
	return v
}

// recordRead records that a table was read here at readAt, up to a version.
func (n *Node) recordRead(table string, version uint64, readAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view(table).recordRead(readAt, version)
}

// recordUpdate records a reader's update of a table.
func (n *Node) recordUpdate(update instance.TableUpdate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view(update.Table).recordUpdate(update.ReadAt, update.After, update.To)
}

// pollWait returns how long the next poll of a table may wait.
func (n *Node) pollWait(w tableWatch) time.Duration {
	readers, _ := n.zoneReaders(w.table)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view(w.table).pollWait(n.now(), w, slices.Contains(readers, n.id))
}

// cancelStalePolls cancels polls with a long wait whose table's reader has timed out.
// Callers hold mu.
func (n *Node) cancelStalePolls(now time.Time) {
	for table, p := range n.polls {
		if p.wait > p.watch.wait && n.view(table).readerTimedOut(now, p.watch) {
			p.cancel()
		}
	}
}

// reportOverduePoll reports a poll that returned rows only at the end of its wait. By
// its protocol the store returns rows as soon as they are written.
func (n *Node) reportOverduePoll(table string, after uint64, took, wait time.Duration, rows []chestnutstream.TableRow) {
	if len(rows) == 0 || wait <= 0 || took < wait {
		return
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_feeds_overdue_total{table="` + table + `"}`).Inc()
	n.log.WithFields(log.Fields{
		"table": table, "after": after, "rows": len(rows), "oldest": rows[0].Version, "ms": took.Milliseconds(),
	}).Warn("poll returned its rows only at the end of its wait")
}

// viewAge returns the time since a table was last known to be current. Callers hold mu.
func (n *Node) viewAge(table string) time.Duration { return n.now().Sub(n.view(table).asOf()) }

// recordViewAge records the age of the list of servers that a request is placed by, and
// returns it. Callers hold mu.
func (n *Node) recordViewAge() time.Duration {
	age := n.viewAge(platform.TableServers)
	n.metrics.GetOrCreateHistogram(`chestnutstream_placement_view_age_seconds`).Update(age.Seconds())
	return age
}

// registerViewGauges registers a metric with the age of each table's view.
func (n *Node) registerViewGauges(watches []tableWatch) {
	for _, w := range watches {
		n.metrics.NewGauge(`chestnutstream_view_age_seconds{table="`+w.table+`"}`, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.viewAge(w.table).Seconds()
		})
	}
}

// viewAges returns the ages of the views by table, in milliseconds. Callers hold mu.
func (n *Node) viewAges() map[string]int64 {
	ages := map[string]int64{}
	for _, w := range n.watches() {
		ages[w.table] = n.viewAge(w.table).Milliseconds()
	}
	return ages
}
