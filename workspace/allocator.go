package workspace

import (
	"slices"
	"time"
)

// View is what an allocator knows of the instances.
type View struct {
	Reached []string // instances that exchange messages with this one, and this one itself
	All     int      // all instances, as far as they are known
	// LossTime is the time within which all instances notice that a connection is lost.
	LossTime time.Duration
}

// Allocator moves the shares of the workspaces for which this instance is the allocator, and
// keeps what is reported to it as the standby.
type Allocator struct {
	self        string
	view        View
	reached     map[string]bool
	steppedAt   time.Duration
	allocations map[string]*allocation
}

// allocation is the table of one workspace.
type allocation struct {
	members map[string]*member
	primary bool          // this instance is the allocator in its own view
	since   time.Duration // when it became so, or was last frozen
	// joinedAt is when an instance was last reached that was not reached before.
	joinedAt time.Duration
	thawedAt time.Duration // when it was last frozen; 0: never
	// established is set once all reached instances report to this one as the allocator.
	// Then it gives out what nobody holds. Until then it moves only the pool, which consists
	// of what the instances held when they began to report to it.
	established bool
	pool        float64
}

// member is what is known of an instance's share.
type member struct {
	report  Report
	granted float64 // the largest grant since the report
	at      time.Duration
	lowered bool   // it was told of a smaller share since the report
	former  uint64 // incarnation before that of the report
}

// held returns the share that the member may hold.
func (m *member) held() float64 { return max(m.report.Share, m.granted) }

// NewAllocator returns an empty table for the instance self.
func NewAllocator(self string) *Allocator {
	return &Allocator{self: self, allocations: map[string]*allocation{}, reached: map[string]bool{self: true}, view: View{Reached: []string{self}, All: 1}}
}

// SetView sets the instances. It is called at least every second while this instance is the
// allocator of a workspace: a longer pause counts as a freeze, in which others may have
// taken over.
func (a *Allocator) SetView(boot time.Duration, v View) {
	frozen := a.steppedAt > 0 && boot-a.steppedAt > maxStepInterval
	gap := boot - a.steppedAt
	a.steppedAt = boot
	var left []string
	joined := false
	if !slices.Equal(v.Reached, a.view.Reached) {
		before := a.reached
		a.reached = make(map[string]bool, len(v.Reached))
		for _, name := range v.Reached {
			a.reached[name] = true
			joined = joined || !before[name]
		}
		for name := range before {
			if !a.reached[name] {
				left = append(left, name)
			}
		}
	}
	a.view = v
	for _, w := range a.allocations {
		if joined { // what is known of an instance that was not reached is out of date
			w.joinedAt = boot
			w.keepPool()
		}
		if frozen {
			w.since, w.thawedAt = boot, boot
			w.keepPool()
			for _, m := range w.members {
				m.at += gap
			}
		}
		for _, name := range left {
			if m := w.members[name]; m != nil && m.report.Primary {
				m.report.Primary = false
				w.pool = max(w.pool-m.held(), 0)
			}
		}
		a.expire(boot, w)
		a.establish(boot, w)
	}
}

// SetPrimary sets whether this instance is the allocator of a workspace in its own view.
func (a *Allocator) SetPrimary(boot time.Duration, workspace string, primary bool) {
	w := a.allocations[workspace]
	if w == nil {
		if !primary {
			return
		}
		w = a.allocation(workspace)
	}
	if w.primary == primary {
		return
	}
	w.primary, w.since = primary, boot
	w.keepPool()
	a.establish(boot, w)
}

func (a *Allocator) allocation(workspace string) *allocation {
	w := a.allocations[workspace]
	if w == nil {
		w = &allocation{members: map[string]*member{}}
		a.allocations[workspace] = w
	}
	return w
}

// Forget drops the tables of all workspaces but the given ones.
func (a *Allocator) Forget(keep func(workspace string) bool) {
	for name := range a.allocations {
		if !keep(name) {
			delete(a.allocations, name)
		}
	}
}

// keepPool begins a time in which only what the members hold is moved between them.
func (w *allocation) keepPool() {
	w.established, w.pool = false, 0
	for _, m := range w.members {
		if m.report.Primary {
			w.pool += m.held()
		}
	}
}

// expire reclaims the shares of members that don't report any more.
func (a *Allocator) expire(boot time.Duration, w *allocation) {
	for name, m := range w.members {
		if boot-m.at < reclaimTimeout {
			continue
		}
		if !a.reached[name] {
			delete(w.members, name)
			continue
		}
		if m.report.Primary {
			m.report.Share, m.granted = 0, 0
		}
	}
}

// establish checks whether the pool may be extended to all that nobody holds.
func (a *Allocator) establish(boot time.Duration, w *allocation) {
	if w.established || !w.primary {
		return
	}
	if w.thawedAt > 0 && boot-w.thawedAt < thawTime {
		return // what others have sent meanwhile may not have been read yet
	}
	for name, m := range w.members {
		if a.reached[name] && !m.report.Primary {
			return // another instance is the allocator for it
		}
	}
	complete, known, silent := true, len(a.reached), 0
	for name := range a.reached {
		if w.members[name] == nil {
			complete = false
			silent++
		}
	}
	if float64(a.view.All-len(a.reached)+silent) <= fewMissing*float64(a.view.All) {
		w.established = true
		return
	}
	for name := range w.members {
		if !a.reached[name] {
			known++
		}
	}
	// An instance that isn't reached, or is silent, may hold more than is known here: until
	// it notices that it is cut off if its share is known, until that has ended if it isn't.
	settle := a.view.LossTime + settleMargin
	switch sinceJoin := boot - max(w.since, w.joinedAt); {
	case !complete:
		w.established = sinceJoin >= reclaimTimeout
	case a.view.All <= len(a.reached):
		w.established = true
	case known >= a.view.All:
		w.established = sinceJoin >= settle
	default:
		w.established = sinceJoin >= settle && boot-w.since >= reclaimTimeout
	}
}

// reserved returns what instances hold, or may hold, that don't report to this one as their
// allocator. Each that isn't reached has an equal part at least.
func (a *Allocator) reserved(w *allocation) float64 {
	part := maxHeld / float64(max(a.view.All, 1))
	unknown := a.view.All - len(a.reached)
	sum := 0.0
	for name, m := range w.members {
		switch {
		case !a.reached[name]:
			unknown--
			sum += max(m.held(), part)
		case !m.report.Primary:
			sum += m.held()
		}
	}
	for name := range a.reached {
		if w.members[name] == nil {
			sum += part
		}
	}
	return sum + float64(max(unknown, 0))*part
}

// budget returns what the members that report to this instance may hold together.
func (a *Allocator) budget(w *allocation) float64 {
	rest := max(maxHeld-a.reserved(w), 0)
	if w.established && w.primary {
		return rest
	}
	return min(w.pool, rest)
}

// Response is a grant and its receiver.
type Response struct {
	To string
	Grant
}

// Report records the report of an instance. If that regards this instance as the allocator, the
// responses are its grant, and those of others whose shares it changes: smaller ones where
// an instance is far below what it should have, and larger ones once there is room. They
// answer the latest reports of their receivers, which may have been answered before.
func (a *Allocator) Report(boot time.Duration, from string, r Report) []Response {
	w := a.allocation(r.Workspace)
	m := w.members[from]
	if m != nil && m.report.Incarnation == r.Incarnation && r.Sequence <= m.report.Sequence {
		return nil
	}
	if m == nil {
		m = &member{}
		w.members[from] = m
	}
	if r.Incarnation == m.former && m.former != 0 {
		return nil // a late report of a process that has ended
	}
	if r.Incarnation != m.report.Incarnation {
		m.former = m.report.Incarnation
	}
	// A process's earlier incarnation has ended, and grants to earlier reports are not
	// applied any more.
	wasPrimary, held := m.report.Primary, m.held()
	m.report, m.granted, m.at, m.lowered = r, 0, boot, false
	switch {
	case r.Primary && !wasPrimary:
		w.pool += m.held()
	case !r.Primary && wasPrimary:
		w.pool = max(w.pool-held, 0)
	}
	if r.Final || !r.Primary {
		return nil
	}
	a.expire(boot, w)
	a.establish(boot, w)
	return a.respond(w, from)
}

// respond returns the response to a report, and the other responses that are due then.
func (a *Allocator) respond(w *allocation, from string) []Response {
	budget, sum, minMove := a.budget(w), 0.0, minMovePart/float64(max(a.view.All, 1))
	targets, names := a.targets(w, budget)
	for _, name := range names {
		sum += w.members[name].held()
	}
	var out []Response
	set := func(name string, share float64) {
		m := w.members[name]
		sum += max(share-m.held(), 0)
		m.granted = max(m.granted, share)
		m.lowered = share < m.report.Share
		out = append(out, Response{name, Grant{Workspace: m.report.Workspace, Incarnation: m.report.Incarnation, Sequence: m.report.Sequence, Share: share}})
	}
	m := w.members[from]
	switch target, own := targets[from], m.report.Share; {
	case target > own:
		set(from, min(target, own+max(budget-sum, 0)))
	case target > own*(1-minDecrease) && target > 0 && sum <= budget:
		set(from, own)
	default:
		set(from, target)
	}
	unmet := 0.0
	for _, name := range names {
		m := w.members[name]
		if m.held() >= starved*targets[name] || targets[name]-m.held() < minMove {
			continue
		}
		if free := budget - sum; name != from && free >= minMove {
			set(name, m.held()+min(free, targets[name]-m.held()))
		}
		unmet += targets[name] - m.held()
	}
	if unmet < minMove {
		return out
	}
	for _, name := range names {
		m := w.members[name]
		if spare := m.held() - targets[name]; name != from && !m.lowered && spare >= minMove && spare >= minDecrease*m.held() {
			set(name, targets[name])
		}
	}
	return out
}

// targets returns how a budget is to be divided among the members that report to this
// instance, and their names in order. Each gets what covers its debt, and shares by demand where that is
// more. What is left is given by the demand over a longer time, but for a part that is kept for instances
// whose demand grows.
func (a *Allocator) targets(w *allocation, budget float64) (targets map[string]float64, names []string) {
	targets, names = make(map[string]float64, len(w.members)), make([]string, 0, len(w.members))
	for name, m := range w.members {
		if m.report.Primary {
			names = append(names, name)
		}
	}
	slices.Sort(names) // sums of floating-point numbers depend on the order
	// While instances are not reached, another one may be the allocator as well and know this
	// instance's share as it was: it stays small then.
	charging := w.established && float64(a.view.All-len(a.reached)) <= fewMissing*float64(a.view.All)
	demand, weight, wanted := 0.0, 0.0, 0.0
	for _, name := range names {
		r := w.members[name].report
		demand += r.Demand
		weight += r.LongDemand
	}
	for _, name := range names {
		m := w.members[name]
		targets[name] = min(m.report.Floor, m.held())
		if name == a.self && weight > 0 && charging {
			targets[name] = max(targets[name], chargeShare(budget, demand), min(m.report.Need, neededPart*budget))
		}
		wanted += max(targets[name], headroom*m.report.Demand)
	}
	scale := w.scale(names, targets, budget, wanted)
	spare := sparePart * max(budget-wanted, 0)
	for _, name := range names {
		r := w.members[name].report
		targets[name] = max(targets[name], scale*headroom*r.Demand)
		if weight > 0 {
			targets[name] += min(spare*r.LongDemand/weight, maxSpare*max(r.Demand, r.LongDemand))
		}
	}
	return targets, names
}

// chargeShare returns the share that the allocator's instance keeps to charge requests of the others.
func chargeShare(budget, demand float64) float64 {
	return min(max(minChargePart*budget, chargeDemandPart*demand), maxChargePart*budget)
}

// scale returns the factor for shares by demand with which all members get a budget together, 1 if it
// suffices for what is wanted. Members whose least share is larger than that keep the least share. If that
// were added to the shares by demand, shares would move with each request, and what moves
// is held by nobody for two messages' time.
func (w *allocation) scale(names []string, least map[string]float64, budget, wanted float64) float64 {
	scale := 1.0
	if wanted <= budget {
		return scale
	}
	for range scaleRounds {
		rest, others := budget, 0.0
		for _, name := range names {
			if want := headroom * w.members[name].report.Demand; least[name] >= scale*want {
				rest -= least[name]
			} else {
				others += want
			}
		}
		next := max(rest, 0) / max(others, minDemand)
		if next >= scale {
			break
		}
		scale = next
	}
	return scale
}

// Shares returns the shares of a workspace by instance, as far as they are known here. ok is
// false if this instance isn't its allocator.
func (a *Allocator) Shares(workspace string) (shares map[string]float64, ok bool) {
	w := a.allocations[workspace]
	if w == nil || !w.primary {
		return nil, false
	}
	shares = map[string]float64{}
	for name, m := range w.members {
		if held := m.held(); held > 0 {
			shares[name] = held
		}
	}
	return shares, true
}
