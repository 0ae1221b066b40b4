package loader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

const otherModel = "m2"

// twoModelSpec is a configuration with two models, of which an engine holds one.
func twoModelSpec() chestnutstream.EngineSpec {
	spec := testSpec(4)
	spec.Models = append(spec.Models, chestnutstream.ModelSpec{Name: otherModel, WeightsMB: testModelMB})
	return spec
}

// Guards against a second base model on an engine that has started again under its ID:
// its owner begins anew, and reports do not show yet the model that it ordered before.
func TestRestartedEngineGetsNoSecondModel(t *testing.T) {
	for load := 100 * time.Millisecond; load <= 2500*time.Millisecond; load += 50 * time.Millisecond {
		s := newSimulation(4)
		s.engine.modelLoadTime = load
		s.loader.SetSpec(s.engine.now, twoModelSpec())
		s.engine.restart()
		s.run(time.Second)
		assert.Equal(t, s.engine.orderCount, 1)
		s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: 2}, twoModelSpec(), s.engine.now)
		for range 100 {
			s.loader.RequestLoad(s.engine.now, "n", chestnutstream.ModelAdapter{Model: otherModel, Adapter: "a1"}, 1, 1)
			s.run(50 * time.Millisecond)
		}
		assert.Equal(t, s.engine.violation, "", "load of %v", load)
		assert.Assert(t, s.loader.IsLoaded(chestnutstream.ModelAdapter{Model: testModel}, 0))
	}
}

// Guards against an engine that stays empty: after a restart it has accepted no order,
// and gets a model as soon as a report says so.
func TestRestartedEngineGetsModelAtFirstReport(t *testing.T) {
	s := newSimulation(4)
	s.engine.restart()
	s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: 2}, twoModelSpec(), s.engine.now)
	s.run(reportLag + 20*time.Millisecond)
	assert.Equal(t, s.engine.loadingModel, testModel)
}

// Guards against waiting forever for a model whose load has failed before this owner.
func TestEngineWithoutModelAfterFailedLoad(t *testing.T) {
	s := newSimulation(4)
	s.engine.restart()
	s.engine.orderCount = 1
	s.engine.recordReport()
	s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: 2}, twoModelSpec(), s.engine.now)
	s.run(reportLag + 20*time.Millisecond)
	assert.Equal(t, s.engine.loadingModel, "", "an order is not accounted for")
	s.run(reportLag + modelReportInterval)
	assert.Equal(t, s.engine.loadingModel, testModel)
}

// Under any sequence of restarts, new owners, and lost or late orders an engine is never
// ordered to load a model beside another one, and holds one once the faults end.
func TestEngineHoldsOneModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(4)
		s.engine.modelLoadTime = time.Duration(rapid.IntRange(5, 250).Draw(t, "load")) * 10 * time.Millisecond
		s.engine.reportLag = time.Duration(rapid.IntRange(0, 40).Draw(t, "lag")) * 10 * time.Millisecond
		s.loader.SetSpec(s.engine.now, twoModelSpec())
		outcomes := []string{"answered", "answered", "answered", "late", "unanswered", "lost"}
		s.outcome = func() string { return rapid.SampledFrom(outcomes).Draw(t, "outcome") }
		for range rapid.IntRange(5, 60).Draw(t, "moves") {
			switch rapid.SampledFrom([]string{"want", "want", "run", "run", "run", "restart", "owner"}).Draw(t, "move") {
			case "want":
				model := rapid.SampledFrom([]string{testModel, otherModel}).Draw(t, "model")
				s.loader.RequestLoad(s.engine.now, "n", chestnutstream.ModelAdapter{Model: model, Adapter: "a1"}, 1, rapid.IntRange(1, 9).Draw(t, "waiting"))
			case "run":
				s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "hundredths")) * 10 * time.Millisecond)
			case "restart":
				s.engine.restart() // its owner reads the new entry at the next "owner"
			case "owner":
				s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: int64(s.engine.now)}, twoModelSpec(), s.engine.now)
			}
			if s.engine.violation != "" {
				t.Fatal(s.engine.violation)
			}
		}
		s.outcome = func() string { return "answered" }
		s.loader = NewEngine(chestnutstream.Backend{ID: "i-1", Born: int64(s.engine.now)}, twoModelSpec(), s.engine.now)
		s.run(8 * time.Second)
		if len(s.engine.models) != 1 || s.engine.violation != "" {
			t.Fatal(len(s.engine.models), "models", s.engine.violation)
		}
	})
}
