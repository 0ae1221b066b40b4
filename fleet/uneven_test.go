package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// unevenSimulation is a service with servers of unequal speed and instances that each know
// them by the responses to their own requests.
type unevenSimulation struct {
	now     time.Time
	r       *rand.Rand
	events  []simEvent // the next one is the last
	fleets  []*Fleet
	servers map[string]*simServer
	stated  func(s *simServer, pace float64) float64 // what a server states; 0: nothing
	onTime  map[string][2]int                        // by kind of request: on time, all
}

type simServer struct {
	speed      float64 // permanent factor of the time that work takes
	neighbours float64 // what other processes on its machine add
	running    int
	sent       float64   // tokens or requests
	idleAt     time.Time // of an engine's prefill
	queue      []func()
}

type simEvent struct {
	at time.Time
	do func()
}

// Parameters of the simulation. Plain servers take 2.5 times as long with all slots in use.
const (
	unevenServers   = 24
	plainSlots      = 6
	plainTime       = 40 * time.Millisecond
	engineSlots     = 32
	unevenWarmUp    = 3 * time.Second
	unevenTime      = 8 * time.Second
	minShareOfMean  = 0.05 // of the work that a server must get
	maxShareOfMean  = 3.0  // and may get
	networkTime     = time.Millisecond
	engineTokensPMS = 44.0 // prompt tokens per millisecond at the usual pace
)

func newUneven(seed uint64, instances, slots int, speeds []float64, stated func(*simServer, float64) float64) *unevenSimulation {
	u := &unevenSimulation{now: start, r: rand.New(rand.NewPCG(seed, 3)), servers: map[string]*simServer{}, stated: stated, onTime: map[string][2]int{}}
	var entries []Entry
	for i := range unevenServers {
		id := fmt.Sprint("e", i)
		entries = append(entries, entry(id, uint64(i+1), func(b *chestnutstream.Backend) { b.Slots, b.Zone = slots, fmt.Sprint("z", i%3) }))
		u.servers[id] = &simServer{speed: speeds[i%len(speeds)]}
		u.changeNeighbours(u.servers[id])
	}
	for i := range instances {
		f := New(fmt.Sprint("z", i%3), nil, rand.New(rand.NewPCG(seed, uint64(i))))
		f.ApplySnapshot(start, 0, entries)
		u.fleets = append(u.fleets, f)
	}
	return u
}

func (u *unevenSimulation) after(d time.Duration, do func()) {
	at := u.now.Add(d)
	i, _ := slices.BinarySearchFunc(u.events, at, func(e simEvent, at time.Time) int { return at.Compare(e.at) })
	u.events = slices.Insert(u.events, i, simEvent{at, do})
}

func (u *unevenSimulation) changeNeighbours(s *simServer) {
	if s.neighbours = 0; u.r.IntN(4) == 0 {
		s.neighbours = 0.8 * u.r.Float64()
	}
	u.after(time.Duration(u.r.ExpFloat64()*float64(300*time.Millisecond)), func() { u.changeNeighbours(s) })
}

// run sends requests with a mean interval. It returns the share on time of each kind, and the
// least and the most work of a server in multiples of the mean.
func (u *unevenSimulation) run(interval time.Duration, request func()) (onTime map[string]float64, work [2]float64) {
	var next func()
	next = func() {
		request()
		u.after(time.Duration(u.r.ExpFloat64()*float64(interval)), next)
	}
	next()
	for u.now.Before(start.Add(unevenTime)) {
		e := u.events[len(u.events)-1]
		u.events = u.events[:len(u.events)-1]
		u.now = e.at
		e.do()
	}
	onTime, total := map[string]float64{}, 0.0
	for kind, n := range u.onTime {
		onTime[kind] = float64(n[0]) / float64(n[1])
	}
	for _, s := range u.servers {
		total += s.sent / unevenServers
	}
	work[0] = math.Inf(1)
	for _, s := range u.servers {
		work[0], work[1] = min(work[0], s.sent/total), max(work[1], s.sent/total)
	}
	return onTime, work
}

func (u *unevenSimulation) record(kind string, took, target time.Duration) {
	if u.now.Sub(start) < unevenWarmUp {
		return
	}
	n := u.onTime[kind]
	if n[1]++; took <= target {
		n[0]++
	}
	u.onTime[kind] = n
}

func (u *unevenSimulation) plainRequest() {
	f, sentAt := u.fleets[u.r.IntN(len(u.fleets))], u.now
	id := f.PickPlain(u.now, testService, nil).ID
	s := u.servers[id]
	s.sent++
	f.RecordSent(id)
	pace := func() float64 { return 1 + 1.5*float64(s.running)/plainSlots + s.neighbours }
	var serve func()
	serve = func() {
		s.running++
		u.after(time.Duration((0.6+0.8*u.r.Float64())*s.speed*pace()*float64(plainTime)), func() {
			stated, running, waiting := u.stated(s, pace()), s.running, len(s.queue)
			if s.running--; waiting > 0 {
				s.queue[0]()
				s.queue = s.queue[1:]
			}
			u.after(networkTime, func() {
				f.RecordLoad(u.now, id, running, waiting)
				f.RecordPace(u.now, id, stated)
				f.RecordServiceTime(u.now, id, u.now.Sub(sentAt), waiting)
				f.RecordDone(id)
				u.record("plain", u.now.Sub(sentAt), 4*plainTime)
			})
		})
	}
	u.after(networkTime, func() {
		if s.running < plainSlots {
			serve()
		} else {
			s.queue = append(s.queue, serve)
		}
	})
}

func (u *unevenSimulation) reportEngines() {
	for id, s := range u.servers {
		for _, f := range u.fleets {
			f.SetTotalRequests(id, s.running)
		}
	}
	u.after(loadReportPeriod, u.reportEngines)
}

// engineRequest sends a request for an adapter. One prompt in fifteen is large.
func (u *unevenSimulation) engineRequest() {
	f, sentAt, kind := u.fleets[u.r.IntN(len(u.fleets))], u.now, "small"
	r := Request{Service: testService, Version: 1, Prompt: chestnutstream.Prompt{Tokens: smallPrompt}, Latency: smallTarget}
	r.Target = chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint(int(u.r.ExpFloat64() * 15))}
	if u.r.IntN(15) == 0 {
		kind, r.Prompt.Tokens, r.Latency = "large", bigPrompt, bigTarget
	}
	c := f.PickEngine(u.now, r, nil, anyLoadable)
	id, s, at := c.Server.ID, u.servers[c.Server.ID], u.now
	if !c.Loaded {
		at = at.Add(adapterLoadTime)
	}
	for _, loading := range []*Server{c.Server, c.Replica} {
		if loading != nil && !f.IsLoaded(u.now, loading, r.Target, 1) {
			u.after(adapterLoadTime, func() {
				for _, g := range u.fleets {
					g.RecordLoaded(u.now, loading.ID, r.Target, 1)
				}
			})
		}
	}
	waits := !c.Loaded || c.Server.PrefillWait(u.now) > 0
	f.RecordSent(id)
	f.RecordPrefill(u.now, id, r.Prompt.Tokens)
	u.after(5*networkTime, func() { // the notice of a large prompt
		for _, g := range u.fleets {
			if g != f {
				g.RecordPrefill(u.now, id, r.Prompt.Tokens)
			}
		}
	})
	s.running++
	s.sent += float64(r.Prompt.Tokens)
	if s.idleAt.After(at) {
		at = s.idleAt
	}
	pace := s.speed * (0.95 + 0.1*u.r.Float64())
	s.idleAt = at.Add(time.Duration(pace * float64(r.Prompt.Tokens) / engineTokensPMS * float64(time.Millisecond)))
	u.after(s.idleAt.Sub(u.now)+10*networkTime, func() {
		took := u.now.Sub(sentAt)
		f.RecordLoad(u.now, id, s.running, 0)
		f.RecordPace(u.now, id, u.stated(s, pace))
		if !waits {
			f.RecordFirstEvent(u.now, id, r.Prompt, took)
		}
		u.record(kind, took, r.Latency)
		u.after(time.Duration(float64(400*time.Millisecond)*s.speed*(1+float64(s.running)/engineSlots)), func() {
			f.RecordDone(id)
			f.RecordLoaded(u.now, id, r.Target, 1)
			s.running--
		})
	})
}

// Guards against placement that ignores the speed of servers, and against one that relies on
// what they state of it. Fleets that are told no pace place as before; the others must serve
// more on time of each kind, without sending one server much more than its share, and if slow
// servers or all of them lie, hardly less than before.
func TestUnequalServers(t *testing.T) {
	slow := func(s *simServer) bool { return s.speed > 1.1 }
	none, all := func(*simServer) bool { return false }, func(*simServer) bool { return true }
	silent := func(*simServer, float64) float64 { return 0 }
	tests := []struct {
		name string
		lies func(s *simServer) bool
		lie  float64
	}{{"true", none, 0}, {"slow servers state 55", slow, 0.55}, {"slow servers state 1000", slow, 10}, {"slow servers state nothing", slow, 0}, {"all state 55", all, 0.55}}
	run := func(engines bool, instances int, stated func(*simServer, float64) float64) (map[string]float64, [2]float64) {
		if engines {
			u := newUneven(1, instances, engineSlots, []float64{0.55, 1.2}, stated)
			u.reportEngines()
			return u.run(1300*time.Microsecond, u.engineRequest)
		}
		u := newUneven(1, instances, plainSlots, []float64{0.55, 1, 1.3, 0.8, 1.2, 0.7}, stated)
		return u.run(800*time.Microsecond, u.plainRequest)
	}
	for _, instances := range []int{8, 30} {
		for _, engines := range []bool{false, true} {
			before, workBefore := run(engines, instances, silent)
			for _, tt := range tests {
				now, work := run(engines, instances, func(s *simServer, pace float64) float64 {
					if tt.lies(s) {
						return tt.lie
					}
					return pace
				})
				t.Logf("%d instances, %s: %v %.2f, before %v %.2f", instances, tt.name, now, work, before, workBefore)
				assert.Check(t, work[0] > minShareOfMean && work[1] < maxShareOfMean, "%s: %v", tt.name, work)
				for kind, share := range before {
					late := 1.01 - share // a lie may cost that much
					if tt.name == "true" {
						late = 0.6 * (1 - share)
					}
					assert.Check(t, 1-now[kind] < late, "%s: %s", tt.name, kind)
				}
			}
		}
	}
}
