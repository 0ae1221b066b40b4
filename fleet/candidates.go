package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Candidate is a server of a service with what counts in the choice of a server for a request.
type Candidate struct {
	Server   *Server
	Excluded string // why it gets no request now; "": it may get one
	Loaded   bool   // an engine that is believed to have the requested adapter version loaded
	Terms    []Term
}

// Term is one term of the estimate by which servers are compared.
type Term struct {
	Name  string // with its unit
	Value float64
}

// Preview returns the choice that PickEngine, or PickPlain for a plain service, would make for a
// request now, and the candidates: first those that may get it, in the request's order. Nothing
// is recorded. Where PickPlain chooses at random among servers with the same cost, the first
// one is returned.
func (f *Fleet) Preview(now time.Time, r Request, plain bool, avoid map[string]bool, loadable func(*Server) bool) (Choice, []Candidate) {
	var c Choice
	order, mean := f.services[r.Service], 0.0
	if plain {
		c = Choice{Server: f.choosePlain(now, r.Service, avoid, false), Reason: ReasonLowestCost}
	} else {
		c = f.chooseEngine(now, r, avoid, loadable)
		order, mean = f.rankedEngines(now, r, avoid, false)
	}
	var admitted, excluded []Candidate
	seen := make(map[*Server]bool, len(order))
	for _, s := range slices.Concat(order, f.services[r.Service]) {
		if seen[s] {
			continue
		}
		seen[s] = true
		candidate := Candidate{Server: s, Excluded: f.exclusion(now, s, avoid)}
		if plain {
			candidate.Terms = f.plainTerms(now, s)
		} else {
			candidate.Loaded = f.IsLoaded(now, s, r.Target, r.Version)
			candidate.Terms = f.engineTerms(now, s, r, mean)
			if candidate.Excluded == "" && !f.inRegion(s.Zone) && f.inRegion(order[0].Zone) {
				candidate.Excluded = "in another region, and this one has engines"
			}
		}
		if candidate.Excluded == "" {
			admitted = append(admitted, candidate)
		} else {
			excluded = append(excluded, candidate)
		}
	}
	return c, append(admitted, excluded...)
}

// exclusion returns why mayReceive is false for a server, "" if it is true.
func (f *Fleet) exclusion(now time.Time, s *Server, avoid map[string]bool) string {
	switch {
	case f.mayReceive(now, s, avoid, false):
		return ""
	case s.State != chestnutstream.BackendReady:
		return "its state is " + string(s.State)
	case s.Misplaced:
		return "another server responded at its address"
	case s.Paused(now) > 0:
		return fmt.Sprintf("paused by its Retry-After for %d ms", s.Paused(now).Milliseconds())
	case s.blockedFor(now) > 0:
		return fmt.Sprintf("no permit for its limit for %d ms", s.blockedFor(now).Milliseconds())
	case avoid[s.ID]:
		return "its software version may not run the request"
	case !s.detector.reachable(now):
		return "connections to it fail"
	case !f.reachable(now, s):
		return "connections to servers of its availability zone fail"
	}
	return fmt.Sprintf("%.0f%% of its requests fail", 100*s.detector.currentFailureRate(now))
}

func (f *Fleet) plainTerms(now time.Time, s *Server) []Term {
	terms := []Term{
		{"load", s.Load(now)},
		{"slots", float64(s.Slots)},
		{"failure-rate", s.detector.currentFailureRate(now)},
	}
	if f.StatesPace(s.Service) {
		return append(terms, f.estimatePlain(now, s).terms()...)
	}
	return append(terms, Term{"cost", f.plainCost(now, s)})
}

// terms returns the terms of an estimate by name.
func (e Estimate) terms() []Term {
	return []Term{
		{"wait-ms", e.Wait},
		{"work-ms", e.Work},
		{"pace-ms", e.Pace},
		{"distance-ms", e.Distance},
		{"failures-ms", e.Failures},
		{"saved-ms", e.Saved},
		{"estimate-ms", e.Total()},
	}
}

func (f *Fleet) engineTerms(now time.Time, s *Server, r Request, mean float64) []Term {
	cached, rate := f.cachedTokens(now, s, r), prefillRate{tokensPerMS: initialTokensPerMS}
	if known := f.prefill[r.Service]; known != nil { // prefillRate would add an entry
		rate = *known
	}
	first := s.PrefillWait(now) + time.Duration(s.slowness(now)*float64(rate.duration(r.Prompt.Tokens-cached))) + firstEventOverhead
	terms := []Term{
		{"load", s.slowness(now) * s.Load(now)},
		{"load-bound", mean*overloadFactor + overloadSlack(s)},
		{"slots", float64(s.Slots)},
		{"failure-rate", s.detector.currentFailureRate(now)},
		{"prefill-wait-ms", s.PrefillWait(now).Seconds() * 1000},
		{"cached-tokens", float64(cached)},
		{"first-event-ms", first.Seconds() * 1000},
	}
	if f.StatesPace(s.Service) {
		terms = append(terms, f.estimate(now, s, r).terms()...)
	}
	return terms
}
