package loader

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// ApplyReport handles a report. It returns the messages to send. A report older
// than the newest accepted order is ignored.
func (e *Engine) ApplyReport(boot time.Duration, r chestnutstream.BackendReport) []Action {
	e.callInFlight, e.failures = false, 0
	e.reportAt = boot + reportLag
	e.Running, e.Queued = r.Running, r.Queued
	if e.synced && r.OrderCount < e.orderCount {
		return nil // older than the newest order
	}
	e.orderCount, e.synced = r.OrderCount, true
	notices := e.reconcile(boot, r)
	e.recordModels(boot)
	e.updateModelLoad(boot, r)
	if e.awaitsModel() {
		e.reportAt = boot + modelReportInterval
	}
	return notices
}

// updateModelLoad updates the base model load that is in progress or may be. An engine
// that has accepted orders, though its report shows no model, may be loading one or have
// loaded it since: an owner before this one ordered it. It gets no other model until
// reports over reportLag show that it is idle and holds none.
func (e *Engine) updateModelLoad(boot time.Duration, r chestnutstream.BackendReport) {
	if r.Busy || len(e.models) > 0 {
		e.idle = idleEngine{}
	} else if e.idle.since == 0 || e.idle.born != r.Born || e.idle.orderCount != r.OrderCount {
		e.idle = idleEngine{since: boot, born: r.Born, orderCount: r.OrderCount}
	}
	e.mayHoldModel = len(e.models) == 0 && (r.Busy || (r.OrderCount > 0 && boot-e.idle.since < reportLag))
	if e.loadingModel == "" {
		return
	}
	if _, ok := e.models[e.loadingModel]; ok || (!r.Busy && boot > e.modelRetryAt) {
		e.loadingModel = "" // loaded, or failed and ordered again
	}
}

// awaitsModel reports whether the engine loads a base model, or may load or hold one that
// its reports do not show yet.
func (e *Engine) awaitsModel() bool { return e.loadingModel != "" || e.mayHoldModel }

// reconcile updates models and slots from a report.
func (e *Engine) reconcile(boot time.Duration, r chestnutstream.BackendReport) []Action {
	e.models = map[string]int{}
	reported := map[chestnutstream.ModelAdapter]bool{}
	for _, m := range r.Models {
		e.models[m.Name] = m.Version
		for _, a := range m.Adapters {
			t := chestnutstream.ModelAdapter{Model: m.Name, Adapter: a.Name}
			reported[t] = true
			s := e.ensureSlot(boot, t)
			if s.state == slotLoading && s.version > a.Version {
				continue // a newer version is loading
			}
			if s.state != slotUnloading {
				s.state, s.version = slotLoaded, a.Version
			}
		}
	}
	for _, p := range r.Pending {
		loaded := reported[p.ModelAdapter]
		reported[p.ModelAdapter] = true
		s := e.ensureSlot(boot, p.ModelAdapter)
		if s.state != slotLoading {
			s.state, s.version, s.since, s.pollAt, s.pollDelay, s.replaces = slotLoading, p.Version, boot, boot+minPollInterval, minPollInterval, loaded
		}
	}
	var actions []Action
	for target, s := range e.slots {
		if !reported[target] {
			actions = append(actions, e.freeSlot(boot, target, s)...)
		}
	}
	return actions
}

// ensureSlot returns the slot of an adapter; a missing one is added as loaded and
// never used.
func (e *Engine) ensureSlot(boot time.Duration, t chestnutstream.ModelAdapter) *slot {
	s := e.slots[t]
	if s == nil {
		s = &slot{state: slotLoaded, since: boot, lastUsed: boot, users: map[string]usage{}, pollDelay: minPollInterval}
		e.slots[t] = s
	}
	return s
}

// freeSlot removes a slot and notifies the instances that used it recently.
func (e *Engine) freeSlot(boot time.Duration, target chestnutstream.ModelAdapter, s *slot) []Action {
	delete(e.slots, target)
	e.addRecent(boot, target)
	to := s.recentUsers(boot)
	if len(to) == 0 || s.retired {
		return nil
	}
	return []Action{{Kind: NotifyUnloaded, To: to, Target: target, Version: s.version}}
}

// recentUsers returns the instances that used the adapter recently.
func (s *slot) recentUsers(boot time.Duration) []string {
	var to []string
	for name, u := range s.users {
		if boot-u.at < unloadNoticeWindow {
			to = append(to, name)
		}
	}
	sort.Strings(to)
	return to
}

// addRecent records an unloaded adapter; the engine loads the last
// maxRecentAdapters of these fast.
func (e *Engine) addRecent(boot time.Duration, target chestnutstream.ModelAdapter) {
	e.recent[target] = boot
	if len(e.recent) <= maxRecentAdapters {
		return
	}
	oldest, at := target, boot
	for t, when := range e.recent {
		if when < at {
			oldest, at = t, when
		}
	}
	delete(e.recent, oldest)
}

// ReportFailed records a failed read of a report.
func (e *Engine) ReportFailed(boot time.Duration) {
	e.callInFlight = false
	e.reportAt = boot + e.backoff()
}

func (e *Engine) backoff() time.Duration {
	e.failures++
	return min(minFailureBackoff<<min(e.failures-1, 4), maxFailureBackoff)
}

// RecordPoll handles the response to a poll. A poll without a response, or one that
// met another order count, is repeated later.
func (e *Engine) RecordPoll(boot time.Duration, o chestnutstream.BackendOrder, result chestnutstream.OrderResult) []Action {
	e.pollInFlight = false
	s := e.slots[o.Target]
	if s == nil || s.state == slotLoaded {
		return nil
	}
	switch {
	case result == chestnutstream.OrderSatisfied && o.Kind == chestnutstream.OrderUnload && s.state == slotUnloading:
		return e.freeSlot(boot, o.Target, s)
	case result == chestnutstream.OrderSatisfied && o.Kind == chestnutstream.OrderLoad && s.state == slotLoading && s.version == o.Version:
		e.adaptColdLimit(s, boot-s.since)
		s.state, s.replaces, s.lastUsed = slotLoaded, false, boot
		return nil
	case result == chestnutstream.OrderMisdirected || result == chestnutstream.OrderFenced || result == chestnutstream.OrderRejected:
		e.invalidate(boot + reportLag)
		return nil
	}
	e.pollLater(boot, s)
	return nil
}

// RecordOrderResult handles the response to an order. It returns the messages to send.
func (e *Engine) RecordOrderResult(boot time.Duration, o chestnutstream.BackendOrder, result chestnutstream.OrderResult) []Action {
	e.callInFlight = false
	switch result {
	case chestnutstream.OrderAccepted, chestnutstream.OrderSatisfied:
		e.failures, e.resends = 0, 0
	case chestnutstream.OrderConflict:
		e.orderConflict(boot)
		return nil
	case chestnutstream.OrderUnknown:
		e.resendLater(boot, o)
		return nil
	default:
		e.invalidate(boot + max(reportLag, e.backoff()))
		return nil
	}
	if o.Target.Adapter == "" {
		e.recordModelOrder(boot, o, result)
		return nil
	}
	if o.Kind == chestnutstream.OrderUnload {
		return e.recordUnloadOrder(boot, o, result)
	}
	e.recordLoadOrder(boot, o, result)
	return nil
}

// orderConflict handles an order that was rejected because another one is in
// progress or because the order count differs. The engine accepts no order while
// it waits for the runs of an adapter that is to be unloaded or replaced.
func (e *Engine) orderConflict(boot time.Duration) {
	e.resends = 0
	for _, s := range e.slots {
		if (s.state == slotUnloading || s.replaces) && boot-s.since < maxBlocked {
			e.blockedUntil = boot + blockedRetryInterval
			return
		}
	}
	e.invalidate(boot + reportLag)
}

// resendLater schedules an order without a response to be sent again. The copy
// carries the same order count, so the engine accepts one of the two at most: if
// the first one arrives late, it is rejected.
func (e *Engine) resendLater(boot time.Duration, o chestnutstream.BackendOrder) {
	e.resends++
	if e.resends > maxResends || o.Target.Adapter == "" {
		e.resends = 0
		e.invalidate(boot + max(reportLag, e.backoff()))
		return
	}
	e.resend = &o
}

// invalidate marks the engine's state as unknown until a report is read.
func (e *Engine) invalidate(reportAt time.Duration) {
	e.synced, e.reportAt, e.resend = false, reportAt, nil
}

func (e *Engine) pollLater(boot time.Duration, s *slot) {
	s.pollAt = boot + s.pollDelay
	s.pollDelay = min(2*s.pollDelay, maxPollInterval)
}

func (e *Engine) recordModelOrder(boot time.Duration, o chestnutstream.BackendOrder, result chestnutstream.OrderResult) {
	if result == chestnutstream.OrderSatisfied {
		e.invalidate(boot + reportLag)
		return
	}
	e.orderCount++
	if o.Kind == chestnutstream.OrderUnload {
		e.invalidate(boot + reportLag) // a report shows when its runs have ended
		return
	}
	e.loadingModel = o.Target.Model
	e.modelRetryAt = boot + modelRetryDelay
	e.reportAt = boot + modelReportInterval
}

func (e *Engine) recordUnloadOrder(boot time.Duration, o chestnutstream.BackendOrder, result chestnutstream.OrderResult) []Action {
	s := e.slots[o.Target]
	if s == nil {
		e.orderCount++
		return nil
	}
	e.orderCount++
	if result == chestnutstream.OrderSatisfied {
		return e.freeSlot(boot, o.Target, s)
	}
	s.state, s.since, s.pollAt, s.pollDelay = slotUnloading, boot, boot+blockedRetryInterval, blockedRetryInterval
	return nil
}

func (e *Engine) recordLoadOrder(boot time.Duration, o chestnutstream.BackendOrder, result chestnutstream.OrderResult) {
	_, wasLoaded := e.slots[o.Target]
	s := e.ensureSlot(boot, o.Target)
	if result == chestnutstream.OrderSatisfied {
		s.state, s.version, s.replaces = slotLoaded, o.Version, false
		s.lastUsed = boot
		return
	}
	e.orderCount++
	_, recent := e.recent[o.Target]
	s.cold = wasLoaded || !recent
	estimate := warmLoadEstimate
	if s.cold {
		estimate = coldLoadEstimate
	}
	s.state, s.version, s.since, s.pollAt, s.pollDelay, s.replaces = slotLoading, o.Version, boot, boot+estimate, minPollInterval, wasLoaded
}
