package fleet

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

const (
	promptEngines   = 10
	promptInstances = 60
	promptCapacity  = 200_000
	promptSlots     = 64
	promptPerMS     = 44.0
	promptOutput    = 150
	promptDecode    = time.Second
	promptProbe     = time.Millisecond // of an engine's time, to read its cache
)

// simPart is a part in an engine's cache.
type simPart struct {
	key, target uint64
	tokens      int
}

// promptEngine is a simulated engine: it prefills one prompt after the other and evicts the
// least recently used parts when requests in progress and cached parts exceed its memory.
type promptEngine struct {
	id       string
	factor   float64
	places   int
	adapters map[chestnutstream.ModelAdapter]*simAdapter
	idleAt   time.Time
	loadEnd  time.Time   // of the latest load; an engine loads one adapter after the other
	ends     []time.Time // of the requests in progress, in order
	parts    map[uint64]*list.Element
	order    *list.List // most recent first
	used     int
	busy     time.Duration
	running  float64 // sum over samples
	seen     map[uint64]bool
}

type simAdapter struct {
	ready, used time.Time
	waiting     int // requests
}

// use returns the tokens of a prompt's beginning that were cached, and caches all its parts.
func (e *promptEngine) use(r Request) int {
	cached, broken, key := 0, false, r.chainStart()
	var chain []simPart
	for _, p := range r.Prompt.Parts {
		key = chainKey(key, p)
		chain = append(chain, simPart{key, targetHash(r.Target), p.Tokens})
		if _, ok := e.parts[key]; ok && !broken {
			cached += p.Tokens
		} else {
			broken = true
		}
	}
	for i := len(chain) - 1; i >= 0; i-- { // a part is evicted after those behind it
		if el, ok := e.parts[chain[i].key]; ok {
			e.order.MoveToFront(el)
			continue
		}
		e.parts[chain[i].key] = e.order.PushFront(chain[i])
		e.used += chain[i].tokens
	}
	for e.used+len(e.ends)*promptOutput > promptCapacity && e.order.Len() > len(chain) {
		e.evict(e.order.Back())
	}
	return cached
}

func (e *promptEngine) evict(el *list.Element) {
	p := e.order.Remove(el).(simPart)
	delete(e.parts, p.key)
	e.used -= p.tokens
}

func (e *promptEngine) end(now time.Time) {
	i := 0
	for i < len(e.ends) && !e.ends[i].After(now) {
		i++
	}
	e.ends = e.ends[i:]
}

// serve returns when the first event and the last one of a request come, and what was cached.
func (e *promptEngine) serve(now time.Time, r Request) (first, last time.Time, cached int) {
	at := now
	if e.idleAt.After(at) {
		at = e.idleAt
	}
	e.end(now)
	if over := len(e.ends) - promptSlots; over >= 0 && e.ends[over].After(at) {
		at = e.ends[over]
	}
	cached = e.use(r)
	took := time.Duration(float64(r.Prompt.Tokens-cached) / promptPerMS * e.factor * float64(time.Millisecond))
	first = at.Add(took)
	e.idleAt, e.busy = first, e.busy+took
	last = first.Add(time.Duration(e.factor * float64(promptDecode)))
	i := sort.Search(len(e.ends), func(i int) bool { return e.ends[i].After(last) })
	e.ends = append(e.ends, time.Time{})
	copy(e.ends[i+1:], e.ends[i:])
	e.ends[i] = last
	return first, last, cached
}

// promptEvent is a step of the simulation at a time.
type promptEvent struct {
	at time.Time
	do func()
}

type simEvents []promptEvent

func (q simEvents) Len() int           { return len(q) }
func (q simEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simEvents) Push(x any)        { *q = append(*q, x.(promptEvent)) }
func (q *simEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type promptSimulation struct {
	way     promptWay
	load    promptLoad
	rand    *rand.Rand
	fleets  []*Fleet
	engines map[string]*promptEngine
	queue   simEvents
	popular []float64 // cumulative shares of the adapters
	id      int
	result  promptResult
}

// kindResult is what the requests of one kind got.
type kindResult struct {
	first          []time.Duration
	tokens, cached int
	believed       float64
}

type promptResult struct {
	small, large kindResult
	worstBusy    float64 // share of the time that the worst engine prefills
	worstRunning float64 // requests in progress at the worst engine, on average
	loads        int     // of adapters
}

func (k *kindResult) quantile(q float64) int64 {
	sort.Slice(k.first, func(i, j int) bool { return k.first[i] < k.first[j] })
	return k.first[int(q*float64(len(k.first)-1))].Milliseconds()
}

func (k *kindResult) saved() float64 { return float64(k.cached) / float64(k.tokens) }

func newPromptSimulation(way promptWay, load promptLoad, seed uint64) *promptSimulation {
	p := &promptSimulation{way: way, load: load, rand: rand.New(rand.NewPCG(seed, 7)), engines: map[string]*promptEngine{}}
	for i := range promptEngines {
		factor := 0.55
		if i%2 == 1 {
			factor = 1.2
		}
		id := fmt.Sprintf("e%d", i)
		p.engines[id] = &promptEngine{id: id, factor: factor, places: 9 + i%2, adapters: map[chestnutstream.ModelAdapter]*simAdapter{}, parts: map[uint64]*list.Element{}, order: list.New()}
	}
	for range promptInstances {
		f := engines(promptEngines)
		f.prefillRate(testService).tokensPerMS = promptPerMS
		if way == byOwnMemory || way == byPeers {
			f.RecordPace(start, f.services[testService][0].ID, 1)
			f.SetKVCapacity(testService, promptCapacity)
		}
		p.fleets = append(p.fleets, f)
	}
	sum := 0.0
	for i := range load.adapters {
		sum += math.Pow(float64(i+1), -0.9)
		p.popular = append(p.popular, sum)
	}
	return p
}

func (p *promptSimulation) at(t time.Time, do func()) { heap.Push(&p.queue, promptEvent{t, do}) }

// draw returns a request of a kind drawn at random.
func (p *promptSimulation) draw() (r Request, large bool) {
	x := p.rand.Float64() * p.popular[len(p.popular)-1]
	adapter := sort.SearchFloat64s(p.popular, x)
	prefix, large := min(p.rand.IntN(3), p.rand.IntN(1+adapter%3)), p.rand.Float64() < p.load.large
	shared, own := 155, 491
	if large {
		shared, own = 6300, 2890
	}
	p.id++
	return Request{
		Service: testService, Target: chestnutstream.ModelAdapter{Model: "m", Adapter: fmt.Sprint("a", adapter)}, Version: 1, Latency: 800 * time.Millisecond,
		Prompt: chestnutstream.Prompt{Tokens: shared + own, MaxOutputTokens: promptOutput, Parts: []chestnutstream.PromptPart{
			{ID: fmt.Sprint("p", prefix, large), Tokens: shared}, {ID: fmt.Sprint("own", p.id), Tokens: own, Own: true},
		}},
	}, large
}

// cached returns the tokens that an instance believes an engine keeps.
func (p *promptSimulation) cached(now time.Time, f *Fleet, s *Server, r Request) int {
	e := p.engines[s.ID]
	key := chainKey(r.chainStart(), r.Prompt.Parts[0])
	switch p.way {
	case byOwnMemory, byPeers:
		return f.cachedTokens(now, s, r)
	case byReaders, byEvents:
		if e.seen[key] {
			return r.Prompt.Parts[0].Tokens
		}
	case byOracle:
		if e.parts[key] != nil {
			return r.Prompt.Parts[0].Tokens
		}
	}
	return 0
}

// cost estimates the time to the first event of a request on an engine.
func (p *promptSimulation) cost(now time.Time, f *Fleet, s *Server, r Request) float64 {
	factor, load := p.engines[s.ID].factor, s.Load(now)
	small := 646 / promptPerMS
	busy := min(load*small/float64(promptDecode.Milliseconds()), 0.95)
	wait := s.PrefillWait(now).Seconds()*1000 + factor*small*busy/(2*(1-busy))
	if over := load - promptSlots*0.95; over > 0 {
		wait += over * factor * float64(promptDecode.Milliseconds()) / promptSlots
	}
	return wait + factor*float64(r.Prompt.Tokens-p.cached(now, f, s, r))/promptPerMS
}

func (p *promptSimulation) choose(now time.Time, f *Fleet, r Request) Choice {
	if p.way == byPart && r.Prompt.Parts[0].Tokens >= LargePrompt {
		return p.chooseByPart(now, f, r)
	}
	c := p.addReplica(now, f, r, f.PickEngine(now, r, nil, anyLoadable))
	if p.way == byAdapter || p.way == byPart {
		return c
	}
	cost := p.cost(now, f, c.Server, r)
	if !c.Loaded {
		cost += float64(adapterLoadTime.Milliseconds())
	}
	cost -= max(5, cost/10) // a clear margin
	for _, s := range f.Service(testService) {
		if s != c.Server && f.IsLoaded(now, s, r.Target, r.Version) && !f.batchFull(now, s) {
			if other := p.cost(now, f, s, r); other < cost {
				cost, c.Server, c.Loaded = other, s, true
			}
		}
	}
	return c
}

// addReplica adds a replica where PickEngine names none: if the only engine with the adapter is
// overloaded and comes late in the request's order. Without it that engine's queue grows in all
// ways, by no difference between them.
func (p *promptSimulation) addReplica(now time.Time, f *Fleet, r Request, c Choice) Choice {
	if c.Replica != nil || !c.Loaded || !f.batchFull(now, c.Server) {
		return c
	}
	order, _ := f.rankedEngines(now, r, nil, false)
	for _, s := range order {
		if !f.IsLoaded(now, s, r.Target, r.Version) && !f.batchFull(now, s) {
			c.Replica = s
			break
		}
	}
	return c
}

// chooseByPart chooses the first engine in the order of adapter and part that is not overloaded.
func (p *promptSimulation) chooseByPart(now time.Time, f *Fleet, r Request) Choice {
	order := append([]*Server(nil), f.Service(testService)...)
	h, mean := chainKey(r.chainStart(), r.Prompt.Parts[0]), 0.0
	for _, s := range order {
		mean += s.Load(now) / float64(len(order))
	}
	sort.Slice(order, func(i, j int) bool { return mix(h, order[i].hash) > mix(h, order[j].hash) })
	for _, s := range order {
		if s.Load(now) <= mean*overloadFactor+overloadSlackSlots && !f.batchFull(now, s) && s.PrefillWait(now) <= r.WaitLimit() {
			return Choice{Server: s, Loaded: f.IsLoaded(now, s, r.Target, 1)}
		}
	}
	return Choice{Server: order[0], Loaded: f.IsLoaded(now, order[0], r.Target, 1)}
}

// leastUsed returns the adapter used longest ago for which no request waits; ok is false if
// there is none.
func (e *promptEngine) leastUsed() (oldest chestnutstream.ModelAdapter, ok bool) {
	for t, a := range e.adapters {
		o := e.adapters[oldest]
		if a.waiting == 0 && (!ok || a.used.Before(o.used) || (a.used.Equal(o.used) && t.Adapter < oldest.Adapter)) {
			oldest, ok = t, true
		}
	}
	return oldest, ok
}

// loadAdapter has an engine load an adapter in place of the one used longest ago. It returns
// nil if requests wait for all that the engine has.
func (p *promptSimulation) loadAdapter(now time.Time, id string, target chestnutstream.ModelAdapter) *simAdapter {
	e := p.engines[id]
	if a := e.adapters[target]; a != nil {
		return a
	}
	if len(e.adapters) >= e.places {
		oldest, ok := e.leastUsed()
		if !ok {
			return nil
		}
		p.unload(id, oldest)
	}
	p.result.loads++
	if e.loadEnd.Before(now) {
		e.loadEnd = now
	}
	e.loadEnd = e.loadEnd.Add(adapterLoadTime)
	a := &simAdapter{ready: e.loadEnd, used: now}
	e.adapters[target] = a
	for _, f := range p.fleets {
		f.RecordLoaded(now, id, target, 1)
	}
	return a
}

// unload removes an adapter and what is cached for it.
func (p *promptSimulation) unload(id string, target chestnutstream.ModelAdapter) {
	e, h := p.engines[id], targetHash(target)
	delete(e.adapters, target)
	for el := e.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(simPart).target == h {
			e.evict(el)
		}
		el = next
	}
	for _, f := range p.fleets {
		f.RecordNotLoaded(id, target)
	}
}

func (p *promptSimulation) arrive(now time.Time) {
	from := p.rand.IntN(promptInstances)
	f := p.fleets[from]
	r, large := p.draw()
	c := p.choose(now, f, r)
	id := c.Server.ID
	if c.Replica != nil {
		p.loadAdapter(now, c.Replica.ID, r.Target)
	}
	p.send(now, now, f, id, r, large)
}

// send sends a request that arrived at a moment to an engine, once its adapter is loaded there.
func (p *promptSimulation) send(now, arrived time.Time, f *Fleet, id string, r Request, large bool) {
	e, a := p.engines[id], p.loadAdapter(now, id, r.Target)
	if a == nil {
		later := now.Add(100 * time.Millisecond)
		p.at(later, func() { p.send(later, arrived, f, id, r, large) })
		return
	}
	a.used = now
	if a.ready.After(now) {
		a.waiting++
		p.at(a.ready, func() {
			a.waiting--
			p.send(a.ready, arrived, f, id, r, large)
		})
		return
	}
	f.SamplePromptLoad(now, testService)
	believed := p.cached(now, f, f.servers[id], r)
	if large {
		p.notify(now, id, r, believed)
	}
	first, last, cached := e.serve(now, r)
	f.RecordSent(id)
	p.at(first, func() {
		f.RecordPrompt(first, id, 1, r)
		e.end(first)
		f.RecordLoad(first, id, len(e.ends), 0)
	})
	p.at(last, func() { f.RecordDone(id) })
	if now.Sub(start) < p.load.warmup {
		return
	}
	k := &p.result.small
	if large {
		k = &p.result.large
	}
	k.first = append(k.first, first.Sub(arrived))
	k.tokens, k.cached, k.believed = k.tokens+r.Prompt.Tokens, k.cached+cached, k.believed+float64(believed)
}

// notify tells all instances that a large prompt is sent to an engine.
func (p *promptSimulation) notify(now time.Time, id string, r Request, believed int) {
	tokens := r.Prompt.Tokens - believed
	if p.way != byAdapter && p.way != byPart {
		tokens = int(float64(tokens) * p.engines[id].factor)
	}
	for _, f := range p.fleets {
		f.RecordPrefill(now, id, max(tokens, LargePrompt))
		if p.way == byPeers {
			shared, _ := r.SharedPart()
			f.RecordPeerPrompt(now, id, shared)
		}
	}
}

// tick reports the loads as the engines' owners do, and reads caches where a way does.
func (p *promptSimulation) tick(now time.Time) {
	for id, e := range p.engines {
		e.end(now)
		e.running += float64(len(e.ends))
		for _, f := range p.fleets {
			f.SetTotalRequests(id, len(e.ends))
			for target := range e.adapters {
				if now.Sub(start)%time.Second == 0 {
					f.RecordLoaded(now, id, target, 1)
				}
			}
		}
		readers := map[promptWay]int{byReaders: 4, byEvents: promptInstances}[p.way]
		if readers == 0 || now.Sub(start)%time.Second != 0 {
			continue
		}
		e.seen = map[uint64]bool{}
		for key := range e.parts {
			e.seen[key] = true
		}
		if e.idleAt.Before(now) {
			e.idleAt = now
		}
		e.idleAt = e.idleAt.Add(time.Duration(readers) * promptProbe)
	}
}

func (p *promptSimulation) run(d time.Duration) promptResult {
	end := start.Add(p.load.warmup + d)
	var arrival, tick func(at time.Time)
	arrival = func(at time.Time) {
		p.arrive(at)
		rate := p.load.rate
		if at.Sub(start)%(20*time.Second) < 3*time.Second {
			rate *= 1.6
		}
		next := at.Add(time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second)))
		p.at(next, func() { arrival(next) })
	}
	tick = func(at time.Time) {
		if at.Equal(start.Add(p.load.warmup)) {
			for _, e := range p.engines {
				e.busy, e.running = 0, 0
			}
			p.result.loads = 0
		}
		p.tick(at)
		p.at(at.Add(100*time.Millisecond), func() { tick(at.Add(100 * time.Millisecond)) })
	}
	tick(start)
	arrival(start)
	for {
		ev := heap.Pop(&p.queue).(promptEvent)
		if ev.at.After(end) {
			break
		}
		ev.do()
	}
	for _, e := range p.engines {
		p.result.worstBusy = max(p.result.worstBusy, float64(e.busy)/float64(d))
		p.result.worstRunning = max(p.result.worstRunning, e.running/(d.Seconds()*10))
	}
	return p.result
}
