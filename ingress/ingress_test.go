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

func TestRequestGoesOnUnchanged(t *testing.T) {
	b := newBackend(t, "i-1", ok)
	f := newFront(t, b)
	resp, body, err := f.ask(t, "POST", "/look/a%2Fb/../c?x=1&y=%20", "the body",
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

// What a backend server may do wrong, and what the caller gets of it on a route
// that may run once and on one that may be repeated. A second server is right.
func TestWrongAnswersAreNeverRelayed(t *testing.T) {
	tests := []struct {
		name       string
		behaviour  behaviour
		onceStatus int
	}{
		{"another request's answer", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-0\r\nX-Chestnutstream-Server-Signature: sig\r\nContent-Length: 5\r\n\r\nother")
			return true
		}, 502},
		{"no signature", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nContent-Length: 5\r\n\r\nforge")
			return true
		}, 502},
		{"no HTTP", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "SSH-2.0-hello\r\n\r\n")
			return false
		}, 502},
		{"closed without an answer", func(net.Conn, *http.Request, string) bool { return false }, 502},
		{"broken off in the body", func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nContent-Length: 50\r\n\r\nhalf", r.Header.Get("X-Chestnutstream-Request-Id"))
			return false
		}, 502},
		{"no length, reset on the way", func(c net.Conn, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nConnection: close\r\n\r\nhalf", r.Header.Get("X-Chestnutstream-Request-Id"))
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, 502},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bad, good := newBackend(t, "i-bad", tt.behaviour), newBackend(t, "i-good", ok)
			f := newFront(t, bad, good)
			resp, body, err := f.ask(t, "POST", "/order/1", "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.onceStatus, body)
			assert.Equal(t, resp.Header.Get("X-Chestnutstream-Server-Signature"), "")
			assert.Equal(t, good.seen(), 0, "what may run once went to a second server")
			resp, body, err = f.ask(t, "GET", "/look/1", "")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, "from i-good")
			assert.Equal(t, f.desk.open, 0, "a place was not given back")
		})
	}
}

func TestUnframedAnswerThatEndsIsWhole(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Signature: sig\r\nConnection: close\r\n\r\nall of it", r.Header.Get("X-Chestnutstream-Request-Id"))
		return false
	})
	f := newFront(t, b)
	_, body, err := f.ask(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, body, "all of it")
}

// A second answer on a kept connection belongs to no request.
func TestExtraAnswerIsNoAnswer(t *testing.T) {
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		say(c, r, "200 OK", "answer to "+r.Header.Get("X-Chestnutstream-Request-Id"))
		time.Sleep(5 * time.Millisecond)
		return say(c, r, "200 OK", "extra of "+r.Header.Get("X-Chestnutstream-Request-Id"))
	})
	f := newFront(t, b)
	for i := range 6 {
		id := fmt.Sprintf("r-%d", i)
		resp, body, err := f.ask(t, "POST", "/order/1", "x", "X-Chestnutstream-Request-Id", id)
		assert.NilError(t, err)
		if resp.StatusCode == 200 {
			assert.Equal(t, body, "answer to "+id)
		}
	}
}

// Not run is said only when it is true.
func TestNotRunIsTrue(t *testing.T) {
	full := func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Chestnutstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	own := func(c net.Conn, r *http.Request, _ string) bool {
		return say(c, r, "503 Service Unavailable", "ran and failed")
	}
	tests := []struct {
		name      string
		behaviour behaviour
		status    int
		signed    bool
	}{
		{"server refuses", full, 503, false},
		{"server's own 503 is its answer", own, 503, true},
		{"connection lost after sending", func(net.Conn, *http.Request, string) bool { return false }, 502, false},
		{"silence to the route's time-out", func(net.Conn, *http.Request, string) bool { time.Sleep(3 * time.Second); return false }, 504, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFront(t, newBackend(t, "i-1", tt.behaviour))
			began := time.Now()
			resp, _, err := f.ask(t, "POST", "/order/1", "x")
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, resp.Header.Get("X-Chestnutstream-Server-Signature") != "", tt.signed)
			if tt.status == 503 && !tt.signed {
				assertRetryAfter(t, resp, 250*time.Millisecond)
			}
			citest.Timely(t, time.Since(began), 2400*time.Millisecond) // the route's time-out is 2 s
		})
	}
}

// assertRetryAfter checks that a caller is told to come back about when its
// request could be served, and returns the time in seconds.
func assertRetryAfter(t *testing.T, resp *http.Response, about time.Duration) float64 {
	t.Helper()
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, s >= (1-retrySpread)*about.Seconds()-0.001 && s <= (1+retrySpread)*about.Seconds()+0.001, "Retry-After %v, want about %v", s, about)
	return s
}

// Those who are refused in the same moment are not told to come back in the same
// moment, and on average at the right one.
func TestRefusedCallersReturnSpread(t *testing.T) {
	f := newFront(t, newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Chestnutstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}))
	const refused = 80
	sum, least, most := 0.0, 1.0, 0.0
	for range refused {
		resp, _, err := f.ask(t, "POST", "/order/1", "x")
		assert.NilError(t, err)
		s := assertRetryAfter(t, resp, 250*time.Millisecond)
		sum, least, most = sum+s, min(least, s), max(most, s)
	}
	assert.Assert(t, most-least > 0.08, "all between %.3f and %.3f s", least, most)
	assert.Assert(t, sum/refused > 0.23 && sum/refused < 0.27, "%.3f s on average", sum/refused)
}

func TestNoConnectionMeansNotRun(t *testing.T) {
	gone, good := newBackend(t, "i-gone", ok), newBackend(t, "i-good", ok)
	assert.NilError(t, gone.l.Close())
	f := newFront(t, gone, good)
	_, body, err := f.ask(t, "POST", "/order/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, body, "from i-good")
}

func TestRetriesKeepToTheBudget(t *testing.T) {
	bad, good := newBackend(t, "i-bad", func(net.Conn, *http.Request, string) bool { return false }), newBackend(t, "i-good", ok)
	f := newFront(t, bad, good)
	f.desk.again = false
	resp, _, err := f.ask(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 502, "it may have run, and may not be sent again")
	assert.Equal(t, good.seen(), 0)
}

func TestServersOwnFailureIsAskedElsewhereOnce(t *testing.T) {
	failing := func(c net.Conn, r *http.Request, id string) bool {
		return say(c, r, "500 Internal Server Error", "failed at "+id)
	}
	b1, b2, b3 := newBackend(t, "i-1", failing), newBackend(t, "i-2", failing), newBackend(t, "i-3", ok)
	f := newFront(t, b1, b2, b3)
	resp, body, err := f.ask(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, body, "failed at i-1")
	assert.Equal(t, b3.seen(), 0, "its route allows two servers")
}

// A stream that breaks off goes on at another server, and every piece comes once.
func TestStreamGoesOnElsewhere(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		streamHead(c, r)
		events(c, 0, 3)
		part := "id: 3\ndata: pie" // broken off in the middle of an event
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	var after string
	goesOn := newBackend(t, "i-2", func(c net.Conn, r *http.Request, _ string) bool {
		after = r.Header.Get("Last-Event-Id")
		streamHead(c, r)
		events(c, 3, 6)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	f := newFront(t, breaks, goesOn)
	_, body, err := f.ask(t, "POST", "/ask/1", "x")
	assert.NilError(t, err)
	assert.Equal(t, after, "2")
	want := ""
	for i := range 6 {
		want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	assert.Equal(t, body, want)
}

func TestStreamThatRunsOnceDoesNotLookComplete(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		streamHead(c, r)
		events(c, 0, 3)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	other := newBackend(t, "i-2", ok)
	f := newFront(t, breaks, other)
	_, body, err := f.ask(t, "POST", "/once/1", "x")
	assert.Assert(t, err != nil, "the answer looks complete: %q", body)
	assert.Equal(t, strings.Count(body, "piece"), 3)
	assert.Equal(t, other.seen(), 0)
}

// A resumed stream whose second server refuses is broken off, not joined with
// another answer.
func TestFailedResumeIsNotJoined(t *testing.T) {
	breaks := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		streamHead(c, r)
		events(c, 0, 2)
		time.Sleep(20 * time.Millisecond)
		return false
	})
	fails := newBackend(t, "i-2", func(c net.Conn, r *http.Request, _ string) bool {
		return say(c, r, "500 Internal Server Error", "sorry")
	})
	f := newFront(t, breaks, fails)
	_, body, err := f.ask(t, "POST", "/ask/1", "x")
	assert.Assert(t, err != nil)
	assert.Assert(t, !strings.Contains(body, "sorry"))
}

func TestEventsAreNotHeldBack(t *testing.T) {
	more := make(chan struct{})
	b := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		streamHead(c, r)
		events(c, 0, 1)
		<-more
		events(c, 1, 2)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	f := newFront(t, b)
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

func TestLeavingCallerEndsTheWork(t *testing.T) {
	ended := make(chan time.Time, 1)
	b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1)) // returns when the connection is closed
		ended <- time.Now()
		return false
	})
	f := newFront(t, b)
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
		t.Fatal("the server still works for a caller that has gone")
	}
}

func TestRefusalsOfOurOwn(t *testing.T) {
	f := newFront(t, newBackend(t, "i-1", ok))
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
			resp, _, err := f.ask(t, tt.method, tt.path, tt.body, tt.headers...)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
		})
	}
}

// Whatever a caller sends on its connection, a backend server gets one request
// for each that the caller's framing holds, and none that stands inside another.
func TestNoRequestIsSmuggled(t *testing.T) {
	inner := "GET /order/inner HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: smuggled\r\n\r\n"
	head := "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nConnection: close\r\n"
	tests := []struct{ name, bytes string }{
		{"in the body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)},
		{"in a chunk", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)},
		{"length and chunks", head + fmt.Sprintf("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)},
		{"two lengths", head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)},
		{"odd chunked", head + "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + inner},
		{"line feeds only", strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 0\n\n" + inner},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, "i-1", ok)
			f := newFront(t, b)
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

// A better answer that is longer than what is read whole arrives whole, too.
func TestLongAnswerOfTheSecondServerIsWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", wholeMost/16+100)
	failing := newBackend(t, "i-1", func(c net.Conn, r *http.Request, _ string) bool {
		return say(c, r, "500 Internal Server Error", "failed")
	})
	better := newBackend(t, "i-2", func(c net.Conn, r *http.Request, _ string) bool { return say(c, r, "200 OK", long) })
	f := newFront(t, failing, better)
	_, body, err := f.ask(t, "GET", "/look/1", "")
	assert.NilError(t, err)
	assert.Equal(t, len(body), len(long))
}

// A stream that is slow but sound goes on to its end; one that brings a byte now
// and then and no event ends with its route's time-out, at the server too.
func TestSlowStreamsGoOnAndStalledOnesEnd(t *testing.T) {
	t.Parallel()
	slow := newBackend(t, "i-slow", func(c net.Conn, r *http.Request, _ string) bool {
		streamHead(c, r)
		for i := range 4 {
			events(c, i, i+1)
			time.Sleep(600 * time.Millisecond)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	resp, body, err := newFront(t, slow).ask(t, "POST", "/once/1", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data: piece"), 4)

	ended := make(chan struct{})
	stalled := newBackend(t, "i-stalled", func(c net.Conn, r *http.Request, _ string) bool {
		defer close(ended)
		streamHead(c, r)
		events(c, 0, 1)
		for {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	began := time.Now()
	_, _, err = newFront(t, stalled).ask(t, "POST", "/once/1", "")
	assert.Assert(t, err != nil, "a stream that ends early looks complete")
	citest.Timely(t, time.Since(began), 3500*time.Millisecond)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the server still works on it")
	}
}

// Where neither the caller nor the route bounds a request, it is bounded all the
// same.
func TestEveryRequestHasADeadline(t *testing.T) {
	for _, c := range []struct{ deadline, timeout, want time.Duration }{
		{0, 0, longestAnswer},
		{0, 3 * time.Second, 3 * time.Second},
		{2 * time.Second, 3 * time.Second, 2 * time.Second},
		{4 * time.Second, 3 * time.Second, 3 * time.Second},
		{4 * time.Second, 0, 4 * time.Second},
	} {
		x := &exchange{header: platform.RequestHeader{Deadline: c.deadline}, route: &chestnutstream.Route{Timeout: c.timeout}}
		assert.Equal(t, x.limit(), c.want)
	}
}
