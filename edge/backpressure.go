package edge

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
)

// recordBackpressure records the backpressure that a server's response signals, to a
// request that was sent at sentAt, and sends what concerns all instances to the others.
// A response of an earlier incarnation of the server is ignored. Callers hold mu.
func (n *Node) recordBackpressure(now, sentAt time.Time, server chestnutstream.Backend, b chestnutstream.Backpressure) []fleet.Change {
	s := n.fleet.Server(server.ID)
	if s == nil || s.Born != server.Born {
		return nil
	}
	changes := n.fleet.RecordBackpressure(now, sentAt, server.ID, b)
	n.handleServerChanges(changes)
	for _, c := range changes {
		switch c.What {
		case fleet.ChangeLeaving:
			message := instance.ServerNotice{Server: s.ID, Born: s.Born, Leaving: true}
			n.mesh.Broadcast(func(b *instance.Bundle) { b.ServerNotices = append(b.ServerNotices, message) })
		case fleet.ChangeBrittle, fleet.ChangeBrittleEnded:
			n.broadcastBrittleness(c)
		case fleet.ChangeLimit, fleet.ChangeLimitEnded:
			message := n.limitMessage(s)
			n.mesh.Broadcast(func(b *instance.Bundle) { b.RateLimits = append(b.RateLimits, message) })
		}
	}
	return changes
}

// recordBackendBackpressure records the backpressure that a server's response to an
// order or to the reading of a report signals.
func (n *Node) recordBackendBackpressure(server chestnutstream.Backend, took time.Duration, b chestnutstream.Backpressure) {
	n.mu.Lock()
	now := n.now()
	changes := n.recordBackpressure(now, now.Add(-took), server, b)
	n.mu.Unlock()
	n.logBackpressure(changes, "")
}

// recordPeerBackpressure records backpressure that a server has signalled to another
// instance. Callers hold mu.
func (n *Node) recordPeerBackpressure(s instance.ServerNotice) []fleet.Change {
	var changes []fleet.Change
	if s.Leaving {
		changes = n.fleet.RecordLeaving(s.Server, s.Born)
	}
	n.handleServerChanges(changes)
	return changes
}

// addBackpressure adds the backpressure signals of servers that concern all instances
// to a message. That a server drains is one of them: a store that has returned from a copy
// may show it as ready. Callers hold mu.
func (n *Node) addBackpressure(b *instance.Bundle) {
	for _, service := range n.fleet.BrittleServices() {
		b.BrittleServices = append(b.BrittleServices, n.brittleMessage(service))
	}
	for _, s := range n.fleet.Servers() {
		if s.State == chestnutstream.BackendDraining {
			b.ServerNotices = append(b.ServerNotices, instance.ServerNotice{Server: s.ID, Born: s.Born, Leaving: true})
		}
		if rate, _ := s.Limit(); rate > 0 {
			b.RateLimits = append(b.RateLimits, n.limitMessage(s))
		}
	}
}

// logBackpressure logs and counts changes of backpressure; peer is the instance that
// received the responses, "" for this one.
func (n *Node) logBackpressure(changes []fleet.Change, peer string) {
	for _, c := range changes {
		n.metrics.GetOrCreateCounter(`chestnutstream_backpressure_total{change="` + c.What + `"}`).Inc()
		n.log.WithFields(log.Fields{"server": c.Server, "change": c.What, "peer": peer, "limit-per-s": c.Limit, "pause-ms": c.Pause.Milliseconds()}).Info("server backpressure changed")
	}
}
