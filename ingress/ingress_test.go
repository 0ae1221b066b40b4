package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := newBackend(t, "i-1", respondOK)
	f := newTestServer(t, b)
	resp, body, err := f.send(t, "POST", "/look/a%2Fb/../c?x=1&y=%20", "the body",
		"X-Chestnutstream-Deadline-Ms", "1500", "X-Chestnutstream-Model", "m/a1", "X-Chestnutstream-Hold", "stolen",
		"X-Chestnutstream-Pin-Ms", "100", "Kv-From", "1.2.3.4:5/x", "X-Chestnutstream-Expect-Instance", "other", "X-Custom", "kept")
	assert.NilError(t, err)
	assert.Equal(t, body, "from i-1")
	assert.Equal(t, resp.Header.Get("X-Chestnutstream-Server-Signature"), "sig")
	r := b.requests[0]
	assert.Equal(t, r.Method+" "+r.RequestURI, "POST /look/a%2Fb/../c?x=1&y=%20")
	assert.Equal(t, r.Host, "h.example")
	assert.Equal(t, b.bodies[0], "the body")
	assert.Equal(t, r.Header.Get("X-Custom"), "kept")
	assert.Equal(t, r.Header.Get("X-Chestnutstream-Model"), "m/a1")
	assert.Equal(t, r.Header.Get("X-Chestnutstream-Expect-Instance"), "i-1")
	for _, name := range []string{"X-Chestnutstream-Hold", "X-Chestnutstream-Pin-Ms", "Kv-From"} {
		assert.Equal(t, r.Header.Get(name), "", name)
	}
	left, err := strconv.Atoi(r.Header.Get("X-Chestnutstream-Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 1500, "deadline %d", left)
}

// Invalid responses of a backend server on a non-idempotent and on an idempotent
// route. A second server responds correctly.
func TestInvalidResponsesAreNotRelayed(t *testing.T) {
	tests := []struct {
		name                string
		respond             responder
		nonIdempotentStatus int
	}{
		{"response to another request", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-0\r\nX-Chestnutstream-Server-Signature: sig\r\nContent-Length: 5\r\n\r\nother")
			return true
		}, 502},
		{"no signature", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nContent-Length: 5\r\n\r\nforge")
			return true
		}, 502},
		{"not HTTP", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "SSH-2.0-hello\r\n\r\n")
			return false
		}, 502},
		{"closed without a response", func(net.Conn, *http.Request, string) bool { return false }, 502},
		{"broken off in the body", func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nContent-Length: 50\r\n\r\nhalf", r.Header.Get("X-Chestnutstream-Request-Id"))
			return false
		}, 502},
		{"no length, reset midway", func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nConnection: close\r\n\r\nhalf", r.Header.Get("X-Chestnutstream-Request-Id"))
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad, good := newBackend(t, "i-bad", tt.respond), newBackend(t, "i-good", respondOK)
			f := newTestServer(t, bad, good)
			resp, body, err := f.send(t, "POST", "/order/1", "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.nonIdempotentStatus, body)
			assert.Equal(t, resp.Header.Get("X-Chestnutstream-Server-Signature"), "")
			assert.Equal(t, good.requestCount(), 0, "a non-idempotent request was sent to a second server")
			resp, body, err = f.send(t, "GET", "/look/1", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, "from i-good")
			assert.Equal(t, f.dispatcher.openPlacements, 0, "a placement was not released")
		})
	}
}

func TestResponseDelimitedByCloseIsComplete(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nConnection: close\r\n\r\nall of it", r.Header.Get("X-Chestnutstream-Request-Id"))
		return false
	})
	f := newTestServer(t, b)
	_, body, err := f.send(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

// An unsolicited response on a kept-alive connection must not be taken for the
// response to the next request.
func TestUnsolicitedResponseIsIgnored(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeResponse(c, r, "200 OK", "answer to "+r.Header.Get("X-Chestnutstream-Request-Id"))
		time.Sleep(5 * time.Millisecond)
		return writeResponse(c, r, "200 OK", "extra of "+r.Header.Get("X-Chestnutstream-Request-Id"))
	})
	f := newTestServer(t, b)
	for i := range 6 {
		id := fmt.Sprintf("r-%d", i)
		resp, body, err := f.send(t, "POST", "/order/1", "x", "X-Chestnutstream-Request-Id", id)
		assert.NilError(t, err)
		if resp.StatusCode == 200 {
			assert.Equal(t, body, "answer to "+id)
		}
	}
}

// The caller receives 503 without a signature only if the request has not run.
func TestNotRunStatusOnlyIfNotRun(t *testing.T) {
	full := func(c net.Conn, r *http.Request, _ string) bool {
		writeRejection(c, http.StatusServiceUnavailable, r.Header.Get("X-Chestnutstream-Request-Id"))
		return true
	}
	own := func(status string) responder {
		return func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, status, "ran and failed") }
	}
	tests := []struct {
		name    string
		respond responder
		status  int
		signed  bool
	}{
		{"server rejects", full, 503, false},
		{"server's own 503", own("503 Service Unavailable"), 502, false},
		{"server's own 429", own("429 Too Many Requests"), 502, false},
		{"server's own 408", own("408 Request Timeout"), 502, false},
		{"server's own 500 is relayed", own("500 Internal Server Error"), 500, true},
		{"server's own 504 is relayed", own("504 Gateway Timeout"), 504, true},
		{"connection lost after sending", func(net.Conn, *http.Request, string) bool { return false }, 502, false},
		{"no response until the route's timeout", func(net.Conn, *http.Request, string) bool { time.Sleep(3 * time.Second); return false }, 504, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestServer(t, newBackend(t, "i-1", tt.respond))
			start := time.Now()
			resp, _, err := f.send(t, "POST", "/order/1", "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, resp.Header.Get("X-Chestnutstream-Server-Signature") != "", tt.signed)
			if tt.status == 503 && !tt.signed {
				assertRetryAfter(t, resp, 250*time.Millisecond)
			}
			citest.CheckDuration(t, time.Since(start), 2400*time.Millisecond) // the route's timeout is 2 s
		})
	}
}

// assertRetryAfter checks that Retry-After is want within the jitter, and returns it
// in seconds.
func assertRetryAfter(t *testing.T, resp *http.Response, want time.Duration) float64 {
	t.Helper()
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, s >= (1-retryAfterJitter)*want.Seconds()-0.001 && s <= (1+retryAfterJitter)*want.Seconds()+0.001, "Retry-After %v, want about %v", s, want)
	return s
}

// Callers that are rejected together must not retry together: Retry-After is
// jittered around its mean.
func TestRetryAfterIsJittered(t *testing.T) {
	f := newTestServer(t, newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeRejection(c, http.StatusServiceUnavailable, r.Header.Get("X-Chestnutstream-Request-Id"))
		return true
	}))
	const rejections = 80
	sum, least, most := 0.0, 1.0, 0.0
	for range rejections {
		resp, _, err := f.send(t, "POST", "/order/1", "x")
		assert.NilError(t, err)
		s := assertRetryAfter(t, resp, 250*time.Millisecond)
		sum, least, most = sum+s, min(least, s), max(most, s)
	}
	assert.Assert(t, most-least > 0.08, "all between %.3f and %.3f s", least, most)
	assert.Assert(t, sum/rejections > 0.23 && sum/rejections < 0.27, "mean %.3f s", sum/rejections)
}

func TestConnectFailureIsRetriedForNonIdempotentRequest(t *testing.T) {
	closed, good := newBackend(t, "i-gone", respondOK), newBackend(t, "i-good", respondOK)
	assert.NilError(t, closed.l.Close())
	f := newTestServer(t, closed, good)
	_, body, err := f.send(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, body, "from i-good")
}

func TestRetryBudgetIsRespected(t *testing.T) {
	bad, good := newBackend(t, "i-bad", func(net.Conn, *http.Request, string) bool { return false }), newBackend(t, "i-good", respondOK)
	f := newTestServer(t, bad, good)
	f.dispatcher.allowRetry = false
	resp, _, err := f.send(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 502, "it may have run and must not be retried")
	assert.Equal(t, good.requestCount(), 0)
}

func TestServerErrorIsRetriedOnce(t *testing.T) {
	failing := func(c net.Conn, r *http.Request, id string) bool {
		return writeResponse(c, r, "500 Internal Server Error", "failed at "+id)
	}
	b1, b2, b3 := newBackend(t, "i-1", failing), newBackend(t, "i-2", failing), newBackend(t, "i-3", respondOK)
	f := newTestServer(t, b1, b2, b3)
	resp, body, err := f.send(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body, "failed at i-1")
	assert.Equal(t, b3.requestCount(), 0, "its route allows two servers")
}

// A stream that breaks off is resumed on another server, and each event arrives
// once.
func TestBrokenStreamIsResumed(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeEvents(c, 0, 3)
		part := "id: 3\ndata: pie" // broken off in the middle of an event
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	var resumedAfter string
	resumes := newBackend(t, "i-2", func(c net.Conn, r *http.Request, _ string) bool {
		resumedAfter = r.Header.Get("Last-Event-Id")
		writeStreamHeader(c, r)
		writeEvents(c, 3, 6)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	f := newTestServer(t, breaks, resumes)
	_, body, err := f.send(t, "POST", "/ask/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, resumedAfter, "2")
	want := ""
	for i := range 6 {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	assert.Equal(t, body, want)
}

func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeEvents(c, 0, 3)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	other := newBackend(t, "i-2", respondOK)
	f := newTestServer(t, breaks, other)
	_, body, err := f.send(t, "POST", "/once/1", "x")
	assert.Assert(t, err != nil, "the response looks complete: %q", body)
	assert.Equal(t, strings.Count(body, "piece"), 3)
	assert.Equal(t, other.requestCount(), 0)
}

// If the second server fails to resume a stream, the stream is aborted and the
// second response is not appended to it.
func TestFailedResumeAbortsStream(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeEvents(c, 0, 2)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	fails := newBackend(t, "i-2", func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, "500 Internal Server Error", "sorry")
	})
	f := newTestServer(t, breaks, fails)
	_, body, err := f.send(t, "POST", "/ask/1", "x")
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(body, "sorry"))
}

func TestEventsAreFlushedImmediately(t *testing.T) {
	more := make(chan struct{})
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		writeEvents(c, 0, 1)
		<-more
		writeEvents(c, 1, 2)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	f := newTestServer(t, b)
	req, err := http.NewRequest("POST", f.URL+"/once/1", nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Chestnutstream-Request-Id", "r-1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	line, err := in.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 0\n")
	close(more)
	_, err = io.ReadAll(in)
	assert.NilError(t, err)
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	ended := make(chan time.Time, 1)
	b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1)) // returns when the connection is closed
		ended <- time.Now()
		return false
	})
	f := newTestServer(t, b)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", f.URL+"/once/1", strings.NewReader("x"))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Chestnutstream-Request-Id", "r-1")
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err = (&http.Transport{}).RoundTrip(req)
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the request still runs after its caller disconnected")
	}
}

func TestUnroutableAndMalformedRequests(t *testing.T) {
	f := newTestServer(t, newBackend(t, "i-1", respondOK))
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
	}{
		{"no route", "GET", "/nowhere/", "", nil, 404},
		{"prefix without its slash", "GET", "/look", "", nil, 404},
		{"no id", "GET", "/look/1", "", []string{"X-Chestnutstream-Request-Id", ""}, 400},
		{"body too large", "POST", "/look/1", strings.Repeat("x", 1<<20+1), nil, 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, _, err := f.send(t, tt.method, tt.path, tt.body, tt.headers...)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
		})
	}
}

// A backend server receives only the requests that the caller's framing delimits,
// and none that is hidden inside another one.
func TestNoRequestSmuggling(t *testing.T) {
	inner := "GET /order/inner HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: smuggled\r\n\r\n"
	head := "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nConnection: close\r\n"
	tests := []struct{ name, bytes string }{
		{"in the body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)},
		{"in a chunk", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)},
		{"length and chunks", head + fmt.Sprintf("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)},
		{"two lengths", head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)},
		{"unknown transfer coding", head + "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + inner},
		{"line feeds only", strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 0\n\n" + inner},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, "i-1", respondOK)
			f := newTestServer(t, b)
			conn, err := net.Dial("tcp", f.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, tt.bytes)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
			_, _ = io.ReadAll(conn)
			for _, r := range b.requests {
				assert.Equal(t, r.Header.Get("X-Chestnutstream-Request-Id"), "r-1")
			}
		})
	}
}

// The response of a retry arrives completely even if it exceeds maxBufferedBytes.
func TestLongResponseOfRetryIsComplete(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxBufferedBytes/16+100)
	failing := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		return writeResponse(c, r, "500 Internal Server Error", "failed")
	})
	better := newBackend(t, "i-2", func(c net.Conn, r *http.Request, _ string) bool { return writeResponse(c, r, "200 OK", long) })
	f := newTestServer(t, failing, better)
	_, body, err := f.send(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	assert.Equal(t, len(body), len(long))
}

// A slow stream continues to its end. A stream that sends a byte now and then but
// no complete event ends with the route's timeout, also at the server.
func TestSlowStreamsCompleteAndStalledStreamsTimeOut(t *testing.T) {
	t.Parallel()
	slow := newBackend(t, "i-slow", func(c net.Conn, r *http.Request, _ string) bool {
		writeStreamHeader(c, r)
		for i := range 4 {
			writeEvents(c, i, i+1)
			time.Sleep(600 * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	resp, body, err := newTestServer(t, slow).send(t, "POST", "/once/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data: piece"), 4)

	ended := make(chan struct{})
	stalled := newBackend(t, "i-stalled", func(c net.Conn, r *http.Request, _ string) bool {
		defer close(ended)
		writeStreamHeader(c, r)
		writeEvents(c, 0, 1)
		for {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	start := time.Now()
	_, _, err = newTestServer(t, stalled).send(t, "POST", "/once/1", "")
	assert.Assert(t, err != nil, "a stream that ended early looks complete")
	citest.CheckDuration(t, time.Since(start), 3500*time.Millisecond)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the request still runs at the server")
	}
}

// A request has a time limit even if neither the caller nor the route sets one.
func TestEveryRequestHasATimeLimit(t *testing.T) {
	for _, c := range []struct{ deadline, timeout, want time.Duration }{
		{0, 0, maxResponseTime},
		{0, 3 * time.Second, 3 * time.Second},
		{2 * time.Second, 3 * time.Second, 2 * time.Second},
		{4 * time.Second, 3 * time.Second, 3 * time.Second},
		{4 * time.Second, 0, 4 * time.Second},
	} {
		x := &exchange{header: platform.RequestHeader{Deadline: c.deadline}, route: &chestnutstream.Route{Timeout: c.timeout}}
		assert.Equal(t, x.timeLimit(), c.want)
	}
}
