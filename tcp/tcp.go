// Package tcp sets what the network library does not: how long the kernel keeps
// bytes that the other end does not acknowledge.
//
// # Usage
//
//	d := net.Dialer{Control: tcp.LimitUnacked(1200 * time.Millisecond)}
package tcp

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacked returns the control function of a dialer whose connections fail
// when bytes are not acknowledged for d: the path is cut, or something between
// the ends has lost track of the connection.
func LimitUnacked(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); err != nil {
			return fmt.Errorf("control socket: %w", err)
		}
		if failed != nil {
			return fmt.Errorf("set user timeout: %w", failed)
		}
		return nil
	}
}
