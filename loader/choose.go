package loader

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// nextCall selects the next call to the engine.
func (e *Engine) nextCall(boot time.Duration) (Action, bool) {
	if !e.synced {
		if boot < e.reportAt {
			return Action{}, false
		}
		return Action{Kind: ReadReport, Why: "state not known"}, true
	}
	if a, ok := e.nextModel(boot); ok {
		return a, true
	}
	if e.resend != nil {
		o := *e.resend
		e.resend = nil
		return Action{Kind: GiveOrder, Why: "no answer", Order: o}, true
	}
	if e.awaitsModel() || boot < e.blockedUntil {
		return Action{}, false
	}
	if a, ok := e.nextReport(boot); ok {
		return a, true
	}
	return e.nextLoad(boot)
}

// nextPoll checks whether a load or unload that should be complete is complete,
// by sending the same order again: the engine executes no order twice. Polls run
// beside the calls, so a lost poll delays no order.
func (e *Engine) nextPoll(boot time.Duration) (Action, bool) {
	due, s := e.dueSlot(boot)
	if s == nil || boot-s.since > transitionTimeout {
		return Action{}, false
	}
	if s.state == slotUnloading {
		return Action{Kind: GiveOrder, Poll: true, Why: "is it gone", Order: e.unloadOrder(due)}, true
	}
	return Action{Kind: GiveOrder, Poll: true, Why: "is it loaded", Order: e.loadOrder(due, s.version)}, true
}

// nextReport reads a report when a load or unload exceeds transitionTimeout.
func (e *Engine) nextReport(boot time.Duration) (Action, bool) {
	for _, s := range e.slots {
		if s.state != slotLoaded && boot-s.since > transitionTimeout && boot >= e.reportAt {
			return Action{Kind: ReadReport, Why: string(s.state) + " takes long"}, true
		}
	}
	return Action{}, false
}

// dueSlot returns the slot whose poll is due first.
func (e *Engine) dueSlot(boot time.Duration) (chestnutstream.ModelAdapter, *slot) {
	var due chestnutstream.ModelAdapter
	var found *slot
	for target, s := range e.slots {
		if s.state != slotLoaded && boot >= s.pollAt && (found == nil || s.pollAt < found.pollAt) {
			due, found = target, s
		}
	}
	return due, found
}

func (e *Engine) loadOrder(target chestnutstream.ModelAdapter, version int) chestnutstream.BackendOrder {
	return chestnutstream.BackendOrder{Kind: chestnutstream.OrderLoad, Target: target, Version: version, OrderCount: e.orderCount}
}

func (e *Engine) unloadOrder(target chestnutstream.ModelAdapter) chestnutstream.BackendOrder {
	return chestnutstream.BackendOrder{Kind: chestnutstream.OrderUnload, Target: target, OrderCount: e.orderCount}
}

// nextLoad orders the next load, or the unload that makes room for it.
func (e *Engine) nextLoad(boot time.Duration) (Action, bool) {
	target, r := e.nextRequest(boot)
	if r == nil {
		return Action{}, false
	}
	s, free, need := e.slots[target], e.free(), e.need(target)
	if free.fits(need) {
		why := "wanted"
		if s != nil {
			why = "newer version wanted"
		}
		return Action{Kind: GiveOrder, Why: why, Order: e.loadOrder(target, r.version)}, true
	}
	victim, why := target, "room for a newer version" // the older version itself makes room
	if free.plus(e.evictable(boot)).fits(need) {
		victim, why = e.victim(boot), "room for "+target.String()
	}
	return Action{Kind: GiveOrder, Why: why, Order: e.unloadOrder(victim)}, true
}

// nextRequest returns the load request to serve next, among those for which there is
// room, or will be after unloads.
func (e *Engine) nextRequest(boot time.Duration) (chestnutstream.ModelAdapter, *loadRequest) {
	var best chestnutstream.ModelAdapter
	var found *loadRequest
	cold, all := e.loadsInProgress()
	if len(e.requests) == 0 || all >= maxConcurrentLoads {
		return best, nil
	}
	available := e.free().plus(e.evictable(boot))
	for target, r := range e.requests {
		if e.isCold(target) && float64(cold) >= e.coldLimit {
			continue
		}
		s := e.slots[target]
		if s != nil && s.state != slotLoaded {
			continue
		}
		if !available.fits(e.need(target)) && (s == nil || s.inUse(boot)) {
			continue
		}
		if !e.hasModel(target.Model) {
			continue
		}
		if found == nil || r.before(found, boot) {
			best, found = target, r
		}
	}
	return best, found
}

// loadsInProgress returns how many adapters are loading, and how many of these
// from the weight store (cold).
func (e *Engine) loadsInProgress() (cold, all int) {
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

// isCold reports whether a load would read from the weight store.
func (e *Engine) isCold(target chestnutstream.ModelAdapter) bool {
	_, recent := e.recent[target]
	return !recent || e.slots[target] != nil
}

// adaptColdLimit adapts the limit of concurrent loads from the weight store to
// how long one took.
func (e *Engine) adaptColdLimit(s *slot, took time.Duration) {
	if !s.cold {
		return
	}
	if float64(took) > slowLoadFactor*float64(coldLoadEstimate) {
		e.coldLimit = max(e.coldLimit-coldLoadDecrease, minColdLoads)
		return
	}
	e.coldLimit = min(e.coldLimit+coldLoadIncrease, maxColdLoads)
}

// isVictim reports whether a slot may be evicted: it is neither in use nor waited
// for.
func (e *Engine) isVictim(boot time.Duration, target chestnutstream.ModelAdapter, s *slot) bool {
	return s.state == slotLoaded && !s.inUse(boot) && e.requests[target] == nil && !e.throttle.waitsFor(target)
}

// victim returns the adapter to evict, the least used one.
func (e *Engine) victim(boot time.Duration) chestnutstream.ModelAdapter {
	var best chestnutstream.ModelAdapter
	found, least := false, 0.0
	for target, s := range e.slots {
		if !e.isVictim(boot, target, s) {
			continue
		}
		if score := s.scoreAt(boot); !found || score < least || (score == least && target.Adapter < best.Adapter) {
			best, least, found = target, score, true
		}
	}
	return best
}
