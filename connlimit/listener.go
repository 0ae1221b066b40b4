package connlimit

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"
)

// HeadLimits limit the head of one request.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration
}

// DefaultHeadLimits are the limits of a head while no configuration states any.
var DefaultHeadLimits = HeadLimits{Bytes: 64 << 10, Timeout: 10 * time.Second}

// Settings configure a Listener.
type Settings struct {
	Kind    Kind
	Machine Machine
	Head    func() HeadLimits // the limits in force now; nil: the defaults
	Reject  http.Handler      // responds to a request that does not fit and has not run; nil: a plain 503
	Log     log.Interface
	Metrics *metrics.Set
}

// Listener accepts connections within its part of the budget of the process.
type Listener struct {
	net.Listener
	cfg Settings

	mu     sync.Mutex
	part   *Part
	events map[Reason]*events
}

// events counts connections that were closed for one reason.
type events struct {
	total    *metrics.Counter
	unlogged int
	loggedAt time.Time
}

// NewListener returns a listener that accepts the connections of l.
func NewListener(l net.Listener, cfg Settings) *Listener {
	if cfg.Head == nil {
		cfg.Head = func() HeadLimits { return DefaultHeadLimits }
	}
	if cfg.Reject == nil {
		cfg.Reject = http.HandlerFunc(reject)
	}
	out := &Listener{Listener: l, cfg: cfg, part: NewPart(Shares(cfg.Machine, cfg.Kind)), events: map[Reason]*events{}}
	cfg.Metrics.GetOrCreateGauge(`chestnutstream_connections{listener=`+strconv.Quote(string(cfg.Kind))+`}`, func() float64 {
		out.mu.Lock()
		defer out.mu.Unlock()
		return float64(out.part.Len())
	})
	return out
}

// Accept implements net.Listener. Errors are not wrapped, as net/http tries again after
// temporary ones, which it knows by their type.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			_ = accepted.Close()
			return nil, fmt.Errorf("accept: connection is a %T", accepted)
		}
		c := &Conn{TCPConn: tcp, l: l}
		now := time.Now()
		l.mu.Lock()
		state, victim, ok := l.part.Open(c, now)
		c.state = state
		l.mu.Unlock()
		if !ok {
			_ = tcp.Close()
			l.record(ReasonNoRoom, tcp.RemoteAddr(), now)
			continue
		}
		if victim.State != nil {
			l.closeAll([]Closed{victim}, now)
		}
		return c, nil
	}
}

// closeAll closes connections that the part has removed.
func (l *Listener) closeAll(victims []Closed, now time.Time) {
	for _, v := range victims {
		c := v.State.Value.(*Conn)
		_ = c.TCPConn.Close()
		l.record(v.Reason, c.RemoteAddr(), now)
	}
}

// logInterval is the minimum interval of log lines about one reason at one listener.
const logInterval = time.Second

// record counts a connection that was closed, and logs it unless one was just logged for
// the same reason.
func (l *Listener) record(reason Reason, remote net.Addr, now time.Time) {
	l.mu.Lock()
	e := l.events[reason]
	if e == nil {
		name := `chestnutstream_connections_closed_total{listener=` + strconv.Quote(string(l.cfg.Kind)) + `,reason=` + strconv.Quote(string(reason)) + `}`
		e = &events{total: l.cfg.Metrics.GetOrCreateCounter(name)}
		l.events[reason] = e
	}
	e.total.Inc()
	e.unlogged++
	count := 0
	if now.Sub(e.loggedAt) >= logInterval {
		count, e.unlogged, e.loggedAt = e.unlogged, 0, now
	}
	open := l.part.Len()
	l.mu.Unlock()
	if count > 0 {
		l.cfg.Log.WithFields(log.Fields{"listener": l.cfg.Kind, "reason": reason, "count": count, "remote": remote.String(), "open": open}).
			Warn("connections closed: the limits of their listener are reached")
	}
}

// mode is how a connection's reads are recorded.
type mode = int32

const (
	modeHead   mode = iota // by the part
	modeBody               // by a counter
	modeDirect             // not at all
)

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	l     *Listener
	state *State // guarded by l.mu
	mode  atomic.Int32
}

// A response of HTTP/1.0 that is broken off is reset, and net/http ends one direction of a
// connection whose client may still be sending.
var _ interface {
	SetLinger(sec int) error
	CloseWrite() error
	io.ReaderFrom
} = (*Conn)(nil)

var errClosed = errors.New("closed, as the limits of its listener are reached")

// readError returns an error of a read, to which net/http does not respond.
func (c *Conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Read implements net.Conn. It adds no system call; only reads of heads are recorded under
// a lock. Errors are not wrapped, as net/http tells them apart by their types.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	switch c.mode.Load() {
	case modeDirect:
		return n, err
	case modeBody:
		c.state.ReceiveBody(n)
		return n, err
	}
	now := time.Now()
	if err != nil || n == 0 {
		if isTimeout(err) && c.awaitsHead() {
			c.l.record(ReasonHeadTooLate, c.RemoteAddr(), now)
		}
		return n, err
	}
	maxHead := c.l.cfg.Head().Bytes
	lines := bytes.Count(p[:n], []byte{'\n'})
	c.l.mu.Lock()
	closed := c.l.part.Receive(c.state, n, lines, maxHead, now)
	phase := c.state.Phase()
	if phase == PhaseEstablished {
		c.mode.Store(modeDirect)
	}
	c.l.mu.Unlock()
	if len(closed) == 1 && closed[0].State == c.state && closed[0].Reason == ReasonHeadTooLarge {
		c.rejectHead(p)
		c.l.record(ReasonHeadTooLarge, c.RemoteAddr(), now)
		return 0, c.readError(errClosed)
	}
	c.l.closeAll(closed, now)
	if phase == PhaseClosed {
		return 0, c.readError(errClosed)
	}
	return n, nil
}

// Response to a head that is too large, and how long and how much is still read, so that
// the client receives it instead of a reset of the connection.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
	lingerTime   = 200 * time.Millisecond
	lingerBytes  = 256 << 10
)

// rejectHead responds that the head is too large. The connection stays counted, and may be
// closed for others, until net/http closes it.
func (c *Conn) rejectHead(buf []byte) {
	end := time.Now().Add(lingerTime)
	if c.TCPConn.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(c.TCPConn, headTooLarge); err != nil {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	for left := lingerBytes; left > 0; {
		n, err := c.TCPConn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// awaitsHead reports whether the head of a request has not been received.
func (c *Conn) awaitsHead() bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	return c.state.Phase() == PhaseHead
}

// SetReadDeadline implements net.Conn. While the head of a request is awaited, it bounds
// the deadline by the limit in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && c.mode.Load() == modeHead {
		c.l.mu.Lock()
		phase, since := c.state.Phase(), c.state.Since()
		c.l.mu.Unlock()
		if end := since.Add(c.l.cfg.Head().Timeout); phase == PhaseHead && end.Before(t) {
			t = end
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	c.l.part.Close(c.state)
	c.l.mu.Unlock()
	return c.TCPConn.Close()
}
