package fleet

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// promptWay is a way to place prompts that the simulation compares.
type promptWay string

const (
	byAdapter   promptWay = "adapter"        // hashing by adapter, the placement without an estimate
	byPart      promptWay = "adapter+part"   // hashing by adapter and first large part
	byEstimate  promptWay = "estimate"       // the estimate of the wait, without cached prompts
	byOwnMemory promptWay = "own-memory"     // and with what this instance has sent
	byPeers     promptWay = "summaries"      // and with the large prompts that others have sent
	byReaders   promptWay = "events-readers" // and with the engines' caches, read by 4 instances once a second
	byEvents    promptWay = "events-all"     // the same, read by all instances
	byOracle    promptWay = "exact"          // and with the engines' caches at the moment of the choice
)

// promptLoad is a load of the simulation.
type promptLoad struct {
	name     string
	rate     float64 // requests a second, and 1.6 times as many for 3 s of 20
	adapters int
	large    float64 // share of the requests with large prompts
	warmup   time.Duration
}

var promptLoads = []promptLoad{
	{"usual", 350, 60, 0.02, time.Minute},
	{"calm", 120, 60, 0.02, time.Minute},
	{"busy", 440, 60, 0.02, time.Minute},
	{"large prompts", 200, 60, 0.1, time.Minute},
	{"few adapters", 300, 12, 0.05, time.Minute},
}

// compare runs ways on the same loads and logs what each kind of request got.
func compare(t *testing.T, l promptLoad, seed uint64, d time.Duration, ways ...promptWay) map[promptWay]promptResult {
	results := map[promptWay]promptResult{}
	for _, way := range ways {
		r := newPromptSimulation(way, l, seed).run(d)
		results[way] = r
		t.Logf("%-13s seed %d %-14s small p50 %3d p95 %4d saved %.3f; large p50 %3d p95 %4d saved %.3f believed %.3f; worst busy %.2f running %.1f; loads %d",
			l.name, seed, way, r.small.quantile(0.5), r.small.quantile(0.95), r.small.saved(),
			r.large.quantile(0.5), r.large.quantile(0.95), r.large.saved(), r.large.believed/float64(r.large.tokens), r.worstBusy, r.worstRunning, r.loads)
	}
	return results
}

var allPromptWays = flag.Bool("prompt-ways", false, "log the figures of docs/design/prompt-prefixes.md")

// Guards against a model of cached prompts that makes an engine a hot spot, that makes one kind
// of request slower than the estimate without it does, or that saves no work.
func TestPromptPlacement(t *testing.T) {
	if *allPromptWays {
		for _, l := range promptLoads {
			for seed := range uint64(3) {
				compare(t, l, seed, 2*time.Minute, byAdapter, byPart, byEstimate, byOwnMemory, byPeers, byReaders, byEvents, byOracle)
			}
		}
		return
	}
	l := promptLoads[len(promptLoads)-1]
	l.warmup = 20 * time.Second
	results := compare(t, l, 1, 40*time.Second, byEstimate, byPeers)
	without, with := results[byEstimate], results[byPeers]
	assert.Assert(t, with.small.quantile(0.95) <= without.small.quantile(0.95)+10, "small prompts, 95th percentile in ms")
	assert.Assert(t, with.large.quantile(0.95) <= without.large.quantile(0.95)+10, "large prompts, 95th percentile in ms")
	assert.Assert(t, with.worstBusy <= without.worstBusy+0.1, "worst engine")
	assert.Assert(t, with.large.saved() >= without.large.saved()+0.02, "saved prefill of large prompts")
}
