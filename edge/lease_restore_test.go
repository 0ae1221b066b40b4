package edge

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Guards against holders that write their rows again only at the end of the table's interval,
// when a lease may have ended, and against restores that the log does not explain.
func TestLostOwnersAreWrittenAgainAtOnce(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 0, 3)
	all := s.instances(3)
	for _, in := range all {
		eventually(t, "ready", in.Node().Ready)
	}
	older := s.store.Copy()
	s.raiseVersion()
	s.backend(standin.BackendSettings{ID: "i-engine-0", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m", WeightsMB: 100, ModelMB: 90, AdapterMB: 1, ServiceTime: 5 * time.Millisecond})
	s.awaitOwners(1, all...)
	owner := slices.IndexFunc(all, func(in *testInstance) bool { return in.owns("i-engine-0") })
	s.returnFrom(older)
	returned := time.Now()
	const rewritten = "owner rows written again after a restore of the store"
	eventually(t, "the owner row is written again", func() bool { return len(all[owner].log.with(rewritten)) > 0 })
	assert.Check(t, time.Since(returned) < leasesInterval, "written again after %v", time.Since(returned))
	for i, in := range all {
		assert.Equal(t, in.owns("i-engine-0"), i == owner)
		eventually(t, "the restore is logged", func() bool { return len(in.log.with("store returned from a copy")) == 1 })
		kept := in.log.with("store returned from a copy")[0]["engines-kept"]
		assert.Equal(t, kept == 1, i == owner, "%v", kept)
		eventually(t, "the wait is logged", func() bool {
			return len(in.log.with("no engines are taken over while leases of an earlier era may be valid")) == 1
		})
	}
	within(t, 25*time.Second, "the end of the wait is logged", func() bool { return len(all[owner].log.with("all leases of earlier eras have ended")) == 1 })
}
