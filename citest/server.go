package citest

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// Serve listens on loopback until the test ends, and returns the address. It passes the first
// request of each connection to respond, which writes any bytes, and then closes the connection.
// The request's body is left unread.
func Serve(t testing.TB, respond func(conn net.Conn, r *http.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}
