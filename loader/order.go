package loader

import (
	"maps"
	"math"
	"math/bits"
	"time"
)

// Where requests of several workspaces or priorities compete for one engine, its
// prefill requests are ordered as follows. A plan is made of those that can still be on
// time (plan.go): requests are added, the most urgent first, as long as all in the plan
// stay on time. The plan is granted by on-time limits, so nobody is displaced while all
// can be on time. A request outside the plan waits until there is room for it. One that
// can no longer be on time waits until none that can is left, or until it has aged.
//
// Three rules keep the most urgent from taking all. A workspace that has been granted more
// than its fair share is added after the others, and one that is rarely served on time
// before them. So are, within a priority, requests of a size that is rarely served on
// time: large prompts. A priority that has been served on time more often than a more
// urgent one yields to it.
//
// The load that this handles: waves and bursts of some seconds, in which requests of a few
// kinds need 1.4 times what an engine may be sent, and more at the peak of a wave. A prompt that is too large to be
// on time even at an idle engine is only granted as a late one. At 2.4 times, the most
// urgent kind takes nearly all, and large prompts of the others hardly any.

// Parameters of the order of prefill requests.
const (
	// orderHalfLife is the half-life of what is remembered of granted and refused
	// requests: a few latency targets, so that a burst counts and an idle workspace
	// saves up nothing.
	orderHalfLife = 2 * time.Second
	// usualHalfLife is the half-life of what workspaces usually request: much longer than
	// a burst of one of them, short enough to follow the day.
	usualHalfLife = 2 * time.Minute
	// overShare times its fair share is what a workspace may be granted before the others
	// precede it, whatever their priority. With 1.0, workspaces of equal demand would
	// displace one another by chance.
	overShare = 1.2
	// workspaceFloor is the share of requests served on time, relative to that of all
	// requests, below which a workspace goes first. A workspace is to be served at least
	// a quarter as often as all together; the rest is margin for the control loop.
	workspaceFloor = 0.4
	// sizeFloor is the same for requests of one size, relative to those of their
	// priority. They are to be served at least half as often; the rest is margin. With 0.8,
	// and judged by half the outcomes, the large prompts displaced 4 in 100 of all.
	sizeFloor = 0.7
	// minOutcomes is how many recent requests of a class its share is judged by.
	minOutcomes = 1.5
	// yieldMargin is the share of requests by which a less urgent priority may recently have
	// been served on time more often than a more urgent one. Callers accept 5 in 100 over
	// all; recent shares are of a few requests. In the load of order_load_test.go, 0.2 let
	// it be 6 in 100, and 0.03 served a further 1 in 100 late.
	yieldMargin = 0.15
	// agedShare is the share of the requested tokens that may go to aged requests while
	// others can still be on time. With 0.03, up to 6 in 100 of the less urgent requests
	// were served late instead of on time (order_load_test.go).
	agedShare = 0.01
	// agedAfter is the share of its useful time after which a request has aged.
	agedAfter = 0.5
	// maxClasses is the number of workspaces, priorities or sizes from which on those
	// without recent requests are forgotten.
	maxClasses = 128
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

// prefillOrder remembers which classes of requests have recently been granted.
type prefillOrder struct {
	all        classRecord
	workspaces map[string]*classRecord
	priorities map[int]*classRecord
	sizes      map[sizeClass]*classRecord
	aged       decayingSum // cost of the aged requests that were granted
}

// sizeClass identifies the requests of one priority and about one size.
type sizeClass struct {
	priority int
	digits   int // binary digits of the prompt's tokens
}

func sizeOf(r PrefillRequest) sizeClass {
	return sizeClass{r.Priority, bits.Len(uint(max(r.Tokens, 0)))}
}

// classRecord counts the recent requests of a class.
type classRecord struct {
	ended  decayingSum // granted or refused
	onTime decayingSum // granted, and could be on time then
	cost   decayingSum // of those granted
	usual  decayingSum // cost of all, over a longer time
}

// share returns the share of requests that could be on time. ok is false if there were too
// few to tell.
func (c *classRecord) share(boot time.Duration) (share float64, ok bool) {
	if c == nil {
		return 0, false
	}
	ended := c.ended.now(boot, orderHalfLife)
	return c.onTime.now(boot, orderHalfLife) / max(ended, 1e-9), ended >= minOutcomes
}

// lagsBySize is lags for requests of one size. There are few large prompts, so chance would
// often put the small ones behind: it takes twice the outcomes.
func (c *classRecord) lagsBySize(boot time.Duration, other *classRecord) bool {
	return c != nil && c.ended.now(boot, orderHalfLife) >= 2*minOutcomes && c.lags(boot, other, sizeFloor)
}

// lags reports whether requests of a class have been served on time less often than floor
// times as often as those of another class.
func (c *classRecord) lags(boot time.Duration, other *classRecord, floor float64) bool {
	own, ok := c.share(boot)
	others, known := other.share(boot)
	return ok && known && own < floor*others
}

// decayingSum is a sum whose terms lose half their weight every half-life.
type decayingSum struct {
	value float64
	at    time.Duration
}

func (s decayingSum) now(boot, halfLife time.Duration) float64 {
	return s.value * math.Exp2(-float64(boot-s.at)/float64(halfLife))
}

func (s *decayingSum) add(boot, halfLife time.Duration, x float64) {
	s.value, s.at = s.now(boot, halfLife)+x, boot
}

// record records that a request was granted or refused.
func (o *prefillOrder) record(boot time.Duration, r PrefillRequest, granted, onTime bool) {
	if o.workspaces == nil {
		o.workspaces, o.priorities, o.sizes = map[string]*classRecord{}, map[int]*classRecord{}, map[sizeClass]*classRecord{}
	}
	for _, c := range []*classRecord{&o.all, recordOf(boot, o.workspaces, r.Workspace), recordOf(boot, o.priorities, r.Priority), recordOf(boot, o.sizes, sizeOf(r))} {
		c.ended.add(boot, orderHalfLife, 1)
		c.usual.add(boot, usualHalfLife, r.cost())
		if granted {
			c.cost.add(boot, orderHalfLife, r.cost())
		}
		if onTime {
			c.onTime.add(boot, orderHalfLife, 1)
		}
	}
}

// recordOf returns the record of a class. If there are too many it first drops those
// without recent requests.
func recordOf[K comparable](boot time.Duration, classes map[K]*classRecord, class K) *classRecord {
	c := classes[class]
	if c == nil {
		if len(classes) >= maxClasses {
			maps.DeleteFunc(classes, func(_ K, c *classRecord) bool { return c.ended.now(boot, orderHalfLife) < minOutcomes })
		}
		c = &classRecord{}
		classes[class] = c
	}
	return c
}

// yields reports whether requests of a priority have been served on time more often than
// more urgent ones, by more than yieldMargin.
func (o *prefillOrder) yields(boot time.Duration, priority int) bool {
	own, ok := o.priorities[priority].share(boot)
	if !ok {
		return false
	}
	for other, c := range o.priorities {
		if share, known := c.share(boot); other < priority && known && share < own-yieldMargin {
			return true
		}
	}
	return false
}

// granted returns the cost of what a workspace was recently granted.
func (o *prefillOrder) granted(boot time.Duration, workspace string) float64 {
	c := o.workspaces[workspace]
	if c == nil {
		return 0
	}
	return c.cost.now(boot, orderHalfLife)
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
