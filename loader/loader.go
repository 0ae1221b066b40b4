// Package loader decides which load and unload orders one model engine gets:
// which adapter versions are loaded there and which adapters are evicted to make
// room.
//
// # Usage
//
//	e := loader.NewEngine(server, spec, boot)
//	e.RequestLoad(boot, "edge-b-2", target, version, 1)
//	for _, a := range e.Step(boot) { ... } // ReadReport, GiveOrder, NotifyLoaded ...
//	e.RecordOrderResult(boot, order, chestnutstream.OrderAccepted)
//	e.ApplyReport(boot, report)
//
// It also decides when a prompt may be sent to the engine (RequestPrefill).
//
// loader.go holds the engine's state and the actions due now, choose.go selects
// the next call, models.go the base models, responses.go handles reports and responses to orders, slots.go
// defines slots and load requests, room.go computes what fits, prefill.go limits the rate of prompts,
// order.go orders those that compete.
//
// All times are durations on the boot clock.
//
// # Invariants
//
// At most one order is in flight, and each order carries the number of orders
// that the engine should have accepted before it. An order without a response
// makes the known state invalid: after the retries no order is sent until a
// report has been read that is recent enough to show the order's effect.
//
// A slot counts as occupied from the load order until the engine has reported that
// it is empty. So there are never more adapters than slots, nor more weights than
// the engine holds, including those that are loading or in an unknown state: an
// engine that is ordered to load one more crashes. room.go computes what fits.
package loader

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

const (
	reportLag            = 450 * time.Millisecond // reports are some hundred milliseconds old
	maxConcurrentLoads   = 4                      // adapters loading on one engine; the platform's limit
	coldLoadEstimate     = 251 * time.Millisecond // the platform's load time from the weight store
	warmLoadEstimate     = 26 * time.Millisecond  // the same for a recently unloaded adapter: a tenth
	minPollInterval      = 15 * time.Millisecond  // between polls of a load that exceeds its estimate; doubles
	maxPollInterval      = 200 * time.Millisecond // longest such interval
	transitionTimeout    = 6 * time.Second        // a load or unload that takes longer is checked in a report
	modelReportInterval  = 250 * time.Millisecond // between reports while a base model loads
	modelRetryDelay      = 2500 * time.Millisecond
	blockedRetryInterval = 30 * time.Millisecond  // while the engine waits for runs of an adapter that is unloaded or replaced
	maxBlocked           = 8 * time.Second        // a longer such wait leads to a report read
	scoreHalfLife        = 8 * time.Second        // of an adapter's usage score
	idleAfter            = 150 * time.Millisecond // after its last use a slot still counts as in use: instances report usage with a delay
	usageTimeout         = 15 * time.Second       // older usage is ignored: the instance that reported it may have departed
	maxResends           = 6                      // of an order without a response
	unloadNoticeWindow   = 25 * time.Second       // instances that used an adapter within it are notified of its removal
	maxRecentAdapters    = 100                    // unloaded adapters that an engine keeps for a fast load
	slotWaitTimeout      = 700 * time.Millisecond // of a load request without a free slot; long, since another replica costs a load from the weight store
	noModelWaitTimeout   = 100 * time.Millisecond // of a load request at an engine without the base model; short, since other engines have it
	slotCheckInterval    = 50 * time.Millisecond  // between checks for a free slot
	rejectRetryAfter     = 300 * time.Millisecond // RetryAfter of a rejected load request
	minFailureBackoff    = 300 * time.Millisecond // after a failed call to the engine; doubles
	maxFailureBackoff    = 2 * time.Second
	// maxWaitingShare is the share of the engine's batch that may wait for one
	// adapter, since these requests all start when it is loaded. Further instances
	// are redirected to another engine, which loads a replica.
	maxWaitingShare = 0.5
)

// Engine is the loader of one engine.
type Engine struct {
	Server chestnutstream.Backend
	spec   chestnutstream.EngineSpec

	synced       bool                         // the state below matches the engine's, as far as is known
	reportAt     time.Duration                // earliest next report
	orderCount   int                          // orders that the engine accepted
	callInFlight bool                         // an order or a report read
	pollInFlight bool                         // the poll of a load or unload; may run beside a call
	failures     int                          // consecutive failed calls
	resends      int                          // of the current order
	resend       *chestnutstream.BackendOrder // an order without a response, to be sent again
	blockedUntil time.Duration                // the engine waits for runs to end and gets no orders until then

	models       map[string]int // loaded base models and their versions
	loadingModel string         // the base model that is being loaded
	retiring     string         // the base model that is to be unloaded as soon as none of its adapters is in use
	replacement  replacement
	modelSince   map[string]time.Duration // since when the engine holds its base models
	known        Models
	mayHoldModel bool          // the engine may load or hold a base model that no report shows yet
	idle         idleEngine    // as of the latest reports, if they say so
	modelRetryAt time.Duration // earliest next base model load; the last one has failed if it is not loaded by then
	slots        map[chestnutstream.ModelAdapter]*slot
	requests     map[chestnutstream.ModelAdapter]*loadRequest
	redirects    []Action                                      // rejections of load requests to send in the next step
	recent       map[chestnutstream.ModelAdapter]time.Duration // unloaded adapters, with the time of the unload
	coldLimit    float64                                       // concurrent loads from the weight store
	usage        map[usageKey]usage
	throttle     prefillThrottle

	Running, Queued int // as of the newest report
}

// idleEngine is the state of an engine that holds no base model and loads none.
type idleEngine struct {
	since      time.Duration // the first of the reports in a row that showed it
	born       int64
	orderCount int
}

// NewEngine returns the loader of an engine in an unknown state. An earlier
// process of this instance may have sent orders up to now, so the first report is
// read after reportLag, when reports show the effect of those orders.
func NewEngine(server chestnutstream.Backend, spec chestnutstream.EngineSpec, boot time.Duration) *Engine {
	return &Engine{
		Server: server, spec: spec, reportAt: boot + reportLag,
		models: map[string]int{}, modelSince: map[string]time.Duration{}, slots: map[chestnutstream.ModelAdapter]*slot{},
		coldLimit: initialColdLoads, usage: map[usageKey]usage{}, requests: map[chestnutstream.ModelAdapter]*loadRequest{}, recent: map[chestnutstream.ModelAdapter]time.Duration{},
	}
}

// SetSpec replaces the engine's configuration. An order without a response is not sent
// again, since it may no longer fit.
func (e *Engine) SetSpec(boot time.Duration, spec chestnutstream.EngineSpec) {
	e.spec = spec
	if e.resend != nil {
		e.invalidate(boot + reportLag)
	}
}

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of actions.
const (
	ReadReport     ActionKind = "read-report"
	GiveOrder      ActionKind = "give-order"
	NotifyLoaded   ActionKind = "tell-held"
	RejectLoad     ActionKind = "tell-retry"
	NotifyUnloaded ActionKind = "tell-gone"

	GrantPrefill  ActionKind = "tell-turn"       // prefill granted: the prompt may be sent now
	DeferPrefill  ActionKind = "tell-turn-later" // prefill request queued; RetryAfter is the estimated wait
	RefusePrefill ActionKind = "tell-no-turn"    // prefill request refused: it would wait too long
)

// Action is a call or a message that the caller of Step is to send. Orders lack
// the holder, fencing token and end of validity, which the owner's lease adds.
type Action struct {
	Kind       ActionKind
	Order      chestnutstream.BackendOrder
	Poll       bool     // a poll: the order was sent before, and RecordPoll takes its result
	To         []string // recipients of a message, by instance name
	Target     chestnutstream.ModelAdapter
	Version    int
	RetryAfter time.Duration
	Why        string
	PrefillID  uint64 // ID of the prefill request that this responds to
}

// RequestLoad records how many requests of an instance wait for an adapter. With 0 the
// instance withdraws its load request, since its callers have disconnected. If many
// requests wait for the adapter already, an instance without a load request for
// it is redirected to another engine.
func (e *Engine) RequestLoad(boot time.Duration, from string, target chestnutstream.ModelAdapter, version, waiting int) {
	r := e.requests[target]
	if waiting <= 0 {
		if r == nil {
			return
		}
		delete(r.waitingBy, from)
		if len(r.waitingBy) == 0 {
			delete(e.requests, target)
		}
		return
	}
	if r != nil && r.waitingBy[from] == 0 && e.saturated(r) {
		e.redirects = append(e.redirects, Action{Kind: RejectLoad, To: []string{from}, Target: target, Version: version, Why: "enough requests wait for it here"})
		return
	}
	if r == nil {
		r = &loadRequest{waitingBy: map[string]int{}, since: boot}
		e.requests[target] = r
	}
	r.version = max(r.version, version)
	r.waitingBy[from] = waiting
}

// saturated reports whether as many requests wait for one adapter as the engine
// can well start at once.
func (e *Engine) saturated(r *loadRequest) bool {
	return e.spec.Slots > 0 && float64(r.waiting()) >= maxWaitingShare*float64(e.spec.Slots)
}

// usageKey identifies an instance's usage of a model or adapter.
type usageKey struct {
	from   string
	target chestnutstream.ModelAdapter
}

// InProgress returns how many requests all instances have in progress at the
// engine, as they reported.
func (e *Engine) InProgress(boot time.Duration) int {
	n := 0
	for k, u := range e.usage {
		if boot-u.at > usageTimeout {
			delete(e.usage, k)
			continue
		}
		n += u.requests
	}
	return n
}

// RecordUsage records how many requests for an adapter an instance has started on the
// engine since its last report, and how many are in progress.
func (e *Engine) RecordUsage(boot time.Duration, from string, target chestnutstream.ModelAdapter, begun, inProgress int) {
	k := usageKey{from, target}
	delete(e.usage, k)
	if inProgress > 0 {
		e.usage[k] = usage{at: boot, requests: inProgress}
	}
	s := e.slots[target]
	if s == nil {
		return
	}
	s.touch(boot, float64(begun))
	s.users[from] = usage{at: boot, requests: inProgress}
	if begun > 0 {
		s.retired = false // a late response has made the instance use it again
	}
}

// inUse reports whether an instance has reported a request in progress, or a use
// within idleAfter.
func (s *slot) inUse(boot time.Duration) bool {
	for _, u := range s.users {
		if u.requests > 0 && boot-u.at < usageTimeout {
			return true
		}
	}
	return boot-s.lastUsed < idleAfter
}

func (s *slot) touch(boot time.Duration, count float64) {
	s.score = s.scoreAt(boot) + count
	s.scoredAt, s.lastUsed = boot, boot
}

func (s *slot) scoreAt(boot time.Duration) float64 {
	return s.score / (1 + float64(boot-s.scoredAt)/float64(scoreHalfLife))
}

// IsLoaded reports whether an adapter is loaded at a version or a newer one, or
// for an empty adapter whether the base model is loaded.
func (e *Engine) IsLoaded(target chestnutstream.ModelAdapter, version int) bool {
	if target.Adapter == "" {
		_, ok := e.models[target.Model]
		return ok
	}
	s := e.slots[target]
	return s != nil && s.state == slotLoaded && s.version >= version
}

// Loading returns the adapter versions, and the base model, that the engine is loading
// as far as is known. The version of a base model is 0.
func (e *Engine) Loading() map[chestnutstream.ModelAdapter]int {
	loading := map[chestnutstream.ModelAdapter]int{}
	for target, s := range e.slots {
		if s.state == slotLoading {
			loading[target] = s.version
		}
	}
	if e.loadingModel != "" {
		loading[chestnutstream.ModelAdapter{Model: e.loadingModel}] = 0
	}
	return loading
}

// Slots returns how many slots are occupied and how many there are.
func (e *Engine) Slots() (occupied, all int) { return len(e.slots), e.spec.AdapterSlots }

// Step returns the actions that are due.
func (e *Engine) Step(boot time.Duration) []Action {
	actions := append(e.redirects, e.retireAdapters(boot)...)
	actions = append(actions, e.notifyLoaded()...)
	e.redirects = nil
	if !e.pollInFlight && e.synced && boot >= e.blockedUntil {
		if a, ok := e.nextPoll(boot); ok {
			e.pollInFlight = true
			actions = append(actions, a)
		}
	}
	if !e.callInFlight {
		if a, ok := e.nextCall(boot); ok {
			e.callInFlight = true
			actions = append(actions, a)
		}
	}
	actions = append(actions, e.throttle.grant(boot)...)
	return append(actions, e.rejectOverdue(boot)...)
}

// notifyLoaded responds to the load requests whose adapter is loaded.
func (e *Engine) notifyLoaded() []Action {
	var actions []Action
	for target, r := range e.requests {
		if e.IsLoaded(target, r.version) {
			version := r.version
			if s := e.slots[target]; s != nil {
				version = s.version
				s.touch(s.lastUsed, float64(r.waiting()))
			}
			actions = append(actions, Action{Kind: NotifyLoaded, To: sortedKeys(r.waitingBy), Target: target, Version: version})
			delete(e.requests, target)
		}
	}
	return actions
}

// rejectOverdue rejects the load requests that have waited too long for a slot.
func (e *Engine) rejectOverdue(boot time.Duration) []Action {
	if len(e.requests) == 0 {
		return nil
	}
	var actions []Action
	available := e.free().plus(e.evictable(boot))
	for target, r := range e.requests {
		if e.slots[target] != nil {
			continue
		}
		limit, why := slotWaitTimeout, "all slots or weights in use"
		switch {
		case !e.spec.Fits(target):
			limit, why = 0, "too large for the engine"
		case !e.synced && e.failures > 0:
			limit, why = 0, "the engine does not answer"
		case !e.synced:
			why = "state of the engine not known"
			if e.replacement.model == target.Model && boot < e.replacement.until {
				limit = modelWaitTimeout
			}
		case !e.hasModel(target.Model):
			limit, why = noModelWaitTimeout, "base model not loaded"
			if e.mayComeNext(boot, target.Model) {
				limit = modelWaitTimeout
			}
		case available.fits(e.need(target)):
			continue // there will be room
		}
		if boot-r.since < limit {
			continue
		}
		actions = append(actions, Action{Kind: RejectLoad, To: sortedKeys(r.waitingBy), Target: target, Version: r.version, RetryAfter: rejectRetryAfter, Why: why})
		delete(e.requests, target)
	}
	return actions
}

// NextAt returns when Step may have something to do without a further event; ok
// is false when nothing is scheduled.
func (e *Engine) NextAt(boot time.Duration) (at time.Duration, ok bool) {
	earliest := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if !e.synced || e.awaitsModel() {
		earliest(e.reportAt)
	}
	for _, s := range e.slots {
		if s.state != slotLoaded {
			earliest(max(s.pollAt, e.blockedUntil))
		}
	}
	if len(e.requests) > 0 && boot < e.blockedUntil {
		earliest(e.blockedUntil)
	}
	for _, r := range e.requests {
		// After noModelWaitTimeout a load request waits for an idle slot.
		earliest(max(r.since+noModelWaitTimeout, boot+slotCheckInterval))
	}
	if e.synced && len(e.models) == 0 && !e.awaitsModel() {
		earliest(e.modelRetryAt)
	}
	if due, waits := e.throttle.nextAt(boot); waits {
		earliest(due)
	}
	return at, ok
}

func sortedKeys(set map[string]int) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
