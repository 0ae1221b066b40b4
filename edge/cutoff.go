package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
)

// An instance may lose its connections to all servers of a service, while callers and the
// other instances still reach it. It then forwards requests to an instance that has
// servers. Whether the servers are down for all shows at once: the other instance says so.
const (
	probeInterval        = 250 * time.Millisecond // between connections that are tried to servers of a service that is cut off
	probeTimeout         = 160 * time.Millisecond
	maxConcurrentProbes  = 16
	peerFailurePause     = 300 * time.Millisecond // without forwarding to an instance that gave no connection or response
	peerRejectionPause   = 500 * time.Millisecond // without forwarding for a service to an instance that could not place a request
	maxUnreachable       = 2                      // servers that a request tries to connect to before it is forwarded
	cutOffRejectionRetry = 300 * time.Millisecond // Retry-After of a request that is forwarded to an instance that is cut off itself
)

// forwardAtOnce returns an instance for a request whose service this instance is cut off
// from. Callers hold mu.
func (n *Node) forwardAtOnce(p ingress.PlacementRequest) (ingress.Assignment, bool) {
	if !n.cutOff[p.Service] && p.Unreachable < maxUnreachable {
		return ingress.Assignment{}, false
	}
	return n.forward(p)
}

// forwardUnplaced returns an instance for a request that no server may take, if this
// instance reaches less than half of them. While it reaches most, the others have no more
// room than it finds itself. Callers hold mu.
func (n *Node) forwardUnplaced(p ingress.PlacementRequest) (ingress.Assignment, bool) {
	if unreachable, usable := n.fleet.Reachability(p.Service); 2*unreachable <= usable {
		return ingress.Assignment{}, false
	}
	return n.forward(p)
}

// forward chooses the instance that a request is forwarded to: of two that may take it the
// one with fewer forwarded requests, from this zone if there are any. Callers hold mu.
func (n *Node) forward(p ingress.PlacementRequest) (ingress.Assignment, bool) {
	choices := n.forwardTargets(p)
	if len(choices) == 0 {
		return ingress.Assignment{}, false
	}
	chosen, other := choices[rand.IntN(len(choices))], choices[rand.IntN(len(choices))]
	if other.forwarded < chosen.forwarded {
		chosen = other
	}
	chosen.forwarded++
	n.metrics.GetOrCreateCounter(`chestnutstream_forwarded_requests_total{service=` + strconv.Quote(p.Service) + `}`).Inc()
	return ingress.Assignment{Peer: chosen.member.Name, Server: chestnutstream.Backend{Service: p.Service, Address: chosen.member.Address}, Target: p.Target}, true
}

// forwardTargets returns the instances that may take a request, of this zone if there are any.
// Callers hold mu.
func (n *Node) forwardTargets(p ingress.PlacementRequest) []*peer {
	if p.Forwarded {
		return nil
	}
	now := n.now()
	var near, far []*peer
	for _, name := range n.mesh.Peers() {
		peer := n.peers[name]
		if peer == nil || peer.cutOff == nil || peer.draining || p.AvoidPeers[name] || peer.cutOff[p.Service] || now.Before(peer.forwardAfter) || now.Before(peer.forwardServiceAfter[p.Service]) {
			continue
		}
		if peer.member.Zone == n.cfg.Zone {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	if len(near) == 0 {
		return far
	}
	return near
}

// recordForward records the outcome of forwarding a request. Callers hold mu.
func (n *Node) recordForward(a ingress.Assignment, o fleet.Outcome) {
	p := n.peers[a.Peer]
	if p == nil {
		return
	}
	switch o {
	case fleet.Refused:
		if p.forwardServiceAfter == nil {
			p.forwardServiceAfter = map[string]time.Time{}
		}
		p.forwardServiceAfter[a.Server.Service] = n.now().Add(peerRejectionPause)
	case fleet.Unreachable, fleet.Failed:
		p.forwardAfter = n.now().Add(peerFailurePause)
	}
}

// updateCutOff finds the services that this instance is cut off from, tells the other
// instances of changes, and starts to probe the servers. Callers hold mu.
func (n *Node) updateCutOff() {
	changed := false
	for _, service := range n.fleet.Services() {
		cut := n.fleet.CutOff(service)
		if cut == n.cutOff[service] {
			continue
		}
		changed = true
		n.log.WithFields(log.Fields{"service": service, "cut-off": cut}).Warn("reachability of a service changed")
		if !cut {
			delete(n.cutOff, service)
			continue
		}
		n.cutOff[service] = true
		n.metrics.GetOrCreateCounter(`chestnutstream_cut_off_total{service=` + strconv.Quote(service) + `}`).Inc()
		if n.probing[service] {
			continue
		}
		n.probing[service] = true
		go n.probeServers(service)
	}
	if changed {
		services := slices.Sorted(maps.Keys(n.cutOff))
		n.mesh.Broadcast(func(b *instance.Bundle) { b.HasCutOff, b.CutOff = true, services })
	}
}

// probeServers connects to one server of a service after another while this instance is
// cut off from it, and then once to each that it still does not reach, so that the load
// does not return to the first one alone.
func (n *Node) probeServers(service string) {
	for i := 0; n.ctx.Err() == nil; i++ {
		n.sleep(probeInterval)
		n.mu.Lock()
		var servers []chestnutstream.Backend // copies, as they are used without mu
		for _, s := range n.fleet.Unreachable(service) {
			servers = append(servers, s.Backend)
		}
		done := !n.cutOff[service] || len(servers) == 0
		if done {
			delete(n.probing, service)
		}
		n.mu.Unlock()
		if done {
			return
		}
		if !n.probe(servers[i%len(servers)]) {
			continue
		}
		var wg sync.WaitGroup
		limit := make(chan struct{}, maxConcurrentProbes)
		for _, s := range servers {
			wg.Add(1)
			limit <- struct{}{}
			go func() { defer wg.Done(); n.probe(s); <-limit }()
		}
		wg.Wait()
		n.wakeControl()
	}
}

// probe tries to connect to a server.
func (n *Node) probe(server chestnutstream.Backend) bool {
	ok := n.canConnect(server)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.RecordConnection(n.now(), server.ID, ok)
	return ok
}

func (n *Node) canConnect(server chestnutstream.Backend) bool {
	ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
	defer cancel()
	conn, err := n.dial(ctx, "tcp", server.Address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
