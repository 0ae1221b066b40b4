package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
)

// writeRejection writes the response of a server that has not run the requests ids.
func writeRejection(conn net.Conn, status int, ids ...string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Chestnutstream-Not-Executed: 1\r\nX-Chestnutstream-Server-Load: 64,9,64\r\nRetry-After: 3\r\n", status, http.StatusText(status))
	for _, id := range ids {
		_, _ = fmt.Fprintf(conn, "X-Chestnutstream-Request-Id: %s\r\n", id)
	}
	_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
}

// A server that runs the request sends a rejection that may be another request's first.
func TestRejectionOfAnotherRequestIsNotBelieved(t *testing.T) {
	rejections := []struct {
		name   string
		status int
		ids    []string
	}{
		{"server full", http.StatusServiceUnavailable, []string{"r-0"}},
		{"adapter not loaded", http.StatusMisdirectedRequest, []string{"r-0"}},
		{"too many requests", http.StatusTooManyRequests, []string{"r-0"}},
		{"bad request", http.StatusBadRequest, []string{"r-0"}},
		{"no id", http.StatusServiceUnavailable, nil},
		{"empty id", http.StatusServiceUnavailable, []string{""}},
		{"two ids", http.StatusServiceUnavailable, []string{"r-1", "r-0"}},
	}
	routes := []struct {
		path       string
		repeatable bool
	}{
		{"/order/1", false},
		{"/once/1", false},
		{"/look/1", true},
		{"/ask/1", true},
	}
	for _, tt := range rejections {
		for _, route := range routes {
			t.Run(tt.name+" "+route.path, func(t *testing.T) {
				runs := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
					writeRejection(c, tt.status, tt.ids...)
					return true
				})
				other := newBackend(t, "i-2", respondOK)
				f := newTestServer(t, runs, other)
				resp, body, err := f.send(t, "POST", route.path, "x")
				assert.NilError(t, err)
				if route.repeatable {
					assert.Equal(t, resp.StatusCode, http.StatusOK)
					assert.Equal(t, body, "from i-2")
				} else {
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
					assert.Equal(t, other.requestCount(), 0, "a non-idempotent request was sent to a second server")
				}
				first := f.dispatcher.results[0]
				assert.Assert(t, first.Outcome != fleet.Refused && first.Load == nil && !first.NotLoaded && !first.NoRoom, "%+v", first)
				assert.Equal(t, first.Backpressure, chestnutstream.Backpressure{})
			})
		}
	}
}

// repeatsRejections returns a server that rejects the first request on each connection, and
// sends the rejection once more when it has begun to run the next one.
func repeatsRejections(t *testing.T, id string, status int) *backend {
	var mu sync.Mutex
	rejected := map[net.Conn]string{}
	return newBackend(t, id, func(c net.Conn, r *http.Request, id string) bool {
		mu.Lock()
		earlier, ok := rejected[c]
		rejected[c] = r.Header.Get("X-Chestnutstream-Request-Id")
		mu.Unlock()
		if !ok {
			writeRejection(c, status, r.Header.Get("X-Chestnutstream-Request-Id"))
			return true
		}
		if earlier != "" {
			writeRejection(c, status, earlier)
			time.Sleep(20 * time.Millisecond)
		}
		mu.Lock()
		rejected[c] = ""
		mu.Unlock()
		return writeResponse(c, r, "200 OK", fmt.Sprintf("%s ran %s", id, r.Header.Get("X-Chestnutstream-Request-Id")))
	})
}

func TestConnectionOutOfStepIsNotUsedAgain(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Chestnutstream-Request-Id")
		if id == "r-0" {
			writeRejection(c, http.StatusServiceUnavailable, "r-before")
			time.Sleep(20 * time.Millisecond)
		}
		return writeResponse(c, r, "200 OK", "of "+id)
	})
	f := newTestServer(t, b)
	for i := range 4 {
		id := fmt.Sprintf("r-%d", i)
		resp, body, err := f.send(t, "POST", "/order/1", "x", "X-Chestnutstream-Request-Id", id)
		assert.NilError(t, err)
		if i == 0 {
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
			continue
		}
		assert.Equal(t, resp.StatusCode, http.StatusOK, body)
		assert.Equal(t, body, "of "+id)
	}
}

func TestLateCopyOfOwnRejectionIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1", "/look/1"} {
		t.Run(path, func(t *testing.T) {
			var mu sync.Mutex
			arrivals := 0
			earlier := map[net.Conn]bool{}
			b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, id string) bool {
				mu.Lock()
				arrivals++
				first, rejectedHere := arrivals == 1, earlier[c]
				earlier[c] = true
				mu.Unlock()
				if first {
					writeRejection(c, http.StatusMisdirectedRequest, "r-1")
					return true
				}
				if rejectedHere {
					writeRejection(c, http.StatusMisdirectedRequest, "r-1")
					time.Sleep(20 * time.Millisecond)
				}
				return respondOK(c, r, id)
			})
			f := newTestServer(t, b)
			resp, body, err := f.send(t, "POST", path, "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, body)
			assert.Equal(t, body, "from i-1")
			assert.Equal(t, b.requestCount(), 2)
		})
	}
}

// The extra responses of a server are no sign that it fails requests.
func TestServerIsNotJudgedByExtraResponses(t *testing.T) {
	f := newTestServer(t, repeatsRejections(t, "i-1", http.StatusServiceUnavailable))
	for i := range 2 {
		_, _, err := f.send(t, "POST", "/order/1", "x", "X-Chestnutstream-Request-Id", fmt.Sprintf("r-%d", i))
		assert.NilError(t, err)
	}
	for _, r := range f.dispatcher.results {
		assert.Assert(t, r.Outcome != fleet.Failed, "%+v", f.dispatcher.results)
	}
}

func TestForwardedRequestIsNotRunOnlyByItsOwnResponse(t *testing.T) {
	peer := newBackend(t, "edge-0", func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nChestnutstream-Outcome: not-run\r\nX-Chestnutstream-Request-Id: r-0\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f := forwardingServer(t, peer.l.Addr().String())
	resp, body, err := f.send(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
}

func TestRequestBeforeDoesNotKeepTheNextFromBeingWithdrawn(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	c := &serverConn{Conn: client}
	c.recordRequest("r-1")
	_, err := c.Write([]byte("GET"))
	assert.NilError(t, err)
	seq, _ := c.recordRequest("r-2")
	assert.Assert(t, c.withdraw(seq))
	_, err = c.Write([]byte("GET"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestWithdrawnRequestIsNeverWritten(t *testing.T) {
	tests := []struct {
		name      string
		before    func(c *serverConn)
		withdrawn bool
	}{
		{"nothing written", func(*serverConn) {}, true},
		{"written", func(c *serverConn) { _, _ = c.Write([]byte("GET")) }, false},
		{"connection abandoned before", func(c *serverConn) { c.abandon(); _, _ = c.Write([]byte("GET")) }, true},
		{"abandoned after a byte", func(c *serverConn) { _, _ = c.Write([]byte("G")); c.abandon() }, false},
		{"given to the next request", func(c *serverConn) { _, _ = c.Write([]byte("GET")); c.recordRequest("r-2") }, false},
		{"given to the same request again", func(c *serverConn) { _, _ = c.Write([]byte("GET")); c.recordRequest("r-1") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server, client := net.Pipe()
			defer server.Close()
			go func() { _, _ = io.Copy(io.Discard, server) }()
			c := &serverConn{Conn: client}
			seq, _ := c.recordRequest("r-1")
			tt.before(c)
			assert.Equal(t, c.withdraw(seq), tt.withdrawn)
			if tt.withdrawn {
				_, err := c.Write([]byte("GET"))
				assert.ErrorIs(t, err, net.ErrClosed)
			}
		})
	}
}

func TestMisdirectedStatusAloneDoesNotMeanNotRun(t *testing.T) {
	tests := []struct {
		name     string
		header   string
		rejected bool
	}{
		{"nothing else", "", false},
		{"of the server itself", "X-Chestnutstream-Instance-Id: i-1\r\n", false},
		{"signed", "X-Chestnutstream-Server-Signature: sig\r\n", false},
		{"signed by another server", "X-Chestnutstream-Instance-Id: i-9\r\nX-Chestnutstream-Server-Signature: sig\r\n", false},
		{"two servers", "X-Chestnutstream-Instance-Id: i-9\r\nX-Chestnutstream-Instance-Id: i-1\r\n", false},
		{"of another server", "X-Chestnutstream-Instance-Id: i-9\r\n", true},
		{"stated", "X-Chestnutstream-Not-Executed: 1\r\n", true},
	}
	for _, tt := range tests {
		for _, path := range []string{"/order/1", "/once/1", "/look/1"} {
			t.Run(tt.name+" "+path, func(t *testing.T) {
				b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Chestnutstream-Request-Id: r-1\r\n%sContent-Length: 0\r\n\r\n", tt.header)
					return true
				})
				f := newTestServer(t, b)
				resp, body, err := f.send(t, "POST", path, "x")
				assert.NilError(t, err)
				switch {
				case tt.rejected:
					assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, body)
				case path == "/look/1":
					assert.Assert(t, resp.StatusCode >= 400, body)
				default:
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway, body)
					assert.Equal(t, b.requestCount(), 1, "sent again after it may have run")
				}
			})
		}
	}
}
