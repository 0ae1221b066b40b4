package edge

import (
	"testing"
	"time"

	"github.com/chestnutstream/chestnutstream/standin"
)

// Guards against a second holder after a restore from an empty copy, if the first one's engine has accepted no order yet.
func TestIdleEngineOfAHolderThatTheStoreLostHasOneHolder(t *testing.T) {
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
	t.Logf("%d orders before the restore", len(s.backends[2].Orders()))
	away := time.Now()
	a.storeGate.setUnavailable(true)
	s.returnFrom(older)
	b := s.instance("edge-b")
	eventually(t, "ready", b.Node().Ready)
	time.Sleep(time.Until(away.Add(4200 * time.Millisecond)))
	t.Logf("a owns %v, b owns %v", a.owns("i-engine-0"), b.owns("i-engine-0"))
	c, d := startClients([]*testInstance{a}, 2, changingRequest), startClients([]*testInstance{b}, 2, changingRequest)
	time.Sleep(6 * time.Second)
	a.storeGate.setUnavailable(false)
	time.Sleep(time.Second)
	c.end(t)
	d.end(t)
	s.checkOrders(away, away.Add(storeAwayTime), a.cfg.MinHandoverDelay)
}
