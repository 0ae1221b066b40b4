package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// Guards against engines without orders for the length of a lease after each upgrade of an instance.
func TestUpgradedInstanceTakesOverAtItsAddressAtOnce(t *testing.T) {
	tests := []struct {
		name, holder, lease string
		atOnce              bool
	}{
		{"earlier process", "a", `{"z":"z","a":"10.0.0.1:1"}`, true},
		{"the same name at another address", "a", `{"z":"z","a":"10.0.0.2:1"}`, false},
		{"another name at this address", "b", `{"z":"z","a":"10.0.0.1:1"}`, false},
		{"malformed lease", "a", `{`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := "10.0.0.1:1"
			m := NewManager(Holder{Name: chestnutstream.InstanceIdentity("a", address, 7), Zone: "z", Address: address, Incarnation: 7}, DefaultSettings(minHandover))
			boot := time.Minute
			err := m.ApplySnapshot(boot, Snapshot{Version: 9, Rows: []chestnutstream.TableRow{
				row("instance/"+tt.holder, tt.lease, 4), row("owner/s0", `{"n":"`+tt.holder+`","r":3}`, 5),
			}})
			assert.Equal(t, err != nil, tt.name == "malformed lease")
			m.Renewed(boot, boot, step(t, m, boot, ActionRenew), 10)
			boot += 2 * time.Second
			_ = m.ApplyUpdates(boot, nil)
			actions := m.Step(boot, testServers)
			assert.Equal(t, len(actions), map[bool]int{true: 1}[tt.atOnce])
			if !tt.atOnce {
				return
			}
			assert.DeepEqual(t, actions[0].Servers, []string{"s0"})
			assert.Equal(t, actions[0].Transaction.Deletes[0].Key, "instance/a", "ends the lease, under the check of its version")
			m.Acquired(boot, actions[0], 11)
			token, _, ok := m.FencingToken(boot, "s0")
			assert.Assert(t, ok && token == 11)
		})
	}
}

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
