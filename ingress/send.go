package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/tcp"
)

// Limits of connections to backend servers.
const (
	dialTimeout              = 160 * time.Millisecond // servers of the region accept within milliseconds, and an instance may be paused for up to 100 ms
	idleTimeoutNonRepeatable = 700 * time.Millisecond // servers drop idle connections without notice, and a non-repeatable request cannot be sent again
	idleTimeoutRepeatable    = 4 * time.Second        // a repeatable request that meets a dropped connection is sent again
	unackedTimeout           = 2 * time.Second        // bytes unacknowledged for so long: the network path is cut or the connection lost; a sound server may be silent for a second or so
	maxIdleConnsPerServer    = 32
	maxHeaderBytes           = 64 << 10 // header size of a response
)

// Dial connects to a backend server or another instance.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.LimitUnacked(unackedTimeout)}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return conn, nil
}

// newTransport returns a transport whose idle connections are closed after idle; 0: each request
// has a connection of its own.
func newTransport(dial chestnutstream.DialFunc, idle time.Duration) *http1.Transport {
	if dial == nil {
		dial = Dial
	}
	return http1.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial %s: %w", address, err)
			}
			return &serverConn{Conn: conn}, nil
		},
		MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerServer, IdleConnTimeout: idle, DisableKeepAlives: idle == 0,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	})
}

// backendResponse is the response of one attempt whose header has arrived.
type backendResponse struct {
	resp      *http.Response
	conn      *serverConn
	cancel    context.CancelFunc
	connected bool     // on a connection opened for it
	seq       int      // number of the request on its connection
	earlier   []string // requests sent on the connection before it
	belongs   attribution
	rejected  bool         // the server has not run the request
	body      *trackedBody // of resp
}

// isValid reports whether the response belongs to the request and carries a server's
// signature.
func (br *backendResponse) isValid() bool {
	return br.belongs == ownResponse && br.resp.Header.Get(platform.HeaderSignature) != ""
}

func (br *backendResponse) close() {
	_ = br.resp.Body.Close()
	br.cancel()
}

// oneShotBody is a request body that net/http cannot send a second time.
type oneShotBody struct{ io.Reader }

// Close implements io.Closer.
func (oneShotBody) Close() error { return nil }

// Errors of attempts whose connection was closed before any byte of the request was written.
var (
	errNotWritten  = errors.New("connection closed before the request was written")
	errNotAccepted = errors.New("new connection closed by the server") // the same for a connection opened for the request
)

// errNoResponse is the cause that cancels an attempt whose wait timeout expired.
var errNoResponse = errors.New("no answer in time")

// startWaitTimer calls abort when the server has not responded for waitTimeout and
// another server can be tried, for which it charges the retry budget: others may spend it
// otherwise before the request is sent again. While there is none the attempt continues,
// because the server may only be slow; this is checked again after each waitTimeout.
func (x *exchange) startWaitTimer(a Assignment, waitTimeout time.Duration, abort func()) (stop func()) {
	avoid := maps.Clone(x.avoid)
	avoid[a.Server.ID] = true
	var mu sync.Mutex
	stopped := false
	var t *time.Timer
	mu.Lock()
	defer mu.Unlock()
	t = time.AfterFunc(waitTimeout, func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case x.server.dispatcher.ReserveRetry(x.service, avoid):
			x.retryReserved.Store(true)
			abort()
		default:
			t.Reset(waitTimeout)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		t.Stop()
	}
}

// connTrace records the connection that the transport gives to an attempt. The transport
// does so in the goroutine of the round trip.
type connTrace struct {
	requestID string
	conn      *serverConn // nil: none was given
	isNew     bool        // opened for the attempt
	seq       int         // number of the request on the connection
	earlier   []string    // IDs of the requests before it
	refused   bool        // the connection has rejected the request before, and is closed
	withheld  bool        // the server may no longer be sent requests, and the connection is closed
}

func (t *connTrace) gotConn(c *http1.Conn, reused bool) {
	t.conn, t.isNew = c.Conn.(*serverConn), !reused
	t.refused = t.conn.hasRejected(t.requestID)
	if t.refused {
		t.conn.abandon()
	}
	t.seq, t.earlier = t.conn.recordRequest(t.requestID)
}

// checkServer closes the connection that the request was given if its server has begun to
// leave since the request was placed.
func (x *exchange) checkServer(t *connTrace, a Assignment) {
	if a.Peer != "" {
		return
	}
	age, ok := x.server.dispatcher.BeforeSend(a)
	x.sendViewAge = age
	if !ok {
		t.withheld = true
		t.conn.abandon()
	}
}

// withdraw reports whether the request was never written to a connection that it was given.
func (t *connTrace) withdraw() bool { return t.conn != nil && t.conn.withdraw(t.seq) }

// send sends the request to one server and waits for the header of its response,
// up to waitTimeout if another server can be tried (0: until the deadline). connected
// reports whether the request got a connection, so that the server may have
// received it.
func (x *exchange) send(a Assignment, lastEventID string, waitTimeout time.Duration) (br *backendResponse, connected bool, err error) {
	t := &connTrace{requestID: x.header.ID}
	ctx, cancel := context.WithCancelCause(x.ctx)
	stop := func() { cancel(nil) }
	if waitTimeout > 0 {
		defer x.startWaitTimer(a, waitTimeout, func() { cancel(errNoResponse) })()
	}
	resp, err := x.roundTrip(ctx, t, a, lastEventID)
	if err == nil {
		br = &backendResponse{resp: resp, conn: t.conn, cancel: stop, connected: t.isNew, seq: t.seq, earlier: t.earlier, belongs: attribute(resp.Header, x.header.ID, t.earlier)}
		br.body = &trackedBody{ReadCloser: resp.Body}
		if a.Peer == "" && endsWithConnection(resp) {
			br.body.crashed = func() bool { return x.server.dispatcher.HasCrashed(x.ctx, a) }
		}
		resp.Body = br.body
		if br.belongs != ownResponse {
			t.conn.abandon()
		}
		x.logAttribution(a, br)
		return br, true, nil
	}
	cause := context.Cause(ctx)
	stop()
	if cause != nil {
		err = cause
	}
	if !t.withdraw() {
		return nil, t.conn != nil, fmt.Errorf("send to %s: %w", a.Server.ID, err)
	}
	notSent := errNotWritten
	if t.isNew && cause == nil && !t.withheld {
		notSent = errNotAccepted
	}
	return nil, false, fmt.Errorf("send to %s: %w: %w", a.Server.ID, notSent, err)
}

// roundTrip sends the request. If it is given a connection that has rejected it before, it
// goes on a new one instead.
func (x *exchange) roundTrip(ctx context.Context, t *connTrace, a Assignment, lastEventID string) (*http.Response, error) {
	resp, err := x.roundTripOn(ctx, x.transport(), t, a, lastEventID)
	if !t.refused {
		return resp, err
	}
	if err == nil {
		_ = resp.Body.Close() // a late copy that had arrived already
	}
	*t = connTrace{requestID: t.requestID}
	return x.roundTripOn(ctx, x.server.singleUse, t, a, lastEventID)
}

func (x *exchange) roundTripOn(ctx context.Context, transport *http1.Transport, t *connTrace, a Assignment, lastEventID string) (*http.Response, error) {
	req, err := x.request(ctx, a, lastEventID)
	if err != nil {
		return nil, err
	}
	resp, err := transport.RoundTripConn(req, func(c *http1.Conn, reused bool) { t.gotConn(c, reused); x.checkServer(t, a) })
	if err != nil {
		return nil, fmt.Errorf("round trip: %w", err)
	}
	return resp, nil
}

func (x *exchange) transport() *http1.Transport {
	if x.route.Repeatable() {
		return x.server.repeatable
	}
	return x.server.nonRepeatable
}

// request builds the request for a server. Method, path, query and body are the
// caller's, byte for byte.
func (x *exchange) request(ctx context.Context, a Assignment, lastEventID string) (*http.Request, error) {
	u := &url.URL{Scheme: "http", Host: a.Server.Address, Opaque: x.r.RequestURI}
	if strings.HasPrefix(x.r.RequestURI, "//") || !strings.HasPrefix(x.r.RequestURI, "/") {
		u = &url.URL{Scheme: "http", Host: a.Server.Address, Path: x.r.URL.Path, RawPath: x.r.URL.RawPath, RawQuery: x.r.URL.RawQuery, ForceQuery: x.r.URL.ForceQuery}
	}
	remaining := x.remaining()
	if remaining <= 0 {
		return nil, fmt.Errorf("request to %s: %w", a.Server.ID, context.DeadlineExceeded)
	}
	h := platform.ForwardedHeader(x.r.Header)
	x.setWorkspace(h)
	if a.Peer != "" {
		platform.SetDeadline(h, x.forwardDeadline())
		x.setForwardHeaders(h)
	} else {
		x.setConstraints(h, a, remaining)
	}
	if lastEventID != "" {
		h.Set(platform.HeaderLastEventID, lastEventID)
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // prevents net/http from adding its own
	}
	req := (&http.Request{Method: x.r.Method, URL: u, Host: x.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	req.ContentLength = int64(len(x.body))
	req.Body = oneShotBody{bytes.NewReader(x.body)}
	return req, nil
}

// setConstraints sets the headers by which a server runs the request only as intended.
func (x *exchange) setConstraints(h http.Header, a Assignment, remaining time.Duration) {
	platform.RequestConstraints{Server: a.Server.ID, Version: a.Version, Remaining: remaining, Priority: x.priority()}.Set(h)
}

// Priorities sent to engines, 0 to 9: 0 is the highest, and engines assume 5 if
// none is sent.
const (
	highestPriority = 1
	priorityStep    = 2
	lowestPriority  = 9
	priorityUnset   = -1
)

// priority returns the request's priority at an engine, priorityUnset for services
// without engines.
func (x *exchange) priority() int {
	if s := x.table.Services[x.service]; s == nil || s.Engine == nil {
		return priorityUnset
	}
	return min(highestPriority+priorityStep*x.rank(), lowestPriority)
}
