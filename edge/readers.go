package edge

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// A few instances of each availability zone, the readers, read the store for all: calls
// to the store are billed, and if every instance read for itself, what is read would
// grow with the number of instances times that of the servers. All entries of the
// servers change once a second, so only those with relevant changes are sent to the
// followers. In small zones every instance also polls the operator table itself, with a
// long wait while it receives the reader's updates: its own poll brings a change at
// once, and the reader's updates bound the delay. In larger zones only the readers poll
// it.
const (
	fullUpdateInterval = 16 * time.Second // between updates with all entries that were read, in case an instance has missed one
	// Instances per reader. The servers table has fewer, since all its entries together
	// are hundreds of kilobytes for each instance, and links are as slow as 10 Mbit/s.
	instancesPerReader        = 40
	instancesPerServersReader = 12
	// readersOnlyZoneSize is the least number of instances of a zone in which only the
	// readers poll the operator table: each change would end the polls of all.
	readersOnlyZoneSize = 6
	followerSlack       = 350 * time.Millisecond // beyond the interval of the reads, until an instance that received no update reads the table itself
	maxQueuedUpdates    = 8                      // per table; further updates are dropped
)

// zoneReaders returns the instances that read a table for this zone, and all connected
// instances of the zone, both in an order that is the same on every instance.
func (n *Node) zoneReaders(table string) (readers, all []string) {
	n.mu.Lock()
	if n.draining.Load() == nil {
		all = append(all, n.id)
	}
	for name, p := range n.peers {
		if p.member.Zone == n.cfg.Zone && !p.draining {
			all = append(all, name)
		}
	}
	n.mu.Unlock()
	all = slices.DeleteFunc(all, func(name string) bool { return name != n.id && !n.mesh.Connected(name) })
	rank := func(name string) uint64 { return xxhash.Sum64String(table + "\x00" + name) }
	sort.Slice(all, func(i, j int) bool { return rank(all[i]) < rank(all[j]) })
	return all[:readerCount(table, len(all))], all
}

// readerCount returns how many of a zone's instances read a table.
func readerCount(table string, instances int) int {
	perReader := instancesPerReader
	if table == platform.TableServers {
		perReader = instancesPerServersReader
	}
	return (instances + perReader - 1) / perReader
}

// awaitUpdate waits for a reader's update of a table and applies it. It returns the
// version up to which the table is now known. It reports false when this instance is to
// read the table itself: it is a reader, the readers do not send updates, an update was
// missed or is of an earlier era, or the store has returned from a copy.
func (n *Node) awaitUpdate(w tableWatch, version uint64, restored <-chan struct{}) (uint64, bool) {
	readers, _ := n.zoneReaders(w.table)
	if slices.Contains(readers, n.id) || len(readers) == 0 {
		return version, false
	}
	if w.table == platform.TableServers {
		n.mu.Lock()
		clear(n.sentEntries) // another reader sends the updates now, and what it sends is not recorded here
		n.mu.Unlock()
	}
	n.mu.Lock()
	wait := n.view(w.table).updateTimeout(n.now(), w)
	n.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return version, false
		case <-timeout.C:
			return version, false
		case <-restored:
			return version, false
		case update := <-n.updates[w.table]:
			if update.After > version {
				return version, false // an update was missed
			}
			if chestnutstream.VersionEra(update.To) < chestnutstream.VersionEra(version) {
				return version, false // the reader does not know that the store has returned from a copy
			}
			if update.To < version {
				continue
			}
			n.applyReaderUpdate(w, update)
			n.cancelUnansweredPolls()
			n.wakeControl()
			return max(version, update.To), true
		}
	}
}

// applyReaderUpdate applies a reader's update. It shows that the store was available when the
// reader read it, also to an instance whose own last read failed before that.
func (n *Node) applyReaderUpdate(w tableWatch, update instance.TableUpdate) {
	n.mu.Lock()
	if w.table == platform.TableServers && update.ReadAt.After(n.view(w.table).failedAt) {
		n.fleet.RecordStoreSuccess(update.ReadAt)
	}
	n.mu.Unlock()
	if w.table == platform.TableServers {
		n.applyServerUpdate(update)
	} else {
		w.applyUpdate(update.Rows)
	}
	n.recordUpdate(update)
}

// cancelUnansweredPolls cancels the polls in progress if the store is unavailable to
// this instance while another one reads it: the store may have accepted the polls while
// it was unresponsive, and then never responds to them.
func (n *Node) cancelUnansweredPolls() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeState.down {
		n.cancelPolls()
	}
}

// sendToFollowers sends the changes that this instance has read at readAt to its followers.
func (n *Node) sendToFollowers(w tableWatch, after, to uint64, rows []chestnutstream.TableRow, readAt time.Time) {
	readers, all := n.zoneReaders(w.table)
	index := slices.Index(readers, n.id)
	if index < 0 {
		return
	}
	if w.table == platform.TableServers {
		rows = n.changedEntries(rows)
	}
	update := instance.TableUpdate{Table: w.table, After: after, To: to, Rows: rows, ReadAt: readAt}
	for i, name := range all[len(readers):] {
		if i%len(readers) == index {
			n.mesh.Send(name, func(b *instance.Bundle) { b.TableUpdates = appendUpdate(b.TableUpdates, update) })
		}
	}
}

// newestRows returns the newest row of each key of the operator table. An earlier one has
// no effect beside it, and twenty configurations of 18 KB for each of 23 followers occupy a
// link of 10 Mbit/s for seven seconds.
func newestRows(rows []chestnutstream.TableRow) []chestnutstream.TableRow {
	last := make(map[string]int, len(rows))
	for i, r := range rows {
		last[r.Key] = i
	}
	if len(last) == len(rows) {
		return rows
	}
	newest := make([]chestnutstream.TableRow, 0, len(last))
	for i, r := range rows {
		if last[r.Key] == i {
			newest = append(newest, r)
		}
	}
	return newest
}

// appendUpdate appends an update to those that wait for a busy link. Of the operator table,
// which changes by whole configurations, those that follow one another become one.
func appendUpdate(pending []instance.TableUpdate, update instance.TableUpdate) []instance.TableUpdate {
	for i, p := range pending {
		if p.Table != update.Table || p.Table != platform.TableOperator || p.To != update.After {
			continue
		}
		update.After, update.Rows = p.After, newestRows(slices.Concat(p.Rows, update.Rows))
		pending[i] = update
		return pending
	}
	return append(pending, update)
}

// entryDigest is the part of a server's entry whose changes are sent to followers: all
// but the adapters, which the engine's owner reports.
type entryDigest struct {
	born             int64
	service, address string
	zone, software   string
	slots            int
	state            chestnutstream.BackendState
	models           string
}

// digestEntry returns the digest of a server's latest entry. What else is known of its state
// is not in it: followers may not know that.
func digestEntry(s *fleet.Server) entryDigest {
	b := s.Backend
	e := entryDigest{born: b.Born, service: b.Service, address: b.Address, zone: b.Zone, software: b.Software, slots: b.Slots, state: s.Listed}
	for _, m := range b.Models {
		e.models += fmt.Sprintf("%s@%d ", m.Name, m.Version)
	}
	return e
}

// changedEntries returns the rows that followers need: those of servers whose digest has
// changed since it was last sent, and every fullUpdateInterval all rows. Of a changed
// server it returns all rows, as a late entry may follow the one with the change.
func (n *Node) changedEntries(rows []chestnutstream.TableRow) []chestnutstream.TableRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	sendAll := now.Sub(n.allSentAt) >= fullUpdateInterval
	if sendAll {
		n.allSentAt = now
	}
	changed, removed := map[string]bool{}, map[string]bool{}
	for _, r := range rows {
		changed[r.Key] = changed[r.Key] || r.Removed || sendAll
		removed[r.Key] = removed[r.Key] || r.Removed
	}
	for key := range changed {
		s := n.fleet.Server(key)
		if s == nil {
			// Entries that name no server are sent once, and not with all entries.
			old, ok := n.sentEntries[key]
			changed[key] = removed[key] || !ok || old != entryDigest{}
			n.sentEntries[key] = entryDigest{}
			if removed[key] {
				delete(n.sentEntries, key)
			}
			continue
		}
		e := digestEntry(s)
		if old, ok := n.sentEntries[key]; !ok || old != e {
			changed[key] = true
		}
		n.sentEntries[key] = e
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r chestnutstream.TableRow) bool { return !changed[r.Key] })
}

// handleUpdate queues a reader's update for the loop that watches the table. When the
// queue is full the update is dropped, and the loop reads the table itself. Changes of
// the operator table are applied at once, as instances of small zones also poll it
// themselves, and those of the servers in an era in which this instance has not read
// them yet: it may not reach the store.
func (n *Node) handleUpdate(update instance.TableUpdate) {
	switch {
	case update.Table == platform.TableOperator:
		n.applyOperatorRows(update.Rows)
		n.recordUpdate(update)
	case update.Table == platform.TableServers && n.isAhead(update):
		n.applyServersAfter(update)
	}
	select {
	case n.updates[update.Table] <- update:
	default:
	}
}
