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
	for ctx.Err() == nil {
		now := n.now()
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
		if s == nil && n.awaitAvailableServer(ctx, now, p) {
			continue
		}
		if s == nil && n.mayFindSoftware(p) {
			n.mu.Unlock()
			timer.Sleep(ctx, placeRetryInterval)
			n.mu.Lock()
			continue
		}
		if s == nil {
			return ingress.Assignment{}, n.noPlainServer(now, p)
		}
		id := s.ID
		if !n.acquirePermit(ctx, id) || !n.acquireSlot(ctx, id) {
			if p.TargetLatency > 0 && n.now().Sub(p.Start) > p.TargetLatency {
				return ingress.Assignment{}, &ingress.NoServerError{Reason: fmt.Sprintf("all servers of %s take no more for now", p.Service), RetryAfter: minRetryAfter}
			}
			continue
		}
		if s = n.fleet.Server(id); s == nil || !n.mayRun(s, p) || !s.Unpaused(n.now()) {
			n.returnSlot(id)
			continue // it changed while the permit was requested
		}
		n.fleet.RecordSent(id)
		return ingress.Assignment{Server: s.Backend, ViewAge: n.recordViewAge()}, nil
	}
	return ingress.Assignment{}, fmt.Errorf("place on %s: %w", p.Service, ctx.Err())
}

// plainWaitShare is the share of its latency target that a request to a plain
// service may wait for a server.
const plainWaitShare = 0.25

// awaitAvailableServer waits until a server of a service may accept more work, and reports
// false at once when that would take too long for the request. Callers hold mu, which
// is released meanwhile.
func (n *Node) awaitAvailableServer(ctx context.Context, now time.Time, p ingress.PlacementRequest) bool {
	wait, ok := n.fleet.AvailableIn(now, p.Service, p.Avoid)
	if !ok || now.Add(wait).Sub(p.Start) > time.Duration(plainWaitShare*float64(p.TargetLatency)) {
		return false
	}
	n.mu.Unlock()
	defer n.mu.Lock()
	timer.Sleep(ctx, wait)
	return true
}

// noPlainServer returns the error for a request that no plain server can accept.
// Callers hold mu.
func (n *Node) noPlainServer(now time.Time, p ingress.PlacementRequest) error {
	if wait, ok := n.fleet.AvailableIn(now, p.Service, p.Avoid); ok {
		return &ingress.NoServerError{Reason: fmt.Sprintf("all servers of %s take no more for now", p.Service), RetryAfter: n.fleet.RecordRejection(now, p.Service, wait)}
	}
	return &ingress.NoServerError{Reason: fmt.Sprintf("no server of %s may take work, of %d", p.Service, len(n.fleet.Service(p.Service))), RetryAfter: noServerRetryAfter}
}
