package http1

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection to a server that fails to read a malformed response, or one that was
// reset.
//
// A server may respond, and end or reset the connection, while its request is still being
// written. The kernel returns the error of a socket once, to a write or to a read; the other one
// gets what is left, which for a read is an orderly end. So a write that finds the connection
// gone does not end the response: a read decides how it ended, behind its last byte.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	head      head
	malformed error // what was read; no more is

	writing  sync.Mutex // held during a write
	begun    bool       // bytes of the present request were written
	writeErr error      // the first one
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.check(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	if err == io.EOF {
		return n, c.end()
	}
	return n, err
}

// end returns the error of a read that got the end of the connection.
func (c *Conn) end() error {
	if !c.writing.TryLock() {
		// The write may be about to return the error. No more of the request is needed.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	// Linux: a write gets EPIPE once the end of the connection has arrived in order, and any
	// other error of the socket if it has not.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return fmt.Errorf("read: the connection has ended: %w", c.writeErr)
}

// Write implements net.Conn. Once a request has begun, bytes that the server no longer takes are
// dropped without an error.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n := 0
	if c.writeErr == nil {
		n, c.writeErr = c.Conn.Write(p)
		c.begun = c.begun || n > 0
	}
	switch {
	case c.writeErr == nil:
		return n, nil
	case c.begun && isGone(c.writeErr):
		return len(p), nil
	}
	if malformed := c.check(nil); malformed != nil {
		return n, malformed // for which the connection was closed
	}
	return n, c.writeErr
}

// isGone reports whether an error of a write means that the server's end of the connection was
// closed or reset. What has arrived before can be read.
func isGone(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// check checks bytes of a response. It fails for all that follow a malformed one.
func (c *Conn) check(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.malformed == nil {
		c.malformed = c.head.read(b)
	}
	return c.malformed
}

// beginRequest tells that the next bytes are those of a new request and of its response.
func (c *Conn) beginRequest() {
	c.writing.Lock()
	c.begun = false
	c.writing.Unlock()
	c.mu.Lock()
	c.head = head{}
	c.mu.Unlock()
}
