package ingress

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/fleet"
)

// traced replaces the front of a server by one that adds the hooks of trace to the contexts
// of requests.
func (f *testServer) traced(t *testing.T, trace func(requestID string) *httptrace.ClientTrace) {
	f.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hooks := trace(r.Header.Get("X-Chestnutstream-Request-Id"))
		f.handler.ServeHTTP(w, r.WithContext(httptrace.WithClientTrace(r.Context(), hooks)))
	}))
	t.Cleanup(f.Close)
}

// The time of r-0 ends when its response has been read and its connection is r-1's already.
func TestRequestThatRanIsNotWithdrawnWithTheNextOneOnItsConnection(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, "200 OK", "") })
	f := newTestServer(t, b)
	next, first := make(chan struct{}), make(chan struct{})
	var given sync.Once
	f.traced(t, func(id string) *httptrace.ClientTrace {
		if id == "r-0" {
			return &httptrace.ClientTrace{PutIdleConn: func(error) {
				go func() { _, _, _ = f.send(t, "POST", "/order/1", "x") }()
				<-next
				<-first
			}}
		}
		return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
			given.Do(func() {
				assert.Check(t, i.Reused)
				close(next)
				<-first
			})
		}}
	})
	resp, body, err := f.send(t, "POST", "/order/1", "x", "X-Chestnutstream-Request-Id", "r-0", "X-Chestnutstream-Deadline-Ms", "300")
	ran := b.requestCount()
	close(first)
	assert.NilError(t, err)
	assert.Equal(t, ran, 1)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout, body)
	awaitDone(t, f.handler)
}

// resettingBackend accepts connections and resets them soon after.
func resettingBackend(t *testing.T, id string, accepted *atomic.Int32) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.(*net.TCPConn).SetLinger(0)
			time.AfterFunc(2*time.Millisecond, func() { _ = conn.Close() })
		}
	}()
	return &backend{id: id, l: l}
}

func TestServerThatResetsNewConnectionsIsAvoided(t *testing.T) {
	for _, path := range []string{"/order/1", "/once/1", "/look/1", "/ask/1"} {
		t.Run(path, func(t *testing.T) {
			var accepted atomic.Int32
			f := newTestServer(t, resettingBackend(t, "i-1", &accepted), newBackend(t, "i-2", respondOK))
			f.traced(t, func(string) *httptrace.ClientTrace {
				return &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { time.Sleep(20 * time.Millisecond) }}
			})
			resp, body, err := f.send(t, "POST", path, "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK, body)
			assert.Equal(t, accepted.Load(), int32(1))
			assert.Equal(t, f.dispatcher.results[0].Outcome, fleet.Failed)
		})
	}
}

func TestRetryAfterServerErrorJudgesItsServerByItsOwnResponse(t *testing.T) {
	tests := []struct {
		name   string
		second responder
		want   fleet.Outcome
	}{
		{"rejection", func(c net.Conn, r *http.Request, _ string) bool {
			writeRejection(c, http.StatusServiceUnavailable, r.Header.Get("X-Chestnutstream-Request-Id"))
			return true
		}, fleet.Refused},
		{"late copy of an earlier rejection", func(c net.Conn, _ *http.Request, _ string) bool {
			writeRejection(c, http.StatusServiceUnavailable, "r-0")
			return true
		}, fleet.Inconclusive},
		{"foreign response", func(c net.Conn, _ *http.Request, _ string) bool {
			writeRejection(c, http.StatusServiceUnavailable, "r-9")
			return true
		}, fleet.Failed},
		{"broken response", func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nContent-Length: 9\r\n\r\n", r.Header.Get("X-Chestnutstream-Request-Id"))
			return false
		}, fleet.Failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			failing := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
				return writeResponse(c, r, "500 Internal Server Error", "broken")
			})
			second := newBackend(t, "i-2", func(c net.Conn, r *http.Request, id string) bool {
				if r.Header.Get("X-Chestnutstream-Request-Id") == "r-0" {
					return respondOK(c, r, id)
				}
				return tt.second(c, r, id)
			})
			f := newTestServer(t, failing, second)
			for i := range 2 {
				_, _, err := f.send(t, "POST", "/look/1", "x", "X-Chestnutstream-Request-Id", fmt.Sprintf("r-%d", i))
				assert.NilError(t, err)
			}
			assert.Equal(t, len(f.dispatcher.results), 4)
			assert.Equal(t, f.dispatcher.results[3].Outcome, tt.want)
		})
	}
}

func TestEachRejectionMovesTheRequestToANewConnection(t *testing.T) {
	var mu sync.Mutex
	arrivals := 0
	used := map[net.Conn]bool{}
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, id string) bool {
		mu.Lock()
		arrivals++
		rejects, usedBefore := arrivals <= 3, used[c]
		used[c] = true
		mu.Unlock()
		assert.Check(t, !usedBefore)
		if rejects {
			writeRejection(c, http.StatusMisdirectedRequest, "r-1")
			return true
		}
		return respondOK(c, r, id)
	})
	f := newTestServer(t, b)
	resp, body, err := f.send(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, body)
	assert.Equal(t, b.requestCount(), 4)
}

func TestOwnStatusOfServerIsRelayedIfTheRequestMayBeRepeated(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		f := newTestServer(t, newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
			return writeResponse(c, r, status, "ran and failed")
		}))
		resp, body, err := f.send(t, "POST", "/look/1", "x")
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, status)
		assert.Equal(t, body, "ran and failed")
		assert.Equal(t, resp.Header.Get("X-Chestnutstream-Server-Signature"), "sig")
	}
}

func TestWithdrawnSendDoesNotCountAsAServerTried(t *testing.T) {
	var requests atomic.Int32
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, id string) bool {
		if requests.Add(1) > 1 {
			time.Sleep(time.Second)
		}
		_ = respondOK(c, r, id)
		time.Sleep(50 * time.Millisecond)
		return false // without Connection: close
	})
	f := newTestServer(t, b, newBackend(t, "i-2", respondOK))
	f.traced(t, func(string) *httptrace.ClientTrace {
		return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
			if i.Reused {
				time.Sleep(100 * time.Millisecond)
			}
		}}
	})
	_, _, err := f.send(t, "POST", "/look/1", "x", "X-Chestnutstream-Request-Id", "r-0")
	assert.NilError(t, err)
	start := time.Now()
	resp, body, err := f.send(t, "POST", "/look/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "from i-2", "after %v, results %+v", time.Since(start), f.dispatcher.results)
}
