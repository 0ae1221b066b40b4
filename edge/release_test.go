package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against engines that have no owner for the length of a lease after an instance has
// ended in order.
func TestEnginesOfADrainedInstanceGetAnOwnerSoon(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		restart bool          // of the drained instance, at its address
		within  time.Duration // from the end of the drain
	}{
		{"others take over", false, 10 * time.Second},
		{"restarted at its address", true, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 3, 3)
			a := s.instance("edge-a")
			s.awaitOwners(3, a) // it owns all
			b := s.instance("edge-b")
			s.awaitOwners(3, a, b)
			askAll(time.Second, a, b)
			assert.NilError(t, a.Drain(context.Background()))
			begun, next := time.Now(), b
			if c.restart {
				next = s.restart(a)
			}
			eventually(t, "all engines are owned", func() bool {
				n := next.Node()
				n.mu.Lock()
				defer n.mu.Unlock()
				return len(n.loaders) == 3
			})
			took := time.Since(begun)
			askAll(2*time.Second, next)
			processes := []*testInstance{a, b}
			if c.restart {
				processes = append(processes, next)
			}
			f := s.orderFaults(processes...)
			t.Logf("owners after %v, %+v", took, f)
			assert.Check(t, took < c.within, "%v", took)
			assert.Check(t, f.lowerFences == 0 && (c.restart || f.turnsShort == 0) && f.handovers > 0, "%+v", f)
		})
	}
}
