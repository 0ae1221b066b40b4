package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/waitlist"
)

// waitlists are the requests that this instance holds back, by service. Only services whose
// requests compete have one.
type waitlists struct {
	lists map[string]*waitlist.List
	wake  map[string]map[waitlist.Ticket]chan struct{}
}

func newWaitlists() waitlists {
	return waitlists{map[string]*waitlist.List{}, map[string]map[waitlist.Ticket]chan struct{}{}}
}

// waiting is a request's place in the waitlist of its service; nil if requests of the service
// do not compete. Its methods may be called on nil. Callers hold the node's mu.
type waiting struct {
	lists   *waitlists
	list    *waitlist.List
	service string
	ticket  waitlist.Ticket
	woken   chan struct{}
}

// enter adds a request to the waitlist of its service.
func (w *waitlists) enter(p ingress.PlacementRequest) *waiting {
	list := w.lists[p.Service]
	if list == nil {
		list = waitlist.New()
		w.lists[p.Service], w.wake[p.Service] = list, map[waitlist.Ticket]chan struct{}{}
	}
	t := &waiting{lists: w, list: list, service: p.Service, woken: make(chan struct{}, 1)}
	t.ticket = list.Enter(waitlist.Request{Priority: p.Priority, Workspace: p.Workspace})
	w.wake[p.Service][t.ticket] = t.woken
	return t
}

// leave removes the request, and wakes the one that is next.
func (w *waiting) leave() {
	if w == nil {
		return
	}
	delete(w.lists.wake[w.service], w.ticket)
	w.wakeUp(w.list.Leave(w.ticket))
}

// wakeUp ends the sleep of another request.
func (w *waiting) wakeUp(t waitlist.Ticket) {
	if ch := w.lists.wake[w.service][t]; ch != nil {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// mayProceed reports whether the request may be placed now. If not, the one that precedes it
// is woken.
func (w *waiting) mayProceed() bool {
	if w == nil {
		return true
	}
	first, ok := w.list.MayProceed(w.ticket)
	w.wakeUp(first)
	return ok
}

// resume records that the request, if it waits, does not wait for a server that takes more.
func (w *waiting) resume() {
	if w != nil {
		w.list.Resume(w.ticket)
	}
}

// yield holds a request back that has to wait for others. It returns false if it would have
// to wait for longer than limit. Callers hold mu, which is released meanwhile.
func (n *Node) yield(ctx context.Context, w *waiting, limit time.Duration) bool {
	if limit <= 0 || w.estimate(0) > limit {
		return false
	}
	n.hold(ctx, w, min(limit, placeRetryInterval))
	return true
}

// hold holds a request back for a time, or until it is woken. Callers hold mu, which is
// released meanwhile.
func (n *Node) hold(ctx context.Context, w *waiting, d time.Duration) {
	var woken chan struct{}
	if w != nil {
		w.list.Hold(w.ticket)
		woken = w.woken
	}
	n.mu.Unlock()
	defer n.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-woken:
	}
}

// estimate returns how long the request waits if a server takes the next one in the duration
// wait.
func (w *waiting) estimate(wait time.Duration) time.Duration {
	if w == nil {
		return wait
	}
	return w.list.EstimateWait(w.ticket, wait)
}

// retryAfter returns when the request should return; usual is what it returns with where
// requests do not compete.
func (w *waiting) retryAfter(now time.Time, usual time.Duration) time.Duration {
	if w == nil {
		return usual
	}
	return w.list.RetryAfter(now, usual)
}

// holdFor holds a request back until a server may take it. It precedes others only if those
// could not be placed either. Callers hold mu, which is released meanwhile.
func (n *Node) holdFor(ctx context.Context, now time.Time, p ingress.PlacementRequest, w *waiting, wait time.Duration) {
	if !n.allBlocked(now, p.Service) {
		w.resume()
		w = nil
	}
	n.hold(ctx, w, wait)
}

// recordBlocked returns the Retry-After of a request that is rejected because no server takes
// more for the duration wait. Callers hold mu.
func (n *Node) recordBlocked(now time.Time, p ingress.PlacementRequest, w *waiting, wait time.Duration) time.Duration {
	if w != nil {
		return w.retryAfter(now, wait)
	}
	return n.fleet.RecordRejection(now, p.Service, wait)
}

// allBlocked reports whether no server of a service takes more for now, whatever the request.
// Callers hold mu.
func (n *Node) allBlocked(now time.Time, service string) bool {
	_, ok := n.fleet.AvailableIn(now, service, nil)
	return ok
}

// Causes of rejections in placement.
const (
	causeNoServer = "no-server" // none is usable, or none can load the adapter
	causeBlocked  = "blocked"   // all servers take no more for now
	causePrefill  = "prefill"   // the engines have other prompts to prefill
	causeOrder    = "order"     // other requests that are held back precede it
	causeShare    = "share"     // the same, as its workspace has more than its fair share in progress
)

// countRejection counts a rejection by its cause.
func (n *Node) countRejection(err error) {
	var rejection *ingress.NoServerError
	if !errors.As(err, &rejection) {
		return
	}
	cause := rejection.Cause
	if cause == "" {
		cause = causeNoServer
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_placement_rejections_total{cause="` + cause + `"}`).Inc()
}

// displaced returns the error for a request that other requests precede. Callers hold mu.
func (n *Node) displaced(w *waiting, service string) *ingress.NoServerError {
	err := &ingress.NoServerError{Reason: fmt.Sprintf("other requests wait for the servers of %s", service), Cause: causeOrder}
	if w.list.IsOver(w.ticket) {
		err.Reason, err.Cause = fmt.Sprintf("other workspaces wait for the servers of %s", service), causeShare
	}
	err.RetryAfter = w.retryAfter(n.now(), minRetryAfter)
	return err
}

// hasCompetingRequests reports whether requests for a service compete for its servers: those
// of several workspaces, or of several priorities where the servers state that they share
// their machines, so that what they can do changes by the moment. Callers hold mu.
func (n *Node) hasCompetingRequests(t *chestnutstream.RouteTable, service string) bool {
	return t.HasWorkspaces() || (t.HasSeveralPriorities(service) && n.fleet.StatesPace(service))
}

// enterWaitlist adds a request to the waitlist of its service, or returns nil if requests of
// the service do not compete. A stream that another server began is not held back, since its
// caller sees the pause. Callers hold mu.
func (n *Node) enterWaitlist(p ingress.PlacementRequest) *waiting {
	t := n.routes.Load()
	if t == nil || p.Continues || !n.hasCompetingRequests(t, p.Service) {
		return nil
	}
	return n.waitlists.enter(p)
}

// RetryAfter implements ingress.Dispatcher.
func (n *Node) RetryAfter(service string, usual time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.waitlists.lists[service]; l != nil {
		return l.RetryAfter(n.now(), usual)
	}
	return usual
}

// recordPlaced records that a request is sent to a server. Callers hold mu.
func (n *Node) recordPlaced(now time.Time, p ingress.PlacementRequest) {
	if l := n.waitlists.lists[p.Service]; l != nil {
		l.RecordPlaced(now, p.Workspace)
	}
}

// recordEnded records that a request that was sent to a server has ended there. Callers hold
// mu.
func (n *Node) recordEnded(a ingress.Assignment) {
	if l := n.waitlists.lists[a.Server.Service]; l != nil {
		l.RecordEnded(a.Workspace)
	}
}

// leaveWaitlist is leave for callers that do not hold mu.
func (n *Node) leaveWaitlist(w *waiting) {
	if w != nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		w.leave()
	}
}

// exceedsTarget reports whether a request would be late, if a server takes the next one in
// the duration wait. Callers hold mu.
func (n *Node) exceedsTarget(p ingress.PlacementRequest, w *waiting, wait time.Duration) bool {
	if w == nil {
		return wait > p.TargetLatency
	}
	return w.estimate(wait) > maxHold(n.now(), p)
}

// maxHold returns for how much longer a request may be held back: until its response would
// be late, or useless if its route names no latency target.
func maxHold(now time.Time, p ingress.PlacementRequest) time.Duration {
	left := p.Until.Sub(now)
	if p.Until.IsZero() {
		left = loadWaitTimeout
	}
	if p.TargetLatency > 0 {
		left = min(left, p.Start.Add(p.TargetLatency).Sub(now))
	}
	return left
}
