package standin

import (
	"net"
)

// LateCopies is a listener of a faulty server that sends each response twice: the
// copy arrives late, immediately before the response to the next request on the
// connection. Responses must be small, so that the HTTP server writes each at once.
type LateCopies struct{ net.Listener }

// Accept implements net.Listener.
func (l LateCopies) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c}, nil
}

type lateConn struct {
	net.Conn
	late []byte // the copy of the latest response
}

func (c *lateConn) Write(p []byte) (int, error) {
	if _, err := c.Conn.Write(append(c.late, p...)); err != nil {
		return 0, err
	}
	c.late = append([]byte(nil), p...)
	return len(p), nil
}
