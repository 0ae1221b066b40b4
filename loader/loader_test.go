package loader

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
)

func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }

func adapter(name string) chestnutstream.ModelAdapter {
	return chestnutstream.ModelAdapter{Model: testModel, Adapter: name}
}

func testKind(slots int) chestnutstream.EngineKind {
	return chestnutstream.EngineKind{
		Slots: 64, WeightsMB: 100, AdapterSlots: slots,
		Models: []chestnutstream.ModelKind{{Name: testModel, WeightsMB: 90, LoadTime: 1300 * time.Millisecond}},
	}
}

// play runs a loader against an engine. fate says what becomes of an order:
// answered, lost on the way, carried out without an answer, or carried out late.
type play struct {
	w    *engineWorld
	e    *Engine
	fate func() string
	told map[string]string // adapter → the last word to instance "n"
}

func newPlay(slots int) *play {
	w := newEngineWorld(slots)
	return &play{
		w: w, e: NewEngine(chestnutstream.Backend{ID: "i-1"}, testKind(slots), w.now),
		fate: func() string { return "answered" }, told: map[string]string{},
	}
}

// step asks the loader once and carries out what it wants.
func (p *play) step() {
	for _, a := range p.e.Step(p.w.now) {
		switch a.Kind {
		case ReadReport:
			p.take(p.e.Reported(p.w.now, p.w.report()))
		case GiveOrder:
			p.order(a)
		default:
			p.take([]Action{a})
		}
	}
}

func (p *play) order(a Action) {
	o := a.Order
	answer := chestnutstream.OrderUnknown
	switch p.fate() {
	case "answered":
		answer = p.w.carryOut(o)
	case "unanswered":
		p.w.carryOut(o)
	case "late":
		p.w.late = append(p.w.late, lateOrder{p.w.now + 2*time.Second, o})
	}
	if answer == chestnutstream.OrderUnknown {
		p.w.advance(80 * time.Millisecond)
	}
	if a.Look {
		p.take(p.e.Looked(p.w.now, o, answer))
		return
	}
	p.take(p.e.Ordered(p.w.now, o, answer))
}

func (p *play) take(actions []Action) {
	for _, a := range actions {
		p.told[a.Target.Adapter] = string(a.Kind)
	}
}

// run lets time pass in small steps.
func (p *play) run(d time.Duration) {
	for end := p.w.now + d; p.w.now < end; {
		p.step()
		p.w.advance(10 * time.Millisecond)
	}
}

func TestWantedAdapterIsLoadedAndTold(t *testing.T) {
	p := newPlay(4)
	p.run(reportLag + 50*time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(300 * time.Millisecond)
	assert.Equal(t, p.told["a1"], string(TellHeld))
	assert.Equal(t, p.w.loads, 1)
}

func TestLeastUsedMakesRoomAndItsUsersAreTold(t *testing.T) {
	p := newPlay(3)
	p.run(reportLag + 50*time.Millisecond)
	for i, name := range []string{"a1", "a2", "a3"} {
		p.e.Want(p.w.now, "n", adapter(name), 1, 1)
		p.run(400 * time.Millisecond)
		p.e.Used(p.w.now, "n", adapter(name), 10*(i+1), 0)
	}
	p.e.Used(p.w.now, "n", adapter("a1"), 1, 1) // in use, though the least used
	p.w.held["a1"].uses = 1
	p.run(200 * time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a4"), 1, 1)
	p.run(400 * time.Millisecond)
	assert.Equal(t, p.told["a4"], string(TellHeld))
	assert.Equal(t, p.told["a2"], string(TellGone))
	assert.Equal(t, p.w.broken, "")
}

func TestNoRoomIsToldAfterAWhile(t *testing.T) {
	p := newPlay(1)
	p.run(reportLag + 50*time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(300 * time.Millisecond)
	p.e.Used(p.w.now, "n", adapter("a1"), 1, 1)
	p.e.Want(p.w.now, "n", adapter("a2"), 1, 1)
	p.run(refuseAfter - 100*time.Millisecond)
	assert.Equal(t, p.told["a2"], "")
	p.run(300 * time.Millisecond)
	assert.Equal(t, p.told["a2"], string(TellRetry))
}

func TestNewerVersionReplaces(t *testing.T) {
	p := newPlay(2)
	p.run(reportLag + 50*time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(300 * time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 2, 1)
	p.run(100 * time.Millisecond)
	assert.Assert(t, !p.e.Holds(adapter("a1"), 2), "its weights are on their way")
	p.run(300 * time.Millisecond)
	assert.Assert(t, p.e.Holds(adapter("a1"), 2))
	assert.Equal(t, p.w.held["a1"].version, 2)
}

func TestRestartedEngineGetsItsModel(t *testing.T) {
	p := newPlay(2)
	p.w.restart()
	p.e = NewEngine(chestnutstream.Backend{ID: "i-1", Born: 2}, testKind(2), p.w.now)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(reportLag + 200*time.Millisecond)
	assert.Equal(t, p.told["a1"], string(TellRetry), "nobody waits for a base model")
	p.run(2 * time.Second)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(300 * time.Millisecond)
	assert.Equal(t, p.told["a1"], string(TellHeld))
}

func TestWaitingForRunsHoldsNothingUpForLong(t *testing.T) {
	p := newPlay(2)
	p.run(reportLag + 50*time.Millisecond)
	for _, name := range []string{"a1", "a2"} {
		p.e.Want(p.w.now, "n", adapter(name), 1, 1)
		p.run(400 * time.Millisecond)
	}
	// The engine runs requests of which the loader has not heard.
	p.w.held["a1"].uses, p.w.held["a2"].uses = 1, 1
	p.e.Want(p.w.now, "n", adapter("a3"), 1, 1)
	p.run(200 * time.Millisecond)
	p.w.held["a1"].uses = 0
	p.w.held["a2"].uses = 0
	p.run(350 * time.Millisecond)
	assert.Equal(t, p.told["a3"], string(TellHeld), "the runs ended 0.35 s ago")
}

func TestLostOrdersAreSentAgain(t *testing.T) {
	p := newPlay(4)
	p.run(reportLag + 50*time.Millisecond)
	fates := []string{"late", "unanswered", "answered"}
	p.fate = func() string {
		f := fates[0]
		if len(fates) > 1 {
			fates = fates[1:]
		}
		return f
	}
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(600 * time.Millisecond)
	assert.Equal(t, p.told["a1"], string(TellHeld))
	p.run(3 * time.Second) // the first order is carried out now
	assert.Equal(t, p.w.loads, 1)
	assert.Equal(t, p.w.broken, "")
}

// Whatever is wanted, used, lost or late: never more adapters than slots, never
// more than four on their way, and what is wanted comes once the trouble ends.
func TestEngineIsNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		p := newPlay(slots)
		trouble := rapid.IntRange(0, 6).Draw(t, "trouble")
		fates := []string{"answered", "answered", "answered", "answered", "late", "unanswered", "lost"}
		p.fate = func() string { return rapid.SampledFrom(fates[:max(trouble, 1)]).Draw(t, "fate") }
		names := []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"}
		for range rapid.IntRange(5, 60).Draw(t, "moves") {
			name := rapid.SampledFrom(names).Draw(t, "adapter")
			switch rapid.SampledFrom([]string{"want", "want", "run", "run", "use", "end", "restart", "owner"}).Draw(t, "move") {
			case "want":
				p.e.Want(p.w.now, "n", adapter(name), rapid.IntRange(1, 3).Draw(t, "version"), 1)
			case "run":
				p.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "hundredths")) * 10 * time.Millisecond)
			case "use":
				if h := p.w.held[name]; h != nil && h.version > 0 {
					h.uses++
					if rapid.Bool().Draw(t, "told") {
						p.e.Used(p.w.now, "n", adapter(name), 1, h.uses)
					}
				}
			case "end":
				if h := p.w.held[name]; h != nil && h.uses > 0 {
					h.uses--
					p.e.Used(p.w.now, "n", adapter(name), 0, h.uses)
				}
			case "restart":
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					p.w.restart()
					p.e = NewEngine(chestnutstream.Backend{ID: "i-1", Born: int64(p.w.now)}, testKind(slots), p.w.now)
				}
			case "owner":
				// Another instance takes over; orders of the last one may be late.
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					p.e = NewEngine(chestnutstream.Backend{ID: "i-1"}, testKind(slots), p.w.now)
				}
			}
			if p.w.broken != "" {
				t.Fatal(p.w.broken)
			}
		}
		p.fate = func() string { return "answered" }
		for _, h := range p.w.held {
			h.uses = 0
		}
		for _, name := range names {
			p.e.Used(p.w.now, "n", adapter(name), 0, 0)
		}
		p.run(12 * time.Second)
		// What is told to come back comes back, as instances do.
		for end := p.w.now + 3*time.Second; p.w.now < end && p.told["a9"] != string(TellHeld); {
			p.told["a9"] = ""
			p.e.Want(p.w.now, "n", adapter("a9"), 1, 1)
			for p.told["a9"] == "" && p.w.now < end {
				p.run(50 * time.Millisecond)
			}
		}
		if p.told["a9"] != string(TellHeld) || p.w.broken != "" {
			t.Fatal(fmt.Sprintf("a9: %q, %s", p.told["a9"], p.w.broken))
		}
	})
}

// Adapters that the engine had lately load fast and are not held back for the
// store's sake; even so, four at most are on their way.
func TestFourOnTheirWayAtMost(t *testing.T) {
	p := newPlay(8)
	p.run(reportLag + 50*time.Millisecond)
	for i := range 8 {
		target := adapter(fmt.Sprintf("a%d", i))
		p.e.remember(p.w.now, target)
		p.e.Want(p.w.now, "n", target, 1, 1)
	}
	p.run(2 * time.Second)
	assert.Equal(t, p.w.broken, "")
	assert.Equal(t, len(p.w.held), 8)
}

// The load that this answers: more wants than the engine can load. In order of
// age every one would be late; so as many as the engine can load are in time.
func TestMoreWantsThanLoadsServesFreshOnesInTime(t *testing.T) {
	p := newPlay(16)
	p.run(reportLag + 50*time.Millisecond)
	inTime, late, wanted := 0, 0, map[string]time.Duration{}
	for i := range 240 { // 6 s, 40 a second; two at once take 250 ms each: 8 a second
		name := fmt.Sprintf("a%d", i)
		wanted[name] = p.w.now
		p.e.Want(p.w.now, "n", adapter(name), 1, 1)
		p.run(25 * time.Millisecond)
		for n, at := range wanted {
			switch {
			case p.told[n] == string(TellHeld) && p.w.now-at <= 500*time.Millisecond:
				inTime++
				delete(wanted, n)
			case p.told[n] == string(TellHeld):
				late++
				delete(wanted, n)
			case p.w.now-at > 3*time.Second:
				p.e.Want(p.w.now, "n", adapter(n), 1, 0) // its caller has gone
				delete(wanted, n)
			}
		}
	}
	t.Logf("%d in time, %d late", inTime, late)
	assert.Assert(t, inTime >= 40, "%d in time, %d late", inTime, late)
	assert.Assert(t, p.w.loads <= inTime+late+4, "loads for callers that had gone")
}

func TestWantIsTakenBack(t *testing.T) {
	p := newPlay(2)
	p.run(reportLag + 50*time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 2)
	p.e.Want(p.w.now, "o", adapter("a1"), 1, 1)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 0)
	p.e.Want(p.w.now, "o", adapter("a1"), 1, 0)
	p.run(400 * time.Millisecond)
	assert.Equal(t, p.w.loads, 0)
}

// An order that is carried out late, after newer ones, must find another number
// of orders than it expects. The world finds the fault when that is not checked.
func TestLateOrderIsStoppedByItsNumber(t *testing.T) {
	for _, lax := range []bool{false, true} {
		p := newPlay(1)
		p.w.lax = lax
		p.run(reportLag + 50*time.Millisecond)
		first := true
		p.fate = func() string {
			if first {
				first = false
				return "late"
			}
			return "answered"
		}
		p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
		p.run(600 * time.Millisecond)
		p.e.Want(p.w.now, "n", adapter("a2"), 1, 1)
		p.run(3 * time.Second)
		assert.Equal(t, p.w.broken != "", lax, "checked: %t: %s", !lax, p.w.broken)
	}
}

// A report is some hundred milliseconds old: one that knows nothing of the newest
// order says nothing of its adapter, whose slot stays taken.
func TestReportOlderThanTheNewestOrder(t *testing.T) {
	p := newPlay(2)
	p.run(reportLag + 50*time.Millisecond)
	p.e.Want(p.w.now, "n", adapter("a1"), 1, 1)
	p.run(400 * time.Millisecond)
	assert.Equal(t, p.told["a1"], string(TellHeld))
	old := p.w.report()
	p.e.Want(p.w.now, "n", adapter("a2"), 1, 1)
	p.step()
	assert.Equal(t, p.e.count, old.OrderCount+1)
	taken, _ := p.e.Slots()
	assert.Equal(t, taken, 2)
	assert.Equal(t, len(p.e.Reported(p.w.now, old)), 0)
	taken, _ = p.e.Slots()
	assert.Equal(t, taken, 2, "the slot of an adapter on its way")
	assert.Equal(t, p.e.count, old.OrderCount+1)
	p.run(400 * time.Millisecond)
	assert.Equal(t, p.told["a2"], string(TellHeld))
	assert.Equal(t, p.w.broken, "")
}
