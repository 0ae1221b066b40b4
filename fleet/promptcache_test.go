package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// cachingEngines returns engines whose cached prompts count in placement.
func cachingEngines(n, capacity int) *Fleet {
	f := engines(n)
	f.RecordPace(start, f.services[testService][0].ID, 1)
	f.SetKVCapacity(testService, capacity)
	return f
}

// prompted returns a request with shared parts of 400 tokens and an own one.
func prompted(adapter string, version int, own string, ownTokens int, shared ...string) Request {
	r := Request{Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: adapter}, Version: version}
	for _, id := range shared {
		r.Prompt.Parts = append(r.Prompt.Parts, chestnutstream.PromptPart{ID: id, Tokens: 400})
	}
	r.Prompt.Parts = append(r.Prompt.Parts, chestnutstream.PromptPart{ID: own, Tokens: ownTokens, Own: true})
	r.Prompt.Tokens = 400*len(shared) + ownTokens
	return r
}

// Guards against tokens that count as cached for another adapter, version or order of the
// parts, behind a part that is not cached, or after the engine has lost them.
func TestCachedTokens(t *testing.T) {
	sent := prompted("a", 1, "own", 300, "x", "y")
	cases := []struct {
		name   string
		change func(f *Fleet)
		r      Request
		want   int
	}{
		{"the same request", nil, sent, 1100},
		{"other own part", nil, prompted("a", 1, "new", 300, "x", "y"), 800},
		{"own part too small to be remembered", func(f *Fleet) { f.RecordPrompt(start, "e0", 1, prompted("a", 1, "small", 100, "x")) }, prompted("a", 1, "small", 100, "x"), 400},
		{"other second part", nil, prompted("a", 1, "own", 300, "x", "z"), 400},
		{"first part missing", nil, prompted("a", 1, "own", 300, "y"), 0},
		{"other adapter", nil, prompted("b", 1, "own", 300, "x", "y"), 0},
		{"other version", nil, prompted("a", 2, "own", 300, "x", "y"), 0},
		{"adapter unloaded", func(f *Fleet) { f.RecordNotLoaded("e0", sent.Target) }, sent, 0},
		{"other adapter unloaded", func(f *Fleet) { f.RecordNotLoaded("e0", prompted("b", 1, "", 0).Target) }, sent, 1100},
		{"engine restarted", func(f *Fleet) {
			f.ApplyUpdates(start, []Entry{entry("e0", 100, func(b *chestnutstream.Backend) { b.Born = 2 })})
		}, sent, 0},
		{"model gone", func(f *Fleet) {
			f.ApplyUpdates(start, []Entry{entry("e0", 100, func(b *chestnutstream.Backend) { b.Models = nil })})
		}, sent, 0},
		{"response of an earlier start", func(f *Fleet) { f.RecordPrompt(start, "e0", 0, prompted("c", 1, "own", 300)) }, prompted("c", 1, "own", 300), 0},
		{"shared beginning sent by another instance", func(f *Fleet) {
			shared, _ := prompted("d", 1, "", 0, "x", "y").SharedPart()
			f.RecordPeerPrompt(start, "e0", shared)
		}, prompted("d", 1, "own", 300, "x", "y"), 800},
		{"speed not stated", func(f *Fleet) { delete(f.times, testService) }, sent, 0},
		{"memory not configured", func(f *Fleet) { f.SetKVCapacity(testService, 0) }, sent, 0},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			f := cachingEngines(2, 200_000)
			f.RecordPrompt(start, "e0", 1, sent)
			if tt.change != nil {
				tt.change(f)
			}
			assert.Equal(t, f.CachedTokens(start.Add(time.Second), "e0", tt.r), tt.want)
			assert.Equal(t, f.CachedTokens(start.Add(time.Second), "e1", tt.r), 0)
		})
	}
}

// Guards against parts that count as cached after other prompts have displaced them, those of
// other instances included, and against parts that are forgotten while they are in use.
func TestCachedTokensAreEvicted(t *testing.T) {
	cases := []struct {
		name      string
		instances int
		used      bool
		low, high int
	}{
		{"135,000 tokens of 300,000 since", 1, false, 360, 400},
		{"135,000 tokens from each of ten instances since", 10, false, 0, 100},
		{"and the part used again by each", 10, true, 360, 400},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			f, now := cachingEngines(1, 300_000), start
			f.SetTotalRequests("e0", 2*tt.instances)
			for range 2 {
				f.RecordSent("e0")
			}
			for i := range 300 {
				r := prompted("a", 1, fmt.Sprint(i), 450)
				if i == 0 || tt.used {
					r = prompted("a", 1, fmt.Sprint(i), 450, "x")
				}
				f.SamplePromptLoad(now, testService)
				f.RecordPrompt(now, "e0", 1, r)
				now = now.Add(time.Second)
			}
			got := f.CachedTokens(now, "e0", prompted("a", 1, "new", 450, "x"))
			assert.Assert(t, tt.low <= got && got <= tt.high, "%d tokens, window %s", got, f.servers["e0"].prompts.window)
		})
	}
}

// Guards against memory that grows with the number of prompts: callers choose the IDs.
func TestCachedPartsAreBounded(t *testing.T) {
	const servers = 40
	f := cachingEngines(servers, 200_000)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before, parts := heap(), 0
	for i := range 60_000 {
		f.RecordPrompt(start, fmt.Sprint("e", i%servers), 1, prompted("a", 1, fmt.Sprint(i), 300, fmt.Sprint("x", i)))
	}
	grown := heap() - before
	for _, s := range f.Servers() {
		parts += len(s.prompts.shared.parts) + len(s.prompts.own.parts)
	}
	assert.Assert(t, parts <= maxCachedParts && parts > maxCachedParts/2, parts)
	assert.Assert(t, grown < 4<<20, "%d bytes for %d parts", grown, parts)
}

// Guards against an estimate outside the prompt, one that changes what it estimates, and lists
// that disagree with their maps, under any order of events.
func TestCachedTokensUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := cachingEngines(2, rapid.IntRange(1, 50_000).Draw(t, "capacity")), start
		id := rapid.SampledFrom([]string{"e0", "e1", "none"})
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "later")))
			shared := rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y", "z"}), 0, 3).Draw(t, "parts")
			r := prompted(rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "adapter"), 1, "own", rapid.IntRange(0, 9000).Draw(t, "own"), shared...)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				f.RecordNotLoaded(id.Draw(t, "server"), r.Target)
			case 1:
				shared, _ := r.SharedPart()
				f.RecordPeerPrompt(now, id.Draw(t, "server"), shared)
			default:
				f.SamplePromptLoad(now, testService)
				f.RecordPrompt(now, id.Draw(t, "server"), 1, r)
			}
			for _, s := range f.Servers() {
				got := f.cachedTokens(now, s, r)
				if got < 0 || got > r.Prompt.Tokens || got != f.cachedTokens(now, s, r) {
					t.Fatalf("%d of %d tokens", got, r.Prompt.Tokens)
				}
				if c := s.prompts; c != nil {
					listed := 0
					for p := c.shared.root.next; p != nil && p != &c.shared.root; p = p.next {
						listed++
					}
					if listed != len(c.shared.parts) {
						t.Fatalf("%d parts listed, %d known", listed, len(c.shared.parts))
					}
				}
			}
		}
	})
}

// Guards against a cached prompt that decides the choice whatever the wait, and against one that
// does not count: the engine that keeps 6,300 of 9,190 tokens is chosen while it has room, and
// passed over behind two prompts of that size and with a full batch.
func TestEngineThatKeepsALongPromptIsChosenWhileItHasRoom(t *testing.T) {
	f := cachingEngines(3, 200_000)
	target := chestnutstream.ModelAdapter{Model: "m", Adapter: "a"}
	r := Request{Service: testService, Target: target, Version: 1, Latency: 800 * time.Millisecond}
	r.Prompt = chestnutstream.Prompt{Tokens: 9190, Parts: []chestnutstream.PromptPart{{ID: "s", Tokens: 6300}, {ID: "o", Tokens: 2890, Own: true}}}
	now := start
	for _, s := range f.services[testService] {
		s.Slots = 16
		f.RecordPace(now, s.ID, 1)
		f.RecordLoaded(now, s.ID, target, 1)
	}
	order, _ := f.rankedEngines(now, r, nil, false)
	first, last := order[0], order[2]
	// pick returns the engine that is chosen now.
	pick := func() string { return f.PickEngine(now, r, nil, anyLoadable).Server.ID }
	assert.Equal(t, pick(), first.ID)
	f.RecordPrompt(now, last.ID, last.Born, r)
	assert.Equal(t, pick(), last.ID)
	f.RecordPrefill(now, last.ID, 9190)
	f.RecordPrefill(now, last.ID, 9190)
	assert.Equal(t, pick(), first.ID)
	now = now.Add(2 * time.Second)
	assert.Equal(t, pick(), last.ID)
	f.RecordLoad(now, last.ID, 16, 3)
	assert.Equal(t, pick(), first.ID)
}
