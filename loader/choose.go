package loader

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

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
		if s.state != slotHeld || s.inUse(boot) || e.wants[target] != nil || e.turns.awaits(target) {
			continue
		}
		if score := s.scoreAt(boot); !found || score < least || (score == least && target.Adapter < best.Adapter) {
			best, least, found = target, score, true
		}
	}
	return best, found
}
