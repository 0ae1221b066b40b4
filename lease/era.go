package lease

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// eraPrefix begins the keys of the rows that note when an era began.
const eraPrefix = "era/"

// maxEraRows is the number of rows of earlier eras that one transaction deletes.
const maxEraRows = 50

func eraKey(era uint64) string { return fmt.Sprintf("%s%d", eraPrefix, era) }

// wireEra is the row that notes an era: the time (t), and whether its writer took the system
// for a new one by its settings (b, bootstrap) or by the empty table (m).
type wireEra struct {
	NotedMS int64 `json:"t"`           // on the store's clock
	Initial bool  `json:"b,omitempty"` // no lease or owner was written before
	Empty   bool  `json:"m,omitempty"` // the table had no lease or owner, and the writer had seen no earlier era
}

// eraState is what a manager knows of the era of the store.
type eraState struct {
	number     uint64        // 0: the store states none
	since      time.Duration // the era began at this time at the latest, on the boot clock
	initial    bool          // no lease or owner was written in an earlier era
	empty      bool          // the table had no lease or owner, and no process has noted that it saw an earlier era
	rowVersion uint64        // of the row that notes the era; 0: none is known
	rowFirst   bool          // the row says that this may be the first era: it is initial or empty
	storeMS    int64         // the store's clock at the last snapshot
	oldRows    []string      // keys of the rows of earlier eras
	noting     bool
	noteAt     time.Duration
}

// keptServer is a server that this process owned when it learned of a new era. Its order
// bounds are those of the era before.
type keptServer struct {
	token uint64
	until time.Duration
}

// StoreRestored records that the store has returned from a copy, with a new era. A process
// whose lease is valid keeps what it owns until that lease ends. Nothing is sent until the
// table has been read in the new era.
func (m *Manager) StoreRestored(boot time.Duration, era uint64) {
	if era <= m.era.number {
		return
	}
	m.keepOwned(boot)
	m.beginEra(boot, era)
	m.restored = true
	m.version, m.validUntil, m.renewAt = 0, 0, boot
}

// learnEra handles the era of a version that the store has given out. Before the first
// snapshot it is the era that this process starts in.
func (m *Manager) learnEra(boot time.Duration, version uint64) {
	era := chestnutstream.VersionEra(version)
	switch {
	case era <= m.era.number:
	case m.hasRead:
		m.StoreRestored(boot, era)
	default:
		m.beginEra(boot, era)
	}
}

func (m *Manager) beginEra(boot time.Duration, era uint64) {
	m.era = eraState{number: era, since: boot, noting: m.era.noting}
}

// keepOwned records what this process owns at the end of an era.
func (m *Manager) keepOwned(boot time.Duration) {
	for server, k := range m.kept {
		if boot >= k.until {
			delete(m.kept, server)
		}
	}
	for server, o := range m.owners {
		if m.ownedHere(o) {
			m.kept[server] = keptServer{token: o.version, until: m.validUntil}
		}
	}
}

// keeps reports whether this process owns a server by the era before, and no row of the
// present era names an owner.
func (m *Manager) keeps(boot time.Duration, server string) bool {
	k, ok := m.kept[server]
	return ok && boot < k.until
}

// keptServers returns the servers whose owner rows are to be written again, in order of ID.
func (m *Manager) keptServers(boot time.Duration) []Server {
	var out []Server
	for server := range m.kept {
		if m.keeps(boot, server) {
			out = append(out, Server{ID: server})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// mayBeFirstEra reports whether this is taken for the first era although leases of an earlier
// one would still be valid.
func (m *Manager) mayBeFirstEra(boot time.Duration) bool {
	return m.era.number != 0 && (m.era.initial || m.era.empty) && boot-m.era.since < m.EraWait()
}

// RecordOrderCount records how many orders an engine had accepted, by a report read since it
// was acquired. An engine that no row named an owner of, and that has accepted orders, shows
// that the store has lost rows.
func (m *Manager) RecordOrderCount(server string, orders int) {
	if !m.unproven[server] {
		return
	}
	if orders == 0 {
		delete(m.unproven, server)
		return
	}
	m.era.initial, m.era.empty, m.restored = false, false, true
}

// inherited reports whether an owner row was written in an earlier era. It may name an
// owner that has lost the server since the copy was made, so it grants nothing.
func (m *Manager) inherited(o owner) bool { return o.era != m.era.number }

// EraWait returns how long after the begin of an era no server is taken over: until then
// holders whose leases the store has lost may send orders.
func (m *Manager) EraWait() time.Duration {
	longest := max(m.duration, m.cfg.BaseDuration)
	if m.cfg.BaseInstances > 0 {
		longest = max(longest, m.cfg.MaxDuration)
	}
	for _, h := range m.holders {
		longest = max(longest, h.duration)
	}
	return longest + m.cfg.HandoverDelay
}

// Settled reports whether all leases of earlier eras have ended.
func (m *Manager) Settled(boot time.Duration) bool {
	wait := m.EraWait()
	if m.era.empty && m.cfg.EmptyTableWait > 0 {
		wait = min(wait, m.cfg.EmptyTableWait)
	}
	return m.era.number == 0 || m.era.initial || boot-m.era.since >= wait
}

// Era returns the era of the store, as far as it is known.
func (m *Manager) Era() uint64 { return m.era.number }

// Kept returns how many servers this process still owns by the era before.
func (m *Manager) Kept(boot time.Duration) int { return len(m.keptServers(boot)) }

// mustNoteEra reports whether the row of the present era is missing, or written by a process
// that took the table for one of a new system and this one knows better.
func (m *Manager) mustNoteEra() bool {
	return m.era.number != 0 && (m.era.rowVersion == 0 || m.era.rowFirst && m.restored)
}

// noteTransaction writes the row that notes the present era. Each other transaction checks
// that row, so those of earlier eras fail from then on.
func (m *Manager) noteTransaction() chestnutstream.RowTransaction {
	value, _ := json.Marshal(wireEra{NotedMS: m.era.storeMS, Initial: m.era.initial, Empty: m.era.empty})
	key := eraKey(m.era.number)
	t := chestnutstream.RowTransaction{
		Checks: []chestnutstream.RowCheck{{Table: Table, Key: key, Version: m.era.rowVersion}},
		Writes: []chestnutstream.TableRow{{Table: Table, Key: key, Value: value}},
	}
	for _, old := range m.era.oldRows[:min(len(m.era.oldRows), maxEraRows)] {
		t.Deletes = append(t.Deletes, chestnutstream.TableRow{Table: Table, Key: old})
	}
	return t
}

// eraChecks returns the check of the present era's row; none if the store states no era.
func (m *Manager) eraChecks() []chestnutstream.RowCheck {
	if m.era.number == 0 {
		return nil
	}
	return []chestnutstream.RowCheck{{Table: Table, Key: eraKey(m.era.number), Version: m.era.rowVersion}}
}

// EraNoted records that the row that notes the era was written.
func (m *Manager) EraNoted(boot time.Duration, a Action, version uint64) {
	m.era.noting = false
	if m.ofPresentEra(boot, a, version) {
		m.era.rowVersion, m.era.rowFirst = max(m.era.rowVersion, version), m.era.initial || m.era.empty
	}
}

// EraNotNoted records that the row was not written, or that the outcome is unknown, and
// applies the rows of the conflict. The error is as for AcquisitionFailed.
func (m *Manager) EraNotNoted(boot time.Duration, rows []chestnutstream.TableRow) error {
	m.era.noting = false
	m.era.noteAt = boot + renewRetryDelay
	return m.applyRows(boot, rows)
}

// checkEraRow applies the present era's row of a conflict; none: it was removed.
func (m *Manager) checkEraRow(boot time.Duration, rows []chestnutstream.TableRow) {
	m.era.rowVersion = 0
	for _, r := range rows {
		if r.Key == eraKey(m.era.number) && r.Version != 0 {
			_ = m.applyEraRow(r) // the snapshot that had a malformed row has reported it; here its version counts
		}
	}
	m.era.noteAt = boot
}

// applyEraRow handles the row of an era. Whoever wrote the row of the present era has
// decided whether earlier leases must be waited for; a process that has itself seen an
// earlier era knows that.
func (m *Manager) applyEraRow(r chestnutstream.TableRow) error {
	if r.Key != eraKey(m.era.number) || r.Version <= m.era.rowVersion {
		return nil
	}
	if r.Removed {
		m.era.rowVersion = 0
		return nil
	}
	m.era.rowVersion = r.Version
	var w wireEra
	err := json.Unmarshal(r.Value, &w)
	m.era.rowFirst = err == nil && (w.Initial || w.Empty)
	m.era.initial = err == nil && w.Initial && !m.restored
	m.era.empty = err == nil && w.Empty && !m.restored
	if err != nil {
		return fmt.Errorf("decode era %s: %w", r.Key, err)
	}
	return nil
}

// applyEraSnapshot handles the rows of eras in a snapshot. The row of the present era
// states when the era had begun, on the store's clock.
func (m *Manager) applyEraSnapshot(boot time.Duration, s Snapshot) {
	m.era.storeMS = s.NowMS
	m.era.oldRows = nil
	present, empty := false, true
	for _, r := range s.Rows {
		switch {
		case r.Key == eraKey(m.era.number):
			present = true
			var w wireEra
			if err := json.Unmarshal(r.Value, &w); err == nil && w.NotedMS > 0 && w.NotedMS <= s.NowMS {
				m.era.since = min(m.era.since, boot-time.Duration(s.NowMS-w.NotedMS)*time.Millisecond)
			}
		case strings.HasPrefix(r.Key, eraPrefix):
			m.era.oldRows = append(m.era.oldRows, r.Key)
			empty = false
		case strings.HasPrefix(r.Key, instancePrefix), strings.HasPrefix(r.Key, ownerPrefix):
			empty = false
		}
	}
	if !present && m.era.rowVersion <= s.Version {
		m.era.rowVersion = 0
	}
	if !m.hasRead {
		m.era.empty = empty && !m.restored
		m.era.initial = m.cfg.Bootstrap && m.era.empty
	}
}
