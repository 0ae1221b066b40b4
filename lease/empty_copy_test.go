package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// Guards against a second holder after a restore from an empty copy, if the first one reaches the store late.
func TestEmptyCopyIsNotTakenForANewSystemWhileALeaseIsValid(t *testing.T) {
	first, boot := leaseHolder(t)
	cfg := DefaultSettings(minHandover)
	cfg.EmptyTableWait = 3 * time.Second
	next := NewManager(Holder{Name: "b", Zone: "z", Address: "b", Incarnation: 9}, cfg)
	assert.NilError(t, next.ApplySnapshot(boot, Snapshot{Version: version(2, 0), NowMS: 1000}))
	next.EraNoted(boot, step(t, next, boot, ActionNoteEra), version(2, 1))
	next.Renewed(boot, boot, step(t, next, boot, ActionRenew), version(2, 2))
	assert.NilError(t, next.ApplyUpdates(boot+2*time.Second, []chestnutstream.TableRow(nil)))
	for ; boot < 2*time.Minute; boot += 100 * time.Millisecond {
		if _, _, ok := first.FencingToken(boot, "s0"); !ok {
			return
		}
		for _, a := range next.Step(boot, testServers) {
			if a.Kind == ActionRenew {
				next.Renewed(boot, boot, a, version(2, 3))
				continue
			}
			next.Acquired(boot, a, version(2, 9))
		}
		_, until, second := next.FencingToken(boot, "s0")
		assert.Assert(t, !second, "both own s0: the first one for %v more, the second for %v", first.validUntil-boot, until-boot)
	}
}
