package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/entry"
)

// Guards against two processes of one name that take the engines from each other.
func TestInstancesOfOneNameAreTwoOwners(t *testing.T) {
	t.Parallel()
	d := startSmallDeployment(t)
	for _, first := range slices.Clone(d.Entries) {
		if first.Zone != "zone-a" {
			continue
		}
		twin := &Entry{Name: first.Name, Zone: first.Zone, settings: first.settings}
		in, err := entry.Start(first.settings) // at other free ports
		assert.NilError(t, err)
		twin.Instance = in
		d.Network.SetZone(in.CallerAddress, twin.Zone)
		d.Network.SetZone(in.PeerAddress, twin.Zone)
		d.Entries = append(d.Entries, twin)
	}
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	changes, last := 0, ""
	for i, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); i++ {
		if i%20 == 0 {
			n := int(sent.Add(1))
			wg.Add(1)
			go func() {
				defer wg.Done()
				o, err := newClient().generate(context.Background(), d.Entries[n%len(d.Entries)].address(), fmt.Sprintf("round-%04d@v1", n%40), questionClass, time.Now())
				if err == nil && o.complete {
					served.Add(1)
				}
			}()
		}
		var owned []int
		for _, e := range d.Entries {
			owned = append(owned, e.Instance.OwnedServers())
		}
		if now := fmt.Sprint(owned); now != last {
			changes++
			last = now
		}
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d changes of owners, %d of %d requests served", changes-1, served.Load(), sent.Load())
	assert.Check(t, changes-1 <= 2*len(d.Engines), "%d changes of owners", changes-1)
	assert.Check(t, served.Load() >= sent.Load()*95/100, "%d of %d requests served", served.Load(), sent.Load())
}
