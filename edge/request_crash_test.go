package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/standin"
)

// crashesUntilRequestBound is the number of servers that a single request may crash before
// the rule BUDGET counts how often it is sent.
const crashesUntilRequestBound = 3

// requestCrashes plays one request that comes again and again, and crashes each server that
// runs it, beside sound ones with the same adapter and of the same caller.
type requestCrashes struct {
	path      string // of the route
	target    string // "": of a plain service
	instances []*testInstance

	done                              chan struct{}
	wg                                sync.WaitGroup
	quarantined                       atomic.Int32 // requests that crash servers, refused under a verdict
	sound, served, quarantinedWrongly atomic.Int32
}

// every calls send in a period, until done is closed.
func (p *requestCrashes) every(period time.Duration, send func(n int)) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		for n := 0; ; n++ {
			select {
			case <-p.done:
				return
			case <-time.After(period):
				p.wg.Add(1)
				go func() { defer p.wg.Done(); send(n) }()
			}
		}
	}()
}

// send sends a request to the n-th instance. last is the last part of its prompt.
func (p *requestCrashes) send(n int, name, last string) (served, quarantined bool) {
	parts := ""
	if p.target != "" {
		parts = "aa:100,ca11:40," + last + ":150"
	}
	status, body, _, err := sendPrompt(p.instances[n%len(p.instances)], "POST", p.path+name, p.target, parts)
	return err == nil && status == http.StatusOK, strings.Contains(body, "quarantined")
}

func (p *requestCrashes) sendSound(n int) {
	served, quarantined := p.send(n, fmt.Sprint(n), fmt.Sprintf("%x", n))
	p.sound.Add(1)
	if served {
		p.served.Add(1)
	}
	if quarantined {
		p.quarantinedWrongly.Add(1)
	}
}

func (p *requestCrashes) sendCrashing(n int) {
	if _, quarantined := p.send(n, "dead", "dead"); quarantined {
		p.quarantined.Add(1)
	}
}

func TestRequestThatCrashesServersStopsReachingThem(t *testing.T) {
	tests := []struct {
		path   string
		target string
	}{
		{"/order/", ""},
		{"/look/", ""},
		{"/once/", "m/a1"},
		{"/ask/", "m/a1"},
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 0, 4)
			start := s.process
			if tt.target == "" {
				s.configure(strings.ReplaceAll(testRoutes, "desk", "counter")) // the servers of desk can't crash, and would clear the request
				start = s.plainProcess
			}
			var processes []*standin.BackendProcess
			for i := range 6 {
				processes = append(processes, start(fmt.Sprintf("i-%d", i)))
			}
			p := &requestCrashes{path: tt.path, target: tt.target, instances: s.instances(4), done: make(chan struct{})}
			if tt.target != "" {
				s.awaitOwners(len(processes), p.instances...)
			}
			p.every(25*time.Millisecond, p.sendSound)
			time.Sleep(time.Second)
			for _, process := range processes {
				process.SetFaults(standin.BackendFaults{CrashPath: tt.path + "dead"})
			}
			p.every(120*time.Millisecond, p.sendCrashing)
			time.Sleep(4 * contactTime)
			close(p.done)
			p.wg.Wait()
			p.check(t, processes)
		})
	}
}

func (p *requestCrashes) check(t *testing.T, processes []*standin.BackendProcess) {
	crashes, arrivals := crashTimes(processes)
	assert.Assert(t, len(crashes) > 0, "no server crashed")
	last := crashes[min(len(crashes), crashesUntilRequestBound)-1]
	late := 0
	for _, at := range arrivals {
		if at.Sub(last) > contactTime {
			late++
		}
	}
	t.Logf("%d crashes, %d of %d arrivals late, %d refused under a verdict; sound: %d of %d served, %d refused under one",
		len(crashes), late, len(arrivals), p.quarantined.Load(), p.served.Load(), p.sound.Load(), p.quarantinedWrongly.Load())
	assert.Assert(t, late <= maxCrashArrivals)
	assert.Assert(t, p.quarantined.Load() > 0)
	assert.Equal(t, p.quarantinedWrongly.Load(), int32(0))
	assert.Assert(t, 2*p.served.Load() > p.sound.Load())
}

// crashTimes returns the times of all crashes and of all arrivals of what causes them.
func crashTimes(processes []*standin.BackendProcess) (crashes, arrivals []time.Time) {
	for _, p := range processes {
		crashes = append(crashes, p.Crashes()...)
		for _, b := range p.Backends() {
			arrivals = append(arrivals, b.Counts().CrashArrivals...)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes, arrivals
}
