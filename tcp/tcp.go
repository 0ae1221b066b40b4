// Package tcp has what package net does not offer for connections: how long the kernel
// waits for the other end to acknowledge sent bytes, and how much a handshake reads.
//
// # Usage
//
//	d := net.Dialer{Control: tcp.LimitUnacked(1200 * time.Millisecond)}
//	dial, complete := tcp.LimitHandshake(d.DialContext, 16<<10)
package tcp

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitUnacked returns a control function for a net.Dialer. Its connections fail if
// sent bytes are not acknowledged within d, because the network path is cut or a
// device on it has lost the state of the connection. It sets TCP_USER_TIMEOUT.
func LimitUnacked(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		if err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		}); err != nil {
			return fmt.Errorf("control socket: %w", err)
		}
		if optErr != nil {
			return fmt.Errorf("set user timeout: %w", optErr)
		}
		return nil
	}
}
