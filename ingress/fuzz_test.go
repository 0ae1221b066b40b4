package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutstream/chestnutstream/connlimit"
)

// FuzzServerBytes lets a backend server respond with arbitrary bytes. The caller
// gets a success only if they are a complete, signed response with its id, and always a
// response.
func FuzzServerBytes(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-0\r\nX-Chestnutstream-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
	f.Add([]byte("HTTP/1.1 503 Full\r\nX-Chestnutstream-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Add([]byte("HTTP/1.1 000 Odd\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nX-Chestnutstream-Request-Id: r-1\r\nX-Chestnutstream-Server-Signature: s\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		b := newBackend(t, "i-1", func(c net.Conn, _ *http.Request, _ string) bool {
			_, _ = c.Write(response)
			return false
		})
		srv := newTestServer(t, b)
		resp, body, err := srv.send(t, "POST", "/order/1", "x")
		if resp == nil {
			t.Fatalf("%q: no response: %v", response, err)
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > 599 {
			t.Fatalf("%q was relayed with status %d", response, resp.StatusCode)
		}
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

// FuzzCallerBytes sends arbitrary bytes as a caller, in two parts, through the limits of
// connections. No request reaches a backend server with an id or path that the caller did
// not send, and no connection stays counted.
func FuzzCallerBytes(f *testing.F) {
	const (
		ordinary = "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nContent-Length: 5\r\n\r\nhello"
		chunked  = "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nX-Chestnutstream-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	f.Add([]byte(ordinary), 20)
	f.Add([]byte(chunked+"5\r\nhello\r\n0\r\n\r\n"), len(chunked))
	f.Add([]byte("GET /look/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\nX-Chestnutstream-Request-Id: r-1\r\n\r\n0\r\n\r\nGET /look/2 HTTP/1.1\r\n\r\n"), 0)
	f.Add([]byte(ordinary+ordinary), len(ordinary)+1)
	f.Add([]byte(ordinary[:len(ordinary)-3]), 10)
	f.Add([]byte("\r\n\r\n\r\n"+ordinary), 1)
	f.Add([]byte("POST /order/1 HTTP/1.1\r\nHost: h.example\r\nno colon\r\n\r\n"), 30)
	f.Add([]byte("POST /order/1 HTTP/1.1\r\n"+strings.Repeat("X:1\r\n", 4000)), 5000)
	f.Add([]byte("GET /"+strings.Repeat("x", 20<<10)), 4096)
	f.Add([]byte(chunked+strings.Repeat("0", 5000)), len(chunked)+1)
	f.Add([]byte(chunked+"1;"+strings.Repeat("x", 20000)), len(chunked)+4096)
	f.Add([]byte(chunked+"0\r\n"+strings.Repeat("X: 1\r\n", 2000)), len(chunked)+3)
	f.Add([]byte("GET /instance HTTP/1.1\r\nHost: h.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"), 3)
	f.Add([]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"), 1)
	f.Fuzz(func(t *testing.T, sent []byte, cut int) {
		b := newBackend(t, "i-1", respondOK)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		set := metrics.NewSet()
		l := connlimit.NewListener(inner, connlimit.Settings{
			Kind: connlimit.KindCallers, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}, Metrics: set,
			Head: func() connlimit.HeadLimits { return connlimit.HeadLimits{Bytes: 8 << 10, Timeout: time.Second} },
		})
		srv := l.Server(newTestServer(t, b).handler, time.Second)
		go func() { _ = srv.Serve(l) }()
		defer srv.Close()
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Skip(err)
		}
		defer conn.Close()
		cut = min(max(cut, 0), len(sent))
		_, _ = conn.Write(sent[:cut])
		time.Sleep(time.Millisecond) // so that the parts are read one by one
		_, _ = conn.Write(sent[cut:])
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		awaitNoConnections(t, set)
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

// awaitNoConnections fails the test if a connection stays counted after its end.
func awaitNoConnections(t *testing.T, set *metrics.Set) {
	var out bytes.Buffer
	for range 1000 {
		out.Reset()
		set.WritePrometheus(&out)
		if strings.Contains(out.String(), `chestnutstream_connections{listener="callers"} 0`) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("a connection is still counted: %s", out.String())
}
