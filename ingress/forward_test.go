package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// forwardingServer returns a server that reaches no backend server and forwards requests
// to peers, each of which is another server or a stand-in for one.
func forwardingServer(t *testing.T, peers ...string) *testServer {
	f := newTestServer(t)
	for i, address := range peers {
		f.dispatcher.peers = append(f.dispatcher.peers, Assignment{Peer: fmt.Sprint("edge-", i), Server: chestnutstream.Backend{Service: "s", Address: address}})
	}
	return f
}

// peerAddress returns the address at which a server takes forwarded requests.
func (f *testServer) peerAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: f.handler.Forwarded()}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

func TestForwardedRequestReachesAServerUnchanged(t *testing.T) {
	b := newBackend(t, "i-1", respondOK)
	f := forwardingServer(t, newTestServer(t, b).peerAddress(t))
	resp, body, err := f.send(t, "POST", "/order/a%2Fb?q=1", "the body", "X-Chestnutstream-Deadline-Ms", "900", "Chestnutstream-Tried-Servers", "i-1", "Other", "kept")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "from i-1")
	for name := range resp.Header {
		assert.Assert(t, !strings.HasPrefix(name, "Chestnutstream-"), "%s reaches the caller", name)
	}
	r := b.requests[0]
	assert.Equal(t, r.RequestURI, "/order/a%2Fb?q=1")
	assert.Equal(t, r.Host, "h.example")
	assert.Equal(t, b.bodies[0], "the body")
	assert.Equal(t, r.Header.Get("Other"), "kept")
	for name := range r.Header {
		assert.Assert(t, !strings.HasPrefix(name, "Chestnutstream-"), "%s reaches the server", name)
	}
	var ms int
	_, err = fmt.Sscan(r.Header.Get("X-Chestnutstream-Deadline-Ms"), &ms)
	assert.NilError(t, err)
	assert.Assert(t, ms > 500 && ms <= 900, "%d ms left", ms)
}

func TestOutcomeOfForwardedRequest(t *testing.T) {
	closes := func(net.Conn, *http.Request, string) bool { return false }
	fails := func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, "500 Oops", "") }
	tests := []struct {
		name    string
		path    string
		respond responder // of the only server of the first instance; nil: it has none
		status  int
		second  int // requests at the server of the second instance
	}{
		{"not run, the next instance takes it", "/order/1", nil, http.StatusOK, 1},
		{"may have run", "/order/1", closes, http.StatusBadGateway, 0},
		{"a server's own failure", "/order/1", fails, http.StatusInternalServerError, 0},
		{"repeatable, may have run", "/look/1", closes, http.StatusBadGateway, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var backends []*backend
			if tt.respond != nil {
				backends = append(backends, newBackend(t, "i-1", tt.respond))
			}
			second := newBackend(t, "i-2", respondOK)
			f := forwardingServer(t, newTestServer(t, backends...).peerAddress(t), newTestServer(t, second).peerAddress(t))
			resp, body, err := f.send(t, "POST", tt.path, "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status, body)
			assert.Equal(t, second.requestCount(), tt.second)
		})
	}
}

func TestRequestIsNotForwardedTwice(t *testing.T) {
	last := newBackend(t, "i-1", respondOK)
	middle := forwardingServer(t, newTestServer(t, last).peerAddress(t))
	f := forwardingServer(t, middle.peerAddress(t))
	resp, _, err := f.send(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, last.requestCount(), 0)
}

func TestOrderIsNotSentAgainWhenAnInstanceEnds(t *testing.T) {
	ends := newBackend(t, "edge-0", func(net.Conn, *http.Request, string) bool { return false })
	second := newBackend(t, "i-2", respondOK)
	f := forwardingServer(t, ends.l.Addr().String(), newTestServer(t, second).peerAddress(t))
	resp, _, err := f.send(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, second.requestCount(), 0)
}

func TestForwardedStreamContinuesAtAnotherInstance(t *testing.T) {
	breaks := newStreamBackend(t, "i-1", "v1", 3)
	other, same := newStreamBackend(t, "i-2", "v2", 0), newStreamBackend(t, "i-3", "v1", 0)
	first := newTestServer(t, breaks)
	f := forwardingServer(t, first.peerAddress(t), newTestServer(t, other, same).peerAddress(t))
	_, body, err := f.send(t, "POST", "/ask/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(body, "\n\n"), 6)
	assert.Equal(t, other.requestCount(), 0)
	assert.Equal(t, f.dispatcher.origins["r-1"], "v1")
}

func TestCallerOfForwardedRequestLeaves(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeEvents(c, 0, 1)
		_, _ = io.Copy(io.Discard, c) // until the instance closes the connection
		return false
	})
	f := forwardingServer(t, newTestServer(t, b).peerAddress(t))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.URL, "http://"))
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /ask/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	_ = conn.Close()
	awaitDone(t, f.handler)
}

func TestHangingStreamOfUnreachableServerIsResumed(t *testing.T) {
	tests := []struct {
		name        string
		unreachable bool
		servers     int // that receive the request
	}{
		{"unreachable", true, 2},
		{"silent, but reachable", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			silent := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
				writeStreamHeader(c, r)
				writeEvents(c, 0, 2)
				time.Sleep(2 * minStallTime)
				writeEvents(c, 2, 6)
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			})
			other := newStreamBackend(t, "i-2", "", 0)
			f := newTestServer(t, silent, other)
			f.dispatcher.unreachable = map[string]bool{"i-1": tt.unreachable}
			_, body, err := f.send(t, "POST", "/ask/1", "x")
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(body, "\n\n"), 6)
			assert.Equal(t, silent.requestCount()+other.requestCount(), tt.servers)
		})
	}
}
