package ingress

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream/platform"
)

// Limits of what a connection remembers.
const (
	maxRecentRequests = 8
	maxRejections     = 64 // a connection with as many is closed, since it must not forget any
)

// serverConn is a connection to a backend server or another instance that remembers the
// latest requests sent on it, and all that were rejected. A server may send a second response
// to one of them late, at the point where the response to the next request is expected.
type serverConn struct {
	net.Conn

	mu       sync.Mutex
	requests []string // IDs, the latest one last
	rejected []uint64 // hashes of the IDs of rejected requests
	sent     int      // number of requests
	written  bool     // bytes of the latest request were written
	closed   bool
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return 0, fmt.Errorf("write: %w", net.ErrClosed)
	}
	c.written = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		err = fmt.Errorf("write: %w", err)
	}
	return n, err
}

// abandon closes the connection, on which a response to an earlier request may still come.
// The transport may have given it to the next request already.
func (c *serverConn) abandon() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
}

// withdraw reports whether no byte of a request was written, and closes the connection in
// that case, so that none will be. seq is the request's number on the connection, which is
// given to the next request only when this one has been written.
func (c *serverConn) withdraw(seq int) bool {
	c.mu.Lock()
	if c.written || c.sent != seq {
		c.mu.Unlock()
		return false
	}
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
	return true
}

// recordRejection records that the server has rejected a request.
func (c *serverConn) recordRejection(id string) {
	c.mu.Lock()
	c.rejected = append(c.rejected, xxhash.Sum64String(id))
	full := len(c.rejected) >= maxRejections
	c.mu.Unlock()
	if full {
		c.abandon()
	}
}

// hasRejected reports whether the server has rejected a request with an ID. A late copy of
// that rejection would bear the right ID if the request were sent here again.
func (c *serverConn) hasRejected(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rejected) > 0 && slices.Contains(c.rejected, xxhash.Sum64String(id))
}

// recordRequest records that a request is about to be sent. It returns its number on the
// connection and the IDs of those before it.
func (c *serverConn) recordRequest(id string) (seq int, earlier []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	earlier = c.requests
	if len(earlier) == maxRecentRequests {
		earlier = earlier[1:]
	}
	c.requests, c.written = append(slices.Clone(earlier), id), false
	c.sent++
	return c.sent, earlier
}

// rejection is a server's response to a request that it has not run.
type rejection struct {
	server         string
	status         int
	basis          platform.RejectionBasis
	requestsBefore int // on the connection
}

// String returns the text for logs.
func (r rejection) String() string {
	return fmt.Sprintf("%s %d by %s after %d requests", r.server, r.status, r.basis, r.requestsBefore)
}

// attribution tells which request a response belongs to, by the ID that it echoes.
type attribution string

// The attributions.
const (
	ownResponse       attribution = "own"
	earlierResponse   attribution = "earlier" // another request's that was sent on the same connection
	foreignResponse   attribution = "foreign" // another request's
	anonymousResponse attribution = "none"    // no ID, or several
)

// attribute tells which request the response to a request belongs to. earlier are the
// requests that were sent on its connection before.
func attribute(h http.Header, id string, earlier []string) attribution {
	ids := h[platform.HeaderRequestID]
	switch {
	case len(ids) != 1 || ids[0] == "":
		return anonymousResponse
	case ids[0] == id:
		return ownResponse
	case slices.Contains(earlier, ids[0]):
		return earlierResponse
	}
	return foreignResponse
}

// logAttribution counts a response by the request that it belongs to, and logs one that
// may not belong to this request.
func (x *exchange) logAttribution(a Assignment, br *backendResponse) {
	h := br.resp.Header
	kind := "response"
	if basis, ok := platform.ReadRejection(br.resp.StatusCode, h, a.Server.ID); ok {
		kind = "rejection"
		x.server.cfg.Metrics.GetOrCreateCounter(`chestnutstream_server_rejections_total{basis="` + string(basis) + `"}`).Inc()
	}
	x.server.cfg.Metrics.GetOrCreateCounter(`chestnutstream_server_responses_total{kind="` + kind + `",belongs_to="` + string(br.belongs) + `"}`).Inc()
	resent := slices.Contains(br.earlier, x.header.ID)
	if br.belongs == ownResponse && !resent {
		return
	}
	x.server.cfg.Log.WithFields(log.Fields{
		"request-id": x.header.ID, "server": cmp.Or(a.Peer, a.Server.ID), "kind": kind, "belongs-to": string(br.belongs), "response-id": h.Get(platform.HeaderRequestID),
		"status": br.resp.StatusCode, "earlier-requests": len(br.earlier), "sent-before": resent,
	}).Warn("response may belong to another request")
}
