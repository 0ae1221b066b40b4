package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/standin"
)

// brittleProcess starts a server that can crash and is back after two seconds.
func (s *testSite) brittleProcess(cfg standin.BackendSettings) *standin.BackendProcess {
	cfg.Zone = "zone-a"
	p, err := standin.StartProcess(standin.ProcessSettings{
		Backend: cfg, Heartbeat: 300 * time.Millisecond, RestartTime: 2 * time.Second,
	}, s.store)
	assert.NilError(s.t, err)
	s.t.Cleanup(p.Close)
	return p
}

// offerLoad sends requests at a constant rate, to one instance after another, and counts
// the responses by status until ctx ends.
func offerLoad(ctx context.Context, instances []*testInstance, path, target string, perSecond int) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 3 * time.Second}
	var n atomic.Int64
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			in := instances[int(n.Add(1))%len(instances)]
			req, _ := http.NewRequest(http.MethodPost, "http://"+in.cfg.CallerAddress+path, nil)
			req.Host = "h.example"
			if target != "" {
				req.Header.Set("X-Chestnutstream-Model", target)
			}
			req.Header.Set("X-Chestnutstream-Request-Id", newRequestID())
			req.Header.Set("X-Chestnutstream-Deadline-Ms", "2000")
			status := 0
			if resp, err := client.Do(req); err == nil {
				status = resp.StatusCode
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					status = 0
				}
				_ = resp.Body.Close()
			}
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	return statuses
}

func TestBrittleServersStayUpUnderOverload(t *testing.T) {
	const (
		maxRejections  = 10
		learnTime      = 3 * time.Second
		loadTime       = 6 * time.Second
		allowedCrashes = 2 // + a tenth of the servers
	)
	tests := []struct {
		name         string
		server       standin.BackendSettings
		servers      int
		capacity     int // requests a second of one server
		path, target string
	}{
		{"plain", standin.BackendSettings{Service: "desk", Slots: 6, ServiceTime: 75 * time.Millisecond}, 3, 80, "/look/1", ""},
		{"engines", standin.BackendSettings{
			Service: "assistant", Slots: 8, AdapterSlots: 4, Model: "m", ServiceTime: 40 * time.Millisecond, Events: 5, LoadTime: 50 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
		}, 3, 40, "/once/1", "m/a1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSite(t, 0, 3)
			for i, b := range s.backends { // the plain servers that every site has
				s.store.Remove("servers", fmt.Sprintf("i-desk-%d", i))
				b.Drain()
			}
			var processes []*standin.BackendProcess
			for i := range tt.servers {
				tt.server.ID = fmt.Sprintf("i-brittle-%d", i)
				processes = append(processes, s.brittleProcess(tt.server))
			}
			all := s.instances(5)
			s.awaitOwners(0, all...)
			if tt.target != "" {
				s.awaitOwners(tt.servers, all...)
			}
			for _, p := range processes {
				p.SetFaults(standin.BackendFaults{Brittle: maxRejections})
			}
			perSecond := tt.servers * tt.capacity
			warmUp, cancel := context.WithTimeout(context.Background(), learnTime)
			offerLoad(warmUp, all, tt.path, tt.target, perSecond/4)
			cancel()
			ctx, cancel := context.WithTimeout(context.Background(), loadTime)
			defer cancel()
			statuses := offerLoad(ctx, all, tt.path, tt.target, 7*perSecond/4)
			crashes := 0
			for _, p := range processes {
				crashes += len(p.Crashes())
			}
			served, possible := statuses[http.StatusOK], perSecond*int(loadTime/time.Second)
			t.Logf("%d crashes, %d of %d possible requests served: %v", crashes, served, possible, statuses)
			assert.Assert(t, crashes <= allowedCrashes, "%d crashes", crashes)
			assert.Assert(t, served >= possible*3/4, "%d of %d possible requests served", served, possible)
		})
	}
}

// Guards against grants that stay counted for good because they come at the end of the wait.
func TestSlotGrantedAtTheEndOfTheWaitIsUsed(t *testing.T) {
	n := idleNode(t, "edge-a")
	ch, responded := make(chan instance.PermitResponse, 1), make(chan bool)
	n.permitWaiters[1] = ch
	go func() {
		n.mu.Lock()
		_, ok := n.awaitPermit(context.Background(), ch)
		n.mu.Unlock()
		responded <- ok
	}()
	time.Sleep(permitTimeout / 2) // it waits
	n.mu.Lock()
	time.Sleep(2 * permitTimeout) // its wait has ended, and it needs mu
	n.handleSlotResponse(instance.PermitResponse{ID: 1, Server: "i-1", OK: true})
	n.mu.Unlock()
	assert.Assert(t, <-responded)
}
