package tcp

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// LimitHandshake returns a function that opens connections by dial, or by a net.Dialer if
// that is nil. Reading more than maxBytes from one of them fails, until complete is called:
// a client that reads the head of the response to its handshake may not bound it.
func LimitHandshake(dial DialFunc, maxBytes int64) (limited DialFunc, complete func()) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	var done atomic.Bool
	limited = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &handshakeConn{Conn: conn, left: maxBytes, done: &done}, nil
	}
	return limited, func() { done.Store(true) }
}

// handshakeConn is a connection from which only some bytes are read before its handshake is
// complete.
type handshakeConn struct {
	net.Conn
	left int64
	done *atomic.Bool
}

// Read implements net.Conn.
func (c *handshakeConn) Read(p []byte) (int, error) {
	if c.done.Load() {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, fmt.Errorf("handshake with %s: response is too long", c.RemoteAddr())
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}
