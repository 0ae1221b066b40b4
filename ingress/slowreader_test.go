package ingress

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/timer"
)

// writeLargeEvents writes events of 4 KB until the connection ends, as a server does whose
// caller reads slowly.
func writeLargeEvents(conn net.Conn, r *http.Request, _ string) bool {
	writeStreamHeader(conn, r)
	for i := 1; ; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 4<<10))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
}

// liveHeap returns the size of the heap without garbage: the least of several readings, as
// others allocate between a collection and its reading.
func liveHeap() int64 {
	var m runtime.MemStats
	least := int64(math.MaxInt64)
	for range 10 {
		runtime.GC()
		runtime.ReadMemStats(&m)
		least = min(least, int64(m.HeapAlloc))
		time.Sleep(50 * time.Millisecond)
	}
	return least
}

// slowCaller sends a request for a path and, once the response has begun, reads one byte a
// second of it. It sends the request again if it is rejected.
func slowCaller(t *testing.T, address, path, id string) {
	for range 50 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", path, id)
		assert.NilError(t, err)
		status := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(conn, status)
		assert.NilError(t, err)
		if string(status) != "HTTP/1.1 200" {
			continue
		}
		go func() {
			for _, err := conn.Read(status[:1]); err == nil; _, err = conn.Read(status[:1]) {
				time.Sleep(time.Second)
			}
		}()
		return
	}
	t.Fatalf("request %s was rejected 50 times", id)
}

// Guards against callers that read slowly and hold their server's place and the instance's
// memory for as long as they like, and against ordinary callers that suffer for them.
func TestCallersThatDoNotReadAreDisconnected(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		callers int
	}{
		{"streams", "/once/x", 1000},
		{"streams that can be resumed", "/ask/x", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, "b1", func(conn net.Conn, r *http.Request, id string) bool {
				if strings.HasPrefix(r.URL.Path, "/look/") {
					return respondOK(conn, r, id)
				}
				return writeLargeEvents(conn, r, id)
			})
			f := newTestServer(t, b)
			set := metrics.NewSet()
			f.handler.cfg.Metrics, f.handler.cfg.CallerStallTimeout, f.handler.held.limit = set, 3*time.Second, 8<<20
			f.handler.cfg.Timer, f.handler.cfg.Log = timer.NewSystem(), &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
			for _, r := range []string{"/once/", "/ask/"} {
				f.dispatcher.table.Match("h.example", r).Timeout = time.Minute
			}
			before := liveHeap()
			for i := range c.callers {
				slowCaller(t, f.Listener.Addr().String(), c.path, fmt.Sprintf("slow-%d", i))
			}
			const maxPerCaller = 128 << 10 // both ends, and the server's side, are in this process
			held := liveHeap() - before
			assert.Assert(t, held < int64(c.callers)*maxPerCaller, "%d bytes for %d callers", held, c.callers)
			resp, body, err := f.send(t, http.MethodGet, "/look/x", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, "from b1")
			deadline := time.Now().Add(30 * time.Second)
			for f.handler.InProgress() > 0 && time.Now().Before(deadline) {
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, f.handler.InProgress(), 0)
			f.dispatcher.mu.Lock()
			assert.Equal(t, f.dispatcher.openPlacements, 0)
			f.dispatcher.mu.Unlock()
			assert.Equal(t, set.GetOrCreateCounter(`chestnutstream_stalled_callers_total`).Get() > 0, true)
		})
	}
}

// Guards against a limit of one request that ends a later one on its connection, and against
// a caller that reads slowly, but reads, and is disconnected.
func TestCallersThatPauseAreNotDisconnected(t *testing.T) {
	b := newBackend(t, "b1", respondOK)
	f := newTestServer(t, b)
	f.handler.cfg.CallerStallTimeout = 100 * time.Millisecond
	conn, err := net.Dial("tcp", f.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := range 3 {
		_, err := fmt.Fprintf(conn, "POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-%d\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", i)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusContinue)
		_, err = conn.Write([]byte("ok"))
		assert.NilError(t, err)
		resp, err = http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		_, err = in.Discard(int(resp.ContentLength))
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
	}
}
