package entry

import (
	"time"

	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

var _ peer.Node = (*Node)(nil)

// BuildState implements peer.Node. It runs the decision modules first unless
// they ran within idleDecisionPeriod, so that an instance that was paused sends
// nothing that has expired meanwhile. The lease's safety margin is longer than
// idleDecisionPeriod.
func (n *Node) BuildState(name string, after uint64) peer.State {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	var actions []engine.Action
	if now.Sub(n.decidedAt) >= idleDecisionPeriod {
		actions = n.decide(now)
	}
	s := n.buildState(now, name, after)
	n.mu.Unlock()
	n.execute(actions)
	return s
}

// buildState returns the State for a peer. The caller must hold mu.
func (n *Node) buildState(now time.Time, name string, after uint64) peer.State {
	s := peer.State{
		Version: n.scheduler.Version(), Leaving: n.draining.Load(), Departed: n.departed,
		Usage: n.placement.UsageOf(name), Demand: n.placement.Demand(now)[name],
		Quarantine: n.placement.Quarantined(),
	}
	for _, f := range n.scheduler.LoadFigures() {
		s.LoadFigures = append(s.LoadFigures, peer.LoadFigures{Running: f.Running, Waiting: f.Waiting, Idle: f.Idle})
	}
	if cfg := n.config.Load(); cfg != nil {
		s.Revision = cfg.Revision()
	}
	if after != s.Version || after == 0 {
		s.HasOwned, s.Owned, s.Reports = true, n.scheduler.Owned(), n.scheduler.Reports(after)
	}
	if p := n.members.peers[name]; p != nil {
		s.Applied, s.AckIncarnation = p.appliedVersion, p.incarnation
	}
	switch leader := n.electLeader(now); leader {
	case name:
		s.PermitRequests = n.scheduler.PermitRequests()
	case n.self.Name:
		s.GrantedPermits = n.permits.Granted(name)
	}
	for _, p := range n.probeResults {
		if p.Leaving || p.Down {
			s.ServerHealth = append(s.ServerHealth, p)
		}
	}
	return s
}

// HandleState implements peer.Node.
func (n *Node) HandleState(received peer.ReceivedState) {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	actions := n.applyState(now, received)
	if n.needsDecision(received.State) {
		actions = append(actions, n.decide(now)...)
	}
	n.mu.Unlock()
	n.execute(actions)
	if cfg := n.config.Load(); cfg == nil || received.State.Revision > cfg.Revision() {
		n.requestConfiguration(received.From.Name, received.State.Revision)
	}
}

// needsDecision reports whether a State requires decisions at once rather than
// at the next tick. The caller must hold mu.
func (n *Node) needsDecision(s peer.State) bool {
	return len(s.Reports) > 0 || len(s.Demand) > 0 || len(s.PermitRequests) > 0 || len(s.GrantedPermits) > 0 || s.Leaving || s.Departed || n.scheduler.Busy()
}

// applyState passes the contents of a peer's State to the decision modules. The
// caller must hold mu.
func (n *Node) applyState(now time.Time, received peer.ReceivedState) []engine.Action {
	p := n.members.recordState(received)
	name, s := received.From.Name, received.State
	var actions []engine.Action
	for _, r := range s.Reports {
		actions = append(actions, n.placement.Step(now, engine.ServerReported{Owner: name, Fence: r.Fence, Report: r.Report})...)
		n.ownership.Step(now, engine.PeerOwns{Peer: name, Server: r.Report.Server, Fence: r.Fence, Yielding: r.Yielding})
	}
	if s.HasOwned {
		n.placement.Step(now, engine.OwnerServers{Owner: name, Servers: s.Owned})
		p.ownedServers = s.Owned
	}
	for _, server := range p.ownedServers {
		n.ownership.Step(now, engine.PeerStillOwns{Peer: name, Server: server})
	}
	p.appliedVersion = max(p.appliedVersion, s.Version)
	n.placement.Step(now, engine.ReportLeaseExtended{Owner: name, Until: received.ReportLeaseUntil})
	n.placement.Step(now, engine.LoadFiguresReceived{Owner: name, Figures: joinLoadFigures(p.ownedServers, s.LoadFigures)})
	if s.Departed {
		return append(actions, n.scheduler.Step(now, engine.PeerDeparted{Peer: name})...)
	}
	actions = append(actions, n.scheduler.Step(now, engine.PeerStateReceived{
		Peer: name, Applied: s.Applied, Usage: s.Usage, Demand: s.Demand, Quarantine: s.Quarantine,
	})...)
	switch leader := n.electLeader(now); leader {
	case name:
		actions = append(actions, n.scheduler.Step(now, engine.PermitsGranted{IDs: s.GrantedPermits})...)
	case n.self.Name:
		n.permits.Step(now, name, received.From.Zone, s.PermitRequests)
	}
	n.pool.applyHealth(now, s.ServerHealth)
	return actions
}

// joinLoadFigures combines load figures with the names of their servers. It
// returns nil if the lengths differ, as the figures then belong to another list
// of owned servers than the one that was received.
func joinLoadFigures(servers []string, figures []peer.LoadFigures) []engine.LoadFigures {
	if len(servers) != len(figures) {
		return nil
	}
	out := make([]engine.LoadFigures, len(servers))
	for i, name := range servers {
		out[i] = engine.LoadFigures{Server: name, Running: figures[i].Running, Waiting: figures[i].Waiting, Idle: figures[i].Idle}
	}
	return out
}

// HandleMembers implements peer.Node.
func (n *Node) HandleMembers(list []peer.Member) {
	for _, m := range list {
		if m.Region == n.self.Region && m.Name != n.self.Name {
			n.mesh.Add(m)
		}
	}
}

// Members implements peer.Node.
func (n *Node) Members() []peer.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.peerMembers()
}
