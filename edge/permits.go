package edge

import (
	"context"
	"time"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/permit"
)

// silentIssuerWait is how long a server is not chosen after the issuer of its permits did
// not respond. After that, permits are requested from another instance.
const silentIssuerWait = 40 * time.Millisecond

// acquirePermit reports whether a request may be sent to a server now. A server that
// has signalled no limit needs no permit. If a permit is denied, the server is not
// chosen until the wait that the issuer responded with has passed, or silentIssuerWait if
// it did not respond. Callers hold mu, which is released while a permit is requested
// from another instance.
func (n *Node) acquirePermit(ctx context.Context, server string) bool {
	s := n.fleet.Server(server)
	if s == nil {
		return false
	}
	limit, _ := s.Limit()
	if limit <= 0 {
		return true
	}
	now, view := n.now(), n.permitView()
	issuer := n.permits.IssuerOf(now, server, view)
	ok, wait, result := false, silentIssuerWait, "silent"
	if issuer == n.id {
		ok, wait = n.permits.Request(now, server, limit, view)
		result = permitResult(ok)
	} else if p, responded := n.requestPermit(ctx, issuer, instance.PermitRequest{Server: server, Rate: limit}); responded {
		ok, wait = p.OK, time.Duration(p.WaitMS)*time.Millisecond
		result = permitResult(ok)
	} else if ctx.Err() == nil {
		n.permits.MarkUnresponsive(n.now(), issuer)
		n.log.WithField("server", server).WithField("peer", issuer).Warn("permit issuer did not respond")
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_permits_total{result="` + result + `"}`).Inc()
	if !ok {
		n.fleet.RecordNoPermit(n.now(), server, wait)
	}
	return ok
}

func permitResult(ok bool) string {
	if ok {
		return "granted"
	}
	return "denied"
}

// requestPermit requests a permit from another instance. Callers hold mu, which is
// released meanwhile.
func (n *Node) requestPermit(ctx context.Context, issuer string, r instance.PermitRequest) (p instance.PermitResponse, responded bool) {
	return n.askIssuer(ctx, issuer, func(b *instance.Bundle, id uint64) {
		r.ID = id
		b.PermitRequests = append(b.PermitRequests, r)
	})
}

// askIssuer sends a request for a permit or a slot to another instance, under an ID, and
// waits for the response. Callers hold mu, which is released meanwhile.
func (n *Node) askIssuer(ctx context.Context, issuer string, add func(b *instance.Bundle, id uint64)) (p instance.PermitResponse, responded bool) {
	n.lastPermitID++
	id := n.lastPermitID
	ch := make(chan instance.PermitResponse, 1)
	n.permitWaiters[id] = ch
	defer delete(n.permitWaiters, id)
	if !n.mesh.Send(issuer, func(b *instance.Bundle) { add(b, id) }) {
		return p, false
	}
	n.responseTimes.RecordRequest(n.now(), id, issuer)
	return n.awaitPermit(ctx, ch, n.responseTimes.Timeout(issuer))
}

// awaitPermit waits for an issuer's response, for limit at most. Callers hold mu, which is
// released meanwhile. A response that comes before mu is held again counts, as
// its grant has been counted.
func (n *Node) awaitPermit(ctx context.Context, ch <-chan instance.PermitResponse, limit time.Duration) (p instance.PermitResponse, responded bool) {
	n.mu.Unlock()
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case p = <-ch:
		responded = true
	case <-ctx.Done():
	case <-timeout.C:
	}
	n.mu.Lock()
	if responded {
		return p, true
	}
	select {
	case p = <-ch:
		return p, true
	default:
		return p, false
	}
}

// handlePermitRequest responds to another instance's permit request. Callers hold mu.
func (n *Node) handlePermitRequest(from string, r instance.PermitRequest) {
	limit := r.Rate
	if s := n.fleet.Server(r.Server); s != nil {
		if own, _ := s.Limit(); own > 0 {
			limit = own
		}
	}
	if limit <= 0 {
		return
	}
	ok, wait := n.permits.Request(n.now(), r.Server, limit, n.permitView())
	p := instance.PermitResponse{Server: r.Server, ID: r.ID, OK: ok, WaitMS: wait.Milliseconds() + 1}
	n.mesh.Send(from, func(b *instance.Bundle) { b.PermitResponses = append(b.PermitResponses, p) })
}

// handlePermitResponse passes another instance's response to the waiting permit request.
// Callers hold mu.
func (n *Node) handlePermitResponse(p instance.PermitResponse) {
	if took, ok := n.responseTimes.RecordResponse(n.now(), p.ID); ok {
		n.metrics.GetOrCreateHistogram(`chestnutstream_permit_response_seconds`).Update(took.Seconds())
	}
	if ch := n.permitWaiters[p.ID]; ch != nil {
		select {
		case ch <- p:
		default: // a response has already come
		}
	}
}

// permitView returns the possible permit issuers: this instance and the peers that are
// connected both ways, except those that drain. Callers hold mu.
func (n *Node) permitView() permit.View {
	v := permit.View{Reached: 1, All: n.regionInstances, ChangedAt: n.peersChangedAt}
	if v.All == 0 {
		v.All = n.leases.Instances(n.boot())
	}
	if n.draining.Load() == nil {
		v.Candidates = append(v.Candidates, n.id)
	}
	for _, name := range n.mesh.Peers() {
		p := n.peers[name]
		if p == nil {
			continue
		}
		v.Reached++
		if !p.draining {
			v.Candidates = append(v.Candidates, name)
		}
	}
	v.All = max(v.All, v.Reached)
	return v
}

// recordPeerLimit records a server's limit that another instance has sent. Callers hold
// mu.
func (n *Node) recordPeerLimit(l instance.RateLimit) []fleet.Change {
	return n.fleet.RecordPeerLimit(l.Server, l.Born, n.now().Add(-time.Duration(l.AgeMS)*time.Millisecond), l.Rate)
}

// limitMessage returns the message about a server's limit for other instances. Callers
// hold mu.
func (n *Node) limitMessage(s *fleet.Server) instance.RateLimit {
	rate, at := s.Limit()
	return instance.RateLimit{Server: s.ID, Born: s.Born, Rate: rate, AgeMS: max(n.now().Sub(at).Milliseconds(), 0)}
}
