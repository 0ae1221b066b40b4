package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The store returns from a copy that has neither an order's claim nor a change of the
// configuration that is in force.
func TestOrdersAndConfigurationOverARestore(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	assert.Equal(t, d.sendOrder(t, 0, "first", "first").outcome, "ran")
	older := d.Platform.Store().Copy()
	assert.Equal(t, d.sendOrder(t, 0, "o1", "k1").outcome, "ran")
	head, err := d.Store.Head(t.Context())
	assert.NilError(t, err)
	lost, err := d.Store.Put(t.Context(), OperatorTeam, "limits", head.Sections["limits"].Revision, "lost", append(d.Sections()["limits"], "# changed\n"...))
	assert.NilError(t, err)
	inForce := func() bool {
		for _, e := range d.Entries {
			if e.Instance.Revision() < lost.Revision {
				return false
			}
		}
		return true
	}
	waitFor(t, 9*time.Second, "the change in force", inForce)
	d.Platform.Store().Restore(older)
	replayed := map[int]bool{}
	waitFor(t, 15*time.Second, "the recorded response at each instance", func() bool {
		for i := range d.Entries {
			outcome := d.sendOrder(t, i, "o1", "k1").outcome
			assert.Assert(t, outcome != "not-run")
			replayed[i] = outcome == "ran"
		}
		assert.Assert(t, inForce(), "the configuration went back")
		return replayed[0] && replayed[1] && replayed[2]
	})
	for i := range d.Entries {
		s := d.sendOrder(t, i, "new", fmt.Sprint("new", i))
		assert.Equal(t, s.code, "order-unsettled")
		assert.Equal(t, s.outcome, "unknown")
	}
	assert.Equal(t, d.orderRuns("o1"), 1)
	assert.Equal(t, d.orderRuns("new"), 0)
	waitFor(t, 9*time.Second, "the change in the store", func() bool {
		head, err := d.Store.Head(t.Context())
		return err == nil && head.Sections["limits"].Revision == lost.Revision
	})
	waitFor(t, 9*time.Second, "one revision everywhere", func() bool {
		head, err := d.Store.Head(t.Context())
		for _, e := range d.Entries {
			if err != nil || e.Instance.Revision() != head.Revision {
				return false
			}
		}
		return true
	})
}
