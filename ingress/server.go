package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Settings configures a Server.
type Settings struct {
	Instance string // identity of this instance, which other instances see in forwarded requests
	Timer    chestnutstream.Timer
	Log      log.Interface
	Metrics  *metrics.Set
	Dial     chestnutstream.DialFunc // connects to backend servers and other instances; nil: Dial
	// HeldBytes is the size of the bodies that are held at a time, over all requests; 0: no
	// limit. A request whose body does not fit is rejected. Responses are held back less.
	HeldBytes int64
	// CallerStallTimeout is how long a caller may read nothing of its response before it is
	// disconnected; 0: no limit.
	CallerStallTimeout time.Duration
	Keys               KeySettings
	Quotas             Quotas // nil: no quotas apply
}

// PlacementRequest describes a request that needs a backend server.
type PlacementRequest struct {
	RequestID     string
	Service       string
	Target        chestnutstream.ModelAdapter // for services with engines
	Prompt        chestnutstream.Prompt
	TargetLatency time.Duration // latency target of the route; 0: none
	Priority      int           // of the workspace or the route; 0 is the highest
	Workspace     string        // "": none
	Start         time.Time     // when the request arrived
	Avoid         map[string]bool
	Until         time.Time // the placement is useless after this time; zero: no limit besides the context
	// Continues is set if the caller has events of the stream already. Only servers of the
	// software version Software can go on with it, none if that is "".
	Continues bool
	Software  string
	// Resumable is set for a stream that the caller may take up by another request.
	Resumable bool
	// Forwarded is set for a request of another instance, which is not forwarded again.
	Forwarded   bool
	Unreachable int             // servers that gave this request no connection
	AvoidPeers  map[string]bool // instances that it is not to be forwarded to
}

// Assignment is a backend server chosen for a request, or another instance. Each
// Assignment must be released with Dispatcher.Release.
type Assignment struct {
	Peer        string                 // the instance that the request is forwarded to; "": it is sent to Server
	Server      chestnutstream.Backend // only the service and the address, if Peer is set
	Target      chestnutstream.ModelAdapter
	Version     int           // of the adapter
	LoadStall   time.Duration // time spent waiting for the adapter
	Prompt      chestnutstream.Prompt
	PrefillWait time.Duration // estimated time until the engine has prefilled the prompts queued before
	FirstEvent  time.Duration // estimated time from sending to the first event; 0: no estimate
	ViewAge     time.Duration // age of the list of servers that the choice rests on
	// CachedTokens is the estimate of how many tokens of the prompt the server has cached.
	CachedTokens int
	Workspace    string // of the request; "": none
}

// NoServerError reports why no backend server can take a request now.
type NoServerError struct {
	Reason     string
	RetryAfter time.Duration
	Cause      string // one of a few, for metrics; "": not stated
}

// Error implements the error interface.
func (e *NoServerError) Error() string { return e.Reason }

// Result is the outcome of sending a request to a backend server.
type Result struct {
	Outcome      fleet.Outcome
	Took         time.Duration // time to the first byte of the response
	Load         *platform.ServerLoad
	Backpressure chestnutstream.Backpressure // from a response that the server itself sent
	NoRoom       bool                        // the server rejected the request because it is full
	NotLoaded    bool                        // the adapter is not loaded there in the requested version
	WrongServer  bool                        // the address belongs to another server
	Connected    bool                        // a new connection to the server was opened
}

// BrokenResponse is a response whose connection ended before it was complete.
type BrokenResponse struct {
	RequestID   string
	Fingerprint Fingerprint
	Progress    chestnutstream.ResponseProgress
}

// BrokenResult is what became of the server of a broken response.
type BrokenResult struct {
	Crashed   bool // its process has ended
	Suspected bool // this request may be the cause
}

// Admission is a request before it is sent to a server.
type Admission struct {
	RequestID   string
	Service     string
	Target      chestnutstream.ModelAdapter
	Fingerprint Fingerprint
	// Begun reports whether a server has begun to respond.
	Begun func() bool
	// Abort ends the request, with the error that its caller is told.
	Abort func(err *NoServerError)
}

// Dispatcher places requests on backend servers.
type Dispatcher interface {
	// Routes returns the current configuration, or nil if there is none yet.
	Routes() *chestnutstream.RouteTable
	// AwaitRoutes waits for a configuration. It returns nil if ctx ends first.
	AwaitRoutes(ctx context.Context) *chestnutstream.RouteTable
	// Place selects a server for a request and waits until its adapter is
	// loaded if necessary. It fails with a *NoServerError, or when ctx ends.
	Place(ctx context.Context, p PlacementRequest) (Assignment, error)
	// BeforeSend reports whether the server of an assignment may still be sent a request,
	// which got a connection just now, and the age of the list of servers by which it may.
	BeforeSend(a Assignment) (viewAge time.Duration, ok bool)
	// RecordResult records the start of a response, or the failure to get one.
	RecordResult(a Assignment, target chestnutstream.ModelAdapter, r Result)
	// RecordBroken records that the connection of a request to a server ended before
	// the response was complete. It checks whether the server's process has ended.
	RecordBroken(ctx context.Context, a Assignment, b BrokenResponse) BrokenResult
	// HasCrashed checks whether the process of an assignment's server has ended, unless the
	// server was about to leave.
	HasCrashed(ctx context.Context, a Assignment) bool
	// RecordSurvival records that the response to a request got under way, which shows
	// that neither the request nor its parts nor its adapter crash servers.
	RecordSurvival(a Assignment, f Fingerprint)
	// Admit decides whether a request may be sent to servers at all. It fails with a
	// *NoServerError if such requests crash servers; otherwise release is to
	// be called at the end of the request.
	Admit(ctx context.Context, a Admission) (release func(), err error)
	// RecordPause records a pause between the events of a stream: the first one
	// longer than its route allows or, if there was none, the longest one of a
	// stream that ended.
	RecordPause(a Assignment, pause time.Duration)
	// Release releases an assignment that Place returned.
	Release(a Assignment, e Ending)
	// AllowRetry reports whether the retry budget allows sending one more request to
	// a service, and charges it.
	AllowRetry(service string) bool
	// RetryAfter returns when a request that no server has taken should return. usual is the
	// time if nothing is known of the requests that wait for the service.
	RetryAfter(service string, usual time.Duration) time.Duration
	// ReserveRetry reports whether a request can be retried now on a server of its
	// service that is not in avoid, and charges the retry budget if so.
	ReserveRetry(service string, avoid map[string]bool) bool
	// IsUnreachable reports whether new connections to the server of an assignment fail,
	// though a connection that is open may live on.
	IsUnreachable(a Assignment) bool
	// RecordRequest records a request to a service, which adds to its retry budget.
	RecordRequest(service string)
	// RecordOrigin records that a request, which its caller may name when it takes the
	// stream up, is sent to a server that may send the first event.
	RecordOrigin(a Assignment, requestID string)
	// FindOrigin returns the software version that began a stream whose first event a
	// request received. It fails with a *NoServerError if that cannot be found out.
	FindOrigin(ctx context.Context, service, requestID string) (software string, err error)
	// Draining returns the drain of this instance, if one is in progress.
	Draining() (d Drain, ok bool)
}

// Server is the HTTP handler of the routed interface.
type Server struct {
	cfg           Settings
	dispatcher    Dispatcher
	nonRepeatable *http1.Transport // for requests that must not run twice: reuses no connection that was idle for long
	repeatable    *http1.Transport
	singleUse     *http1.Transport // opens a connection for each request
	inProgress    atomic.Int64
	durations     durationHistory
	drain         drainStages
	held          heldBytes
	rejectedKeyAt atomic.Int64 // when a rejected key was last logged, in Unix nanoseconds
}

// NewServer returns a server that places its requests with d.
func NewServer(cfg Settings, d Dispatcher) *Server {
	s := &Server{
		cfg: cfg, dispatcher: d, nonRepeatable: newTransport(cfg.Dial, idleTimeoutNonRepeatable),
		repeatable: newTransport(cfg.Dial, idleTimeoutRepeatable), singleUse: newTransport(cfg.Dial, 0), drain: newDrainStages(),
	}
	s.held.limit = cfg.HeldBytes
	cfg.Metrics.NewGauge(`chestnutstream_held_body_bytes`, func() float64 { return float64(s.held.used.Load()) })
	return s
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// exchange is the state of one request.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   time.Time
	header  platform.RequestHeader
	route   *chestnutstream.Route
	table   *chestnutstream.RouteTable
	service string
	// workspace is that of the caller's key, nil if there are no workspaces or the route is
	// public. keyChecked is set if the configuration has workspaces.
	workspace          *chestnutstream.Workspace
	keyChecked         bool
	forwardedWorkspace *string // as another instance states it
	body               []byte
	hash               string // of what the caller sent; a request that comes again has the same

	reserved          int64     // bytes of bodies, of Settings.HeldBytes
	partialReserved   int64     // of those, for the beginning of an event
	deadline          time.Time // for the whole response
	mayHaveRun        bool      // the request may have run, or may still run
	attempts          int
	connectedAttempts int         // attempts that got a connection
	servers           []string    // that the request was sent to
	software          []string    // their software versions
	connectedServers  []string    // that gave the request a connection, here or at another instance
	rejections        []rejection // by servers that have not run it
	avoid             map[string]bool
	stall             time.Duration
	viewAge           time.Duration // of the latest placement
	cachedTokens      int           // of the prompt, by the estimate of the latest placement
	sendViewAge       time.Duration // the same, when the request was sent
	timeToFirstByte   time.Duration // from the request to the start of the relayed response; 0: none started
	maxPause          time.Duration // longest one between two events of the relayed stream
	status            int
	reason            string
	responseStarted   atomic.Bool // the header of a response was written to the caller
	stream            *stream
	continues         bool   // the caller has events of the stream
	streamSoftware    string // software version that began it
	serverCrashed     bool   // the server of the latest attempt ended during it
	suspected         bool   // this request may have crashed it
	forwardedBy       string // instance that has forwarded the request; "": it is a caller's
	unreachable       int    // servers that gave no connection
	forwards          int    // instances that the request was forwarded to
	avoidPeers        map[string]bool
	forwardRetryAfter time.Duration // of the latest instance that has not run the request
	retryReserved     atomic.Bool   // the retry budget was charged for the next attempt
	responseBegun     atomic.Bool   // the server of the latest attempt has begun to respond
	abort             context.CancelCauseFunc
	waitsEnd          context.Context // ends when a drain ends the wait for a server
}

// Statuses that this package generates. statusNotRun is sent only if the request
// has not run and never will.
const (
	statusNotRun       = http.StatusServiceUnavailable
	statusFailed       = http.StatusBadGateway
	statusTimeout      = http.StatusGatewayTimeout
	statusCallerClosed = 499 // used in logs only
)

// Retry-After values and time limits.
const (
	retryAfterDefault  = 150 * time.Millisecond // the cause is expected to be short; nothing more is known
	configWaitTimeout  = 400 * time.Millisecond // wait for the first configuration after a start
	retryAfterNoConfig = 400 * time.Millisecond
	retryAfterJitter   = 0.25                 // relative jitter, so that requests rejected together are not retried together
	maxResponseTime    = 10 * time.Minute     // if neither the caller nor the route sets a limit: a server that sends a byte now and then would otherwise hold the request forever
	deadlineMargin     = 4 * time.Millisecond // before the request's time limit, so that the response arrives in time
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, "") }

// serve serves a caller's request, or one that another instance has forwarded.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, forwardedBy string) {
	s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	x := &exchange{server: s, w: s.limitStall(w), r: r, start: s.cfg.Timer.Now(), header: platform.ReadRequestHeader(r.Header), avoid: map[string]bool{}, avoidPeers: map[string]bool{}, forwardedBy: forwardedBy}
	if forwardedBy != "" {
		x.takeForwardHeaders()
	}
	if _, draining := s.dispatcher.Draining(); draining {
		w.Header().Set("Connection", "close")
	}
	defer x.finish()
	defer x.releaseAll()
	if !x.receive() || !x.admit() {
		return
	}
	ctx, cancel := x.context()
	defer cancel()
	x.ctx = ctx
	refund, ok := x.chargeQuota(ctx)
	if !ok {
		return
	}
	defer func() {
		if !x.mayHaveRun {
			refund()
		}
	}()
	if forwardedBy == "" {
		s.dispatcher.RecordRequest(x.service) // the forwarding instance counts it
	}
	release, err := s.dispatcher.Admit(ctx, x.admission())
	if err != nil {
		x.respondUnplaced(err)
		return
	}
	defer release()
	if !x.findOrigin() {
		return
	}
	x.run()
}

// findOrigin finds out which software version can go on with a stream that the caller
// takes up. It returns false if it has rejected the request, as that is unknown.
func (x *exchange) findOrigin() bool {
	if !x.takesUpStream() || x.continues {
		return true
	}
	software, err := x.server.dispatcher.FindOrigin(x.ctx, x.service, x.header.Resumes)
	x.continues, x.streamSoftware = true, software
	x.server.cfg.Metrics.GetOrCreateCounter(`chestnutstream_stream_take_ups_total{origin="` + originLabel(err == nil) + `"}`).Inc()
	if err != nil {
		x.respondUnplaced(err)
		return false
	}
	return true
}

func originLabel(ok bool) string {
	if ok {
		return "found"
	}
	return "unknown"
}

func (x *exchange) admission() Admission {
	return Admission{
		RequestID: x.header.ID, Service: x.service, Target: x.header.Target, Fingerprint: x.fingerprint(),
		Begun: x.responseBegun.Load, Abort: func(err *NoServerError) { x.abort(err) },
	}
}

// receive finds the route and reads the whole request body. It returns false if
// it has responded already.
func (x *exchange) receive() bool {
	x.table = x.server.dispatcher.Routes()
	if x.table == nil {
		// The instance has just started and is still reading the configuration
		// from the store.
		ctx, cancel := context.WithTimeout(x.r.Context(), configWaitTimeout)
		x.table = x.server.dispatcher.AwaitRoutes(ctx)
		cancel()
	}
	if x.table == nil {
		x.reject(retryAfterNoConfig, "no configuration yet")
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
		x.respond(http.StatusNotFound, "no route for this host and path")
		return false
	}
	x.takeForwardedWorkspace(x.table)
	if !x.authenticate() {
		return false
	}
	if x.header.ID == "" {
		x.respond(http.StatusBadRequest, "no request id")
		return false
	}
	x.service = x.route.Target(xxhash.Sum64String(x.header.ID))
	if !x.table.Lists(x.service, x.header.Target) {
		// Final, as for an unknown route: the name costs neither a place nor a load.
		x.respond(http.StatusNotFound, fmt.Sprintf("service %s has no model or adapter %q in configuration %d", x.service, x.header.Target, x.table.Version))
		return false
	}
	body, status, err := x.readBody(x.table.Limits.BodyBytes)
	if err != nil {
		x.reason = "body not read: " + err.Error()
		switch status {
		case 0:
			x.status = statusCallerClosed
			panic(http.ErrAbortHandler)
		case statusNotRun:
			x.reject(retryAfterDefault, x.reason)
		default:
			x.respond(status, x.reason)
		}
		return false
	}
	x.body = body
	x.hash = x.requestHash()
	return true
}

// admit rejects a request whose response would be cut off by the drain of this
// instance. It returns false if it has rejected the request.
func (x *exchange) admit() bool {
	drain, draining := x.server.dispatcher.Draining()
	if !draining || x.server.durations.endsInTime(drain, x.route, x.header.Prompt, x.timeLimit()) {
		return true
	}
	x.respondUnplaced(errDraining(drainAdmission))
	return false
}

// timeLimit returns the maximum duration of the request: the smaller one of the
// caller's deadline and the route's timeout, or maxResponseTime if both are unset.
func (x *exchange) timeLimit() time.Duration {
	limit := x.header.Deadline
	if t := x.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		return maxResponseTime
	}
	return limit
}

// context returns the context of the request, which ends shortly before its time
// limit.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	x.deadline = x.start.Add(x.timeLimit() - deadlineMargin)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	ctx, x.abort = context.WithCancelCause(ctx)
	var cancelWaits context.CancelFunc
	x.waitsEnd, cancelWaits = x.server.waitsEnd()
	stop := context.AfterFunc(x.server.drain.responsesEnd, x.abortUnanswered)
	return ctx, func() { stop(); cancelWaits(); x.abort(nil); cancel() }
}

// aborted returns the error with which the dispatcher or a drain has aborted the request,
// or nil.
func (x *exchange) aborted() *NoServerError { return abortedBy(x.ctx) }

func abortedBy(ctx context.Context) *NoServerError {
	var err *NoServerError
	if errors.As(context.Cause(ctx), &err) {
		return err
	}
	return nil
}

// remaining returns the time left for the backend server.
func (x *exchange) remaining() time.Duration {
	now := x.server.cfg.Timer.Now()
	if x.header.Deadline > 0 {
		return x.header.Deadline - now.Sub(x.start)
	}
	return x.deadline.Sub(now)
}
