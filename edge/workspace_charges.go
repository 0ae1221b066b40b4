package edge

import (
	"context"
	"time"

	"github.com/chestnutstream/chestnutstream/instance"
)

// An instance whose share has no room for a request asks the workspace's allocator to charge
// it to the allocator's own share. The sum of what is let through stays the same, and a
// workspace whose requests are few or large needs no share at each instance.

// Times between requests to an allocator for one workspace, after it had no room, or did not
// respond.
const (
	minAskInterval    = 20 * time.Millisecond
	maxAskInterval    = 500 * time.Millisecond
	silentAskInterval = time.Second
)

// allocatorToAsk returns the instance that may charge a request for this one, "" if none is
// to be asked now. Callers hold q.mu.
func (q *quotas) allocatorToAsk(boot time.Duration, name string) string {
	allocator, _ := q.state.Roles(name)
	if allocator == q.node.id || boot < q.askAt[name] {
		return ""
	}
	return allocator
}

// chargeAt asks an allocator to charge a request, and reports whether it has. Without a
// response the request is not let through, though it may have been charged.
func (q *quotas) chargeAt(ctx context.Context, allocator, name string, cost float64, maxWait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	n := q.node
	n.mu.Lock()
	p, responded := n.askIssuer(ctx, allocator, func(b *instance.Bundle, id uint64) {
		b.QuotaCharges = append(b.QuotaCharges, instance.QuotaCharge{Workspace: name, ID: id, Cost: cost})
	})
	n.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	boot := n.boot()
	switch {
	case !responded:
		q.askAt[name] = boot + silentAskInterval
	case !p.OK:
		q.askAt[name] = boot + min(max(time.Duration(p.WaitMS)*time.Millisecond, minAskInterval), maxAskInterval)
	default:
		q.buckets.MoveDemand(boot, name, cost)
		return true
	}
	return false
}

// chargeFor charges requests of another instance to the shares of this one.
func (q *quotas) chargeFor(from string, charges []instance.QuotaCharge) {
	responses := make([]instance.PermitResponse, 0, len(charges))
	q.mu.Lock()
	boot := q.node.boot()
	for _, c := range charges {
		q.buckets.RecordDemand(boot, c.Workspace, c.Cost)
		p := instance.PermitResponse{ID: c.ID, OK: q.buckets.Limited(c.Workspace) && q.buckets.Take(boot, c.Workspace, c.Cost)}
		if !p.OK {
			wait, _ := q.buckets.Wait(boot, c.Workspace, c.Cost)
			p.WaitMS = wait.Milliseconds() + 1
		}
		responses = append(responses, p)
	}
	q.mu.Unlock()
	q.notify()
	q.node.mesh.Send(from, func(b *instance.Bundle) { b.PermitResponses = append(b.PermitResponses, responses...) })
}
