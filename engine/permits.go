package engine

import (
	"sort"
	"time"
)

// PermitSettings bound the loads that the weight store is asked for.
type PermitSettings struct {
	LoadsInFlight int           // of the store, over all servers and instances
	Zones         int           // availability zones that share the store
	FullSpeed     time.Duration // a load that took longer waited in the store
	Unheard       time.Duration // asks of an instance that was not heard for this long are dropped
}

// Permits is the lead's part of load scheduling: it grants the loads of one
// region's budget in order of priority over all owners.
//
// The budget needs no coordination between leads: a lead grants at most half of
// LoadsInFlight, by the share of all zones that it hears, and at least one. Each
// zone is heard by at most two leads at once (its own side of a cut, and the lead
// of before the cut until it notices), so the store never sees more than
// LoadsInFlight, unless more than that many zones and leads stand alone.
//
// Within that bound the limit follows the store: it shrinks while loads take
// longer than at full speed, since whatever waits in the store can no longer be
// put in order, and grows while they do not.
type Permits struct {
	cfg     PermitSettings
	asks    map[string]instanceAsks
	granted map[string]grant
	limit   int
}

type instanceAsks struct {
	heardAt time.Time
	zone    string
	asks    []Ask
}

type grant struct {
	instance string
	since    time.Time
}

// NewPermits returns a lead's permits.
func NewPermits(cfg PermitSettings) *Permits {
	return &Permits{cfg: cfg, asks: map[string]instanceAsks{}, granted: map[string]grant{}, limit: 1}
}

// SetBudget changes the budget, when the configuration does.
func (p *Permits) SetBudget(loadsInFlight, zones int) {
	p.cfg.LoadsInFlight, p.cfg.Zones = loadsInFlight, zones
}

// Step takes the asks of an instance and grants what the budget allows.
// Granted asks that are gone have ended; asks that already run when a new lead
// first hears of them count as granted.
func (p *Permits) Step(now time.Time, instance, zone string, asks []Ask) {
	p.asks[instance] = instanceAsks{now, zone, asks}
	asked := map[string]bool{}
	for _, a := range asks {
		asked[a.ID] = true
		if _, ok := p.granted[a.ID]; a.Running && !ok {
			p.granted[a.ID] = grant{instance, now}
		}
	}
	for id, g := range p.granted {
		if g.instance == instance && !asked[id] {
			delete(p.granted, id)
			p.adapt(now.Sub(g.since))
		}
	}
	p.expire(now)
	p.grant(now)
}

// adapt moves the limit by how long a load took.
func (p *Permits) adapt(took time.Duration) {
	if took > p.cfg.FullSpeed {
		p.limit = max(1, p.limit/2)
		return
	}
	p.limit++
}

func (p *Permits) expire(now time.Time) {
	for instance, a := range p.asks {
		if now.Sub(a.heardAt) < p.cfg.Unheard {
			continue
		}
		delete(p.asks, instance)
		for id, g := range p.granted {
			if g.instance == instance {
				delete(p.granted, id)
			}
		}
	}
}

// Budget returns the most loads that this lead may have under way.
func (p *Permits) Budget() int {
	zones := map[string]bool{}
	for _, a := range p.asks {
		zones[a.zone] = true
	}
	return max(1, p.cfg.LoadsInFlight*len(zones)/(2*max(1, p.cfg.Zones)))
}

func (p *Permits) grant(now time.Time) {
	p.limit = min(p.limit, p.Budget())
	type waiting struct {
		Ask
		instance string
	}
	var queue []waiting
	for instance, a := range p.asks {
		for _, ask := range a.asks {
			if _, ok := p.granted[ask.ID]; !ok {
				queue = append(queue, waiting{ask, instance})
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

// Granted returns the granted asks of an instance.
func (p *Permits) Granted(instance string) []string {
	var ids []string
	for id, g := range p.granted {
		if g.instance == instance {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Holders adds the instances that hold grants to names.
func (p *Permits) Holders(names map[string]bool) {
	for _, g := range p.granted {
		names[g.instance] = true
	}
}

// InFlight returns the number of grants in use.
func (p *Permits) InFlight() int { return len(p.granted) }
