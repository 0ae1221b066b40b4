package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Parameters of placement.
const (
	// otherZoneCost is the cost of a server in another zone, in requests. Traffic
	// between zones is charged for; a queue costs more.
	otherZoneCost = 0.7
	// otherRegionCost is the same for another region, some 20 ms away.
	otherRegionCost = 12.0
	// An adapter's first engine is overloaded, and requests spill over to its next
	// one, above overloadFactor times the mean load of the service plus some slots:
	// overloadSlackShare of the engine's slots, at most overloadSlackSlots.
	overloadFactor     = 1.3
	overloadSlackSlots = 6.0
	overloadSlackShare = 0.2
	// loadedTTL is how long an adapter counts as loaded on an engine after a
	// response or the engine's owner confirmed it.
	loadedTTL = 20 * time.Second
	// listedLoadedTTL is the same for the adapters in a server's entry.
	listedLoadedTTL = 2500 * time.Millisecond
	// fullBatchPrefillWait is the prefill wait that weighs as much as a full batch.
	fullBatchPrefillWait = 500 * time.Millisecond
	// fullBatchShare is the load, as a share of its slots, at which an engine's
	// batch counts as full.
	fullBatchShare = 0.95
)

// PickPlain chooses a server of a plain service: the one with the least expected
// wait, with a small extra cost for distance. It returns nil if none may get work.
func (f *Fleet) PickPlain(now time.Time, service string, avoid map[string]bool) *Server {
	best := f.choosePlain(now, service, avoid, true)
	if best != nil {
		f.recordPick(now, best)
	}
	return best
}

// choosePlain chooses as PickPlain does and records nothing. Without random it returns the first
// one of servers with the same cost.
func (f *Fleet) choosePlain(now time.Time, service string, avoid map[string]bool, random bool) *Server {
	if f.StatesPace(service) {
		if s := f.pickPlainByEstimate(now, service, avoid, false, random); s != nil {
			return s
		}
		return f.pickPlainByEstimate(now, service, avoid, true, random)
	}
	var best *Server
	bestCost := 0.0
	list := f.services[service]
	start := 0
	if random && len(list) > 0 {
		start = f.rand.IntN(len(list))
	}
	for pass := 0; pass < 2 && best == nil; pass++ {
		for i := range list {
			s := list[(start+i)%len(list)]
			if !f.mayReceive(now, s, avoid, pass > 0) {
				continue
			}
			if cost := f.plainCost(now, s); best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	return best
}

// mayReceive reports whether a server may get a request. With includeFailing, a
// server whose requests fail may get one too.
func (f *Fleet) mayReceive(now time.Time, s *Server, avoid map[string]bool, includeFailing bool) bool {
	return s.Available(now) && !avoid[s.ID] && f.reachable(now, s) && (includeFailing || s.detector.admits(now))
}

// HasAlternative reports whether a service has a server, besides those to avoid,
// that may get a request. Servers with a rate limit don't count: there may be no
// permit for them.
func (f *Fleet) HasAlternative(now time.Time, service string, avoid map[string]bool) bool {
	for _, s := range f.services[service] {
		if s.limit.rate == 0 && f.mayReceive(now, s, avoid, false) {
			return true
		}
	}
	return false
}

// plainCost returns the cost of sending a request to a server of a plain service,
// in requests.
func (f *Fleet) plainCost(now time.Time, s *Server) float64 {
	cost := 1 + s.Load(now)
	if slots := float64(max(s.Slots, 1)); cost > slots {
		cost += beyondSlotsCost * (cost - slots)
	}
	switch {
	case !f.inRegion(s.Zone):
		cost += otherRegionCost
	case s.Zone != f.zone:
		cost += otherZoneCost
	}
	return cost * (1 + failureCost*s.detector.currentFailureRate(now))
}

// Choice is the placement of a request for a model.
type Choice struct {
	Server  *Server
	Loaded  bool    // the requested adapter version is believed to be loaded there
	Replica *Server // where another replica should be loaded meanwhile, or nil
	Reason  Reason
}

// Reason is why a server was chosen.
type Reason string

// The reasons. The order of engines is that of rendezvous hashing, the first of which are the
// adapter's home.
const (
	ReasonHome           Reason = "the first engine in the adapter's order that has it loaded, within the bounds on load and prefill wait"
	ReasonFaster         Reason = "has the adapter loaded and responds sooner, by a clear margin, than the first such engine in its order"
	ReasonShortestWait   Reason = "all engines that have the adapter loaded exceed the bound on prefill wait: the one that responds first"
	ReasonLeastSaturated Reason = "all engines that have the adapter loaded exceed the bound on load: the least saturated one"
	ReasonLoad           Reason = "no engine has the adapter loaded: the first in its order that has the base model, is within the bounds and whose owner is reached"
	ReasonLoadSooner     Reason = "loads the adapter sooner than the engines that have it loaded can prefill the prompt"
	ReasonOwnerReached   Reason = "no engine has the adapter loaded and is within the bounds: the first whose owner is reached"
	ReasonLowestCost     Reason = "the lowest cost by load, response time, availability zone and failures"
	ReasonSpareSlot      Reason = "its service is brittle, and this instance holds a slot there that nobody uses"
)

// PickEngine chooses an engine for a request. Engines are tried in a rendezvous
// hashing order that depends on the adapter alone: all instances agree on where
// an adapter is loaded, its reloads are fast and its prompts stay cached. An
// engine loaded well above the mean is skipped, so that a popular adapter gets
// another replica before its engine queues. An engine with a prefill backlog is
// skipped for one that has the adapter loaded or could load it sooner. Where engines
// state their pace, their load counts by the time that work takes on them, and one that has
// the adapter loaded and is faster by a clear margin precedes the order. loadable
// reports whether a load request can be sent to an engine's owner.
func (f *Fleet) PickEngine(now time.Time, r Request, avoid map[string]bool, loadable func(*Server) bool) Choice {
	c := f.chooseEngine(now, r, avoid, loadable)
	if c.Server != nil {
		f.recordPick(now, c.Server)
	}
	return c
}

// chooseEngine chooses as PickEngine does and records nothing.
func (f *Fleet) chooseEngine(now time.Time, r Request, avoid map[string]bool, loadable func(*Server) bool) Choice {
	order, mean := f.rankedEngines(now, r, avoid, false)
	if len(order) == 0 {
		order, mean = f.rankedEngines(now, r, avoid, true)
	}
	bound, limit := mean*overloadFactor, r.WaitLimit()
	isOverloaded := func(s *Server) bool {
		return s.slowness(now)*s.Load(now) > bound+overloadSlack(s) || f.batchFull(now, s)
	}
	suitable := func(s *Server) bool {
		return f.IsLoaded(now, s, r.Target, r.Version) && !isOverloaded(s) && s.PrefillWait(now) <= limit
	}
	var cold, leastSaturated, shortestWait, replica *Server
	for i, s := range order {
		loaded, overloaded := f.IsLoaded(now, s, r.Target, r.Version), isOverloaded(s)
		wait := s.PrefillWait(now)
		switch {
		case loaded && !overloaded && wait <= limit:
			best := f.bestLoaded(now, r, s, shortestWait, order[i+1:], suitable)
			reason := ReasonHome
			if best != s {
				reason = ReasonFaster
			}
			return Choice{Server: best, Loaded: true, Replica: replica, Reason: reason}
		case loaded && !overloaded:
			if shortestWait == nil || f.respondsSooner(now, r, s, shortestWait) {
				shortestWait = s
			}
		case loaded && (leastSaturated == nil || s.saturation(now) < leastSaturated.saturation(now)):
			leastSaturated = s
		case !loaded && !overloaded && wait <= adapterLoadTime+limit && cold == nil && s.hasModel(r.Target.Model) && !s.backpressured(now) && loadable(s):
			cold = s
			if leastSaturated != nil {
				replica = s // the adapter's first engines are overloaded: add a replica
			}
		}
	}
	switch {
	case shortestWait != nil && cold != nil && shortestWait.PrefillWait(now) > adapterLoadTime+limit:
		return Choice{Server: cold, Reason: ReasonLoadSooner}
	case shortestWait != nil:
		return Choice{Server: shortestWait, Loaded: true, Reason: ReasonShortestWait}
	case leastSaturated != nil:
		return Choice{Server: leastSaturated, Loaded: true, Replica: replica, Reason: ReasonLeastSaturated}
	case cold != nil:
		return Choice{Server: cold, Reason: ReasonLoad}
	}
	if s := f.fallback(now, r, order, loadable); s != nil {
		return Choice{Server: s, Reason: ReasonOwnerReached}
	}
	return Choice{}
}

// fallback returns the first engine that can load the adapter. Engines with the
// base model are preferred, then engines that do not signal backpressure. It
// returns nil if there is none.
func (f *Fleet) fallback(now time.Time, r Request, order []*Server, loadable func(*Server) bool) *Server {
	for _, withModel := range []bool{true, false} {
		if !withModel {
			order = orderForModel(order, r.Target.Model)
		}
		for _, backpressured := range []bool{false, true} {
			for _, s := range order {
				if s.backpressured(now) == backpressured && s.hasModel(r.Target.Model) == withModel && loadable(s) {
					return s
				}
			}
		}
	}
	return nil
}

// orderForModel returns the engines that do not hold a base model, in the order in which
// it is to be loaded: first those without a model, then those whose models others hold. It is
// the same for all adapters of the model, so that one engine loads it.
func orderForModel(engines []*Server, model string) []*Server {
	var out []*Server
	for _, s := range engines {
		if !s.hasModel(model) {
			out = append(out, s)
		}
	}
	if len(out) < 2 {
		return out
	}
	holders := map[string]int{}
	for _, s := range engines {
		for _, m := range s.Models {
			holders[m.Name]++
		}
	}
	class := func(s *Server) int {
		switch {
		case len(s.Models) == 0:
			return 0
		case slices.ContainsFunc(s.Models, func(m chestnutstream.LoadedModel) bool { return holders[m.Name] < 2 }):
			return 2
		}
		return 1
	}
	h := targetHash(chestnutstream.ModelAdapter{Model: model})
	slices.SortFunc(out, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(mix(h, b.hash), mix(h, a.hash)))
	})
	return out
}

// saturation ranks overloaded engines: the load as a share of the batch, by the time that
// work takes there, plus the prefill wait in units of fullBatchPrefillWait.
func (s *Server) saturation(now time.Time) float64 {
	return s.slowness(now)*s.Load(now)/float64(max(s.Slots, 1)) + float64(s.PrefillWait(now))/float64(fullBatchPrefillWait)
}

// hasModel reports whether the engine's latest entry lists a base model.
func (s *Server) hasModel(name string) bool {
	for _, m := range s.Models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// overloadSlack returns by how many requests an engine's load may exceed its bound.
func overloadSlack(s *Server) float64 {
	return min(overloadSlackSlots, overloadSlackShare*float64(s.Slots))
}

func (f *Fleet) batchFull(now time.Time, s *Server) bool {
	return s.Slots > 0 && s.Load(now) >= fullBatchShare*float64(s.Slots)
}

// rankedEngine is an engine with its rank for a request.
type rankedEngine struct {
	s    *Server
	rank uint64
}

// rankedEngines returns the engines that may get a request, in the request's
// order, and their mean load by the time that work takes there. Engines of other
// regions are included only if this region has none. The list is valid until the
// next call.
func (f *Fleet) rankedEngines(now time.Time, r Request, avoid map[string]bool, includeFailing bool) ([]*Server, float64) {
	h := r.placementHash()
	list := f.ranked[:0]
	total, regional := 0.0, false
	for _, s := range f.services[r.Service] {
		if !f.mayReceive(now, s, avoid, includeFailing) {
			continue
		}
		if !regional && f.inRegion(s.Zone) {
			regional, total, list = true, 0, list[:0]
		}
		if regional && !f.inRegion(s.Zone) {
			continue
		}
		list = append(list, rankedEngine{s, mix(h, s.hash)})
		total += s.slowness(now) * s.Load(now)
	}
	f.ranked = list
	if len(list) == 0 {
		return nil, 0
	}
	slices.SortFunc(list, func(a, b rankedEngine) int { return cmp.Compare(b.rank, a.rank) })
	f.candidates = f.candidates[:0]
	for _, l := range list {
		f.candidates = append(f.candidates, l.s)
	}
	return f.candidates, total / float64(len(list))
}

// IsLoaded reports whether an adapter is believed to be loaded on an engine at a
// version (0: any).
func (f *Fleet) IsLoaded(now time.Time, s *Server, target chestnutstream.ModelAdapter, version int) bool {
	if target.Adapter == "" {
		return s.hasModel(target.Model)
	}
	a, ok := s.loaded[target]
	if !ok || (version > 0 && a.version != version) {
		return false
	}
	return now.Sub(a.confirmedAt) < loadedTTL
}

// RecordLoaded records that an adapter is loaded on an engine at a version.
func (f *Fleet) RecordLoaded(now time.Time, id string, target chestnutstream.ModelAdapter, version int) {
	if s := f.servers[id]; s != nil {
		s.loaded[target] = loadedAdapter{version: version, confirmedAt: now}
	}
}

// RecordNotLoaded records that an adapter is no longer loaded on an engine.
func (f *Fleet) RecordNotLoaded(id string, target chestnutstream.ModelAdapter) {
	if s := f.servers[id]; s != nil {
		delete(s.loaded, target)
		s.dropPrompts(target)
	}
}

// addListedAdapters records the adapters in a server's first entry as loaded.
// Engines do not rewrite their entries when adapters are loaded or unloaded, so
// these expire after listedLoadedTTL: they only bridge the time from a start until
// the owners of the engines have sent their messages.
func (f *Fleet) addListedAdapters(now time.Time, s *Server) {
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			s.loaded[chestnutstream.ModelAdapter{Model: m.Name, Adapter: a.Name}] = loadedAdapter{version: a.Version, confirmedAt: now.Add(listedLoadedTTL - loadedTTL)}
		}
	}
}
