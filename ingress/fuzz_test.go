package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// FuzzServerBytes lets a backend server respond with arbitrary bytes. The caller
// gets a success only if they are a complete, signed response with its id.
func FuzzServerBytes(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-0\r\nX-Chestnutstream-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
	f.Add([]byte("HTTP/1.1 503 Full\r\nX-Chestnutstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, response []byte) {
		b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Write(response)
			return false
		})
		srv := newTestServer(t, b)
		resp, body, err := srv.send(t, "POST", "/order/1", "x")
		if err != nil || resp.StatusCode/100 != 2 {
			return
		}
		if resp.Header.Get("X-Chestnutstream-Request-Id") != "r-1" || resp.Header.Get("X-Chestnutstream-Server-Signature") == "" {
			t.Fatalf("%q was relayed as a success", response)
		}
		if !bytes.Contains(response, []byte(body)) && !bytes.Contains(bytes.ToLower(response), []byte("chunked")) {
			t.Fatalf("%q became %q", response, body)
		}
	})
}

// FuzzCallerBytes sends arbitrary bytes as a caller. No request reaches a backend
// server with an id or path that the caller did not send.
func FuzzCallerBytes(f *testing.F) {
	f.Add([]byte("POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("GET /look/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nX-Chestnutstream-Request-Id: r-1\r\n\r\n0\r\n\r\nGET /look/2 HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		b := newBackend(t, "i-1", respondOK)
		srv := newTestServer(t, b)
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		_, _ = conn.Write(sent)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = io.Copy(io.Discard, conn)
		b.mu.Lock()
		defer b.mu.Unlock()
		for i, r := range b.requests {
			id := r.Header.Get("X-Chestnutstream-Request-Id")
			if id == "" || !bytes.Contains(sent, []byte(id)) {
				t.Fatalf("request %d has id %q, which the caller did not send", i, id)
			}
			if !bytes.Contains(sent, []byte(r.RequestURI)) {
				t.Fatalf("request %d is for %q, which the caller did not send", i, r.RequestURI)
			}
		}
	})
}
