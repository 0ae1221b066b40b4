package http1

import (
	"net"
	"sync"
)

// Conn is a connection to a server that fails to read a malformed response.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	head      head
	malformed error // what was read; no more is
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
	return n, err
}

// Write implements net.Conn. The connection is closed once a malformed response was read, which
// is then the error of a write that has not ended.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		if malformed := c.check(nil); malformed != nil {
			err = malformed
		}
	}
	return n, err
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

// beginRequest tells that the next bytes are those of the response to a new request.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = head{}
}
