package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// plainServer is a stand-in for a server of a plain service. It runs up to slots requests at
// once, lets a few more wait, and rejects the others with 503 and
// X-Chestnutstream-Not-Executed. Responses echo the request's id.
type plainServer struct {
	id, service, zone, address string
	slots, queue               int
	rec                        *recorder
	store                      *store
	born                       int64
	sequence                   int

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{}
	answers  int
	copies   int
	copyRate float64 // share of the answers of which a second copy arrives late; 0: the server is sound
	runs     map[string]int
}

func startPlainServer(rec *recorder, st *store, id, service, zone, ip string, slots, queue int) (*plainServer, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &plainServer{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, queue: queue, rec: rec, store: st,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots), runs: map[string]int{},
	}
	for range slots {
		s.free <- struct{}{}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	s.heartbeat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			s.heartbeat()
		}
	}()
	return s, nil
}

func (s *plainServer) heartbeat() {
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	})
	s.store.put("servers", s.id, value)
}

func (s *plainServer) setCopyRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copyRate, s.answers, s.copies = rate, 0, 0
}

// copyDue decides whether a second copy of the latest answer on a connection is sent late:
// of copyRate of all answers at most.
func (s *plainServer) copyDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.copies+1) > s.copyRate*float64(s.answers) {
		return false
	}
	s.copies++
	return true
}

// serve serves the requests on a connection, one at a time.
func (s *plainServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var rejected []byte // the previous answer, if it was a rejection
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Chestnutstream-Request-Id")
		answer, rejection := s.handle(r, id, func() {
			if rejected != nil && s.copyDue() {
				s.rec.printf("extra  %s sends the previous answer on this connection once more while %s runs", s.id, id)
				_, _ = c.Write(rejected)
			}
		})
		if _, err := c.Write(answer); err != nil {
			return
		}
		if rejected = nil; rejection {
			rejected = answer
		}
		s.mu.Lock()
		s.answers++
		s.mu.Unlock()
	}
}

// handle runs or rejects a request. begun is called when it has begun to run.
func (s *plainServer) handle(r *http.Request, id string, begun func()) (answer []byte, rejection bool) {
	if want := r.Header.Get("X-Chestnutstream-Expect-Instance"); want != "" && want != s.id {
		return s.answer(421, id, nil), true
	}
	if id == "" {
		return s.answer(400, id, nil), true
	}
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		s.rec.printf("reject %s by %s", id, s.id)
		return s.answer(503, id, nil), true
	}
	s.waiting++
	s.mu.Unlock()
	<-s.free
	s.mu.Lock()
	s.waiting--
	s.running++
	s.runs[id]++
	n := s.runs[id]
	s.mu.Unlock()
	s.rec.printf("run    %s by %s (%d)", id, s.id, n)
	begun()
	time.Sleep(time.Duration((7.5 + 15*rand.Float64()) * float64(time.Millisecond)))
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.free <- struct{}{}
	return s.answer(200, id, bytes.Repeat([]byte("x"), 800)), false
}

func (s *plainServer) answer(status int, id string, body []byte) []byte {
	var b bytes.Buffer
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Chestnutstream-Instance-Id: %s\r\nX-Chestnutstream-Request-Id: %s\r\nX-Chestnutstream-Server-Load: %s\r\n", status, http.StatusText(status), s.id, id, load)
	if status == 200 {
		fmt.Fprintf(&b, "X-Chestnutstream-Server-Signature: %s.%s\r\n", s.id, id)
	} else {
		b.WriteString("X-Chestnutstream-Not-Executed: 1\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
