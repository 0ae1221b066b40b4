package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/citest"
)

// orderTimeout limits how long a conn waits for an event, so that a test does not hang.
const orderTimeout = 5 * time.Second

// writeFirstConn is a connection on which a write gets the error of the socket. Linux returns
// it once: a read gets what is left, which is the end of the connection.
type writeFirstConn struct {
	net.Conn
	hold   int           // bytes after which reads wait until a write has failed
	late   bool          // a failed write returns after a read has got the end
	read   int           // bytes
	held   chan struct{} // closed when hold bytes were read
	failed chan struct{} // closed when a write has failed
	ended  chan struct{} // closed when a read has got an error
	once   [3]sync.Once
}

func (c *writeFirstConn) signal(i int, event chan struct{}) { c.once[i].Do(func() { close(event) }) }

func await(event <-chan struct{}) {
	select {
	case <-event:
	case <-time.After(orderTimeout):
	}
}

// Read implements net.Conn.
func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.read >= c.hold {
		c.signal(0, c.held)
		await(c.failed)
	}
	n, err := c.Conn.Read(p)
	c.read += n
	if err != nil {
		c.signal(2, c.ended)
	}
	return n, err
}

// Write implements net.Conn.
func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.signal(1, c.failed)
		if c.late {
			await(c.ended)
		}
	}
	return n, err
}

// connEnd is how a server ends the connection of an early response.
type connEnd string

const (
	endsReset    connEnd = "reset"
	endsFinReset connEnd = "end, then reset"
	endsFinRead  connEnd = "end, the request is read"
	endsKeptOpen connEnd = "none, the request is read later"
)

// readLater is the time until a server that has responded reads the rest of a request.
const readLater = 100 * time.Millisecond

// earlyBackend is a backend that responds before it has read the body of a request. The
// connections of a server with its transports let a write get the error of the socket.
type earlyBackend struct {
	*backend
	head, body string // what it sends, with the request's ID behind head
	how        connEnd
	held       chan struct{} // of the connection; nil: it does not wait for that
}

// newEarlyBackend returns a backend that sends a response with a header and a body, or the
// part of it that body is.
func newEarlyBackend(t *testing.T, header, body string, how connEnd) *earlyBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	b := &earlyBackend{backend: &backend{id: "i-early", l: l}, body: body, how: how}
	b.head = "HTTP/1.1 200 OK\r\n" + header + "X-Chestnutstream-Server-Signature: sig\r\nX-Chestnutstream-Request-Id: r-1\r\n\r\n"
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.respond(conn.(*net.TCPConn))
		}
	}()
	return b
}

func (b *earlyBackend) respond(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	r, err := http.ReadRequest(in)
	for ; err == nil && b.how == endsKeptOpen; r, err = http.ReadRequest(in) {
		_, _ = io.WriteString(conn, b.head+b.body)
		time.Sleep(readLater)
		if n, err := io.Copy(io.Discard, r.Body); err != nil || n != uploadBytes {
			return // also if the connection was not kept
		}
	}
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, b.head+b.body)
	if b.held != nil {
		await(b.held)
	}
	switch b.how {
	case endsReset:
		_ = conn.SetLinger(0)
	case endsFinReset:
		_ = conn.CloseWrite()
		_ = conn.SetLinger(0)
	case endsFinRead:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case endsKeptOpen:
	}
}

// order makes the connections of a server to b such that a write gets the error of the socket.
func (b *earlyBackend) order(f *testServer, late bool) {
	b.held = make(chan struct{})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := Dial(ctx, network, address)
		if err != nil || address != b.l.Addr().String() {
			return conn, err
		}
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that a write is in progress when the connection ends
		return &writeFirstConn{Conn: conn, hold: len(b.head) + len(b.body), late: late, held: b.held, failed: make(chan struct{}), ended: make(chan struct{})}, nil
	}
	f.handler.nonRepeatable, f.handler.repeatable = newTransport(dial, idleTimeoutNonRepeatable), newTransport(dial, idleTimeoutRepeatable)
}

// uploadBytes is more than fits into the buffers of a connection.
const uploadBytes = 1 << 20

// Guards against a part of a response without a length that passes as whole because its
// request's write got the reset.
func TestResetThatAWriteGetsBreaksOffResponse(t *testing.T) {
	t.Parallel()
	const resumed = "id: 1\ndata: piece 1\n\n"
	tests := []struct {
		path, part string
		retried    string // response if another server is left; "": as without one
	}{
		{"/look/1", "four lines", "from i-sound"},
		{"/look/1", strings.Repeat("x", 2*maxBufferedBytes), ""},
		{"/order/1", "four lines", ""},
		{"/order/1", "", ""},
		{"/once/1", eventsOfTruncated[:21], ""},
		{"/ask/1", eventsOfTruncated[:21], eventsOfTruncated[:21] + resumed},
		{"/ask/1", eventsOfTruncated[:30], eventsOfTruncated[:21] + resumed},
	}
	for _, tt := range tests {
		for _, late := range []bool{false, true} {
			for _, others := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, late %t, others %t", tt.path, len(tt.part), late, others), func(t *testing.T) {
					t.Parallel()
					b := newEarlyBackend(t, "", tt.part, endsReset)
					sound := newBackend(t, "i-sound", respondOK)
					if tt.path == "/ask/1" {
						sound = newBackend(t, "i-sound", rawResponse(eventStreamType+fmt.Sprintf("Content-Length: %d", len(resumed)), resumed))
					}
					f := newTestServer(t, b.backend)
					if others {
						f = newTestServer(t, b.backend, sound)
					}
					b.order(f, late)
					resp, body, err := f.send(t, "POST", tt.path, strings.Repeat("x", uploadBytes))
					if others && tt.retried != "" {
						assert.NilError(t, err)
						assert.Equal(t, body, tt.retried)
						return
					}
					assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "looks whole: %.60q", body)
					assert.Equal(t, sound.requestCount(), 0)
				})
			}
		}
	}
}

// Guards against the same in whichever order the kernel has it.
func TestResetDuringAnUploadBreaksOffResponse(t *testing.T) {
	t.Parallel()
	const requests = 100
	f := newTestServer(t, newEarlyBackend(t, "", "four lines", endsReset).backend)
	through := forwardingServer(t, f.peerAddress(t))
	upload := strings.Repeat("x", uploadBytes)
	for i := range requests {
		s := f
		if i%4 == 0 {
			s = through
		}
		resp, body, err := s.send(t, "POST", "/order/1", upload)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "request %d looks whole: %q", i, body)
	}
}

// Guards against a whole response that is lost because its server does not read, or resets, the
// rest of the request.
func TestEarlyResponseIsRelayed(t *testing.T) {
	t.Parallel()
	framed := framings(eventsOfTruncated)
	tests := []struct {
		framing string
		how     connEnd
		ordered bool // a write gets the error
	}{
		{"length", endsKeptOpen, false},
		{"chunked", endsKeptOpen, false},
		{"length", endsFinRead, false},
		{"chunked", endsFinRead, false},
		{"closed", endsFinRead, false},
		{"closed", endsFinReset, true},
		{"length", endsReset, true},
		{"length", endsFinReset, true},
		{"chunked", endsReset, true},
	}
	for _, tt := range tests {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, %s, late %t", tt.framing, tt.how, late), func(t *testing.T) {
				t.Parallel()
				header := eventStreamType
				if tt.framing != "closed" {
					header += framed[tt.framing][0] + "\r\n"
				}
				for _, path := range []string{"/look/1", "/order/1", "/once/1"} {
					b := newEarlyBackend(t, header, framed[tt.framing][1], tt.how)
					f := newTestServer(t, b.backend)
					if tt.ordered {
						b.order(f, late)
					}
					start := time.Now()
					resp, body, err := f.send(t, "POST", path, strings.Repeat("x", uploadBytes))
					assert.NilError(t, err, path)
					assert.Equal(t, resp.StatusCode, http.StatusOK, "%s: %s", path, body)
					assert.Equal(t, body, eventsOfTruncated, path)
					citest.CheckDuration(t, time.Since(start), time.Second)
				}
			})
		}
	}
}
