// Package loader decides the orders to one model engine: which adapters are
// loaded there, at which version, and what makes room.
//
// # Usage
//
//	e := loader.NewEngine(server, kind, boot)
//	e.Want(boot, "edge-b-2", target, version, 1)
//	for _, a := range e.Step(boot) { ... } // Report, Order, Tell
//	e.Ordered(boot, order, chestnutstream.OrderUnderWay)
//	e.Reported(boot, report)
//
// Beside the orders it says when a prompt may be sent to the engine (AskTurn).
//
// loader.go is the engine's state and what is done now, choose.go what comes
// next, answers.go what reports and answers to orders mean, slots.go the adapters
// and those who wait for them, turns.go the pace of the prompts.
//
// # Invariants
//
// One order is under way at a time, and each carries the number of orders that
// the engine should have accepted. An order without an answer makes everything
// doubtful: nothing is ordered until a report that is newer than its latest
// effect has been read.
//
// A slot counts from its order until the engine has said that it is empty, so
// there are never more adapters than slots, loading and doubtful ones included:
// an engine that is ordered to load one more crashes.
package loader

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Times and figures.
const (
	reportLag      = 450 * time.Millisecond // a report is some hundred milliseconds old
	transitMost    = 4                      // adapters on their way to an engine at once: the platform's limit
	loadGuessFirst = 251 * time.Millisecond // the platform's time for an adapter that the engine did not have
	loadGuessAgain = 26 * time.Millisecond  // and for one that it had lately: a tenth
	askAgain       = 15 * time.Millisecond  // between looks at a load that takes longer than guessed
	askMost        = 200 * time.Millisecond // longest such pause
	loadLost       = 6 * time.Second        // a load that takes so long is looked up in a report
	modelLook      = 250 * time.Millisecond // between reports while a model is on its way
	modelPause     = 2500 * time.Millisecond
	blockedLook    = 30 * time.Millisecond  // between tries while the engine waits for the runs of an adapter that goes or is replaced
	blockedMost    = 8 * time.Second        // of that; then the state is read
	scoreHalf      = 8 * time.Second        // half-life of an adapter's use count
	busyFor        = 150 * time.Millisecond // after its last use a slot counts as in use: instances tell of uses with a delay
	useForgotten   = 15 * time.Second       // a use that was told goes on for no longer: its instance may be gone
	resendsMost    = 6                      // of an order without an answer
	tellDrop       = 25 * time.Second       // instances that used an adapter so lately are told that it is gone
	pastMost       = 100                    // adapters that an engine keeps nearby after they were unloaded
	refuseAfter    = 700 * time.Millisecond // a want without a free slot is answered after this: a copy elsewhere costs a load from the store
	noModelAfter   = 100 * time.Millisecond // and one at an engine that has no model: others have
	waitLook       = 50 * time.Millisecond  // between looks for room
	refuseFor      = 300 * time.Millisecond // and should not come back before this
	failPause      = 300 * time.Millisecond // after a failed call to the engine; doubles
	failPauseMost  = 2 * time.Second
	// crowdShare is the share of the engine's batch that may wait for one adapter:
	// they come all at once when it is there. Further instances are sent on to
	// another engine, which loads a copy.
	crowdShare = 0.5
)

// Engine is the loader of one engine.
type Engine struct {
	Server chestnutstream.Backend
	kind   chestnutstream.EngineKind

	synced   bool
	lookAt   time.Duration // earliest next report
	count    int           // orders that the engine accepted
	calling  bool          // an order or a report is under way
	looking  bool          // a look at a load is under way, beside it
	failures int
	resends  int
	again    *chestnutstream.BackendOrder // an order without an answer, to be sent again
	blocked  time.Duration                // until when the engine is not asked: it waits for runs to end

	models    map[string]int // held models and their versions
	modelWant string         // on its way
	modelAt   time.Duration
	slots     map[chestnutstream.ModelAdapter]*slot
	wants     map[chestnutstream.ModelAdapter]*want
	sentOn    []Action // words to instances whose wants were not taken
	past      map[chestnutstream.ModelAdapter]time.Duration
	cold      float64 // how many may be on their way from the weight store
	uses      map[useKey]use
	turns     turns

	Running, Queued int // as of the newest report
}

// NewEngine returns the loader of an engine of which nothing is known. An earlier
// process of this instance may have given orders up to now, so its state is read
// when reports show that.
func NewEngine(server chestnutstream.Backend, kind chestnutstream.EngineKind, boot time.Duration) *Engine {
	return &Engine{
		Server: server, kind: kind, lookAt: boot + reportLag,
		models: map[string]int{}, slots: map[chestnutstream.ModelAdapter]*slot{},
		cold: coldFirst, uses: map[useKey]use{}, wants: map[chestnutstream.ModelAdapter]*want{}, past: map[chestnutstream.ModelAdapter]time.Duration{},
	}
}

// ActionKind is what an action asks for.
type ActionKind string

// The kinds of actions.
const (
	ReadReport ActionKind = "read-report"
	GiveOrder  ActionKind = "give-order"
	TellHeld   ActionKind = "tell-held"
	TellRetry  ActionKind = "tell-retry"
	TellGone   ActionKind = "tell-gone"

	TellTurn      ActionKind = "tell-turn"       // a prompt may be sent now
	TellTurnLater ActionKind = "tell-turn-later" // its turn comes; RetryAfter is when that is likely
	TellNoTurn    ActionKind = "tell-no-turn"    // it waits longer than it may
)

// Action is what the loader wants done. Orders lack holder, fencing number and
// end of validity, which the owner's lease adds.
type Action struct {
	Kind       ActionKind
	Order      chestnutstream.BackendOrder
	Look       bool     // the order was given before, and its answer is taken by Looked
	To         []string // instances that are told
	Target     chestnutstream.ModelAdapter
	Version    int
	RetryAfter time.Duration
	Why        string
	TurnID     uint64 // of the ask that is answered
}

// Want notes how many requests of an instance wait for an adapter. With none
// left the instance no longer wants it: its callers have gone. Where many wait
// for it already, an instance that has not asked yet is sent on.
func (e *Engine) Want(boot time.Duration, from string, target chestnutstream.ModelAdapter, version, waiting int) {
	w := e.wants[target]
	if waiting <= 0 {
		if w == nil {
			return
		}
		delete(w.askers, from)
		if len(w.askers) == 0 {
			delete(e.wants, target)
		}
		return
	}
	if w != nil && w.askers[from] == 0 && e.crowded(w) {
		e.sentOn = append(e.sentOn, Action{Kind: TellRetry, To: []string{from}, Target: target, Version: version, Why: "enough requests wait for it here"})
		return
	}
	if w == nil {
		w = &want{askers: map[string]int{}, since: boot}
		e.wants[target] = w
	}
	w.version = max(w.version, version)
	w.askers[from] = waiting
}

// crowded reports whether as many requests wait for one adapter as the engine can
// well begin at once.
func (e *Engine) crowded(w *want) bool {
	return e.kind.Slots > 0 && float64(w.waiting()) >= crowdShare*float64(e.kind.Slots)
}

// useKey is an instance's use of a model or adapter.
type useKey struct {
	from   string
	target chestnutstream.ModelAdapter
}

// InProgress returns how many requests all instances have at the engine, by
// their own word.
func (e *Engine) InProgress(boot time.Duration) int {
	n := 0
	for k, u := range e.uses {
		if boot-u.at > useForgotten {
			delete(e.uses, k)
			continue
		}
		n += u.requests
	}
	return n
}

// Used notes how many requests an instance has begun for an adapter on the
// engine since it last told, and how many are in progress.
func (e *Engine) Used(boot time.Duration, from string, target chestnutstream.ModelAdapter, begun, inProgress int) {
	k := useKey{from, target}
	delete(e.uses, k)
	if inProgress > 0 {
		e.uses[k] = use{at: boot, requests: inProgress}
	}
	s := e.slots[target]
	if s == nil {
		return
	}
	s.touch(boot, float64(begun))
	s.users[from] = use{at: boot, requests: inProgress}
}

// inUse reports whether an instance has told of a request in progress.
func (s *slot) inUse(boot time.Duration) bool {
	for _, u := range s.users {
		if u.requests > 0 && boot-u.at < useForgotten {
			return true
		}
	}
	return boot-s.lastUsed < busyFor
}

func (s *slot) touch(boot time.Duration, count float64) {
	s.score = s.scoreAt(boot) + count
	s.scoredAt, s.lastUsed = boot, boot
}

func (s *slot) scoreAt(boot time.Duration) float64 {
	return s.score / (1 + float64(boot-s.scoredAt)/float64(scoreHalf))
}

// Holds reports whether the engine holds an adapter at a version.
func (e *Engine) Holds(target chestnutstream.ModelAdapter, version int) bool {
	if target.Adapter == "" {
		_, ok := e.models[target.Model]
		return ok
	}
	s := e.slots[target]
	return s != nil && s.state == slotHeld && s.version >= version
}

// Slots returns how many slots are taken and how many there are.
func (e *Engine) Slots() (taken, all int) { return len(e.slots), e.kind.AdapterSlots }

// Step returns what is to be done now.
func (e *Engine) Step(boot time.Duration) []Action {
	actions := append(e.sentOn, e.tellHeld()...)
	e.sentOn = nil
	if !e.looking && e.synced && boot >= e.blocked {
		if a, ok := e.nextLook(boot); ok {
			e.looking = true
			actions = append(actions, a)
		}
	}
	if !e.calling {
		if a, ok := e.next(boot); ok {
			e.calling = true
			actions = append(actions, a)
		}
	}
	actions = append(actions, e.turns.grant(boot)...)
	return append(actions, e.tellRetry(boot)...)
}

// tellHeld answers the wants that are met.
func (e *Engine) tellHeld() []Action {
	var actions []Action
	for target, w := range e.wants {
		if e.Holds(target, w.version) {
			version := w.version
			if s := e.slots[target]; s != nil {
				version = s.version
				s.touch(s.lastUsed, float64(w.waiting()))
			}
			actions = append(actions, Action{Kind: TellHeld, To: names(w.askers), Target: target, Version: version})
			delete(e.wants, target)
		}
	}
	return actions
}

// tellRetry answers the wants that have waited for too long.
func (e *Engine) tellRetry(boot time.Duration) []Action {
	var actions []Action
	for target, w := range e.wants {
		if e.slots[target] != nil {
			continue
		}
		limit, why := refuseAfter, "all slots in use"
		switch {
		case !e.synced && e.failures > 0:
			limit, why = 0, "the engine does not answer"
		case !e.synced:
			why = "state of the engine not known"
		case !e.hasModel(target.Model):
			limit, why = noModelAfter, "base model not loaded"
		case e.room(boot):
			continue // its turn comes
		}
		if boot-w.since < limit {
			continue
		}
		actions = append(actions, Action{Kind: TellRetry, To: names(w.askers), Target: target, Version: w.version, RetryAfter: refuseFor, Why: why})
		delete(e.wants, target)
	}
	return actions
}

// NextAt returns when Step may have something to do by itself; ok is false when
// only an event can bring it.
func (e *Engine) NextAt(boot time.Duration) (at time.Duration, ok bool) {
	earliest := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if !e.synced || e.modelWant != "" {
		earliest(e.lookAt)
	}
	for _, s := range e.slots {
		if s.state != slotHeld {
			earliest(max(s.askAt, e.blocked))
		}
	}
	if len(e.wants) > 0 && boot < e.blocked {
		earliest(e.blocked)
	}
	for _, w := range e.wants {
		// Past that, a want waits for a slot that falls idle.
		earliest(max(w.since+noModelAfter, boot+waitLook))
	}
	if e.synced && len(e.models) == 0 && e.modelWant == "" {
		earliest(e.modelAt)
	}
	if due, waits := e.turns.nextAt(boot); waits {
		earliest(due)
	}
	return at, ok
}

func names(set map[string]int) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
