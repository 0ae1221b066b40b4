package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/timer"
)

// placePlain finds a server of a plain service. A server with a limit for which there
// is no permit is passed over; if there is no other, the request waits for at most
// plainWaitShare of its latency target. One that has asked for permits and slots for all of
// its latency target is rejected.
func (n *Node) placePlain(ctx context.Context, p ingress.PlacementRequest) (ingress.Assignment, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.enterWaitlist(p)
	defer w.leave()
	for ctx.Err() == nil {
		now := n.now()
		if !w.mayProceed() {
			if !n.yield(ctx, w, plainWaitLimit(now, p, w)) {
				return ingress.Assignment{}, n.displaced(w, p.Service)
			}
			continue
		}
		p.Avoid = n.excludedServers(p)
		s := n.serverWithSpareSlot(p)
		if s == nil {
			s = n.fleet.PickPlain(now, p.Service, p.Avoid)
		}
		if s == nil {
			if a, ok := n.forwardUnplaced(p); ok {
				return a, nil
			}
		}
		if s == nil && n.awaitAvailableServer(ctx, now, p, w) {
			continue
		}
		if s == nil && n.mayFindSoftware(p) {
			n.mu.Unlock()
			timer.Sleep(ctx, placeRetryInterval)
			n.mu.Lock()
			continue
		}
		if s == nil {
			return ingress.Assignment{}, n.noPlainServer(now, p, w)
		}
		id := s.ID
		if !n.acquirePermit(ctx, id) || !n.acquireSlot(ctx, id) {
			if p.TargetLatency > 0 && n.now().Sub(p.Start) > p.TargetLatency {
				return ingress.Assignment{}, &ingress.NoServerError{Reason: fmt.Sprintf("all servers of %s take no more for now", p.Service), RetryAfter: w.retryAfter(n.now(), minRetryAfter), Cause: causeBlocked}
			}
			continue
		}
		if s = n.fleet.Server(id); s == nil || !n.mayRun(s, p) || !s.Unpaused(n.now()) {
			n.returnSlot(id)
			continue // it changed while the permit was requested
		}
		n.fleet.RecordSent(id)
		n.recordPlaced(now, p)
		return ingress.Assignment{Server: s.Backend, ViewAge: n.recordViewAge(), Workspace: p.Workspace}, nil
	}
	return ingress.Assignment{}, fmt.Errorf("place on %s: %w", p.Service, ctx.Err())
}

// The share of its latency target that a request to a plain service may wait for a server.
const (
	plainWaitShare = 0.25
	// competingWaitShare is that share where requests compete. With plainWaitShare, those of
	// a short latency target are rejected while less urgent ones go on waiting, and these
	// take the servers.
	competingWaitShare = 0.6
)

// plainWaitLimit returns for how much longer a request may wait for a server.
func plainWaitLimit(now time.Time, p ingress.PlacementRequest, w *waiting) time.Duration {
	share := plainWaitShare
	if w != nil {
		share = competingWaitShare
	}
	return time.Duration(share*float64(p.TargetLatency)) - now.Sub(p.Start)
}

// awaitAvailableServer waits until a server of a service may accept more work, and reports
// false at once when that would take too long for the request. Callers hold mu, which
// is released meanwhile.
func (n *Node) awaitAvailableServer(ctx context.Context, now time.Time, p ingress.PlacementRequest, w *waiting) bool {
	wait, ok := n.fleet.AvailableIn(now, p.Service, p.Avoid)
	if !ok || w.estimate(wait) > plainWaitLimit(now, p, w) {
		return false
	}
	n.holdFor(ctx, now, p, w, wait)
	return true
}

// noPlainServer returns the error for a request that no plain server can accept.
// Callers hold mu.
func (n *Node) noPlainServer(now time.Time, p ingress.PlacementRequest, w *waiting) error {
	if wait, ok := n.fleet.AvailableIn(now, p.Service, p.Avoid); ok {
		return &ingress.NoServerError{Reason: fmt.Sprintf("all servers of %s take no more for now", p.Service), RetryAfter: n.recordBlocked(now, p, w, wait), Cause: causeBlocked}
	}
	return &ingress.NoServerError{Reason: fmt.Sprintf("no server of %s may take work, of %d", p.Service, len(n.fleet.Service(p.Service))), RetryAfter: noServerRetryAfter}
}
