package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/timer"
)

// placePlain finds a plain server. One with a limit is passed over when there is
// no permit for it; where there is no other, the request waits for a small part of
// its latency target.
func (n *Node) placePlain(ctx context.Context, p ingress.Placement) (ingress.Placed, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ctx.Err() == nil {
		now := n.now()
		s := n.fleet.PickPlain(now, p.Service, p.Avoid)
		if s == nil && n.awaitPermit(ctx, now, p) {
			continue
		}
		if s == nil {
			return ingress.Placed{}, n.noPlain(now, p)
		}
		id := s.ID
		if !n.permitFor(ctx, id) {
			continue
		}
		if s = n.fleet.Server(id); s == nil || !s.Wants(n.now()) {
			continue // it changed while a permit was asked for
		}
		n.fleet.Sent(id)
		return ingress.Placed{Server: s.Backend}, nil
	}
	return ingress.Placed{}, fmt.Errorf("place on %s: %w", p.Service, ctx.Err())
}

// permitShare is the part of its latency target that a request to a plain service
// may wait for a permit.
const permitShare = 0.25

// awaitPermit waits until a server of a service takes more work, if that is in
// time for a request. Callers hold mu, which is given up meanwhile.
func (n *Node) awaitPermit(ctx context.Context, now time.Time, p ingress.Placement) bool {
	wait, ok := n.fleet.TakesIn(now, p.Service, p.Avoid)
	if !ok || now.Add(wait).Sub(p.Began) > time.Duration(permitShare*float64(p.Latency)) {
		return false
	}
	n.mu.Unlock()
	defer n.mu.Lock()
	timer.Sleep(ctx, wait)
	return true
}

// noPlain says why no plain server gets a request. Callers hold mu.
func (n *Node) noPlain(now time.Time, p ingress.Placement) error {
	if wait, ok := n.fleet.TakesIn(now, p.Service, p.Avoid); ok {
		return &ingress.NoPlaceError{Reason: fmt.Sprintf("all servers of %s take no more for now", p.Service), RetryAfter: n.fleet.TurnedAway(now, p.Service, wait)}
	}
	return &ingress.NoPlaceError{Reason: fmt.Sprintf("no server of %s may take work, of %d", p.Service, len(n.fleet.Service(p.Service))), RetryAfter: noServer}
}
