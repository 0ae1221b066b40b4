// Package caller speaks to callers over HTTP: the OpenAI-compatible generation
// calls and the plain services.
//
// A request passes through a pipeline of filters. Each filter is one file; it
// either answers the exchange or passes it on:
//
//	generation: authenticate ▸ read ▸ resolve ▸ generate ▸ (place ▸ dispatch ▸ relay)
//	service:    authenticate ▸ read ▸ route   ▸ claim    ▸ call
//
// # Usage
//
//	s := caller.NewServer(settings, parts)
//	router.PathPrefix("/v1/").Handler(s)
//
// # Outcomes
//
// Every answer says what became of the request: `ran`, `not-run` or `unknown`.
// The exchange keeps the weakest claim that is true: it starts as not-run,
// becomes unknown when an attempt hands a byte to a connection, and goes back
// to not-run only if the backend server itself says that it refused.
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

// Settings of the callers' side.
type Settings struct {
	Instance string
	Secret   string // of the callers' credentials; empty lets everybody in as "anonymous"
	Timer    chestnutstream.Timer
	Log      log.Interface
	Metrics  *metrics.Set
}

// Placer places requests on engines.
type Placer interface {
	// Place waits for a server that has the adapter version ready. It returns
	// a *RefusedError when the request was given up; it did not run.
	Place(ctx context.Context, p engine.Pending) (engine.Dispatch, error)
	// Finish ends the use that a Dispatch began.
	Finish(id string, failure engine.Failure)
}

// ServicePool chooses among the backend servers of plain services.
type ServicePool interface {
	// Pick returns a live server of a service that is not in avoid.
	Pick(service string, avoid map[string]bool) (server, address string, ok bool)
	// Done ends the call that a Pick began.
	Done(server string, failed bool)
}

// Claimer keeps the claims of keyed orders.
type Claimer interface {
	Claim(ctx context.Context, key, attempt, requestHash string) (table.ClaimVerdict, table.ClaimTicket, table.Claim, error)
	Settle(t table.ClaimTicket, answer chestnutstream.ServiceAnswer)
	Release(t table.ClaimTicket)
}

// Parts are what the pipeline works with.
type Parts struct {
	Configuration func() *chestnutstream.Configuration // nil while none is in force
	Ready         func() bool                          // false: no new requests
	Placer        Placer
	Generator     chestnutstream.Generator
	Pool          ServicePool
	Services      chestnutstream.Services
	Claims        Claimer
	Note          func(chestnutstream.Decision)
}

// RefusedError says why a request was refused. It did not run.
type RefusedError struct {
	Code       string
	Reason     string
	RetryAfter time.Duration
	Stall      time.Duration // the time that was spent waiting for the adapter
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Exchange is one request on its way through the pipeline.
type Exchange struct {
	Ctx     context.Context
	W       http.ResponseWriter
	R       *http.Request
	ID      string // as the caller knows it
	Attempt string // prefix of the ids of its attempts, unique over all instances
	Caller  string
	Began   time.Time
	Config  *chestnutstream.Configuration
	Class   chestnutstream.ClassSettings
	Body    []byte

	Outcome chestnutstream.Outcome
	Status  int

	Resolved   chestnutstream.Resolved
	Generation generationRequest
	Stall      time.Duration // the time that was spent waiting for the adapter

	Service     chestnutstream.ServiceSettings
	ServicePath string
	Idempotent  bool
	Claim       *table.ClaimTicket
}

// Filter is a step of a pipeline. It answers the exchange, or calls next.
type Filter interface {
	Serve(x *Exchange, next func())
}

// Pipeline is a list of filters.
type Pipeline []Filter

// Run passes an exchange through the filters.
func (p Pipeline) Run(x *Exchange) {
	if len(p) == 0 {
		return
	}
	p[0].Serve(x, func() { p[1:].Run(x) })
}

// Server is the HTTP handler that callers meet.
type Server struct {
	cfg        Settings
	parts      Parts
	router     *mux.Router
	generation Pipeline
	service    Pipeline
	run        string // unique to this run of the instance
	serial     atomic.Uint64
	inProgress atomic.Int64
	retries    retryBudget

	answerTimes engine.GapEstimator // of the plain services
}

// NewServer returns the callers' handler.
func NewServer(cfg Settings, parts Parts) *Server {
	s := &Server{cfg: cfg, parts: parts, run: cfg.Instance + "-" + randomID()}
	authenticate := &authenticate{secret: cfg.Secret}
	s.generation = Pipeline{authenticate, &read{}, &resolve{}, &generate{server: s}}
	s.service = Pipeline{authenticate, &read{}, &route{}, &claim{server: s}, &call{server: s}}
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.Handle("/v1/completions", s.handler(s.generation)).Methods(http.MethodPost)
	r.Handle("/v1/chat/completions", s.handler(s.generation)).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}").Handler(s.handler(s.service))
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

// handler runs a pipeline for each request.
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
	})
}

func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*Exchange, bool) {
	id := r.Header.Get("Request-Id")
	if id != "" && !validToken(id) {
		s.refuseEarly(w, r, http.StatusBadRequest, "bad-request-id", "request-id: want at most 128 letters, digits or -_.:@/")
		return nil, false
	}
	attempt := s.run + "-" + strconv.FormatUint(s.serial.Add(1), 10)
	if id == "" {
		id = attempt
	}
	x := &Exchange{
		Ctx: r.Context(), W: w, R: r, ID: id, Attempt: attempt,
		Began: s.cfg.Timer.Now(), Config: s.parts.Configuration(), Outcome: chestnutstream.NotRun,
	}
	w.Header().Set("Request-Id", id)
	if x.Config == nil {
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "no-configuration", Reason: "this instance has no configuration yet", RetryAfter: time.Second})
		return nil, false
	}
	w.Header().Set("Chestnutstream-Configuration-Revision", strconv.FormatUint(x.Config.Revision(), 10))
	if !s.parts.Ready() {
		w.Header().Set("Connection", "close")
		x.refuse(http.StatusServiceUnavailable, &RefusedError{Code: "leaving", Reason: "this instance is leaving", RetryAfter: time.Second})
		return nil, false
	}
	return x, true
}

func (s *Server) end(x *Exchange) {
	took := s.cfg.Timer.Now().Sub(x.Began)
	s.cfg.Metrics.GetOrCreateCounter(`chestnutstream_requests_total{outcome="` + string(x.Outcome) + `",class="` + x.Class.Name + `"}`).Inc()
	s.cfg.Metrics.GetOrCreateHistogram(`chestnutstream_request_seconds{class="` + x.Class.Name + `"}`).Update(took.Seconds())
	x.note(s, "end", "outcome "+string(x.Outcome)+", status "+strconv.Itoa(x.Status)+", "+took.Round(time.Millisecond).String())
}

func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, status int, code, reason string) {
	x := &Exchange{Ctx: r.Context(), W: w, R: r, Outcome: chestnutstream.NotRun}
	x.refuse(status, &RefusedError{Code: code, Reason: reason})
}

func (x *Exchange) note(s *Server, step, detail string) {
	s.parts.Note(chestnutstream.Decision{At: s.cfg.Timer.Now(), Subject: x.ID, Step: step, Detail: detail})
}

// maxTokenBytes bounds ids and keys that callers choose.
const maxTokenBytes = 128

// validToken reports whether s may be a request id or an idempotency key.
func validToken(s string) bool {
	if s == "" || len(s) > maxTokenBytes {
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
