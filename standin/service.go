package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream/timer"
)

// ServiceFaults are the faults that a Service injects. PUT /faults replaces
// them at run time.
type ServiceFaults struct {
	DelayMS      int  `json:"delay-ms"`
	DropAfterRun bool `json:"drop-after-run"` // execute the call, then close the connection without a response
	Refuse       bool `json:"refuse"`         // respond with 503 without executing the call
	Leaving      bool `json:"leaving"`
}

// ServiceCounts holds the counters of a Service. AfterLeaving counts the calls
// that arrived more than leavingGrace after the Leaving fault was set.
type ServiceCounts struct {
	Calls        int            `json:"calls"`
	Runs         map[string]int `json:"runs"` // executions by order id
	AfterLeaving int            `json:"after-leaving"`
}

// Service is a stand-in for a plain service: GET /stock/ID and GET /route/ID are
// idempotent, POST /orders/ID and POST /charges/ID are not. It counts the
// executions of each order.
type Service struct {
	name   string
	router *mux.Router

	mu           sync.Mutex
	faults       ServiceFaults
	leavingSince time.Time
	counts       ServiceCounts
}

// NewService returns a plain service without faults.
func NewService(name string) *Service {
	s := &Service{name: name, counts: ServiceCounts{Runs: map[string]int{}}}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	r.HandleFunc("/stock/{id}", s.lookup).Methods(http.MethodGet)
	r.HandleFunc("/route/{id}", s.lookup).Methods(http.MethodGet)
	r.HandleFunc("/orders/{id}", s.order).Methods(http.MethodPost)
	r.HandleFunc("/charges/{id}", s.order).Methods(http.MethodPost)
	r.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFaults
		if readJSON(w, r, &f) {
			s.SetFaults(f)
		}
	}).Methods(http.MethodPut)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Leaving && !s.faults.Leaving {
		s.leavingSince = time.Now()
	}
	s.faults = f
}

// Counts returns a copy of the counters.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = make(map[string]int, len(s.counts.Runs))
	for id, n := range s.counts.Runs {
		c.Runs[id] = n
	}
	return c
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	state := "live"
	if s.faults.Leaving {
		state = "leaving"
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"state": state})
}

// leavingGrace is how long new requests may still arrive after a server
// announced that it is leaving.
const leavingGrace = 2 * time.Second

// beginCall counts a call and applies the faults that precede its execution.
// drop reports that the connection is to be closed without a response; ok is
// false if the call was refused and the response has been written.
func (s *Service) beginCall(w http.ResponseWriter, r *http.Request, orderID string) (drop, ok bool) {
	s.mu.Lock()
	f := s.faults
	s.counts.Calls++
	if f.Leaving && time.Since(s.leavingSince) > leavingGrace {
		s.counts.AfterLeaving++
	}
	if !f.Refuse && orderID != "" {
		s.counts.Runs[orderID]++
	}
	s.mu.Unlock()
	if f.Refuse {
		http.Error(w, "refused, not run", http.StatusServiceUnavailable)
		return false, false
	}
	timer.Sleep(r.Context(), time.Duration(f.DelayMS)*time.Millisecond)
	return f.DropAfterRun, true
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	drop, ok := s.beginCall(w, r, "")
	if !ok {
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"id": mux.Vars(r)["id"], "left": len(mux.Vars(r)["id"]), "server": s.name})
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	id := mux.Vars(r)["id"]
	drop, ok := s.beginCall(w, r, id)
	if !ok {
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Order", id)
	writeJSON(w, http.StatusCreated, map[string]string{"order": id, "state": "confirmed", "server": s.name, "length": fmt.Sprint(len(id))})
}
