package fleet

import (
	"slices"
	"time"
)

// Estimate is the time that a request sent to a server now is expected to take until its
// response begins, in milliseconds by what it consists of.
type Estimate struct {
	Wait     float64 // for requests before it: queued prefills, other requests
	Work     float64 // on the request itself, at the server's own speed
	Pace     float64 // what the current pace adds to wait and work; negative if they take less time than usual
	Distance float64 // another availability zone or region
	Failures float64 // the server's recent failures
	Saved    float64 // prefill of the prompt's parts that are cached there; reduces the total
}

// Total returns the sum of the terms.
func (e Estimate) Total() float64 {
	return e.Wait + e.Work + e.Pace + e.Distance + e.Failures - e.Saved
}

// Parameters of estimates.
const (
	failureCost     = 4.0 // of a server all of whose requests fail, in multiples of the other terms
	beyondSlotsCost = 2.0 // of a request beyond a plain server's slots, besides that of each request
	// otherRegionTime is the time that a request to another region takes longer.
	otherRegionTime = 20 * time.Millisecond
	// nearlyEqual is the part of the least estimate by which servers may exceed it and still be
	// chosen at random with it, so that instances with the same view choose different servers.
	nearlyEqual = 0.1
	// clearMarginShare is the share of the latency target that another engine must save for a
	// request to leave the first one of its order. Prompts that stay find their parts cached.
	clearMarginShare = 0.1
	// maxLoadedEngines bounds the engines of the order that are compared.
	maxLoadedEngines = 8
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// estimate estimates the time to the response to a request that is sent to a server now. For
// an engine, which a request with a model needs, that is the time to its first event.
func (f *Fleet) estimate(now time.Time, s *Server, r Request) Estimate {
	if r.Target.Model == "" {
		return f.estimatePlain(now, s)
	}
	pace, own := s.PaceAndSpeed(now)
	rate := f.prefillRate(s.Service)
	e := Estimate{Work: own*milliseconds(rate.duration(r.Prompt.Tokens)) + milliseconds(firstEventOverhead)}
	if cached := f.cachedTokens(now, s, r); cached > 0 {
		e.Saved = pace * own * milliseconds(rate.duration(min(cached, r.Prompt.Tokens)))
	}
	if slots := float64(s.Slots); slots > 0 {
		e.Wait = own * milliseconds(fullBatchPrefillWait) * max(s.Load(now)+1-slots, 0) / slots
	}
	e.Pace = (e.Wait + e.Work - milliseconds(firstEventOverhead)) * (pace - 1)
	e.Wait += milliseconds(s.PrefillWait(now)) // at the pace of when the prompts were sent
	if !f.inRegion(s.Zone) {
		e.Distance = milliseconds(otherRegionTime)
	}
	e.Failures = failureCost * s.detector.currentFailureRate(now) * e.Total()
	return e
}

// estimatePlain estimates the time that a request to a plain service takes. Each request on the
// server counts as one more of the usual time, as in plainCost, besides those whose effect the
// stated pace contains. Distance costs as much as there.
func (f *Fleet) estimatePlain(now time.Time, s *Server) Estimate {
	pace, speed := s.PaceAndSpeed(now)
	t := s.times
	if t == nil {
		t = &unstatedTimes
	}
	load, slots, usual := s.Load(now), float64(max(s.Slots, 1)), t.usual
	ahead := load - t.paceFollowsLoad(slots)*min(load, s.loadOfPace(now)) + beyondSlotsCost*max(load+1-slots, 0)
	e := Estimate{Work: usual * speed, Wait: usual * speed * ahead}
	e.Pace = (e.Wait + e.Work) * (pace - 1)
	switch {
	case !f.inRegion(s.Zone):
		e.Distance = otherRegionCost * usual
	case s.Zone != f.zone:
		e.Distance = otherZoneCost * usual
	}
	e.Failures = failureCost * s.detector.currentFailureRate(now) * e.Total()
	return e
}

// loadOfPace returns the load that a server's pace belongs to: the one stated with it, or with
// its age the server's mean.
func (s *Server) loadOfPace(now time.Time) float64 {
	age := now.Sub(s.pace.at)
	if age >= paceDecay || s.pace.latest == 0 {
		return s.load.mean
	}
	return s.load.mean + (float64(s.load.total)-s.load.mean)*(1-float64(max(age, 0))/float64(paceDecay))
}

// pickNearlyBest returns a random one of the servers whose estimates are nearly the least, or
// without random the first one with the least. costs are their estimates.
func (f *Fleet) pickNearlyBest(servers []*Server, costs []float64, random bool) *Server {
	if len(servers) == 0 {
		return nil
	}
	least := slices.Min(costs)
	if !random {
		return servers[slices.Index(costs, least)]
	}
	var best *Server
	count := 0
	for i, c := range costs {
		if c > least+nearlyEqual*max(least, 0) {
			continue
		}
		count++
		if f.rand.IntN(count) == 0 {
			best = servers[i]
		}
	}
	return best
}

// pickPlainByEstimate chooses a server of a plain service whose servers state their pace.
func (f *Fleet) pickPlainByEstimate(now time.Time, service string, avoid map[string]bool, includeFailing, random bool) *Server {
	f.candidates, f.costs = f.candidates[:0], f.costs[:0]
	for _, s := range f.services[service] {
		if f.mayReceive(now, s, avoid, includeFailing) {
			f.candidates = append(f.candidates, s)
			f.costs = append(f.costs, f.estimatePlain(now, s).Total())
		}
	}
	return f.pickNearlyBest(f.candidates, f.costs, random)
}

// clearMargin returns the time in milliseconds that another engine must save to be preferred.
func (r Request) clearMargin() float64 {
	return clearMarginShare / prefillWaitShare * milliseconds(r.WaitLimit())
}

// bestLoaded returns the engine for a request of those that have its adapter loaded: the first
// one, or another one if that is faster by a clear margin. first is the first suitable engine
// of the order, others the ones after it, and waiting one before it with a longer prefill wait,
// or nil.
func (f *Fleet) bestLoaded(now time.Time, r Request, first, waiting *Server, others []*Server, suitable func(*Server) bool) *Server {
	if !f.StatesPace(r.Service) {
		return first
	}
	best, least := first, f.estimate(now, first, r).Total()-r.clearMargin()
	consider := func(s *Server) {
		if total := f.estimate(now, s, r).Total(); total < least {
			best, least = s, total
		}
	}
	if waiting != nil {
		consider(waiting)
	}
	for _, s := range others[:min(len(others), maxLoadedEngines)] {
		if suitable(s) {
			consider(s)
		}
	}
	return best
}

// respondsSooner reports whether an engine with a prefill backlog is preferred to another one.
func (f *Fleet) respondsSooner(now time.Time, r Request, s, than *Server) bool {
	if !f.StatesPace(r.Service) {
		return s.PrefillWait(now) < than.PrefillWait(now)
	}
	return f.estimate(now, s, r).Total() < f.estimate(now, than, r).Total()
}
