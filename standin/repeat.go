package standin

import (
	"bytes"
	"context"
	"net"
	"net/http"
)

// backendConn is a connection to a Backend, used by one request at a time.
type backendConn struct {
	net.Conn
	rejected  string // ID of the previous request, if it was rejected
	rejection []byte // its response; nil if it was not rejected
}

type backendConnKey struct{}

// Server returns an HTTP server for the Backend, with connections that remember
// rejections.
func (b *Backend) Server() *http.Server {
	return &http.Server{Handler: b, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, backendConnKey{}, &backendConn{Conn: c})
	}}
}

// recordRejection records the response to a request that is rejected.
func (b *Backend) recordRejection(r *http.Request, status int, h http.Header) {
	b.mu.Lock()
	b.rejectedIDs[r.Header.Get("X-Chestnutstream-Request-Id")] = true
	b.mu.Unlock()
	c, ok := r.Context().Value(backendConnKey{}).(*backendConn)
	if !ok {
		return
	}
	var copied bytes.Buffer
	_ = (&http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h}).Write(&copied) // a Buffer returns no error
	c.rejected, c.rejection = r.Header.Get("X-Chestnutstream-Request-Id"), copied.Bytes()
}

// repeatRejection sends the previous response on a request's connection again if it was
// a rejection, for every n-th such request. The request has begun to run.
func (b *Backend) repeatRejection(r *http.Request, every int) {
	c, ok := r.Context().Value(backendConnKey{}).(*backendConn)
	if !ok || c.rejection == nil {
		return
	}
	rejection := c.rejection
	c.rejection = nil
	b.mu.Lock()
	b.repeatable++
	repeat := every > 0 && b.repeatable%every == 0
	if repeat {
		b.counts.RepeatedRejections++
		if c.rejected == r.Header.Get("X-Chestnutstream-Request-Id") {
			b.counts.RepeatedToSameRequest++
		}
	}
	b.mu.Unlock()
	if repeat {
		_, _ = c.Write(rejection) // before net/http writes any of the request's own response
	}
}
