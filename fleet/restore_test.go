package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// inEra returns an entry with its version in an era.
func inEra(era uint64, e Entry) Entry {
	e.RowVersion = chestnutstream.RowVersion(era, e.RowVersion)
	return e
}

func bornAt(born int64) func(*chestnutstream.Backend) {
	return func(b *chestnutstream.Backend) { b.Born = born }
}

// A store that has returned from a copy lacks what was written since, and has rows of
// servers that have left.
func TestRestoredStore(t *testing.T) {
	const era = 2
	removed := func(row uint64) Entry { return Entry{Key: "a", RowVersion: row, Removed: true} }
	tests := []struct {
		name   string
		before []Entry // in the era before, after entry a of row 50
		copied []Entry // in the snapshot of the new era, of version 40
		later  []Entry // read in the new era after it
		wait   time.Duration
		usable []string
	}{
		{"in the copy", nil, []Entry{entry("a", 30)}, nil, time.Minute, []string{"a"}},
		{"not in the copy", nil, nil, nil, time.Second, []string{"a"}},
		{"not in the copy, and does not come back", nil, nil, nil, time.Minute, nil},
		{"not in the copy, and comes back", nil, nil, []Entry{entry("a", 41)}, time.Minute, []string{"a"}},
		{"in the copy, and expires there", nil, []Entry{entry("a", 30)}, []Entry{removed(41)}, time.Second, []string{"a"}},
		{"writes again with a lower number", nil, []Entry{entry("a", 30)}, []Entry{entry("a", 41, draining)}, time.Second, nil},
		{"draining", []Entry{entry("a", 60, draining)}, []Entry{entry("a", 30)}, nil, time.Second, nil},
		{"draining, and not in the copy", []Entry{entry("a", 60, draining)}, nil, []Entry{entry("a", 41)}, time.Second, nil},
		{"draining, and ready again", []Entry{entry("a", 60, draining)}, []Entry{entry("a", 30)}, []Entry{entry("a", 41)}, time.Second, nil},
		{"draining, and restarted", []Entry{entry("a", 60, draining)}, []Entry{entry("a", 30)}, []Entry{entry("a", 41, bornAt(2))}, time.Second, []string{"a"}},
		{"gone", []Entry{removed(60)}, []Entry{entry("a", 30)}, nil, time.Second, nil},
		{"gone, and the copy is read again", []Entry{removed(60)}, []Entry{entry("a", 30)}, []Entry{entry("a", 30)}, time.Second, nil},
		{"gone, and writes again", []Entry{removed(60)}, []Entry{entry("a", 30)}, []Entry{entry("a", 41)}, time.Second, []string{"a"}},
		{"drained and gone, and ready again", []Entry{entry("a", 60, draining), removed(61)}, []Entry{entry("a", 30)}, []Entry{entry("a", 41)}, time.Second, nil},
		{"restarted and gone", []Entry{entry("a", 60, bornAt(2)), removed(61)}, []Entry{entry("a", 30)}, nil, time.Second, nil},
		{"restarted", []Entry{entry("a", 60, bornAt(2), draining)}, []Entry{entry("a", 30)}, nil, time.Second, nil},
		{"first start gone, the second one in the copy", []Entry{removed(60)}, []Entry{entry("a", 30, bornAt(2))}, nil, time.Second, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet()
			f.ApplySnapshot(start, chestnutstream.RowVersion(era-1, 55), []Entry{inEra(era-1, entry("a", 50))})
			for _, e := range tt.before {
				f.ApplyUpdates(start, []Entry{inEra(era-1, e)})
			}
			now := start.Add(time.Minute)
			apply := func(entries []Entry) (out []Entry) {
				for _, e := range entries {
					out = append(out, inEra(era, e))
				}
				return out
			}
			f.ApplySnapshot(now, chestnutstream.RowVersion(era, 40), apply(tt.copied))
			f.ApplyUpdates(now, apply(tt.later))
			f.Tick(now.Add(tt.wait))
			assert.DeepEqual(t, usable(f), tt.usable)
		})
	}
}

// Entries that an instance of the era before passes on add and remove nothing, but the
// leaving of a start that is known counts.
func TestEntriesOfAnEarlierEra(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, chestnutstream.RowVersion(2, 40), []Entry{inEra(2, entry("a", 30)), inEra(2, entry("b", 31)), inEra(2, entry("c", 32))})
	f.ApplyUpdates(start, []Entry{
		inEra(1, Entry{Key: "a", RowVersion: 90, Removed: true}), inEra(1, entry("b", 91, draining)),
		inEra(1, entry("c", 92, bornAt(7), draining)), inEra(1, entry("d", 93)),
	})
	assert.DeepEqual(t, usable(f), []string{"a", "c"})
	f.ApplySnapshot(start, chestnutstream.RowVersion(1, 99), nil)
	assert.DeepEqual(t, usable(f), []string{"a", "c"})
}

// Another instance may pass on entries of an era before this one has read the store in it.
// Which of them were copied is not known then.
func TestEntriesOfALaterEra(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, chestnutstream.RowVersion(1, 10), []Entry{inEra(1, entry("a", 5)), inEra(1, entry("b", 6)), inEra(1, entry("c", 7))})
	f.ApplyUpdates(start, []Entry{inEra(1, Entry{Key: "a", RowVersion: 11, Removed: true}), inEra(1, entry("b", 12, draining))})
	f.ApplyUpdates(start, []Entry{inEra(2, entry("a", 90)), inEra(2, entry("b", 91)), inEra(2, entry("c", 92, draining)), inEra(2, entry("d", 93))})
	assert.DeepEqual(t, usable(f), []string{"d"})
	f.RecordVersion(start, chestnutstream.RowVersion(2, 90)) // a reader has read the changes after this version
	f.ApplyUpdates(start, []Entry{inEra(2, entry("a", 91))})
	assert.DeepEqual(t, usable(f), []string{"a", "d"})
	later := start.Add(time.Minute)
	f.ApplySnapshot(later, chestnutstream.RowVersion(2, 95), []Entry{inEra(2, entry("a", 91))})
	assert.DeepEqual(t, usable(f), []string{"a", "d"}) // d is missing
	f.ApplyUpdates(later, []Entry{inEra(2, Entry{Key: "a", RowVersion: 96, Removed: true})})
	f.Tick(later.Add(time.Minute))
	assert.DeepEqual(t, usable(f), []string(nil))
}

// Guards against a second snapshot of an era whose entries are taken for copied ones.
func TestWrittenEntriesOfLaterSnapshots(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, chestnutstream.RowVersion(1, 10), []Entry{inEra(1, entry("a", 5))})
	f.ApplyUpdates(start, []Entry{inEra(1, Entry{Key: "a", RowVersion: 11, Removed: true})})
	f.ApplySnapshot(start, chestnutstream.RowVersion(2, 9), []Entry{inEra(2, entry("a", 5))})
	assert.DeepEqual(t, usable(f), []string(nil))
	f.ApplySnapshot(start, chestnutstream.RowVersion(2, 20), []Entry{inEra(2, entry("a", 15))})
	assert.DeepEqual(t, usable(f), []string{"a"})
}

// Guards against facts of the copy that replace later ones.
func TestCopiedEntriesChangeNoKnownServer(t *testing.T) {
	f := newFleet()
	now := start
	f.ApplySnapshot(now, chestnutstream.RowVersion(1, 10), []Entry{inEra(1, entry("a", 5, func(b *chestnutstream.Backend) { b.Slots = 9 }))})
	f.RecordMisplaced(now, "a")
	f.ApplySnapshot(now, chestnutstream.RowVersion(2, 8), []Entry{inEra(2, entry("a", 4, func(b *chestnutstream.Backend) { b.Address = "earlier:1" }))})
	s := f.Server("a")
	assert.Assert(t, s.Slots == 9 && s.Address == "a:1" && s.Misplaced && s.RowVersion == chestnutstream.RowVersion(2, 4))
	f.ApplyUpdates(now, []Entry{inEra(2, entry("a", 9, func(b *chestnutstream.Backend) { b.Slots = 10 }))})
	assert.Assert(t, s.Slots == 10 && s.Usable())
}

// A server that the store lacks after one restore has the full time to come back after the
// next one, whether the second copy has it or not.
func TestMissingServersOverTwoRestores(t *testing.T) {
	for _, copied := range [][]Entry{nil, {inEra(3, entry("a", 5))}} {
		f := newFleet()
		f.ApplySnapshot(start, chestnutstream.RowVersion(1, 10), []Entry{inEra(1, entry("a", 5))})
		f.ApplySnapshot(start, chestnutstream.RowVersion(2, 3), nil)
		second := start.Add(reappearTimeout - time.Millisecond)
		f.ApplySnapshot(second, chestnutstream.RowVersion(3, 6), copied)
		f.ApplySnapshot(second.Add(reappearTimeout-time.Millisecond), chestnutstream.RowVersion(3, 6), copied)
		f.Tick(second.Add(reappearTimeout - time.Millisecond))
		assert.DeepEqual(t, usable(f), []string{"a"})
		f.Tick(second.Add(reappearTimeout + time.Millisecond))
		assert.DeepEqual(t, usable(f), []string(nil))
	}
}

// Guards against the loss of the records of servers that have just left when there are many.
func TestRecentlyRemovedServersAreRemembered(t *testing.T) {
	f := newFleet()
	f.ApplySnapshot(start, chestnutstream.RowVersion(1, 1), nil)
	id := func(i int) string { return "s" + time.Duration(i).String() }
	for i := range 3 * maxRememberedServers {
		row := uint64(10 + 2*i)
		f.ApplyUpdates(start, []Entry{inEra(1, entry(id(i), row)), inEra(1, Entry{Key: id(i), RowVersion: row + 1, Removed: true})})
		f.RecordLeaving("x"+id(i), 1)
		if last := max(i-maxRememberedServers/2, 0); i%997 == 0 {
			f.ApplyUpdates(start, []Entry{inEra(1, entry(id(last), uint64(10+2*last))), inEra(1, entry("x"+id(last), row+1))})
			assert.Assert(t, len(usable(f)) == 0)
			f.ApplyUpdates(start, []Entry{inEra(1, Entry{Key: "x" + id(last), RowVersion: row + 1, Removed: true})})
		}
	}
}

// storeModel is a store of the list of servers that may return from a copy, with servers
// that start, write, drain and leave.
type storeModel struct {
	era, version uint64
	copied       map[uint64]uint64 // by era: the version of the copy that it began with
	rows         map[string]Entry
	feed         []Entry // of this era
	copies       []storeCopy
	servers      map[string]*serverModel
}

type storeCopy struct {
	version uint64
	rows    map[string]Entry
	feed    []Entry
}

// serverModel is a server.
type serverModel struct {
	born  int64
	state chestnutstream.BackendState // "": not running
}

func (m *storeModel) write(e Entry) {
	m.version++
	e.RowVersion = chestnutstream.RowVersion(m.era, m.version)
	if e.Removed {
		delete(m.rows, e.Key)
	} else {
		m.rows[e.Key] = e
	}
	m.feed = append(m.feed, e)
}

func (m *storeModel) snapshot() storeCopy {
	c := storeCopy{version: m.version, rows: map[string]Entry{}, feed: append([]Entry(nil), m.feed...)}
	for k, e := range m.rows {
		c.rows[k] = e
	}
	return c
}

// restore returns the store to a copy. The versions of all rows are of the new era.
func (m *storeModel) restore(c storeCopy, eras uint64) {
	m.era, m.version, m.rows, m.feed = m.era+eras, c.version, map[string]Entry{}, nil
	m.copied[m.era] = c.version
	rebase := func(e Entry) Entry {
		e.RowVersion = chestnutstream.RowVersion(m.era, chestnutstream.VersionCounter(e.RowVersion))
		return e
	}
	for k, e := range c.rows {
		m.rows[k] = rebase(e)
	}
	for _, e := range c.feed {
		m.feed = append(m.feed, rebase(e))
	}
	m.copies = nil
}

// writtenInEra reports whether an entry was written in the era that its version states.
func (m *storeModel) writtenInEra(e Entry) bool {
	return chestnutstream.VersionCounter(e.RowVersion) > m.copied[chestnutstream.VersionEra(e.RowVersion)]
}

func (m *storeModel) list() (entries []Entry) {
	for _, e := range m.rows {
		entries = append(entries, e)
	}
	return entries
}

func (m *storeModel) changes(after uint64) (entries []Entry) {
	for _, e := range m.feed {
		if e.RowVersion > after {
			entries = append(entries, e)
		}
	}
	return entries
}

func (m *storeModel) entry(id string) Entry {
	s := m.servers[id]
	return entry(id, 0, bornAt(s.born), func(b *chestnutstream.Backend) { b.State = s.state })
}

// listReader is an instance that reads the model's list. A read is applied some time after
// the store has responded.
type listReader struct {
	fleet   *Fleet
	version uint64 // up to which the list was read; 0: not yet
	pending *listRead
	left    map[string]int64 // by server: the latest start of which it has read that it drains
	gone    map[string]int64 // by server: the latest start that it has removed, that has ended, and that it has read no entry of since
	applied []Entry
}

type listRead struct {
	snapshot bool
	version  uint64
	entries  []Entry
}

func (r *listReader) fetch(m *storeModel, historyLost bool) {
	r.pending = &listRead{snapshot: true, version: chestnutstream.RowVersion(m.era, m.version), entries: m.list()}
	if r.version > 0 && chestnutstream.VersionEra(r.version) == m.era && !historyLost {
		r.pending.snapshot, r.pending.entries = false, m.changes(r.version)
	}
}

// apply applies the pending read.
func (r *listReader) apply(now time.Time, m *storeModel) {
	read := r.pending
	if r.pending = nil; read == nil {
		return
	}
	before := map[string]int64{}
	for _, s := range r.fleet.Servers() {
		before[s.ID] = s.Born
	}
	for _, e := range read.entries {
		if e.RowVersion > r.version && m.writtenInEra(e) && !e.Removed && e.Backend.Born == r.gone[e.Key] {
			delete(r.gone, e.Key)
		}
	}
	r.version, r.applied = read.version, append(r.applied, read.entries...)
	if read.snapshot {
		r.fleet.ApplySnapshot(now, read.version, read.entries)
	} else {
		r.fleet.ApplyUpdates(now, read.entries)
	}
	for _, e := range read.entries {
		if !e.Removed && e.Backend.State == chestnutstream.BackendDraining {
			r.left[e.Key] = max(r.left[e.Key], e.Backend.Born)
		}
	}
	for id, born := range before {
		r.recordGone(m, id, born)
	}
}

func (r *listReader) recordGone(m *storeModel, id string, born int64) {
	if s := m.servers[id]; r.fleet.Server(id) == nil && (s.state == "" || s.born > born) {
		r.gone[id] = max(r.gone[id], born)
	}
}

func (r *listReader) tick(now time.Time, m *storeModel) {
	for _, s := range r.fleet.Servers() {
		id, born := s.ID, s.Born
		defer func() { r.recordGone(m, id, born) }()
	}
	r.fleet.Tick(now)
}

func (r *listReader) check(t *rapid.T) {
	for _, s := range r.fleet.Servers() {
		if left := max(r.left[s.ID], r.gone[s.ID]); s.Usable() && s.Born <= left {
			t.Fatalf("%s of start %d is usable, start %d has left", s.ID, s.Born, left)
		}
	}
}

// Guards against requests to servers whose leaving the instance has read, and against
// servers that stay unused, when the store returns from copies.
func TestListOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c"}
		m := &storeModel{era: uint64(rapid.IntRange(0, 2).Draw(t, "first era")), copied: map[uint64]uint64{}, rows: map[string]Entry{}, servers: map[string]*serverModel{}}
		for _, id := range ids {
			m.servers[id] = &serverModel{}
		}
		r := &listReader{fleet: newFleet(), left: map[string]int64{}, gone: map[string]int64{}}
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			s := m.servers[id]
			switch rapid.SampledFrom([]string{"start", "beat", "beat", "drain", "end", "expire", "copy", "copy", "restore", "fetch", "apply", "read", "read", "peer", "tick"}).Draw(t, "step") {
			case "start":
				s.born, s.state = s.born+1, chestnutstream.BackendReady
				m.write(m.entry(id))
			case "beat":
				if s.state != "" {
					m.write(m.entry(id))
				}
			case "drain":
				if s.state != "" {
					s.state = chestnutstream.BackendDraining
					m.write(m.entry(id))
				}
			case "end":
				s.state = ""
			case "expire": // also of a server that does not reach the store
				if _, ok := m.rows[id]; ok {
					m.write(Entry{Key: id, Removed: true})
				}
			case "copy":
				m.copies = append(m.copies, m.snapshot())
			case "restore":
				if len(m.copies) > 0 {
					m.restore(rapid.SampledFrom(m.copies).Draw(t, "copy of"), uint64(rapid.IntRange(1, 2).Draw(t, "eras")))
				}
			case "fetch":
				if r.pending == nil {
					r.fetch(m, rapid.IntRange(0, 9).Draw(t, "history lost") == 0)
				}
			case "apply":
				r.apply(now, m)
			case "read":
				r.apply(now, m)
				r.fetch(m, rapid.IntRange(0, 9).Draw(t, "history lost") == 0)
				r.apply(now, m)
			case "peer": // passes on an entry late
				if len(r.applied) > 0 {
					r.fleet.ApplyUpdates(now, []Entry{rapid.SampledFrom(r.applied).Draw(t, "entry")})
				}
			case "tick":
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
				r.tick(now, m)
			}
			r.check(t)
		}
		// Each server that runs writes, each other one expires, and the instance reads both.
		for range 2 {
			r.apply(now, m)
			r.fetch(m, false)
			r.apply(now, m)
			r.check(t)
			for _, id := range ids {
				if m.servers[id].state != "" {
					m.write(m.entry(id))
				} else if _, ok := m.rows[id]; ok {
					m.write(Entry{Key: id, Removed: true})
				}
			}
			now = now.Add(time.Second)
			r.fetch(m, false)
			r.apply(now, m)
			r.check(t)
		}
		now = now.Add(reappearTimeout)
		r.tick(now, m)
		for _, id := range ids {
			known := r.fleet.Server(id)
			if want, got := m.servers[id].state == chestnutstream.BackendReady, known != nil && known.Usable(); got != want {
				t.Fatalf("%s: usable %t, want %t", id, got, want)
			}
		}
	})
}
