package entry

import (
	"time"

	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

var _ peer.Node = (*Node)(nil)

// BuildState implements peer.Node. The parts decide first unless they did so
// lately, so that an instance that was paused tells nothing that has lapsed
// meanwhile; the lease's safety margin is longer than lately.
func (n *Node) BuildState(name string, after uint64) peer.State {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	var actions []engine.Action
	if now.Sub(n.decidedAt) >= idlePeriod {
		actions = n.decide(now)
	}
	s := n.stateFor(now, name, after)
	n.mu.Unlock()
	n.do(actions)
	return s
}

func (n *Node) stateFor(now time.Time, name string, after uint64) peer.State {
	s := peer.State{
		Version: n.scheduler.Version(), Leaving: n.draining.Load(), Gone: n.gone,
		Uses: n.placement.UsesOf(name), Wants: n.placement.Wants(now)[name],
		Quarantine: n.placement.Quarantined(),
	}
	for _, f := range n.scheduler.Loads() {
		s.Loads = append(s.Loads, peer.Figures{Running: f.Running, Waiting: f.Waiting, Idle: f.Idle})
	}
	if cfg := n.config.Load(); cfg != nil {
		s.Revision = cfg.Revision()
	}
	if after != s.Version || after == 0 {
		s.HasOwned, s.Owned, s.Reports = true, n.scheduler.Owned(), n.scheduler.Reports(after)
	}
	if p := n.members.peers[name]; p != nil {
		s.Applied, s.AckIncarnation = p.applied, p.incarnation
	}
	switch lead := n.lead(now); lead {
	case name:
		s.Asks = n.scheduler.Asks()
	case n.self.Name:
		s.Granted = n.permits.Granted(name)
	}
	for _, p := range n.probes {
		if p.Leaving || p.Down {
			s.Servers = append(s.Servers, p)
		}
	}
	return s
}

// StateHeard implements peer.Node.
func (n *Node) StateHeard(h peer.Heard) {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	actions := n.takeState(now, h)
	if n.urgent(h.State) {
		actions = append(actions, n.decide(now)...)
	}
	n.mu.Unlock()
	n.do(actions)
	if cfg := n.config.Load(); cfg == nil || h.State.Revision > cfg.Revision() {
		n.askPeer(h.From.Name, h.State.Revision)
	}
}

// urgent reports whether a State asks for decisions at once; else the next tick
// is soon enough. Callers hold mu.
func (n *Node) urgent(s peer.State) bool {
	return len(s.Reports) > 0 || len(s.Wants) > 0 || len(s.Asks) > 0 || len(s.Granted) > 0 || s.Leaving || s.Gone || n.scheduler.Busy()
}

func (n *Node) takeState(now time.Time, h peer.Heard) []engine.Action {
	p := n.members.heard(h)
	name, s := h.From.Name, h.State
	var actions []engine.Action
	for _, r := range s.Reports {
		actions = append(actions, n.placement.Step(now, engine.Reported{Owner: name, Fence: r.Fence, Report: r.Report})...)
		n.ownership.Step(now, engine.PeerOwns{Peer: name, Server: r.Report.Server, Fence: r.Fence, Yielding: r.Yielding})
	}
	if s.HasOwned {
		n.placement.Step(now, engine.OwnerServers{Owner: name, Servers: s.Owned})
		p.owned = s.Owned
	}
	for _, server := range p.owned {
		n.ownership.Step(now, engine.PeerStillOwns{Peer: name, Server: server})
	}
	p.applied = max(p.applied, s.Version)
	n.placement.Step(now, engine.Promised{Owner: name, Until: h.PromisedUntil})
	n.placement.Step(now, engine.LoadsSeen{Owner: name, Loads: figuresOf(p.owned, s.Loads)})
	if s.Gone {
		return append(actions, n.scheduler.Step(now, engine.PeerGone{Peer: name})...)
	}
	actions = append(actions, n.scheduler.Step(now, engine.PeerHeard{
		Peer: name, Applied: s.Applied, Uses: s.Uses, Wants: s.Wants, Quarantine: s.Quarantine,
	})...)
	switch lead := n.lead(now); lead {
	case name:
		actions = append(actions, n.scheduler.Step(now, engine.PermitsGranted{IDs: s.Granted})...)
	case n.self.Name:
		n.permits.Step(now, name, h.From.Zone, s.Asks)
	}
	n.pool.heard(now, s.Servers)
	return actions
}

// figuresOf joins load figures with the servers that they are of. Figures that
// belong to another list of servers than the one that was told are left out.
func figuresOf(servers []string, figures []peer.Figures) []engine.ServerFigures {
	if len(servers) != len(figures) {
		return nil
	}
	out := make([]engine.ServerFigures, len(servers))
	for i, name := range servers {
		out[i] = engine.ServerFigures{Server: name, Running: figures[i].Running, Waiting: figures[i].Waiting, Idle: figures[i].Idle}
	}
	return out
}

// MembersHeard implements peer.Node.
func (n *Node) MembersHeard(list []peer.Member) {
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
	return n.members.known()
}
