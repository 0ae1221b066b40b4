package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// Guards against a second holder on another machine: an address of all interfaces identifies none.
func TestUpgradedInstanceAtAnAddressOfAllInterfacesWaits(t *testing.T) {
	address := "0.0.0.0:8144"
	m := NewManager(Holder{Name: chestnutstream.InstanceIdentity("a", address, 7), Zone: "z", Address: address, Incarnation: 7}, DefaultSettings(minHandover))
	boot := time.Minute
	assert.NilError(t, m.ApplySnapshot(boot, Snapshot{Version: 9, Rows: []chestnutstream.TableRow{
		row("instance/a", `{"z":"z","a":"0.0.0.0:8144"}`, 4), row("owner/s0", `{"n":"a","r":3}`, 5),
	}}))
	m.Renewed(boot, boot, step(t, m, boot, ActionRenew), 10)
	boot += 2 * time.Second
	assert.NilError(t, m.ApplyUpdates(boot, nil))
	assert.Equal(t, len(m.Step(boot, testServers)), 0, "the process of an earlier release may run on another machine")
}
