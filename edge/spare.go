package edge

import (
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
)

// slowIssuerTime is the response time from which on an issuer's slots are kept.
const slowIssuerTime = 10 * time.Millisecond

// spareSlots are slots of brittle servers that were granted to this instance and that no
// request uses now, by server with the times until which they are kept. A slot of an issuer
// that responds late is kept for twice the time that it takes to grant another one.
type spareSlots map[string][]time.Time

// take takes a slot of a server, if there is one.
func (s spareSlots) take(now time.Time, server string) bool {
	s.expire(now, server)
	if len(s[server]) == 0 {
		return false
	}
	s[server] = s[server][1:]
	return true
}

// expire drops the slots of a server that are kept no longer, and reports whether there
// were any.
func (s spareSlots) expire(now time.Time, server string) bool {
	kept := slices.DeleteFunc(slices.Clone(s[server]), func(until time.Time) bool { return !until.After(now) })
	expired := len(kept) < len(s[server])
	if s[server] = kept; len(kept) == 0 {
		delete(s, server)
	}
	return expired
}

// returnSlot returns a slot of a brittle server to its issuer, or keeps it for the next
// request if the issuer responds late. Callers hold mu.
func (n *Node) returnSlot(server string) {
	if !n.isBrittle(server) {
		return
	}
	issuer := n.permits.Primary(server, n.permitView())
	granting := n.responseTimes.Mean(issuer)
	if issuer == n.id || granting < slowIssuerTime {
		n.reportHeld(server)
		return
	}
	keep := 2 * granting
	n.spareSlots[server] = append(n.spareSlots[server], n.now().Add(keep))
	time.AfterFunc(keep, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.spareSlots.expire(n.now(), server) {
			n.reportHeld(server)
		}
	})
}

// dropSpareSlots returns all spare slots of a server. Callers hold mu.
func (n *Node) dropSpareSlots(server string) {
	if len(n.spareSlots[server]) > 0 {
		delete(n.spareSlots, server)
		n.reportHeld(server)
	}
}

// serverWithSpareSlot returns a server that may get a request in a spare slot, or nil.
// Callers hold mu.
func (n *Node) serverWithSpareSlot(p ingress.PlacementRequest) *fleet.Server {
	now := n.now()
	for id := range n.spareSlots {
		s := n.fleet.Server(id)
		n.spareSlots.expire(now, id)
		if s != nil && s.Service == p.Service && len(n.spareSlots[id]) > 0 && s.Unpaused(now) && !p.Avoid[id] {
			return s
		}
	}
	return nil
}
