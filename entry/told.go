package entry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

// syncSelf is the exchange of the instance with itself: its own reports go to
// its placement, its own uses and wants to its scheduler. Callers hold mu.
func (n *Node) syncSelf(now time.Time) []engine.Action {
	var actions []engine.Action
	if v := n.scheduler.Version(); v != n.applied {
		for _, r := range n.scheduler.Reports(n.applied) {
			actions = append(actions, n.placement.Step(now, engine.Reported{Owner: n.self.Name, Fence: r.Fence, Report: r.Report})...)
		}
		n.placement.Step(now, engine.OwnerServers{Owner: n.self.Name, Servers: n.scheduler.Owned()})
		n.applied = v
	}
	n.placement.Step(now, engine.Promised{Owner: n.self.Name, Until: now.Add(selfPromise)})
	actions = append(actions, n.placement.Step(now, engine.LoadsSeen{Owner: n.self.Name, Loads: n.scheduler.Loads()})...)
	return append(actions, n.scheduler.Step(now, engine.PeerHeard{
		Peer: n.self.Name, Applied: n.applied, Uses: n.placement.UsesOf(n.self.Name),
		Wants: n.placement.Wants(now)[n.self.Name], Quarantine: n.placement.Quarantined(),
	})...)
}

// lead returns the instance that hands out the region's share of the weight
// store's budget. Callers hold mu.
func (n *Node) lead(now time.Time) string {
	if n.leadName != "" && now.Sub(n.leadAt) < leadPeriod {
		return n.leadName
	}
	region := n.members.alive(now, n.aliveLimit(), n.draining.Load(), func(peer.Member) bool { return true })
	n.leadName, n.leadAt = engine.Elect("weight-store", region), now
	return n.leadName
}

func (n *Node) aliveLimit() time.Duration { return aliveIntervals * n.mesh.Interval() }

// grantPermits takes the instance's own asks when it is the lead. Callers hold
// mu.
func (n *Node) grantPermits(now time.Time) []engine.Action {
	if n.lead(now) != n.self.Name {
		return nil
	}
	if cfg := n.config.Load(); cfg != nil {
		n.permits.SetBudget(cfg.Limits.LoadsInFlight, cfg.Limits.Zones)
	}
	n.permits.Step(now, n.self.Name, n.self.Zone, n.scheduler.Asks())
	return n.scheduler.Step(now, engine.PermitsGranted{IDs: n.permits.Granted(n.self.Name)})
}

// notifyPeers pokes the links on which something has to be heard soon. Callers
// hold mu.
func (n *Node) notifyPeers(now time.Time) {
	if v := n.scheduler.Version(); v != n.toldAll {
		n.toldAll = v
		n.mesh.NotifyAll()
	}
	lead := n.lead(now)
	wants, retiring := n.placement.Wants(now), n.placement.Retiring()
	var uses map[string]map[chestnutstream.LoadName]int
	if len(retiring) > 0 {
		uses = n.placement.Uses()
	}
	concerned := map[string]bool{lead: true}
	for name := range wants {
		concerned[name] = true
	}
	for name := range retiring {
		concerned[name] = true
	}
	for name := range n.told {
		concerned[name] = true
	}
	if lead == n.self.Name {
		n.permits.Holders(concerned)
	}
	delete(concerned, n.self.Name)
	for name := range concerned {
		sig := n.urgentSignature(name, lead, wants[name], retiring[name], uses[name])
		if n.told[name] == sig {
			continue
		}
		n.told[name] = sig
		if sig == 0 {
			delete(n.told, name)
		}
		n.mesh.Notify(name)
	}
}

// urgentSignature sums up what a peer should hear without waiting for the next
// interval: new wants, ends of uses of its retiring slots, asks and grants. It
// is 0 when there is nothing of these.
func (n *Node) urgentSignature(name, lead string, wants []chestnutstream.Want, retiring map[chestnutstream.LoadName]bool, uses map[chestnutstream.LoadName]int) uint64 {
	var sum uint64 // of hashes, so that no order matters
	for _, w := range wants {
		sum += xxhash.Sum64String(fmt.Sprintf("w%s%s%d", w.Server, w.AdapterVersion, bits(w.Waiting)))
	}
	for slot := range retiring {
		sum += xxhash.Sum64String(fmt.Sprintf("r%s%d", slot, uses[slot]))
	}
	if name == lead {
		for _, a := range n.scheduler.Asks() {
			sum += xxhash.Sum64String(fmt.Sprintf("a%s%v", a.ID, a.Running))
		}
	}
	if lead == n.self.Name {
		for _, id := range n.permits.Granted(name) {
			sum += xxhash.Sum64String("g" + id)
		}
	}
	return sum
}

// bits returns the number of bits of a count, so that only its doublings are
// news.
func bits(n int) int {
	b := 0
	for ; n > 0; n >>= 1 {
		b++
	}
	return b
}
