package waitlist

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulatedRequest is a request to a service whose servers take a fixed number of requests.
type simulatedRequest struct {
	Request
	ticket        Ticket
	took          time.Duration
	retryAt       time.Duration
	until         time.Duration // it is rejected after that
	kind          string
	waits, placed bool
}

// simulate sends requests of two kinds, some of them of a workspace with heavy times its
// usual load, to 8 servers for 20 s. It returns the share of the requests that were
// placed, by kind and workspace. Without a list each request that finds a free server takes it,
// and waits for a quarter of its latency target, as in the release before this package.
func simulate(seed uint64, withList bool, load, heavy float64, workspaces bool) map[string]float64 {
	r, order := rand.New(rand.NewPCG(seed, 9)), rand.New(rand.NewPCG(seed, 10)) // the load must not depend on the order
	const slots, serviceTime, step = 8, 100 * time.Millisecond, 5 * time.Millisecond
	list, start := New(), time.Unix(0, 0)
	var running, waiting []*simulatedRequest
	ends := map[*simulatedRequest]time.Duration{}
	placed, all := map[string]int{}, map[string]int{}
	count := func(q *simulatedRequest) {
		for _, class := range []string{"all", q.kind, q.Workspace} {
			all[class]++
			if q.placed {
				placed[class]++
			}
		}
	}
	// try places a request, or lets it wait; it returns false if it is rejected.
	try := func(now time.Duration, q *simulatedRequest) bool {
		proceeds := true
		if withList {
			_, proceeds = list.MayProceed(q.ticket)
		}
		if proceeds && len(running) < slots {
			q.placed = true
			running = append(running, q)
			ends[q] = now + q.took
			list.RecordPlaced(start.Add(now), q.Workspace)
			return true
		}
		if now > q.until || (withList && now+list.EstimateWait(q.ticket, 0) > q.until) {
			return false
		}
		list.Hold(q.ticket)
		q.retryAt = now + 100*time.Millisecond
		return true
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += step {
		rate := load * slots / float64(serviceTime) * (1 + 0.55*math.Sin(now.Seconds()/3))
		for ; next <= now; next += time.Duration(r.ExpFloat64() / rate) {
			q := &simulatedRequest{took: time.Duration(r.ExpFloat64() * float64(serviceTime)), kind: "urgent"}
			target := 300 * time.Millisecond
			if r.IntN(2) == 0 {
				q.kind, q.Priority, target = "deferrable", 2, 2*time.Second
			}
			if workspaces {
				q.Workspace = fmt.Sprint("w-", max(int(r.Float64()*(4+heavy)-heavy+1), 0))
			}
			share := 0.25
			if withList {
				share = 0.6
			}
			q.until, q.ticket = now+time.Duration(share*float64(target)), list.Enter(q.Request)
			waiting = append(waiting, q)
		}
		kept := running[:0]
		for _, q := range running {
			if now < ends[q] {
				kept = append(kept, q)
			} else {
				list.RecordEnded(q.Workspace)
			}
		}
		running = kept
		// A request that arrives, or whose retry is due, tries; with a list also the first.
		order.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		left, first := waiting[:0], list.first()
		for _, q := range waiting {
			due := now >= q.retryAt || (withList && first == q.ticket)
			if due && (!try(now, q) || q.placed) {
				list.Leave(q.ticket)
				count(q)
				continue
			}
			left = append(left, q)
		}
		waiting = left
	}
	shares := map[string]float64{}
	for class, n := range all {
		shares[class] = float64(placed[class]) / float64(n)
	}
	return shares
}

// Guards against urgent requests that are rejected while less urgent ones, which may wait for
// longer, take the servers; and against a workspace that takes the servers from others by
// sending more, or that gets none because it has sent more.
func TestRequestsUnderLoad(t *testing.T) {
	for _, tt := range []struct {
		load, heavy float64
		workspaces  bool
	}{{0.5, 1, true}, {1, 1, false}, {1.5, 1, true}, {1.8, 6, true}, {2.4, 6, true}} {
		for seed := range uint64(2) {
			before, after := simulate(seed, false, tt.load, tt.heavy, tt.workspaces), simulate(seed, true, tt.load, tt.heavy, tt.workspaces)
			t.Logf("%v seed %d: %.3v, before %.3v", tt, seed, after, before)
			assert.Check(t, after["urgent"] >= after["deferrable"]-0.05, "%v", tt)
			assert.Check(t, after["all"] >= before["all"]-0.02, "%v", tt)
			for class, share := range after {
				assert.Check(t, class == "deferrable" || share >= after["all"]/4, "%v: %s", tt, class)
				if tt.heavy > 1 && class[0] == 'w' && class != "w-0" {
					assert.Check(t, share > before[class] && share > after["w-0"], "%v: %s", tt, class)
				}
			}
		}
	}
}

// Guards against requests that wait for one that could not be placed where they can be, and
// against a share that counts although nothing waits.
func TestDecisions(t *testing.T) {
	l, now := New(), time.Unix(100, 0)
	for range 30 {
		l.RecordPlaced(now, "heavy")
	}
	l.RecordPlaced(now, "w")
	l.RecordPlaced(now, "other")
	expect := func(want bool, ticket Ticket) {
		t.Helper()
		_, ok := l.MayProceed(ticket)
		assert.Equal(t, ok, want)
	}
	heavy, urgent, late := l.Enter(Request{0, "heavy"}), l.Enter(Request{0, "w"}), l.Enter(Request{2, "w"})
	expect(true, heavy)
	l.Hold(late)
	expect(false, heavy)
	expect(true, urgent)
	l.Resume(late)
	expect(true, heavy)
	l.Hold(urgent)
	expect(false, late)
	assert.Equal(t, l.Leave(urgent), Ticket(0))
	expect(true, late)
}

// Guards against callers that are rejected together and return together, and against
// rejections after a calm time because requests then came slowly.
func TestReturnsAreSpread(t *testing.T) {
	l, now := New(), time.Unix(100, 0)
	for range 100 {
		now = now.Add(time.Second)
		l.RecordPlaced(now, "")
	}
	l.Hold(l.Enter(Request{}))
	assert.Equal(t, l.EstimateWait(l.Enter(Request{}), 10*time.Millisecond), 10*time.Millisecond)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		l.RecordPlaced(now, "")
	}
	last := time.Duration(0)
	for i := range 400 {
		d := l.RetryAfter(now, 200*time.Millisecond)
		assert.Assert(t, d >= 200*time.Millisecond && d <= 200*time.Millisecond+maxSpread)
		assert.Assert(t, d > last || d == 200*time.Millisecond+maxSpread, "rejection %d after %v", i, d)
		last = d
	}
}
