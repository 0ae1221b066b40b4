package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// An instance drains under load, with clients that send one order after the other on
// kept-alive connections until these are closed: each order that ran must get its
// response, and each order without a response, or refused, must not have run.
func TestDrainRespondsToAcceptedRequests(t *testing.T) {
	t.Parallel()
	const callers = 24
	s := newTestSite(t, 1, 3)
	in := s.instance("edge-a")
	s.awaitOwners(1, in)
	var mu sync.Mutex
	outcome := map[string]int{} // status by request; 0: the connection was closed
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("stop-%d-%d", c, i)
				req, err := http.NewRequest("POST", "http://"+in.cfg.CallerAddress+"/order/1", io.NopCloser(strings.NewReader("x")))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = "h.example"
				req.Header.Set(platform.HeaderRequestID, id)
				req.Header.Set(platform.HeaderDeadline, "4000")
				resp, err := tr.RoundTrip(req)
				status := 0
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					status = resp.StatusCode
				}
				mu.Lock()
				outcome[id] = status
				mu.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	err := in.Drain(context.Background())
	wg.Wait()
	assert.NilError(t, err)
	ran := map[string]int{}
	for _, b := range s.backends {
		for id, n := range b.Counts().Runs {
			ran[id] += n
		}
	}
	responded := 0
	for id, status := range outcome {
		switch {
		case status == http.StatusOK:
			responded++
			assert.Check(t, ran[id] == 1, "%s got its response and ran %d times", id, ran[id])
		case status == 0 || status == http.StatusServiceUnavailable:
			assert.Check(t, ran[id] == 0, "%s got %d and ran %d times", id, status, ran[id])
		}
	}
	assert.Assert(t, responded > callers, "%d responses", responded)
}

// An instance that starts while the store is unavailable takes the servers from a peer:
// it must not use a server that has departed, nor send new requests to one that drains.
func TestStartWithoutStoreSkipsDepartedServers(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	departed := s.backendWithoutHeartbeat(standin.BackendSettings{ID: "i-desk-left", Service: "desk", Slots: 6, ServiceTime: time.Millisecond})
	a := s.instance("edge-a")
	s.awaitOwners(1, a)
	mayUse := func(in *testInstance, id string) bool {
		n := in.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		server := n.fleet.Server(id)
		return server != nil && server.Usable()
	}
	eventually(t, "the server may be used", func() bool { return mayUse(a, "i-desk-left") })
	s.store.Remove(platform.TableServers, "i-desk-left")
	s.backends[1].Drain()
	eventually(t, "neither server may be used", func() bool { return !mayUse(a, "i-desk-left") && !mayUse(a, "i-desk-0") })
	s.storeGate.setUnavailable(true)
	b := s.instance("edge-b", a.cfg.PeerAddress)
	eventually(t, "ready with the rows of a peer", b.Node().Ready)
	before := departed.Counts().Arrivals + s.backends[1].Counts().Arrivals
	assert.Assert(t, !mayUse(b, "i-desk-left") && !mayUse(b, "i-desk-0"))
	for range 40 {
		status, _, err := sendRequest(b, "GET", "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, departed.Counts().Arrivals+s.backends[1].Counts().Arrivals, before)
}

// A server that misses its heartbeats, so that the store drops its entry, keeps the
// requests that it has: none is retried on another server or failed.
func TestServerWithExpiredEntryKeepsItsRequests(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	in := s.instance("edge-a")
	s.awaitOwners(1, in)
	for _, b := range s.backends[1:] {
		b.Drain() // the server without heartbeats is the only one left
	}
	backend := s.backendWithoutHeartbeat(standin.BackendSettings{ID: "i-desk-silent", Service: "desk", Slots: 6, ServiceTime: 1500 * time.Millisecond})
	eventually(t, "only the server without heartbeats may be used", func() bool {
		n := in.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		usable := 0
		for _, server := range n.fleet.Service("desk") {
			if server.Usable() {
				usable++
			}
		}
		return usable == 1 && n.fleet.Server("i-desk-silent") != nil
	})
	type result struct {
		status int
		err    error
	}
	done := make(chan result, 2)
	for _, path := range []string{"/order/1", "/look/1"} {
		go func() {
			method := "POST"
			if path == "/look/1" {
				method = "GET"
			}
			status, _, err := sendRequest(in, method, path, "")
			done <- result{status, err}
		}()
	}
	eventually(t, "both requests have arrived", func() bool { return backend.Counts().Arrivals == 2 })
	s.store.Remove(platform.TableServers, "i-desk-silent")
	for range 2 {
		got := <-done
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	for id, n := range backend.Counts().Runs {
		assert.Equal(t, n, 1, id)
	}
	assert.Equal(t, backend.Counts().Arrivals, 2)
}
