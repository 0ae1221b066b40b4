package http1

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRoundTrip measures a request with a small response on a kept connection, with a trace
// of the connection.
func BenchmarkRoundTrip(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Chestnutstream-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
		_, _ = io.WriteString(w, "from i-1")
	}))
	defer s.Close()
	plain, checked := &http.Transport{}, NewTransport(&http.Transport{})
	transports := []struct {
		name      string
		roundTrip func(req *http.Request) (*http.Response, error)
	}{
		{"net/http", func(req *http.Request) (*http.Response, error) {
			trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {}}
			return plain.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
		}},
		{"http1", func(req *http.Request) (*http.Response, error) {
			return checked.RoundTripConn(req, func(*Conn, bool) {})
		}},
	}
	for _, tt := range transports {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, s.URL, http.NoBody)
				assert.NilError(b, err)
				resp, err := tt.roundTrip(req)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				_ = resp.Body.Close()
			}
		})
	}
}

// BenchmarkHead measures the check of a usual head.
func BenchmarkHead(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nX-Chestnutstream-Request-Id: 9c41d07be2a35f68\r\nX-Chestnutstream-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 800\r\n\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var h head
		if err := h.read(text); err != nil || !h.done {
			b.Fatal(err)
		}
	}
}
