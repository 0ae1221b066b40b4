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
)

type slotState string

const (
	slotLoading   slotState = "loading"
	slotHeld      slotState = "held"
	slotUnloading slotState = "unloading"
)

// slot is one adapter on an engine, or on its way to or from it.
type slot struct {
	state    slotState
	version  int // that is held, or on its way
	askAt    time.Duration
	askPause time.Duration
	since    time.Duration
	lastUsed time.Duration
	score    float64
	scoredAt time.Duration
	users    map[string]use
	cold     bool // loading from the weight store, as far as is known
	replaces bool // loading: the older version is in its place until its runs have ended
}

// use is what an instance has told of its use of an adapter.
type use struct {
	at       time.Duration
	requests int // in progress
}

// want is an adapter that instances wait for.
type want struct {
	version int
	askers  map[string]int // requests that wait, by instance
	since   time.Duration
}

// waiting returns how many requests wait.
func (w *want) waiting() int {
	n := 0
	for _, count := range w.askers {
		n += count
	}
	return n
}

// freshFor is how long a want can wait and still be met within its requests'
// latency target of half a second, with the time that a load takes.
const freshFor = 180 * time.Millisecond

// before reports whether a want is met before another one: more waiting requests
// first, then those that can still be in time, the oldest of these first. Of
// what is late already the youngest goes first: under more wants than loads, in
// order of age all would be late, and their callers gone.
func (w *want) before(o *want, boot time.Duration) bool {
	if a, b := w.waiting(), o.waiting(); a != b {
		return a > b
	}
	a, b := boot-w.since < freshFor, boot-o.since < freshFor
	if a != b {
		return a
	}
	if a {
		return w.since < o.since
	}
	return w.since > o.since
}

// Figures of the number of adapters that are on their way from the weight store
// at once. The store slows all loads beyond a number over all engines, so what
// waits here instead of there keeps its place for the more wanted ones.
const (
	coldFirst = 2.0
	coldLeast = 1.0
	coldMost  = float64(transitMost) - 1 // one place is left for what the engine had lately
	coldMore  = 0.1                      // after a load at full speed
	coldLess  = 0.4                      // after a slowed one
	slowed    = 1.35                     // times the usual
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
	past      map[chestnutstream.ModelAdapter]time.Duration
	cold      float64 // how many may be on their way from the weight store
	uses      map[useKey]use

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
}

// Want notes how many requests of an instance wait for an adapter. With none
// left the instance no longer wants it: its callers have gone.
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
	if w == nil {
		w = &want{askers: map[string]int{}, since: boot}
		e.wants[target] = w
	}
	w.version = max(w.version, version)
	w.askers[from] = waiting
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
	actions := e.tellHeld()
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

func (e *Engine) hasModel(model string) bool {
	_, ok := e.models[model]
	return ok
}

// room reports whether a slot is free or can be made free.
func (e *Engine) room(boot time.Duration) bool {
	if len(e.slots) < e.kind.AdapterSlots {
		return true
	}
	_, ok := e.victim(boot)
	return ok
}

// next picks the next call to the engine.
func (e *Engine) next(boot time.Duration) (Action, bool) {
	if !e.synced {
		if boot < e.lookAt {
			return Action{}, false
		}
		return Action{Kind: ReadReport, Why: "state not known"}, true
	}
	if a, ok := e.nextModel(boot); ok {
		return a, true
	}
	if e.again != nil {
		o := *e.again
		e.again = nil
		return Action{Kind: GiveOrder, Why: "no answer", Order: o}, true
	}
	if e.modelWant != "" || boot < e.blocked {
		return Action{}, false
	}
	if a, ok := e.nextReport(boot); ok {
		return a, true
	}
	return e.nextLoad(boot)
}

// nextModel loads a base model onto an engine that holds none.
func (e *Engine) nextModel(boot time.Duration) (Action, bool) {
	if e.modelWant != "" {
		if boot < e.lookAt {
			return Action{}, false
		}
		return Action{Kind: ReadReport, Why: "model on its way"}, true
	}
	if len(e.models) > 0 || boot < e.modelAt {
		return Action{}, false
	}
	model := e.chooseModel()
	if model == "" {
		return Action{}, false
	}
	return Action{Kind: GiveOrder, Why: "engine holds no model", Order: chestnutstream.BackendOrder{
		Kind: chestnutstream.OrderLoad, Target: chestnutstream.ModelAdapter{Model: model}, OrderCount: e.count,
	}}, true
}

// chooseModel returns the model that requests wait for, else the first that
// fits.
func (e *Engine) chooseModel() string {
	best, waiting := "", -1
	for _, m := range e.kind.Models {
		if m.WeightsMB > e.kind.WeightsMB {
			continue
		}
		n := 0
		for target, w := range e.wants {
			if target.Model == m.Name {
				n += w.waiting()
			}
		}
		if n > waiting {
			best, waiting = m.Name, n
		}
	}
	return best
}

// nextLook looks whether a load or unload is complete that should be, by the
// same order once more: the engine takes none twice. A look that is lost, as
// orders may be, holds no order up.
func (e *Engine) nextLook(boot time.Duration) (Action, bool) {
	due, s := e.due(boot)
	if s == nil || boot-s.since > loadLost {
		return Action{}, false
	}
	if s.state == slotUnloading {
		return Action{Kind: GiveOrder, Look: true, Why: "is it gone", Order: e.unloadOrder(due)}, true
	}
	return Action{Kind: GiveOrder, Look: true, Why: "is it loaded", Order: e.loadOrder(due, s.version)}, true
}

// nextReport reads the state when a load or unload takes far too long.
func (e *Engine) nextReport(boot time.Duration) (Action, bool) {
	for _, s := range e.slots {
		if s.state != slotHeld && boot-s.since > loadLost && boot >= e.lookAt {
			return Action{Kind: ReadReport, Why: string(s.state) + " takes long"}, true
		}
	}
	return Action{}, false
}

// due returns the slot that is to be looked at next.
func (e *Engine) due(boot time.Duration) (chestnutstream.ModelAdapter, *slot) {
	var due chestnutstream.ModelAdapter
	var found *slot
	for target, s := range e.slots {
		if s.state != slotHeld && boot >= s.askAt && (found == nil || s.askAt < found.askAt) {
			due, found = target, s
		}
	}
	return due, found
}

func (e *Engine) loadOrder(target chestnutstream.ModelAdapter, version int) chestnutstream.BackendOrder {
	return chestnutstream.BackendOrder{Kind: chestnutstream.OrderLoad, Target: target, Version: version, OrderCount: e.count}
}

func (e *Engine) unloadOrder(target chestnutstream.ModelAdapter) chestnutstream.BackendOrder {
	return chestnutstream.BackendOrder{Kind: chestnutstream.OrderUnload, Target: target, OrderCount: e.count}
}

// nextLoad gives the next load order, or makes room for it.
func (e *Engine) nextLoad(boot time.Duration) (Action, bool) {
	target, w := e.first(boot)
	if w == nil {
		return Action{}, false
	}
	if s := e.slots[target]; s != nil || len(e.slots) < e.kind.AdapterSlots {
		why := "wanted"
		if s != nil {
			why = "newer version wanted"
		}
		return Action{Kind: GiveOrder, Why: why, Order: e.loadOrder(target, w.version)}, true
	}
	victim, ok := e.victim(boot)
	if !ok {
		return Action{}, false
	}
	return Action{Kind: GiveOrder, Why: "room for " + target.String(), Order: e.unloadOrder(victim)}, true
}

// first returns the want that is met next.
func (e *Engine) first(boot time.Duration) (chestnutstream.ModelAdapter, *want) {
	var best chestnutstream.ModelAdapter
	var found *want
	cold, all := e.inTransit()
	if all >= transitMost {
		return best, nil
	}
	for target, w := range e.wants {
		if e.isCold(target) && float64(cold) >= e.cold {
			continue
		}
		if s := e.slots[target]; s != nil && s.state != slotHeld {
			continue
		}
		if !e.hasModel(target.Model) {
			continue
		}
		if found == nil || w.before(found, boot) {
			best, found = target, w
		}
	}
	return best, found
}

// inTransit returns how many adapters are on their way, and how many of these
// from the weight store.
func (e *Engine) inTransit() (cold, all int) {
	for _, s := range e.slots {
		if s.state == slotLoading {
			all++
			if s.cold {
				cold++
			}
		}
	}
	return cold, all
}

// isCold reports whether a load would come from the weight store.
func (e *Engine) isCold(target chestnutstream.ModelAdapter) bool {
	_, lately := e.past[target]
	return !lately || e.slots[target] != nil
}

// loaded adapts the number of loads from the weight store to how long one took.
func (e *Engine) loaded(s *slot, took time.Duration) {
	if !s.cold {
		return
	}
	if float64(took) > slowed*float64(loadGuessFirst) {
		e.cold = max(e.cold-coldLess, coldLeast)
		return
	}
	e.cold = min(e.cold+coldMore, coldMost)
}

// victim returns the slot that makes room: the least used that is not in use
// and that nobody waits for.
func (e *Engine) victim(boot time.Duration) (chestnutstream.ModelAdapter, bool) {
	var best chestnutstream.ModelAdapter
	found, least := false, 0.0
	for target, s := range e.slots {
		if s.state != slotHeld || s.inUse(boot) || e.wants[target] != nil {
			continue
		}
		if score := s.scoreAt(boot); !found || score < least || (score == least && target.Adapter < best.Adapter) {
			best, least, found = target, score, true
		}
	}
	return best, found
}

// Reported takes a report.
func (e *Engine) Reported(boot time.Duration, r chestnutstream.BackendReport) []Action {
	e.calling, e.failures = false, 0
	e.lookAt = boot + reportLag
	e.Running, e.Queued = r.Running, r.Queued
	if e.synced && r.OrderCount < e.count {
		return nil // older than the newest order
	}
	e.count, e.synced = r.OrderCount, true
	gone := e.adopt(boot, r)
	if e.modelWant != "" {
		if _, ok := e.models[e.modelWant]; ok {
			e.modelWant = ""
		} else if !r.Busy && boot > e.modelAt {
			e.modelWant = "" // it failed: ordered again
		}
		e.lookAt = boot + modelLook
	}
	return gone
}

// adopt takes what a report says that the engine holds.
func (e *Engine) adopt(boot time.Duration, r chestnutstream.BackendReport) []Action {
	e.models = map[string]int{}
	said := map[chestnutstream.ModelAdapter]bool{}
	for _, m := range r.Models {
		e.models[m.Name] = m.Version
		for _, a := range m.Adapters {
			t := chestnutstream.ModelAdapter{Model: m.Name, Adapter: a.Name}
			said[t] = true
			s := e.slot(boot, t)
			if s.state == slotLoading && s.version > a.Version {
				continue // its newer version is on its way
			}
			if s.state != slotUnloading {
				s.state, s.version = slotHeld, a.Version
			}
		}
	}
	for _, p := range r.Pending {
		said[p.ModelAdapter] = true
		s := e.slot(boot, p.ModelAdapter)
		if s.state != slotLoading {
			s.state, s.version, s.since, s.askAt, s.askPause = slotLoading, p.Version, boot, boot+askAgain, askAgain
		}
	}
	var actions []Action
	for target, s := range e.slots {
		if !said[target] {
			actions = append(actions, e.dropped(boot, target, s)...)
		}
	}
	return actions
}

// slot returns the slot of an adapter, a held one of no use if there is none.
func (e *Engine) slot(boot time.Duration, t chestnutstream.ModelAdapter) *slot {
	s := e.slots[t]
	if s == nil {
		s = &slot{state: slotHeld, since: boot, lastUsed: boot, users: map[string]use{}, askPause: askAgain}
		e.slots[t] = s
	}
	return s
}

// dropped frees a slot and tells the instances that used it.
func (e *Engine) dropped(boot time.Duration, target chestnutstream.ModelAdapter, s *slot) []Action {
	delete(e.slots, target)
	e.remember(boot, target)
	var to []string
	for name, u := range s.users {
		if boot-u.at < tellDrop {
			to = append(to, name)
		}
	}
	if len(to) == 0 {
		return nil
	}
	sort.Strings(to)
	return []Action{{Kind: TellGone, To: to, Target: target, Version: s.version}}
}

// remember keeps which adapters the engine had lately: they load fast.
func (e *Engine) remember(boot time.Duration, target chestnutstream.ModelAdapter) {
	e.past[target] = boot
	if len(e.past) <= pastMost {
		return
	}
	oldest, at := target, boot
	for t, when := range e.past {
		if when < at {
			oldest, at = t, when
		}
	}
	delete(e.past, oldest)
}

// ReportFailed notes that a report could not be read.
func (e *Engine) ReportFailed(boot time.Duration) {
	e.calling = false
	e.lookAt = boot + e.pause()
}

func (e *Engine) pause() time.Duration {
	e.failures++
	return min(failPause<<min(e.failures-1, 4), failPauseMost)
}

// Looked takes the answer to a look. One that brought nothing, or met another
// number of orders, is repeated later.
func (e *Engine) Looked(boot time.Duration, o chestnutstream.BackendOrder, a chestnutstream.OrderAnswer) []Action {
	e.looking = false
	s := e.slots[o.Target]
	if s == nil || s.state == slotHeld {
		return nil
	}
	switch {
	case a == chestnutstream.OrderHolds && o.Kind == chestnutstream.OrderUnload && s.state == slotUnloading:
		return e.dropped(boot, o.Target, s)
	case a == chestnutstream.OrderHolds && o.Kind == chestnutstream.OrderLoad && s.state == slotLoading && s.version == o.Version:
		e.loaded(s, boot-s.since)
		s.state, s.replaces, s.lastUsed = slotHeld, false, boot
		return nil
	case a == chestnutstream.OrderMisplaced || a == chestnutstream.OrderFenced || a == chestnutstream.OrderRejected:
		e.doubt(boot + reportLag)
		return nil
	}
	e.lookLater(boot, s)
	return nil
}

// Ordered takes the answer to an order.
func (e *Engine) Ordered(boot time.Duration, o chestnutstream.BackendOrder, a chestnutstream.OrderAnswer) []Action {
	e.calling = false
	switch a {
	case chestnutstream.OrderUnderWay, chestnutstream.OrderHolds:
		e.failures, e.resends = 0, 0
	case chestnutstream.OrderConflict:
		e.conflict(boot, o)
		return nil
	case chestnutstream.OrderUnknown:
		e.unanswered(boot, o)
		return nil
	default:
		e.doubt(boot + max(reportLag, e.pause()))
		return nil
	}
	if o.Target.Adapter == "" {
		e.orderedModel(boot, o, a)
		return nil
	}
	if o.Kind == chestnutstream.OrderUnload {
		return e.orderedUnload(boot, o, a)
	}
	e.orderedLoad(boot, o, a)
	return nil
}

// conflict goes on after an order was refused for another one under way, or for
// another number of orders. The engine takes none while it waits for the runs
// of an adapter that is to go or to be replaced.
func (e *Engine) conflict(boot time.Duration, o chestnutstream.BackendOrder) {
	e.resends = 0
	for _, s := range e.slots {
		if (s.state == slotUnloading || s.replaces) && boot-s.since < blockedMost {
			e.blocked = boot + blockedLook
			return
		}
	}
	e.doubt(boot + reportLag)
}

// unanswered sends an order again that brought no answer. It carries the number
// of orders of before it, so it is accepted once at most, and the first, should
// it be carried out late, is refused then.
func (e *Engine) unanswered(boot time.Duration, o chestnutstream.BackendOrder) {
	e.resends++
	if e.resends > resendsMost || o.Target.Adapter == "" {
		e.resends = 0
		e.doubt(boot + max(reportLag, e.pause()))
		return
	}
	e.again = &o
}

// doubt makes the state of the engine unknown until it is read.
func (e *Engine) doubt(lookAt time.Duration) {
	e.synced, e.lookAt, e.again = false, lookAt, nil
}

func (e *Engine) lookLater(boot time.Duration, s *slot) {
	s.askAt = boot + s.askPause
	s.askPause = min(2*s.askPause, askMost)
}

func (e *Engine) orderedModel(boot time.Duration, o chestnutstream.BackendOrder, a chestnutstream.OrderAnswer) {
	if a == chestnutstream.OrderHolds {
		e.doubt(boot + reportLag)
		return
	}
	e.count++
	e.modelWant = o.Target.Model
	e.modelAt = boot + modelPause
	e.lookAt = boot + modelLook
}

func (e *Engine) orderedUnload(boot time.Duration, o chestnutstream.BackendOrder, a chestnutstream.OrderAnswer) []Action {
	s := e.slots[o.Target]
	if s == nil {
		e.count++
		return nil
	}
	e.count++
	if a == chestnutstream.OrderHolds {
		return e.dropped(boot, o.Target, s)
	}
	s.state, s.since, s.askAt, s.askPause = slotUnloading, boot, boot+blockedLook, blockedLook
	return nil
}

func (e *Engine) orderedLoad(boot time.Duration, o chestnutstream.BackendOrder, a chestnutstream.OrderAnswer) {
	_, had := e.slots[o.Target]
	s := e.slot(boot, o.Target)
	if a == chestnutstream.OrderHolds {
		s.state, s.version, s.replaces = slotHeld, o.Version, false
		s.lastUsed = boot
		return
	}
	e.count++
	_, lately := e.past[o.Target]
	s.cold = had || !lately
	guess := loadGuessAgain
	if s.cold {
		guess = loadGuessFirst
	}
	s.state, s.version, s.since, s.askAt, s.askPause, s.replaces = slotLoading, o.Version, boot, boot+guess, askAgain, had
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
