package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bytes of a server that end only when the connection is closed.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		head      = "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\n"
		heapMost  = 48 << 20
		afterward = 500 * time.Millisecond
	)
	block := strings.Repeat("x", 1<<10)
	tests := []struct {
		name  string
		first string
		again string // without end
		path  string
		most  time.Duration // until the caller has its answer
		bytes int64         // of it, at most; 0: not bounded but by the time
	}{
		{"no line", "", block, "/order/1", time.Second, 1 << 10},
		{"one header", "HTTP/1.1 200 OK\r\nX-Long: ", block, "/order/1", time.Second, 1 << 10},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", "/order/1", time.Second, 1 << 10},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n", "/order/1", time.Second, 1 << 10},
		{"a body that is nobody's", "HTTP/1.1 200 OK\r\n\r\n", block, "/order/1", time.Second, 1 << 10},
		{"the body of a refusal", "HTTP/1.1 503 Full\r\nX-Chestnutstream-Not-Executed: 1\r\n\r\n", block, "/order/1", time.Second, 1 << 10},
		{"a signed body", head + "\r\n", block, "/order/1", 2 * time.Second, 0},
		{"a signed body, asked elsewhere", head + "\r\n", block, "/look/1", 2 * time.Second, 0},
		{"the name of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n1;", block, "/order/1", 2 * time.Second, 1 << 10},
		{"a trailer", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ", block, "/order/1", 2 * time.Second, 1 << 10},
		{"an event", head + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: ", block, "/once/1", 3 * time.Second, 1 << 10},
		{"events without an end of one", head + "Content-Type: text/event-stream\r\n\r\n", "data: x\n", "/ask/1", 3 * time.Second, 1 << 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var open atomic.Int64
			again := strings.Repeat(test.again, max(1, (8<<10)/len(test.again)))
			b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
				open.Add(1)
				defer open.Add(-1)
				_, err := io.WriteString(c, test.first)
				for err == nil {
					_, err = io.WriteString(c, again)
				}
				return false
			})
			front := newFront(t, b)
			var peak uint64
			stop := make(chan struct{})
			watched := make(chan struct{})
			go func() {
				defer close(watched)
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
			began := time.Now()
			status, bytes, whole := readAndDrop(t, front, test.path)
			took := time.Since(began)
			time.Sleep(afterward)
			close(stop)
			<-watched
			assert.Assert(t, status != http.StatusOK || !whole, "bytes without end became a whole answer")
			assert.Assert(t, test.bytes == 0 || bytes <= test.bytes, "%d bytes passed on", bytes)
			assert.Assert(t, took < test.most+afterward, "answered after %v", took)
			assert.Equal(t, open.Load(), int64(0), "connections that are still open")
			assert.Assert(t, peak < heapMost, "%d MB of heap", peak>>20)
		})
	}
}

// readAndDrop sends a request and reads its answer without keeping it.
func readAndDrop(t *testing.T, front *front, path string) (status int, bytes int64, whole bool) {
	req, err := http.NewRequest("POST", front.URL+path, strings.NewReader("x"))
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
