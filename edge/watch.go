package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Times of watching the store. Calls to the store are billed and its rate limits are
// shared by all instances.
const (
	operatorPollWait     = 15 * time.Second        // of a poll of the operator table on a follower, which also receives the changes from the zone's reader
	minServersInterval   = 1050 * time.Millisecond // between reads of the servers table, at least: its entries change all the time
	serversIntervalShare = 0.35                    // of the platform's time limit for draining servers: the interval, where that is longer than minServersInterval
	serversPollWait      = time.Second
	leasesInterval       = 3500 * time.Millisecond // between reads of the leases table: a failed lease holder is detected only after more than ten seconds anyway
	leasesPollWait       = time.Second
	watchRetryDelay      = 150 * time.Millisecond // after a failed read; doubles with each further failure
	maxWatchRetryDelay   = 900 * time.Millisecond
	startLeasesInterval  = 1200 * time.Millisecond // between reads of the leases table just after the start, until all instances that started together are known
	startLeasesPeriod    = 2500 * time.Millisecond // how long after the start that interval applies
	followDelay          = 1200 * time.Millisecond // after the start, before the instance relies on the readers of its zone
	startJitter          = 40 * time.Millisecond   // spreads the first reads of instances that start together
	// operatorPollShare is the share of the platform's time limit for applying a
	// configuration that a reader's poll of the operator table may last: the store may
	// hold a poll to the end of its wait although there are changes.
	operatorPollShare   = 0.5
	minOperatorPollWait = 250 * time.Millisecond // of a reader's poll, however short the time limit
	// operatorPauseShare is the share of that time limit for which a reader waits after the
	// second of two changes before it polls again: configurations written in quick succession then reach its
	// followers as one, instead of each occupying its link for a third of a second.
	operatorPauseShare = 1.0 / 12
	maxOperatorPause   = 250 * time.Millisecond // below maxViewAge, after which polls don't wait
	// quickSuccession is the time between two changes within which the reader pauses.
	quickSuccession = time.Second
)

// tableWatch describes how one table of the store is watched.
type tableWatch struct {
	table         string
	shared        bool          // in a zone of any size only its readers read it, and send its changes to the followers
	interval      time.Duration // between two reads
	startInterval time.Duration // between two reads just after the start; 0: no different interval
	wait          time.Duration // of a poll for changes
	followerWait  time.Duration // of a poll on a follower that also receives the reader's updates; 0: same as wait
	applySnapshot func(rows []chestnutstream.TableRow, version uint64)
	applyUpdate   func(rows []chestnutstream.TableRow)
}

func (n *Node) watches() []tableWatch {
	return []tableWatch{
		{
			table: platform.TableOperator, wait: n.operatorReaderWait(), followerWait: operatorPollWait,
			applySnapshot: func(rows []chestnutstream.TableRow, _ uint64) { n.applyOperatorRows(rows) }, applyUpdate: n.applyOperatorRows,
		},
		{
			table: platform.TableServers, shared: true, interval: n.serversInterval(), wait: serversPollWait,
			applySnapshot: func(rows []chestnutstream.TableRow, version uint64) { n.applyServerRows(rows, true, version) },
			applyUpdate:   func(rows []chestnutstream.TableRow) { n.applyServerRows(rows, false, 0) },
		},
		{
			table: lease.Table, shared: true, interval: leasesInterval, startInterval: startLeasesInterval, wait: leasesPollWait,
			applySnapshot: func(rows []chestnutstream.TableRow, version uint64) {
				n.applyLeaseRows(rows, true, version)
				n.recordLostSoftwareRows(rows, version)
			},
			applyUpdate: func(rows []chestnutstream.TableRow) { n.applyLeaseRows(rows, false, 0) },
		},
	}
}

// serversInterval returns the time between reads of the servers table.
func (n *Node) serversInterval() time.Duration {
	return max(minServersInterval, time.Duration(serversIntervalShare*float64(n.cfg.DrainBound)))
}

// readerTimeout returns how long an instance waits for an update from the table's
// reader before it reads the table itself.
func (w tableWatch) readerTimeout() time.Duration {
	if w.interval > 0 {
		return w.interval + followerSlack
	}
	return w.wait + followerSlack
}

// follows reports whether this instance, up for the given time, is to wait for the
// updates of the table's readers instead of reading the table itself. It reads the
// leases itself until all instances that started together are known, and the tables with
// rows of servers and instances after the store has returned from a copy.
func (n *Node) follows(w tableWatch, up time.Duration) bool {
	switch {
	case up <= followDelay, w.startInterval > 0 && up <= startLeasesPeriod:
		return false
	case w.shared && n.recentlyRestored():
		return false
	case w.shared:
		return true
	}
	_, all := n.zoneReaders(w.table)
	return len(all) >= readersOnlyZoneSize
}

// operatorReaderWait returns how long a reader's poll of the operator table may
// last.
func (n *Node) operatorReaderWait() time.Duration {
	wait := time.Duration(operatorPollShare * float64(n.cfg.ConfigApplyBound))
	return min(max(wait, minOperatorPollWait), operatorPollWait)
}

// feed is the state of the loop that watches a table.
type feed struct {
	tableWatch
	version      uint64
	synced       bool          // all of the table is known up to version
	inSuccession bool          // the latest read brought a change soon after an earlier one
	changeAt     time.Time     // of the latest read that brought changes
	pause        time.Duration // before the next read, for which it waits the less
	failures     int           // of the latest reads
}

// watch reads a snapshot of a table, then its changes, until the node stops. After the
// store has returned from a copy it takes a new snapshot.
func (n *Node) watch(w tableWatch) {
	n.sleep(rand.N(startJitter))
	start := n.now()
	f := &feed{tableWatch: w}
	for n.ctx.Err() == nil {
		restored := n.restoreSignal()
		if f.synced && n.isOld(f.version) {
			f.synced = false
			n.sleep(rand.N(startJitter))
		}
		up := n.now().Sub(start)
		if f.synced && n.follows(w, up) {
			if updated, ok := n.awaitUpdate(w, f.version, restored); ok {
				f.version = updated
				continue
			}
			if n.isOld(f.version) {
				continue
			}
		}
		if n.read(f) {
			f.pause = n.pauseAfterRead(f, up)
			n.sleepUntil(restored, f.pause)
		}
	}
}

// read reads a snapshot of the table or its changes, and applies it. It reports false if
// the table is to be read again at once.
func (n *Node) read(f *feed) bool {
	after, readAt := f.version, n.now()
	var rows []chestnutstream.TableRow
	var version uint64
	var err error
	if f.synced {
		rows, version, readAt, err = n.pollChanges(f, after)
	} else {
		rows, version, err = n.store.Rows(n.ctx, f.table)
	}
	if n.ctx.Err() != nil {
		return false
	}
	if err != nil {
		n.handleReadError(f, err)
		return false
	}
	f.version, f.failures, f.inSuccession = version, 0, false
	if len(rows) > 0 {
		f.inSuccession, f.changeAt = readAt.Sub(f.changeAt) < quickSuccession, readAt
	}
	if f.table == platform.TableOperator {
		rows = newestRows(rows)
	}
	n.recordStoreResponse(f.table)
	if f.synced {
		f.applyUpdate(rows)
		n.sendToFollowers(f.tableWatch, after, version, rows, readAt)
	} else {
		f.applySnapshot(rows, version)
		f.synced = true
		if after > 0 && chestnutstream.VersionEra(after) < chestnutstream.VersionEra(version) {
			n.sendToFollowers(f.tableWatch, version, version, nil, readAt) // states the new era
		}
	}
	n.recordRead(f.table, version, readAt)
	n.wakeControl()
	return true
}

// handleReadError prepares the next read after a failed one, and waits until it may begin.
func (n *Node) handleReadError(f *feed, err error) {
	switch {
	case errors.Is(err, chestnutstream.ErrHistoryLost):
		f.synced = false
		if !n.isOld(f.version) {
			n.log.WithField("table", f.table).WithField("after", f.version).Warn("store has dropped the history after this version; reading a new snapshot")
		}
	case errors.Is(err, context.Canceled): // the store became unavailable or available during the poll
	default:
		back := n.recordStoreFailure(f.table, err)
		n.sleepUntil(back, min(watchRetryDelay<<min(f.failures, 4), maxWatchRetryDelay))
		f.failures++
	}
}

// pauseAfterRead returns the time until the next read of a table. The leases are read
// more often just after the start, and after the store has returned from a copy. A reader
// that passes changes of the operator table on pauses after those in quick succession.
func (n *Node) pauseAfterRead(f *feed, up time.Duration) time.Duration {
	if f.startInterval > 0 && (up < startLeasesPeriod || n.recentlyRestored()) {
		return f.startInterval
	}
	if f.table == platform.TableOperator && f.inSuccession && n.follows(f.tableWatch, up) {
		return min(time.Duration(operatorPauseShare*float64(n.cfg.ConfigApplyBound)), maxOperatorPause)
	}
	return n.intervalAfterRead(f.tableWatch)
}

// intervalAfterRead returns the time until the next read of a table. Around a store
// outage entries of servers expire and return, so the servers table is then read at
// the shortest interval.
func (n *Node) intervalAfterRead(w tableWatch) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w.table == platform.TableServers && n.fleet.MayBeIncomplete(n.now()) {
		return minServersInterval
	}
	return w.interval
}

// pollChanges reads the changes of a table after a version. readAt is as of when the table
// is known then: the end of a poll that may wait, as the store returns changes as soon as
// there are any, and else the start. On failure the version is unchanged.
func (n *Node) pollChanges(f *feed, after uint64) (rows []chestnutstream.TableRow, version uint64, readAt time.Time, err error) {
	w := f.tableWatch
	wait := n.pollWait(w)
	if w.table == platform.TableOperator && wait > f.pause { // followers expect the next update in time
		wait -= f.pause
	}
	ctx, done := n.pollContext(w, wait)
	defer done()
	start := n.now()
	rows, version, err = n.readChanges(ctx, w.table, after, wait)
	if err != nil {
		return nil, after, start, err
	}
	end := n.now()
	n.reportOverduePoll(w.table, after, end.Sub(start), wait, rows)
	if readAt = start; wait > 0 {
		readAt = end
	}
	return rows, max(version, after), readAt, nil
}

// poll is a long poll in progress.
type poll struct {
	watch  tableWatch
	wait   time.Duration
	cancel context.CancelFunc
}

// pollContext returns the context of a poll. It is cancelled when the store becomes
// unavailable or available again: the store never responds to calls that it accepted
// during an outage, and such a poll would miss changes until its wait ends.
func (n *Node) pollContext(w tableWatch, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(n.ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.polls[w.table] = poll{watch: w, wait: wait, cancel: cancel}
	return ctx, func() {
		cancel()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.polls, w.table)
	}
}

// cancelPolls cancels the polls in progress. Callers hold mu.
func (n *Node) cancelPolls() {
	for _, p := range n.polls {
		p.cancel()
	}
}

func (n *Node) sleep(d time.Duration) { timer.Sleep(n.ctx, d) }

// sleepUntil waits until done is closed, for d at most.
func (n *Node) sleepUntil(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-n.ctx.Done():
	case <-t.C:
	}
}

// recordStoreFailure records that a read of the store failed. It returns a channel that is
// closed when another read succeeds.
func (n *Node) recordStoreFailure(table string, err error) (back <-chan struct{}) {
	n.mu.Lock()
	now := n.now()
	n.view(table).failedAt = now
	if table == platform.TableServers {
		n.fleet.RecordStoreFailure()
	}
	first := !n.storeState.down
	if first {
		n.storeState, n.storeBack = dependency{down: true, since: now}, make(chan struct{})
		n.cancelPolls()
	}
	back = n.storeBack
	n.mu.Unlock()
	if first {
		n.log.WithError(err).WithField("table", table).Warn("store unavailable")
	}
	return back
}

// recordStoreResponse records that the store responded to a read of a table, or to a write of
// the own lease.
func (n *Node) recordStoreResponse(table string) {
	n.mu.Lock()
	old := n.storeState
	n.storeState = dependency{}
	if old.down {
		close(n.storeBack)
		n.cancelPolls()
		clear(n.sentEntries) // entries expire and return around an outage: all are sent again
	}
	if table == platform.TableServers {
		n.fleet.RecordStoreSuccess(n.now())
	}
	n.mu.Unlock()
	if old.down {
		n.log.WithField("away-ms", n.now().Sub(old.since).Milliseconds()).Info("store available again")
	}
}

// applyOperatorRows applies rows of the operator table: the configuration and
// declared adapter versions.
func (n *Node) applyOperatorRows(rows []chestnutstream.TableRow) {
	for _, r := range rows {
		if r.Removed {
			continue // a configuration or version that was accepted is not revoked
		}
		if r.Key == platform.KeyConfig {
			n.adoptConfig(r.Value, r.Version, "store")
			continue
		}
		n.declareVersion(r.Key, r.Value, r.Version)
	}
}

// adoptConfig puts a configuration in force if its version is newer.
func (n *Node) adoptConfig(value []byte, rowVersion uint64, from string) {
	t, err := platform.DecodeRouteTable(value)
	if err != nil {
		if l, ok := n.rowProblem(platform.TableOperator, platform.KeyConfig, err); ok {
			l.WithField("row", rowVersion).Error("configuration rejected")
		}
		return
	}
	n.mu.Lock()
	old := n.routes.Load()
	if old != nil && old.Version >= t.Version {
		n.mu.Unlock()
		return
	}
	n.routes.Store(t)
	n.setKVCapacities(old, t)
	for _, e := range n.loaders {
		if spec := n.engineSpec(e.Server.Service); spec != nil {
			e.SetSpec(n.boot(), *spec)
		}
	}
	n.versions.SetRetention(streamRetention(t))
	n.origins.SetRetention(streamRetention(t))
	n.rows.config, n.rows.configRowVersion = value, rowVersion
	n.mu.Unlock()
	n.log.WithFields(log.Fields{"version": t.Version, "row": rowVersion, "routes": t.Routes(), "from": from}).Info("configuration in force")
	n.logWorkspaces(old, t)
	n.quotas.notify()
	n.wakeControl()
}

func (n *Node) declareVersion(key string, value []byte, rowVersion uint64) {
	target, version, ok, err := platform.DecodeAdapterVersion(key, value)
	if err != nil {
		if l, ok := n.rowProblem(platform.TableOperator, key, err); ok {
			l.WithField("row", rowVersion).Warn("adapter version declaration rejected")
		}
		return
	}
	if !ok {
		return
	}
	n.mu.Lock()
	n.fleet.DeclareVersion(target, version)
	old := n.rows.versions[key]
	if _, known, _, err := platform.DecodeAdapterVersion(key, old.Value); err != nil || known <= version {
		n.rows.versions[key] = chestnutstream.TableRow{Key: key, Value: value, Version: max(rowVersion, old.Version)}
	}
	n.mu.Unlock()
	n.log.WithFields(log.Fields{"adapter": target.String(), "version": version, "row": rowVersion}).Info("adapter version declared")
}

// applyLeaseRows applies rows of the leases table: a snapshot as of version, or changes.
func (n *Node) applyLeaseRows(rows []chestnutstream.TableRow, snapshot bool, version uint64) {
	n.mu.Lock()
	boot := n.boot()
	var err error
	if snapshot {
		err = n.leases.ApplySnapshot(boot, lease.Snapshot{Rows: rows, Version: version, NowMS: n.store.Clock().Milliseconds()})
	} else {
		err = n.leases.ApplyUpdates(boot, rows)
	}
	near, far := n.neighbours(boot)
	n.regionInstances = len(near) + 1
	for _, b := range n.budgets {
		b.SetInstances(n.leases.Instances(boot))
	}
	n.mu.Unlock()
	if err != nil {
		n.logForeignRow(lease.Table, "", err)
	}
	if len(far) > 0 {
		n.mesh.Drop(far)
	}
	for _, h := range near {
		n.mesh.Add(instance.Member{Name: h.Name, Address: h.Address, Zone: h.Zone})
	}
	n.logSameName(n.updateSameName(near))
	n.applyVerdictRows(rows, snapshot)
	n.applySoftwareRows(rows)
}

// neighbours returns the instances that this one exchanges messages with, and the
// addresses of the others. Messages stay within a region, so that their number does
// not grow with the whole deployment. Only instances of a region without engines
// exchange messages with all others, as the engines that they use are in other regions.
// Callers hold mu.
func (n *Node) neighbours(boot time.Duration) (near []lease.Holder, far map[string]bool) {
	engines := map[string]bool{} // regions that have any
	for _, s := range n.fleet.Servers() {
		if n.engineSpec(s.Service) != nil {
			engines[n.cfg.Regions[s.Zone]] = true
		}
	}
	far = map[string]bool{}
	for _, h := range n.leases.Holders(boot) {
		if n.cfg.SameRegion(h.Zone) || !engines[n.cfg.Regions[n.cfg.Zone]] || !engines[n.cfg.Regions[h.Zone]] {
			near = append(near, h)
		} else {
			far[h.Address] = true
		}
	}
	return near, far
}
