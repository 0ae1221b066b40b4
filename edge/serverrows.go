package edge

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
)

// decodeServerEntries decodes rows of the servers table.
func decodeServerEntries(rows []chestnutstream.TableRow) []fleet.Entry {
	entries := make([]fleet.Entry, 0, len(rows))
	for _, r := range rows {
		e := fleet.Entry{Key: r.Key, RowVersion: r.Version, Removed: r.Removed}
		if !r.Removed {
			e.Backend, e.Err = platform.DecodeBackend(r.Key, r.Value)
		}
		entries = append(entries, e)
	}
	return entries
}

// applyServerRows applies rows of the servers table that this instance has read: a
// snapshot as of version, or changes. The servers that leave are sent to the other instances.
func (n *Node) applyServerRows(rows []chestnutstream.TableRow, snapshot bool, version uint64) {
	n.mu.Lock()
	changes := n.updateServers(rows, func(now time.Time, entries []fleet.Entry) []fleet.Change {
		if snapshot {
			return n.fleet.ApplySnapshot(now, version, entries)
		}
		return n.fleet.ApplyUpdates(now, entries)
	})
	n.broadcastLeaving(changes)
	view := n.viewAge(platform.TableServers)
	n.mu.Unlock()
	n.logServerChanges(changes, sourceStore, view)
}

// applyServerUpdate applies a reader's update of the servers table.
func (n *Node) applyServerUpdate(update instance.TableUpdate) {
	n.mu.Lock()
	changes := n.updateServers(update.Rows, n.fleet.ApplyUpdates)
	view := n.viewAge(platform.TableServers)
	n.mu.Unlock()
	n.logServerChanges(changes, update.From, view)
}

// applyServersAfter applies a reader's update of the servers table in an era in which it has
// not been read here.
func (n *Node) applyServersAfter(update instance.TableUpdate) {
	n.mu.Lock()
	changes := n.updateServers(update.Rows, func(now time.Time, entries []fleet.Entry) []fleet.Change {
		n.fleet.RecordVersion(now, update.After)
		return n.fleet.ApplyUpdates(now, entries)
	})
	view := n.viewAge(platform.TableServers)
	n.mu.Unlock()
	n.logServerChanges(changes, update.From, view)
}

// updateServers applies rows of the servers table. apply is called with their entries.
// Callers hold mu.
func (n *Node) updateServers(rows []chestnutstream.TableRow, apply func(now time.Time, entries []fleet.Entry) []fleet.Change) []fleet.Change {
	entries := decodeServerEntries(rows)
	now := n.now()
	changes := apply(now, entries)
	for i, r := range rows {
		n.cacheServerRow(r, entries[i].Err)
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_entries_ignored_total`).Set(n.fleet.IgnoredEntries())
	n.handleServerChanges(changes)
	n.observeSoftware()
	return changes
}

// cacheServerRow keeps a row of the servers table for other instances. err is the error of
// its decoding. Callers hold mu.
func (n *Node) cacheServerRow(r chestnutstream.TableRow, err error) {
	s := n.fleet.Server(r.Key)
	switch {
	case s == nil || r.Removed:
		delete(n.rows.servers, r.Key)
	case err == nil && r.Version >= n.rows.servers[r.Key].Version:
		n.rows.servers[r.Key] = r
	}
}

// handleServerChanges removes the loaders of servers that departed or restarted, and
// fails the requests that wait for servers that departed, restarted or drain. Callers
// hold mu.
func (n *Node) handleServerChanges(changes []fleet.Change) {
	for _, c := range changes {
		switch c.What {
		case fleet.ChangeGone, "restarted":
			n.removeLoader(c.Server)
			n.leases.ForgetServer(c.Server)
			n.failServerWaits(c.Server, "server "+c.What)
			delete(n.slotGrants, c.Server)
			delete(n.unusedGrants, c.Server)
			if c.What == fleet.ChangeGone {
				delete(n.rows.servers, c.Server)
			}
		case fleet.ChangeDraining, fleet.ChangeLeaving:
			n.failServerWaits(c.Server, "server draining")
		}
	}
}
