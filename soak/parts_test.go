package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against seeds that all have the same parts, so that some part or a run without parts
// is never played.
func TestSeedsSelectParts(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(200) {
		p := drawParts(seed)
		assert.Equal(t, p, drawParts(seed))
		seen[strings.Join(p.names(), " ")]++
	}
	assert.Equal(t, len(seen), 6, "%v", seen)
	for names, n := range seen {
		assert.Assert(t, n >= 10, "%q: %d of 200 seeds", names, n)
	}
}

// Guards against a configuration or settings that change in runs without workspaces.
func TestRunsWithoutWorkspacesAreUnchanged(t *testing.T) {
	var w *workspaces
	contracts, bounds := w.settings()
	assert.Equal(t, w.route()+w.tenants()+contracts+bounds, "")
}

// Guards against assumed paces where servers state none or a malformed one.
func TestCheckPaces(t *testing.T) {
	d := stateDump{Servers: []dumpedServer{{ID: "i-engine-0", Service: "assistant", Pace: 2.5, Speed: 0.8}, {ID: "i-desk-1", Service: "desk", Pace: 1, Speed: 1}}}
	p := parts{pace: true, unstated: "desk"}
	assert.Equal(t, len(checkPaces(d, p.statesPace)), 0)
	d.Servers = append(d.Servers, dumpedServer{ID: "i-desk-2", Service: "desk", Pace: 0.8, Speed: 1}, dumpedServer{ID: "i-desk-3", Service: "desk", Pace: 1, Speed: 1.3})
	assert.DeepEqual(t, checkPaces(d, p.statesPace), []string{"i-desk-2", "i-desk-3"})
}

// Guards against servers of a service without valid numbers that send one.
func TestUnstatedPacesAreNoNumbers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	for range 100 {
		p := drawPace(rng, false)
		for _, valid := range paces {
			assert.Assert(t, !valid.isNumber || p.stated != valid.stated, "%q", p.stated)
		}
	}
}

// Guards against a record of faults that takes an instance for one that reaches the store.
func TestStoreReachedSince(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	tests := []struct {
		name string
		set  func(r *run, inst *instance)
		want time.Duration // since which the store is reached, at most
	}{
		{"no fault", func(*run, *instance) {}, 2 * time.Hour},
		{"link cut", func(_ *run, inst *instance) { inst.storeLink.setFaults(0, true, false) }, 0},
		{"link restored", func(_ *run, inst *instance) { inst.storeLink.setFaults(0, false, false) }, time.Second},
		{"link reset", func(_ *run, inst *instance) { inst.storeLink.reset() }, time.Second},
		{"store slow", func(r *run, _ *instance) { r.faultyStore.setFaults(time.Second, 0, 0, false) }, 0},
		{"store back", func(r *run, _ *instance) { r.faultyStore.setFaults(0, 0, 0, false) }, time.Second},
		{"paused", func(_ *run, inst *instance) { inst.paused = true }, 0},
		{"watches silent", func(r *run, _ *instance) { r.suppressedWatches = 1 }, 0},
		{"store returns from a copy", func(r *run, _ *instance) { r.beginRestore() }, 0},
		{"store returned", func(r *run, _ *instance) { r.beginRestore(); r.endRestore() }, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inst := &instance{storeLink: &proxy{changedAt: long}, changedAt: long}
			r := &run{deployment: &deployment{faultyStore: &faultyStore{changedAt: long}, instances: []*instance{inst}}}
			tt.set(r, inst)
			since := time.Since(r.allReachedStoreSince())
			time.Sleep(time.Millisecond)
			if tt.want > time.Hour {
				assert.Assert(t, since > 50*time.Minute, "%v", since)
				return
			}
			assert.Assert(t, since <= tt.want+100*time.Millisecond, "%v", since)
		})
	}
}
