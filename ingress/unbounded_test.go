package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server that sends bytes without end must not exhaust memory, keep a connection
// open or appear as a complete response.
func TestUnboundedResponses(t *testing.T) {
	const (
		head         = "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\n"
		maxHeapBytes = 48 << 20
		settleTime   = 500 * time.Millisecond
	)
	block := strings.Repeat("x", 1<<10)
	tests := []struct {
		name     string
		first    string
		repeat   string // repeated without end
		path     string
		maxTime  time.Duration // until the caller's response ends
		maxBytes int64         // relayed at most; 0: bounded by the time only
	}{
		{"status line", "", block, "/order/1", time.Second, 1 << 10},
		{"one header", "HTTP/1.1 200 OK\r\nX-Long: ", block, "/order/1", time.Second, 1 << 10},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", "/order/1", time.Second, 1 << 10},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n", "/order/1", time.Second, 1 << 10},
		{"an unsigned body", "HTTP/1.1 200 OK\r\n\r\n", block, "/order/1", time.Second, 1 << 10},
		{"the body of a rejection", "HTTP/1.1 503 Full\r\nX-Chestnutstream-Not-Executed: 1\r\n\r\n", block, "/order/1", time.Second, 1 << 10},
		{"a signed body", head + "\r\n", block, "/order/1", 2 * time.Second, 0},
		{"a signed body, idempotent route", head + "\r\n", block, "/look/1", 2 * time.Second, 0},
		{"a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", block, "/order/1", 2 * time.Second, 1 << 10},
		{"a trailer", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ", block, "/order/1", 2 * time.Second, 1 << 10},
		{"an event", head + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ", block, "/once/1", 3 * time.Second, 1 << 10},
		{"events without an end marker", head + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", "/ask/1", 3 * time.Second, 1 << 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var open atomic.Int64
			again := strings.Repeat(test.repeat, max(1, (8<<10)/len(test.repeat)))
			b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
				open.Add(1)
				defer open.Add(-1)
				_, err := io.WriteString(c, test.first)
				for err == nil {
					_, err = io.WriteString(c, again)
				}
				return false
			})
			srv := newTestServer(t, b)
			var peak uint64
			stop := make(chan struct{})
			sampled := make(chan struct{})
			go func() {
				defer close(sampled)
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak = max(peak, m.HeapAlloc)
				}
			}()
			start := time.Now()
			status, bytes, complete := readAndDiscard(t, srv, test.path)
			took := time.Since(start)
			time.Sleep(settleTime)
			close(stop)
			<-sampled
			assert.Assert(t, status != http.StatusOK || !complete, "an unbounded response looks complete")
			assert.Assert(t, test.maxBytes == 0 || bytes <= test.maxBytes, "%d bytes relayed", bytes)
			assert.Assert(t, took < test.maxTime+settleTime, "response ended after %v", took)
			assert.Equal(t, open.Load(), int64(0), "connections still open")
			assert.Assert(t, peak < maxHeapBytes, "%d MB of heap", peak>>20)
		})
	}
}

// readAndDiscard sends a request and discards the body of its response.
func readAndDiscard(t *testing.T, srv *testServer, path string) (status int, bytes int64, complete bool) {
	req, err := http.NewRequest("POST", srv.URL+path, strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Chestnutstream-Request-Id", "r-1")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, 0, false
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	t.Log(fmt.Sprint("status ", resp.StatusCode, ", ", n, " bytes, ", err))
	return resp.StatusCode, n, err == nil
}

// Guards against events without end on many streams at once, each below its own limit.
func TestManyUnboundedEventsStayWithinMemory(t *testing.T) {
	const (
		instanceBytes = 184 << 20 // of the smallest instance
		streams       = 200
	)
	release := make(chan struct{})
	b := newBackend(t, "i-1", func(conn net.Conn, r *http.Request, id string) bool {
		if !strings.HasPrefix(r.URL.Path, "/once/") {
			return respondOK(conn, r, id)
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: ", r.Header.Get("X-Chestnutstream-Request-Id"))
		block := strings.Repeat("x", 8<<10)
		for n := 0; n < maxEventBytes-2*len(block) && err == nil; n += len(block) {
			_, err = io.WriteString(conn, block)
		}
		<-release
		return false
	})
	srv := newTestServer(t, b)
	srv.handler.held.limit = 3 * instanceBytes / 10
	for _, path := range []string{"/once/1", "/look/1"} { // however busy the machine is
		srv.dispatcher.table.Match("h.example", path).Timeout = time.Minute
	}
	other := func() {
		resp, _, err := srv.send(t, "POST", "/look/1", strings.Repeat("x", 60<<10))
		assert.NilError(t, err)
		assert.Check(t, resp.StatusCode == http.StatusOK, "status %d for another request", resp.StatusCode)
	}
	other() // the next ones use its connection
	var open sync.WaitGroup
	for range streams {
		open.Add(1)
		go func() {
			defer open.Done()
			readAndDiscard(t, srv, "/once/1")
		}()
	}
	var peak uint64
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		other()
	}
	t.Logf("%d MB of live heap", peak>>20)
	assert.Check(t, peak < instanceBytes, "%d MB of live heap", peak>>20)
	close(release)
	open.Wait()
	awaitDone(t, srv.handler)
	assert.Equal(t, srv.handler.held.used.Load(), int64(0))
}
