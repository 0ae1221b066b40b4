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

// Changes of servers that leave.
const (
	ChangeDraining = "draining" // its entry says so
	ChangeGone     = "gone"     // its entry was removed
)

// Change is a change in what the instance knows of a server.
type Change struct {
	Server     string
	What       string // "new", "restarted", "missing", "back", "unreadable", "changed", or a Change constant
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

// RecordVersion records a version up to which the store was read. The entries up to the
// first one of an era may be from the copy that the store has returned from.
func (f *Fleet) RecordVersion(now time.Time, version uint64) {
	era, known := chestnutstream.VersionEra(version), chestnutstream.VersionEra(f.copyVersion)
	if era > known {
		f.recordRestore(now)
	}
	if era > known || (era == known && version < f.copyVersion) {
		f.copyVersion = version
	}
}

// recordRestore records that the store has returned from a copy, if servers were known
// before.
func (f *Fleet) recordRestore(now time.Time) {
	if len(f.servers) > 0 {
		f.storeRecoveredAt = now
	}
}

// mayBeCopied reports whether an entry may be from the copy that the store has returned
// from. It is then as old as that copy, and its server may have left since.
func (f *Fleet) mayBeCopied(e Entry) bool {
	era, known := chestnutstream.VersionEra(e.RowVersion), chestnutstream.VersionEra(f.copyVersion)
	return era > known || (era > 0 && era == known && e.RowVersion <= f.copyVersion)
}

// ApplySnapshot applies a snapshot of the list of servers, taken at a version of the
// store. Servers without an entry in it have left, or have registered since the copy was made
// that the store has returned from. A snapshot of an earlier era is ignored.
func (f *Fleet) ApplySnapshot(now time.Time, version uint64, entries []Entry) []Change {
	if chestnutstream.VersionEra(version) < chestnutstream.VersionEra(f.copyVersion) {
		f.ignoredEntries += uint64(len(entries))
		return nil
	}
	f.RecordVersion(now, version)
	if chestnutstream.VersionEra(version) > chestnutstream.VersionEra(f.snapshotVersion) {
		f.recordRestore(now)
	}
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
	if s == nil {
		return f.addServer(now, e)
	}
	switch {
	case e.RowVersion < s.RowVersion:
		f.ignoredEntries++
		return f.applyDraining(s, e)
	case e.RowVersion == s.RowVersion && s.MissingSince.IsZero():
		return nil
	case e.Removed:
		return f.entryMissing(now, s, e.RowVersion)
	case e.Err != nil:
		// A malformed or foreign row has replaced the server's entry. It gives no
		// information on the server, which stays as it is until its next entry.
		s.RowVersion = e.RowVersion
		return []Change{{Server: e.Key, What: "unreadable", RowVersion: e.RowVersion, Err: e.Err}}
	case f.mayBeCopied(e) && s.Born >= e.Backend.Born:
		return f.applyCopied(s, e)
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

// addServer applies an entry of a server that is not in the list.
func (f *Fleet) addServer(now time.Time, e Entry) []Change {
	r, wasRemoved := f.removed.get(e.Key)
	switch {
	case e.RowVersion <= max(r.version, f.snapshotVersion):
		f.ignoredEntries++
		return nil // read before the server was removed
	case e.Removed:
		return nil
	case e.Err != nil:
		return []Change{{Server: e.Key, What: "unreadable", RowVersion: e.RowVersion, Err: e.Err}}
	case wasRemoved && f.mayBeCopied(e) && e.Backend.Born <= r.born:
		f.ignoredEntries++
		return nil // copied before the server was removed
	}
	s := newServer(e.Backend, e.RowVersion)
	if r.drained && r.born == s.Born && s.Born > 0 {
		s.State = chestnutstream.BackendDraining
	}
	f.servers[e.Key] = s
	f.addListedAdapters(now, s)
	return append([]Change{{Server: e.Key, What: "new", RowVersion: e.RowVersion}}, f.applyLeaving(s)...)
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
	changes = append(changes, f.applyDraining(s, e)...)
	s.Models, s.Slots, s.Zone, s.Software = e.Backend.Models, e.Backend.Slots, e.Backend.Zone, e.Backend.Software
	return changes
}

// applyCopied applies an entry of a server that may be older than what is known of it.
// Whether the server still runs is for its next entry to say.
func (f *Fleet) applyCopied(s *Server, e Entry) []Change {
	s.RowVersion = e.RowVersion
	f.extendMissing(s)
	return f.applyDraining(s, e)
}

// extendMissing lets a missing entry come back within reappearTimeout after the store's
// latest recovery.
func (f *Fleet) extendMissing(s *Server) {
	if !s.MissingSince.IsZero() && f.storeRecoveredAt.After(s.MissingSince) {
		s.MissingSince = f.storeRecoveredAt
	}
}

// applyDraining sets a server to draining if an entry of the same start says so, however
// old the entry is: no later one can say that the server is ready again.
func (f *Fleet) applyDraining(s *Server, e Entry) []Change {
	if e.Removed || e.Err != nil || e.Backend.State != chestnutstream.BackendDraining || e.Backend.Born != s.Born || e.Backend.Address != s.Address {
		return nil
	}
	s.Listed = chestnutstream.BackendDraining
	if s.State != chestnutstream.BackendReady {
		return nil
	}
	s.State = chestnutstream.BackendDraining
	return []Change{{Server: s.ID, What: ChangeDraining, RowVersion: e.RowVersion}}
}

// entryMissing handles the absence of a server's entry. Just after the store's
// recovery the entry may have expired although the server is alive, and a store that has
// returned from a copy may never have had it. The server is then kept until reappearTimeout
// after the recovery; otherwise it is removed.
func (f *Fleet) entryMissing(now time.Time, s *Server, rowVersion uint64) []Change {
	s.RowVersion = max(s.RowVersion, rowVersion)
	if !s.MissingSince.IsZero() {
		f.extendMissing(s)
		return nil
	}
	if s.State == chestnutstream.BackendReady && !f.storeRecoveredAt.IsZero() && now.Sub(f.storeRecoveredAt) < storeRecoveryWindow {
		s.MissingSince = f.storeRecoveredAt
		return []Change{{Server: s.ID, What: "missing", RowVersion: rowVersion}}
	}
	f.remove(s)
	f.index()
	return []Change{{Server: s.ID, What: ChangeGone, RowVersion: rowVersion}}
}

// MayBeIncomplete reports whether entries may have expired because the store was
// unavailable.
func (f *Fleet) MayBeIncomplete(now time.Time) bool {
	return f.storeUnavailable || (!f.storeRecoveredAt.IsZero() && now.Sub(f.storeRecoveredAt) < storeRecoveryWindow)
}

// IgnoredEntries returns the number of entries that were ignored since they are older than
// what is known.
func (f *Fleet) IgnoredEntries() uint64 { return f.ignoredEntries }

// removedServer is what is remembered of a removed server.
type removedServer struct {
	version uint64 // of the row, or of the store, at which it was removed
	born    int64
	drained bool
}

func (f *Fleet) remove(s *Server) {
	delete(f.servers, s.ID)
	f.removed.put(s.ID, removedServer{version: s.RowVersion, born: s.Born, drained: s.State == chestnutstream.BackendDraining})
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
			changes = append(changes, Change{Server: s.ID, What: ChangeGone, RowVersion: s.RowVersion})
		}
	}
	if len(changes) > 0 {
		f.index()
	}
	return changes
}
