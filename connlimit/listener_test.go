package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"gotest.tools/v3/assert"
)

// testServer is a server whose handler reads the body of each request.
type testServer struct {
	*Listener
	handled atomic.Int64  // requests with whole bodies
	release chan struct{} // lets requests for /wait end
	logged  *memory.Handler
}

func serve(t *testing.T, limits Limits, head HeadLimits) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{release: make(chan struct{}), logged: memory.New()}
	s.Listener = NewListener(inner, Settings{Kind: KindCallers, Head: func() HeadLimits { return head }, Log: &log.Logger{Handler: s.logged, Level: log.InfoLevel}, Metrics: metrics.NewSet()})
	s.part = NewPart(limits)
	srv := s.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var err error
		if r.ContentLength > 0 {
			_, err = io.ReadFull(r.Body, make([]byte, r.ContentLength))
		} else {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		s.handled.Add(1)
		if r.URL.Path == "/wait" {
			<-s.release
		}
	}), time.Minute)
	go func() { _ = srv.Serve(s) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// dial connects and sends.
func (s *testServer) dial(t *testing.T, send string) net.Conn {
	conn, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, send)
	assert.NilError(t, err)
	return conn
}

// status returns the status of the next response, 0 if the connection is closed instead.
func status(t *testing.T, conn net.Conn) int {
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		var netErr net.Error
		assert.Assert(t, !asNetError(err, &netErr) || !netErr.Timeout(), "neither response nor end")
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func asNetError(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	if ok {
		*target = e
	}
	return ok
}

// await waits until as many connections are counted and in the phase.
func (s *testServer) await(t *testing.T, n int, phase Phase) {
	for range 2000 {
		s.mu.Lock()
		found := 0
		for _, c := range s.part.conns {
			if c.phase == phase {
				found++
			}
		}
		s.mu.Unlock()
		if found == n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not %d connections in phase %s", n, phase)
}

var (
	roomy = Limits{Connections: 100, HeadMemory: 1 << 20, RequestMemory: 1 << 20}
	calm  = HeadLimits{Bytes: 16 << 10, Timeout: time.Minute}
)

func head(bytes int) string {
	const first, last = "GET / HTTP/1.1\r\nHost: h\r\nX-Long: ", "\r\n\r\n"
	return first + strings.Repeat("x", bytes-len(first)-len(last)) + last
}

// Guards against heads within the limits that are refused, and heads over them that are
// taken or get no response.
func TestHeadLimit(t *testing.T) {
	tests := []struct {
		name string
		send string
		want []int
	}{
		{"at the limit", head(16 << 10), []int{200}},
		{"twice on one connection", head(16<<10) + head(16<<10), []int{200, 200}},
		{"short lines at the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:1\r\n", 3200) + "\r\n", []int{200}},
		{"over the limit", head(40 << 10), []int{431, 0}},
		{"over the limit after a request", head(100) + head(40<<10), []int{200, 431, 0}},
		{"over the limit, without an end", head(40 << 10)[:30<<10], []int{431, 0}},
		{"no HTTP", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", []int{400, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, roomy, calm)
			conn := s.dial(t, tt.send)
			in := bufio.NewReader(conn)
			for _, want := range tt.want {
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
				resp, err := http.ReadResponse(in, nil)
				if want == 0 {
					assert.Assert(t, err != nil)
					continue
				}
				assert.NilError(t, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				assert.Equal(t, resp.StatusCode, want)
			}
			_ = conn.Close()
			for range 1000 {
				s.mu.Lock()
				n, memory := s.part.Len(), s.part.headMemory+s.part.requestMemory
				s.mu.Unlock()
				if n == 0 {
					assert.Equal(t, memory, int64(0))
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			t.Fatal("the connection is still counted")
		})
	}
}

// Guards against requests that were cut short by the closing of their connection and reach
// the handler nevertheless, and against the closing of requests in progress.
func TestConnectionsAreClosedForOthers(t *testing.T) {
	for _, request := range []string{
		"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nabcd",
		"POST /wait HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
	} {
		t.Run(request, func(t *testing.T) { checkClosedForOthers(t, request) })
	}
}

func checkClosedForOthers(t *testing.T, request string) {
	s := serve(t, Limits{Connections: 3, HeadMemory: 1 << 20, RequestMemory: 1 << 20}, calm)
	waiting := s.dial(t, request)
	s.await(t, 1, PhaseRequest)
	silent := s.dial(t, "")
	s.await(t, 1, PhaseHead)
	slow := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
	s.await(t, 1, PhaseBody)
	for range 2 {
		conn := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.Equal(t, status(t, conn), 200)
		s.await(t, 1, PhaseIdle)
	}
	assert.Equal(t, status(t, silent), 0)
	s.mu.Lock()
	for _, c := range s.part.conns {
		if c.phase == PhaseBody {
			c.since = c.since.Add(-time.Hour)
		}
	}
	s.mu.Unlock()
	assert.Equal(t, status(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")), 200)
	assert.Equal(t, status(t, slow), 0)
	assert.Equal(t, s.handled.Load(), int64(4))
	close(s.release)
	assert.Equal(t, status(t, waiting), 200)
}

// Guards against a refusal of requests that was not sent as one that has not run.
func TestRequestWithLargeHeadIsRejected(t *testing.T) {
	s := serve(t, Limits{Connections: 10, HeadMemory: 1 << 20, RequestMemory: 100 << 10}, calm)
	large := strings.Replace(head(16<<10), "GET /", "GET /wait", 1)
	first := s.dial(t, large)
	s.await(t, 1, PhaseRequest)
	assert.Equal(t, status(t, s.dial(t, large)), http.StatusServiceUnavailable)
	assert.Equal(t, s.handled.Load(), int64(1))
	close(s.release)
	assert.Equal(t, status(t, first), 200)
	s.await(t, 1, PhaseIdle) // its head is kept until the server has sent the whole response
	assert.Equal(t, status(t, s.dial(t, large)), 200)
}

// Guards against heads that take for ever, one byte at a time.
func TestHeadTimeout(t *testing.T) {
	s := serve(t, roomy, HeadLimits{Bytes: 16 << 10, Timeout: 300 * time.Millisecond})
	conn := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, status(t, conn), 200)
	time.Sleep(400 * time.Millisecond) // between requests, the limit does not apply
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, conn)
	}()
	for i := 0; ; i++ {
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nX: "[min(i, 18):min(i+1, 19)])
		select {
		case <-closed:
			return
		case <-time.After(50 * time.Millisecond):
		}
		assert.Assert(t, i < 400, "the connection is still open")
	}
}

// Guards against a log line for each of thousands of connections.
func TestClosedConnectionsAreLoggedOncePerSecond(t *testing.T) {
	s := serve(t, roomy, calm)
	now := time.Now()
	for i := range 1000 {
		s.record(ReasonNoRoom, s.Addr(), now.Add(time.Duration(i)*time.Millisecond))
	}
	s.record(ReasonNoRoom, s.Addr(), now.Add(time.Second))
	assert.Equal(t, len(s.logged.Entries), 2)
	assert.Equal(t, s.logged.Entries[0].Fields["count"], 1)
	assert.Equal(t, s.logged.Entries[1].Fields["count"], 1000)
}
