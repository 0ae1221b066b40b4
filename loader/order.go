package loader

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Where requests of several workspaces or priorities compete for one engine, its
// prefill requests are ordered as follows. A plan is made of those that can still be on
// time: the most urgent are added first as long as all in the plan stay on time, within
// a priority those of the workspace that has been granted the fewest tokens. The plan is
// granted by on-time limits, so nobody is displaced while all can be on time. A request
// outside the plan waits until there is room for it; one that can no longer be on time
// waits until none that can is left, or until it has aged.
//
// Two classes are added to the plan before all others, so that none starves: the requests
// of a workspace, and those of one size and priority, that have been served on time less
// often than others for some seconds.
//
// The load that this handles: demand of up to 2.4 times what an engine prefills, by
// requests that are each smaller than their latency target allows. A prompt that is too
// large to be on time even at an idle engine is only served as an aged one.

// Parameters of the order of prefill requests.
const (
	// orderHalfLife is the half-life of what is remembered of granted and refused
	// requests: a few latency targets, so that a burst counts and an idle workspace
	// saves up nothing.
	orderHalfLife = 2 * time.Second
	// workspaceFloor is the share of requests served on time, relative to that of all
	// requests, below which a workspace goes first. A workspace is to be served at least
	// a quarter as often as all together; the rest is margin for the control loop.
	workspaceFloor = 0.4
	// sizeFloor is the same for requests of one size, relative to those of their
	// priority. They are to be served at least half as often.
	sizeFloor = 0.8
	// minOutcomes is how many recent requests of a class its share is judged by.
	minOutcomes = 1.5
	// agedShare is the share of the granted tokens that may go to aged requests while
	// others can still be on time.
	agedShare = 0.125
	// agedAfter is the share of its useful time after which a request has aged.
	agedAfter = 0.5
	// maxClasses bounds how many classes are remembered.
	maxClasses = 512
)

// waitingPrefill is a prefill request that waits for a grant.
type waitingPrefill struct {
	PrefillRequest
	since time.Duration
}

// aged reports whether a request has waited for so long that it precedes those that can
// be on time.
func (r waitingPrefill) aged(boot time.Duration) bool {
	return boot-r.since >= time.Duration(agedAfter*float64(r.UsefulUntil-r.since))
}

// cost returns what a request counts toward the share of its workspace.
func (r PrefillRequest) cost() float64 { return float64(r.Tokens + r.OutputTokens) }

// prefillOrder remembers what classes of requests have recently been granted.
type prefillOrder struct {
	classes map[orderClass]*classRecord
	aged    decayingSum // tokens granted to aged requests
}

// orderClass identifies requests that are compared with others: all, those of one
// workspace, of one priority, or of one priority and size.
type orderClass struct {
	scope     classScope
	workspace string
	priority  int
	size      int // number of binary digits of the prompt's tokens
}

type classScope int

const (
	scopeAll classScope = iota
	scopeWorkspace
	scopePriority
	scopeSize
)

// classRecord counts the recent requests of a class.
type classRecord struct {
	ended  decayingSum // granted or refused
	onTime decayingSum // granted, and could be on time then
	cost   decayingSum // of those granted
}

// decayingSum is a sum whose terms lose half their weight every orderHalfLife.
type decayingSum struct {
	value float64
	at    time.Duration
}

func (s decayingSum) now(boot time.Duration) float64 {
	return s.value * math.Exp2(-float64(boot-s.at)/float64(orderHalfLife))
}

func (s *decayingSum) add(boot time.Duration, x float64) {
	s.value, s.at = s.now(boot)+x, boot
}

func workspaceClass(r PrefillRequest) orderClass {
	return orderClass{scope: scopeWorkspace, workspace: r.Workspace}
}

func priorityClass(r PrefillRequest) orderClass {
	return orderClass{scope: scopePriority, priority: r.Priority}
}

func sizeClass(r PrefillRequest) orderClass {
	return orderClass{scope: scopeSize, priority: r.Priority, size: bits.Len(uint(max(r.Tokens, 0)))}
}

// record records that a request was granted or refused.
func (o *prefillOrder) record(boot time.Duration, r PrefillRequest, granted, onTime bool) {
	if o.classes == nil {
		o.classes = map[orderClass]*classRecord{}
	}
	if len(o.classes) >= maxClasses {
		o.forget(boot)
	}
	for _, c := range []orderClass{{}, workspaceClass(r), priorityClass(r), sizeClass(r)} {
		k := o.classes[c]
		if k == nil {
			k = &classRecord{}
			o.classes[c] = k
		}
		k.ended.add(boot, 1)
		if granted {
			k.cost.add(boot, r.cost())
			if onTime {
				k.onTime.add(boot, 1)
			}
		}
	}
}

// forget drops the classes without recent requests.
func (o *prefillOrder) forget(boot time.Duration) {
	for c, k := range o.classes {
		if k.ended.now(boot) < minOutcomes/2 {
			delete(o.classes, c)
		}
	}
}

// lags reports whether a class has been served on time less often than floor times the
// share of another class.
func (o *prefillOrder) lags(boot time.Duration, c, other orderClass, floor float64) bool {
	k, all := o.classes[c], o.classes[other]
	if k == nil || all == nil || k.ended.now(boot) < minOutcomes {
		return false
	}
	return k.onTime.now(boot)*all.ended.now(boot) < floor*all.onTime.now(boot)*k.ended.now(boot)
}

// granted returns the cost of what a workspace was recently granted.
func (o *prefillOrder) granted(boot time.Duration, workspace string) float64 {
	k := o.classes[orderClass{scope: scopeWorkspace, workspace: workspace}]
	if k == nil {
		return 0
	}
	return k.cost.now(boot)
}

// competing reports whether requests of several priorities wait, or any that names a
// workspace. Others are granted by on-time limits alone.
func competing(queue []waitingPrefill) bool {
	for _, r := range queue {
		if r.Workspace != "" || r.Priority != queue[0].Priority {
			return true
		}
	}
	return false
}

// candidate is a request that may be added to a plan.
type candidate struct {
	index          int // in the queue
	workspaceFirst bool
	sizeFirst      bool
	cost           float64 // granted to its workspace, and planned for it
}

// plan returns the indices of the requests that can all be on time, in the order in
// which to grant them.
func (t *prefillThrottle) plan(boot time.Duration) []int {
	var candidates []candidate
	for i, r := range t.queue {
		if !t.inTime(boot, r.PrefillRequest) {
			continue
		}
		candidates = append(candidates, candidate{
			index:          i,
			workspaceFirst: r.Workspace != "" && t.order.lags(boot, workspaceClass(r.PrefillRequest), orderClass{}, workspaceFloor),
			sizeFirst:      t.order.lags(boot, sizeClass(r.PrefillRequest), priorityClass(r.PrefillRequest), sizeFloor),
			cost:           t.order.granted(boot, r.Workspace),
		})
	}
	var plan []int
	for len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if t.addedBefore(candidates[i], candidates[best]) {
				best = i
			}
		}
		i := candidates[best].index
		candidates = slices.Delete(candidates, best, best+1)
		at := len(plan)
		for at > 0 && rank(t.queue[i].PrefillRequest) < rank(t.queue[plan[at-1]].PrefillRequest) {
			at--
		}
		extended := slices.Insert(slices.Clone(plan), at, i)
		if len(plan) > 0 && !t.feasible(boot, extended) {
			continue
		}
		plan = extended
		for j := range candidates {
			if c := &candidates[j]; t.queue[c.index].Workspace == t.queue[i].Workspace {
				c.cost += t.queue[i].cost()
			}
		}
	}
	return plan
}

// addedBefore reports whether a candidate is added to a plan before another one.
func (t *prefillThrottle) addedBefore(a, b candidate) bool {
	x, y := t.queue[a.index].PrefillRequest, t.queue[b.index].PrefillRequest
	first := func(a, b bool) int {
		switch {
		case a == b:
			return 0
		case a:
			return -1
		}
		return 1
	}
	return cmp.Or(
		first(a.workspaceFirst, b.workspaceFirst), cmp.Compare(x.Priority, y.Priority), first(a.sizeFirst, b.sizeFirst),
		cmp.Compare(a.cost, b.cost), cmp.Compare(x.OnTimeUntil, y.OnTimeUntil), cmp.Compare(a.index, b.index),
	) < 0
}

// feasible reports whether all requests of a plan can be on time if they are granted in
// its order.
func (t *prefillThrottle) feasible(boot time.Duration, plan []int) bool {
	head := t.queue[plan[0]]
	at := boot + t.pace.prefillTime(max(t.tokensInWindow()+t.requiredBudget(head.Tokens)-t.pace.budget(), 0))
	for _, i := range plan {
		if !t.inTime(at, t.queue[i].PrefillRequest) {
			return false
		}
		at += t.pace.prefillTime(t.charge(t.queue[i].Tokens))
	}
	return true
}

// nextCompeting returns the index of the prefill request to grant next where requests
// compete.
func (t *prefillThrottle) nextCompeting(boot time.Duration) int {
	plan := t.plan(boot)
	if late := t.nextLate(boot, plan); late >= 0 {
		return late
	}
	return plan[0]
}

// nextLate returns the index of the request to grant next among those that can't be on
// time any more, or -1 while those that can precede them.
func (t *prefillThrottle) nextLate(boot time.Duration, plan []int) int {
	best := -1
	if len(plan) == 0 {
		for i := range t.queue {
			if best < 0 || t.lateBefore(boot, i, best) {
				best = i
			}
		}
		return best
	}
	all := t.order.classes[orderClass{}]
	if all != nil && t.order.aged.now(boot) > agedShare*all.cost.now(boot) {
		return -1
	}
	for i, r := range t.queue {
		if !t.inTime(boot, r.PrefillRequest) && r.aged(boot) {
			return i // the queue is in order of arrival
		}
	}
	return -1
}

// lateBefore reports whether a late request is granted before another one.
func (t *prefillThrottle) lateBefore(boot time.Duration, i, j int) bool {
	x, y := t.queue[i], t.queue[j]
	if a, b := x.aged(boot), y.aged(boot); a != b {
		return a
	}
	return cmp.Or(
		cmp.Compare(x.Priority, y.Priority), cmp.Compare(t.order.granted(boot, x.Workspace), t.order.granted(boot, y.Workspace)),
		cmp.Compare(x.OnTimeUntil, y.OnTimeUntil), cmp.Compare(i, j),
	) < 0
}

// recordGrant records that a waiting request is granted.
func (t *prefillThrottle) recordGrant(boot time.Duration, r waitingPrefill) {
	if !t.pace.Competing {
		return
	}
	onTime := t.inTime(boot, r.PrefillRequest)
	if !onTime && r.aged(boot) {
		t.order.aged.add(boot, r.cost())
	}
	t.order.record(boot, r.PrefillRequest, true, onTime)
}

// recordRefusal records that a request is refused.
func (t *prefillThrottle) recordRefusal(boot time.Duration, r PrefillRequest) {
	if t.pace.Competing {
		t.order.record(boot, r, false, false)
	}
}

// tokensAhead returns how many tokens of the waiting requests are granted before a new
// request.
func (t *prefillThrottle) tokensAhead(boot time.Duration, r PrefillRequest) int {
	n := 0
	with := prefillThrottle{pace: t.pace, sent: t.sent, order: t.order, queue: append(slices.Clone(t.queue), waitingPrefill{r, boot})}
	if !t.pace.Competing || !competing(with.queue) {
		for _, q := range t.queue {
			if !t.before(boot, r, q.PrefillRequest) {
				n += q.Tokens
			}
		}
		return n
	}
	last := len(t.queue)
	plan := with.plan(boot)
	for _, i := range plan {
		if i == last {
			return n
		}
		n += with.queue[i].Tokens
	}
	// A request outside the plan waits for all of it, and for the others before it.
	for i, q := range t.queue {
		if !slices.Contains(plan, i) && with.lateBefore(boot, i, last) {
			n += q.Tokens
		}
	}
	return n
}
