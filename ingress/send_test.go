package ingress

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// A sound server may be silent for a second or so, also for the kernel.
func TestConnectionsOutlastTheSilenceOfASoundServer(t *testing.T) {
	const silence = 1500 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := Dial(context.Background(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var ms, keepAlive int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		keepAlive, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}))
	assert.Assert(t, time.Duration(ms)*time.Millisecond > silence, "unacknowledged bytes fail the connection after %d ms", ms)
	assert.Equal(t, keepAlive, 0, "the timeout would also end keep-alive probes")
}
