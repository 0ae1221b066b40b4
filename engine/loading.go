package engine

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

type ticket struct {
	id      string
	created time.Time
	pri     float64
	loading bool
}

type loadBackoff struct {
	until time.Time
	pause time.Duration
}

type decayingRate struct {
	value float64
	at    time.Time
}

// maxRates bounds the adapter versions whose request rate is remembered.
const maxRates = 4096

// idleSlots counts the slots that a load could take without waiting for a
// request to end, less the loads that are on their way.
func (s *Scheduler) idleSlots(srv *ownedServer) int {
	idle := srv.status.SlotLimit - len(srv.slots)
	for name, sl := range srv.slots {
		if sl.slot.State == chestnutstream.SlotReady && s.uses(name) == 0 {
			idle++
		}
	}
	for _, t := range srv.tickets {
		if !t.loading {
			idle--
		}
	}
	return max(0, idle)
}

// uses returns the requests that use a slot, over all instances.
func (s *Scheduler) uses(name chestnutstream.LoadName) int {
	n := 0
	for _, p := range s.peers {
		n += p.uses[name]
	}
	return n
}

// addRate adds n requests to the decaying rate of an adapter version.
func (s *Scheduler) addRate(now time.Time, av chestnutstream.AdapterVersion, n float64) {
	r := s.rates[av]
	if r == nil {
		if len(s.rates) >= maxRates {
			s.forgetRates(now)
		}
		r = &decayingRate{at: now}
		s.rates[av] = r
	}
	r.value = r.read(now, s.cfg.RateHalfLife) + n
	r.at = now
}

// forgetRates drops the lower half of the remembered rates.
func (s *Scheduler) forgetRates(now time.Time) {
	values := make([]float64, 0, len(s.rates))
	for _, r := range s.rates {
		values = append(values, r.read(now, s.cfg.RateHalfLife))
	}
	sort.Float64s(values)
	median := values[len(values)/2]
	for av, r := range s.rates {
		if r.read(now, s.cfg.RateHalfLife) <= median {
			delete(s.rates, av)
		}
	}
}

func (r *decayingRate) read(now time.Time, halfLife time.Duration) float64 {
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(halfLife))
}

func (s *Scheduler) loadDone(now time.Time, srv *ownedServer, sl *ownedSlot, err error) []Action {
	av := sl.slot.AdapterVersion
	delete(srv.tickets, av)
	if err == nil {
		sl.slot.State, sl.since, sl.loadedAt, sl.lastUsed = chestnutstream.SlotReady, now, now, now
		delete(s.backoffs, av)
		return []Action{Noted{srv.name, "load", fmt.Sprintf("%s is ready", sl.slot.Name)}}
	}
	if errors.Is(err, chestnutstream.ErrLoadFailed) {
		s.backOff(now, av)
	}
	// Whether the engine has it is seen by the next status; until then the slot
	// counts as taken.
	sl.since = now
	return []Action{ReadStatus{srv.name}, Noted{srv.name, "load", err.Error()}}
}

func (s *Scheduler) backOff(now time.Time, av chestnutstream.AdapterVersion) {
	b := s.backoffs[av]
	if b == nil {
		b = &loadBackoff{pause: s.cfg.BackoffFirst}
		s.backoffs[av] = b
	} else {
		b.pause = min(2*b.pause, s.cfg.BackoffMax)
	}
	b.until = now.Add(b.pause)
}

// schedule asks for permits for the candidates of each server, and loads where
// a permit and a free slot are at hand.
func (s *Scheduler) schedule(now time.Time) []Action {
	var actions []Action
	wants := s.wantsByServer(now)
	for _, srv := range s.sorted() {
		actions = append(actions, s.scheduleServer(now, srv, wants[srv.name])...)
	}
	for av, b := range s.backoffs {
		if now.Sub(b.until) > s.cfg.BackoffMax {
			delete(s.backoffs, av)
		}
	}
	return actions
}

// wantsByServer sums up the wants of all instances that were heard lately.
func (s *Scheduler) wantsByServer(now time.Time) map[string]map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate {
	out := map[string]map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate{}
	for _, p := range s.peers {
		if now.Sub(p.heardAt) >= s.cfg.PromiseValidity {
			continue
		}
		for _, w := range p.wants {
			if s.servers[w.Server] == nil {
				continue
			}
			byAV := out[w.Server]
			if byAV == nil {
				byAV = map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate{}
				out[w.Server] = byAV
			}
			c := byAV[w.AdapterVersion]
			if c == nil {
				c = &chestnutstream.LoadCandidate{Server: w.Server, AdapterVersion: w.AdapterVersion}
				byAV[w.AdapterVersion] = c
			}
			slack := time.Duration(w.SlackMS)*time.Millisecond - now.Sub(p.heardAt)
			if c.Waiting == 0 || slack < c.Slack {
				c.Slack = slack
			}
			c.Waiting += w.Waiting
			c.Urgent += w.Urgent
			c.Weight += w.Weight
			c.Oldest = max(c.Oldest, time.Duration(w.OldestMS)*time.Millisecond+now.Sub(p.heardAt))
		}
	}
	return out
}

func (s *Scheduler) scheduleServer(now time.Time, srv *ownedServer, wants map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate) []Action {
	mayLoad := srv.reachable && !srv.status.Leaving && now.Before(srv.holding.NotAfter) && srv.status.SlotLimit > 0
	for av, t := range srv.tickets {
		if !t.loading && (!mayLoad || wants[av] == nil) {
			delete(srv.tickets, av) // a permit that it holds goes to another
		}
	}
	if !mayLoad {
		return nil
	}
	var actions []Action
	for _, c := range s.candidates(now, srv, wants) {
		t := srv.tickets[c.AdapterVersion]
		if t == nil {
			if len(srv.tickets) >= s.cfg.LoadsPerServer || !s.roomFor(now, srv, c) {
				continue
			}
			s.serial++
			t = &ticket{id: fmt.Sprintf("%s/%d", s.self, s.serial), created: now}
			srv.tickets[c.AdapterVersion] = t
		}
		t.pri = s.policy.Priority(s.measures, c)
		if s.granted[t.id] && !t.loading {
			actions = append(actions, s.useGrant(now, srv, c, t)...)
		}
	}
	return actions
}

// candidates returns what may be loaded on a server, most urgent first.
func (s *Scheduler) candidates(now time.Time, srv *ownedServer, wants map[chestnutstream.AdapterVersion]*chestnutstream.LoadCandidate) []chestnutstream.LoadCandidate {
	taken := map[chestnutstream.AdapterVersion]bool{}
	for _, sl := range srv.slots {
		if sl.slot.State != chestnutstream.SlotRetiring {
			taken[sl.slot.AdapterVersion] = true
		}
	}
	var out []chestnutstream.LoadCandidate
	for av, c := range wants {
		if b := s.backoffs[av]; taken[av] || b != nil && now.Before(b.until) {
			continue
		}
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		pi, pj := s.policy.Priority(s.measures, out[i]), s.policy.Priority(s.measures, out[j])
		if pi != pj {
			return pi > pj
		}
		return out[i].AdapterVersion.String() < out[j].AdapterVersion.String()
	})
	return out
}

// freeSlots returns the engine's free slots, and how many are becoming free.
func (srv *ownedServer) freeSlots() (free, retiring int) {
	for _, sl := range srv.slots {
		if sl.slot.State == chestnutstream.SlotRetiring {
			retiring++
		}
	}
	return srv.status.SlotLimit - len(srv.slots), retiring
}

// roomFor reports whether a candidate would find a slot, free or to be freed.
func (s *Scheduler) roomFor(now time.Time, srv *ownedServer, c chestnutstream.LoadCandidate) bool {
	free, retiring := srv.freeSlots()
	waiting := 0
	for _, t := range srv.tickets {
		if !t.loading {
			waiting++
		}
	}
	if free+retiring > waiting {
		return true
	}
	slots, uses := s.slotUses(now, srv)
	i, _ := s.policy.Victim(now, s.measures, c, uses)
	return i >= 0 && len(slots) > waiting-free-retiring
}

func (s *Scheduler) useGrant(now time.Time, srv *ownedServer, c chestnutstream.LoadCandidate, t *ticket) []Action {
	free, retiring := srv.freeSlots()
	if free > 0 {
		t.loading = true
		return s.load(now, srv, c.AdapterVersion)
	}
	if retiring > 0 {
		return nil // wait for that one
	}
	slots, uses := s.slotUses(now, srv)
	i, draining := s.policy.Victim(now, s.measures, c, uses)
	if i < 0 {
		delete(srv.tickets, c.AdapterVersion)
		return nil
	}
	s.retire(now, srv, slots[i], draining)
	return []Action{Noted{srv.name, "retire", fmt.Sprintf("%s makes room for %s", slots[i].slot.Name, c.AdapterVersion)}}
}

func (s *Scheduler) load(now time.Time, srv *ownedServer, av chestnutstream.AdapterVersion) []Action {
	s.serial++
	name := chestnutstream.NewLoadName(av, fmt.Sprintf("%s.%x.%d", s.self, srv.holding.Fence, s.serial))
	srv.slots[name] = &ownedSlot{
		slot:  chestnutstream.Slot{Name: name, AdapterVersion: av, State: chestnutstream.SlotLoading},
		since: now, ordered: true,
	}
	s.touch(srv)
	return []Action{
		LoadOrder{Server: srv.name, Name: name, Fence: srv.holding.Fence, NotAfter: srv.holding.NotAfter},
		Noted{srv.name, "load", string(name)},
	}
}

// slotUses returns the ready slots of a server and how they are used.
func (s *Scheduler) slotUses(now time.Time, srv *ownedServer) ([]*ownedSlot, []chestnutstream.SlotUse) {
	var slots []*ownedSlot
	for _, sl := range srv.sortedSlots() {
		if sl.slot.State == chestnutstream.SlotReady {
			slots = append(slots, sl)
		}
	}
	uses := make([]chestnutstream.SlotUse, 0, len(slots))
	for _, sl := range slots {
		u := chestnutstream.SlotUse{Slot: sl.slot, Uses: s.uses(sl.slot.Name), LastUsed: sl.lastUsed, LoadedAt: sl.loadedAt}
		if r := s.rates[sl.slot.AdapterVersion]; r != nil {
			u.Rate = r.read(now, s.cfg.RateHalfLife)
		}
		uses = append(uses, u)
	}
	return slots, uses
}
