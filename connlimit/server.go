package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP server itself. Those of Settings.Head are lower and in force first.
const (
	serverHeadBytes   = 1 << 20
	serverHeadTimeout = 2 * time.Minute
)

type contextKey struct{}

// Server returns an HTTP server for the listener's connections. The listener learns from it
// what they do.
func (l *Listener) Server(h http.Handler, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: l.handler(h), ReadHeaderTimeout: serverHeadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: serverHeadBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) },
		ConnState:   recordState,
	}
}

// recordState records the state that net/http reports of a connection.
func recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	now := time.Now()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.l.part.Idle(c.state, now)
		c.mode.Store(modeHead)
	case http.StateHijacked:
		c.l.part.Upgrade(c.state, now)
		c.mode.Store(modeHead)
	}
}

// reject is the default of Settings.Reject.
func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "the heads of other requests take all memory for heads", http.StatusServiceUnavailable)
}

// handler returns a handler that passes whole requests to h. A request whose body is not
// complete is passed on as well, but a read of the body fails once its connection is closed.
func (l *Listener) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*Conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		refuse, ok := c.completeHead(r.Body != http.NoBody)
		defer c.endRequest()
		if refuse {
			w.Header().Set("Connection", "close")
			l.cfg.Reject.ServeHTTP(w, r)
			r.Header = http.Header{} // net/http keeps the request for up to half a second after the response
			return
		}
		if !ok {
			panic(http.ErrAbortHandler) // its connection is closed already
		}
		if r.Body != http.NoBody {
			r.Body = &body{ReadCloser: r.Body, c: c}
		}
		h.ServeHTTP(w, r)
	})
}

func (c *Conn) completeHead(hasBody bool) (refuse, ok bool) {
	now := time.Now()
	c.l.mu.Lock()
	victims, refuse, ok := c.l.part.CompleteHead(c.state, hasBody, now)
	if hasBody {
		c.mode.Store(modeBody)
	} else {
		c.mode.Store(modeDirect)
	}
	c.l.mu.Unlock()
	c.l.closeAll(victims, now)
	if refuse {
		c.l.record(ReasonRequestMemory, c.RemoteAddr(), now)
	}
	return refuse, ok
}

func (c *Conn) endRequest() {
	now := time.Now()
	c.l.mu.Lock()
	c.l.part.EndRequest(c.state, now)
	c.l.mu.Unlock()
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	c *Conn
}

// Read implements io.Reader. At the end of the body it fails if the connection was closed
// for others: then the request must not look whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	b.c.l.mu.Lock()
	ok := b.c.l.part.CompleteBody(b.c.state)
	b.c.mode.Store(modeDirect)
	b.c.l.mu.Unlock()
	if !ok {
		return 0, errClosed
	}
	return n, io.EOF
}
