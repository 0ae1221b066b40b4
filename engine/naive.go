package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

var (
	_ chestnutstream.LoadPolicy      = NaiveLoads{}
	_ chestnutstream.PlacementPolicy = NaivePlacement{}
)

// NaiveLoads is the baseline load policy: first come, first served, evicting
// the least recently used idle slot.
type NaiveLoads struct{}

// Priority implements chestnutstream.LoadPolicy.
func (NaiveLoads) Priority(_ chestnutstream.ObjectiveWeights, c chestnutstream.LoadCandidate) float64 {
	return c.Oldest.Seconds()
}

// Victim implements chestnutstream.LoadPolicy.
func (NaiveLoads) Victim(_ time.Time, _ chestnutstream.ObjectiveWeights, c chestnutstream.LoadCandidate, slots []chestnutstream.SlotUsage) (int, bool) {
	idle, oldest := -1, -1
	for i, s := range slots {
		if s.InProgress == 0 && (idle < 0 || s.LastUsed.Before(slots[idle].LastUsed)) {
			idle = i
		}
		if oldest < 0 || s.LastUsed.Before(slots[oldest].LastUsed) {
			oldest = i
		}
	}
	if idle >= 0 {
		return idle, false
	}
	if oldest >= 0 && c.Oldest >= drainAfterWait {
		return oldest, true
	}
	return -1, false
}

// NaivePlacement is the baseline placement policy: each request goes to a
// pseudo-random server of the zone and waits there for its adapter; requests do
// not share loads. Seed makes the choice reproducible.
type NaivePlacement struct {
	Seed string
	Zone string
}

// QueueKey implements chestnutstream.PlacementPolicy.
func (NaivePlacement) QueueKey(requestID string, _ chestnutstream.AdapterVersion) string {
	return requestID
}

// pick returns the index of the server assigned to a queue, or -1. Servers of
// the zone are preferred; if none of them accepts demand, those of all zones
// are considered.
func (n NaivePlacement) pick(key string, servers []chestnutstream.ServerLoad) int {
	var candidates []int
	for i, s := range servers {
		if s.Zone == n.Zone && s.AcceptsDemand {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		for i, s := range servers {
			if s.AcceptsDemand {
				candidates = append(candidates, i)
			}
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	return candidates[xxhash.Sum64String(n.Seed+"\x00"+key)%uint64(len(candidates))]
}

// Eligible implements chestnutstream.PlacementPolicy: only the server that was
// picked for the queue is eligible.
func (NaivePlacement) Eligible(q chestnutstream.QueueView, l chestnutstream.ServerLoad) bool {
	for _, name := range q.DemandServers {
		if l.Server == name {
			return true
		}
	}
	return false
}

// Choose implements chestnutstream.PlacementPolicy.
func (NaivePlacement) Choose(chestnutstream.QueueView, int, []chestnutstream.ServerLoad) int {
	return 0
}

// DemandServers implements chestnutstream.PlacementPolicy.
func (n NaivePlacement) DemandServers(q chestnutstream.QueueView, servers []chestnutstream.ServerLoad) []string {
	for _, name := range q.DemandServers {
		for _, l := range servers {
			if l.Server == name {
				return []string{name}
			}
		}
	}
	i := n.pick(q.Key, servers)
	if i < 0 {
		return nil
	}
	return []string{servers[i].Server}
}
