package loader

import (
	"cmp"
	"slices"
	"time"
)

// planner makes a plan.
type planner struct {
	t          *prefillThrottle
	boot       time.Duration
	granted    float64 // cost of the requests that were recently granted, and of those planned
	workspaces map[string]*plannedWorkspace
	planned    []plannedPrompt
	unused     int   // tokens of the window's budget that are free now
	freed      []int // tokens that are free, besides those, when each of the sent prompts leaves the window
}

// plannedWorkspace is the state of a workspace in a plan.
type plannedWorkspace struct {
	granted    float64
	share      float64     // fair share of what is granted
	lags       bool        // its requests go first
	candidates []candidate // most urgent first
	yielding   []candidate // added only if there are no others
}

// candidate is a request that may be added to a plan.
type candidate struct {
	index     int // in the queue
	sizeFirst bool
}

// plannedPrompt is a request in a plan.
type plannedPrompt struct {
	index  int // in the queue
	before int // tokens of the window's budget that those before it use
	charge int
}

// plan returns the indices of the requests that can all be on time, in the order in
// which to grant them.
func (t *prefillThrottle) plan(boot time.Duration) []int {
	p := planner{t: t, boot: boot, workspaces: map[string]*plannedWorkspace{}}
	p.addCandidates()
	p.setShares()
	p.setBudget()
	p.addAll()
	if len(p.planned) == 0 {
		for _, w := range p.workspaces {
			w.candidates, w.yielding = w.yielding, nil
		}
		p.addAll()
	}
	plan := make([]int, len(p.planned))
	for i, q := range p.planned {
		plan[i] = q.index
	}
	return plan
}

// addAll adds the candidates to the plan.
func (p *planner) addAll() {
	for {
		w := p.nextWorkspace()
		if w == nil {
			return
		}
		c := w.candidates[0]
		w.candidates = w.candidates[1:]
		if p.insert(c.index) {
			cost := p.t.queue[c.index].cost()
			w.granted, p.granted = w.granted+cost, p.granted+cost
		}
	}
}

// addCandidates adds the requests that can be on time to the candidates.
func (p *planner) addCandidates() {
	o, yields, lag := &p.t.order, map[int]bool{}, map[sizeClass]bool{}
	for i, r := range p.t.queue {
		if !p.t.inTime(p.boot, r.PrefillRequest) {
			continue
		}
		w := p.workspaces[r.Workspace]
		if w == nil {
			w = &plannedWorkspace{lags: r.Workspace != "" && o.workspaces[r.Workspace].lags(p.boot, &o.all, workspaceFloor)}
			p.workspaces[r.Workspace] = w
		}
		yield, ok := yields[r.Priority]
		if !ok {
			yield = o.yields(p.boot, r.Priority)
			yields[r.Priority] = yield
		}
		size := sizeOf(r.PrefillRequest)
		lags, ok := lag[size]
		if !ok {
			lags = o.sizes[size].lagsBySize(p.boot, o.priorities[r.Priority])
			lag[size] = lags
		}
		if c := (candidate{i, lags}); yield {
			w.yielding = append(w.yielding, c)
		} else {
			w.candidates = append(w.candidates, c)
		}
	}
	for _, w := range p.workspaces {
		slices.SortFunc(w.candidates, p.compare)
		slices.SortFunc(w.yielding, p.compare)
	}
}

// setShares sets the fair share of each workspace: half of it equal for all that have
// recent or waiting requests, half by what each usually requests. The first half bounds
// what a workspace can gain by requesting much for long, the second one keeps a workspace
// with much usual traffic from losing it to a burst of another one.
func (p *planner) setShares() {
	o, active := &p.t.order, len(p.workspaces)
	for name, c := range o.workspaces {
		if p.workspaces[name] == nil && c.ended.now(p.boot, orderHalfLife) >= minOutcomes {
			active++
		}
	}
	p.granted = o.all.cost.now(p.boot, orderHalfLife)
	usual := o.all.usual.now(p.boot, usualHalfLife)
	for name, w := range p.workspaces {
		w.granted, w.share = o.granted(p.boot, name), 1/float64(active)
		if c := o.workspaces[name]; c != nil && usual > 0 {
			w.share = (w.share + c.usual.now(p.boot, usualHalfLife)/usual) / 2
		}
	}
}

// setBudget sets when which part of the window's budget becomes free.
func (p *planner) setBudget() {
	sum := 0
	for _, sent := range p.t.sent {
		sum += sent.tokens
		p.freed = append(p.freed, sum)
	}
	p.unused = max(p.t.pace.budget()-sum, 0)
}

// compare compares candidates by which is added to the plan first within a workspace.
func (p *planner) compare(a, b candidate) int {
	x, y := p.t.queue[a.index], p.t.queue[b.index]
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), first(a.sizeFirst, b.sizeFirst), cmp.Compare(x.OnTimeUntil, y.OnTimeUntil), cmp.Compare(a.index, b.index))
}

// first compares so that true is before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// nextWorkspace returns the workspace whose most urgent candidate is added next, or nil if
// there are no more candidates.
func (p *planner) nextWorkspace() *plannedWorkspace {
	var best *plannedWorkspace
	for _, w := range p.workspaces {
		if len(w.candidates) > 0 && (best == nil || p.precedes(w, best)) {
			best = w
		}
	}
	return best
}

// precedes reports whether the most urgent candidate of a workspace is added before that
// of another one.
func (p *planner) precedes(a, b *plannedWorkspace) bool {
	within := func(w *plannedWorkspace) bool { return w.granted <= overShare*w.share*p.granted }
	return cmp.Or(first(a.lags, b.lags), first(within(a), within(b)), p.compare(a.candidates[0], b.candidates[0])) < 0
}

// insert adds a request to the plan unless it or a planned one would then be late. It
// reports whether it has.
func (p *planner) insert(index int) bool {
	r := p.t.queue[index]
	at := len(p.planned)
	for at > 0 && p.grantedBefore(index, p.planned[at-1].index) {
		at--
	}
	q := plannedPrompt{index: index, charge: p.t.charge(r.Tokens)}
	if at > 0 {
		q.before = p.planned[at-1].before + p.planned[at-1].charge
	}
	if len(p.planned) > 0 && !p.onTime(q, 0) {
		return false
	}
	for _, later := range p.planned[at:] {
		if !p.onTime(later, q.charge) {
			return false
		}
	}
	p.planned = slices.Insert(p.planned, at, q)
	for i := range p.planned[at+1:] {
		p.planned[at+1+i].before += q.charge
	}
	return true
}

// grantedBefore reports whether a planned request is granted before another one.
func (p *planner) grantedBefore(i, j int) bool {
	return cmp.Or(cmp.Compare(rank(p.t.queue[i].PrefillRequest), rank(p.t.queue[j].PrefillRequest)), cmp.Compare(i, j)) < 0
}

// onTime reports whether a planned request is on time if more tokens precede it.
func (p *planner) onTime(q plannedPrompt, more int) bool {
	r := p.t.queue[q.index].PrefillRequest
	return p.t.inTime(p.sendTime(q.before+more+p.t.requiredBudget(r.Tokens)), r)
}

// sendTime returns when a prompt may be sent, if the planned ones before it and the budget
// that it requires are so many tokens. The budget becomes free as the prompts sent within
// the window leave it, in the same rhythm window after window.
func (p *planner) sendTime(tokens int) time.Duration {
	budget := p.t.pace.budget()
	at := p.boot
	if budget <= 0 {
		return at
	}
	tokens -= p.unused
	if tokens > 0 {
		at += time.Duration((tokens-1)/budget) * p.t.pace.Window
		tokens = (tokens-1)%budget + 1
	}
	if tokens <= 0 {
		return at
	}
	i, _ := slices.BinarySearch(p.freed, tokens)
	if i == len(p.freed) {
		return at + p.t.pace.Window
	}
	return max(at+p.t.sent[i].at+p.t.pace.Window-p.boot, p.boot)
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
	if t.order.aged.now(boot, usualHalfLife) > agedShare*t.order.all.usual.now(boot, usualHalfLife) {
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
		t.order.aged.add(boot, usualHalfLife, r.cost())
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
