package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// release puts the release of a contender's lease in flight, if it has one.
func (sim *simulation) release(i int) {
	if !sim.running(i) {
		return
	}
	if a, ok := sim.managers[i].Release(); ok {
		sim.inFlight = append(sim.inFlight, call{from: i, sent: sim.boot(i), action: a, responded: true})
	}
}

// releases are the moves of the model check by which contenders release their leases.
func releases(contenders int) (list []move) {
	for i := range contenders {
		list = append(list, move{fmt.Sprintf("%d releases", i), func(sim *simulation) { sim.release(i) }})
	}
	return list
}

func TestAllInterleavingsAfterAReleaseKeepOneHolder(t *testing.T) {
	holder, successor := roles(noMutant)
	for _, c := range []struct {
		name   string
		depth  int
		prefix []string
	}{
		{"in flight", 5, []string{holder + " orders", holder + " releases"}},
		{"read by the successor", 6, []string{holder + " orders", holder + " releases", "arrive", successor + " reads"}},
		{"beside a renewal", 5, []string{"tick", holder + " orders", holder + " steps", holder + " releases"}},
	} {
		path, states := explore(noMutant, 2, c.depth, c.prefix...)
		t.Logf("%s: %d states", c.name, states)
		assert.Assert(t, path == nil, "%s: %s", c.name, strings.Join(path, ", "))
		assert.Assert(t, states > 1000)
	}
}

// Guards against a successor of an instance that has ended in order that waits for the end of
// the lease, or does not wait for the last orders.
func TestReleasedEnginesAreTakenOverAfterTheHandoverDelay(t *testing.T) {
	for _, c := range []struct {
		name    string
		renewal bool // of the lease, in flight during the release
		restart bool // of the instance, just after the release
	}{
		{"others", false, false},
		{"others, after a renewal", true, false},
		{"restarted instance", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(1, 3, noMutant)
			runUntilOwned(sim)
			first := sim.managers[0]
			second := newSimulation(2, 3, noMutant).managers[1]
			sim.managers, sim.pausedAt, sim.suspended, sim.cutOff = append(sim.managers, second), make([]time.Duration, 2), make([]time.Duration, 2), make([]bool, 2)
			runUntilOwned(sim)
			assert.Equal(t, len(first.Owned(sim.now)), 3)
			if c.renewal {
				for sim.now < first.renewAt {
					sim.now += 100 * time.Millisecond
				}
				sim.step(0)
				assert.Equal(t, len(sim.inFlight), 1)
			}
			sim.release(0)
			assert.Equal(t, len(first.Owned(sim.now)), 0)
			if c.renewal {
				sim.deliver(0)
				sim.deliver(0) // conflicts
				sim.release(0)
			}
			sim.deliver(0)
			released := sim.now
			assert.Equal(t, len(first.Step(sim.now+time.Minute, sim.servers)), 0)
			assert.Equal(t, len(first.Owned(sim.now)), 0)
			if c.restart {
				sim.restart(0)
			}
			owner := func() *Manager {
				for _, m := range sim.managers {
					if len(m.Owned(sim.now)) == 3 {
						return m
					}
				}
				return nil
			}
			for owner() == nil && sim.now < released+time.Minute {
				sim.now += 100 * time.Millisecond
				for i := range sim.managers {
					sim.read(i)
					sim.step(i)
				}
				for len(sim.inFlight) > 0 {
					sim.deliver(0)
				}
			}
			took := sim.now - released
			if c.restart {
				assert.Equal(t, owner(), sim.managers[0])
				assert.Assert(t, took < time.Second, "%v", took)
				return
			}
			assert.Equal(t, owner(), second)
			assert.Assert(t, took > second.cfg.HandoverDelay && took < second.cfg.HandoverDelay+time.Second, "%v", took)
		})
	}
}

func TestReleasedLeaseKeepsNothingOverARestore(t *testing.T) {
	m, boot := leaseHolder(t)
	assert.Equal(t, len(m.Owned(boot)), 1)
	m.StoreRestored(boot, 2)
	assert.Equal(t, len(m.Owned(boot)), 1, "kept")
	_, ok := m.Release()
	assert.Assert(t, !ok, "there is no lease in the new era")
	m.StoreRestored(boot, 3)
	assert.Equal(t, len(m.Owned(boot)), 0)
}
