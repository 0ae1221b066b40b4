package loader

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// The load that this answers: prompts from all instances for one engine at about
// the same time. An engine reads a piece of a prompt in each step, and while it
// reads in every step the streams that run there pause: their events hold several
// steps. Sent at a pace that leaves some steps free the same prompts are read in
// nearly the same time, and no stream is late by its pauses.

// Ask asks when a prompt may be sent to an engine.
type Ask struct {
	From     string // the instance that asks
	ID       uint64 // chosen by it
	Target   chestnutstream.ModelAdapter
	Tokens   int
	Priority int           // 0 is the most urgent
	Fresh    time.Duration // of boot time: until when an answer is in time
	Until    time.Duration // of boot time: after this a turn is of no use
	Limit    time.Duration // the longest wait for which it stays; another engine is asked for more
}

// Figures of the pace.
const (
	// firstSlack is what an answer takes beside the reading of its own prompt, when
	// it is judged whether it can still be in time.
	firstSlack = 50 * time.Millisecond
	// largestNeed is the share of the budget that has to be free for the largest
	// prompts.
	largestNeed = 0.5
	// rankStep is the time by which an ask goes before one that is less urgent by
	// one: more, and the less urgent would starve.
	rankStep = 150 * time.Millisecond
)

// Pace is how fast an engine may be sent prompts.
type Pace struct {
	Window time.Duration // the longest pause that its streams may make; 0: prompts are not held
	Rate   float64       // prompt tokens that it reads in a millisecond
	Share  float64       // of the window that reading may fill
}

// budget returns how many tokens may be sent in a window.
func (p Pace) budget() int { return int(p.Share * p.Rate * float64(p.Window.Milliseconds())) }

// takes returns how long a prompt holds up those behind it.
func (p Pace) takes(tokens int) time.Duration {
	return time.Duration(float64(tokens) / max(p.Share*p.Rate, 1) * float64(time.Millisecond))
}

// turns are the prompts that an engine was sent lately and those that wait.
type turns struct {
	pace  Pace
	sent  []sentPrompt // within the window, in order of time
	queue []Ask        // in order of arrival
}

type sentPrompt struct {
	at     time.Duration
	tokens int
}

// SetPace sets the pace of the engine's prompts.
func (e *Engine) SetPace(p Pace) { e.turns.pace = p }

// AskTurn takes an ask and answers it at once: with a turn, with the wait after
// which one is likely, or with the word that it is too long.
func (e *Engine) AskTurn(boot time.Duration, a Ask) []Action {
	t := &e.turns
	wait := t.estimate(boot, a)
	if wait > a.Limit || boot+wait > a.Until {
		return []Action{turnAction(TellNoTurn, a, wait)}
	}
	t.queue = append(t.queue, a)
	actions := t.grant(boot)
	for _, g := range actions {
		if g.To[0] == a.From && g.TurnID == a.ID {
			return actions
		}
	}
	return append(actions, turnAction(TellTurnLater, a, wait))
}

// DropAsk forgets an ask whose request has gone.
func (e *Engine) DropAsk(from string, id uint64) {
	for i, a := range e.turns.queue {
		if a.From == from && a.ID == id {
			e.turns.queue = append(e.turns.queue[:i], e.turns.queue[i+1:]...)
			return
		}
	}
}

// EndTurns answers all asks that wait with a turn: the engine's owner gives none
// any more.
func (e *Engine) EndTurns() []Action {
	var actions []Action
	for _, a := range e.turns.queue {
		actions = append(actions, turnAction(TellTurn, a, 0))
	}
	e.turns.queue = nil
	return actions
}

// TurnsWaiting returns how many asks wait for their turn.
func (e *Engine) TurnsWaiting() int { return len(e.turns.queue) }

// awaits reports whether a request with a turn to come needs an adapter.
func (t *turns) awaits(target chestnutstream.ModelAdapter) bool {
	for _, a := range t.queue {
		if a.Target == target {
			return true
		}
	}
	return false
}

// turnAction answers an ask: wait is how long until a turn is likely, or for how
// long the engine still reads what it was sent before.
func turnAction(kind ActionKind, a Ask, wait time.Duration) Action {
	return Action{Kind: kind, To: []string{a.From}, Target: a.Target, TurnID: a.ID, RetryAfter: wait}
}

// grant gives the turns that are due, and drops the asks that are of no use any
// more.
func (t *turns) grant(boot time.Duration) []Action {
	var actions []Action
	for i := 0; i < len(t.queue); {
		if a := t.queue[i]; boot > a.Until {
			t.queue = append(t.queue[:i], t.queue[i+1:]...)
			actions = append(actions, turnAction(TellNoTurn, a, t.pace.Window))
			continue
		}
		i++
	}
	t.forget(boot)
	for len(t.queue) > 0 {
		i := t.first(boot)
		a := t.queue[i]
		if !t.fits(a.Tokens) {
			break
		}
		t.queue = append(t.queue[:i], t.queue[i+1:]...)
		actions = append(actions, turnAction(TellTurn, a, t.pace.takes(t.inWindow())))
		t.sent = append(t.sent, sentPrompt{boot, min(a.Tokens, t.pace.budget())})
	}
	return actions
}

// forget drops the prompts that were sent before the window.
func (t *turns) forget(boot time.Duration) {
	i := sort.Search(len(t.sent), func(i int) bool { return boot-t.sent[i].at < t.pace.Window })
	t.sent = t.sent[i:]
}

// inWindow returns the tokens that were sent within the window.
func (t *turns) inWindow() int {
	n := 0
	for _, s := range t.sent {
		n += s.tokens
	}
	return n
}

// fits reports whether a prompt may be sent now.
func (t *turns) fits(tokens int) bool {
	return t.pace.Window <= 0 || len(t.sent) == 0 || t.inWindow()+t.needs(tokens) <= t.pace.budget()
}

// needs returns what of the budget has to be free for a prompt. Streams pause for
// one over the budget whenever it is read, so it does not wait for a window of its
// own.
func (t *turns) needs(tokens int) int {
	budget := t.pace.budget()
	if tokens > budget {
		return int(largestNeed * float64(budget))
	}
	return tokens
}

// first returns the ask that is next: those that can still be in time before the
// others, then by when they have to be answered and how urgent they are.
func (t *turns) first(boot time.Duration) int {
	best := 0
	for i := range t.queue {
		if t.before(boot, t.queue[i], t.queue[best]) {
			best = i
		}
	}
	return best
}

// before reports whether an ask goes before another that arrived earlier.
func (t *turns) before(boot time.Duration, a, earlier Ask) bool {
	if x, y := t.fresh(boot, a), t.fresh(boot, earlier); x != y {
		return x
	}
	rank := func(a Ask) time.Duration { return a.Fresh + time.Duration(a.Priority)*rankStep }
	return rank(a) < rank(earlier)
}

// fresh reports whether the answer to an ask that is granted now comes in time.
func (t *turns) fresh(boot time.Duration, a Ask) bool {
	return boot+t.pace.takes(a.Tokens)+firstSlack <= a.Fresh
}

// estimate returns how long a new ask is likely to wait for its turn.
func (t *turns) estimate(boot time.Duration, a Ask) time.Duration {
	t.forget(boot)
	if len(t.queue) == 0 && t.fits(a.Tokens) {
		return 0
	}
	ahead := t.inWindow() + t.needs(a.Tokens) - t.pace.budget()
	for _, q := range t.queue {
		if !t.before(boot, a, q) {
			ahead += q.Tokens
		}
	}
	return t.pace.takes(max(ahead, 1))
}

// nextAt returns when a turn may be due by itself.
func (t *turns) nextAt(boot time.Duration) (at time.Duration, ok bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	need := t.inWindow() + t.needs(t.queue[t.first(boot)].Tokens) - t.pace.budget()
	for _, s := range t.sent {
		at, need = s.at+t.pace.Window, need-s.tokens
		if need <= 0 {
			break
		}
	}
	return max(at, boot), true
}
