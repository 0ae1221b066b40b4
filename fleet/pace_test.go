package fleet

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// pacedFleet returns a fleet of servers that have stated the given paces for two seconds, with
// responses that took as long as they say. e0 is the first.
func pacedFleet(paces ...float64) (f *Fleet, now time.Time) {
	f, now = engines(len(paces)), start
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for i, pace := range paces {
			id := fmt.Sprint("e", i)
			f.RecordLoad(now, id, 2, 0)
			f.RecordPace(now, id, pace)
			f.RecordServiceTime(now, id, time.Duration(pace*float64(30*time.Millisecond)), 0)
		}
	}
	return f, now
}

func slownessOf(f *Fleet, now time.Time, id string) float64 {
	return math.Round(20*f.Server(id).slowness(now)) / 20
}

// Guards against using an old pace, forgetting a server's permanent speed with it, and counting
// that speed twice, in the pace and as learned.
func TestPaceDecaysToTheMeanOfItsServer(t *testing.T) {
	f, now := pacedFleet(0.55, 1.25)
	assert.Equal(t, slownessOf(f, now, "e0"), 0.55)
	f.RecordPace(now, "e0", 2.5)
	assert.Assert(t, slownessOf(f, now, "e0") > 2.3)
	assert.Assert(t, slownessOf(f, now.Add(paceDecay), "e0") < 0.65)
	assert.Equal(t, slownessOf(f, now.Add(paceDecay), "e1"), 1.25)
	later := now.Add(evidenceTime + evidenceDecay)
	f.ApplyUpdates(now, []Entry{entry("new", 99)})
	assert.Equal(t, slownessOf(f, later, "e0"), slownessOf(f, now, "new"))
	assert.Equal(t, slownessOf(f, later, "e1"), slownessOf(f, now, "new"))
}

// Guards against placement that changes where no server states a pace, also if those of another
// service do.
func TestServicesWithoutPaceAreUnaffected(t *testing.T) {
	f, now := pacedFleet(0.55, 1.25)
	f.ApplyUpdates(now, []Entry{entry("o", 99, func(b *chestnutstream.Backend) { b.Service = "other" })})
	f.RecordServiceTime(now, "o", time.Second, 0)
	f.RecordFirstEvent(now, "o", chestnutstream.Prompt{Tokens: 100}, time.Second)
	assert.Equal(t, f.Server("o").slowness(now), 1.0)
	assert.Equal(t, f.PrefillRate(now, "o"), initialTokensPerMS)
}

// Guards against prefill grants and estimates that take all engines of a service for equal.
func TestPrefillFollowsTheEnginesPace(t *testing.T) {
	f, now := pacedFleet(0.5, 1.5)
	r := Request{Service: testService, Prompt: chestnutstream.Prompt{Tokens: bigPrompt}}
	for id, slowness := range map[string]float64{"e0": 0.5, "e1": 1.5} {
		usual := bigPrompt / initialTokensPerMS
		assert.Assert(t, math.Abs(f.PrefillRate(now, id)*slowness/initialTokensPerMS-1) < 0.05)
		estimate := milliseconds(f.EstimateFirstEvent(now, id, r.Prompt.Tokens) - firstEventOverhead)
		assert.Assert(t, math.Abs(estimate/(slowness*usual)-1) < 0.05, "%s: %f", id, estimate)
		f.RecordPrefill(now, id, bigPrompt)
		assert.Assert(t, math.Abs(milliseconds(f.Server(id).PrefillWait(now))/(slowness*usual)-1) < 0.05)
	}
}

// Guards against excluding a server that is only slow, and against keeping one that froze.
func TestSlowServersAreNotTakenForFailing(t *testing.T) {
	for _, tt := range []struct {
		interval   time.Duration
		responding int // one in so many requests; 0: none
		excluded   bool
	}{{100 * time.Millisecond, 3, false}, {250 * time.Millisecond, 0, true}} {
		f, now := pacedFleet(1, 1, 1, 3)
		rate := 0.0
		for i := range 15 {
			now = now.Add(tt.interval)
			if tt.responding > 0 && i%tt.responding == 0 {
				f.RecordPace(now, "e3", 3)
				f.RecordOutcome(now, "e3", Responded, time.Second)
			} else {
				f.RecordOutcome(now, "e3", Unresponsive, time.Second)
			}
			rate = max(rate, f.Server("e3").detector.currentFailureRate(now))
		}
		assert.Equal(t, rate >= failureRateThreshold, tt.excluded, "%f", rate)
	}
}

// Guards against counting the load of a slow engine like that of a fast one: its requests take
// longer, so that an adapter on it needs a replica sooner.
func TestSlowEnginesAreOverloadedSooner(t *testing.T) {
	for _, slowest := range []float64{1, 2.5} {
		f, now := pacedFleet(slowest, 1, 1, 1, 1, 1, 1, 1)
		now = now.Add(loadReportDecay)
		for _, s := range f.Servers() {
			f.SetTotalRequests(s.ID, 10)
		}
		r := Request{Service: testService, Version: 1, Target: chestnutstream.ModelAdapter{Model: "m"}}
		for order := []*Server{{}}; order[0] != f.Server("e0"); order, _ = f.rankedEngines(now, r, nil, false) {
			r.Target.Adapter += "a"
		}
		f.RecordLoaded(now, "e0", r.Target, 1)
		assert.Equal(t, f.PickEngine(now, r, nil, anyLoadable).Replica != nil, slowest > 1)
	}
}

// Guards against sending a burst of all instances to the server that has just stated a low pace.
func TestBurstIsSpreadOverServers(t *testing.T) {
	const instances, burst = 40, 1000
	sent := map[string]int{}
	for range instances {
		f, now := pacedFleet(2, 2, 2, 2, 2, 2, 2, 2, 2, 2)
		f.RecordLoad(now, "e0", 0, 0)
		f.RecordPace(now, "e0", 1)
		for range burst / instances {
			s := f.PickPlain(now, testService, nil)
			f.RecordSent(s.ID)
			sent[s.ID]++
		}
	}
	assert.Assert(t, sent["e0"] > burst/10 && sent["e0"] < 3*burst/10, "%v", sent)
	assert.Equal(t, len(sent), 10)
}

// For any statements and times, what is used of them must be finite and within its bounds.
func TestSlownessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := engines(2), start
		for range rapid.IntRange(1, 60).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 60e9).Draw(t, "ns")))
			id := fmt.Sprint("e", rapid.IntRange(0, 1).Draw(t, "server"))
			f.RecordLoad(now, id, rapid.IntRange(-5, 1<<40).Draw(t, "running"), rapid.IntRange(-5, 50).Draw(t, "waiting"))
			f.RecordPace(now, id, rapid.Float64Range(-1, 1e6).Draw(t, "pace"))
			f.RecordServiceTime(now, id, time.Duration(rapid.Int64().Draw(t, "took")), rapid.Int().Draw(t, "waiting"))
			f.RecordFirstEvent(now, id, chestnutstream.Prompt{Tokens: rapid.Int().Draw(t, "tokens")}, time.Duration(rapid.Int64().Draw(t, "first")))
			for _, s := range f.Servers() {
				pace, speed := s.PaceAndSpeed(now)
				if !(pace >= minPace && pace <= maxPace && speed > minSpeed-1e-9 && speed < maxSpeed+1e-9) {
					t.Fatalf("pace %f, speed %f", pace, speed)
				}
				if total := f.estimatePlain(now, s).Total(); math.IsNaN(total) || math.IsInf(total, 0) {
					t.Fatalf("estimate %f", total)
				}
			}
			if f.PickPlain(now, testService, nil) == nil {
				t.Fatal("no server")
			}
		}
	})
}
