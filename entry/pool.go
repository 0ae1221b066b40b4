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

// avoidFailedFor is how long a server is avoided after a call to it failed.
const avoidFailedFor = 2 * time.Second

// rumourFor is how long a peer's word that a server is leaving or down holds.
const rumourFor = 5 * time.Second

// pool chooses among the backend servers of plain services: the live one with
// the fewest calls from here in progress.
type pool struct {
	now func() time.Time

	mu      sync.Mutex
	servers map[string]*poolServer
}

type poolServer struct {
	settings chestnutstream.ServerSettings
	address  string
	listed   bool // leaving by the platform's list
	leaving  time.Time
	down     time.Time // until then
	calls    int
	picked   uint64
}

func newPool(now func() time.Time) *pool {
	return &pool{now: now, servers: map[string]*poolServer{}}
}

func (p *pool) set(servers []chestnutstream.ServerSettings, addresses map[string]string, leaving map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	named := map[string]bool{}
	for _, settings := range servers {
		named[settings.Name] = true
		s := p.servers[settings.Name]
		if s == nil {
			s = &poolServer{}
			p.servers[settings.Name] = s
		}
		s.settings, s.address, s.listed = settings, settings.Address, leaving[settings.Name]
		if a := addresses[settings.Name]; a != "" {
			s.address = a
		}
	}
	for name := range p.servers {
		if !named[name] {
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
		for _, name := range p.names() {
			s := p.servers[name]
			if s.settings.Service != service || avoid[name] || s.address == "" || s.listed || now.Before(s.leaving) {
				continue
			}
			// A server that failed is taken only when there is no other.
			if pass == 0 && now.Before(s.down) {
				continue
			}
			if best == nil || s.calls < best.calls || s.calls == best.calls && s.picked < best.picked {
				best = s
			}
		}
	}
	if best == nil {
		return "", "", false
	}
	best.calls++
	best.picked++
	return best.settings.Name, best.address, true
}

func (p *pool) names() []string {
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
	s.calls = max(0, s.calls-1)
	if failed {
		s.down = p.now().Add(avoidFailedFor)
	}
}

// heard takes what a peer, or this instance, found out about servers.
func (p *pool) heard(now time.Time, states []peer.ServiceState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, st := range states {
		s := p.servers[st.Server]
		if s == nil {
			continue
		}
		if st.Leaving {
			s.leaving = now.Add(rumourFor)
		}
		if st.Down {
			s.down = now.Add(avoidFailedFor)
		}
	}
}

// all returns the servers' settings and addresses.
func (p *pool) all() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]string{}
	for name, s := range p.servers {
		out[name] = s.address
	}
	return out
}

func (p *pool) zone(server string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		return s.settings.Zone
	}
	return ""
}

// probeServices asks the plain servers that this instance looks after whether
// they are leaving. Each server is probed by one instance of its zone.
func (n *Node) probeServices(now time.Time) {
	n.mu.Lock()
	zone := n.members.alive(now, n.aliveLimit(), false, func(m peer.Member) bool { return m.Zone == n.self.Zone })
	n.mu.Unlock()
	for server, address := range n.pool.all() {
		if address == "" || n.pool.zone(server) != n.self.Zone || engine.Elect(server, zone) != n.self.Name {
			continue
		}
		go n.probe(server, address)
	}
}

func (n *Node) probe(server, address string) {
	leaving, err := n.services.Health(n.ctx, address)
	state := peer.ServiceState{Server: server, Leaving: leaving, Down: err != nil}
	n.mu.Lock()
	changed := n.probes[server] != state
	n.probes[server] = state
	n.mu.Unlock()
	n.pool.heard(n.cfg.Timer.Now(), []peer.ServiceState{state})
	if changed {
		n.mesh.NotifyAll()
	}
}

// sweepClaims deletes old claims, one partition at a time, on one instance of
// the region.
func (n *Node) sweepClaims(now time.Time) {
	n.mu.Lock()
	mine := n.lead(now) == n.self.Name
	partition := n.sweepNext
	n.sweepNext++
	n.mu.Unlock()
	if !mine {
		return
	}
	if _, err := n.claims.Sweep(n.ctx, partition); err != nil {
		n.log.WithError(err).Debug("claims not swept")
	}
}
