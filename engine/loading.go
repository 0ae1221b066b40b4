package engine

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

type pendingLoad struct {
	id       string
	created  time.Time
	priority float64
	loading  bool
}

type loadBackoff struct {
	until time.Time
	delay time.Duration
}

type decayingRate struct {
	value float64
	at    time.Time
}

// maxTrackedRates limits the number of adapter versions whose request rate is
// tracked.
const maxTrackedRates = 4096

// idleSlots counts the slots that a load could take without waiting for a
// request to end, less the pending loads that have no slot yet.
func (s *Scheduler) idleSlots(srv *ownedServer) int {
	idle := srv.status.SlotLimit - len(srv.slots)
	for name, sl := range srv.slots {
		if sl.slot.State == chestnutstream.SlotReady && s.usage(name) == 0 {
			idle++
		}
	}
	for _, l := range srv.pendingLoads {
		if !l.loading {
			idle--
		}
	}
	return max(0, idle)
}

// usage returns the number of requests in progress on a slot, over all
// instances.
func (s *Scheduler) usage(name chestnutstream.LoadName) int {
	n := 0
	for _, p := range s.peers {
		n += p.usage[name]
	}
	return n
}

// addRate adds n requests to the decaying rate of an adapter version.
func (s *Scheduler) addRate(now time.Time, av chestnutstream.AdapterVersion, n float64) {
	r := s.rates[av]
	if r == nil {
		if len(s.rates) >= maxTrackedRates {
			s.evictRates(now)
		}
		r = &decayingRate{at: now}
		s.rates[av] = r
	}
	r.value = r.decayed(now, s.cfg.RateHalfLife) + n
	r.at = now
}

// evictRates drops the lower half of the tracked rates.
func (s *Scheduler) evictRates(now time.Time) {
	values := make([]float64, 0, len(s.rates))
	for _, r := range s.rates {
		values = append(values, r.decayed(now, s.cfg.RateHalfLife))
	}
	sort.Float64s(values)
	median := values[len(values)/2]
	for av, r := range s.rates {
		if r.decayed(now, s.cfg.RateHalfLife) <= median {
			delete(s.rates, av)
		}
	}
}

func (r *decayingRate) decayed(now time.Time, halfLife time.Duration) float64 {
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(halfLife))
}

func (s *Scheduler) finishLoad(now time.Time, srv *ownedServer, sl *ownedSlot, err error) []Action {
	av := sl.slot.AdapterVersion
	delete(srv.pendingLoads, av)
	if err == nil {
		sl.slot.State, sl.stateSince, sl.loadedAt, sl.lastUsed = chestnutstream.SlotReady, now, now, now
		delete(s.backoffs, av)
		return []Action{TraceEvent{srv.name, "load", fmt.Sprintf("%s is ready", sl.slot.Name)}}
	}
	if errors.Is(err, chestnutstream.ErrLoadFailed) {
		s.backOff(now, av)
	}
	// The next status shows whether the engine loaded it; until then the slot
	// counts as occupied.
	sl.stateSince = now
	return []Action{ReadStatus{srv.name}, TraceEvent{srv.name, "load", err.Error()}}
}

func (s *Scheduler) backOff(now time.Time, av chestnutstream.AdapterVersion) {
	b := s.backoffs[av]
	if b == nil {
		b = &loadBackoff{delay: s.cfg.BackoffInitial}
		s.backoffs[av] = b
	} else {
		b.delay = min(2*b.delay, s.cfg.BackoffMax)
	}
	b.until = now.Add(b.delay)
}

// schedule requests permits for the load candidates of each server, and starts
// the loads that have both a permit and a free slot.
func (s *Scheduler) schedule(now time.Time) []Action {
	var actions []Action
	demand := s.demandByServer(now)
	for _, srv := range s.sortedServers() {
		actions = append(actions, s.scheduleServer(now, srv, demand[srv.name])...)
	}
	for av, b := range s.backoffs {
		if now.Sub(b.until) > s.cfg.BackoffMax {
			delete(s.backoffs, av)
		}
	}
	return actions
}

// demandByServer sums the demand of all instances whose last message is newer
// than ReportLeaseDuration.
func (s *Scheduler) demandByServer(now time.Time) map[string]map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate {
	out := map[string]map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate{}
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) >= s.cfg.ReportLeaseDuration {
			continue
		}
		for _, d := range p.demands {
			if s.servers[d.Server] == nil {
				continue
			}
			byAV := out[d.Server]
			if byAV == nil {
				byAV = map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate{}
				out[d.Server] = byAV
			}
			c := byAV[d.AdapterVersion]
			if c == nil {
				c = &chestnutstream.LoadCandidate{Server: d.Server, AdapterVersion: d.AdapterVersion}
				byAV[d.AdapterVersion] = c
			}
			slack := time.Duration(d.SlackMS)*time.Millisecond - now.Sub(p.receivedAt)
			if c.Waiting == 0 || slack < c.Slack {
				c.Slack = slack
			}
			c.Waiting += d.Waiting
			c.Urgent += d.Urgent
			c.Weight += d.Weight
			c.Oldest = max(c.Oldest, time.Duration(d.OldestMS)*time.Millisecond+now.Sub(p.receivedAt))
		}
	}
	return out
}

func (s *Scheduler) scheduleServer(now time.Time, srv *ownedServer, demand map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate) []Action {
	mayLoad := srv.reachable && !srv.status.Leaving && now.Before(srv.holding.NotAfter) && srv.status.SlotLimit > 0
	for av, l := range srv.pendingLoads {
		if !l.loading && (!mayLoad || demand[av] == nil) {
			delete(srv.pendingLoads, av) // returns its permit, if any
		}
	}
	if !mayLoad {
		return nil
	}
	var actions []Action
	for _, c := range s.candidates(now, srv, demand) {
		l := srv.pendingLoads[c.AdapterVersion]
		if l == nil {
			if len(srv.pendingLoads) >= s.cfg.LoadsPerServer || !s.hasRoomFor(now, srv, c) {
				continue
			}
			s.serial++
			l = &pendingLoad{id: fmt.Sprintf("%s/%d", s.self, s.serial), created: now}
			srv.pendingLoads[c.AdapterVersion] = l
		}
		l.priority = s.policy.Priority(s.objectiveWeights, c)
		if s.granted[l.id] && !l.loading {
			actions = append(actions, s.startGrantedLoad(now, srv, c, l)...)
		}
	}
	return actions
}

// candidates returns the adapter versions that may be loaded on a server, the
// highest priority first.
func (s *Scheduler) candidates(now time.Time, srv *ownedServer, demand map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate) []chestnutstream.LoadCandidate {
	occupied := map[chestnutstream.AdapterVersion]bool{}
	for _, sl := range srv.slots {
		if sl.slot.State != chestnutstream.SlotRetiring {
			occupied[sl.slot.AdapterVersion] = true
		}
	}
	var out []chestnutstream.LoadCandidate
	for av, c := range demand {
		if b := s.backoffs[av]; occupied[av] || b != nil && now.Before(b.until) {
			continue
		}
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		pi, pj := s.policy.Priority(s.objectiveWeights, out[i]), s.policy.Priority(s.objectiveWeights, out[j])
		if pi != pj {
			return pi > pj
		}
		return out[i].AdapterVersion.String() < out[j].AdapterVersion.String()
	})
	return out
}

// freeSlots returns how many slots of the engine are free and how many are
// retiring.
func (srv *ownedServer) freeSlots() (free, retiring int) {
	for _, sl := range srv.slots {
		if sl.slot.State == chestnutstream.SlotRetiring {
			retiring++
		}
	}
	return srv.status.SlotLimit - len(srv.slots), retiring
}

// hasRoomFor reports whether a slot is free for a candidate or can be freed.
func (s *Scheduler) hasRoomFor(now time.Time, srv *ownedServer, c chestnutstream.LoadCandidate) bool {
	free, retiring := srv.freeSlots()
	waiting := 0
	for _, l := range srv.pendingLoads {
		if !l.loading {
			waiting++
		}
	}
	if free+retiring > waiting {
		return true
	}
	slots, usage := s.slotUsage(now, srv)
	i, _ := s.policy.Victim(now, s.objectiveWeights, c, usage)
	return i >= 0 && len(slots) > waiting-free-retiring
}

func (s *Scheduler) startGrantedLoad(now time.Time, srv *ownedServer, c chestnutstream.LoadCandidate, l *pendingLoad) []Action {
	free, retiring := srv.freeSlots()
	if free > 0 {
		l.loading = true
		return s.orderLoad(now, srv, c.AdapterVersion)
	}
	if retiring > 0 {
		return nil // wait for the retiring slot
	}
	slots, usage := s.slotUsage(now, srv)
	i, draining := s.policy.Victim(now, s.objectiveWeights, c, usage)
	if i < 0 {
		delete(srv.pendingLoads, c.AdapterVersion)
		return nil
	}
	s.retire(now, srv, slots[i], draining)
	return []Action{TraceEvent{srv.name, "retire", fmt.Sprintf("%s makes room for %s", slots[i].slot.Name, c.AdapterVersion)}}
}

func (s *Scheduler) orderLoad(now time.Time, srv *ownedServer, av chestnutstream.AdapterVersion) []Action {
	s.serial++
	name := chestnutstream.NewLoadName(av, fmt.Sprintf("%s.%x.%d", s.self, srv.holding.Fence, s.serial))
	srv.slots[name] = &ownedSlot{
		slot:       chestnutstream.Slot{Name: name, AdapterVersion: av, State: chestnutstream.SlotLoading},
		stateSince: now, orderPending: true,
	}
	s.markChanged(srv)
	return []Action{
		LoadOrder{Server: srv.name, Name: name, Fence: srv.holding.Fence, NotAfter: srv.holding.NotAfter},
		TraceEvent{srv.name, "load", string(name)},
	}
}

// slotUsage returns the ready slots of a server and their usage, in the same
// order.
func (s *Scheduler) slotUsage(now time.Time, srv *ownedServer) ([]*ownedSlot, []chestnutstream.SlotUsage) {
	var slots []*ownedSlot
	for _, sl := range srv.sortedSlots() {
		if sl.slot.State == chestnutstream.SlotReady {
			slots = append(slots, sl)
		}
	}
	usage := make([]chestnutstream.SlotUsage, 0, len(slots))
	for _, sl := range slots {
		u := chestnutstream.SlotUsage{Slot: sl.slot, InProgress: s.usage(sl.slot.Name), LastUsed: sl.lastUsed, LoadedAt: sl.loadedAt}
		if r := s.rates[sl.slot.AdapterVersion]; r != nil {
			u.Rate = r.decayed(now, s.cfg.RateHalfLife)
		}
		usage = append(usage, u)
	}
	return slots, usage
}
