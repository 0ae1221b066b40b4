package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Settings of the callers' side.
type Settings struct {
	Timer   chestnutstream.Timer
	Log     log.Interface
	Metrics *metrics.Set
}

// Placement asks for a backend server.
type Placement struct {
	RequestID string
	Service   string
	Target    chestnutstream.ModelAdapter // of an engine
	Prompt    chestnutstream.Prompt
	Latency   time.Duration // target of the route; 0: none
	Priority  int           // of the route; 0 is the most urgent
	Began     time.Time     // when the request came
	Avoid     map[string]bool
	Until     time.Time // a place after this is of no use; zero: the end of the context
}

// Placed is a backend server that a request may be sent to. Every Placed ends
// with Done.
type Placed struct {
	Server  chestnutstream.Backend
	Target  chestnutstream.ModelAdapter
	Version int           // of the adapter
	Stall   time.Duration // the time that was spent waiting for the adapter
	Prompt  chestnutstream.Prompt
	Wait    time.Duration // estimated: until the engine has read the prompts before
	First   time.Duration // estimated: from sending to the first event; 0: no estimate
}

// NoPlaceError says why no backend server can take a request now.
type NoPlaceError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoPlaceError) Error() string { return e.Reason }

// Result is what became of a request at a server.
type Result struct {
	Outcome fleet.Outcome
	Took    time.Duration // to the first byte of the answer
	Load    *platform.ServerLoad
	Said    chestnutstream.Backpressure // of an answer that is the server's
	NotHeld bool                        // the server lacks the adapter or has another version
	Foreign bool                        // another server has the address
}

// Dispatcher places requests on backend servers.
type Dispatcher interface {
	// Routes returns the configuration in force, or nil.
	Routes() *chestnutstream.RouteTable
	// AwaitRoutes waits for a configuration; it returns nil when ctx ends first.
	AwaitRoutes(ctx context.Context) *chestnutstream.RouteTable
	// Place returns a server for a request, waiting for its adapter if need be.
	// It fails with a *NoPlaceError, or when ctx ends.
	Place(ctx context.Context, p Placement) (Placed, error)
	// Answered notes the beginning of an answer, or its failure to come.
	Answered(p Placed, target chestnutstream.ModelAdapter, r Result)
	// Streamed notes a pause between the events of a stream: the first
	// that is longer than its route allows, or the longest of one that ended.
	Streamed(p Placed, pause time.Duration)
	// Done ends the use of a server that Place began.
	Done(p Placed)
	// Again reports whether one more send of a request to a service is within
	// the budget, and counts it.
	Again(service string) bool
	// Elsewhere reports whether a request may be sent to one more server of its
	// service now, besides those to avoid.
	Elsewhere(service string, avoid map[string]bool) bool
	// Earn notes a request for a service.
	Earn(service string)
	// Leaving returns the planned stop of this instance, if one is under way.
	Leaving() (l Leave, ok bool)
}

// Server is the handler of the routed interface.
type Server struct {
	cfg        Settings
	dispatcher Dispatcher
	fresh      *http.Transport // for what may run once: no connection that idled for long
	kept       *http.Transport
	inProgress atomic.Int64
	lasting    lasting
}

// NewServer returns a handler.
func NewServer(cfg Settings, d Dispatcher) *Server {
	return &Server{cfg: cfg, dispatcher: d, fresh: newTransport(idleOnce), kept: newTransport(idleRepeatable)}
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// exchange is one request on its way.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	began   time.Time
	header  platform.RequestHeader
	route   *chestnutstream.Route
	table   *chestnutstream.RouteTable
	service string
	body    []byte

	deadline time.Time // of the answer
	mayRun   bool      // it may have run, or may still run
	sends    int
	arrivals int      // sends that a connection was had for
	servers  []string // to which it was sent
	avoid    map[string]bool
	stall    time.Duration
	first    time.Duration // until the answer that is relayed began; 0: none did
	pause    time.Duration // longest between two events of the stream that is relayed
	status   int
	reason   string
	started  bool // a byte of an answer went to the caller
	stream   *stream
}

// Statuses of the system's own. Each promise is given only when it is true.
const (
	statusNotRun     = http.StatusServiceUnavailable
	statusBroken     = http.StatusBadGateway
	statusTimeout    = http.StatusGatewayTimeout
	statusClientGone = 499 // in logs only
)

// Waits that are told to callers.
const (
	retrySoon      = 150 * time.Millisecond // nothing is known but that it may pass
	startWait      = 400 * time.Millisecond // for a configuration, after a start
	retryNoConfig  = 400 * time.Millisecond
	retrySpread    = 0.25                 // by which share they differ, so that those who were refused together do not return together
	longestAnswer  = 10 * time.Minute     // where neither the caller nor the route says: a server that sends a byte now and then would hold it for ever
	deadlineMargin = 4 * time.Millisecond // before the route's time-out, so that the answer arrives in time
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	x := &exchange{server: s, w: w, r: r, began: s.cfg.Timer.Now(), header: platform.ReadRequestHeader(r.Header), avoid: map[string]bool{}}
	if _, leaving := s.dispatcher.Leaving(); leaving {
		w.Header().Set("Connection", "close")
	}
	defer x.end()
	if !x.receive() || !x.admit() {
		return
	}
	ctx, cancel := x.context()
	defer cancel()
	x.ctx = ctx
	s.dispatcher.Earn(x.service)
	x.run()
}

// receive finds the route and reads the request whole.
func (x *exchange) receive() bool {
	x.table = x.server.dispatcher.Routes()
	if x.table == nil {
		// Just started: the configuration is a call of the store away.
		ctx, cancel := context.WithTimeout(x.r.Context(), startWait)
		x.table = x.server.dispatcher.AwaitRoutes(ctx)
		cancel()
	}
	if x.table == nil {
		x.refuse(retryNoConfig, "no configuration yet")
		return false
	}
	path := x.r.RequestURI
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if !strings.HasPrefix(path, "/") {
		path = x.r.URL.EscapedPath()
	}
	x.route = x.table.Match(x.r.Host, path)
	if x.route == nil {
		x.answer(http.StatusNotFound, "no route for this host and path")
		return false
	}
	if x.header.ID == "" {
		x.answer(http.StatusBadRequest, "no request id")
		return false
	}
	x.service = x.route.Target(xxhash.Sum64String(x.header.ID))
	body, status, err := readBody(x.w, x.r, x.table.Limits.BodyBytes)
	if err != nil {
		x.reason = "body not read: " + err.Error()
		if status == 0 {
			x.status = statusClientGone
			panic(http.ErrAbortHandler)
		}
		x.answer(status, x.reason)
		return false
	}
	x.body = body
	return true
}

// admit refuses a request whose answer the planned stop of this instance would
// cut off.
func (x *exchange) admit() bool {
	leave, leaving := x.server.dispatcher.Leaving()
	if !leaving || x.server.lasting.fits(leave, x.route.Name, x.header.Prompt, x.limit()) {
		return true
	}
	x.refuse(retryElsewhere, "this instance stops before the answer would end")
	return false
}

// limit returns the longest that the request may take: the caller's deadline or
// the route's time-out, else longestAnswer.
func (x *exchange) limit() time.Duration {
	limit := x.header.Deadline
	if t := x.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		return longestAnswer
	}
	return limit
}

// context bounds the request by the caller's deadline and the route's time-out.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	x.deadline = x.began.Add(x.limit() - deadlineMargin)
	return context.WithDeadline(x.r.Context(), x.deadline)
}

// left returns what the backend server may take.
func (x *exchange) left() time.Duration {
	now := x.server.cfg.Timer.Now()
	if x.header.Deadline > 0 {
		return x.header.Deadline - now.Sub(x.began)
	}
	return x.deadline.Sub(now)
}

// refuse answers that the request has not run, and when to come back.
func (x *exchange) refuse(after time.Duration, reason string) {
	spread := 1 + retrySpread*(2*rand.Float64()-1)
	x.w.Header().Set("Retry-After", strconv.FormatFloat(spread*after.Seconds(), 'f', 3, 64))
	x.answer(statusNotRun, reason)
}

// answer gives an answer of the system's own.
func (x *exchange) answer(status int, reason string) {
	if x.started {
		x.status, x.reason = status, reason
		panic(http.ErrAbortHandler)
	}
	x.status, x.reason, x.started = status, reason, true
	h := x.w.Header()
	if x.header.ID != "" {
		h.Set(platform.HeaderRequestID, x.header.ID)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(reason + "\n"))
}

// end logs and counts a request.
func (x *exchange) end() {
	if p := recover(); p != nil {
		x.log()
		panic(p)
	}
	if x.status > 0 && x.status < 300 {
		x.server.lasting.note(x.route.Name, x.header.Prompt, x.server.cfg.Timer.Now().Sub(x.began))
	}
	x.log()
}

func (x *exchange) log() {
	took := x.server.cfg.Timer.Now().Sub(x.began)
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	set := x.server.cfg.Metrics
	set.GetOrCreateCounter(`chestnutstream_routed_requests_total{status="` + strconv.Itoa(x.status) + `"}`).Inc()
	set.GetOrCreateHistogram(`chestnutstream_routed_seconds{service="` + x.service + `"}`).Update(took.Seconds())
	fields := log.Fields{
		"request-id": x.header.ID, "route": route, "service": x.service, "target": x.header.Target.String(),
		"servers": strings.Join(x.servers, ","), "sends": x.sends, "status": x.status, "ms": took.Milliseconds(),
		"stall-ms": x.stall.Milliseconds(), "first-ms": x.first.Milliseconds(),
	}
	if x.stream != nil {
		fields["pause-ms"] = x.pause.Milliseconds()
		set.GetOrCreateHistogram(`chestnutstream_stream_pause_seconds{route="` + route + `"}`).Update(x.pause.Seconds())
	}
	if x.header.Prompt.Tokens > 0 {
		fields["prompt"] = x.header.Prompt.Tokens
	}
	if x.table != nil {
		fields["config"] = x.table.Version
	}
	if x.reason != "" {
		fields["reason"] = x.reason
	}
	if x.status >= 400 || x.reason != "" {
		fields["may-have-run"] = x.mayRun
		x.server.cfg.Log.WithFields(fields).Warn("request failed")
		return
	}
	x.server.cfg.Log.WithFields(fields).Info("request")
}
