package workspace

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Parameters of buckets.
const (
	// creditPart is the part of the slack that buckets may owe together, and startCreditPart
	// that part in the first window after the start of a process, whose predecessor may have
	// owed as much: both together stay below the slack.
	creditPart      = 0.6
	startCreditPart = 0.3
	// evenPart is the part of the overshoot that all instances may owe in equal parts, without a
	// share. With it an instance lets single requests of a workspace with few requests
	// through at once, and gets the share that repays them afterwards; most would wait too
	// long for a share. It is below a half as the predecessor of a process may have owed as much.
	evenPart = 0.45
	// softDebtPart is the part of the debt that its share allows which a bucket may owe before it lets no
	// more requests through. The rest is for requests that are large relative to it. With 0.5, one of
	// these stopped all small ones for up to a second.
	softDebtPart = 0.75
	// softDebtTime limits that debt to a time at the bucket's rate, so that room is soon found again.
	softDebtTime = 2 * time.Second
	// unstatedCreditTime is the time at the limit's rate that may be owed where the platform states no slack.
	unstatedCreditTime = time.Second
	// demandTime is long enough that shares don't move with single requests. Demand that grows faster
	// is charged by the allocator's instance meanwhile.
	demandTime     = 2 * time.Second
	longDemandTime = 10 * time.Second
	demandGrowth   = 1.5              // growth of the demand since the latest report at which an allocator should soon know
	maxDemandPeak  = 2                // of the present demand, relative to the demand of the last ten seconds
	movedPart      = 0.5              // of the demand of a request that another instance has charged
	minDemandKnown = time.Second      // least time by which a demand that has just begun is estimated
	minDemand      = 1e-3             // fraction of the limit; less counts as none
	minWait        = time.Millisecond // of estimates
	maxWait        = 30 * time.Second // of estimates
	minChange      = 0.01             // decrease of a share that is reported at once
	largeRaise     = 0.05             // increase of a share that is reported at once
	maxPromised    = 10 * time.Second // of the bucket's rate that is expected to go to refused requests that return
	usageSlots     = 16               // into which the window of the usage is divided
	defaultWindow  = 8 * time.Second
)

// Settings are the bounds that the platform sets for quotas.
type Settings struct {
	Incarnation uint64        // of this process
	Window      time.Duration // in which requests are counted
	Slack       float64       // units that may be let through beyond the limit in a window; 0: not stated
	Overshoot   float64       // the same, as a fraction of the limit in a window
}

// Buckets holds this instance's share of the quota of each workspace.
type Buckets struct {
	cfg       Settings
	startedAt time.Duration
	all       int // instances
	buckets   map[string]*bucket
}

// bucket is a token bucket for one workspace.
type bucket struct {
	quota     chestnutstream.Quota
	share     float64
	level     float64 // tokens; negative: debt
	updatedAt time.Duration

	demand, longDemand float64 // units per second, decaying
	demandSince        time.Duration
	promised           float64 // units of refused requests that were told to return
	need               float64 // the largest cost that found no room since the last report
	short              bool    // a request found no room since the last report
	refused            uint64
	usage              [usageSlots]float64
	usageAt            int64 // number of the latest usage slot

	sequence       uint64
	reportedAt     time.Duration
	reported       bool
	unanswered     bool          // the latest report has no response yet
	timeout        time.Duration // of the response
	urgentInterval time.Duration
	reportedDemand float64
	changed        bool // something that the allocator waits for has changed since the latest report
	respondedAt    time.Duration
	saturated      bool // the response to the latest urgent report brought no larger share
	wasUrgent      bool
}

// NewBuckets returns buckets without shares. boot is the time of the process's start.
func NewBuckets(cfg Settings, boot time.Duration) *Buckets {
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	return &Buckets{cfg: cfg, startedAt: boot, all: 1, buckets: map[string]*bucket{}}
}

// SetInstances sets the number of all instances.
func (b *Buckets) SetInstances(all int) { b.all = max(all, 1) }

// SetWorkspaces sets the limited workspaces and their quotas. Shares stay as they are, since
// they are fractions of the limits.
func (b *Buckets) SetWorkspaces(boot time.Duration, list map[string]*chestnutstream.Workspace) {
	for name, w := range list {
		if !w.Quota.Limited() {
			continue
		}
		k := b.buckets[name]
		if k == nil {
			b.buckets[name] = &bucket{quota: w.Quota, updatedAt: boot, timeout: responseTimeout, urgentInterval: minUrgentInterval}
			continue
		}
		b.advance(boot, k)
		if k.quota.Unit != w.Quota.Unit {
			k.level = min(k.level, 0)
		}
		k.quota = w.Quota
		k.level = min(k.level, b.effective(k)*k.quota.Burst)
	}
	for name := range b.buckets {
		if w := list[name]; w == nil || !w.Quota.Limited() {
			delete(b.buckets, name)
		}
	}
}

// Len returns the number of limited workspaces.
func (b *Buckets) Len() int { return len(b.buckets) }

// Limited reports whether a workspace has a limit.
func (b *Buckets) Limited(name string) bool { return b.buckets[name] != nil }

// Names returns the limited workspaces in order.
func (b *Buckets) Names() []string {
	names := make([]string, 0, len(b.buckets))
	for name := range b.buckets {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// base returns the share that this instance has without an allocator.
func (b *Buckets) base() float64 { return baseHeld / float64(b.all) }

func (b *Buckets) effective(k *bucket) float64 { return k.share + b.base() }

// credit returns the debt that a share of 1 allows.
func (b *Buckets) credit(boot time.Duration, k *bucket) float64 {
	if b.cfg.Slack <= 0 {
		return max(k.quota.PerSecond*unstatedCreditTime.Seconds(), 1)
	}
	if boot-b.startedAt < b.cfg.Window {
		return startCreditPart * b.cfg.Slack
	}
	return creditPart * b.cfg.Slack
}

// evenCredit returns the debt that each instance may have without a share.
func (b *Buckets) evenCredit(k *bucket) float64 {
	limit := k.quota.PerSecond*b.cfg.Window.Seconds() + k.quota.Burst
	return evenPart * b.cfg.Overshoot * limit / float64(b.all)
}

// allowance returns the debt that this instance may have.
func (b *Buckets) allowance(boot time.Duration, k *bucket) float64 {
	return b.effective(k)*b.credit(boot, k) + b.evenCredit(k)
}

// shareFor returns the share that allows a debt, with the tokens that accumulate in a time.
func (b *Buckets) shareFor(boot time.Duration, k *bucket, debt float64, within time.Duration) float64 {
	return max((debt-b.evenCredit(k))/(b.credit(boot, k)+k.quota.PerSecond*within.Seconds())-b.base(), 0)
}

// softDebt returns the debt at which a bucket lets nothing more through.
func (b *Buckets) softDebt(boot time.Duration, k *bucket) float64 {
	return b.effective(k)*min(softDebtPart*b.credit(boot, k), k.quota.PerSecond*softDebtTime.Seconds()) + b.evenCredit(k)/2
}

// advance brings a bucket up to date. Time is counted as long as shares are valid: a share
// without a response from an allocator ends.
func (b *Buckets) advance(boot time.Duration, k *bucket) {
	if k.share > 0 && boot-k.respondedAt >= shareTimeout {
		k.share = 0
		k.level = min(k.level, 0)
		k.updatedAt = boot
	}
	dt := max(boot-k.updatedAt, 0).Seconds()
	k.updatedAt = max(k.updatedAt, boot)
	rate := b.effective(k) * k.quota.PerSecond
	k.level = min(k.level+rate*dt, b.effective(k)*k.quota.Burst)
	k.promised = max(k.promised-rate*dt, 0)
	k.demand *= math.Exp(-dt / demandTime.Seconds())
	k.longDemand *= math.Exp(-dt / longDemandTime.Seconds())
}

// currentDemand returns the demand of about the last second, less where a single large
// request makes it much larger than the demand of the last ten seconds.
func (k *bucket) currentDemand(boot time.Duration) float64 {
	known := max(boot-k.demandSince, minDemandKnown).Seconds() / longDemandTime.Seconds()
	return min(k.demand, maxDemandPeak*k.longDemand/(1-math.Exp(-known)))
}

// missing returns by how much the level is too low for a request, 0 if there is room.
func (b *Buckets) missing(boot time.Duration, k *bucket, cost float64) float64 {
	return max(-b.softDebt(boot, k)-k.level, cost-b.allowance(boot, k)-k.level, 0)
}

// RecordDemand records a request for a workspace, whether or not it is let through.
func (b *Buckets) RecordDemand(boot time.Duration, name string, cost float64) {
	if k := b.buckets[name]; k != nil {
		b.advance(boot, k)
		if k.longDemand < minDemand*k.quota.PerSecond {
			k.demandSince = boot
		}
		k.demand += cost / demandTime.Seconds()
		if k.demand > demandGrowth*k.reportedDemand {
			k.urgentInterval = minUrgentInterval
		}
		k.longDemand += cost / longDemandTime.Seconds()
	}
}

// Take charges a request. It returns false if the bucket has no room, and true without a
// charge for a workspace that has no limit.
func (b *Buckets) Take(boot time.Duration, name string, cost float64) bool {
	k := b.buckets[name]
	if k == nil {
		return true
	}
	b.advance(boot, k)
	if b.missing(boot, k, cost) > 0 {
		k.short = true
		k.need = max(k.need, cost)
		return false
	}
	k.level -= cost
	k.short = k.short || k.level < -b.softDebt(boot, k)/2
	k.slot(b.cfg.Window, boot)
	k.usage[k.usageAt%usageSlots] += cost
	return true
}

// Refund takes a charge back.
func (b *Buckets) Refund(boot time.Duration, name string, cost float64) {
	k := b.buckets[name]
	if k == nil {
		return
	}
	b.advance(boot, k)
	k.level = min(k.level+cost, b.effective(k)*k.quota.Burst)
	k.slot(b.cfg.Window, boot)
	u := &k.usage[k.usageAt%usageSlots]
	*u = max(*u-cost, 0)
}

// MoveDemand records that another instance has charged a request whose demand was recorded
// here, and records it as well. Half of it stays here, so that an instance with many
// requests gets a share of its own.
func (b *Buckets) MoveDemand(boot time.Duration, name string, cost float64) {
	k := b.buckets[name]
	if k == nil {
		return
	}
	b.advance(boot, k)
	k.demand = max(k.demand-movedPart*cost/demandTime.Seconds(), 0)
	k.longDemand = max(k.longDemand-movedPart*cost/longDemandTime.Seconds(), 0)
}

// Wait returns how long it takes until the bucket has room for a request at its present
// share. hopeless is true if a larger share isn't to be expected soon either.
func (b *Buckets) Wait(boot time.Duration, name string, cost float64) (wait time.Duration, hopeless bool) {
	k := b.buckets[name]
	if k == nil {
		return 0, false
	}
	b.advance(boot, k)
	return b.timeFor(k, b.missing(boot, k, cost)), k.saturated && boot-k.respondedAt < 2*reportInterval
}

func (b *Buckets) timeFor(k *bucket, units float64) time.Duration {
	// The request may return to any instance, so the estimate rests on an equal share at
	// least.
	rate := max(b.effective(k), 1/float64(b.all)) * k.quota.PerSecond
	return time.Duration(min(max(units/rate, minWait.Seconds()), maxWait.Seconds()) * float64(time.Second))
}

// Refuse counts a refused request and returns when it should return: later than the
// requests refused before it.
func (b *Buckets) Refuse(boot time.Duration, name string, cost float64) time.Duration {
	k := b.buckets[name]
	if k == nil {
		return minWait
	}
	b.advance(boot, k)
	k.refused++
	wait := b.timeFor(k, b.missing(boot, k, cost)+k.promised)
	most := max(b.effective(k), 1/float64(b.all)) * k.quota.PerSecond * maxPromised.Seconds()
	k.promised = min(k.promised+cost, most)
	return wait
}

// slot moves the usage to the present slot.
func (k *bucket) slot(window, boot time.Duration) {
	at := int64(boot / (window / usageSlots))
	for ; k.usageAt < at; k.usageAt++ {
		if at-k.usageAt > usageSlots {
			k.usageAt = at - usageSlots
		}
		k.usage[(k.usageAt+1)%usageSlots] = 0
	}
}

// Usage is what an operator sees of a workspace at an instance.
type Usage struct {
	Share   float64 // with the base share
	Used    float64 // units let through in the last window
	Refused uint64  // requests, since the start
}

// Usage returns the usage of a workspace here.
func (b *Buckets) Usage(boot time.Duration, name string) Usage {
	k := b.buckets[name]
	if k == nil {
		return Usage{}
	}
	b.advance(boot, k)
	k.slot(b.cfg.Window, boot)
	u := Usage{Share: b.effective(k), Refused: k.refused}
	for _, used := range k.usage {
		u.Used += used
	}
	return u
}
