package workspace

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// simulation plays instances that share the quota of one workspace over a network with
// delays and faults.
type simulation struct {
	now      time.Duration
	rng      *rand.Rand
	quota    chestnutstream.Quota
	cfg      Settings
	tick     time.Duration
	nodes    []*simNode
	byName   map[string]*simNode
	names    []string
	messages []simMessage
	cut      map[[2]string]simCut        // by ordered pair
	opening  map[[2]string]time.Duration // when connections are established after a restart, by ordered pair
	lossTime time.Duration

	lost, late float64 // share of messages
	maxDelay   time.Duration
	passed     []simRequest
	refused    []simRequest // requests that found no room within maxWait
	sent       int          // messages
	mostHeld   float64      // the largest sum of all shares so far
	mostDebt   float64      // the largest sum of all debts so far
}

type simNode struct {
	name        string
	state       *Instance
	incarnation uint64
	frozenUntil time.Duration
	rate        float64 // requests per second that it gets
	cost        func() float64
	waiting     []simRequest
	asked       []simRequest  // that wait for the allocator
	askAt       time.Duration // the allocator is asked to charge requests from then on
}

type simRequest struct{ at, cost float64 }

type simMessage struct {
	at       time.Duration
	from, to string
	report   *Report
	grant    *Grant
	charge   *simCharge
}

// simCharge asks an allocator to charge a request, or is its response.
type simCharge struct {
	simRequest
	response, ok bool
	wait         time.Duration
}

// simCut is a connection that is cut, and from when each side notices it.
type simCut struct{ noticed [2]time.Duration }

const (
	simWait         = 200 * time.Millisecond // that a request may wait for room: a quarter of a latency target of 800 ms
	simViewInterval = 200 * time.Millisecond // between looks at the view of instances that have nothing to report
)

func newSimulation(n int, seed uint64, quota chestnutstream.Quota, cfg Settings) *simulation {
	s := &simulation{
		now: time.Hour, rng: rand.New(rand.NewPCG(seed, 7)), quota: quota, cfg: cfg, tick: 20 * time.Millisecond,
		byName: map[string]*simNode{}, cut: map[[2]string]simCut{}, lossTime: 3 * time.Second, maxDelay: 30 * time.Millisecond,
	}
	for i := range n {
		node := &simNode{name: fmt.Sprintf("n%02d", i), cost: func() float64 { return 1 }}
		s.nodes = append(s.nodes, node)
		s.byName[node.name] = node
		s.names = append(s.names, node.name)
		s.start(node)
	}
	return s
}

// start starts a process of an instance, which has lost what an earlier one knew.
func (s *simulation) start(node *simNode) {
	node.incarnation = s.rng.Uint64()
	cfg := s.cfg
	cfg.Incarnation = node.incarnation
	node.state = NewInstance(node.name, cfg, s.now)
	s.setQuota(node)
	for _, other := range s.nodes {
		other.state.Connected(node.name)
	}
}

func (s *simulation) setQuota(node *simNode) {
	node.state.Buckets.SetWorkspaces(s.now, map[string]*chestnutstream.Workspace{"w": {Name: "w", Quota: s.quota}})
}

// restartAll restarts all instances. Their connections are established within a time.
func (s *simulation) restartAll(within time.Duration) {
	s.opening, s.messages = map[[2]string]time.Duration{}, nil
	for i, node := range s.nodes {
		node.waiting, node.asked, node.askAt = nil, nil, 0
		s.start(node)
		for _, other := range s.nodes[:i] {
			s.opening[pair(node.name, other.name)] = s.now + time.Duration(s.rng.Float64()*float64(within))
		}
	}
}

// open establishes the connections that are due.
func (s *simulation) open() {
	for _, p := range slices.SortedFunc(maps.Keys(s.opening), func(x, y [2]string) int { return slices.Compare(x[:], y[:]) }) {
		if s.opening[p] <= s.now {
			delete(s.opening, p)
			s.byName[p[0]].state.Connected(p[1])
			s.byName[p[1]].state.Connected(p[0])
		}
	}
}

func pair(a, b string) [2]string {
	if a < b {
		return [2]string{a, b}
	}
	return [2]string{b, a}
}

// setCut cuts the connection of two instances, or connects them again.
func (s *simulation) setCut(a, b string, cut bool) {
	p := pair(a, b)
	_, is := s.cut[p]
	switch {
	case a == b:
	case cut && !is:
		notice := func() time.Duration { return s.now + time.Duration(s.rng.Float64()*float64(s.lossTime)) }
		s.cut[p] = simCut{[2]time.Duration{notice(), notice()}}
	case !cut && is:
		delete(s.cut, p)
		s.byName[a].state.Connected(b)
		s.byName[b].state.Connected(a)
	}
}

// partition cuts the instances for which side is true off from the others.
func (s *simulation) partition(side func(i int) bool) {
	for i, a := range s.nodes {
		for j, b := range s.nodes[:i] {
			s.setCut(a.name, b.name, side(i) != side(j))
		}
	}
}

func (s *simulation) view(node *simNode) View {
	v := View{All: len(s.nodes), LossTime: s.lossTime}
	if len(s.cut) == 0 && len(s.opening) == 0 {
		v.Reached = s.names
		return v
	}
	for _, other := range s.nodes {
		c, cut := s.cut[pair(node.name, other.name)]
		side := 0
		if node.name > other.name {
			side = 1
		}
		if _, opening := s.opening[pair(node.name, other.name)]; !opening && (!cut || s.now < c.noticed[side]) {
			v.Reached = append(v.Reached, other.name)
		}
	}
	return v
}

func (s *simulation) send(m simMessage) {
	s.sent++
	if _, opening := s.opening[pair(m.from, m.to)]; opening {
		return
	}
	if _, cut := s.cut[pair(m.from, m.to)]; cut || s.rng.Float64() < s.lost {
		return
	}
	delay := time.Duration(s.rng.Float64() * float64(s.maxDelay))
	if s.rng.Float64() < s.late {
		delay += time.Duration(s.rng.Float64() * float64(3*time.Second))
	}
	m.at = s.now + delay
	s.messages = append(s.messages, m)
}

func (s *simulation) receive(m simMessage) {
	node := s.byName[m.to]
	if m.charge != nil {
		s.receiveCharge(node, m.from, *m.charge)
		return
	}
	if m.grant != nil {
		node.state.Buckets.Apply(s.now, *m.grant)
		return
	}
	for _, g := range node.state.Allocator.Report(s.now, m.from, *m.report) {
		if g.To == m.to {
			node.state.Buckets.Apply(s.now, g.Grant)
			continue
		}
		s.send(simMessage{from: m.to, to: g.To, grant: &g.Grant})
	}
}

// run plays a time.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += s.tick
		s.open()
		due := s.messages[:0:0]
		s.messages = slices.DeleteFunc(s.messages, func(m simMessage) bool {
			if m.at > s.now || s.now < s.byName[m.to].frozenUntil {
				return false
			}
			due = append(due, m)
			return true
		})
		sort.SliceStable(due, func(i, j int) bool { return due[i].at < due[j].at })
		for _, m := range due {
			s.receive(m)
		}
		for _, node := range s.nodes {
			if s.now >= node.frozenUntil {
				s.step(node)
			}
		}
		s.sum()
	}
}

// sum records what all instances hold and owe now.
func (s *simulation) sum() {
	held, debt := 0.0, 0.0
	for _, node := range s.nodes {
		k := node.state.Buckets.buckets["w"]
		if s.now-k.respondedAt < shareTimeout {
			held += k.share
		}
		debt += max(-k.level, 0)
	}
	s.mostHeld, s.mostDebt = max(s.mostHeld, held), max(s.mostDebt, debt)
}

func (s *simulation) step(node *simNode) {
	b := node.state.Buckets
	expected := node.rate * s.tick.Seconds()
	arriving := int(expected)
	if s.rng.Float64() < expected-math.Floor(expected) {
		arriving++
	}
	for range arriving {
		r := simRequest{s.now.Seconds(), node.cost()}
		b.RecordDemand(s.now, "w", r.cost)
		if len(node.waiting) == 0 && b.Take(s.now, "w", r.cost) {
			s.passed = append(s.passed, simRequest{s.now.Seconds(), r.cost})
		} else if !s.ask(node, r) {
			node.waiting = append(node.waiting, r)
		}
	}
	s.expireAsked(node)
	left := node.waiting[:0]
	for _, r := range node.waiting {
		switch {
		case len(left) == 0 && b.Take(s.now, "w", r.cost):
			s.passed = append(s.passed, simRequest{s.now.Seconds(), r.cost})
		case s.now.Seconds()-r.at > simWait.Seconds():
			s.refused = append(s.refused, r)
			b.Refuse(s.now, "w", r.cost)
		default:
			left = append(left, r)
		}
	}
	node.waiting = left
	if due, ok := b.NextReportAt(s.now); (!ok || due > s.now) && s.now%simViewInterval >= s.tick {
		return
	}
	v := s.view(node)
	out := node.state.Step(s.now, v, v.Reached)
	for _, to := range slices.Sorted(maps.Keys(out)) { // so that a seed always plays the same
		for _, r := range out[to] {
			if to == node.name {
				s.receive(simMessage{from: to, to: to, report: &r})
			} else {
				s.send(simMessage{from: node.name, to: to, report: &r})
			}
		}
	}
}

// ask asks the allocator to charge a request that finds no room at a node, if that is due, as
// edge/workspace_charges.go does.
func (s *simulation) ask(node *simNode, r simRequest) bool {
	allocator, _ := node.state.Roles("w")
	if allocator == "" || allocator == node.name || s.now < node.askAt {
		return false
	}
	node.asked = append(node.asked, r)
	s.send(simMessage{from: node.name, to: allocator, charge: &simCharge{simRequest: r}})
	return true
}

// expireAsked lets the requests to which the allocator has not responded in time wait for local room.
func (s *simulation) expireAsked(node *simNode) {
	for len(node.asked) > 0 && s.now.Seconds()-node.asked[0].at > simWait.Seconds() {
		node.waiting = append(node.waiting, node.asked[0])
		node.asked, node.askAt = node.asked[1:], s.now+time.Second
	}
}

// receiveCharge handles a request to charge, or the response to one.
func (s *simulation) receiveCharge(node *simNode, from string, c simCharge) {
	b := node.state.Buckets
	if !c.response {
		b.RecordDemand(s.now, "w", c.cost)
		c.response, c.ok = true, b.Take(s.now, "w", c.cost)
		c.wait, _ = b.Wait(s.now, "w", c.cost)
		s.send(simMessage{from: node.name, to: from, charge: &c})
		return
	}
	i := slices.Index(node.asked, c.simRequest)
	if i < 0 {
		return // it waits for local room by now
	}
	node.asked = slices.Delete(node.asked, i, i+1)
	if c.ok {
		b.MoveDemand(s.now, "w", c.cost)
		s.passed = append(s.passed, simRequest{s.now.Seconds(), c.cost})
		return
	}
	node.askAt = s.now + min(max(c.wait, 20*time.Millisecond), 500*time.Millisecond)
	if wait, hopeless := b.Wait(s.now, "w", c.cost); hopeless && wait > simWait {
		s.refused = append(s.refused, c.simRequest)
		b.Refuse(s.now, "w", c.cost)
		return
	}
	node.waiting = append(node.waiting, c.simRequest)
}

// largestWindow returns the most units that were let through in any window.
func (s *simulation) largestWindow(window time.Duration) float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, r := range s.passed {
		sum += r.cost
		for ; s.passed[first].at <= r.at-window.Seconds(); first++ {
			sum -= s.passed[first].cost
		}
		largest = max(largest, sum)
	}
	return largest
}

// refusedBetween returns the share of requests refused of those that arrived in a time.
func (s *simulation) refusedBetween(from, to time.Duration) float64 {
	count := func(list []simRequest) (n float64) {
		for _, r := range list {
			if r.at >= from.Seconds() && r.at < to.Seconds() {
				n++
			}
		}
		return n
	}
	refused := count(s.refused)
	return refused / max(refused+count(s.passed), 1)
}
