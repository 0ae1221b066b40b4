package loader

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Which base models an engine holds. An empty engine gets the model with the largest demand
// for each engine that would hold it, but first one that no other engine holds. A model that
// no other engine holds, and that requests wait for here, is loaded beside the others, or
// in place of one that other engines hold.

const (
	minModelTime       = 10 * time.Second // that an engine holds a model before another one takes its place
	modelWaitTimeout   = 3 * time.Second  // of a load request whose base model is about to be loaded
	replacementTimeout = 8 * time.Second  // from the unload of a model until the engine is to load the one that it made room for
)

// replacement is the base model for which another one was unloaded, until a time. The requests
// that wait for it may have left when the engine reports that it is empty.
type replacement struct {
	model string
	until time.Duration
}

// Models is what is known of a service's base models, by name.
type Models struct {
	Holders map[string]int     // other engines that hold the model
	Demand  map[string]float64 // requests for it, relative to those for others
}

// SetModels sets what is known of the service's base models. It is not needed for a service
// with one model.
func (e *Engine) SetModels(m Models) { e.known = m }

func (e *Engine) hasModel(model string) bool {
	_, ok := e.models[model]
	return ok
}

// nextModel loads or unloads a base model if necessary.
func (e *Engine) nextModel(boot time.Duration) (Action, bool) {
	if e.awaitsModel() {
		if boot < e.reportAt {
			return Action{}, false
		}
		return Action{Kind: ReadReport, Why: "model on its way"}, true
	}
	if boot < e.modelRetryAt {
		return Action{}, false
	}
	if len(e.models) == 0 {
		e.retire("")
		return e.orderModel(e.chooseModel(boot), "engine holds no model")
	}
	missing := e.missingModel()
	if missing == "" {
		e.retire("")
		return Action{}, false
	}
	return e.makeRoomForModel(boot, missing)
}

func (e *Engine) orderModel(model, why string) (Action, bool) {
	if model == "" {
		return Action{}, false
	}
	return Action{Kind: GiveOrder, Why: why, Order: chestnutstream.BackendOrder{
		Kind: chestnutstream.OrderLoad, Target: chestnutstream.ModelAdapter{Model: model}, OrderCount: e.orderCount,
	}}, true
}

// waitingFor returns how many requests wait here for a base model and its adapters.
func (e *Engine) waitingFor(model string) int {
	n := 0
	for target, r := range e.requests {
		if target.Model == model {
			n += r.waiting()
		}
	}
	return n
}

// chooseModel returns the base model for an empty engine, among those whose weights fit.
func (e *Engine) chooseModel(boot time.Duration) string {
	if e.replacement.model != "" && boot < e.replacement.until && e.known.Holders[e.replacement.model] == 0 && e.free().fits(room{weightsMB: e.modelMB(e.replacement.model)}) {
		return e.replacement.model
	}
	best, most := "", -1.0
	for _, missing := range []bool{true, false} { // first, models that no other engine holds
		for _, m := range e.spec.Models {
			holders := e.known.Holders[m.Name]
			if !e.free().fits(room{weightsMB: m.WeightsMB}) || missing != (holders == 0) {
				continue
			}
			demand := (e.known.Demand[m.Name] + float64(e.waitingFor(m.Name))) / float64(holders+1)
			if demand > most {
				best, most = m.Name, demand
			}
		}
		if most > 0 {
			break
		}
	}
	return best
}

// missingModel returns the base model that most requests wait for here, among those that
// neither this engine nor another one holds.
func (e *Engine) missingModel() string {
	best, most := "", 0
	for _, m := range e.spec.Models {
		if e.hasModel(m.Name) || e.known.Holders[m.Name] > 0 {
			continue
		}
		if n := e.waitingFor(m.Name); n > most {
			best, most = m.Name, n
		}
	}
	return best
}

// makeRoomForModel orders a base model beside the others, or the unload that makes room for
// it.
func (e *Engine) makeRoomForModel(boot time.Duration, model string) (Action, bool) {
	need, free := room{weightsMB: e.modelMB(model)}, e.free()
	if free.fits(need) {
		e.retire("")
		return e.orderModel(model, "no engine holds it")
	}
	if free.plus(e.evictable(boot)).fits(need) {
		e.retire("")
		victim := e.victim(boot)
		return Action{Kind: GiveOrder, Why: "room for " + model, Order: e.unloadOrder(victim)}, true
	}
	if e.retiring == "" {
		e.retire(e.replaceableModel(boot, free, need))
	}
	if e.retiring == "" || e.modelInUse(boot, e.retiring) {
		return Action{}, false
	}
	e.replacement = replacement{model: model, until: boot + replacementTimeout}
	return Action{Kind: GiveOrder, Why: "room for " + model, Order: e.unloadOrder(chestnutstream.ModelAdapter{Model: e.retiring})}, true
}

// retire marks the base model that is to be unloaded, or none.
func (e *Engine) retire(model string) {
	if e.retiring == model {
		return
	}
	e.retiring = model
	for _, s := range e.slots {
		s.retired = false
	}
}

// replaceableModel returns the base model that is to make room for another one: other
// engines hold it, and this one has held it for minModelTime.
func (e *Engine) replaceableModel(boot time.Duration, free, need room) string {
	best := ""
	for _, m := range e.spec.Models {
		since, held := e.modelSince[m.Name]
		if !held || !e.hasModel(m.Name) || boot-since < minModelTime || e.known.Holders[m.Name] == 0 {
			continue
		}
		freed := room{weightsMB: m.WeightsMB}
		for target := range e.slots {
			if target.Model == m.Name {
				freed.weightsMB += e.adapterMB(target)
			}
		}
		if free.plus(freed).fits(need) && (best == "" || e.known.Holders[m.Name] > e.known.Holders[best]) {
			best = m.Name
		}
	}
	return best
}

// mayComeNext reports whether a base model that no other engine holds is the next one that
// this engine loads, as far as is known.
func (e *Engine) mayComeNext(boot time.Duration, model string) bool {
	switch {
	case e.loadingModel != "":
		return e.loadingModel == model
	case len(e.models) > 0:
		return model == e.missingModel()
	}
	holders, known := e.known.Holders[model], e.known.Holders != nil
	return known && holders == 0 && model == e.chooseModel(boot)
}

// modelInUse reports whether adapters of a base model are in use, or change.
func (e *Engine) modelInUse(boot time.Duration, model string) bool {
	for target, s := range e.slots {
		if target.Model == model && (s.state != slotLoaded || s.inUse(boot)) {
			return true
		}
	}
	return false
}

// retireAdapters notifies the instances that use adapters of the model that is to be
// unloaded that they are no longer to use them, and rejects load requests for it.
func (e *Engine) retireAdapters(boot time.Duration) []Action {
	if e.retiring == "" {
		return nil
	}
	var actions []Action
	for target, s := range e.slots {
		if target.Model != e.retiring || s.retired {
			continue
		}
		s.retired = true
		if to := s.recentUsers(boot); len(to) > 0 {
			actions = append(actions, Action{Kind: NotifyUnloaded, To: to, Target: target, Version: s.version})
		}
	}
	for target, r := range e.requests {
		if target.Model == e.retiring {
			actions = append(actions, Action{Kind: RejectLoad, To: sortedKeys(r.waitingBy), Target: target, Version: r.version, RetryAfter: rejectRetryAfter, Why: "its model makes room for another one"})
			delete(e.requests, target)
		}
	}
	return actions
}

// recordModels records since when the engine holds its base models.
func (e *Engine) recordModels(boot time.Duration) {
	for model := range e.modelSince {
		if !e.hasModel(model) {
			delete(e.modelSince, model)
		}
	}
	for model := range e.models {
		if _, ok := e.modelSince[model]; !ok {
			e.modelSince[model] = boot
		}
	}
}
