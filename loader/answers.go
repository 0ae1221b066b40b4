package loader

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

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
		e.conflict(boot)
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
func (e *Engine) conflict(boot time.Duration) {
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
