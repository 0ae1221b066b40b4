package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// restoreBound is the time after the last fault within which all servers have an owner
// again: the wait after a restore, the takeover from a holder, both for the longest lease,
// and a few reads.
const restoreBound = 2*(15*time.Second+minHandover+500*time.Millisecond) + 4*time.Second

// Guards against second holders and falling fencing tokens when the store returns from a
// copy and has lost acknowledged leases and owners.
func TestRestoredStoreKeepsOneHolder(t *testing.T) {
	tests := []struct {
		name       string
		play       func(sim *restoreSimulation)
		continuous bool // orders go on throughout
	}{
		{"a server joined after the copy", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			sim.play(2 * time.Second)
			sim.restore(1)
		}, true},
		{"a server joined after the copy, and its holder reads late", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			sim.play(2 * time.Second)
			sim.notReading[sim.holder("late")] = true
			sim.restore(1)
			sim.play(4 * time.Second)
			clear(sim.notReading)
		}, true},
		{"a server joined after the copy, and its holder does not read", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			sim.play(2 * time.Second)
			holder := sim.holder("late")
			sim.notReading[holder] = true
			sim.restore(1)
			sim.play(30 * time.Second)
			clear(sim.notReading)
		}, false},
		{"the store has lost the holder's lease", func(sim *restoreSimulation) {
			sim.restart(0)
			delete(sim.rows, instanceKey("a"))
			sim.copy()
			sim.play(2 * time.Second)
			sim.notReading[0] = true
			sim.restore(1)
			sim.play(4 * time.Second)
			clear(sim.notReading)
		}, false},
		{"the copy names an earlier holder that was paused", func(sim *restoreSimulation) {
			first := sim.holder("s0")
			sim.pause(first)
			sim.play(12 * time.Second)
			sim.copy()
			sim.play(4 * time.Second)
			sim.restore(1)
			sim.resume(first)
		}, false},
		{"the copy names an earlier holder that is started again", func(sim *restoreSimulation) {
			first := sim.holder("s0")
			sim.pause(first)
			sim.play(12 * time.Second)
			sim.copy()
			sim.play(4 * time.Second)
			sim.restore(1)
			sim.notReading[sim.holder("s0")] = true
			sim.restart(first)
			sim.play(4 * time.Second)
			clear(sim.notReading)
		}, false},
		{"responses to calls of the era before arrive late", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			for range 40 {
				for i := range sim.managers {
					sim.step(i)
				}
				for len(sim.inFlight) > 0 {
					sim.delayResponse(0)
				}
				sim.now += 100 * time.Millisecond
				sim.orderAll()
			}
			sim.restore(1)
			for i := range sim.managers {
				sim.read(i)
			}
			for len(sim.responses) > 0 {
				sim.arrive(0)
				sim.orderAll()
			}
		}, false},
		{"calls of the era before are applied in the new one", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			for range 40 {
				for i := range sim.managers {
					sim.step(i)
				}
				sim.now += 100 * time.Millisecond
				sim.orderAll()
			}
			sim.restore(1)
			delayed := sim.loseAll()
			sim.play(500 * time.Millisecond)
			sim.inFlight = append(sim.inFlight, delayed...)
		}, false},
		{"a takeover of the era before is applied in the new one", func(sim *restoreSimulation) {
			first := sim.holder("s0")
			sim.pause(first)
			sim.copy()
			for sim.now += 14 * time.Second; len(sim.inFlight) < 2; sim.now += 100 * time.Millisecond {
				for i := range sim.managers {
					sim.read(i)
					sim.step(i)
				}
				for len(sim.inFlight) > 0 && sim.inFlight[0].action.Kind != ActionAcquire {
					sim.deliver(0)
				}
			}
			sim.restore(1)
			sim.restart(first)
			delayed := sim.loseAll()
			sim.play(25 * time.Second)
			sim.inFlight = append(sim.inFlight, delayed...)
		}, false},
		{"a process starts after the restore", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			sim.play(2 * time.Second)
			holder := sim.holder("late")
			sim.notReading[holder] = true
			sim.restore(1)
			sim.restart((holder + 1) % 3)
			sim.restart((holder + 2) % 3)
			sim.play(6 * time.Second)
			clear(sim.notReading)
		}, false},
		{"the holder is cut off throughout", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			sim.play(2 * time.Second)
			holder := sim.holder("late")
			sim.cutOff[holder] = true
			sim.restore(1)
			sim.play(30 * time.Second)
			sim.cutOff[holder] = false
		}, false},
		{"no instance reads until the leases have ended", func(sim *restoreSimulation) {
			sim.copy()
			sim.restore(1)
			for i := range sim.managers {
				sim.notReading[i] = true
			}
			sim.play(15 * time.Second)
			clear(sim.notReading)
		}, false},
		{"two restores in short order", func(sim *restoreSimulation) {
			sim.copy()
			sim.join("late")
			sim.play(2 * time.Second)
			sim.restore(1)
			sim.play(1500 * time.Millisecond)
			sim.restore(1)
		}, true},
		{"the copy is older than all instances", func(sim *restoreSimulation) {
			sim.play(4 * time.Second)
			sim.restore(0)
		}, true},
		{"the copy is older than all instances, and some start again", func(sim *restoreSimulation) {
			sim.play(4 * time.Second)
			sim.restore(0)
			sim.restart(0)
			sim.play(time.Second)
			sim.restart(1)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newRestoreSimulation(3, 6, noMutant)
			sim.play(5 * time.Second)
			tt.play(sim)
			assert.Equal(t, sim.violation, "")
			if tt.continuous {
				sim.play(12 * time.Second)
				server, gap := sim.unownedFor()
				assert.Check(t, gap < time.Second, "%s got no order for %v", server, gap)
			}
			sim.play(restoreBound)
			server, gap := sim.unownedFor()
			assert.Check(t, gap < time.Second, "%s got no order for %v", server, gap)
			assert.Equal(t, sim.violation, "")
			assert.Equal(t, chestnutstream.VersionEra(sim.orders["s0"].fence), chestnutstream.VersionEra(sim.version), "the rows were not written again")
		})
	}
}

// Guards against two holders and falling fencing tokens over restores of the store, beside
// all other faults, and against servers that stay without an owner.
func TestHoldersOverRestores(t *testing.T) {
	tests := []struct {
		name       string
		contenders int
		leases     mutant
	}{
		{"two contenders", 2, noMutant},
		{"three contenders", 3, noMutant},
		{"two contenders, longer leases", 2, longLeases},
		{"three contenders, longer leases", 3, longLeases},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { driveOverRestores(t, tt.contenders, tt.leases) })
		})
	}
}

// driveOverRestores performs random moves drawn by rapid, ends all faults, and checks that all
// servers have owners again.
func driveOverRestores(t *rapid.T, contenders int, leases mutant) {
	sim := newRestoreSimulation(contenders, 2, leases)
	contender := rapid.IntRange(0, contenders-1)
	moves := []string{
		"tick", "tick", "play", "play", "play", "play", "play", "play", "step", "step", "read", "arrive", "arrive", "late response", "response", "late read", "late read arrives",
		"lose", "order", "order", "pause", "wake", "wake", "restart", "cut", "copy", "copy", "restore", "join", "leave",
	}
	for range rapid.IntRange(20, 160).Draw(t, "moves") {
		i := contender.Draw(t, "contender")
		index := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
		move := rapid.SampledFrom(moves).Draw(t, "move")
		switch {
		case move == "tick":
			sim.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond
		case move == "play":
			sim.play(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		case move == "step":
			sim.step(i)
		case move == "read":
			sim.read(i)
		case move == "arrive" && len(sim.inFlight) > 0:
			sim.deliver(index(len(sim.inFlight)))
		case move == "late response" && len(sim.inFlight) > 0:
			sim.delayResponse(index(len(sim.inFlight)))
		case move == "response" && len(sim.responses) > 0:
			sim.arrive(index(len(sim.responses)))
		case move == "late read":
			sim.readSlowly(i)
		case move == "late read arrives" && len(sim.reads) > 0:
			sim.arriveRead(index(len(sim.reads)))
		case move == "lose" && len(sim.inFlight) > 0:
			sim.loseResponse(index(len(sim.inFlight)))
		case move == "order":
			sim.orderAll()
		case move == "pause" && sim.running(i):
			sim.pause(i)
		case move == "wake" && !sim.running(i):
			sim.resume(i)
		case move == "restart":
			sim.restart(i)
		case move == "cut":
			sim.cutOff[i] = !sim.cutOff[i]
		case move == "copy":
			sim.copy()
		case move == "restore":
			sim.restore(index(len(sim.copies)))
		case move == "join" && len(sim.servers) < 4:
			sim.join([]string{"s0", "s1", "s2", "s3"}[len(sim.servers)])
		case move == "leave" && len(sim.servers) > 1:
			sim.servers = sim.servers[:len(sim.servers)-1]
		}
		if sim.violation != "" {
			t.Fatal(sim.violation)
		}
	}
	for i := range sim.managers {
		if !sim.running(i) {
			sim.resume(i)
		}
		sim.cutOff[i] = false
	}
	for len(sim.responses) > 0 {
		sim.arrive(0)
	}
	sim.play(restoreBound)
	if sim.violation != "" {
		t.Fatal(sim.violation)
	}
	if server, gap := sim.unownedFor(); gap > time.Second {
		t.Fatalf("%s got no order for %v: %v", server, gap, sim)
	}
}
