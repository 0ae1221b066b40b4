package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/platform"
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

// offeredLoad is a constant rate of requests, sent to one instance after another.
type offeredLoad struct {
	path       string
	targets    []string // models, one request after another; empty: none
	perSecond  int
	leaveAfter time.Duration // after which callers close their connections; 0: they wait
	leaveEvery int           // every n-th caller does so
}

// offerLoad sends requests at a constant rate, and counts the responses by status until ctx
// ends. Callers that have left count as status 0.
func offerLoad(ctx context.Context, instances []*testInstance, load offeredLoad) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	start := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(load.perSecond))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			status := load.send(client, instances[i%len(instances)], i)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		}()
	}
	wg.Wait()
	return statuses
}

// send sends the i-th request to an instance and returns the status of a complete response.
func (l offeredLoad) send(client *http.Client, in *testInstance, i int) int {
	ctx := context.Background()
	if l.leaveAfter > 0 && i%l.leaveEvery == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.leaveAfter)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.cfg.CallerAddress+l.path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	if len(l.targets) > 0 {
		req.Header.Set(platform.HeaderModel, l.targets[i%len(l.targets)])
	}
	req.Header.Set(platform.HeaderRequestID, newRequestID())
	req.Header.Set(platform.HeaderDeadline, "2000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func TestBrittleServersStayUpUnderOverload(t *testing.T) {
	const (
		maxRejections  = 10
		learnTime      = 3 * time.Second
		loadTime       = 6 * time.Second
		allowedCrashes = 2 // + a tenth of the servers
	)
	tests := []struct {
		name     string
		server   standin.BackendSettings
		servers  int
		capacity int // requests a second of one server
		load     offeredLoad
	}{
		{"plain", standin.BackendSettings{Service: "desk", Slots: 6, ServiceTime: 75 * time.Millisecond}, 3, 80, offeredLoad{path: "/look/1"}},
		{"engines", standin.BackendSettings{
			Service: "assistant", Slots: 8, AdapterSlots: 4, Model: "m", ServiceTime: 40 * time.Millisecond, Events: 5, LoadTime: 50 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
		}, 3, 40, offeredLoad{path: "/once/1", targets: []string{"m/a1"}}},
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
			if len(tt.load.targets) > 0 {
				s.awaitOwners(tt.servers, all...)
			}
			for _, p := range processes {
				p.SetFaults(standin.BackendFaults{Brittle: maxRejections})
			}
			perSecond := tt.servers * tt.capacity
			warmUp, cancel := context.WithTimeout(context.Background(), learnTime)
			tt.load.perSecond = perSecond / 4
			offerLoad(warmUp, all, tt.load)
			cancel()
			ctx, cancel := context.WithTimeout(context.Background(), loadTime)
			defer cancel()
			tt.load.perSecond = 7 * perSecond / 4
			statuses := offerLoad(ctx, all, tt.load)
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
		_, ok := n.awaitPermit(context.Background(), ch, silentIssuerWait)
		n.mu.Unlock()
		responded <- ok
	}()
	time.Sleep(silentIssuerWait / 2) // it waits
	n.mu.Lock()
	time.Sleep(2 * silentIssuerWait) // its wait has ended, and it needs mu
	n.handleSlotResponse(instance.PermitResponse{ID: 1, Server: "i-1", OK: true})
	n.mu.Unlock()
	assert.Assert(t, <-responded)
}
