// Package caller implements the HTTP interface for callers: OpenAI-compatible
// generation requests and calls of plain services.
//
// A request passes through a pipeline of filters, each in a file of its own. A
// filter either writes the response or calls the next filter:
//
//	generation: authenticate ▸ read ▸ resolve ▸ generate ▸ (place ▸ dispatch ▸ relay)
//	service:    authenticate ▸ read ▸ route   ▸ claim    ▸ call
//
// # Usage
//
//	s := caller.NewServer(settings, dependencies)
//	router.PathPrefix("/v1/").Handler(s)
//
// # Outcomes
//
// Every response to a generation request or a service call states the request's
// outcome: `ran`, `not-run` or `unknown`. An exchange claims no more than is
// certain. It starts as not-run and becomes unknown before an attempt can hand a
// byte to a connection. It returns to its previous outcome only if the attempt
// was not sent or the backend server itself reports that it refused the request.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/table"
)

// Settings configures a Server.
type Settings struct {
	Instance string
	Secret   string // signs the callers' credentials; empty: every caller is accepted as "anonymous"
	Timer    chestnutstream.Timer
	Log      log.Interface
	Metrics  *metrics.Set
}

// Placer assigns requests to engines.
type Placer interface {
	// Place waits for a server that has the adapter version loaded. A
	// *RefusedError means that the request was rejected and did not run.
	Place(ctx context.Context, p engine.PendingRequest) (engine.Dispatch, error)
	// Finish ends the use of the server that Place assigned under id, the
	// Dispatch's ID, and reports how the attempt failed, if it did.
	Finish(id string, failure engine.Failure)
}

// ServicePool selects backend servers for plain services.
type ServicePool interface {
	// Pick returns a live server of the service that is not in avoid, and
	// counts a call in progress on it. ok is false if there is none.
	Pick(service string, avoid map[string]bool) (server, address string, ok bool)
	// Done ends a call that was started with Pick.
	Done(server string, failed bool)
}

// Claimer claims non-idempotent calls by idempotency key, so that each runs at
// most once. Claim requests a claim; RecordResponse records the response of a claimed
// call, Release withdraws the claim of a call that did not run.
type Claimer interface {
	Claim(ctx context.Context, key, attempt, requestHash string) (table.ClaimVerdict, table.ClaimTicket, table.Claim, error)
	RecordResponse(t table.ClaimTicket, response chestnutstream.ServiceResponse)
	Release(t table.ClaimTicket)
	SettleDelay() time.Duration
}

// Dependencies holds the dependencies of a Server.
type Dependencies struct {
	Configuration func() *chestnutstream.Configuration // returns nil while no configuration is active
	Ready         func() bool                          // returns false if new requests must be refused
	Placer        Placer
	Generator     chestnutstream.Generator
	Pool          ServicePool
	Services      chestnutstream.Services
	Claims        Claimer
	Trace         func(chestnutstream.TraceEvent) // records a trace event
}

// RefusedError is returned for a request that was refused and did not run.
type RefusedError struct {
	Code       string
	Reason     string
	RetryAfter time.Duration // 0: no Retry-After header
	LoadStall  time.Duration // time spent waiting for the adapter to load
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Exchange is a request and its response while they pass through a pipeline.
type Exchange struct {
	Ctx           context.Context
	W             http.ResponseWriter
	R             *http.Request
	ID            string // request id, chosen by the caller or generated
	AttemptPrefix string // prefix of the attempts' ids, unique over all instances
	Caller        string
	StartedAt     time.Time
	Config        *chestnutstream.Configuration
	Class         chestnutstream.ClassSettings
	Body          []byte

	Outcome chestnutstream.Outcome
	Status  int

	Resolved   chestnutstream.Resolved
	Generation generationRequest
	LoadStall  time.Duration // time spent waiting for the adapter to load, over all attempts

	Service     chestnutstream.ServiceSettings
	ServicePath string
	Idempotent  bool
	ClaimTicket *table.ClaimTicket
}

// Filter is a step of a pipeline. It either writes the response or calls next.
type Filter interface {
	Serve(x *Exchange, next func())
}

// Pipeline is a sequence of filters.
type Pipeline []Filter

// Run passes x through the filters in order.
func (p Pipeline) Run(x *Exchange) {
	if len(p) == 0 {
		return
	}
	p[0].Serve(x, func() { p[1:].Run(x) })
}

// Server is the HTTP handler for callers.
type Server struct {
	cfg                Settings
	deps               Dependencies
	router             *mux.Router
	generationPipeline Pipeline
	servicePipeline    Pipeline
	incarnation        string // unique for each start of the process
	requestSeq         atomic.Uint64
	inProgress         atomic.Int64
	retryBudget        retryBudget

	responseTimes engine.GapEstimator // response times of the plain services
}

// NewServer returns a Server that uses the given dependencies.
func NewServer(cfg Settings, deps Dependencies) *Server {
	s := &Server{cfg: cfg, deps: deps, incarnation: cfg.Instance + "-" + randomID()}
	auth := &authenticateFilter{secret: cfg.Secret}
	s.generationPipeline = Pipeline{auth, &readFilter{}, &resolveFilter{}, &generateFilter{server: s}}
	s.servicePipeline = Pipeline{auth, &readFilter{}, &routeFilter{}, &claimFilter{server: s}, &callFilter{server: s}}
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.Handle("/v1/completions", s.handler(s.generationPipeline)).Methods(http.MethodPost)
	r.Handle("/v1/chat/completions", s.handler(s.generationPipeline)).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}").Handler(s.handler(s.servicePipeline))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.refuseEarly(w, r, http.StatusNotFound, "no-such-path", "no such path")
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.refuseEarly(w, r, http.StatusMethodNotAllowed, "method-not-allowed", "the path does not take this method")
	})
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// InProgress returns the number of exchanges in progress.
func (s *Server) InProgress() int { return int(s.inProgress.Load()) }

// handler returns an HTTP handler that runs p for each request.
func (s *Server) handler(p Pipeline) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inProgress.Add(1)
		defer s.inProgress.Add(-1)
		x, ok := s.begin(w, r)
		if !ok {
			return
		}
		p.Run(x)
		s.end(x)
		if x.Status == statusClientClosedRequest {
			panic(http.ErrAbortHandler) // a return would send an empty response
		}
	})
}

// begin creates the exchange of a request. It writes an error response and
// returns false if the request id is invalid, no configuration is active or the
// instance is draining.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*Exchange, bool) {
	id := r.Header.Get("Request-Id")
	if id != "" && !validID(id) {
		s.refuseEarly(w, r, http.StatusBadRequest, "bad-request-id", "request-id: want at most 128 letters, digits or -_.:@/")
		return nil, false
	}
	attemptPrefix := s.incarnation + "-" + strconv.FormatUint(s.requestSeq.Add(1), 10)
	if id == "" {
		id = attemptPrefix
	}
	x := &Exchange{
		Ctx: r.Context(), W: w, R: r, ID: id, AttemptPrefix: attemptPrefix,
		StartedAt: s.cfg.Timer.Now(), Config: s.deps.Configuration(), Outcome: chestnutstream.NotRun,
	}
	w.Header().Set("Request-Id", id)
	if x.Config == nil {
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "no-configuration", Reason: "this instance has no configuration yet", RetryAfter: time.Second})
		return nil, false
	}
	w.Header().Set("Chestnutstream-Configuration-Revision", strconv.FormatUint(x.Config.Revision(), 10))
	if !s.deps.Ready() {
		w.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "leaving", Reason: "this instance is leaving", RetryAfter: time.Second})
		return nil, false
	}
	return x, true
}

// end records the metrics and the trace event of a finished exchange.
func (s *Server) end(x *Exchange) {
	elapsed := s.cfg.Timer.Now().Sub(x.StartedAt)
	s.cfg.Metrics.GetOrCreateCounter(`chestnutstream_requests_total{outcome="` + string(x.Outcome) + `",class="` + x.Class.Name + `"}`).Inc()
	s.cfg.Metrics.GetOrCreateHistogram(`chestnutstream_request_seconds{class="` + x.Class.Name + `"}`).Update(elapsed.Seconds())
	x.trace(s, "end", "outcome "+string(x.Outcome)+", status "+strconv.Itoa(x.Status)+", "+elapsed.Round(time.Millisecond).String())
}

// refuseEarly refuses a request for which no exchange was created.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, status int, code, reason string) {
	x := &Exchange{Ctx: r.Context(), W: w, R: r, Outcome: chestnutstream.NotRun}
	x.refuse(status, &RefusedError{Code: code, Reason: reason})
}

// trace records a trace event about the exchange, for the operators' explain call.
func (x *Exchange) trace(s *Server, step, detail string) {
	s.deps.Trace(chestnutstream.TraceEvent{At: s.cfg.Timer.Now(), Subject: x.ID, Step: step, Detail: detail})
}

// maxIDBytes limits request ids and idempotency keys chosen by callers.
const maxIDBytes = 128

// validID reports whether s may be a request id or an idempotency key.
func validID(s string) bool {
	if s == "" || len(s) > maxIDBytes {
		return false
	}
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == ':', c == '@', c == '/':
		default:
			return false
		}
	}
	return true
}

func randomID() string {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
