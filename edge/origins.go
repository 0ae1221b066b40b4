package edge

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/software"
)

// Callers take up a broken stream by a new request, mostly at another instance, and the
// one that began the stream may have ended. While a service has servers of several
// software versions, each instance sends the origins of the streams that it begins to a
// few others, and asks all others for those that it does not know.
const (
	originTimeout = 150 * time.Millisecond // for the responses to an origin request, which are sent at once
	originKeepers = 2                      // instances that an origin is sent to, besides the writer of the zone
)

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

// sendOrigin sends an origin to the writer of this zone, and to its keepers. Callers hold
// mu.
func (n *Node) sendOrigin(o software.Origin) {
	rank := func(name string) uint64 { return xxhash.Sum64String(name) ^ uint64(o.Stream) }
	writer := n.originWriter()
	if writer == n.cfg.Instance {
		n.queueOrigin(o)
	}
	peers := slices.DeleteFunc(n.mesh.Peers(), func(name string) bool {
		return name == writer || n.peers[name] == nil || n.peers[name].draining
	})
	slices.SortFunc(peers, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	for _, name := range append(peers[:min(originKeepers, len(peers))], writer) {
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
	if !ok {
		n.awaitOriginRows(ctx)
		return n.origins.Find(n.boot(), stream)
	}
	n.origins.Record(n.boot(), software.Origin{Stream: stream, Software: version})
	return version, true
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
	writes := len(b.StreamOrigins) > 0 && n.originWriter() == n.cfg.Instance
	for _, o := range b.StreamOrigins {
		n.origins.Record(boot, o)
		if p := n.peers[from]; writes && p.member.Zone == n.cfg.Zone {
			n.queueOrigin(o)
		}
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
