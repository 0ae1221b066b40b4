package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/standin"
)

// load is callers that send one request after the other to each of some instances.
type load struct {
	mu       sync.Mutex
	statuses map[int]int
	errs     []error
	stop     chan struct{}
	wg       sync.WaitGroup
}

// startLoad starts so many callers of each instance. next names method, path and
// target of the n-th request.
func startLoad(instances []*running, callers int, next func(n int) (method, path, target string)) *load {
	l := &load{statuses: map[int]int{}, stop: make(chan struct{})}
	for _, in := range instances {
		for range callers {
			l.wg.Add(1)
			go l.call(in, next)
		}
	}
	return l
}

func (l *load) call(in *running, next func(n int) (method, path, target string)) {
	defer l.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		method, path, target := next(n)
		status, _, err := ask(in, method, path, target)
		l.mu.Lock()
		l.statuses[status]++
		if err != nil {
			l.errs = append(l.errs, err)
		}
		l.mu.Unlock()
	}
}

// end ends the load and returns how many requests there were and how many got
// something else than 200.
func (l *load) end(t *testing.T) (all, failed int) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	assert.Assert(t, len(l.errs) == 0, "%v", l.errs)
	for status, n := range l.statuses {
		all += n
		if status != http.StatusOK {
			failed += n
		}
	}
	t.Logf("statuses: %v", l.statuses)
	return all, failed
}

func lookUp(int) (method, path, target string) { return "GET", "/look/1", "" }

func askFew(n int) (method, path, target string) { return "POST", "/ask/1", fmt.Sprintf("m/a%d", n%4) }

// kindsOfServers are a server of each kind of a site with three engines, and
// requests for it.
var kindsOfServers = []struct {
	name    string
	backend int // of the site
	next    func(n int) (method, path, target string)
}{
	{"plain service", 3, lookUp},
	{"engine", 0, askFew},
}

// The rule LIMIT of the platform's pages: windows of 4 s, half a time more than
// the limit allows and 5 requests, from 3 s after it was first named.
const (
	limitWindow = 4 * time.Second
	limitShare  = 1.5
	limitExtra  = 5
	contactTime = 3 * time.Second
)

// judgeLimit checks the arrivals at a server that has named a limit since then.
func judgeLimit(t *testing.T, arrivals []time.Time, named time.Time, rate float64) {
	t.Helper()
	var times []time.Time
	for _, at := range arrivals {
		if at.Sub(named) >= contactTime {
			times = append(times, at)
		}
	}
	most, allowed := standin.MostWithin(times, limitWindow), int(limitShare*rate*limitWindow.Seconds()+limitExtra)
	t.Logf("%d requests in %v; %d allowed, %.0f named", most, limitWindow, allowed, rate*limitWindow.Seconds())
	assert.Assert(t, most <= allowed, "%d requests in %v, %d allowed", most, limitWindow, allowed)
	assert.Assert(t, most > 0, "the server gets nothing")
}

func TestServersLimitHoldsOverAllInstances(t *testing.T) {
	const rate = 5.0
	for _, test := range kindsOfServers {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3, 4)
			all := s.instances(5)
			s.owned(3, all...)
			calls := startLoad(all, 1, test.next)
			time.Sleep(time.Second)
			b := s.backends[test.backend]
			b.SetFaults(standin.BackendFaults{Limit: fmt.Sprint(rate)})
			named := time.Now()
			time.Sleep(contactTime + limitWindow + time.Second)
			sent, failed := calls.end(t)
			judgeLimit(t, b.Counts().InNeed, named, rate)
			assert.Assert(t, failed <= sent/50, "%d of %d requests not served though another server was free", failed, sent)
		})
	}
}

func TestServerThatWantsNothingForAWhileGetsNothing(t *testing.T) {
	t.Parallel()
	const pause, slack, each = 2 * time.Second, 500 * time.Millisecond, 2
	s := newSite(t, 1, 4)
	all := s.instances(4)
	s.owned(1, all...)
	calls := startLoad(all, 1, lookUp)
	time.Sleep(time.Second)
	s.backends[1].SetFaults(standin.BackendFaults{Pause: pause.Seconds()})
	began := time.Now()
	time.Sleep(pause - slack/5)
	sent, failed := calls.end(t)
	late := 0
	for _, at := range s.backends[1].Counts().InNeed {
		if at.Sub(began) > slack {
			late++
		}
	}
	assert.Assert(t, late <= each*len(all), "%d requests in the time in which it wants none", late)
	assert.Assert(t, failed <= sent/50, "%d of %d requests not served though another server was free", failed, sent)
}

func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	const drain = 2 * time.Second
	for _, test := range kindsOfServers {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3, 4)
			all := s.instances(4)
			s.owned(3, all...)
			calls := startLoad(all, 1, test.next)
			time.Sleep(time.Second)
			s.backends[test.backend].SetFaults(standin.BackendFaults{Leaving: true})
			began := time.Now()
			time.Sleep(2 * drain)
			sent, failed := calls.end(t)
			late := 0
			for _, at := range s.backends[test.backend].Counts().InNeed {
				if at.Sub(began) > drain {
					late++
				}
			}
			assert.Equal(t, late, 0, "requests at a server %v after it said that it leaves", drain)
			assert.Assert(t, failed <= sent/50, "%d of %d requests not served though another server was free", failed, sent)
		})
	}
}

func TestServersLimitHoldsWhenTheGiverOfPermitsIsGone(t *testing.T) {
	t.Parallel()
	const rate, server = 5.0, "i-desk-0"
	s := newSite(t, 3, 4)
	all := s.instances(4)
	s.owned(3, all...)
	first := all[0].Node()
	first.mu.Lock()
	giver := first.permits.GivenBy(first.now(), server, first.permitView())
	first.mu.Unlock()
	var others []*running
	for _, in := range all {
		if in.cfg.Instance != giver {
			others = append(others, in)
		}
	}
	assert.Equal(t, len(others), 3)
	calls := startLoad(others, 1, lookUp)
	b := s.backends[3]
	b.SetFaults(standin.BackendFaults{Limit: fmt.Sprint(rate)})
	named := time.Now()
	time.Sleep(contactTime)
	for _, in := range all {
		if in.cfg.Instance == giver {
			in.Close()
		}
	}
	time.Sleep(limitWindow + time.Second)
	sent, failed := calls.end(t)
	judgeLimit(t, b.Counts().InNeed, named, rate)
	assert.Assert(t, failed <= sent/50, "%d of %d requests not served though another server was free", failed, sent)
}

func TestAnswerOfAnEarlierStartSaysNothingOfThePresentOne(t *testing.T) {
	n := idleNode(t, "edge-a")
	now := n.now()
	entry := func(born int64, row uint64) fleet.Entry {
		b := chestnutstream.Backend{ID: "i", Born: born, Service: "s", Address: "127.0.0.1:1", State: chestnutstream.BackendReady}
		return fleet.Entry{Key: "i", Row: row, Backend: b}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Fed(now, []fleet.Entry{entry(1, 1)})
	first := n.fleet.Server("i").Backend
	n.fleet.Fed(now, []fleet.Entry{entry(2, 2)})
	said := chestnutstream.Backpressure{Leaving: true, Limit: 3, Pause: time.Second}
	assert.Equal(t, len(n.said(now, now, first, said)), 0)
	assert.Assert(t, n.fleet.Server("i").Takes(now))
	assert.Equal(t, len(n.said(now, now, n.fleet.Server("i").Backend, said)), 3)
	assert.Assert(t, !n.fleet.Server("i").Takes(now))
}

func TestRequestsWaitForAPermitWithinTheirAim(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 4)
	in := s.instance("edge-a")
	s.owned(1, in)
	s.backends[2].Drain() // the one with the limit is the only one left
	s.backends[1].SetFaults(standin.BackendFaults{Limit: "20"})
	time.Sleep(time.Second)
	calls := startLoad([]*running{in}, 1, lookUp)
	time.Sleep(3 * time.Second)
	sent, failed := calls.end(t)
	assert.Assert(t, failed <= sent/20, "%d of %d requests refused, each of which had a permit within 50 ms of its 200", failed, sent)
}
