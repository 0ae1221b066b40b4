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

// DefaultLoads is the load policy in use: what someone waits for is loaded
// first, then what serves the most requests; patient requests wait for spare
// loads until their deadline comes near. A load evicts the idle slot that is
// asked for least often.
type DefaultLoads struct{}

// Thresholds of DefaultLoads.
const (
	urgentPriority = 10.0             // priority of having an urgent request at all
	lateFrom       = 30 * time.Second // from this slack on a patient request grows urgent
	agingPerSecond = 0.2              // priority of a second of waiting
	drainAfter     = 4 * time.Second  // a candidate that waits this long drains a slot in use
)

// Priority implements chestnutstream.LoadPolicy.
func (DefaultLoads) Priority(m chestnutstream.Measures, c chestnutstream.LoadCandidate) float64 {
	stall := m.StallShare()
	p := stall*c.Weight/chestnutstream.UrgentFrom + (1-stall)*float64(c.Waiting) + agingPerSecond*c.Oldest.Seconds()
	if c.Urgent > 0 {
		return p + urgentPriority
	}
	late := 1 - c.Slack.Seconds()/lateFrom.Seconds()
	return p + urgentPriority*min(1, max(0, late))
}

// Victim implements chestnutstream.LoadPolicy.
func (DefaultLoads) Victim(_ time.Time, _ chestnutstream.Measures, c chestnutstream.LoadCandidate, slots []chestnutstream.SlotUse) (int, bool) {
	idle, used := -1, -1
	for i, s := range slots {
		if s.Uses == 0 && (idle < 0 || s.Rate < slots[idle].Rate) {
			idle = i
		}
		if s.Uses > 0 && (used < 0 || s.Rate < slots[used].Rate) {
			used = i
		}
	}
	if idle >= 0 {
		return idle, false
	}
	if used >= 0 && c.Oldest >= drainAfter {
		return used, true
	}
	return -1, false
}

// DefaultPlacement is the placement policy in use: requests of an adapter
// version share a queue and a load; a server is chosen by its outstanding work;
// a load goes where the adapter version hashes to, unless that server is
// crowded.
type DefaultPlacement struct{}

// Thresholds of DefaultPlacement.
const (
	urgentBatches  = 2 // batches that may be outstanding at a server for urgent requests
	patientBatches = 1 // and for the others
	replicaBatches = 1 // batches that wait before another copy is loaded
)

// QueueKey implements chestnutstream.PlacementPolicy.
func (DefaultPlacement) QueueKey(_ string, av chestnutstream.AdapterVersion) string {
	return av.String()
}

// Eligible implements chestnutstream.PlacementPolicy: any server that has it.
func (DefaultPlacement) Eligible(chestnutstream.QueueView, chestnutstream.ServerLoad) bool {
	return true
}

// Choose implements chestnutstream.PlacementPolicy. Where batch efficiency
// counts, the fullest server that still has a place in its batch is taken, so
// that fewer engines work with fuller batches; else, and without such a server,
// the one with the least outstanding work.
func (DefaultPlacement) Choose(q chestnutstream.QueueView, urgency int, usable []chestnutstream.ServerLoad) int {
	batches := patientBatches
	if urgency >= chestnutstream.UrgentFrom {
		batches = urgentBatches
	}
	fullest, least := -1, -1
	for i, l := range usable {
		if l.Outstanding >= batches*l.BatchLimit {
			continue
		}
		if l.Outstanding < packedShare(q.Measures, l.BatchLimit) && (fullest < 0 || l.Outstanding > usable[fullest].Outstanding) {
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

// packedShare returns up to how many outstanding requests a server is filled
// before another one is begun: none where only load stalls count, the whole
// batch where only batch efficiency does.
func packedShare(m chestnutstream.Measures, batch int) int {
	return int((1-m.StallShare())*float64(batch) + 0.5)
}

// Want implements chestnutstream.PlacementPolicy.
func (DefaultPlacement) Want(q chestnutstream.QueueView, servers []chestnutstream.ServerLoad) []string {
	var wanted []string
	copies := 0
	for _, l := range servers {
		switch l.State {
		case chestnutstream.SlotReady:
			copies++
		case chestnutstream.SlotLoading:
			wanted = append(wanted, l.Server)
		case chestnutstream.SlotRetiring:
		}
	}
	if len(wanted) > 0 {
		return wanted // one is on its way
	}
	if copies > 0 {
		batch := servers[0].BatchLimit
		if q.Waiting < replicaBatches*batch {
			return nil
		}
	}
	for _, name := range q.Wanted {
		for _, l := range servers {
			if l.Server == name && l.State == "" && l.Loadable {
				return []string{name} // stay with the choice made before
			}
		}
	}
	if name := leastCrowded(q, servers); name != "" {
		return []string{name}
	}
	return nil
}

// leastCrowded returns a server that has an idle slot to spare, or else the
// least crowded one. Among equals it is the fullest that has room in the packed
// share of its batch, or else the first in the adapter version's own order,
// which is the same on all instances.
func leastCrowded(q chestnutstream.QueueView, servers []chestnutstream.ServerLoad) string {
	best := ""
	var bestRank serverRank
	for _, l := range servers {
		if l.State != "" || !l.Loadable {
			continue
		}
		// Loads that wait for the weight store need no slot yet, so where batches
		// count more wants than idle slots are let on to a server.
		spare := l.Idle + packedShare(q.Measures, l.SlotLimit)
		r := serverRank{crowd: max(0, l.Wanted+1-spare), hash: xxhash.Sum64String(q.AdapterVersion.String() + "\x00" + l.Server)}
		if l.Outstanding >= l.BatchLimit {
			r.crowd++
		}
		if l.Outstanding < packedShare(q.Measures, l.BatchLimit) {
			r.filled = l.Outstanding
		}
		if best == "" || r.before(bestRank) {
			best, bestRank = l.Server, r
		}
	}
	return best
}

// serverRank orders the servers on which an adapter version may be wanted.
type serverRank struct {
	crowd  int
	filled int
	hash   uint64
}

func (r serverRank) before(other serverRank) bool {
	if r.crowd != other.crowd {
		return r.crowd < other.crowd
	}
	if r.filled != other.filled {
		return r.filled > other.filled
	}
	return r.hash > other.hash
}
