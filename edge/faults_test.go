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

// A planned stop under load, with callers that send one order after the other on
// connections that they keep, until these are closed: each order that ran was
// answered, and each that was not answered, or refused, has not run.
func TestPlannedStopAnswersWhatItTook(t *testing.T) {
	t.Parallel()
	const callers = 24
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	var mu sync.Mutex
	outcome := map[string]int{} // status by request; 0: the connection ended
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
		for id, n := range b.Counts().Ran {
			ran[id] += n
		}
	}
	answered := 0
	for id, status := range outcome {
		switch {
		case status == http.StatusOK:
			answered++
			assert.Check(t, ran[id] == 1, "%s was answered and ran %d times", id, ran[id])
		case status == 0 || status == http.StatusServiceUnavailable:
			assert.Check(t, ran[id] == 0, "%s got %d and ran %d times", id, status, ran[id])
		}
	}
	assert.Assert(t, answered > callers, "%d answered", answered)
}

// An instance that starts again while the store is away learns from a peer which
// servers there are: one that has left is not among them, one that leaves gets no
// new work.
func TestRestartWithoutStoreKnowsWhoLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	left := s.silentBackend(standin.BackendSettings{ID: "i-desk-left", Service: "desk", Slots: 6, Work: time.Millisecond})
	a := s.instance("edge-a")
	s.owned(1, a)
	knows := func(in *running, id string) bool {
		n := in.Node()
		n.mu.Lock()
		defer n.mu.Unlock()
		server := n.fleet.Server(id)
		return server != nil && server.Usable()
	}
	eventually(t, "the server is known", func() bool { return knows(a, "i-desk-left") })
	s.store.Remove(platform.TableServers, "i-desk-left")
	s.backends[1].Drain()
	eventually(t, "both are known to leave", func() bool { return !knows(a, "i-desk-left") && !knows(a, "i-desk-0") })
	s.gate.set(true)
	b := s.instance("edge-b", a.cfg.PeerAddress)
	eventually(t, "ready from a peer's word", b.Node().Ready)
	before := left.Counts().Arrivals + s.backends[1].Counts().Arrivals
	assert.Assert(t, !knows(b, "i-desk-left") && !knows(b, "i-desk-0"))
	for range 40 {
		status, _, err := ask(b, "GET", "/look/1", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, left.Counts().Arrivals+s.backends[1].Counts().Arrivals, before)
}

// A server that is only silent, so that the store drops its entry, keeps the work
// that it has: nothing is started again elsewhere or given up.
func TestSilentServerKeepsItsWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 3)
	in := s.instance("edge-a")
	s.owned(1, in)
	for _, b := range s.backends[1:] {
		b.Drain() // the silent one is the only one left
	}
	silent := s.silentBackend(standin.BackendSettings{ID: "i-desk-silent", Service: "desk", Slots: 6, Work: 1500 * time.Millisecond})
	eventually(t, "only the silent server takes work", func() bool {
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
	type answer struct {
		status int
		err    error
	}
	done := make(chan answer, 2)
	for _, path := range []string{"/order/1", "/look/1"} {
		go func() {
			method := "POST"
			if path == "/look/1" {
				method = "GET"
			}
			status, _, err := ask(in, method, path, "")
			done <- answer{status, err}
		}()
	}
	eventually(t, "both requests are there", func() bool { return silent.Counts().Arrivals == 2 })
	s.store.Remove(platform.TableServers, "i-desk-silent")
	for range 2 {
		got := <-done
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
	}
	for id, n := range silent.Counts().Ran {
		assert.Equal(t, n, 1, id)
	}
	assert.Equal(t, silent.Counts().Arrivals, 2)
}
