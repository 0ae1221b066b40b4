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

// ServiceFaults are switched at run time by PUT /faults on a service.
type ServiceFaults struct {
	DelayMS      int  `json:"delay-ms"`
	DropAfterRun bool `json:"drop-after-run"` // run the call, then close the connection without an answer
	Refuse       bool `json:"refuse"`         // answer 503 and do not run
	Leaving      bool `json:"leaving"`
}

// ServiceCounts is what a service counted.
type ServiceCounts struct {
	Calls        int            `json:"calls"`
	Runs         map[string]int `json:"runs"` // runs of each order
	AfterLeaving int            `json:"after-leaving"`
}

// Service is a stand-in of a plain service: GET /stock/ITEM and GET
// /route/ITEM are idempotent, POST /orders/ID and POST /charges/ID are not. It
// counts each run of each order.
type Service struct {
	name   string
	router *mux.Router

	mu           sync.Mutex
	faults       ServiceFaults
	leavingSince time.Time
	counts       ServiceCounts
}

// NewService returns a plain service.
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

// SetFaults switches the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Leaving && !s.faults.Leaving {
		s.leavingSince = time.Now()
	}
	s.faults = f
}

// Counts returns what the service counted so far.
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

// leavingGrace is how long after a server began to leave new work may come.
const leavingGrace = 2 * time.Second

func (s *Service) begin(w http.ResponseWriter, r *http.Request, run string) (drop, ok bool) {
	s.mu.Lock()
	f := s.faults
	s.counts.Calls++
	if f.Leaving && time.Since(s.leavingSince) > leavingGrace {
		s.counts.AfterLeaving++
	}
	if !f.Refuse && run != "" {
		s.counts.Runs[run]++
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
	drop, ok := s.begin(w, r, "")
	if !ok {
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"id": mux.Vars(r)["id"], "left": len(mux.Vars(r)["id"]), "server": s.name})
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody))
	id := mux.Vars(r)["id"]
	drop, ok := s.begin(w, r, id)
	if !ok {
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Order", id)
	writeJSON(w, http.StatusCreated, map[string]string{"order": id, "state": "confirmed", "server": s.name, "length": fmt.Sprint(len(id))})
}
