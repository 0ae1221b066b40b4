package loader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream"
)

// The simulated engine: in each step every stream gets a token, and a part of the
// oldest prompt is processed.
const (
	stepDuration       = 8870 * time.Microsecond
	stepPromptTokens   = 2048 // most prompt tokens processed in a step
	prefillTokensPerMs = 19.1
	eventTokens        = 3 // tokens in an event of a stream
	streamEvents       = 57
	meanPromptTokens   = 1460
	maxPromptTokens    = 3790
	gapTarget          = 300 * time.Millisecond
	firstEventTarget   = 800 * time.Millisecond
	requestTimeout     = 2950 * time.Millisecond // a later grant is useless
	simulatedTime      = 120 * time.Second
)

// simulatedRequest is a request at the simulated engine.
type simulatedRequest struct {
	arrivedAt   time.Duration
	promptLeft  int // prompt tokens not yet processed
	tokens      int // generated so far
	lastEventAt time.Duration
	late        bool
}

// simulatePrefills simulates requests for one engine that need the given share of
// its prefill capacity. It returns how many were served on time, late and not at
// all. Without throttling each prompt is sent when it arrives, which is the
// earlier policy.
func simulatePrefills(seed uint64, share float64, throttled bool) (onTime, late, refused int) {
	r := rand.New(rand.NewPCG(seed, 3))
	e := &Engine{}
	e.SetPace(Pace{Window: gapTarget, Rate: prefillTokensPerMs, Share: 0.8})
	meanInterval := meanPromptTokens / prefillTokensPerMs / share * float64(time.Millisecond)
	var queue, running []*simulatedRequest
	byID := map[uint64]*simulatedRequest{}
	handle := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case GrantPrefill:
				queue = append(queue, byID[a.PrefillID])
			case RefusePrefill:
				refused++
			}
		}
	}
	id, next := uint64(0), time.Duration(0)
	for now := time.Duration(0); now < simulatedTime; {
		for ; next <= now; next += time.Duration(r.ExpFloat64() * meanInterval) {
			q := &simulatedRequest{arrivedAt: next, promptLeft: min(1+int(r.ExpFloat64()*meanPromptTokens), maxPromptTokens)}
			id++
			byID[id] = q
			if !throttled {
				queue = append(queue, q)
				continue
			}
			handle(e.RequestPrefill(now, PrefillRequest{
				From: "n", ID: id, Tokens: q.promptLeft, OnTimeUntil: next + firstEventTarget, UsefulUntil: next + requestTimeout, MaxWait: requestTimeout,
			}))
		}
		handle(e.throttle.grant(now))
		took, budget := stepDuration, stepPromptTokens
		for len(queue) > 0 && budget > 0 {
			n := min(budget, queue[0].promptLeft)
			budget, queue[0].promptLeft = budget-n, queue[0].promptLeft-n
			took += time.Duration(float64(n) / prefillTokensPerMs * float64(time.Millisecond))
			if queue[0].promptLeft == 0 {
				running, queue = append(running, queue[0]), queue[1:]
			}
		}
		now += took
		active := running[:0]
		for _, s := range running {
			if s.event(now) {
				active = append(active, s)
			} else if s.late {
				late++
			} else {
				onTime++
			}
		}
		running = active
	}
	return onTime, late, refused
}

// event generates the token of a step, and reports whether the stream continues.
func (s *simulatedRequest) event(now time.Duration) bool {
	s.tokens++
	if s.tokens%eventTokens != 0 {
		return true
	}
	switch {
	case s.tokens == eventTokens:
		s.late = now-s.arrivedAt > firstEventTarget
	case now-s.lastEventAt > gapTarget:
		s.late = true
	}
	s.lastEventAt = now
	return s.tokens < eventTokens*streamEvents
}

// Guards against long stalls of running streams: prompts arrive faster than an
// engine processes them, briefly or for long, while its streams may stall for
// 300 ms at most.
func TestPrefillAdmissionLimitsStreamStalls(t *testing.T) {
	for _, tt := range []struct {
		share    float64 // of the engine's prefill capacity that the requests need
		maxShare float64 // of late streams with throttling, relative to those without
	}{
		{0.4, 0.5},
		{0.6, 0.5},
		{1.3, 0.7},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			onTimeBefore, lateBefore, _ := simulatePrefills(seed, tt.share, false)
			onTime, late, refused := simulatePrefills(seed, tt.share, true)
			t.Logf("share %.1f seed %d: on time %d, late %d, refused %d; without throttling on time %d, late %d", tt.share, seed, onTime, late, refused, onTimeBefore, lateBefore)
			assert.Check(t, float64(late+refused) <= tt.maxShare*float64(lateBefore), "share %.1f: %d late and %d refused, without throttling %d late", tt.share, late, refused, lateBefore)
			assert.Check(t, onTime > onTimeBefore)
		}
	}
}

// Under any sequence of prefill requests, no window gets more prompt tokens than
// its budget unless one prompt alone is larger. Every request gets one final
// response, no grant after its UsefulUntil, and none at all once it is cancelled.
func TestPrefillAdmissionKeepsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Engine{}
		pace := Pace{Window: 300 * time.Millisecond, Rate: 20, Share: 0.8, Competing: rapid.Bool().Draw(t, "competing")}
		e.SetPace(pace)
		now := time.Second
		type sentGrant struct {
			at     time.Duration
			tokens int
		}
		var sent []sentGrant
		open, tokens := map[uint64]time.Duration{}, map[uint64]int{}
		handle := func(actions []Action) {
			for _, a := range actions {
				until, ok := open[a.PrefillID]
				if !ok {
					t.Fatalf("%s for request %d, which is not open", a.Kind, a.PrefillID)
				}
				switch a.Kind {
				case GrantPrefill:
					if now > until {
						t.Fatalf("granted at %v, useless after %v", now, until)
					}
					sent = append(sent, sentGrant{now, tokens[a.PrefillID]})
				case DeferPrefill:
					continue
				}
				delete(open, a.PrefillID)
			}
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "back", "pass"}).Draw(t, "event") {
			case "ask":
				tokens[id] = rapid.IntRange(1, 12000).Draw(t, "tokens")
				open[id] = now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "until"))*time.Millisecond
				handle(e.RequestPrefill(now, PrefillRequest{
					From: "n", ID: id, Tokens: tokens[id], Priority: rapid.IntRange(0, 3).Draw(t, "priority"), UsefulUntil: open[id],
					Workspace:   rapid.SampledFrom([]string{"", "w-1", "w-2"}).Draw(t, "workspace"),
					OnTimeUntil: now + 500*time.Millisecond, MaxWait: time.Duration(rapid.IntRange(0, 2000).Draw(t, "limit")) * time.Millisecond,
				}))
			case "back":
				for id := range open {
					e.CancelPrefill("n", id)
					delete(open, id)
					break
				}
			case "pass":
				handle(e.throttle.grant(now))
			}
			for i, s := range sent {
				// Prompts over the budget, and where requests compete over half of it, wait
				// for half of it only.
				large := pace.budget()
				if pace.Competing {
					large /= 2
				}
				sum, most := 0, 0
				for _, o := range sent[i:] {
					if o.at-s.at < pace.Window {
						sum, most = sum+o.tokens, max(most, o.tokens)
					}
				}
				if most <= large && sum > pace.budget() {
					t.Fatalf("%d tokens in a window, budget %d", sum, pace.budget())
				}
				if most <= pace.budget() && sum > pace.budget()*3/2 {
					t.Fatalf("%d tokens in a window with a prompt of %d, budget %d", sum, most, pace.budget())
				}
			}
		}
		for range 4000 {
			now += time.Millisecond
			handle(e.throttle.grant(now))
		}
		if len(open) > 0 {
			t.Fatalf("%d prefill requests never got a final response", len(open))
		}
	})
}

// An owner that loses an engine grants the waiting prefill requests. An adapter
// that a waiting request needs is not evicted.
func TestWaitingPrefillRequests(t *testing.T) {
	e := &Engine{}
	e.SetPace(Pace{Window: 300 * time.Millisecond, Rate: 20, Share: 0.8})
	target := chestnutstream.ModelAdapter{Model: "m", Adapter: "a"}
	for i, want := range []ActionKind{GrantPrefill, DeferPrefill, RefusePrefill} {
		a := PrefillRequest{From: fmt.Sprint("n", i), ID: 7, Target: target, Tokens: 4000, UsefulUntil: time.Minute, MaxWait: time.Second}
		if want == RefusePrefill {
			a.MaxWait = 10 * time.Millisecond
		}
		actions := e.RequestPrefill(time.Second, a)
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].Kind, want)
		assert.DeepEqual(t, actions[0].To, []string{a.From})
	}
	assert.Assert(t, e.throttle.waitsFor(target))
	ended := e.GrantAllPrefills()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Kind, GrantPrefill)
	assert.Assert(t, !e.throttle.waitsFor(target))
}
