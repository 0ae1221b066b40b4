package engine

import (
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

func (s *Scheduler) quarantine(now time.Time, name chestnutstream.LoadName) {
	for _, srv := range s.servers {
		sl := srv.slots[name]
		if sl == nil || sl.quarantine {
			continue
		}
		sl.quarantine = true
		s.retire(now, srv, sl, true)
	}
}

// retire tells all instances to start no new use of a slot.
func (s *Scheduler) retire(now time.Time, srv *ownedServer, sl *ownedSlot, draining bool) {
	sl.slot.State, sl.since = chestnutstream.SlotRetiring, now
	sl.draining, sl.clearAt = draining, time.Time{}
	s.touch(srv)
	sl.retired = s.version
}

// advanceRetiring looks which retiring slots no instance uses any more, asks
// for the status read that an unload needs, and gives up on slots that stay in
// use.
func (s *Scheduler) advanceRetiring(now time.Time, instances []string) []Action {
	var actions []Action
	for _, srv := range s.sorted() {
		ask := false
		for _, sl := range srv.sortedSlots() {
			if sl.slot.State != chestnutstream.SlotRetiring || sl.ordered {
				continue
			}
			if s.clear(now, srv, sl, instances) {
				if sl.clearAt.IsZero() {
					sl.clearAt = now
				}
				ask = true
				continue
			}
			sl.clearAt = time.Time{}
			timeout := s.cfg.RetireTimeout
			if sl.draining {
				timeout = s.cfg.DrainTimeout
			}
			if now.Sub(sl.since) >= timeout && !sl.quarantine {
				sl.slot.State, sl.since = chestnutstream.SlotReady, now
				s.touch(srv)
			}
		}
		if ask {
			actions = append(actions, ReadStatus{srv.name})
		}
	}
	return actions
}

// clear reports whether no instance uses a retiring slot or can begin to.
func (s *Scheduler) clear(now time.Time, srv *ownedServer, sl *ownedSlot, instances []string) bool {
	settled := now.Sub(srv.holding.AcquiredAt) >= s.cfg.PromiseValidity+s.cfg.PromiseSlack
	for _, p := range s.peers {
		if p.applied >= sl.retired {
			if p.uses[sl.slot.Name] > 0 {
				return false
			}
			continue
		}
		if now.Sub(p.heardAt) < s.cfg.PromiseValidity || !settled {
			return false
		}
	}
	for _, name := range instances {
		if s.peers[name] == nil && !settled {
			return false
		}
	}
	return true
}

// unloadClear gives the unload orders that a fresh status allows.
func (s *Scheduler) unloadClear(now time.Time, srv *ownedServer) []Action {
	if !now.Before(srv.holding.NotAfter) {
		return nil
	}
	requests := map[chestnutstream.LoadName]int{}
	for _, es := range srv.status.Slots {
		requests[es.Name] = len(es.Requests)
	}
	var actions []Action
	for _, sl := range srv.sortedSlots() {
		name := sl.slot.Name
		ready := sl.slot.State == chestnutstream.SlotRetiring && !sl.ordered && !sl.clearAt.IsZero() && !srv.statusSent.Before(sl.clearAt)
		if !ready || requests[name] > 0 {
			continue
		}
		sl.ordered = true
		actions = append(actions,
			UnloadOrder{Server: srv.name, Name: name, Fence: srv.holding.Fence, NotAfter: srv.holding.NotAfter},
			Noted{srv.name, "unload", fmt.Sprintf("%s: no instance uses it", name)})
	}
	return actions
}
