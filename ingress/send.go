package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/tcp"
)

// Connections to backend servers.
const (
	dialTimeout    = 160 * time.Millisecond  // a server of the region answers within milliseconds, and an instance stands still for up to 100
	idleOnce       = 700 * time.Millisecond  // servers drop idle connections without notice, and what may run once cannot be sent again
	idleRepeatable = 4 * time.Second         // what may be repeated is sent again
	unackedMost    = 1200 * time.Millisecond // bytes without acknowledgement: the path is cut or the connection lost
	idlePerServer  = 32
	headerMost     = 64 << 10 // bytes of an answer's headers
)

func newTransport(idle time.Duration) *http.Transport {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.LimitUnacked(unackedMost)}
	return &http.Transport{
		DialContext:  d.DialContext,
		MaxIdleConns: 0, MaxIdleConnsPerHost: idlePerServer, IdleConnTimeout: idle,
		DisableCompression: true, MaxResponseHeaderBytes: headerMost,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}
}

// sent is an attempt at one backend server whose answer has begun.
type sent struct {
	resp   *http.Response
	cancel context.CancelFunc
}

func (a *sent) close() {
	_ = a.resp.Body.Close()
	a.cancel()
}

// once is a request body that the HTTP library cannot send a second time.
type once struct{ io.Reader }

// Close implements io.Closer.
func (once) Close() error { return nil }

// errSilent ends an attempt that brought no answer in time.
var errSilent = errors.New("no answer in time")

// impatient gives an attempt up once its server was silent for as long as patience
// and another one may be asked. While there is none the server keeps its work: it
// may only be slow.
func (x *exchange) impatient(p Placed, patience time.Duration, giveUp func()) (stop func()) {
	avoid := maps.Clone(x.avoid)
	avoid[p.Server.ID] = true
	var mu sync.Mutex
	stopped := false
	var t *time.Timer
	mu.Lock()
	defer mu.Unlock()
	t = time.AfterFunc(patience, func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case x.server.dispatcher.Elsewhere(x.service, avoid):
			giveUp()
		default:
			t.Reset(patience)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		t.Stop()
	}
}

// send sends the request to one server and waits for the beginning of its
// answer, at most patience (0: to the end). handed reports whether a connection
// was handed the request.
func (x *exchange) send(p Placed, lastEvent string, patience time.Duration) (a *sent, handed bool, err error) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	stop := func() { cancel(nil) }
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	req, err := x.request(ctx, p, lastEvent)
	if err != nil {
		stop()
		return nil, false, err
	}
	if patience > 0 {
		defer x.impatient(p, patience, func() { cancel(errSilent) })()
	}
	transport := x.server.fresh
	if x.route.Repeatable() {
		transport = x.server.kept
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		stop()
		return nil, got.Load(), fmt.Errorf("send to %s: %w", p.Server.ID, err)
	}
	return &sent{resp: resp, cancel: stop}, true, nil
}

// request builds the request for a server: method, path, query and body are the
// caller's, byte for byte.
func (x *exchange) request(ctx context.Context, p Placed, lastEvent string) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: p.Server.Address, Opaque: x.r.RequestURI}
	if strings.HasPrefix(x.r.RequestURI, "//") || !strings.HasPrefix(x.r.RequestURI, "/") {
		u = &url.URL{Scheme: "http", Host: p.Server.Address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	}
	left := x.left()
	if left <= 0 {
		return nil, fmt.Errorf("request to %s: %w", p.Server.ID, context.DeadlineExceeded)
	}
	h := platform.ForwardedHeader(x.r.Header)
	platform.Directions{Server: p.Server.ID, Version: p.Version, Left: left, Priority: x.priority()}.Set(h)
	if lastEvent != "" {
		h.Set("Last-Event-Id", lastEvent)
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // the library adds none then
	}
	req := (&http.Request{Method: x.r.Method, URL: u, Host: x.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	req.ContentLength = int64(len(x.body))
	req.Body = once{bytes.NewReader(x.body)}
	return req, nil
}

// Priorities that are told to engines: 0 is first, and 5 is what they take
// where none is said.
const (
	priorityFirst = 1
	priorityStep  = 2
	priorityLast  = 9
	prioritySaid  = -1
)

// priority returns the request's rank at an engine.
func (x *exchange) priority() int {
	if s := x.table.Services[x.service]; s == nil || s.Engine == nil {
		return prioritySaid
	}
	return min(priorityFirst+priorityStep*x.route.Priority, priorityLast)
}
