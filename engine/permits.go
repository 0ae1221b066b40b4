package engine

import (
	"sort"
	"time"
)

// PermitSettings bounds the concurrent loads from the weight store.
type PermitSettings struct {
	LoadsInFlight     int           // maximum of the store, over all servers and instances
	Zones             int           // availability zones that share the store
	FullSpeedLoadTime time.Duration // a load that took longer was delayed by the store
	InstanceTimeout   time.Duration // permit requests of an instance without a message for this long are dropped
}

// PermitIssuer is the leader's part of load scheduling: it grants permits from one
// region's load budget in order of priority over all owners.
//
// The budget needs no coordination between leaders: a leader grants at most
// half of LoadsInFlight, scaled by the share of all zones that it receives
// requests from, and at least one. Each zone is served by at most two leaders
// at once (the one on its side of a network partition, and the leader from
// before the partition until it notices), so the store never sees more than
// LoadsInFlight, unless more than that many zones and leaders are isolated.
//
// Within the budget the limit adapts to the store: it shrinks while loads take
// longer than FullSpeedLoadTime, since loads that are queued in the store can no
// longer be ordered by priority, and grows while they do not.
type PermitIssuer struct {
	cfg      PermitSettings
	requests map[string]instanceRequests
	granted  map[string]grant
	limit    int
}

type instanceRequests struct {
	receivedAt time.Time
	zone       string
	requests   []PermitRequest
}

type grant struct {
	instance string
	since    time.Time
}

// NewPermitIssuer returns a leader's permit issuer.
func NewPermitIssuer(cfg PermitSettings) *PermitIssuer {
	return &PermitIssuer{cfg: cfg, requests: map[string]instanceRequests{}, granted: map[string]grant{}, limit: 1}
}

// SetBudget applies the budget of a new configuration.
func (p *PermitIssuer) SetBudget(loadsInFlight, zones int) {
	p.cfg.LoadsInFlight, p.cfg.Zones = loadsInFlight, zones
}

// Step replaces the permit requests of an instance and grants what the budget
// allows. A granted request that is no longer listed has ended. A request that
// already runs when a new leader first receives it counts as granted.
func (p *PermitIssuer) Step(now time.Time, instance, zone string, requests []PermitRequest) {
	p.requests[instance] = instanceRequests{now, zone, requests}
	requested := map[string]bool{}
	for _, r := range requests {
		requested[r.ID] = true
		if _, ok := p.granted[r.ID]; r.Running && !ok {
			p.granted[r.ID] = grant{instance, now}
		}
	}
	for id, g := range p.granted {
		if g.instance == instance && !requested[id] {
			delete(p.granted, id)
			p.adaptLimit(now.Sub(g.since))
		}
	}
	p.expire(now)
	p.grant(now)
}

// adaptLimit adapts the limit to the duration of a load.
func (p *PermitIssuer) adaptLimit(duration time.Duration) {
	if duration > p.cfg.FullSpeedLoadTime {
		p.limit = max(1, p.limit/2)
		return
	}
	p.limit++
}

func (p *PermitIssuer) expire(now time.Time) {
	for instance, ir := range p.requests {
		if now.Sub(ir.receivedAt) < p.cfg.InstanceTimeout {
			continue
		}
		delete(p.requests, instance)
		for id, g := range p.granted {
			if g.instance == instance {
				delete(p.granted, id)
			}
		}
	}
}

// Budget returns the maximum number of loads that this leader may have in
// flight.
func (p *PermitIssuer) Budget() int {
	zones := map[string]bool{}
	for _, ir := range p.requests {
		zones[ir.zone] = true
	}
	return max(1, p.cfg.LoadsInFlight*len(zones)/(2*max(1, p.cfg.Zones)))
}

func (p *PermitIssuer) grant(now time.Time) {
	p.limit = min(p.limit, p.Budget())
	type waitingRequest struct {
		PermitRequest
		instance string
	}
	var queue []waitingRequest
	for instance, ir := range p.requests {
		for _, r := range ir.requests {
			if _, ok := p.granted[r.ID]; !ok {
				queue = append(queue, waitingRequest{r, instance})
			}
		}
	}
	sort.Slice(queue, func(i, j int) bool {
		if queue[i].Priority != queue[j].Priority {
			return queue[i].Priority > queue[j].Priority
		}
		return queue[i].ID < queue[j].ID
	})
	for _, w := range queue {
		if len(p.granted) >= p.limit {
			return
		}
		p.granted[w.ID] = grant{w.instance, now}
	}
}

// Granted returns the IDs of an instance's granted requests, sorted.
func (p *PermitIssuer) Granted(instance string) []string {
	var ids []string
	for id, g := range p.granted {
		if g.instance == instance {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// AddHolders adds to names the instances that have granted requests.
func (p *PermitIssuer) AddHolders(names map[string]bool) {
	for _, g := range p.granted {
		names[g.instance] = true
	}
}

// InFlight returns the number of granted requests.
func (p *PermitIssuer) InFlight() int { return len(p.granted) }
