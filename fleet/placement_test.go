package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// In every state, the chosen engine must be one that may get work and is not to be
// avoided. It has the adapter loaded if the choice reports it, otherwise it can load
// it. An engine must be chosen whenever one could take the request.
func TestPickEngineMakesValidChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New("z1", func(zone string) bool { return zone != "far" }, rand.New(rand.NewPCG(1, 2)))
		n := rapid.IntRange(1, 6).Draw(t, "engines")
		var entries []Entry
		for i := range n {
			entries = append(entries, entry(fmt.Sprint("e", i), uint64(i+1), func(b *chestnutstream.Backend) {
				b.Slots = 12
				b.Zone = rapid.SampledFrom([]string{"z1", "z2", "far"}).Draw(t, "zone")
				if rapid.IntRange(0, 4).Draw(t, "draining") == 0 {
					b.State = chestnutstream.BackendDraining
				}
				if rapid.IntRange(0, 4).Draw(t, "empty") == 0 {
					b.Models = nil
				}
			}))
		}
		f.ApplySnapshot(start, 0, entries)
		now := start
		ownerless := map[string]bool{}
		loadable := func(s *Server) bool { return !ownerless[s.ID] }
		id := func() string { return fmt.Sprint("e", rapid.IntRange(0, n-1).Draw(t, "engine")) }
		target := func() chestnutstream.ModelAdapter {
			return chestnutstream.ModelAdapter{Model: "m", Adapter: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter")}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"held", "not-held", "sent", "load", "large-prompt", "outcome", "owner", "misplaced", "tick", "pick", "pick"}).Draw(t, "event") {
			case "held":
				f.RecordLoaded(now, id(), target(), 1)
			case "not-held":
				f.RecordNotLoaded(id(), target())
			case "sent":
				f.RecordSent(id())
			case "load":
				f.SetTotalRequests(id(), rapid.IntRange(0, 40).Draw(t, "requests"))
			case "large-prompt":
				f.RecordPrefill(now, id(), rapid.IntRange(0, 30000).Draw(t, "tokens"))
			case "outcome":
				f.RecordOutcome(now, id(), rapid.SampledFrom([]Outcome{Responded, Failed, Unreachable, Unresponsive, Refused}).Draw(t, "outcome"), time.Millisecond)
			case "owner":
				e := id()
				ownerless[e] = !ownerless[e]
			case "misplaced":
				f.RecordMisplaced(now, id())
			case "tick":
				f.Tick(now)
			case "pick":
				avoid := map[string]bool{}
				if rapid.Bool().Draw(t, "avoids") {
					avoid[id()] = true
				}
				r := Request{Service: testService, Target: target(), Version: 1, Prompt: chestnutstream.Prompt{Tokens: rapid.IntRange(0, 20000).Draw(t, "prompt")}}
				if r.Target.Adapter == "" {
					r.Version = 0
				}
				possible := choicePossible(f, now, r, avoid, loadable)
				c := f.PickEngine(now, r, avoid, loadable)
				if (c.Server != nil) != possible {
					t.Fatalf("chose %v, possible %t", c.Server, possible)
				}
				if c.Server != nil {
					checkChoice(t, f, now, r, avoid, loadable, c)
				}
			}
		}
	})
}

// choicePossible is the test's oracle. It reports whether an engine that may get
// work has the adapter loaded, or has an owner that can load it.
func choicePossible(f *Fleet, now time.Time, r Request, avoid map[string]bool, loadable func(*Server) bool) bool {
	regional, possible := false, false
	allowed := func(s *Server) bool { return s.Usable() && !avoid[s.ID] && f.reachable(now, s) }
	for _, healthy := range []bool{true, false} {
		found := false
		for _, s := range f.Service(r.Service) {
			if allowed(s) && (!healthy || s.detector.admits(now)) {
				found = true
				regional = regional || f.inRegion(s.Zone)
			}
		}
		if !found {
			continue
		}
		for _, s := range f.Service(r.Service) {
			if allowed(s) && (!healthy || s.detector.admits(now)) && (!regional || f.inRegion(s.Zone)) {
				possible = possible || f.IsLoaded(now, s, r.Target, r.Version) || loadable(s)
			}
		}
		return possible
	}
	return false
}

// checkChoice fails the test if a choice is not valid.
func checkChoice(t *rapid.T, f *Fleet, now time.Time, r Request, avoid map[string]bool, loadable func(*Server) bool, c Choice) {
	switch {
	case !c.Server.Usable() || avoid[c.Server.ID]:
		t.Fatalf("%s may not get work", c.Server.ID)
	case c.Loaded && !f.IsLoaded(now, c.Server, r.Target, r.Version):
		t.Fatalf("%s does not have %s loaded", c.Server.ID, r.Target)
	case !c.Loaded && !loadable(c.Server):
		t.Fatalf("%s cannot load %s", c.Server.ID, r.Target)
	case c.Replica != nil && (!loadable(c.Replica) || f.IsLoaded(now, c.Replica, r.Target, r.Version)):
		t.Fatalf("invalid replica of %s on %s", r.Target, c.Replica.ID)
	}
}

// Guards against an odd number of slots that leaves a service without a server.
func TestServersWithOddSlotsAreUsed(t *testing.T) {
	for _, slots := range []int{math.MinInt, -1, 0, 1, math.MaxInt} {
		f := newFleet()
		f.ApplySnapshot(start, 0, []Entry{entry("a", 1, func(b *chestnutstream.Backend) { b.Slots = slots }), entry("b", 2)})
		plain, loads := map[string]int{}, map[string]int{}
		for i := range 200 {
			s := f.PickPlain(start, testService, nil)
			assert.Assert(t, s != nil, "%d slots", slots)
			plain[s.ID]++
			r := Request{Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprintf("a%d", i)}, Version: 1}
			c := f.PickEngine(start, r, nil, anyLoadable)
			assert.Assert(t, c.Server != nil, "%d slots", slots)
			loads[c.Server.ID]++
			f.RecordSent(s.ID)
		}
		assert.Check(t, plain["b"] > 0 && loads["b"] > 0, "%d slots: %v, %v", slots, plain, loads)
	}
}
