package fleet

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Timeouts of the list of servers.
const (
	// reappearTimeout is how long after the store's recovery an entry that expired
	// during its outage may take to come back. The platform names about two
	// seconds.
	reappearTimeout = 2200 * time.Millisecond
	// storeRecoveryWindow is how long after the store's recovery a missing entry
	// may have expired because of the outage rather than because the server left.
	// The first read after the recovery shows the entries that expired meanwhile.
	storeRecoveryWindow = time.Second
	// minExpiryHeartbeats is the least duration of an outage in which entries expire, in
	// heartbeats: they expire after three without a write.
	minExpiryHeartbeats = 2
)

// Entry is a decoded row of the platform's list of servers.
type Entry struct {
	Key        string
	RowVersion uint64
	Removed    bool
	Backend    chestnutstream.Backend
	Err        error // the row cannot be decoded: it names no server to use
}

// Change is a change in what the instance knows of a server.
type Change struct {
	Server     string
	What       string // "new", "restarted", "draining", "gone", "missing", "back", "unreadable", "changed", or a Change constant
	RowVersion uint64
	Err        error
	Limit      float64       // requests a second, from all instances
	Pause      time.Duration // the server's Retry-After
}

// RecordStoreFailure records that a read of the list from the store failed.
func (f *Fleet) RecordStoreFailure() { f.storeUnavailable = true }

// RecordStoreSuccess records that a read of the list succeeded. It is called before the
// rows of that read are applied.
func (f *Fleet) RecordStoreSuccess(now time.Time) {
	if f.storeUnavailable && now.Sub(f.storeReadAt) >= minExpiryHeartbeats*f.heartbeat {
		f.storeRecoveredAt = now
	}
	f.storeUnavailable, f.storeReadAt = false, now
}

// SetHeartbeat sets the interval at which servers write their entries. Until then failed
// reads of any duration count as an outage in which entries may have expired.
func (f *Fleet) SetHeartbeat(interval time.Duration) { f.heartbeat = interval }

// ApplySnapshot applies a snapshot of the list of servers, taken at a version of the
// store. Servers without an entry in it have left.
func (f *Fleet) ApplySnapshot(now time.Time, version uint64, entries []Entry) []Change {
	var changes []Change
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	for _, s := range f.Servers() {
		if !listed[s.ID] {
			changes = append(changes, f.entryMissing(now, s, version)...)
		}
	}
	f.snapshotVersion = 0 // its own entries are older than it
	changes = append(changes, f.ApplyUpdates(now, entries)...)
	f.snapshotVersion = version
	return changes
}

// ApplyUpdates applies updates of the list, in the store's order.
func (f *Fleet) ApplyUpdates(now time.Time, entries []Entry) []Change {
	var changes []Change
	for _, e := range entries {
		changes = append(changes, f.applyEntry(now, e)...)
	}
	if len(changes) > 0 {
		f.index()
	}
	return changes
}

// applyEntry applies one row of the list.
func (f *Fleet) applyEntry(now time.Time, e Entry) []Change {
	s := f.servers[e.Key]
	if s == nil && e.RowVersion <= max(f.removed[e.Key], f.snapshotVersion) {
		f.ignoredEntries++
		return nil // read before the server was removed
	}
	switch {
	case s != nil && e.RowVersion < s.RowVersion:
		f.ignoredEntries++
		return nil // an older read
	case s != nil && e.RowVersion == s.RowVersion && s.MissingSince.IsZero():
		return nil
	case e.Removed:
		if s == nil {
			return nil
		}
		return f.entryMissing(now, s, e.RowVersion)
	case e.Err != nil:
		c := Change{Server: e.Key, What: "unreadable", RowVersion: e.RowVersion, Err: e.Err}
		if s != nil {
			// A malformed or foreign row has replaced the server's entry. It gives no
			// information on the server, which stays as it is until its next entry.
			s.RowVersion = e.RowVersion
		}
		return []Change{c}
	case s == nil:
		f.servers[e.Key] = newServer(e.Backend, e.RowVersion)
		f.addListedAdapters(now, f.servers[e.Key])
		return append([]Change{{Server: e.Key, What: "new", RowVersion: e.RowVersion}}, f.applyLeaving(f.servers[e.Key])...)
	case e.Backend.Born != s.Born || e.Backend.Address != s.Address || e.Backend.Service != s.Service:
		if e.Backend.Born < s.Born {
			f.ignoredEntries++
			return nil // a late entry of an earlier start
		}
		restarted := newServer(e.Backend, e.RowVersion)
		restarted.InFlight = s.InFlight
		f.servers[e.Key] = restarted
		return append([]Change{{Server: e.Key, What: "restarted", RowVersion: e.RowVersion}}, f.applyLeaving(restarted)...)
	}
	return f.updateServer(s, e)
}

// updateServer applies a new entry of the same start of a server. A draining
// server does not become ready again.
func (f *Fleet) updateServer(s *Server, e Entry) []Change {
	var changes []Change
	if !s.MissingSince.IsZero() {
		s.MissingSince = time.Time{}
		changes = append(changes, Change{Server: s.ID, What: "back", RowVersion: e.RowVersion})
	}
	s.RowVersion, s.Misplaced = e.RowVersion, false
	if s.State == chestnutstream.BackendReady && e.Backend.State == chestnutstream.BackendDraining {
		s.State = chestnutstream.BackendDraining
		changes = append(changes, Change{Server: s.ID, What: "draining", RowVersion: e.RowVersion})
	}
	s.Models, s.Slots, s.Zone, s.Software = e.Backend.Models, e.Backend.Slots, e.Backend.Zone, e.Backend.Software
	return changes
}

// entryMissing handles the absence of a server's entry. Just after the store's
// recovery the entry may have expired although the server is alive. The server is
// then kept until reappearTimeout after the recovery; otherwise it is removed.
func (f *Fleet) entryMissing(now time.Time, s *Server, rowVersion uint64) []Change {
	s.RowVersion = max(s.RowVersion, rowVersion)
	if s.State == chestnutstream.BackendReady && !f.storeRecoveredAt.IsZero() && now.Sub(f.storeRecoveredAt) < storeRecoveryWindow {
		if !s.MissingSince.IsZero() {
			return nil
		}
		s.MissingSince = f.storeRecoveredAt
		return []Change{{Server: s.ID, What: "missing", RowVersion: rowVersion}}
	}
	f.remove(s)
	f.index()
	return []Change{{Server: s.ID, What: "gone", RowVersion: rowVersion}}
}

// MayBeIncomplete reports whether entries may have expired because the store was
// unavailable.
func (f *Fleet) MayBeIncomplete(now time.Time) bool {
	return f.storeUnavailable || (!f.storeRecoveredAt.IsZero() && now.Sub(f.storeRecoveredAt) < storeRecoveryWindow)
}

// IgnoredEntries returns the number of entries that were ignored since they are older than
// what is known.
func (f *Fleet) IgnoredEntries() uint64 { return f.ignoredEntries }

// maxRememberedServers bounds the records of removed and of leaving servers.
const maxRememberedServers = 4096

// remove deletes a server. Only the row version at which it was removed is
// remembered.
func (f *Fleet) remove(s *Server) {
	delete(f.servers, s.ID)
	if len(f.removed) >= maxRememberedServers {
		clear(f.removed)
	}
	f.removed[s.ID] = s.RowVersion
}

// Tick removes servers whose missing entries did not come back in time, and ends
// the exclusion of misplaced servers after misplacedTimeout.
func (f *Fleet) Tick(now time.Time) []Change {
	var changes []Change
	for _, s := range f.servers {
		if s.Misplaced && now.Sub(s.misplacedAt) > misplacedTimeout {
			s.Misplaced = false
		}
		if !s.MissingSince.IsZero() && now.Sub(s.MissingSince) > reappearTimeout {
			f.remove(s)
			changes = append(changes, Change{Server: s.ID, What: "gone", RowVersion: s.RowVersion})
		}
	}
	if len(changes) > 0 {
		f.index()
	}
	return changes
}
