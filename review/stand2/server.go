package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server stands in for a server of a service: it generates streams or, without a model, answers
// of as many lines. Each line that it prints is an observation of what it was sent and ran.
type server struct {
	id, model string
	born      int64
	events    int
	gap       time.Duration
	unframed  bool // answers have no length and end with their connection
	breakOff  int  // this answer, counted from 1, ends in order inside its first event; 0: none

	mu       sync.Mutex
	sequence int
	answers  int // to requests
}

// serve serves a server process with the given flags.
func serve(args []string) error {
	f := flag.NewFlagSet("server", flag.ContinueOnError)
	s := &server{born: time.Now().UnixMilli()}
	address := f.String("listen", "127.0.0.1:0", "address")
	f.StringVar(&s.id, "id", "", "id")
	f.StringVar(&s.model, "model", "", "the model that it holds; empty: a plain service")
	f.IntVar(&s.events, "events", 10, "events of a stream, or lines of an answer")
	f.DurationVar(&s.gap, "gap", 100*time.Millisecond, "between events")
	f.BoolVar(&s.unframed, "unframed", false, "answers without a length")
	f.IntVar(&s.breakOff, "break-off", 0, "number of the answer that ends inside its first event")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	fmt.Printf("listening %s %d\n", l.Addr(), s.born)
	return http.Serve(l, s)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Chestnutstream-Instance-Id", s.id)
	if want := r.Header.Get("X-Chestnutstream-Expect-Instance"); want != "" && want != s.id {
		h.Set("X-Chestnutstream-Request-Id", r.Header.Get("X-Chestnutstream-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "born": s.born, "models": s.models(), "busy": false, "sequence": s.sequence, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 250000, "handles": 0})
		return
	case "/order":
		var o struct{ Operation, Model, Adapter string }
		_ = json.NewDecoder(r.Body).Decode(&o)
		fmt.Printf("order %s %s %s/%s\n", s.id, o.Operation, o.Model, o.Adapter)
		w.WriteHeader(http.StatusOK) // it holds already
		return
	}
	s.run(w, r)
}

func (s *server) models() []any {
	if s.model == "" {
		return []any{}
	}
	return []any{map[string]any{"name": s.model, "version": 1, "adapters": []string{}}}
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Chestnutstream-Request-Id")
	if id == "" {
		w.Header().Set("X-Chestnutstream-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	fmt.Printf("run %s %s after %q\n", s.id, id, r.Header.Get("Last-Event-Id"))
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h := w.Header()
	h.Set("X-Chestnutstream-Request-Id", id)
	h.Set("X-Chestnutstream-Server-Signature", "3e1b.07."+s.id)
	out, flush := io.Writer(w), func() { _ = http.NewResponseController(w).Flush() }
	format := "id: %d\ndata: part %d of %d\n\n"
	h.Set("Content-Type", "text/event-stream")
	if s.model == "" {
		format = "line %d (%d of %d)\n"
		h.Set("Content-Type", "text/plain")
	}
	if s.unframed {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		b := bufio.NewWriter(conn)
		fmt.Fprintf(b, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
		_ = h.Write(b)
		fmt.Fprintf(b, "\r\n")
		out, flush = b, func() { _ = b.Flush() }
	}
	s.mu.Lock()
	s.answers++
	breaksOff := s.answers == s.breakOff
	s.mu.Unlock()
	for i := first + 1; i <= s.events; i++ {
		if breaksOff {
			fmt.Fprintf(out, "id: %d\ndata: par", i)
			fmt.Printf("breaks off %s %s inside event %d\n", s.id, id, i)
			return
		}
		fmt.Fprintf(out, format, i, i, s.events)
		flush()
		time.Sleep(s.gap)
	}
	fmt.Printf("end %s %s\n", s.id, id)
}
