package edge

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/instance"
)

// said takes what a server's answer to a request that was sent at began says of
// the work that it wants, and tells the other instances what concerns all of them.
// An answer of an earlier start says nothing of the present one. Callers hold mu.
func (n *Node) said(now, began time.Time, server chestnutstream.Backend, b chestnutstream.Backpressure) []fleet.Change {
	s := n.fleet.Server(server.ID)
	if s == nil || s.Born != server.Born {
		return nil
	}
	changes := n.fleet.Said(now, began, server.ID, b)
	n.serversChanged(changes)
	for _, c := range changes {
		switch c.What {
		case fleet.ChangeLeaves:
			word := instance.Said{Server: s.ID, Born: s.Born, Leaving: true}
			n.mesh.Broadcast(func(b *instance.Bundle) { b.Said = append(b.Said, word) })
		case fleet.ChangeLimit, fleet.ChangeLimitEnded:
			word := n.limitOf(s)
			n.mesh.Broadcast(func(b *instance.Bundle) { b.Limits = append(b.Limits, word) })
		}
	}
	return changes
}

// heardBackend takes what a server's answer to an order or a report says of the
// work that it wants.
func (n *Node) heardBackend(server chestnutstream.Backend, took time.Duration, b chestnutstream.Backpressure) {
	n.mu.Lock()
	now := n.now()
	changes := n.said(now, now.Add(-took), server, b)
	n.mu.Unlock()
	n.logSaid(changes, "")
}

// heardSaid takes what a server has said to another instance. Callers hold mu.
func (n *Node) heardSaid(s instance.Said) []fleet.Change {
	var changes []fleet.Change
	if s.Leaving {
		changes = n.fleet.SaysItLeaves(s.Server, s.Born)
	}
	n.serversChanged(changes)
	return changes
}

// tellSaid adds what servers have said that concerns all instances. Callers hold
// mu.
func (n *Node) tellSaid(b *instance.Bundle) {
	for _, s := range n.fleet.Servers() {
		if n.fleet.Leaving(s) {
			b.Said = append(b.Said, instance.Said{Server: s.ID, Born: s.Born, Leaving: true})
		}
		if rate, _ := s.Limit(); rate > 0 {
			b.Limits = append(b.Limits, n.limitOf(s))
		}
	}
}

// logSaid logs and counts what answers have changed; peer is the instance that
// had them, "" for this one.
func (n *Node) logSaid(changes []fleet.Change, peer string) {
	for _, c := range changes {
		n.metrics.GetOrCreateCounter(`chestnutstream_backpressure_total{change="` + c.What + `"}`).Inc()
		n.log.WithFields(log.Fields{"server": c.Server, "change": c.What, "peer": peer, "limit-per-s": c.Limit, "pause-ms": c.Pause.Milliseconds()}).Info("server backpressure")
	}
}
