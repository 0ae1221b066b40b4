// Package hostile has clients that violate the limits of HTTP servers: they send heads
// and bodies without end, or keep connections open and send nothing. Tests and the soak
// run them against processes of the system.
//
// # Usage
//
//	for _, crowd := range hostile.Crowds() {
//		crowd.Run(ctx, address, 600)
//	}
package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	redialDelay  = 400 * time.Millisecond // after the server has closed a connection
	resetDelay   = 10 * time.Millisecond  // between connections of a crowd that resets them
	blockBytes   = 8 << 10                // of what is repeated
)

// Crowd is a kind of client. Each of its clients keeps one connection, and opens the
// next one some time after the server has closed it.
type Crowd struct {
	Name   string
	First  string        // sent at once
	Repeat string        // sent again and again afterwards; empty: nothing more
	Pause  time.Duration // between repetitions
	Unread bool          // responses are not read
	Reset  bool          // the connection is reset once First is sent
}

const (
	requestLine = "POST /order/1 HTTP/1.1\r\n"
	host        = "Host: h.example\r\n"
	requestID   = "X-Chestnutstream-Request-Id: hostile\r\n"
	chunked     = requestLine + host + requestID + "Transfer-Encoding: chunked\r\n\r\n"
	upgrade     = host + "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	tlsHello    = "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"
)

// block repeats s to about blockBytes.
func block(s string) string { return strings.Repeat(s, blockBytes/len(s)) }

// shortLines returns distinct short header lines of about n bytes.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "X%d:1\r\n", i)
	}
	return b.String()
}

// Crowds returns all crowds.
func Crowds() []Crowd {
	first := requestLine + host
	return append(HeadCrowds(), []Crowd{
		{Name: "complete heads over the limit", First: first + requestID + strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 100) + "\r\n"},
		{Name: "header lines without a colon", First: first + strings.Repeat("xxxx\r\n", 1000), Repeat: block("xxxx\r\n")},
		{Name: "request line without end", Repeat: block("x")},
		{Name: "chunk sizes without end", First: chunked, Repeat: block("0")},
		{Name: "chunk extensions without end", First: chunked + "1;", Repeat: block("x")},
		{Name: "trailers without end", First: chunked + "0\r\n", Repeat: block("X-More: 1\r\n")},
		{Name: "bodies of one byte per second", First: requestLine + host + requestID + "Content-Length: 90000\r\n\r\n", Repeat: "x", Pause: time.Second},
		{Name: "large heads, bodies of one byte per second", First: requestLine + host + requestID + "Content-Length: 90000\r\n" + shortLines(15<<10) + "\r\n", Repeat: "x", Pause: time.Second},
		{Name: "pipelined requests, responses not read", Repeat: block("GET /none HTTP/1.1\r\n" + host + "\r\n"), Unread: true},
		{Name: "TLS hello", First: tlsHello},
		{Name: "connections opened and reset", First: first, Reset: true},
	}...)
}

// HeadCrowds returns the crowds that complete no request, or one that opens a connection
// of another protocol.
func HeadCrowds() []Crowd {
	first := requestLine + host
	return []Crowd{
		{Name: "thousands of short header lines, no end", First: first + shortLines(43<<10)},
		{Name: "heads that grow without end", First: first, Repeat: block("X-More: 1\r\n")},
		{Name: "one header line of 58 KB, no end", First: first + "X-Long: " + strings.Repeat("x", 58<<10)},
		{Name: "empty lines without end", Repeat: block("\r\n")},
		{Name: "connections that send nothing"},
		{Name: "upgrades", First: "GET /instance HTTP/1.1\r\n" + upgrade},
	}
}

// Busy reports whether the clients send as fast as they can.
func (c Crowd) Busy() bool { return c.Repeat != "" && c.Pause == 0 || c.Reset }

// Run runs n clients against the server at address until ctx ends, and returns when all
// connections are closed.
func (c Crowd) Run(ctx context.Context, address string, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				delay := redialDelay
				if c.Reset {
					delay = resetDelay
				}
				c.connect(ctx, address)
				select {
				case <-ctx.Done():
				case <-time.After(delay):
				}
			}
		})
	}
	wg.Wait()
}

// connect opens a connection and sends what this crowd sends, until the server closes it
// or ctx ends.
func (c Crowd) connect(ctx context.Context, address string) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if c.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_, _ = io.WriteString(conn, c.First)
		return
	}
	closed := make(chan struct{})
	if !c.Unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	if err := send(conn, c.First); err != nil {
		return
	}
	for c.Repeat != "" {
		if err := send(conn, c.Repeat); err != nil && !c.Unread {
			return
		} else if err != nil {
			break // nothing more fits into the buffers between both ends
		}
		if c.Pause == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-closed:
			return
		case <-time.After(c.Pause):
		}
	}
	select {
	case <-ctx.Done():
	case <-closed:
	}
}

// send writes s and fails if the server does not read it for long.
func send(conn net.Conn, s string) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(conn, s); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
