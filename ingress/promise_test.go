package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/platform"
)

const requestIDHeader = "X-Chestnutstream-Request-Id"

// hastyDispatcher places requests at random, after random waits, and aborts some of them.
type hastyDispatcher struct {
	*fakeDispatcher
	peer string // address of another instance; "": none
}

func (d *hastyDispatcher) Place(ctx context.Context, p PlacementRequest) (Assignment, error) {
	if rand.IntN(3) == 0 {
		select {
		case <-ctx.Done():
			if rand.IntN(2) == 0 { // a place that is given as the wait ends
				return Assignment{}, ctx.Err()
			}
		case <-time.After(time.Duration(rand.IntN(4000)) * time.Microsecond):
		}
	}
	if d.peer != "" && !p.Forwarded && !p.AvoidPeers["edge-2"] && rand.IntN(3) == 0 {
		return Assignment{Peer: "edge-2", Server: chestnutstream.Backend{Address: d.peer}}, nil
	}
	for _, i := range rand.Perm(len(d.backends)) {
		if b := d.backends[i]; !p.Avoid[b.id] {
			return Assignment{Server: chestnutstream.Backend{ID: b.id, Address: b.l.Addr().String()}}, nil
		}
	}
	return Assignment{}, &NoServerError{Reason: "no server left", RetryAfter: time.Millisecond}
}

func (d *hastyDispatcher) Release(Assignment, Ending) {}

func (d *hastyDispatcher) Admit(_ context.Context, a Admission) (release func(), err error) {
	if rand.IntN(4) > 0 {
		return func() {}, nil
	}
	t := time.AfterFunc(time.Duration(rand.IntN(3000))*time.Microsecond, func() {
		if !a.Begun() {
			a.Abort(&NoServerError{Reason: "quarantined", RetryAfter: time.Second})
		}
	})
	return func() { t.Stop() }, nil
}

// hastyBackend rejects, runs, resets and drops requests and connections at random, and
// counts those that it runs.
func hastyBackend(t *testing.T, id string, ran func(requestID string)) *backend {
	return newBackend(t, id, func(c net.Conn, r *http.Request, id string) bool {
		requestID := r.Header.Get(requestIDHeader)
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
		switch rand.IntN(10) {
		case 0, 1:
			writeRejection(c, http.StatusServiceUnavailable, requestID)
			return true
		case 2:
			writeRejection(c, http.StatusMisdirectedRequest, requestID)
			return rand.IntN(2) == 0
		case 3:
			ran(requestID)
			if rand.IntN(2) == 0 {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		case 4:
			ran(requestID)
			return writeResponse(c, r, []string{"503 Service Unavailable", "421 Misdirected Request", "429 Too Many Requests"}[rand.IntN(3)], "")
		}
		ran(requestID)
		writeResponse(c, r, "200 OK", id)
		if rand.IntN(8) == 0 { // drops the idle connection
			time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
			return false
		}
		return true
	})
}

func TestPromisesAreTrueUnderConcurrency(t *testing.T) {
	const callers, requests = 24, 60
	var mu sync.Mutex
	runs := map[string]int{}
	ran := func(id string) {
		mu.Lock()
		runs[id]++
		mu.Unlock()
	}
	var backends []*backend
	for i := range 3 {
		backends = append(backends, hastyBackend(t, fmt.Sprintf("i-%d", i), ran))
	}
	f := newTestServer(t, backends...)
	peer := newTestServer(t, backends...)
	peer.handler.dispatcher = &hastyDispatcher{fakeDispatcher: peer.dispatcher}
	f.handler.dispatcher = &hastyDispatcher{fakeDispatcher: f.dispatcher, peer: peer.peerAddress(t)}
	promised := map[string]bool{}
	sent := 0
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range requests {
				id := fmt.Sprintf("r-%d-%d", c, n)
				path := []string{"/order/1", "/once/1"}[rand.IntN(2)]
				resp, _, err := f.send(t, "POST", path, "x", requestIDHeader, id, "X-Chestnutstream-Deadline-Ms", strconv.Itoa(1+rand.IntN(12)))
				mu.Lock()
				sent++
				if err == nil && platform.PromisesNotRun(resp.StatusCode) {
					promised[id] = true
				}
				mu.Unlock()
			}
		}()
	}
	for i, s := range []*testServer{f, peer} {
		time.AfterFunc(time.Duration(60+40*i)*time.Millisecond, func() {
			s.dispatcher.setDrain(Drain{Since: time.Second, Remaining: 60 * time.Millisecond})
			s.handler.StartDrain()
		})
	}
	wg.Wait()
	time.Sleep(50 * time.Millisecond) // for what a server may still have to read
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, len(promised) > 0 && len(runs) > 0)
	for id, n := range runs {
		assert.Check(t, n == 1, "%s ran %d times", id, n)
		assert.Check(t, !promised[id], "%s ran after a response that it had not run", id)
	}
	t.Logf("%d requests, %d ran, %d promises", sent, len(runs), len(promised))
}
