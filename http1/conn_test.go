package http1

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const wellFormed = "HTTP/1.1 200 OK\r\n\r\n"

// scriptedConn is a connection whose reads return a response and then its end, and whose writes
// return results in turn.
type scriptedConn struct {
	net.Conn
	response io.Reader
	writes   []func(p []byte) (int, error)
	deadline chan struct{} // closed when a write deadline is set
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.response.Read(p) }

func (c *scriptedConn) Write(p []byte) (int, error) {
	write := c.writes[0]
	c.writes = c.writes[1:]
	return write(p)
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

func wrote(p []byte) (int, error) { return len(p), nil }

func failsWith(n int, err error) func([]byte) (int, error) {
	return func([]byte) (int, error) { return n, &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)} }
}

// Guards against an end of a connection that is taken for one in order though a write got the
// error, and the other way round.
func TestEndOfConnectionAfterAFailedWrite(t *testing.T) {
	tests := []struct {
		name   string
		writes []func(p []byte) (int, error) // nil: none
		failed error                         // of the last write
		cause  error                         // of the end; nil: it is in order
	}{
		{"no write failed", []func([]byte) (int, error){wrote}, nil, nil},
		{"reset", []func([]byte) (int, error){wrote, failsWith(0, syscall.ECONNRESET)}, nil, syscall.ECONNRESET},
		{"reset within a write", []func([]byte) (int, error){failsWith(2, syscall.ECONNRESET)}, nil, syscall.ECONNRESET},
		{"reset, then closed", []func([]byte) (int, error){wrote, failsWith(0, syscall.ECONNRESET), failsWith(0, syscall.EPIPE)}, nil, syscall.ECONNRESET},
		{"reset before the request", []func([]byte) (int, error){failsWith(0, syscall.ECONNRESET)}, syscall.ECONNRESET, syscall.ECONNRESET},
		{"ended in order", []func([]byte) (int, error){wrote, failsWith(0, syscall.EPIPE)}, nil, nil},
		{"not acknowledged", []func([]byte) (int, error){wrote, failsWith(0, syscall.ETIMEDOUT)}, syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"unreachable", []func([]byte) (int, error){wrote, failsWith(0, syscall.EHOSTUNREACH)}, syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Conn{Conn: &scriptedConn{response: strings.NewReader(wellFormed + "part"), writes: tt.writes}}
			c.beginRequest()
			for i := range tt.writes {
				n, err := c.Write([]byte("body"))
				if i+1 < len(tt.writes) || tt.failed == nil {
					assert.NilError(t, err)
					assert.Equal(t, n, 4)
				} else {
					assert.Assert(t, errors.Is(err, tt.failed), "%v", err)
				}
			}
			body, err := io.ReadAll(c)
			assert.Equal(t, string(body), wellFormed+"part")
			assert.Assert(t, errors.Is(err, tt.cause), "%v", err)
			if tt.cause != nil {
				c.beginRequest()
				_, err = c.Write([]byte("body"))
				assert.Assert(t, errors.Is(err, tt.cause), "a request after the end: %v", err)
			}
		})
	}
}

// Guards against an end that is returned before the write that gets its cause has returned, and
// against one that waits for a write without end.
func TestEndOfConnectionDuringAWrite(t *testing.T) {
	for _, tt := range []struct{ err, cause error }{{syscall.ECONNRESET, syscall.ECONNRESET}, {os.ErrDeadlineExceeded, nil}} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			begun, deadline := make(chan struct{}), make(chan struct{})
			blocks := func([]byte) (int, error) {
				close(begun)
				<-deadline
				return 0, &net.OpError{Op: "write", Err: tt.err}
			}
			c := &Conn{Conn: &scriptedConn{response: strings.NewReader(wellFormed), writes: []func([]byte) (int, error){wrote, blocks}, deadline: deadline}}
			_, err := c.Write([]byte("head"))
			assert.NilError(t, err)
			go func() { _, _ = c.Write([]byte("body")) }()
			<-begun
			_, err = io.ReadAll(c)
			assert.Assert(t, errors.Is(err, tt.cause), "%v", err)
		})
	}
}

// Guards against bytes that are read behind a malformed response, and an error of the closed
// connection in place of its cause.
func TestMalformedResponseEndsConnection(t *testing.T) {
	c := &Conn{Conn: &scriptedConn{response: strings.NewReader("HTTP/1.1 000\r\n\r\n" + wellFormed), writes: []func([]byte) (int, error){wrote, failsWith(0, net.ErrClosed)}}}
	_, err := c.Write([]byte("head"))
	assert.NilError(t, err)
	var malformed *MalformedError
	for range 2 {
		n, err := c.Read(make([]byte, 16))
		assert.Equal(t, n, 0)
		assert.Assert(t, errors.As(err, &malformed), "%v", err)
	}
	_, err = c.Write([]byte("body"))
	assert.Assert(t, errors.As(err, &malformed), "%v", err)
}
