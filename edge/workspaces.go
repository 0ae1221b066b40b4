package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/workspace"
)

// Intervals of the quotas' loop.
const (
	quotaViewInterval    = 500 * time.Millisecond // between looks at the view of the instances, which also wake the loop when they change
	quotaUnusedInterval  = time.Hour              // without limits; a configuration wakes the loop
	minQuotaStep         = 2 * time.Millisecond
	quotaGiveUpTime      = 50 * time.Millisecond // for the last reports to be sent before the connections are closed
	maxQuotaMetricLabels = 200                   // workspaces with metrics of their own
)

var _ ingress.Quotas = (*quotas)(nil)

// quotas charges requests to the quotas of workspaces, and moves the shares of their limits
// between the instances.
type quotas struct {
	node *Node
	wake chan struct{}

	mu      sync.Mutex
	table   *chestnutstream.RouteTable // whose workspaces are in force here
	state   *workspace.Instance
	buckets *workspace.Buckets // of state
	turns   map[string]*quotaTurn
	askAt   map[string]time.Duration // by workspace: its allocator is asked to charge a request from then on
	granted chan struct{}            // closed and replaced when a share has changed
	gaveUp  bool
	metrics quotaMetrics
}

// quotaTurn lets the requests that wait for room in a workspace's quota take it in order of
// their arrival.
type quotaTurn struct {
	first   chan struct{} // holds a value while a request is the first
	waiting int
	cost    float64 // of all that wait
}

func newQuotas(n *Node) *quotas {
	cfg := workspace.Settings{Incarnation: n.incarnation, Window: n.cfg.QuotaWindow, Slack: n.cfg.QuotaSlack, Overshoot: n.cfg.QuotaOvershoot}
	state := workspace.NewInstance(n.id, cfg, n.boot())
	return &quotas{
		node: n, wake: make(chan struct{}, 1), state: state, buckets: state.Buckets,
		turns: map[string]*quotaTurn{}, askAt: map[string]time.Duration{}, granted: make(chan struct{}), metrics: quotaMetrics{set: n.metrics},
	}
}

// notify makes the loop run its next step at once.
func (q *quotas) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends the reports that are due until the node stops.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(quotaUnusedInterval)
	defer timer.Stop()
	for {
		timer.Reset(max(q.step(), minQuotaStep))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.wake:
		}
	}
}

// quotaView is what the quotas use of the node's state.
type quotaView struct {
	workspace.View
	candidates []string // possible allocators
}

// quotaView returns the instances between which shares are moved. Those of other regions,
// with which this one exchanges no messages, count among all.
func (n *Node) quotaView() quotaView {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.permitView()
	out := quotaView{candidates: v.Candidates, View: workspace.View{Reached: []string{n.id}, All: max(v.All, n.leases.Instances(n.boot())), LossTime: n.mesh.LossTime()}}
	for _, name := range n.mesh.Peers() {
		if n.peers[name] != nil {
			out.Reached = append(out.Reached, name)
		}
	}
	slices.Sort(out.candidates)
	return out
}

// step sends the reports that are due and returns the time until the next step.
func (q *quotas) step() time.Duration {
	n := q.node
	table := n.routes.Load()
	q.mu.Lock()
	q.sync(table)
	unused := q.buckets.Len() == 0 || q.gaveUp
	q.mu.Unlock()
	if unused {
		return quotaUnusedInterval
	}
	view := n.quotaView()
	q.mu.Lock()
	boot := n.boot()
	out := q.state.Step(boot, view.View, view.candidates)
	next := quotaViewInterval
	if at, ok := q.buckets.NextReportAt(boot); ok {
		next = min(next, at-boot)
	}
	q.mu.Unlock()
	q.send(out)
	return next
}

// sync takes the workspaces of a configuration. Callers hold q.mu.
func (q *quotas) sync(table *chestnutstream.RouteTable) {
	if table == nil || table == q.table {
		return
	}
	q.table = table
	q.buckets.SetWorkspaces(q.node.boot(), table.Workspaces)
	maps.DeleteFunc(q.askAt, func(name string, _ time.Duration) bool { return !q.buckets.Limited(name) })
	q.metrics.setWorkspaces(q.buckets.Names())
}

// send sends reports to their receivers, of which this instance may be one.
func (q *quotas) send(out map[string][]workspace.Report) {
	for name, reports := range out {
		if name == q.node.id {
			q.allocate(name, reports)
			continue
		}
		q.node.mesh.Send(name, func(b *instance.Bundle) { b.QuotaReports = append(b.QuotaReports, reports...) })
	}
}

// received handles the quota messages of another instance.
func (q *quotas) received(from string, b instance.Bundle) {
	if b.Incarnation != 0 {
		q.mu.Lock()
		q.state.Connected(from)
		q.mu.Unlock()
	}
	if b.Incarnation != 0 || b.Draining {
		q.notify()
	}
	if len(b.QuotaReports) > 0 {
		q.allocate(from, b.QuotaReports)
	}
	if len(b.QuotaShares) > 0 {
		q.apply(b.QuotaShares)
	}
	if len(b.QuotaCharges) > 0 {
		q.chargeFor(from, b.QuotaCharges)
	}
}

// allocate responds to reports.
func (q *quotas) allocate(from string, reports []workspace.Report) {
	q.mu.Lock()
	boot, out := q.node.boot(), map[string][]workspace.Grant{}
	for _, r := range reports {
		for _, g := range q.state.Allocator.Report(boot, from, r) {
			out[g.To] = append(out[g.To], g.Grant)
		}
	}
	q.mu.Unlock()
	for to, grants := range out {
		if to == q.node.id {
			q.apply(grants)
			continue
		}
		q.node.mesh.Send(to, func(b *instance.Bundle) { b.QuotaShares = append(b.QuotaShares, grants...) })
	}
}

// apply applies the responses to this instance's reports.
func (q *quotas) apply(grants []workspace.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	boot, applied := q.node.boot(), false
	for _, g := range grants {
		applied = q.buckets.Apply(boot, g) || applied
	}
	if !applied {
		return
	}
	close(q.granted)
	q.granted = make(chan struct{})
	if _, ok := q.buckets.NextReportAt(boot); ok {
		q.notify()
	}
}

// giveUp returns all shares at the end of a drain.
func (q *quotas) giveUp() {
	q.mu.Lock()
	unused := q.buckets.Len() == 0 || q.gaveUp
	var out map[string][]workspace.Report
	if !unused {
		q.gaveUp = true
		out = q.state.GiveUp(q.node.boot())
	}
	q.mu.Unlock()
	if unused {
		return
	}
	delete(out, q.node.id)
	q.send(out)
	q.node.sleep(quotaGiveUpTime)
}

// Charge implements ingress.Quotas.
func (q *quotas) Charge(ctx context.Context, w *chestnutstream.Workspace, cost float64, maxWait time.Duration) (refund func(), err error) {
	q.mu.Lock()
	boot := q.node.boot()
	q.sync(q.node.routes.Load())
	q.buckets.RecordDemand(boot, w.Name, cost)
	turn := q.turns[w.Name]
	if (turn == nil || turn.waiting == 0) && q.buckets.Take(boot, w.Name, cost) {
		due := q.buckets.ReportDue(boot, w.Name)
		q.mu.Unlock()
		if due {
			q.notify()
		}
		return q.charged(w.Name, cost), nil
	}
	if allocator := q.allocatorToAsk(boot, w.Name); allocator != "" {
		q.mu.Unlock()
		if q.chargeAt(ctx, allocator, w.Name, cost, maxWait) {
			return q.charged(w.Name, cost), nil
		}
		q.mu.Lock()
		turn = q.turns[w.Name]
	}
	if turn == nil {
		turn = &quotaTurn{first: make(chan struct{}, 1)}
		q.turns[w.Name] = turn
	}
	wait, hopeless := q.buckets.Wait(boot, w.Name, cost+turn.cost)
	if hopeless && wait > maxWait {
		defer q.mu.Unlock()
		return nil, q.refuse(boot, w.Name, cost, refusedOverLimit)
	}
	turn.waiting++
	turn.cost += cost
	q.mu.Unlock()
	q.notify()
	ok := q.awaitRoom(ctx, turn, w.Name, cost, maxWait)
	q.mu.Lock()
	defer q.mu.Unlock()
	turn.waiting--
	turn.cost = max(turn.cost-cost, 0)
	if turn.waiting == 0 {
		delete(q.turns, w.Name)
	}
	switch {
	case ok:
		return q.charged(w.Name, cost), nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, q.refuse(q.node.boot(), w.Name, cost, refusedAfterWait)
}

// awaitRoom waits until a request is the first of those that wait for room in a workspace's
// quota, and for the room. It returns false if it has not been charged.
func (q *quotas) awaitRoom(ctx context.Context, turn *quotaTurn, name string, cost float64, maxWait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case turn.first <- struct{}{}:
		defer func() { <-turn.first }()
	case <-ctx.Done():
		return false
	}
	for {
		q.mu.Lock()
		boot := q.node.boot()
		if q.buckets.Take(boot, name, cost) {
			q.mu.Unlock()
			return true
		}
		wait, _ := q.buckets.Wait(boot, name, cost)
		granted := q.granted
		q.mu.Unlock()
		timer := time.NewTimer(max(wait, minQuotaStep))
		select {
		case <-timer.C:
		case <-granted:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// charged counts a charge and returns the function that takes it back.
func (q *quotas) charged(name string, cost float64) (refund func()) {
	q.metrics.used(name, cost)
	return func() {
		q.mu.Lock()
		q.buckets.Refund(q.node.boot(), name, cost)
		q.mu.Unlock()
		q.metrics.refunded(name, cost)
	}
}

// refuse returns the error for a refused request. Callers hold q.mu.
func (q *quotas) refuse(boot time.Duration, name string, cost float64, reason string) error {
	q.metrics.refused(name, reason)
	return &ingress.QuotaError{Workspace: name, RetryAfter: q.buckets.Refuse(boot, name, cost)}
}

// keySettings returns how long the keys of a configuration are relied on.
func (n *Node) keySettings() ingress.KeySettings {
	k := ingress.KeySettings{ConfigAge: n.configAge, FreshAge: n.cfg.ConfigApplyBound}
	if n.cfg.StrictRevoke {
		k.MaxAge = n.cfg.RevokeBound
	}
	return k
}

// configAge returns the age of the view of the configuration.
func (n *Node) configAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.viewAge(platform.TableOperator)
}
