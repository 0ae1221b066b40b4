package entry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

// syncSelf is the instance's state exchange with itself: it passes its reports
// to its placement, and its usage and demand to its scheduler. The caller must
// hold mu.
func (n *Node) syncSelf(now time.Time) []engine.Action {
	var actions []engine.Action
	if v := n.scheduler.Version(); v != n.appliedVersion {
		for _, r := range n.scheduler.Reports(n.appliedVersion) {
			actions = append(actions, n.placement.Step(now, engine.ServerReported{Owner: n.self.Name, Fence: r.Fence, Report: r.Report})...)
		}
		n.placement.Step(now, engine.OwnerServers{Owner: n.self.Name, Servers: n.scheduler.Owned()})
		n.appliedVersion = v
	}
	n.placement.Step(now, engine.ReportLeaseExtended{Owner: n.self.Name, Until: now.Add(selfReportLease)})
	actions = append(actions, n.placement.Step(now, engine.LoadFiguresReceived{Owner: n.self.Name, Figures: n.scheduler.LoadFigures()})...)
	return append(actions, n.scheduler.Step(now, engine.PeerStateReceived{
		Peer: n.self.Name, Applied: n.appliedVersion, Usage: n.placement.UsageOf(n.self.Name),
		Demand: n.placement.Demand(now)[n.self.Name], Quarantine: n.placement.Quarantined(),
	})...)
}

// electLeader returns the instance that grants permits from the region's share
// of the weight store's budget. The caller must hold mu.
func (n *Node) electLeader(now time.Time) string {
	if n.leader != "" && now.Sub(n.electedAt) < leaderElectionPeriod {
		return n.leader
	}
	candidates := n.members.alive(now, n.aliveTimeout(), n.draining.Load(), func(peer.Member) bool { return true })
	n.leader, n.electedAt = engine.Elect("weight-store", candidates), now
	return n.leader
}

// aliveTimeout returns the time without a message from a peer after which it
// does not count as alive.
func (n *Node) aliveTimeout() time.Duration { return aliveIntervals * n.mesh.Interval() }

// grantPermits processes the instance's own permit requests while it is the
// leader. The caller must hold mu.
func (n *Node) grantPermits(now time.Time) []engine.Action {
	if n.electLeader(now) != n.self.Name {
		return nil
	}
	if cfg := n.config.Load(); cfg != nil {
		n.permits.SetBudget(cfg.Limits.LoadsInFlight, cfg.Limits.Zones)
	}
	n.permits.Step(now, n.self.Name, n.self.Zone, n.scheduler.PermitRequests())
	return n.scheduler.Step(now, engine.PermitsGranted{IDs: n.permits.Granted(n.self.Name)})
}

// notifyPeers triggers a State to each peer that has to receive a change before
// the next interval. The caller must hold mu.
func (n *Node) notifyPeers(now time.Time) {
	if v := n.scheduler.Version(); v != n.notifiedVersion {
		n.notifiedVersion = v
		n.mesh.NotifyAll()
	}
	leader := n.electLeader(now)
	demand, retiring := n.placement.Demand(now), n.placement.Retiring()
	var usage map[string]map[chestnutstream.LoadName]int
	if len(retiring) > 0 {
		usage = n.placement.Usage()
	}
	peers := map[string]bool{leader: true}
	for name := range demand {
		peers[name] = true
	}
	for name := range retiring {
		peers[name] = true
	}
	for name := range n.notified {
		peers[name] = true
	}
	if leader == n.self.Name {
		n.permits.AddHolders(peers)
	}
	delete(peers, n.self.Name)
	for name := range peers {
		signature := n.urgentSignature(name, leader, demand[name], retiring[name], usage[name])
		if n.notified[name] == signature {
			continue
		}
		n.notified[name] = signature
		if signature == 0 {
			delete(n.notified, name)
		}
		n.mesh.Notify(name)
	}
}

// urgentSignature returns a hash of what a peer should receive without waiting
// for the next interval: demand, usage of its retiring slots, permit requests
// and grants. It is 0 if there is none of these.
func (n *Node) urgentSignature(name, leader string, demand []chestnutstream.Demand, retiring map[chestnutstream.LoadName]bool, usage map[chestnutstream.LoadName]int) uint64 {
	var sum uint64 // of hashes, so that the result does not depend on map order
	for _, d := range demand {
		sum += xxhash.Sum64String(fmt.Sprintf("w%s%s%d", d.Server, d.AdapterVersion, bitLength(d.Waiting)))
	}
	for slot := range retiring {
		sum += xxhash.Sum64String(fmt.Sprintf("r%s%d", slot, usage[slot]))
	}
	if name == leader {
		for _, r := range n.scheduler.PermitRequests() {
			sum += xxhash.Sum64String(fmt.Sprintf("a%s%v", r.ID, r.Running))
		}
	}
	if leader == n.self.Name {
		for _, id := range n.permits.Granted(name) {
			sum += xxhash.Sum64String("g" + id)
		}
	}
	return sum
}

// bitLength returns the number of bits of n. A signature made from it changes
// only when a count crosses a power of two.
func bitLength(n int) int {
	length := 0
	for ; n > 0; n >>= 1 {
		length++
	}
	return length
}
