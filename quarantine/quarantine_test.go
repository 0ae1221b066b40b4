package quarantine

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
)

func TestMain(m *testing.M) { os.Exit(citest.Run(m)) }

func firstInstance(Trait) int { return 0 }

// crash returns the crash of a server on which the responses to the given prompts had
// just begun.
func crash(server string, prompts ...[]string) ServerCrash {
	c := ServerCrash{Service: simService, Server: server}
	for _, ids := range prompts {
		c.Runs = append(c.Runs, Run{Traits: ids, Progress: chestnutstream.ResponseBegun})
	}
	return c
}

func (t *Tracker) blocks(now time.Time, ids ...string) bool {
	return t.Check(now, simService, ids, firstInstance).Blocked
}

// step is an event of a test: a crash of a server, or a survival.
type step struct {
	at       time.Duration
	server   string // empty: a survival
	progress chestnutstream.ResponseProgress
	ids      []string
}

func TestVerdicts(t *testing.T) {
	const begun, none, underWay = chestnutstream.ResponseBegun, chestnutstream.ResponseNone, chestnutstream.ResponseUnderWay
	prompt := []string{"first", "caller", "dead"}
	tests := []struct {
		name  string
		steps []step
		want  bool
	}{
		{"one crash", []step{{time.Second, "i-1", begun, prompt}}, false},
		{"two crashes", []step{{time.Second, "i-1", begun, prompt}, {2 * time.Second, "i-2", begun, prompt}}, true},
		{"one crash seen twice", []step{{time.Second, "i-1", begun, prompt}, {1100 * time.Millisecond, "i-1", begun, prompt}}, false},
		{"two servers at the same moment", []step{{time.Second, "i-1", begun, prompt}, {time.Second + commonCauseWindow/2, "i-2", begun, prompt}}, false},
		{"a survival between them", []step{{time.Second, "i-1", begun, prompt}, {1500 * time.Millisecond, "", "", prompt}, {2 * time.Second, "i-2", begun, prompt}}, false},
		{"two crashes, then a survival", []step{{time.Second, "i-1", begun, prompt}, {2 * time.Second, "i-2", begun, prompt}, {3 * time.Second, "", "", prompt}}, false},
		{"two crashes of a trait that survived earlier", []step{{0, "", "", prompt}, {time.Second, "i-1", begun, prompt}, {2 * time.Second, "i-2", begun, prompt}}, false},
		{"three of them", []step{{0, "", "", prompt}, {time.Second, "i-1", begun, prompt}, {2 * time.Second, "i-2", begun, prompt}, {3 * time.Second, "i-3", begun, prompt}}, true},
		{"four crashes without a response", []step{{time.Second, "i-1", none, prompt}, {2 * time.Second, "i-2", none, prompt}, {3 * time.Second, "i-3", none, prompt}, {4 * time.Second, "i-4", none, prompt}}, false},
		{"five of them", []step{{time.Second, "i-1", none, prompt}, {2 * time.Second, "i-2", none, prompt}, {3 * time.Second, "i-3", none, prompt}, {4 * time.Second, "i-4", none, prompt}, {5 * time.Second, "i-5", none, prompt}}, true},
		{"responses under way", []step{{time.Second, "i-1", underWay, prompt}, {2 * time.Second, "i-2", underWay, prompt}}, false},
		{"two crashes within suspicionTTL", []step{{time.Second, "i-1", begun, prompt}, {suspicionTTL, "i-2", begun, prompt}}, true},
		{"two crashes further apart", []step{{time.Second, "i-1", begun, prompt}, {suspicionTTL + 2*time.Second, "i-2", begun, prompt}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, now := NewTracker(DefaultSettings()), simStart
			for _, s := range tt.steps {
				now = simStart.Add(s.at)
				tracker.Update(now)
				if s.server == "" {
					tracker.RecordSurvival(now, simService, s.ids)
					continue
				}
				tracker.RecordCrash(now, ServerCrash{Service: simService, Server: s.server, Runs: []Run{{s.ids, s.progress}}})
			}
			assert.Equal(t, tracker.blocks(now, prompt...), tt.want)
			assert.Assert(t, !tracker.Check(now, "other", prompt, firstInstance).Blocked, "verdicts are on the servers of one service")
		})
	}
}

// Servers that end together, as when their power fails, have not been crashed by a
// request that one of them had.
func TestServersThatEndTogetherConvictNothing(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	for event := range 3 {
		now = now.Add(5 * time.Second)
		for i := range 4 {
			prompts := [][]string{{"first", fmt.Sprint(event, i)}}
			if i == event {
				prompts = append(prompts, []string{"first", "victim"})
			}
			tracker.RecordCrash(now.Add(time.Duration(i)*time.Millisecond), crash(fmt.Sprint("i-", event, i), prompts...))
		}
		tracker.RecordSurvival(now.Add(time.Second), simService, []string{"first"})
	}
	assert.Assert(t, !tracker.blocks(now, "first", "victim"))
}

func TestRequestThatComesAgainIsKnownByItself(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	const dead, sound = RequestPrefix + "dead", RequestPrefix + "sound"
	tracker.RecordSurvival(now, simService, []string{"first", "adapter", sound})
	assert.Equal(t, len(tracker.survivals.current), 2, "requests displace no other traits")
	tracker.RecordCrash(now.Add(time.Second), crash("i-1", []string{"first", "adapter", "caller", dead}, []string{"first", "adapter", sound}))
	assert.Assert(t, !tracker.Suspected(simService, []string{"first", "adapter", sound}), "most requests on a server that crashes are sound")
	now = now.Add(2 * time.Second)
	tracker.RecordCrash(now, crash("i-2", []string{"first", "adapter", "caller", dead}))
	assert.Assert(t, tracker.blocks(now, "first", "adapter", "caller", dead))
	assert.Assert(t, tracker.Suspected(simService, []string{"first", "adapter", dead}))
	for _, ids := range [][]string{{"first", "adapter", sound}, {"first", "adapter", "caller", sound}, {"first", "adapter", "caller"}} {
		assert.Assert(t, !tracker.blocks(now, ids...), "%v", ids)
	}
	tracker.RecordSurvival(now, simService, []string{"caller", sound})
	assert.Assert(t, tracker.blocks(now, "first", "adapter", "caller", dead))
}

func TestOtherPromptsOfTheCallerAreServed(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	tracker.RecordCrash(now, crash("i-1", []string{"first", "caller", "dead"}, []string{"first", "x"}))
	now = now.Add(time.Second)
	tracker.RecordCrash(now, crash("i-2", []string{"first", "caller", "dead"}, []string{"first", "y"}))
	assert.Assert(t, tracker.blocks(now, "first", "caller", "dead", "z"))
	for _, ids := range [][]string{{"first", "caller"}, {"first", "x"}, {"caller", "x"}, {"first"}} {
		assert.Assert(t, !tracker.blocks(now, ids...), "%v", ids)
	}
	tracker.RecordSurvival(now, simService, []string{"first", "caller"})
	assert.Assert(t, tracker.blocks(now, "other", "dead"), "the traits that survived are no longer in the signature")
	verdicts := tracker.Verdicts()
	assert.Equal(t, len(verdicts), 1)
	assert.DeepEqual(t, verdicts[0].Signature, []string{"dead"})
	var kinds []ChangeKind
	for _, c := range tracker.Changes() {
		if c.Verdict.Evidence.Trait.ID == "dead" {
			kinds = append(kinds, c.Kind)
		}
	}
	assert.DeepEqual(t, kinds, []ChangeKind{Quarantined, Narrowed})
}

func TestNewInstanceLearnsWhichCompanionsAreHarmless(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	tracker.RecordCrash(now, crash("i-1", []string{"first", "caller", "dead"}))
	now = now.Add(time.Second)
	tracker.RecordCrash(now, crash("i-2", []string{"first", "caller", "dead"}))
	tracker.RecordSurvival(now, simService, []string{"first", "caller"})
	newInstance := NewTracker(DefaultSettings())
	for _, e := range tracker.Evidence(0) {
		newInstance.Merge(e)
	}
	newInstance.Update(now)
	assert.Assert(t, newInstance.blocks(now, "first", "another caller", "dead"))
}

func TestCrashWithConvictedPartIsNoEvidenceAgainstOthers(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	for i := range 4 {
		now = now.Add(time.Second)
		tracker.RecordCrash(now, crash(fmt.Sprint("i-", i), []string{"dead"}, []string{"victim"}))
		if i == 0 {
			continue
		}
		assert.Assert(t, tracker.blocks(now, "dead"))
	}
	// The victim was in the first two crashes as well, so it was convicted with them.
	tracker.RecordSurvival(now, simService, []string{"victim"})
	for i := range 4 {
		now = now.Add(time.Second)
		tracker.RecordCrash(now, crash(fmt.Sprint("j-", i), []string{"dead"}, []string{"victim"}))
	}
	assert.Assert(t, !tracker.blocks(now, "victim"))
}

func TestProbes(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	convict := func() {
		now = now.Add(time.Second)
		tracker.RecordCrash(now, crash(fmt.Sprint("i-", now.Unix()), []string{"dead"}))
	}
	convict()
	convict()
	check := func(after time.Duration, slot int) Decision {
		return tracker.Check(now.Add(after), simService, []string{"dead"}, func(Trait) int { return slot })
	}
	d := check(0, 0)
	assert.Assert(t, d.Blocked)
	assert.Equal(t, d.RetryAfter, probeInterval)
	assert.Assert(t, check(probeInterval-1, 0).Blocked)
	assert.Assert(t, check(probeInterval, 1).Blocked, "the first instance has the first slot")
	assert.Assert(t, check(probeInterval, 0).Probe)
	assert.Assert(t, check(probeInterval+1, 0).Blocked, "one probe at a time")
	assert.Assert(t, check(probeInterval+probeSlot, 1).Blocked)
	now = now.Add(probeInterval)
	convict()
	assert.Assert(t, check(2*probeInterval-1, 0).Blocked)
	assert.Assert(t, check(2*probeInterval, 0).Probe)
	now = now.Add(2 * probeInterval)
	tracker.RecordSurvival(now, simService, []string{"dead"})
	assert.Assert(t, !check(0, 0).Blocked)
}

func TestProbesGetRare(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	probes := 0
	tracker.RecordCrash(now, crash("i-1", []string{"dead"}))
	tracker.RecordCrash(now.Add(time.Second), crash("i-2", []string{"dead"}))
	for range 24 * 60 * 60 {
		now = now.Add(time.Second)
		if tracker.Check(now, simService, []string{"dead"}, firstInstance).Probe {
			probes++
			tracker.RecordCrash(now, crash(fmt.Sprint("p-", probes), []string{"dead"}))
		}
		tracker.Update(now)
	}
	assert.Assert(t, probes >= 24 && probes <= 32, "%d probes in a day", probes)
}

func TestOperatorReleasesTrait(t *testing.T) {
	a, b, now := NewTracker(DefaultSettings()), NewTracker(DefaultSettings()), simStart
	for i := range 2 {
		now = now.Add(time.Second)
		for _, e := range a.RecordCrash(now, crash(fmt.Sprint("i-", i), []string{"dead", "companion"})) {
			b.Merge(e)
		}
	}
	b.Update(now)
	assert.Assert(t, a.blocks(now, "companion", "dead") && b.blocks(now, "companion", "dead"))
	assert.Equal(t, len(a.Release(now, Trait{simService, "other"})), 0)
	for _, e := range a.Release(now, Trait{simService, "dead"}) {
		b.Merge(e)
	}
	b.Update(now)
	assert.Assert(t, !a.blocks(now, "companion", "dead") && !b.blocks(now, "companion", "dead"))
}

func TestStateIsBounded(t *testing.T) {
	tracker, now := NewTracker(DefaultSettings()), simStart
	for i := range 3 * maxSurvivals {
		now = now.Add(time.Millisecond)
		tracker.RecordSurvival(now, simService, []string{fmt.Sprint("sound-", i)})
	}
	for i := range 40 {
		now = now.Add(time.Second)
		c := ServerCrash{Service: simService, Server: fmt.Sprint("i-", i)}
		for j := range 100 {
			c.Runs = append(c.Runs, Run{Traits: []string{"dead", fmt.Sprint(i, "-", j)}, Progress: chestnutstream.ResponseNone})
		}
		tracker.RecordCrash(now, c)
	}
	assert.Assert(t, len(tracker.suspects) <= maxSuspects, "%d", len(tracker.suspects))
	assert.Assert(t, len(tracker.survivals.current)+len(tracker.survivals.previous) <= 2*maxSurvivals)
	e := tracker.suspects[Trait{simService, "dead"}]
	assert.Assert(t, len(e.Crashes) <= maxCrashes && len(e.Crashes[0].Companions) <= maxCompanions)
	assert.Assert(t, tracker.blocks(now, "dead", "x"))
}

// Links of instances are as slow as 10 Mbit/s, and each message goes to all others.
func TestReportOfCrashIsBounded(t *testing.T) {
	tracker := NewTracker(DefaultSettings())
	c := ServerCrash{Service: simService, Server: "i-1"}
	for i := range 100 {
		c.Runs = append(c.Runs, Run{Traits: []string{"first", fmt.Sprint("queued-", i)}, Progress: chestnutstream.ResponseNone})
	}
	c.Runs = append(c.Runs, Run{Traits: []string{"first", "dead"}, Progress: chestnutstream.ResponseBegun})
	report := tracker.RecordCrash(simStart, c)
	assert.Assert(t, len(report) <= maxReported, "%d", len(report))
	assert.Assert(t, slices.ContainsFunc(report, func(e Evidence) bool { return e.Trait.ID == "dead" }), "what had begun goes first")
}

// Instances that receive the same evidence, in any order and some of it twice, reach
// the same verdicts.
func TestInstancesWithSameEvidenceAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		trait := rapid.SampledFrom([]string{"a", "b", "c", "dead"})
		const reporters = 3
		var all []Evidence
		var sources []*Tracker
		var crashedAt []time.Time // two instances may see a crash
		for range reporters {
			sources = append(sources, NewTracker(DefaultSettings()))
		}
		now := simStart
		for i := range rapid.IntRange(1, 12).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			if i%2 == 0 {
				crashedAt = append(crashedAt, now)
			}
			source := sources[rapid.IntRange(0, reporters-1).Draw(rt, "source")]
			ids := slices.Compact(slices.Sorted(slices.Values(rapid.SliceOfN(trait, 1, 3).Draw(rt, "traits"))))
			if rapid.IntRange(0, 3).Draw(rt, "kind") == 0 {
				source.RecordSurvival(now, simService, ids)
				for _, id := range ids {
					all = append(all, Evidence{Trait: Trait{simService, id}, SurvivedAt: now})
				}
				continue
			}
			all = append(all, source.RecordCrash(crashedAt[i/2], crash(fmt.Sprint("i-", i/2), ids))...)
		}
		var verdicts [2]string
		for i := range verdicts {
			tracker := NewTracker(DefaultSettings())
			order := rapid.Permutation(all).Draw(rt, "order")
			for _, e := range append(order, order[:len(order)/2]...) {
				tracker.Merge(e.clone())
			}
			tracker.Update(now)
			for _, v := range tracker.Verdicts() {
				verdicts[i] += fmt.Sprint(v.Evidence.Trait.ID, v.Signature, " ")
			}
		}
		if verdicts[0] != verdicts[1] {
			rt.Fatalf("verdicts %q and %q", verdicts[0], verdicts[1])
		}
	})
}

func TestRows(t *testing.T) {
	now := simStart
	e := Evidence{
		Trait: Trait{simService, "part:dead"}, SurvivedAt: now.Add(-time.Minute), Probes: 2, ProbedAt: now.Add(-time.Second),
		Crashes: []Crash{{Server: "i-1", Born: 5, At: now.Add(-2 * time.Second), Weight: 0.4, Companions: []string{"part:caller"}}},
	}
	value, err := EncodeRow(e)
	assert.NilError(t, err)
	decoded, err := DecodeRow(now, value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, e)
	early, err := DecodeRow(now.Add(-time.Hour), value)
	assert.NilError(t, err)
	assert.Equal(t, early.Crashes[0].At, now.Add(-time.Hour), "the clock has been set back since")
	for _, malformed := range []string{"", "{", `{"service":"s"}`, `{"trait":"t"}`, `[]`, `{"service":"s","trait":"t","crashes":5}`} {
		_, err := DecodeRow(now, []byte(malformed))
		assert.Assert(t, err != nil, "%q", malformed)
	}
}

// Guards against a foreign row whose number of probes overflows with the next probe: the
// process ended with "negative shift amount".
func TestRowWithHugeNumberOfProbesIsProbed(t *testing.T) {
	for _, probes := range []string{"-1", "-9223372036854775808", "9223372036854775807"} {
		now, tracker := simStart, NewTracker(DefaultSettings())
		row := fmt.Sprintf(`{"service":%q,"trait":"t","crashes":[{"server":"i-1","at-ms":%d,"weight":1},{"server":"i-2","at-ms":%d,"weight":1}],"probes":%s}`,
			simService, now.Add(-2*time.Second).UnixMilli(), now.Add(-time.Second).UnixMilli(), probes)
		e, err := DecodeRow(now, []byte(row))
		assert.NilError(t, err)
		tracker.Merge(e)
		tracker.Update(now)
		for range 3 {
			now = now.Add(maxProbeInterval + probeTimeout)
			assert.Assert(t, tracker.Check(now, simService, []string{"t"}, firstInstance).Probe, probes)
		}
	}
}

// Guards against rows and messages that others have written.
func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"service":"s","trait":"t","crashes":[{"server":"i","born":1,"at-ms":1800000000000,"weight":1,"companions":["b","a"]}],"probes":1}`))
	f.Add([]byte(`{"service":"s","trait":"t","crashes":[{"weight":1e300,"companions":["a","a","a"]},{"weight":-5,"at-ms":-1}],"survived-ms":9e18}`))
	f.Add([]byte(`{"service":"s","trait":"t","crashes":[{"server":"i","weight":1},{"server":"j","at-ms":1700000000000,"weight":1}],"probes":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		tracker, now := NewTracker(DefaultSettings()), simStart
		e, err := DecodeRow(now, value)
		if err != nil {
			return
		}
		tracker.Merge(e)
		tracker.Merge(e)
		tracker.Update(now)
		kept := tracker.suspects[e.Trait]
		if kept == nil {
			return
		}
		if len(kept.Crashes) > maxCrashes || tracker.crashTimes(e.Trait.Service).weight(kept.Crashes) > maxCrashes {
			t.Fatalf("%+v", kept)
		}
		for _, c := range kept.Crashes {
			if len(c.Companions) > maxCompanions || !slices.IsSorted(c.Companions) {
				t.Fatalf("companions %q", c.Companions)
			}
		}
		for range 2 {
			tracker.Check(now, e.Trait.Service, []string{e.Trait.ID}, firstInstance)
			now = now.Add(maxProbeInterval + probeTimeout)
		}
	})
}
