package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

var testServers = []Server{{ID: "s0", Zone: "z"}}

func version(era, counter uint64) uint64 { return chestnutstream.RowVersion(era, counter) }

func row(key, value string, v uint64) chestnutstream.TableRow {
	return chestnutstream.TableRow{Table: Table, Key: key, Value: []byte(value), Version: v}
}

// leaseHolder returns a manager that owns s0 in era 1, under token 5, and the time.
func leaseHolder(t *testing.T) (*Manager, time.Duration) {
	cfg := DefaultSettings(minHandover)
	cfg.Bootstrap = true
	m := NewManager(Holder{Name: "a", Zone: "z", Address: "a", Incarnation: 7}, cfg)
	boot := time.Minute
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(1, 0), NowMS: 1000}))
	m.EraNoted(boot, step(t, m, boot, ActionNoteEra), version(1, 1))
	m.Renewed(boot, boot, step(t, m, boot, ActionRenew), version(1, 2))
	boot += 2 * time.Second
	assert.NilError(t, m.ApplyUpdates(boot, nil))
	m.Acquired(boot, step(t, m, boot, ActionAcquire), version(1, 5))
	m.RecordOrderCount("s0", 0)
	token, _, ok := m.FencingToken(boot, "s0")
	assert.Assert(t, ok && token == version(1, 5))
	return m, boot
}

// step returns the single action that is due.
func step(t *testing.T, m *Manager, boot time.Duration, kind ActionKind) Action {
	t.Helper()
	actions := m.Step(boot, testServers)
	assert.Equal(t, len(actions), 1, "%v", actions)
	assert.Equal(t, actions[0].Kind, kind)
	return actions[0]
}

// renewInEra lets a manager read rows of an era, and write the era's row and its lease.
func renewInEra(t *testing.T, m *Manager, boot time.Duration, era uint64, rows ...chestnutstream.TableRow) {
	t.Helper()
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Rows: rows, Version: version(era, 20), NowMS: 9000}))
	m.EraNoted(boot, step(t, m, boot, ActionNoteEra), version(era, 21))
	m.Renewed(boot, boot, step(t, m, boot, ActionRenew), version(era, 22))
}

// Guards against a lease that a response of an earlier era extends.
func TestResponsesOfAnEarlierEraCountAsFailures(t *testing.T) {
	for _, known := range []bool{false, true} {
		m, boot := leaseHolder(t)
		until := m.validUntil
		renewal := step(t, m, m.renewAt, ActionRenew)
		boot = m.renewAt
		if known {
			m.StoreRestored(boot, 2)
		}
		m.Renewed(boot, boot, renewal, version(2, 3))
		assert.Assert(t, !m.Valid(boot), "known %t", known)
		token, end, ok := m.FencingToken(boot, "s0")
		assert.Assert(t, ok && token == version(1, 5) && end == until, "known %t: %v %v %v", known, token, end, ok)
		_, _, ok = m.FencingToken(until, "s0")
		assert.Assert(t, !ok)
	}
	m, boot := leaseHolder(t)
	m.owners = map[string]owner{}
	acquisition := step(t, m, boot, ActionAcquire)
	m.StoreRestored(boot, 2)
	m.Acquired(boot, acquisition, version(2, 3))
	_, _, ok := m.FencingToken(boot, "s0")
	assert.Assert(t, !ok)
	m, boot = leaseHolder(t)
	m.StoreRestored(boot, 2)
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(2, 0)}))
	note := step(t, m, boot, ActionNoteEra)
	m.StoreRestored(boot, 3)
	m.EraNoted(boot, note, version(2, 9))
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(3, 0)}))
	step(t, m, boot, ActionNoteEra)
}

// Guards against a renewal that expects a row version of an earlier era.
func TestConflictOfAnEarlierEraIsIgnored(t *testing.T) {
	m, _ := leaseHolder(t)
	boot := m.renewAt
	renewal := step(t, m, boot, ActionRenew)
	m.StoreRestored(boot, 2)
	own := row("instance/a", `{"z":"z","a":"a","r":7}`, version(2, 2))
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(2, 2), Rows: []chestnutstream.TableRow{own}}))
	assert.Assert(t, !m.RenewalConflict(boot, renewal, []chestnutstream.TableRow{row("instance/a", "{}", version(1, 9))}))
	m.EraNoted(boot, step(t, m, boot, ActionNoteEra), version(2, 3))
	checks := step(t, m, boot+renewRetryDelay, ActionRenew).Transaction.Checks
	assert.Equal(t, checks[len(checks)-1].Version, version(2, 2))
}

// Guards against a lease that counts as ended because the store has lost its row.
func TestConflictOfALaterEraKeepsTheLease(t *testing.T) {
	m, _ := leaseHolder(t)
	boot := m.renewAt
	renewal := step(t, m, boot, ActionRenew)
	assert.Assert(t, !m.RenewalConflict(boot, renewal, []chestnutstream.TableRow{row("instance/a", `{"r":1}`, version(2, 2))}))
	assert.Equal(t, m.Era(), uint64(2))
	_, _, ok := m.FencingToken(boot, "s0")
	assert.Assert(t, ok)
}

// Guards against transactions that are due before the table was read in the new era, and
// against rows of earlier eras that arrive late.
func TestLateReadsOfAnEarlierEraAreIgnored(t *testing.T) {
	m, boot := leaseHolder(t)
	m.StoreRestored(boot, 2)
	boot += 4 * time.Second
	assert.Equal(t, len(m.Step(boot, testServers)), 0)
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(1, 9)}))
	assert.Equal(t, len(m.Step(boot, testServers)), 0)
	renewInEra(t, m, boot, 2)
	assert.NilError(t, m.ApplyUpdates(boot, []chestnutstream.TableRow{row("owner/s9", `{"n":"b"}`, version(1, 60)), row("instance/b", `{}`, version(1, 61))}))
	assert.Equal(t, m.Owner("s9"), "")
	assert.Equal(t, len(m.Holders(boot)), 0)
	m.Acquired(boot, step(t, m, boot, ActionAcquire), version(2, 30))
	token, _, _ := m.FencingToken(boot, "s0")
	assert.Equal(t, token, version(2, 30))
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(2, 25)})) // read before the acquisition
	assert.Equal(t, m.Owner("s0"), "a")
	assert.NilError(t, m.ApplyUpdates(boot, []chestnutstream.TableRow{row("instance/b", `{}`, version(2, 40))}))
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(2, 35)}))
	assert.Equal(t, len(m.Holders(boot)), 1)
}

// Guards against delayed transactions that change rows of a later era, as the store gives
// the same versions out again.
func TestTransactionsCheckTheRowOfTheirEra(t *testing.T) {
	m, boot := leaseHolder(t)
	m.StoreRestored(boot, 2)
	old := []chestnutstream.TableRow{row("era/1", `{}`, version(2, 1)), row("owner/s0", `{"n":"b","r":1,"e":1}`, version(2, 3)), row("instance/b", `{}`, version(2, 4))}
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Rows: old, Version: version(2, 4)}))
	note := step(t, m, boot, ActionNoteEra)
	assert.Equal(t, note.Transaction.Checks[0], chestnutstream.RowCheck{Table: Table, Key: "era/2"})
	assert.Equal(t, note.Transaction.Deletes[0].Key, "era/1")
	m.EraNoted(boot, note, version(2, 6))
	check := chestnutstream.RowCheck{Table: Table, Key: "era/2", Version: version(2, 6)}
	renewal := step(t, m, boot, ActionRenew)
	assert.Equal(t, renewal.Transaction.Checks[0], check)
	m.Renewed(boot, boot, renewal, version(2, 7))
	m.StopAcquiring() // what was owned is written again all the same
	acquisition := step(t, m, boot, ActionAcquire)
	assert.DeepEqual(t, acquisition.Transaction.Checks, []chestnutstream.RowCheck{
		{Table: Table, Key: "owner/s0", Version: version(2, 3)}, check, {Table: Table, Key: "instance/a", Version: version(2, 7)},
	})
	assert.Equal(t, len(acquisition.Transaction.Deletes), 0, "an inherited row does not say that its owner's lease has ended")
	assert.Assert(t, strings.Contains(string(acquisition.Transaction.Writes[0].Value), `"e":2`))
	assert.Equal(t, acquisition.Rewritten, 1)
}

// Guards against orders beside an owner that the new era knows.
func TestOwnerOfTheNewEraEndsWhatWasKept(t *testing.T) {
	tests := []struct {
		name, value string
		kept        bool
	}{
		{"of the new era", `{"n":"b","r":1,"e":2}`, false},
		{"inherited", `{"n":"b","r":1,"e":1}`, true},
		{"of an earlier release", `{"n":"b","r":1}`, true},
		{"malformed", `{`, true},
	}
	for _, tt := range tests {
		m, boot := leaseHolder(t)
		err := m.ApplyUpdates(boot, []chestnutstream.TableRow{row("owner/s0", tt.value, version(2, 30))})
		assert.Equal(t, m.Era(), uint64(2))
		assert.Equal(t, err != nil, tt.name == "malformed")
		_, _, ok := m.FencingToken(boot, "s0")
		assert.Equal(t, ok, tt.kept, tt.name)
		assert.Equal(t, len(m.Owned(boot)) > 0, tt.kept, tt.name)
	}
}

// Guards against takeovers while holders may not know yet that the store has lost their rows.
func TestTakeoverWaitsForLeasesOfEarlierEras(t *testing.T) {
	const handover = minHandover + 500*time.Millisecond
	const now = 100_000 // on the store's clock, in milliseconds
	noted := func(age time.Duration, more string) chestnutstream.TableRow {
		return row("era/2", fmt.Sprintf(`{"t":%d%s}`, now-age.Milliseconds(), more), version(2, 9))
	}
	lease := func(ms int) chestnutstream.TableRow {
		return row("instance/b", fmt.Sprintf(`{"z":"z","d":%d}`, ms), version(2, 8))
	}
	tests := []struct {
		name      string
		bootstrap bool
		instances int  // Settings.BaseInstances
		restored  bool // the process has learned of the restore before its first read
		rows      []chestnutstream.TableRow
		want      time.Duration // from the first read
	}{
		{"no row", false, 24, false, nil, 15*time.Second + handover},
		{"leases do not grow", false, 0, false, nil, 10*time.Second + handover},
		{"longer lease", false, 24, false, []chestnutstream.TableRow{lease(20_000)}, 20*time.Second + handover},
		{"noted 5 s ago", false, 24, false, []chestnutstream.TableRow{noted(5*time.Second, "")}, 10*time.Second + handover},
		{"noted a minute ago", false, 24, false, []chestnutstream.TableRow{noted(time.Minute, "")}, 0},
		{"noted later than now", false, 24, false, []chestnutstream.TableRow{noted(-time.Minute, "")}, 15*time.Second + handover},
		{"noted in another era", false, 24, false, []chestnutstream.TableRow{row("era/1", `{"t":1}`, version(2, 3))}, 15*time.Second + handover},
		{"malformed row", false, 24, false, []chestnutstream.TableRow{row("era/2", `{`, version(2, 3))}, 15*time.Second + handover},
		{"a new system", true, 24, false, nil, 0},
		{"a new system, as noted by another instance", false, 24, false, []chestnutstream.TableRow{noted(0, `,"b":true`)}, 0},
		{"a new system, but the era is noted", true, 24, false, []chestnutstream.TableRow{noted(0, "")}, 15*time.Second + handover},
		{"a new system, but there is a lease", true, 24, false, []chestnutstream.TableRow{lease(0)}, 15*time.Second + handover},
		{"a new system, but the store has returned from a copy", true, 24, true, nil, 15*time.Second + handover},
		{"noted as new, but the store has returned from a copy", false, 24, true, []chestnutstream.TableRow{noted(0, `,"b":true`)}, 15*time.Second + handover},
	}
	for _, tt := range tests {
		cfg := DefaultSettings(minHandover)
		cfg.Bootstrap, cfg.BaseInstances = tt.bootstrap, tt.instances
		m := NewManager(Holder{Name: "a", Zone: "z"}, cfg)
		boot := time.Minute
		if tt.restored {
			m.StoreRestored(boot, 2)
		}
		err := m.ApplySnapshot(boot, Snapshot{Rows: tt.rows, Version: version(2, 10), NowMS: now})
		assert.Equal(t, err != nil, tt.name == "malformed row")
		assert.Assert(t, m.Settled(boot+tt.want), tt.name)
		assert.Assert(t, tt.want == 0 || !m.Settled(boot+tt.want-1), tt.name)
	}
	m, boot := leaseHolder(t)
	m.StoreRestored(boot, 2)
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Rows: []chestnutstream.TableRow{noted(0, `,"b":true`)}, Version: version(2, 10), NowMS: now}))
	assert.Assert(t, !m.Settled(boot))
	note := step(t, m, boot, ActionNoteEra) // it corrects the row
	assert.Equal(t, note.Transaction.Checks[0].Version, version(2, 9))
	assert.Assert(t, !strings.Contains(string(note.Transaction.Writes[0].Value), `"b"`))
	m.EraNoted(boot, note, version(2, 11))
	step(t, m, boot, ActionRenew)
}

// Guards against a new system whose engines have no owners for the longest lease, as its settings do not say that it is new.
func TestEmptyTableIsWaitedForLessLong(t *testing.T) {
	const emptyTableWait, now = 3 * time.Second, 100_000
	full := 15*time.Second + DefaultSettings(minHandover).HandoverDelay
	noted := func(more string) []chestnutstream.TableRow {
		return []chestnutstream.TableRow{row("era/2", fmt.Sprintf(`{"t":%d%s}`, now-1000, more), version(2, 9))}
	}
	tests := []struct {
		name     string
		restored bool
		rows     []chestnutstream.TableRow
		want     time.Duration // from the first read
	}{
		{"empty", false, nil, emptyTableWait},
		{"empty when it was noted", false, noted(`,"m":true`), emptyTableWait - time.Second},
		{"noted by an instance that has seen an earlier era", false, noted(""), full - time.Second},
		{"this process has seen an earlier era", true, nil, full},
		{"empty when it was noted, but this process has seen an earlier era", true, noted(`,"m":true`), full - time.Second},
		{"a lease", false, []chestnutstream.TableRow{row("instance/b", `{"z":"z"}`, version(2, 8))}, full},
	}
	for _, tt := range tests {
		cfg := DefaultSettings(minHandover)
		cfg.EmptyTableWait = emptyTableWait
		m, boot := NewManager(Holder{Name: "a", Zone: "z"}, cfg), time.Minute
		if tt.restored {
			m.StoreRestored(boot, 2)
		}
		assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Rows: tt.rows, Version: version(2, 10), NowMS: now}))
		assert.Assert(t, m.Settled(boot+tt.want) && !m.Settled(boot+tt.want-1), tt.name)
	}
	m := NewManager(Holder{Name: "a", Zone: "z"}, DefaultSettings(minHandover))
	m.cfg.EmptyTableWait = emptyTableWait
	assert.NilError(t, m.ApplySnapshot(time.Minute, Snapshot{Version: version(2, 7), NowMS: now}))
	m.EraNoted(time.Minute, step(t, m, time.Minute, ActionNoteEra), version(2, 8))
	assert.NilError(t, m.ApplyUpdates(time.Minute+time.Second, noted("")))
	assert.Assert(t, !m.Settled(time.Minute+emptyTableWait), "another process corrects the row")
}

// Guards against instances that count as gone, and shares of retries that grow, because the
// store has lost their leases.
func TestLeasesThatTheStoreLostEndByTheirDuration(t *testing.T) {
	m, boot := leaseHolder(t)
	assert.NilError(t, m.ApplyUpdates(boot, []chestnutstream.TableRow{row("instance/b", `{"z":"z"}`, version(1, 6))}))
	seen := boot
	for boot += time.Second; boot < seen+m.cfg.BaseDuration; boot += time.Second {
		assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(2, 9)}))
		assert.Equal(t, len(m.Holders(boot)), 1)
	}
	assert.Equal(t, len(m.Holders(boot)), 0)
	assert.NilError(t, m.ApplySnapshot(boot+m.cfg.HandoverDelay+1, Snapshot{Version: version(2, 9)}))
	assert.Equal(t, len(m.holders), 0)
}

// Guards against servers without orders after a restart long after a restore.
func TestRestartedInstanceTakesOverRowsOfThePresentEra(t *testing.T) {
	sim := newRestoreSimulation(2, 4, noMutant)
	sim.copy()
	sim.play(3 * time.Second)
	sim.restore(1)
	sim.play(5 * time.Second)
	sim.restart(0)
	sim.play(3 * time.Second)
	server, gap := sim.unownedFor()
	assert.Assert(t, gap < time.Second, "%s got no order for %v", server, gap)
	assert.Equal(t, sim.violation, "")
}

// A store that states no era costs no row, no call and no wait.
func TestStoreWithoutErasIsUsedAsBefore(t *testing.T) {
	sim := newSimulation(2, 2, noMutant)
	runUntilOwned(sim)
	for key, r := range sim.rows {
		assert.Assert(t, !strings.HasPrefix(key, eraPrefix) && !strings.Contains(string(r.Value), `"e"`), "%s %s", key, r.Value)
	}
	for _, m := range sim.managers {
		assert.Assert(t, m.Settled(0) && m.eraChecks() == nil)
	}
}

// Guards against a second holder beside one of an earlier release, whose rows state no era.
func TestHolderOfAnEarlierReleaseKeepsItsServers(t *testing.T) {
	m := NewManager(Holder{Name: "a", Zone: "z"}, DefaultSettings(minHandover))
	boot := time.Minute
	rows := []chestnutstream.TableRow{
		row("era/1", `{"t":1}`, version(1, 1)),
		row("instance/b", `{"z":"z","r":4}`, version(1, 2)),
		row("owner/s0", `{"n":"b","r":4}`, version(1, 3)),
	}
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Rows: rows, Version: version(1, 3), NowMS: 60_000}))
	m.Renewed(boot, boot, step(t, m, boot, ActionRenew), version(1, 4))
	assert.Assert(t, m.Settled(boot))
	expiry := m.cfg.BaseDuration + m.cfg.HandoverDelay
	for counter := uint64(5); boot < 3*time.Minute; boot += 3 * time.Second {
		assert.NilError(t, m.ApplyUpdates(boot, []chestnutstream.TableRow{row("instance/b", `{"z":"z","r":4}`, version(1, counter))}))
		for _, a := range m.Step(boot, testServers) {
			assert.Equal(t, a.Kind, ActionRenew)
			m.Renewed(boot, boot, a, version(1, counter+1))
		}
		counter += 2
	}
	for end := boot + expiry; boot <= end; boot += 3 * time.Second {
		assert.NilError(t, m.ApplyUpdates(boot, nil))
		for _, a := range m.Step(boot, testServers) {
			if a.Kind == ActionAcquire {
				assert.Assert(t, boot > end-3*time.Second, "%v early", end-boot)
				assert.Equal(t, a.Transaction.Deletes[0].Key, "instance/b")
				return
			}
			m.Renewed(boot, boot, a, m.version+1)
		}
	}
	t.Fatal("no takeover")
}

// Guards against an order under an earlier token that arrives after one under a later token.
func TestNewTokenIsUsedOnceOrdersUnderTheOldOneHaveArrived(t *testing.T) {
	m, boot := leaseHolder(t)
	m.StoreRestored(boot, 2)
	old, _, ok := m.FencingToken(boot, "s0")
	assert.Assert(t, ok && old == version(1, 5))
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: version(2, 1), NowMS: 1000}))
	m.EraNoted(boot, step(t, m, boot, ActionNoteEra), version(2, 2))
	m.Renewed(boot, boot, step(t, m, boot, ActionRenew), version(2, 3))
	m.Acquired(boot, step(t, m, boot, ActionAcquire), version(2, 4))
	_, _, ok = m.FencingToken(boot+orderFlight-1, "s0")
	assert.Assert(t, !ok)
	token, _, ok := m.FencingToken(boot+orderFlight, "s0")
	assert.Assert(t, ok && token == version(2, 4))
}
