package connlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// opened opens a connection at second at and brings it into a phase.
func opened(t *testing.T, p *Part, at int, phase Phase) *State {
	now := time.Unix(int64(at), 0)
	c, victim, ok := p.Open(at, now)
	assert.Assert(t, ok && victim.State == nil)
	if phase == PhaseHead {
		return c
	}
	_, _, ok = p.CompleteHead(c, phase == PhaseBody, now)
	assert.Assert(t, ok)
	switch phase {
	case PhaseResponse:
		p.EndRequest(c, now)
	case PhaseIdle:
		p.EndRequest(c, now)
		p.Idle(c, now)
	case PhaseUpgraded, PhaseEstablished:
		p.Upgrade(c, now)
		if phase == PhaseEstablished {
			p.Receive(c, 1, 0, 100, now)
		}
	}
	assert.Equal(t, c.Phase(), phase)
	return c
}

// Guards against the closing of connections whose clients are ordinary.
func TestWhoIsClosedForANewConnection(t *testing.T) {
	tests := []struct {
		name   string
		phases []Phase // of the connections that were opened in seconds 0, 1, 2, ...
		closed int     // -1: none, the new one is refused
		reason Reason
	}{
		{"the one without a request for longest", []Phase{PhaseHead, PhaseHead, PhaseHead}, 0, ReasonNoRequest},
		{"no request in progress", []Phase{PhaseRequest, PhaseHead, PhaseHead}, 1, ReasonNoRequest},
		{"no peer", []Phase{PhaseEstablished, PhaseUpgraded, PhaseUpgraded}, 1, ReasonSilent},
		{"a client that is idle for a while has been ordinary", []Phase{PhaseIdle, PhaseIdle, PhaseHead}, 2, ReasonNoRequest},
		{"one that is idle for much longer is closed", []Phase{PhaseIdle, PhaseRequest, PhaseRequest, PhaseRequest, PhaseRequest, PhaseRequest, PhaseRequest, PhaseRequest, PhaseHead}, 0, ReasonIdle},
		{"a body that does not come", []Phase{PhaseBody, PhaseHead, PhaseIdle}, 0, ReasonSlowBody},
		{"a response that is not read", []Phase{PhaseRequest, PhaseResponse, PhaseRequest, PhaseRequest}, 1, ReasonUnread},
		{"a response whose end is just sent is not closed", []Phase{PhaseRequest, PhaseRequest, PhaseResponse}, -1, ""},
		{"none", []Phase{PhaseRequest, PhaseRequest, PhaseEstablished}, -1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPart(Limits{Connections: len(tt.phases), HeadMemory: 1 << 20, RequestMemory: 1 << 20})
			for i, phase := range tt.phases {
				opened(t, p, i, phase)
			}
			now := time.Unix(int64(len(tt.phases)), -300e6)
			_, victim, ok := p.Open("new", now)
			if tt.closed < 0 {
				assert.Assert(t, !ok && victim.State == nil)
				return
			}
			assert.Assert(t, ok)
			assert.Equal(t, victim.State.Value, tt.closed)
			assert.Equal(t, victim.Reason, tt.reason)
			assert.Equal(t, p.Len(), len(tt.phases))
		})
	}
}

// Guards against slow but ordinary uploads that are closed for others.
func TestUploadOnASlowLinkIsNotClosed(t *testing.T) {
	p := NewPart(Limits{Connections: 1, HeadMemory: 1 << 20, RequestMemory: 1 << 20})
	c := opened(t, p, 0, PhaseBody)
	c.ReceiveBody(600 << 10) // within 60 s
	_, _, ok := p.Open("new", time.Unix(60, 0))
	assert.Assert(t, !ok)
	_, victim, ok := p.Open("new", time.Unix(90, 0))
	assert.Assert(t, ok && victim.State == c)
}

// Guards against heads that are limited one by one, but not all together.
func TestMemoryOfIncompleteHeadsIsBounded(t *testing.T) {
	p := NewPart(Limits{Connections: 100, HeadMemory: 100 << 10, RequestMemory: 1 << 20})
	var closed []Closed
	for i := range 20 {
		c := opened(t, p, i, PhaseHead)
		closed = append(closed, p.Receive(c, 8000, 100, 64<<10, time.Unix(int64(i), 1))...)
	}
	// Each takes 4*8000 + 100*100 bytes, so two fit.
	assert.Equal(t, len(closed), 18)
	for i, v := range closed {
		assert.Equal(t, v.State.Value, i, "the oldest first")
		assert.Equal(t, v.Reason, ReasonHeadMemory)
		assert.Equal(t, v.State.Phase(), PhaseClosed)
	}
}

// Guards against heads that count for ever, and against heads within the limits that are
// refused.
func TestHeadIsBoundedAndReleased(t *testing.T) {
	const maxHead = 16 << 10
	p := NewPart(Limits{Connections: 2, HeadMemory: 1 << 20, RequestMemory: 1 << 20})
	for i := range 100 {
		c := opened(t, p, i, PhaseHead)
		now := time.Unix(int64(i), 0)
		assert.Equal(t, len(p.Receive(c, maxHead, maxHead/8, maxHead, now)), 0)
		_, refuse, ok := p.CompleteHead(c, false, now)
		assert.Assert(t, ok && !refuse)
		p.EndRequest(c, now)
		p.Idle(c, now)
		over := p.Receive(c, maxHead+readAhead+1, 1, maxHead, now)
		assert.Equal(t, over[0].Reason, ReasonHeadTooLarge)
		p.Close(c)
	}
	assert.Equal(t, p.headMemory, int64(0))
	assert.Equal(t, p.requestMemory, int64(0))
}

// Guards against large heads of requests whose bodies never come: ordinary requests with
// large heads are refused only while all of the memory is taken by requests in progress.
func TestLargeHeadsOfRequestsInProgress(t *testing.T) {
	p := NewPart(Limits{Connections: 10, HeadMemory: 1 << 20, RequestMemory: 100 << 10})
	complete := func(at int, hasBody bool) ([]Closed, bool, *State) {
		c := opened(t, p, at, PhaseHead)
		now := time.Unix(int64(at), 0)
		p.Receive(c, 10000, 0, 64<<10, now)
		victims, refuse, ok := p.CompleteHead(c, hasBody, now)
		assert.Equal(t, ok, !refuse)
		return victims, refuse, c
	}
	_, _, slow := complete(0, true)
	_, _, first := complete(1, false)
	victims, refuse, _ := complete(5, false)
	assert.Assert(t, !refuse && len(victims) == 1 && victims[0].State == slow)
	assert.Assert(t, !p.CompleteBody(slow), "a request whose connection was closed looks whole")
	_, refuse, refused := complete(6, false)
	assert.Assert(t, refuse)
	p.EndRequest(refused, time.Unix(6, 0))
	p.EndRequest(first, time.Unix(6, 0))
	_, refuse, _ = complete(6, false)
	assert.Assert(t, refuse, "the head is kept until the response is sent")
	p.Idle(first, time.Unix(7, 0))
	_, refuse, last := complete(7, false)
	assert.Assert(t, !refuse)
	p.EndRequest(last, time.Unix(7, 0))
	victims, refuse, _ = complete(10, false)
	assert.Assert(t, !refuse && len(victims) == 1 && victims[0].State == last, "a response that is not read keeps its head")
}

// Guards against a request of a connection that was closed for others.
func TestClosedConnectionCompletesNoHead(t *testing.T) {
	p := NewPart(Limits{Connections: 1, HeadMemory: 1 << 20, RequestMemory: 1 << 20})
	c := opened(t, p, 0, PhaseHead)
	_, victim, _ := p.Open("new", time.Unix(1, 0))
	assert.Equal(t, victim.State, c)
	_, refuse, ok := p.CompleteHead(c, false, time.Unix(1, 0))
	assert.Assert(t, !ok && !refuse)
	p.Close(c) // by the HTTP server
	assert.Equal(t, p.Len(), 1)
}

// Guards against crowds that displace ordinary clients: connections come 5,000 times a
// second beside clients that send their requests 20 ms after their connections.
func TestOrdinaryClientsAreServedBesideACrowd(t *testing.T) {
	const (
		step     = 200 * time.Microsecond
		respond  = 20 * time.Millisecond
		ordinary = 50 // every so many connections
	)
	for _, first := range []int{0, 1000, 4000} { // bytes that the crowd sends at once
		p := NewPart(Limits{Connections: 200, HeadMemory: 4 << 20, RequestMemory: 4 << 20})
		rng := rand.New(rand.NewPCG(1, 2))
		type client struct {
			c  *State
			at time.Time
		}
		var waiting []client
		served, lost := 0, 0
		now := time.Unix(0, 0)
		for i := range 6000 {
			now = now.Add(step)
			c, _, ok := p.Open(i, now)
			assert.Assert(t, ok)
			if i%ordinary == 0 {
				waiting = append(waiting, client{c, now.Add(respond)})
			} else if first > 0 {
				p.Receive(c, first, rng.IntN(first/8), 16<<10, now)
			}
			for len(waiting) > 0 && !waiting[0].at.After(now) {
				o := waiting[0].c
				waiting = waiting[1:]
				p.Receive(o, 1000, 15, 16<<10, now)
				if _, refuse, ok := p.CompleteHead(o, false, now); !ok || refuse {
					lost++
					continue
				}
				served++
				p.EndRequest(o, now)
				p.Close(o)
			}
		}
		assert.Assert(t, served > 80 && lost == 0, "%d served, %d lost", served, lost)
	}
}

// Guards against an accounting that drifts: random events, after each of which the sums are
// those of the connections and the limits hold.
func TestAccountingOverRandomEvents(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		limits := Limits{Connections: 8, HeadMemory: 60 << 10, RequestMemory: 80 << 10}
		p := NewPart(limits)
		var all []*State
		now := time.Unix(0, 0)
		for range 3000 {
			now = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			if len(all) == 0 || rng.IntN(6) == 0 {
				if c, _, ok := p.Open(nil, now); ok {
					all = append(all, c)
				}
			}
			if len(all) == 0 {
				continue
			}
			c := all[rng.IntN(len(all))]
			busy := c.phase == PhaseRequest || c.phase == PhaseEstablished
			switch rng.IntN(8) {
			case 0, 1, 2:
				p.Receive(c, rng.IntN(6000), rng.IntN(100), 16<<10, now)
			case 3:
				if c.phase == PhaseHead || c.phase == PhaseIdle {
					if _, refuse, _ := p.CompleteHead(c, rng.IntN(2) == 0, now); refuse {
						p.EndRequest(c, now)
					}
				}
			case 4:
				p.CompleteBody(c)
			case 5:
				p.EndRequest(c, now)
			case 6:
				if c.phase == PhaseResponse {
					p.Idle(c, now)
				} else if busy && rng.IntN(4) == 0 {
					p.Upgrade(c, now)
				}
			case 7:
				if rng.IntN(10) == 0 {
					p.Close(c)
				}
			}
			var heads, requests int64
			for i, o := range p.conns {
				assert.Equal(t, o.index, i)
				switch o.phase {
				case PhaseHead:
					heads += o.cost
				case PhaseBody, PhaseRequest, PhaseResponse:
					requests += o.cost
				default:
					assert.Equal(t, o.cost, int64(0), string(o.phase))
				}
			}
			assert.Equal(t, p.headMemory, heads)
			assert.Equal(t, p.requestMemory, requests)
			assert.Assert(t, p.Len() <= limits.Connections && heads <= limits.HeadMemory && requests <= limits.RequestMemory)
		}
	}
}
