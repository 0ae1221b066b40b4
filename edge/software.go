package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/software"
)

// Callers take up a broken stream by a new request, mostly at another instance, and the
// one that began the stream may have ended. While a service has servers of several
// software versions, each instance sends the version of the streams that it begins to a
// few others, and asks all others for those that it does not know.
const (
	originTimeout      = 150 * time.Millisecond // for the responses to an origin request, which are sent at once
	originKeepers      = 3                      // instances that an origin is sent to
	minStreamRetention = 30 * time.Second       // for which the origin of a stream is kept, at least
	unlimitedStream    = 10 * time.Minute       // assumed length of a stream without a time limit
)

// streamRetention returns how long after its first event a stream may be taken up: until
// the end of the caller's requests, of which the last one may last as long as the first.
func streamRetention(t *chestnutstream.RouteTable) time.Duration {
	if t == nil {
		return minStreamRetention
	}
	return max(2*cmp.Or(t.MaxStreamTime, unlimitedStream), minStreamRetention)
}

// mayRun reports whether a server may run a request: one of another software version
// cannot go on with a stream.
func mayRun(s *fleet.Server, p ingress.PlacementRequest) bool {
	return !p.Continues || (p.Software != "" && s.Software == p.Software)
}

// excludedServers returns the servers that a request is not to be sent to: those to
// avoid, and those that may not run it. Callers hold mu.
func (n *Node) excludedServers(p ingress.PlacementRequest) map[string]bool {
	if !p.Continues {
		return p.Avoid
	}
	excluded := maps.Clone(p.Avoid)
	if excluded == nil {
		excluded = map[string]bool{}
	}
	for _, s := range n.fleet.Service(p.Service) {
		if !mayRun(s, p) {
			excluded[s.ID] = true
		}
	}
	return excluded
}

// hasSoftware reports whether a service has a usable server of a software version.
// Callers hold mu.
func (n *Node) hasSoftware(service, software string) bool {
	for _, s := range n.fleet.Service(service) {
		if software != "" && s.Software == software && s.Usable() {
			return true
		}
	}
	return false
}

// observeSoftware records the software versions of the listed servers. Callers hold mu.
func (n *Node) observeSoftware() {
	boot := n.boot()
	listed := map[string]map[string]bool{}
	for _, s := range n.fleet.Servers() {
		if listed[s.Service] == nil {
			listed[s.Service] = map[string]bool{}
		}
		listed[s.Service][s.Software] = true
	}
	mixed := n.mixedServices(boot, listed)
	n.versions.Observe(boot, listed)
	if n.mixedServices(boot, listed) > mixed {
		for _, o := range n.origins.All(boot) {
			n.sendOrigin(o)
		}
	}
}

// mixedServices returns the number of services with several versions. Callers hold mu.
func (n *Node) mixedServices(boot time.Duration, listed map[string]map[string]bool) int {
	count := 0
	for service := range listed {
		if n.versions.Mixed(boot, service) {
			count++
		}
	}
	return count
}

// RecordOrigin implements ingress.Dispatcher.
func (n *Node) RecordOrigin(a ingress.Assignment, requestID string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	boot, o := n.boot(), software.Origin{Stream: software.KeyOf(requestID), Software: a.Server.Software}
	n.origins.Record(boot, o)
	if n.versions.Mixed(boot, a.Server.Service) {
		n.sendOrigin(o)
	}
}

// sendOrigin sends an origin to its keepers: one instance of this zone, as callers take
// streams up in their zone, and others anywhere. Callers hold mu.
func (n *Node) sendOrigin(o software.Origin) {
	rank := func(name string) uint64 { return xxhash.Sum64String(name) ^ uint64(o.Stream) }
	peers := slices.DeleteFunc(n.mesh.Peers(), func(name string) bool { return n.peers[name] == nil || n.peers[name].draining })
	slices.SortFunc(peers, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	if i := slices.IndexFunc(peers, func(name string) bool { return n.peers[name].member.Zone == n.cfg.Zone }); i > 0 {
		peers[0], peers[i] = peers[i], peers[0]
	}
	for _, name := range peers[:min(originKeepers, len(peers))] {
		n.mesh.Send(name, func(b *instance.Bundle) { b.StreamOrigins = append(b.StreamOrigins, o) })
	}
}

// originWait is an origin request to all other instances.
type originWait struct {
	pending  int           // instances that have not responded
	done     chan struct{} // closed when one has responded with the origin, or all have responded
	found    bool
	software string // that began the stream, if found
}

// FindOrigin implements ingress.Dispatcher.
func (n *Node) FindOrigin(ctx context.Context, service, requestID string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	boot, stream := n.boot(), software.KeyOf(requestID)
	if version, ok := n.origins.Find(boot, stream); ok {
		return version, true
	}
	if version, ok := n.versions.Sole(boot, service); ok {
		return version, true
	}
	if requestID == "" {
		return "", false
	}
	version, ok := n.requestOrigin(ctx, stream)
	if ok {
		n.origins.Record(n.boot(), software.Origin{Stream: stream, Software: version})
	}
	return version, ok
}

// requestOrigin requests the origin of a stream from all other instances. Callers hold
// mu, which is released meanwhile.
func (n *Node) requestOrigin(ctx context.Context, stream software.StreamKey) (version string, ok bool) {
	n.lastOriginID++
	id, w := n.lastOriginID, &originWait{done: make(chan struct{})}
	for _, name := range n.mesh.Peers() {
		if n.mesh.Send(name, func(b *instance.Bundle) {
			b.OriginRequests = append(b.OriginRequests, instance.OriginRequest{ID: id, Stream: stream})
		}) {
			w.pending++
		}
	}
	if w.pending == 0 {
		return "", false
	}
	n.originWaits[id] = w
	n.mu.Unlock()
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
	case <-timeout.C:
	}
	n.mu.Lock()
	delete(n.originWaits, id)
	return w.software, w.found
}

// handleOrigins handles the messages about origins from another instance. Callers hold
// mu.
func (n *Node) handleOrigins(from string, b instance.Bundle) {
	if len(b.StreamOrigins)+len(b.OriginRequests)+len(b.OriginResponses) == 0 {
		return
	}
	boot := n.boot()
	for _, o := range b.StreamOrigins {
		n.origins.Record(boot, o)
	}
	var responses []instance.OriginResponse
	for _, r := range b.OriginRequests {
		version, ok := n.origins.Find(boot, r.Stream)
		responses = append(responses, instance.OriginResponse{ID: r.ID, Known: ok, Software: version})
	}
	if len(responses) > 0 {
		n.mesh.Send(from, func(b *instance.Bundle) { b.OriginResponses = append(b.OriginResponses, responses...) })
	}
	for _, r := range b.OriginResponses {
		w := n.originWaits[r.ID]
		if w == nil || w.found || w.pending == 0 {
			continue
		}
		w.pending--
		if r.Known {
			w.software, w.found = r.Software, true
		}
		if w.found || w.pending == 0 {
			close(w.done)
		}
	}
}
