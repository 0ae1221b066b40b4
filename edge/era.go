package edge

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
)

// restoreReadPeriod is how long after the store's return from a copy each instance reads
// the shared tables itself, as after its start. In it the servers that are alive write their
// entries again, later than the instance's first read.
const restoreReadPeriod = startLeasesPeriod

// watchEra registers what happens, and what is counted, when the store returns from a copy.
func (n *Node) watchEra() {
	n.store.OnRestore(n.recordRestore)
	n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`)
	n.metrics.NewGauge(`chestnutstream_store_era`, func() float64 { return float64(n.store.Era()) })
}

// recordRestore records that the store has returned from a copy: all tables are read anew.
func (n *Node) recordRestore(old, era uint64) {
	n.metrics.GetOrCreateCounter(`chestnutstream_store_restores_total`).Inc()
	fields := log.Fields{"old": old, "era": era}
	n.mu.Lock()
	for table, v := range n.views {
		fields["version-"+table] = chestnutstream.VersionCounter(v.version)
	}
	boot := n.boot()
	n.leases.StoreRestored(boot, era)
	fields["engines-kept"] = n.leases.Kept(boot)
	n.restoredAt = n.now()
	n.cancelPolls()
	clear(n.sentEntries)
	n.queueKnownOrigins(boot)
	close(n.storeRestored)
	n.storeRestored = make(chan struct{})
	n.mu.Unlock()
	n.log.WithFields(fields).Warn("store returned from a copy")
}

// restoreSignal returns a channel that is closed when the store returns from a copy.
func (n *Node) restoreSignal() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeRestored
}

// updateLeaseWait logs the begin and the end of the time in which no engines are taken over,
// as leases of earlier eras may be valid. Callers hold mu.
func (n *Node) updateLeaseWait(boot time.Duration) {
	waiting := !n.leases.Settled(boot)
	if waiting == n.leaseWait {
		return
	}
	n.leaseWait = waiting
	l := n.log.WithField("era", n.leases.Era())
	if waiting {
		l.WithField("longest-ms", n.leases.EraWait().Milliseconds()).Info("no engines are taken over while leases of an earlier era may be valid")
		return
	}
	l.Info("all leases of earlier eras have ended")
}

// recentlyRestored reports whether the store has returned from a copy within
// restoreReadPeriod.
func (n *Node) recentlyRestored() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.restoredAt.IsZero() && n.now().Sub(n.restoredAt) <= restoreReadPeriod
}

// isOld reports whether a version is of an earlier era than the store's.
func (n *Node) isOld(version uint64) bool {
	return chestnutstream.VersionEra(version) < n.store.Era()
}

// isAhead reports whether an update is of a later era than this instance's view of its table.
func (n *Node) isAhead(update instance.TableUpdate) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return chestnutstream.VersionEra(update.After) > chestnutstream.VersionEra(n.view(update.Table).version)
}

// newestEra returns the newest era of the versions in a message. Instances of earlier builds
// send none.
func newestEra(b instance.Bundle) uint64 {
	newest := b.ConfigRowVersion
	for _, u := range b.TableUpdates {
		newest = max(newest, u.To)
	}
	for _, r := range b.RemovedServers {
		newest = max(newest, r.RowVersion)
	}
	for _, rows := range [][]chestnutstream.TableRow{b.SoftwareRows, b.Servers, b.Versions} {
		for _, r := range rows {
			newest = max(newest, r.Version)
		}
	}
	return chestnutstream.VersionEra(newest)
}
