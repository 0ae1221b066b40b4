package loader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// Guards against counting adapters only against the slots, which loaded more weights
// than the engine holds.
func TestLargeAdaptersDoNotExceedWeights(t *testing.T) {
	tests := []struct {
		adapterMB float64
		loaded    int
	}{
		{0, 8},
		{1, 8},
		{2, 5},
		{3, 3},
		{10, 1},
		{11, 0},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.adapterMB), func(t *testing.T) {
			s := newSimulation(8)
			s.setAdapterSize(tt.adapterMB)
			s.run(reportLag + 50*time.Millisecond)
			for i := range 16 {
				s.loader.RequestLoad(s.engine.now, "n", adapter(fmt.Sprint("a", i)), 1, 1)
			}
			s.run(4 * time.Second)
			assert.Equal(t, s.engine.violation, "")
			assert.Equal(t, len(s.engine.adapters), tt.loaded)
		})
	}
}

// Guards against a replacement beside the older version where only one of them fits.
func TestReplacementDoesNotExceedWeights(t *testing.T) {
	tests := []struct {
		name      string
		adapterMB float64
		others    int // adapters loaded beside the replaced one
		left      int
	}{
		{"both versions fit", 3, 1, 1},
		{"another adapter makes room", 3, 2, 1},
		{"the older version makes room", 6, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(8)
			s.setAdapterSize(tt.adapterMB)
			s.run(reportLag + 50*time.Millisecond)
			s.loader.RequestLoad(s.engine.now, "n", adapter("a"), 1, 1)
			for i := range tt.others {
				s.loader.RequestLoad(s.engine.now, "n", adapter(fmt.Sprint("a", i)), 1, 1)
			}
			s.run(time.Second)
			assert.Equal(t, len(s.engine.adapters), 1+tt.others)
			s.loader.RequestLoad(s.engine.now, "n", adapter("a"), 2, 1)
			s.run(time.Second)
			assert.Equal(t, s.engine.violation, "")
			assert.Assert(t, s.loader.IsLoaded(adapter("a"), 2))
			assert.Equal(t, len(s.engine.adapters), 1+tt.left)
		})
	}
}

// Guards against an owner that does not know that an engine still holds the older
// version of an adapter.
func TestReplacementInReportCountsBothVersions(t *testing.T) {
	s := newSimulation(8)
	s.setAdapterSize(3)
	s.engine.adapters["a"] = &fakeAdapter{version: 1, nextVersion: 2, readyAt: s.engine.now + 300*time.Millisecond, requests: 1}
	s.engine.adapters["b"] = &fakeAdapter{version: 1, requests: 1}
	s.run(reportLag + 50*time.Millisecond)
	assert.Equal(t, s.loader.free().weightsMB, 1.0)
	s.engine.adapters["a"].requests = 0
	s.run(500 * time.Millisecond)
	assert.Equal(t, s.loader.free().weightsMB, 4.0)
}

// Guards against a loader that keeps the configuration with which it began.
func TestLargerAdaptersOfNewConfigurationDoNotExceedWeights(t *testing.T) {
	s := newSimulation(8)
	s.setAdapterSize(1)
	s.run(reportLag + 50*time.Millisecond)
	for i := range 8 {
		s.loader.RequestLoad(s.engine.now, "n", adapter(fmt.Sprint("a", i)), 1, 1)
	}
	s.run(2 * time.Second)
	assert.Equal(t, len(s.engine.adapters), 8)
	s.engine.adapterMB = 3
	spec := testSpec(8)
	spec.Models[0].AdapterMB = 3
	s.loader.SetSpec(s.engine.now, spec)
	s.run(time.Second)
	assert.Equal(t, len(s.engine.adapters), 8, "nothing is evicted while no adapter is wanted")
	s.loader.RequestLoad(s.engine.now, "n", adapter("b"), 1, 1)
	s.run(time.Second)
	assert.Equal(t, s.engine.violation, "")
	assert.Equal(t, s.notified["b"], string(NotifyLoaded))
	assert.Equal(t, len(s.engine.adapters), 3)
}

// Guards against an order that is sent again though it no longer fits.
func TestUnansweredOrderIsNotResentAfterNewConfiguration(t *testing.T) {
	s := newSimulation(8)
	s.setAdapterSize(1)
	s.run(reportLag + 50*time.Millisecond)
	s.outcome = func() string { return "lost" }
	s.loader.RequestLoad(s.engine.now, "n", adapter("a"), 1, 1)
	s.step()
	s.outcome = func() string { return "answered" }
	s.engine.adapterMB = 11
	spec := testSpec(8)
	spec.Models[0].AdapterMB = 11
	s.loader.SetSpec(s.engine.now, spec)
	s.run(2 * time.Second)
	assert.Equal(t, s.engine.violation, "")
	assert.Equal(t, s.engine.loads, 0)
}

func TestAdapterThatNeverFitsIsRejectedAtOnce(t *testing.T) {
	s := newSimulation(8)
	s.setAdapterSize(11)
	s.run(reportLag + 50*time.Millisecond)
	s.loader.RequestLoad(s.engine.now, "n", adapter("a"), 1, 1)
	s.step()
	assert.Equal(t, s.notified["a"], string(RejectLoad))
	assert.Equal(t, s.engine.loads, 0)
}

// Guards against engines that load nothing because the configuration states no weights.
func TestEngineWithoutStatedWeightsIsLimitedBySlots(t *testing.T) {
	for _, weightsMB := range []float64{0, -1} {
		spec := chestnutstream.EngineSpec{WeightsMB: weightsMB, AdapterSlots: 2, Models: []chestnutstream.ModelSpec{{Name: "m", WeightsMB: 90, AdapterMB: 1}}}
		assert.Assert(t, spec.Fits(adapter("a1")) && spec.Fits(chestnutstream.ModelAdapter{Model: "m"}))
		e := NewEngine(chestnutstream.Backend{ID: "i"}, spec, 0)
		assert.Assert(t, e.free().fits(e.need(adapter("a1"))))
	}
}
