package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Guards against a second holder after a restore from an empty copy, if the first one does not reach the store.
func TestInstanceStartedAfterRestoreFromEmptyCopyWaitsForHolders(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		seeded bool // the new instance connects to the first one
	}{{"they are not connected", false}, {"they are connected", true}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 0, 3)
			older := s.store.Copy()
			a := s.instance("edge-a")
			s.raiseVersion()
			s.backend(standin.BackendSettings{
				ID: "i-engine-0", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m", WeightsMB: 100, ModelMB: 90, AdapterMB: 1,
				ServiceTime: 5 * time.Millisecond, Events: 5, LoadTime: 100 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
			})
			s.awaitOwners(1, a)
			c := startClients([]*testInstance{a}, 2, changingRequest)
			time.Sleep(1500 * time.Millisecond)
			away := time.Now()
			a.storeGate.setUnavailable(true)
			s.returnFrom(older)
			time.Sleep(storeAwayTime)
			var seeds []string
			if tt.seeded {
				seeds = append(seeds, a.cfg.PeerAddress)
			}
			b := s.instance("edge-b", seeds...)
			eventually(t, "ready", b.Node().Ready)
			d := startClients([]*testInstance{b}, 2, changingRequest)
			time.Sleep(13 * time.Second)
			a.storeGate.setUnavailable(false)
			time.Sleep(time.Second)
			c.end(t)
			d.end(t)
			s.checkOrders(away, away.Add(storeAwayTime), a.cfg.MinHandoverDelay)
			assert.Check(t, a.Node().store.Era() > 0)
		})
	}
}
