package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

var (
	_ chestnutstream.LoadPolicy      = DefaultLoads{}
	_ chestnutstream.PlacementPolicy = DefaultPlacement{}
)

// DefaultLoads is the default load policy: urgent requests first, then the
// adapter versions that serve the most requests; non-urgent requests wait for
// spare loads until their deadline is near. A load evicts the idle slot with
// the lowest request rate.
type DefaultLoads struct{}

// Thresholds of DefaultLoads.
const (
	urgentPriorityBonus    = 10.0             // added for a candidate with an urgent request
	lateSlack              = 30 * time.Second // below this slack a non-urgent candidate gains priority
	agingPriorityPerSecond = 0.2              // of the oldest request's wait
	drainAfterWait         = 4 * time.Second  // a candidate that waits this long drains a slot in use
)

// Priority implements chestnutstream.LoadPolicy.
func (DefaultLoads) Priority(w chestnutstream.ObjectiveWeights, c chestnutstream.LoadCandidate) float64 {
	stall := w.StallShare()
	p := stall*c.Weight/chestnutstream.UrgentThreshold + (1-stall)*float64(c.Waiting) + agingPriorityPerSecond*c.Oldest.Seconds()
	if c.Urgent > 0 {
		return p + urgentPriorityBonus
	}
	lateness := 1 - c.Slack.Seconds()/lateSlack.Seconds()
	return p + urgentPriorityBonus*min(1, max(0, lateness))
}

// Victim implements chestnutstream.LoadPolicy.
func (DefaultLoads) Victim(_ time.Time, _ chestnutstream.ObjectiveWeights, c chestnutstream.LoadCandidate, slots []chestnutstream.SlotUsage) (int, bool) {
	idle, used := -1, -1
	for i, s := range slots {
		if s.InProgress == 0 && (idle < 0 || s.Rate < slots[idle].Rate) {
			idle = i
		}
		if s.InProgress > 0 && (used < 0 || s.Rate < slots[used].Rate) {
			used = i
		}
	}
	if idle >= 0 {
		return idle, false
	}
	if used >= 0 && c.Oldest >= drainAfterWait {
		return used, true
	}
	return -1, false
}

// DefaultPlacement is the default placement policy: requests for an adapter
// version share a queue and a load; a server is chosen by its outstanding work;
// a load goes to the server that the adapter version hashes to, unless that
// server is saturated.
type DefaultPlacement struct{}

// Thresholds of DefaultPlacement.
const (
	maxUrgentBatches    = 2 // batches that may be outstanding at a server for urgent requests
	maxNonUrgentBatches = 1 // the same for non-urgent requests
	replicaQueueBatches = 1 // waiting batches that cause the load of another replica
)

// QueueKey implements chestnutstream.PlacementPolicy.
func (DefaultPlacement) QueueKey(_ string, av chestnutstream.AdapterVersion) string {
	return av.String()
}

// Eligible implements chestnutstream.PlacementPolicy: every server is eligible.
func (DefaultPlacement) Eligible(chestnutstream.QueueView, chestnutstream.ServerLoad) bool {
	return true
}

// Choose implements chestnutstream.PlacementPolicy. As far as batch efficiency
// has weight, the fullest server below the packing limit is chosen, so that
// fewer engines run fuller batches; otherwise the one with the least
// outstanding work.
func (DefaultPlacement) Choose(q chestnutstream.QueueView, urgency int, usable []chestnutstream.ServerLoad) int {
	batches := maxNonUrgentBatches
	if urgency >= chestnutstream.UrgentThreshold {
		batches = maxUrgentBatches
	}
	fullest, least := -1, -1
	for i, l := range usable {
		if l.Outstanding >= batches*l.BatchLimit {
			continue
		}
		if l.Outstanding < packingLimit(q.ObjectiveWeights, l.BatchLimit) && (fullest < 0 || l.Outstanding > usable[fullest].Outstanding) {
			fullest = i
		}
		if least < 0 || l.Outstanding*usable[least].BatchLimit < usable[least].Outstanding*l.BatchLimit {
			least = i
		}
	}
	if fullest >= 0 {
		return fullest
	}
	return least
}

// packingLimit returns the number of outstanding requests up to which a server
// is filled before another one is used: 0 where only load stalls count, the
// whole batch where only batch efficiency does.
func packingLimit(w chestnutstream.ObjectiveWeights, batch int) int {
	return int((1-w.StallShare())*float64(batch) + 0.5)
}

// DemandServers implements chestnutstream.PlacementPolicy.
func (DefaultPlacement) DemandServers(q chestnutstream.QueueView, servers []chestnutstream.ServerLoad) []string {
	var demand []string
	replicas := 0
	for _, l := range servers {
		switch l.State {
		case chestnutstream.SlotReady:
			replicas++
		case chestnutstream.SlotLoading:
			demand = append(demand, l.Server)
		case chestnutstream.SlotRetiring:
		}
	}
	if len(demand) > 0 {
		return demand // a load is in progress
	}
	if replicas > 0 {
		batch := servers[0].BatchLimit
		if q.Waiting < replicaQueueBatches*batch {
			return nil
		}
	}
	for _, name := range q.DemandServers {
		for _, l := range servers {
			if l.Server == name && l.State == "" && l.AcceptsDemand {
				return []string{name} // keep the earlier choice
			}
		}
	}
	if name := leastSaturated(q, servers); name != "" {
		return []string{name}
	}
	return nil
}

// leastSaturated returns a server with an idle slot to spare, or else the least
// saturated one. Ties go to the fullest server below the packing limit, then to
// the first in the adapter version's hash order, which is the same on all
// instances.
func leastSaturated(q chestnutstream.QueueView, servers []chestnutstream.ServerLoad) string {
	best := ""
	var bestRank serverRank
	for _, l := range servers {
		if l.State != "" || !l.AcceptsDemand {
			continue
		}
		// Loads that wait for the weight store need no slot yet, so as far as
		// batch efficiency has weight, a server may have more demand than idle
		// slots.
		spare := l.Idle + packingLimit(q.ObjectiveWeights, l.SlotLimit)
		r := serverRank{saturation: max(0, l.DemandVersions+1-spare), hash: xxhash.Sum64String(q.AdapterVersion.String() + "\x00" + l.Server)}
		if l.Outstanding >= l.BatchLimit {
			r.saturation++
		}
		if l.Outstanding < packingLimit(q.ObjectiveWeights, l.BatchLimit) {
			r.packed = l.Outstanding
		}
		if best == "" || r.before(bestRank) {
			best, bestRank = l.Server, r
		}
	}
	return best
}

// serverRank orders the servers on which an adapter version may be loaded.
type serverRank struct {
	saturation int
	packed     int
	hash       uint64
}

func (r serverRank) before(other serverRank) bool {
	if r.saturation != other.saturation {
		return r.saturation < other.saturation
	}
	if r.packed != other.packed {
		return r.packed > other.packed
	}
	return r.hash > other.hash
}
