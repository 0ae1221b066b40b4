package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/permit"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Brittle servers crash when they have to reject too many requests in a second, and their
// queues are short. While a service's servers are brittle, requests wait in the instances:
// each needs one of the server's slots, which one instance grants for all, and what is
// rejected all the same is counted over all instances.

// acquireSlot reports whether a request may be sent to a server now, as far as its slots
// are concerned. Callers hold mu, which is released while another instance is asked.
func (n *Node) acquireSlot(ctx context.Context, server string) bool {
	s := n.fleet.Server(server)
	if s == nil {
		return false
	}
	if _, _, brittle := n.fleet.Brittle(s.Service); !brittle || s.Slots <= 0 {
		return true
	}
	now, view := n.now(), n.permitView()
	if n.spareSlots.take(now, server) {
		n.metrics.GetOrCreateCounter(`chestnutstream_slots_total{result="spare"}`).Inc()
		return true
	}
	issuer, responsive := n.permits.SlotIssuerOf(now, server, view)
	if !responsive {
		n.fleet.RecordNoPermit(now, server, silentIssuerWait)
		return false
	}
	ok, wait, result := false, silentIssuerWait, "silent"
	if issuer == n.id {
		n.slots.RecordAbandoned(now, server, n.id, s.Abandoned(now))
		ok, wait = n.slots.Request(now, server, n.holding(s), s.Slots, view, n.permits.Primary(server, view) == n.id)
		if ok {
			n.slotGrants[server]++
		}
		result = permitResult(ok)
	} else {
		h := n.holding(s)
		p, responded := n.askIssuer(ctx, issuer, func(b *instance.Bundle, id uint64) {
			b.SlotRequests = append(b.SlotRequests, instance.SlotRequest{Server: server, ID: id, Held: h.Held, Received: h.Received, Slots: s.Slots})
			b.SlotReports = append(b.SlotReports, n.slotReport(s))
		})
		if responded && p.OK {
			n.unusedGrants[server]-- // its caller sends the request at once
		}
		if responded {
			ok, wait = p.OK, time.Duration(p.WaitMS)*time.Millisecond
			result = permitResult(ok)
		} else if ctx.Err() == nil {
			n.permits.MarkUnresponsive(n.now(), issuer)
			n.log.WithField("server", server).WithField("peer", issuer).Warn("slot issuer did not respond")
		}
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_slots_total{result="` + result + `"}`).Inc()
	if !ok {
		n.fleet.RecordNoPermit(n.now(), server, wait)
	}
	return ok
}

// holding returns this instance's use of a server, including requests that it has
// abandoned, grants that are about to be used and spare slots. Callers hold mu.
func (n *Node) holding(s *fleet.Server) permit.Holding {
	return permit.Holding{Holder: n.id, Held: s.InFlight + s.Abandoned(n.now()) + max(n.unusedGrants[s.ID], 0) + len(n.spareSlots[s.ID]), Received: n.slotGrants[s.ID]}
}

// handleSlotResponse counts a grant as it arrives: the request that waits for it has not
// been sent yet. Callers hold mu.
func (n *Node) handleSlotResponse(p instance.PermitResponse) {
	if p.OK {
		n.slotGrants[p.Server]++
		if n.permitWaiters[p.ID] != nil {
			n.unusedGrants[p.Server]++
		} else {
			n.metrics.GetOrCreateCounter(`chestnutstream_slot_grants_late_total`).Inc()
			n.returnSlot(p.Server)
		}
	}
	n.handlePermitResponse(p)
}

// reportHeld tells the issuer of a brittle server's slots how many requests this instance
// has in progress there, also while another instance is asked because it did not respond.
// Callers hold mu.
func (n *Node) reportHeld(server string) {
	if !n.isBrittle(server) {
		return
	}
	s, view := n.fleet.Server(server), n.permitView()
	primary := n.permits.Primary(server, view)
	n.sendHeld(primary, s)
	if issuer, _ := n.permits.SlotIssuerOf(n.now(), server, view); issuer != primary {
		n.sendHeld(issuer, s)
	}
}

// sendHeld sends an issuer this instance's use of a server. Callers hold mu.
func (n *Node) sendHeld(issuer string, s *fleet.Server) {
	h := n.holding(s)
	if issuer == n.id {
		n.slots.Report(n.now(), s.ID, h)
		n.recordSlotReport(n.id, n.slotReport(s))
		return
	}
	n.mesh.Send(issuer, func(b *instance.Bundle) {
		b.SlotRequests = append(b.SlotRequests, instance.SlotRequest{Server: s.ID, Held: h.Held, Received: h.Received})
		b.SlotReports = append(b.SlotReports, n.slotReport(s))
	})
}

// maxLoadAge is the age up to which a load that a server has stated is reported.
const maxLoadAge = 200 * time.Millisecond

// slotReport returns the details for a message about a server's slots. Callers hold mu.
func (n *Node) slotReport(s *fleet.Server) instance.SlotReport {
	r := instance.SlotReport{Server: s.ID, Abandoned: s.Abandoned(n.now()), Load: -1}
	if load, at, ok := s.StatedLoad(); ok && n.now().Sub(at) < maxLoadAge {
		r.Load = load
	}
	return r
}

// recordSlotReport records the details of an instance's use of a server. Callers hold mu.
func (n *Node) recordSlotReport(from string, r instance.SlotReport) {
	n.slots.RecordAbandoned(n.now(), r.Server, from, r.Abandoned)
	if r.Load >= 0 {
		n.slots.RecordLoad(n.now(), r.Server, r.Load)
	}
}

// handleSlotRequest handles the request of another instance for a slot, or its report.
// Callers hold mu.
func (n *Node) handleSlotRequest(from string, r instance.SlotRequest) {
	h := permit.Holding{Holder: from, Held: r.Held, Received: r.Received}
	if r.ID == 0 {
		n.slots.Report(n.now(), r.Server, h)
		return
	}
	view := n.permitView()
	ok, wait := n.slots.Request(n.now(), r.Server, h, r.Slots, view, n.permits.Primary(r.Server, view) == n.id)
	p := instance.PermitResponse{Server: r.Server, ID: r.ID, OK: ok, WaitMS: wait.Milliseconds() + 1}
	n.mesh.Send(from, func(b *instance.Bundle) { b.SlotResponses = append(b.SlotResponses, p) })
}

// recordRejection records that a server rejected a request of this instance for want of
// room, and tells all others if the server is brittle. Callers hold mu.
func (n *Node) recordRejection(server string, load *platform.ServerLoad) {
	if !n.isBrittle(server) {
		return
	}
	n.logRejection(n.fleet.Server(server), load)
	n.handleRejection(server)
	n.mesh.Broadcast(func(b *instance.Bundle) { b.Rejections = append(b.Rejections, server) })
}

// logRejection logs a rejection with what the server states of its load, if it does, and what
// this instance counts there.
func (n *Node) logRejection(s *fleet.Server, load *platform.ServerLoad) {
	fields := log.Fields{"server": s.ID, "held": s.InFlight, "abandoned": s.Abandoned(n.now()), "issuer": n.permits.Primary(s.ID, n.permitView())}
	if load != nil {
		fields["running"], fields["waiting"], fields["slots"] = load.Running, load.Waiting, load.Slots
	}
	n.log.WithFields(fields).Warn("brittle server rejected a request")
	n.metrics.GetOrCreateCounter(`chestnutstream_brittle_rejections_total`).Inc()
}

// handleRejection handles the rejection of any instance's request by a brittle server.
// Callers hold mu.
func (n *Node) handleRejection(server string) {
	n.slots.RecordRejection(n.now(), server)
	n.dropSpareSlots(server)
	if n.fleet.RecordRejectionOf(n.now(), server) {
		n.metrics.GetOrCreateCounter(`chestnutstream_brittle_pauses_total`).Inc()
	}
}

// brittleMessage returns the message about a service for other instances. Callers hold mu.
func (n *Node) brittleMessage(service string) instance.BrittleService {
	maxRejections, at, ok := n.fleet.Brittle(service)
	if !ok {
		at = n.now()
	}
	return instance.BrittleService{Service: service, Brittle: ok, MaxRejections: maxRejections, AgeMS: max(n.now().Sub(at).Milliseconds(), 0)}
}

// broadcastBrittleness tells all instances of a change of a service's servers. Callers
// hold mu.
func (n *Node) broadcastBrittleness(c fleet.Change) {
	s := n.fleet.Server(c.Server)
	if s == nil {
		return
	}
	message := n.brittleMessage(s.Service)
	n.mesh.Broadcast(func(b *instance.Bundle) { b.BrittleServices = append(b.BrittleServices, message) })
}

// isBrittle reports whether a server is brittle. Callers hold mu.
func (n *Node) isBrittle(server string) bool {
	s := n.fleet.Server(server)
	if s == nil {
		return false
	}
	_, _, brittle := n.fleet.Brittle(s.Service)
	return brittle
}

// recordDone records that a request of this instance at a server has ended. One that the
// server may still work on keeps the slot of a brittle server. Callers hold mu.
func (n *Node) recordDone(server string, e ingress.Ending) {
	n.fleet.RecordDone(server)
	if e.Complete {
		n.fleet.RecordDuration(server, e.Took)
		n.returnSlot(server)
		return
	}
	if !n.isBrittle(server) {
		return
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_abandoned_requests_total`).Inc()
	remaining := n.fleet.RecordAbandoned(n.now(), server, e.Took, e.Left)
	n.reportHeld(server)
	time.AfterFunc(remaining, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.reportHeld(server)
	})
}
