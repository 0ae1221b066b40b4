package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// prefillSimulation simulates instances that send small prompts and a few large
// ones to engines that prefill prompts one after the other.
type prefillSimulation struct {
	fleets     []*Fleet
	idleAt     map[string]time.Time // when an engine has prefilled all prompts sent to it
	requests   []simulatedRequest
	reportedAt time.Time // when the engines' loads were last reported
	trackSizes bool      // whether placement knows the sizes of prompts; false is the baseline
}

// simulatedRequest is a request in progress on an engine.
type simulatedRequest struct {
	from   int
	server string
	end    time.Time
}

const (
	simTokensPerMS   = 30.0
	simEngines       = 12
	simInstances     = 6
	smallPrompt      = 650
	bigPrompt        = 9000
	smallTarget      = 600 * time.Millisecond
	bigTarget        = 800 * time.Millisecond
	streamTime       = 250 * time.Millisecond // from the first event to the last
	loadReportPeriod = 150 * time.Millisecond // between reports of the engines' loads
)

func newPrefillSimulation(trackSizes bool) *prefillSimulation {
	p := &prefillSimulation{idleAt: map[string]time.Time{}, trackSizes: trackSizes}
	for range simInstances {
		p.fleets = append(p.fleets, engines(simEngines))
	}
	return p
}

// advance completes the requests that have ended by now and reports the engines'
// loads when they are due.
func (p *prefillSimulation) advance(now time.Time) {
	var left []simulatedRequest
	for _, r := range p.requests {
		if r.end.After(now) {
			left = append(left, r)
		} else {
			p.fleets[r.from].RecordDone(r.server)
		}
	}
	p.requests = left
	if now.Sub(p.reportedAt) < loadReportPeriod {
		return
	}
	p.reportedAt = now
	loads := map[string]int{}
	for _, r := range p.requests {
		loads[r.server]++
	}
	for _, f := range p.fleets {
		for _, s := range f.Servers() {
			f.SetTotalRequests(s.ID, loads[s.ID])
		}
	}
}

// request sends one request and returns the time to its first event.
func (p *prefillSimulation) request(now time.Time, from int, target chestnutstream.ModelAdapter, tokens int, latency time.Duration) time.Duration {
	f := p.fleets[from]
	r := Request{Service: testService, Target: target, Version: 1, Latency: latency}
	if p.trackSizes {
		r.Prompt = chestnutstream.Prompt{Tokens: tokens}
	}
	c := f.PickEngine(now, r, nil, anyLoadable)
	at := now
	if !c.Loaded {
		at = now.Add(adapterLoadTime)
	}
	loaded := []*Server{c.Server}
	if c.Replica != nil {
		loaded = append(loaded, c.Replica)
	}
	for _, g := range p.fleets {
		for _, s := range loaded {
			g.RecordLoaded(now, s.ID, target, 1)
		}
		g.RecordPrefill(now, c.Server.ID, r.Prompt.Tokens)
	}
	if p.idleAt[c.Server.ID].After(at) {
		at = p.idleAt[c.Server.ID]
	}
	at = at.Add(time.Duration(float64(tokens) / simTokensPerMS * float64(time.Millisecond)))
	p.idleAt[c.Server.ID] = at
	f.RecordSent(c.Server.ID)
	p.requests = append(p.requests, simulatedRequest{from, c.Server.ID, at.Add(streamTime)})
	return at.Sub(now)
}

// run returns the shares of small and large requests whose first event meets
// their latency target.
func (p *prefillSimulation) run(seed uint64) (small, large float64) {
	r := rand.New(rand.NewPCG(seed, 7))
	now := start
	count, inTime := [2]float64{}, [2]float64{}
	for i := range 6000 {
		now = now.Add(time.Duration(r.ExpFloat64() * 7.5 * float64(time.Millisecond)))
		p.advance(now)
		// A few adapters get most requests and have replicas on several engines.
		target := chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint(int(r.ExpFloat64() * 8))}
		if r.IntN(20) == 0 {
			target.Adapter = ""
		}
		kind, tokens, latency := 0, smallPrompt, smallTarget
		if r.IntN(15) == 0 {
			kind, tokens, latency = 1, bigPrompt, bigTarget
		}
		took := p.request(now, r.IntN(simInstances), target, tokens, latency)
		if i < 500 {
			continue // warm-up: the adapters are being loaded
		}
		count[kind]++
		if took <= latency {
			inTime[kind]++
		}
	}
	return inTime[0] / count[0], inTime[1] / count[1]
}

// One prompt in fifteen is fourteen times as large as the others, on engines that
// spend 45% of the time on prefill. Placement that ignores the sizes of prompts
// lets requests queue behind the large ones; known sizes must halve the late
// requests at least.
func TestLargePromptsDoNotQueueBehindOneAnother(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		smallBaseline, largeBaseline := newPrefillSimulation(false).run(seed)
		small, large := newPrefillSimulation(true).run(seed)
		t.Logf("seed %d: in time, baseline and now: small %.3f %.3f, large %.3f %.3f", seed, smallBaseline, small, largeBaseline, large)
		assert.Assert(t, 1-small < (1-smallBaseline)/2, "small: %.3f late, baseline %.3f", 1-small, 1-smallBaseline)
		assert.Assert(t, 1-large < (1-largeBaseline)/2, "large: %.3f late, baseline %.3f", 1-large, 1-largeBaseline)
	}
}

// Requests for the base model may run on any engine and must not all go to one.
func TestBaseModelIsServedByAllEngines(t *testing.T) {
	f := engines(9)
	counts := map[string]int{}
	for i := range 180 {
		c := f.PickEngine(start, Request{
			Service: testService, Target: chestnutstream.ModelAdapter{Model: "m"},
			Prompt: chestnutstream.Prompt{Tokens: smallPrompt, SharedParts: fmt.Sprint(i % 60)},
		}, nil, anyLoadable)
		assert.Assert(t, c.Loaded)
		counts[c.Server.ID]++
	}
	assert.Equal(t, len(counts), 9)
}

// The estimate must follow engines with a lower or higher prefill rate than
// assumed at first.
func TestPrefillRateEstimateConverges(t *testing.T) {
	for _, tokensPerMS := range []float64{5, 30, 200} {
		f := engines(1)
		for range 60 {
			took := firstEventOverhead + time.Duration(bigPrompt/tokensPerMS*float64(time.Millisecond))
			f.RecordFirstEvent(start, "e0", chestnutstream.Prompt{Tokens: bigPrompt}, took)
		}
		want := firstEventOverhead + time.Duration(bigPrompt/tokensPerMS*float64(time.Millisecond))
		got := f.EstimateFirstEvent(start, "e0", bigPrompt)
		assert.Assert(t, got > want*9/10 && got < want*11/10, "want about %v, estimated %v", want, got)
	}
}

// For any sequence of prompts and response times, the estimated prefill wait of an
// engine must be within its bounds, never negative, and end.
func TestPrefillWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := engines(1)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "prompts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			f.RecordPrefill(now, "e0", rapid.IntRange(-100, 1<<40).Draw(t, "tokens"))
			f.RecordFirstEvent(now, "e0", chestnutstream.Prompt{Tokens: rapid.Int().Draw(t, "prompt")}, time.Duration(rapid.Int64().Draw(t, "took")))
			wait := f.Server("e0").PrefillWait(now)
			if wait < 0 || wait > maxPrefillWait {
				t.Fatalf("prefill wait %v out of bounds", wait)
			}
		}
		if f.Server("e0").PrefillWait(now.Add(maxPrefillWait)) != 0 {
			t.Fatal("the prefill wait does not end")
		}
	})
}
