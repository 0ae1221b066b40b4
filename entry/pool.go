package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

var _ caller.ServicePool = (*pool)(nil)

// failedServerBackoff is how long a server is avoided after a failed call or probe.
const failedServerBackoff = 2 * time.Second

// leavingReportValidity is how long a report that a server is leaving is valid.
const leavingReportValidity = 5 * time.Second

// pool selects a backend server of a plain service: the live one with the fewest
// calls of this instance in progress.
type pool struct {
	now func() time.Time

	mu      sync.Mutex
	servers map[string]*poolServer
}

type poolServer struct {
	settings      chestnutstream.ServerSettings
	address       string
	listedLeaving bool      // leaving according to the platform's list
	leavingUntil  time.Time // leaving as reported by a probe, until then
	failedUntil   time.Time // avoided until then
	inProgress    int
	picks         uint64 // total; breaks ties
}

func newPool(now func() time.Time) *pool {
	return &pool{now: now, servers: map[string]*poolServer{}}
}

// update sets the servers, with the addresses and states of the platform's list.
func (p *pool) update(servers []chestnutstream.ServerSettings, addresses map[string]string, leaving map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configured := map[string]bool{}
	for _, settings := range servers {
		configured[settings.Name] = true
		s := p.servers[settings.Name]
		if s == nil {
			s = &poolServer{}
			p.servers[settings.Name] = s
		}
		s.settings, s.address, s.listedLeaving = settings, settings.Address, leaving[settings.Name]
		if a := addresses[settings.Name]; a != "" {
			s.address = a
		}
	}
	for name := range p.servers {
		if !configured[name] {
			delete(p.servers, name)
		}
	}
}

// Pick implements caller.ServicePool.
func (p *pool) Pick(service string, avoid map[string]bool) (server, address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var best *poolServer
	for pass := 0; pass < 2 && best == nil; pass++ {
		for _, name := range p.sortedNames() {
			s := p.servers[name]
			if s.settings.Service != service || avoid[name] || s.address == "" || s.listedLeaving || now.Before(s.leavingUntil) {
				continue
			}
			// A server that failed lately is only picked if there is no other.
			if pass == 0 && now.Before(s.failedUntil) {
				continue
			}
			if best == nil || s.inProgress < best.inProgress || s.inProgress == best.inProgress && s.picks < best.picks {
				best = s
			}
		}
	}
	if best == nil {
		return "", "", false
	}
	best.inProgress++
	best.picks++
	return best.settings.Name, best.address, true
}

func (p *pool) sortedNames() []string {
	names := make([]string, 0, len(p.servers))
	for name := range p.servers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Done implements caller.ServicePool.
func (p *pool) Done(server string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[server]
	if s == nil {
		return
	}
	s.inProgress = max(0, s.inProgress-1)
	if failed {
		s.failedUntil = p.now().Add(failedServerBackoff)
	}
}

// applyHealth applies probe results of a peer or of this instance.
func (p *pool) applyHealth(now time.Time, reports []peer.ServerHealth) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range reports {
		s := p.servers[h.Server]
		if s == nil {
			continue
		}
		if h.Leaving {
			s.leavingUntil = now.Add(leavingReportValidity)
		}
		if h.Down {
			s.failedUntil = now.Add(failedServerBackoff)
		}
	}
}

// addresses returns the address of each server by name.
func (p *pool) addresses() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]string{}
	for name, s := range p.servers {
		out[name] = s.address
	}
	return out
}

// zone returns the availability zone of a server, or "" if it is unknown.
func (p *pool) zone(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		return s.settings.Zone
	}
	return ""
}

// probeServices probes the health of the plain services' servers that are
// assigned to this instance. Each server is probed by one instance of its zone.
func (n *Node) probeServices(now time.Time) {
	n.mu.Lock()
	alive := n.members.alive(now, n.aliveTimeout(), false, func(m peer.Member) bool { return m.Zone == n.self.Zone })
	n.mu.Unlock()
	for server, address := range n.pool.addresses() {
		if address == "" || n.pool.zone(server) != n.self.Zone || engine.Elect(server, alive) != n.self.Name {
			continue
		}
		go n.probe(server, address)
	}
}

func (n *Node) probe(server, address string) {
	leaving, err := n.services.Health(n.ctx, address)
	health := peer.ServerHealth{Server: server, Leaving: leaving, Down: err != nil}
	n.mu.Lock()
	changed := n.probeResults[server] != health
	n.probeResults[server] = health
	n.mu.Unlock()
	n.pool.applyHealth(n.cfg.Timer.Now(), []peer.ServerHealth{health})
	if changed {
		n.mesh.NotifyAll()
	}
}

// sweepClaims deletes old claims of one partition, on the leader only.
func (n *Node) sweepClaims(now time.Time) {
	n.mu.Lock()
	isLeader := n.electLeader(now) == n.self.Name
	partition := n.nextSweepPartition
	n.nextSweepPartition++
	n.mu.Unlock()
	if !isLeader {
		return
	}
	if _, err := n.claims.Sweep(n.ctx, partition); err != nil {
		n.log.WithError(err).Debug("failed to delete old claims")
	}
}
