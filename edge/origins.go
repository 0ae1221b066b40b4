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
	"github.com/chestnutstream/chestnutstream/timer"
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
	if writer == n.id {
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

// Limits of the search for the origin of a stream.
const (
	originSearchTime    = time.Second            // in all, while what can be asked has not responded
	originRetryInterval = 100 * time.Millisecond // between two passes
	softwareRowHead     = 60 * time.Millisecond  // in which the store alone is asked: while a service has one version that is enough
	originReadTimeout   = 400 * time.Millisecond // of a read of the store
	// retryAfterUnknownOrigin is the Retry-After when most instances do not know the origin:
	// only one that cannot be reached now may know it.
	retryAfterUnknownOrigin = 5 * time.Second
	// retryAfterIsolated is the Retry-After when this instance could not ask most others.
	retryAfterIsolated = 100 * time.Millisecond
)

// originSource tells how the origin of a stream was found.
type originSource string

const (
	originOwn       originSource = "own"       // this instance has begun the stream, or was sent its origin
	originRow       originSource = "row"       // the service has one version, by its row
	originInstance  originSource = "instance"  // another instance knows it
	originInstances originSource = "instances" // the service has one version, by most instances
	originStored    originSource = "stored"    // it is among the origins that are kept in the store
	originUnknown   originSource = "unknown"
)

// originSearch is the search for the origin of a stream that this instance does not know.
type originSearch struct {
	service   string
	requestID string
	stream    software.StreamKey
	responses int  // other instances that have responded in this pass
	rowRead   bool // the row of the service has been read since the search began
	allRead   bool // so have the origins that are kept in the store
}

// FindOrigin implements ingress.Dispatcher.
//
// What this instance remembers of a service may be older than the stream: it may have been
// suspended or cut off while servers of a new version joined. So that the service has one
// version counts only if its row, read since the request came, says so, or if the store
// cannot be read and most instances say so.
func (n *Node) FindOrigin(ctx context.Context, service, requestID string) (string, error) {
	s := &originSearch{service: service, requestID: requestID, stream: software.KeyOf(requestID)}
	ctx, cancel := context.WithTimeout(ctx, originSearchTime)
	defer cancel()
	version, source := n.knownOrigin(s, originOwn)
	for source == originUnknown {
		if version, source = n.searchOrigin(ctx, s); source != originUnknown || !n.maySearchAgain(ctx, s) {
			break
		}
		timer.Sleep(ctx, originRetryInterval)
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_stream_origins_total{source="` + string(source) + `"}`).Inc()
	if source == originUnknown {
		return "", n.unknownOrigin(s)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.origins.Record(n.boot(), software.Origin{Stream: s.stream, Software: version})
	return version, nil
}

// searchOrigin asks the store and the other instances once.
func (n *Node) searchOrigin(ctx context.Context, s *originSearch) (string, originSource) {
	row := n.softwareRead.start()
	head, cancel := context.WithTimeout(ctx, softwareRowHead)
	s.rowRead = row.wait(head) || s.rowRead
	cancel()
	if version, ok := n.soleSoftware(s.service); ok && s.rowRead {
		return version, originRow
	}
	var version string
	var found bool
	if version, s.responses, found = n.requestOrigin(ctx, s.stream); found {
		return version, originInstance
	}
	n.mu.Lock()
	down, most := n.storeState.down, n.isMajority(s.responses)
	n.mu.Unlock()
	if !down || !most {
		s.rowRead = row.wait(ctx) || s.rowRead
	}
	switch version, ok := n.soleSoftware(s.service); {
	case ok && s.rowRead:
		return version, originRow
	case ok && most:
		return version, originInstances
	case !s.rowRead:
		return "", originUnknown
	}
	s.allRead = n.originRead.start().wait(ctx) || s.allRead
	return n.knownOrigin(s, originStored)
}

// knownOrigin returns the origin of the stream if this instance knows it, from a source.
func (n *Node) knownOrigin(s *originSearch, source originSource) (string, originSource) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version, ok := n.origins.Find(n.boot(), s.stream); ok {
		return version, source
	}
	return "", originUnknown
}

// soleSoftware returns the only software version of a service that this instance knows.
func (n *Node) soleSoftware(service string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions.Sole(n.boot(), service)
}

// isMajority reports whether this instance and a number of others are most instances of
// the region. It is false while this instance has not read how many there are. Callers hold
// mu.
func (n *Node) isMajority(others int) bool {
	return n.regionInstances > 0 && 2*(others+1) > n.regionInstances
}

// maySearchAgain reports whether another pass may find the origin: something has responded,
// but not all that may know it.
func (n *Node) maySearchAgain(ctx context.Context, s *originSearch) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	complete := s.allRead && s.responses+1 >= n.regionInstances
	return ctx.Err() == nil && s.requestID != "" && !complete && (s.rowRead || s.responses > 0)
}

// unknownOrigin returns the error for a stream whose origin was not found.
func (n *Node) unknownOrigin(s *originSearch) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	err := &ingress.NoServerError{Reason: "the software version that began the stream is unknown", RetryAfter: retryAfterUnknownOrigin}
	if !s.allRead && !n.isMajority(s.responses) {
		err.RetryAfter = retryAfterIsolated
	}
	return err
}

// originWait is an origin request to all other instances.
type originWait struct {
	asked     int           // instances
	responses int           // of them
	done      chan struct{} // closed when one has responded with the origin, or all have responded
	found     bool
	software  string // that began the stream, if found
}

// requestOrigin requests the origin of a stream from all other instances. It returns how
// many have responded.
func (n *Node) requestOrigin(ctx context.Context, stream software.StreamKey) (version string, responses int, found bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastOriginID++
	id, w := n.lastOriginID, &originWait{done: make(chan struct{})}
	for _, name := range n.mesh.Peers() {
		if n.mesh.Send(name, func(b *instance.Bundle) {
			b.OriginRequests = append(b.OriginRequests, instance.OriginRequest{ID: id, Stream: stream})
		}) {
			w.asked++
		}
	}
	if w.asked == 0 {
		return "", 0, false
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
	return w.software, w.responses, w.found
}

// handleOrigins handles the messages about origins from another instance. Callers hold
// mu.
func (n *Node) handleOrigins(from string, b instance.Bundle) {
	if len(b.StreamOrigins)+len(b.OriginRequests)+len(b.OriginResponses) == 0 {
		return
	}
	boot := n.boot()
	writes := len(b.StreamOrigins) > 0 && n.originWriter() == n.id
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
		rows := n.knownSoftwareRows() // the sender may know older ones
		n.mesh.Send(from, func(b *instance.Bundle) {
			b.OriginResponses, b.SoftwareRows = append(b.OriginResponses, responses...), append(b.SoftwareRows, rows...)
		})
	}
	for _, r := range b.OriginResponses {
		w := n.originWaits[r.ID]
		if w == nil || w.found || w.responses == w.asked {
			continue
		}
		w.responses++
		if r.Known {
			w.software, w.found = r.Software, true
		}
		if w.found || w.responses == w.asked {
			close(w.done)
		}
	}
}
