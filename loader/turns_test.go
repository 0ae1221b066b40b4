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

// The engine of the play: in each step every stream gets a token, and a piece of
// the oldest prompt is read.
const (
	stepTime      = 8870 * time.Microsecond
	stepPiece     = 2048 // prompt tokens
	stepRate      = 19.1 // tokens a millisecond
	eventTokens   = 3
	streamEvents  = 57
	promptMean    = 1460
	promptLargest = 3790
	gapTarget     = 300 * time.Millisecond
	firstTarget   = 800 * time.Millisecond
	givesUp       = 2950 * time.Millisecond // a turn later than that is of no use
	playLength    = 120 * time.Second
)

// reading is a request at the engine of the play.
type reading struct {
	came    time.Duration
	left    int // prompt tokens to read
	tokens  int // that it has got
	eventAt time.Duration
	late    bool
}

// pausePlay plays requests for one engine, which is asked for share of what it can
// read. It returns how many were served in time, late, and not at all. Without
// turns each prompt is sent when it comes: the policy before.
func pausePlay(seed uint64, share float64, turns bool) (inTime, late, refused int) {
	r := rand.New(rand.NewPCG(seed, 3))
	e := &Engine{}
	e.SetPace(Pace{Window: gapTarget, Rate: stepRate, Share: 0.8})
	every := promptMean / stepRate / share * float64(time.Millisecond)
	var queue, running []*reading
	asked := map[uint64]*reading{}
	take := func(actions []Action) {
		for _, a := range actions {
			switch a.Kind {
			case TellTurn:
				queue = append(queue, asked[a.TurnID])
			case TellNoTurn:
				refused++
			}
		}
	}
	id, next := uint64(0), time.Duration(0)
	for now := time.Duration(0); now < playLength; {
		for ; next <= now; next += time.Duration(r.ExpFloat64() * every) {
			q := &reading{came: next, left: min(1+int(r.ExpFloat64()*promptMean), promptLargest)}
			id++
			asked[id] = q
			if !turns {
				queue = append(queue, q)
				continue
			}
			take(e.AskTurn(now, Ask{
				From: "n", ID: id, Tokens: q.left, Fresh: next + firstTarget, Until: next + givesUp, Limit: givesUp,
			}))
		}
		take(e.turns.grant(now))
		took, piece := stepTime, stepPiece
		for len(queue) > 0 && piece > 0 {
			n := min(piece, queue[0].left)
			piece, queue[0].left = piece-n, queue[0].left-n
			took += time.Duration(float64(n) / stepRate * float64(time.Millisecond))
			if queue[0].left == 0 {
				running, queue = append(running, queue[0]), queue[1:]
			}
		}
		now += took
		going := running[:0]
		for _, s := range running {
			if s.event(now) {
				going = append(going, s)
			} else if s.late {
				late++
			} else {
				inTime++
			}
		}
		running = going
	}
	return inTime, late, refused
}

// event gives a stream the token of a step, and reports whether it goes on.
func (s *reading) event(now time.Duration) bool {
	s.tokens++
	if s.tokens%eventTokens != 0 {
		return true
	}
	switch {
	case s.tokens == eventTokens:
		s.late = now-s.came > firstTarget
	case now-s.eventAt > gapTarget:
		s.late = true
	}
	s.eventAt = now
	return s.tokens < eventTokens*streamEvents
}

// The load that this answers: prompts that together are sent faster than an engine
// reads them, for a moment or for long, while the streams that run there may pause
// for 300 ms.
func TestTurnsKeepPausesShort(t *testing.T) {
	for _, c := range []struct {
		share float64 // of what the engine can read that it is asked for
		most  float64 // of the streams late with turns, against the policy before
	}{
		{0.4, 0.5},
		{0.6, 0.5},
		{1.3, 0.7},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			inBefore, lateBefore, _ := pausePlay(seed, c.share, false)
			in, late, refused := pausePlay(seed, c.share, true)
			t.Logf("share %.1f seed %d: in time %d, late %d, refused %d; before %d, %d", c.share, seed, in, late, refused, inBefore, lateBefore)
			assert.Check(t, float64(late+refused) <= c.most*float64(lateBefore), "share %.1f: %d late and %d refused, before %d late", c.share, late, refused, lateBefore)
			assert.Check(t, in > inBefore)
		}
	}
}

// Whatever is asked, no window gets more than its budget but for one prompt that
// is larger; every ask is answered once and for all by its end, the taken back
// ones never.
func TestTurnsKeepTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Engine{}
		pace := Pace{Window: 300 * time.Millisecond, Rate: 20, Share: 0.8}
		e.SetPace(pace)
		now := time.Second
		type given struct {
			at     time.Duration
			tokens int
		}
		var sent []given
		open, tokens := map[uint64]time.Duration{}, map[uint64]int{}
		take := func(actions []Action) {
			for _, a := range actions {
				until, ok := open[a.TurnID]
				if !ok {
					t.Fatalf("%s for %d, which is not open", a.Kind, a.TurnID)
				}
				switch a.Kind {
				case TellTurn:
					if now > until {
						t.Fatalf("turn at %v, of use until %v", now, until)
					}
					sent = append(sent, given{now, tokens[a.TurnID]})
				case TellTurnLater:
					continue
				}
				delete(open, a.TurnID)
			}
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "back", "pass"}).Draw(t, "event") {
			case "ask":
				tokens[id] = rapid.IntRange(1, 12000).Draw(t, "tokens")
				open[id] = now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "until"))*time.Millisecond
				take(e.AskTurn(now, Ask{
					From: "n", ID: id, Tokens: tokens[id], Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Until: open[id],
					Fresh: now + 500*time.Millisecond, Limit: time.Duration(rapid.IntRange(0, 2000).Draw(t, "limit")) * time.Millisecond,
				}))
			case "back":
				for id := range open {
					e.DropAsk("n", id)
					delete(open, id)
					break
				}
			case "pass":
				take(e.turns.grant(now))
			}
			for i, s := range sent {
				sum, small := 0, true
				for _, o := range sent[i:] {
					if o.at-s.at < pace.Window {
						sum, small = sum+o.tokens, small && o.tokens <= pace.budget()
					}
				}
				if small && sum > pace.budget() {
					t.Fatalf("%d tokens in a window, budget %d", sum, pace.budget())
				}
			}
		}
		for range 4000 {
			now += time.Millisecond
			take(e.turns.grant(now))
		}
		if len(open) > 0 {
			t.Fatalf("%d asks were never answered", len(open))
		}
	})
}

// An owner that loses an engine answers those who wait, and an adapter that they
// need stays.
func TestTurnsThatWait(t *testing.T) {
	e := &Engine{}
	e.SetPace(Pace{Window: 300 * time.Millisecond, Rate: 20, Share: 0.8})
	target := chestnutstream.ModelAdapter{Model: "m", Adapter: "a"}
	for i, want := range []ActionKind{TellTurn, TellTurnLater, TellNoTurn} {
		a := Ask{From: fmt.Sprint("n", i), ID: 7, Target: target, Tokens: 4000, Until: time.Minute, Limit: time.Second}
		if want == TellNoTurn {
			a.Limit = 10 * time.Millisecond
		}
		actions := e.AskTurn(time.Second, a)
		assert.Equal(t, len(actions), 1)
		assert.Equal(t, actions[0].Kind, want)
		assert.DeepEqual(t, actions[0].To, []string{a.From})
	}
	assert.Assert(t, e.turns.awaits(target))
	ended := e.EndTurns()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Kind, TellTurn)
	assert.Assert(t, !e.turns.awaits(target))
}
