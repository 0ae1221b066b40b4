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
