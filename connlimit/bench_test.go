package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
)

// BenchmarkRequest compares small requests over one connection with and without the limits.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for _, limited := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "limited"}[limited], func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			if limited {
				wrapped := NewListener(l, Settings{Kind: KindCallers, Log: &log.Logger{Handler: discard.New()}, Metrics: metrics.NewSet()})
				srv, l = wrapped.Server(handler, time.Minute), wrapped
			}
			go func() { _ = srv.Serve(l) }()
			defer srv.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(b, err)
			defer conn.Close()
			request := "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 500\r\n" + strings.Repeat("X-Header: some value of it\r\n", 15) + "\r\n" + strings.Repeat("x", 500)
			in := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, request)
				assert.NilError(b, err)
				resp, err := http.ReadResponse(in, nil)
				assert.NilError(b, err)
				_ = resp.Body.Close()
			}
		})
	}
}
