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

func testSpec(slots int) chestnutstream.EngineSpec {
	return chestnutstream.EngineSpec{
		Slots: 64, WeightsMB: testWeightsMB, AdapterSlots: slots,
		Models: []chestnutstream.ModelSpec{{Name: testModel, WeightsMB: testModelMB, LoadTime: 1300 * time.Millisecond}},
	}
}

// simulation runs a loader against a simulated engine. outcome returns what
// happens to an order: "answered", "lost", "unanswered" (executed, the response
// lost) or "late" (executed after a delay, without a response).
type simulation struct {
	engine   *fakeEngine
	loader   *Engine
	outcome  func() string
	notified map[string]string // last kind of message to instance "n", by adapter
}

func newSimulation(slots int) *simulation {
	engine := newFakeEngine(slots)
	return &simulation{
		engine: engine, loader: NewEngine(chestnutstream.Backend{ID: "i-1"}, testSpec(slots), engine.now),
		outcome: func() string { return "answered" }, notified: map[string]string{},
	}
}

// setAdapterSize sets the size of the adapters, at the engine and in its configuration.
func (s *simulation) setAdapterSize(mb float64) {
	s.engine.adapterMB = mb
	s.loader.spec.Models[0].AdapterMB = mb
}

// step calls the loader once and executes its actions.
func (s *simulation) step() {
	for _, a := range s.loader.Step(s.engine.now) {
		switch a.Kind {
		case ReadReport:
			s.record(s.loader.ApplyReport(s.engine.now, s.engine.report()))
		case GiveOrder:
			s.order(a)
		default:
			s.record([]Action{a})
		}
	}
}

func (s *simulation) order(a Action) {
	o := a.Order
	result := chestnutstream.OrderUnknown
	switch s.outcome() {
	case "answered":
		result = s.engine.execute(o)
	case "unanswered":
		s.engine.execute(o)
	case "late":
		s.engine.delayed = append(s.engine.delayed, delayedOrder{s.engine.now + 2*time.Second, o})
	}
	if result == chestnutstream.OrderUnknown {
		s.engine.advance(80 * time.Millisecond)
	}
	if a.Poll {
		s.record(s.loader.RecordPoll(s.engine.now, o, result))
		return
	}
	s.record(s.loader.RecordOrderResult(s.engine.now, o, result))
}

func (s *simulation) record(actions []Action) {
	for _, a := range actions {
		s.notified[a.Target.Adapter] = string(a.Kind)
	}
}

// run advances time in steps of 10 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.engine.now + d; s.engine.now < end; {
		s.step()
		s.engine.advance(10 * time.Millisecond)
	}
}

func TestRequestedAdapterIsLoadedAndInstanceNotified(t *testing.T) {
	s := newSimulation(4)
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(300 * time.Millisecond)
	assert.Equal(t, s.notified["a1"], string(NotifyLoaded))
	assert.Equal(t, s.engine.loads, 1)
}

func TestLeastUsedAdapterIsEvictedAndItsUsersNotified(t *testing.T) {
	s := newSimulation(3)
	s.run(reportLag + 50*time.Millisecond)
	for i, name := range []string{"a1", "a2", "a3"} {
		s.loader.RequestLoad(s.engine.now, "n", adapter(name), 1, 1)
		s.run(400 * time.Millisecond)
		s.loader.RecordUsage(s.engine.now, "n", adapter(name), 10*(i+1), 0)
	}
	s.loader.RecordUsage(s.engine.now, "n", adapter("a1"), 1, 1) // in use, though with the lowest score
	s.engine.adapters["a1"].requests = 1
	s.run(200 * time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a4"), 1, 1)
	s.run(400 * time.Millisecond)
	assert.Equal(t, s.notified["a4"], string(NotifyLoaded))
	assert.Equal(t, s.notified["a2"], string(NotifyUnloaded))
	assert.Equal(t, s.engine.violation, "")
}

func TestLoadRequestWithoutFreeSlotIsRejectedAfterTimeout(t *testing.T) {
	s := newSimulation(1)
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(300 * time.Millisecond)
	s.loader.RecordUsage(s.engine.now, "n", adapter("a1"), 1, 1)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a2"), 1, 1)
	s.run(slotWaitTimeout - 100*time.Millisecond)
	assert.Equal(t, s.notified["a2"], "")
	s.run(300 * time.Millisecond)
	assert.Equal(t, s.notified["a2"], string(RejectLoad))
}

func TestNewerVersionReplacesLoadedOne(t *testing.T) {
	s := newSimulation(2)
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(300 * time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 2, 1)
	s.run(100 * time.Millisecond)
	assert.Assert(t, !s.loader.IsLoaded(adapter("a1"), 2), "version 2 is still loading")
	s.run(300 * time.Millisecond)
	assert.Assert(t, s.loader.IsLoaded(adapter("a1"), 2))
	assert.Equal(t, s.engine.adapters["a1"].version, 2)
}

func TestRestartedEngineLoadsBaseModel(t *testing.T) {
	s := newSimulation(2)
	s.engine.restart()
	s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: 2}, testSpec(2), s.engine.now)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(reportLag + 200*time.Millisecond)
	assert.Equal(t, s.notified["a1"], string(RejectLoad), "no load request waits for a base model")
	s.run(2 * time.Second)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(300 * time.Millisecond)
	assert.Equal(t, s.notified["a1"], string(NotifyLoaded))
}

func TestUnloadBlockedByRunsDelaysLoadsBriefly(t *testing.T) {
	s := newSimulation(2)
	s.run(reportLag + 50*time.Millisecond)
	for _, name := range []string{"a1", "a2"} {
		s.loader.RequestLoad(s.engine.now, "n", adapter(name), 1, 1)
		s.run(400 * time.Millisecond)
	}
	// The engine runs requests that were not reported to the loader.
	s.engine.adapters["a1"].requests, s.engine.adapters["a2"].requests = 1, 1
	s.loader.RequestLoad(s.engine.now, "n", adapter("a3"), 1, 1)
	s.run(200 * time.Millisecond)
	s.engine.adapters["a1"].requests = 0
	s.engine.adapters["a2"].requests = 0
	s.run(350 * time.Millisecond)
	assert.Equal(t, s.notified["a3"], string(NotifyLoaded), "0.35 s after the runs ended")
}

func TestLostOrdersAreResent(t *testing.T) {
	s := newSimulation(4)
	s.run(reportLag + 50*time.Millisecond)
	outcomes := []string{"late", "unanswered", "answered"}
	s.outcome = func() string {
		first := outcomes[0]
		if len(outcomes) > 1 {
			outcomes = outcomes[1:]
		}
		return first
	}
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(600 * time.Millisecond)
	assert.Equal(t, s.notified["a1"], string(NotifyLoaded))
	s.run(3 * time.Second) // the first order arrives late in this time
	assert.Equal(t, s.engine.loads, 1)
	assert.Equal(t, s.engine.violation, "")
}

// Under any sequence of load requests, usage and lost or late orders there are
// never more adapters than slots, never more weights than the engine holds and never more than four loading, and requested
// adapters are loaded once the faults end.
func TestEngineIsNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		s := newSimulation(slots)
		adapterMB := rapid.SampledFrom([]float64{0, 1, 2, 3, 6}).Draw(t, "size")
		spec := func() chestnutstream.EngineSpec {
			spec := testSpec(slots)
			spec.Models[0].AdapterMB = adapterMB
			return spec
		}
		s.setAdapterSize(adapterMB)
		faults := rapid.IntRange(0, 6).Draw(t, "faults")
		outcomes := []string{"answered", "answered", "answered", "answered", "late", "unanswered", "lost"}
		s.outcome = func() string { return rapid.SampledFrom(outcomes[:max(faults, 1)]).Draw(t, "outcome") }
		names := []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"}
		for range rapid.IntRange(5, 60).Draw(t, "moves") {
			name := rapid.SampledFrom(names).Draw(t, "adapter")
			switch rapid.SampledFrom([]string{"want", "want", "run", "run", "use", "end", "restart", "owner"}).Draw(t, "move") {
			case "want":
				s.loader.RequestLoad(s.engine.now, "n", adapter(name), rapid.IntRange(1, 3).Draw(t, "version"), 1)
			case "run":
				s.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "hundredths")) * 10 * time.Millisecond)
			case "use":
				if a := s.engine.adapters[name]; a != nil && a.version > 0 {
					a.requests++
					if rapid.Bool().Draw(t, "reported") {
						s.loader.RecordUsage(s.engine.now, "n", adapter(name), 1, a.requests)
					}
				}
			case "end":
				if a := s.engine.adapters[name]; a != nil && a.requests > 0 {
					a.requests--
					s.loader.RecordUsage(s.engine.now, "n", adapter(name), 0, a.requests)
				}
			case "restart":
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					s.engine.restart()
					s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: int64(s.engine.now)}, spec(), s.engine.now)
				}
			case "owner":
				// Another instance takes over; orders of the previous one may arrive late.
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					s.loader = NewEngine(chestnutstream.Backend{ID: "i-1"}, spec(), s.engine.now)
				}
			}
			if s.engine.violation != "" {
				t.Fatal(s.engine.violation)
			}
		}
		s.outcome = func() string { return "answered" }
		for _, a := range s.engine.adapters {
			a.requests = 0
		}
		for _, name := range names {
			s.loader.RecordUsage(s.engine.now, "n", adapter(name), 0, 0)
		}
		s.run(12 * time.Second)
		// A rejected load request is repeated, as instances do.
		for end := s.engine.now + 3*time.Second; s.engine.now < end && s.notified["a9"] != string(NotifyLoaded); {
			s.notified["a9"] = ""
			s.loader.RequestLoad(s.engine.now, "n", adapter("a9"), 1, 1)
			for s.notified["a9"] == "" && s.engine.now < end {
				s.run(50 * time.Millisecond)
			}
		}
		if s.notified["a9"] != string(NotifyLoaded) || s.engine.violation != "" {
			t.Fatal(fmt.Sprintf("a9: %q, %s", s.notified["a9"], s.engine.violation))
		}
	})
}

// Recently unloaded adapters load fast and are not subject to the limit of cold
// loads; even so, at most four load at once.
func TestAtMostFourAdaptersLoadAtOnce(t *testing.T) {
	s := newSimulation(8)
	s.run(reportLag + 50*time.Millisecond)
	for i := range 8 {
		target := adapter(fmt.Sprintf("a%d", i))
		s.loader.addRecent(s.engine.now, target)
		s.loader.RequestLoad(s.engine.now, "n", target, 1, 1)
	}
	s.run(2 * time.Second)
	assert.Equal(t, s.engine.violation, "")
	assert.Equal(t, len(s.engine.adapters), 8)
}

// Guards against serving load requests in order of age when there are more than
// the engine can load: then all would be late. As many as the engine can load are
// to be on time.
func TestExcessLoadRequestsServeRecentOnesOnTime(t *testing.T) {
	s := newSimulation(16)
	s.run(reportLag + 50*time.Millisecond)
	onTime, late, requested := 0, 0, map[string]time.Duration{}
	for i := range 240 { // 6 s, 40 a second; two at once take 250 ms each: 8 a second
		name := fmt.Sprintf("a%d", i)
		requested[name] = s.engine.now
		s.loader.RequestLoad(s.engine.now, "n", adapter(name), 1, 1)
		s.run(25 * time.Millisecond)
		for n, at := range requested {
			switch {
			case s.notified[n] == string(NotifyLoaded) && s.engine.now-at <= 500*time.Millisecond:
				onTime++
				delete(requested, n)
			case s.notified[n] == string(NotifyLoaded):
				late++
				delete(requested, n)
			case s.engine.now-at > 3*time.Second:
				s.loader.RequestLoad(s.engine.now, "n", adapter(n), 1, 0) // its caller has disconnected
				delete(requested, n)
			}
		}
	}
	t.Logf("%d on time, %d late", onTime, late)
	assert.Assert(t, onTime >= 40, "%d on time, %d late", onTime, late)
	assert.Assert(t, s.engine.loads <= onTime+late+4, "loads for callers that had disconnected")
}

func TestWithdrawnLoadRequestIsNotLoaded(t *testing.T) {
	s := newSimulation(2)
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 2)
	s.loader.RequestLoad(s.engine.now, "o", adapter("a1"), 1, 1)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 0)
	s.loader.RequestLoad(s.engine.now, "o", adapter("a1"), 1, 0)
	s.run(400 * time.Millisecond)
	assert.Equal(t, s.engine.loads, 0)
}

// An order that is executed late, after newer ones, must be rejected because its
// order count is outdated. Without that check the simulated engine reports a
// violation.
func TestLateOrderIsRejectedByOrderCount(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		s := newSimulation(1)
		s.engine.ignoreOrderCount = ignore
		s.run(reportLag + 50*time.Millisecond)
		first := true
		s.outcome = func() string {
			if first {
				first = false
				return "late"
			}
			return "answered"
		}
		s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
		s.run(600 * time.Millisecond)
		s.loader.RequestLoad(s.engine.now, "n", adapter("a2"), 1, 1)
		s.run(3 * time.Second)
		assert.Equal(t, s.engine.violation != "", ignore, "order count checked: %t: %s", !ignore, s.engine.violation)
	}
}

// Reports are some hundred milliseconds old. A report from before the newest order
// does not show its adapter, whose slot must stay occupied.
func TestReportOlderThanNewestOrder(t *testing.T) {
	s := newSimulation(2)
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a1"), 1, 1)
	s.run(400 * time.Millisecond)
	assert.Equal(t, s.notified["a1"], string(NotifyLoaded))
	old := s.engine.report()
	s.loader.RequestLoad(s.engine.now, "n", adapter("a2"), 1, 1)
	s.step()
	assert.Equal(t, s.loader.orderCount, old.OrderCount+1)
	taken, _ := s.loader.Slots()
	assert.Equal(t, taken, 2)
	assert.Equal(t, len(s.loader.ApplyReport(s.engine.now, old)), 0)
	taken, _ = s.loader.Slots()
	assert.Equal(t, taken, 2, "the slot of a loading adapter")
	assert.Equal(t, s.loader.orderCount, old.OrderCount+1)
	s.run(400 * time.Millisecond)
	assert.Equal(t, s.notified["a2"], string(NotifyLoaded))
	assert.Equal(t, s.engine.violation, "")
}
