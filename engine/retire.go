package engine

import (
	"fmt"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

func (s *Scheduler) quarantine(now time.Time, name chestnutstream.LoadName) {
	for _, srv := range s.servers {
		sl := srv.slots[name]
		if sl == nil || sl.quarantined {
			continue
		}
		sl.quarantined = true
		s.retire(now, srv, sl, true)
	}
}

// retire marks a slot as retiring. The next report notifies all instances to
// start no new request on it.
func (s *Scheduler) retire(now time.Time, srv *ownedServer, sl *ownedSlot, draining bool) {
	sl.slot.State, sl.stateSince = chestnutstream.SlotRetiring, now
	sl.draining, sl.unusedSince = draining, time.Time{}
	s.markChanged(srv)
	sl.retiredVersion = s.version
}

// advanceRetiring checks which retiring slots are no longer used by any
// instance, requests the status read that an unload requires, and makes slots
// ready again that stay in use past their timeout.
func (s *Scheduler) advanceRetiring(now time.Time, instances []string) []Action {
	var actions []Action
	for _, srv := range s.sortedServers() {
		needsStatus := false
		for _, sl := range srv.sortedSlots() {
			if sl.slot.State != chestnutstream.SlotRetiring || sl.orderPending {
				continue
			}
			if s.unusedByAll(now, srv, sl, instances) {
				if sl.unusedSince.IsZero() {
					sl.unusedSince = now
				}
				needsStatus = true
				continue
			}
			sl.unusedSince = time.Time{}
			timeout := s.cfg.RetireTimeout
			if sl.draining {
				timeout = s.cfg.DrainTimeout
			}
			if now.Sub(sl.stateSince) >= timeout && !sl.quarantined {
				sl.slot.State, sl.stateSince = chestnutstream.SlotReady, now
				s.markChanged(srv)
			}
		}
		if needsStatus {
			actions = append(actions, ReadStatus{srv.name})
		}
	}
	return actions
}

// unusedByAll reports whether no instance uses a retiring slot or can start to
// use it.
func (s *Scheduler) unusedByAll(now time.Time, srv *ownedServer, sl *ownedSlot, instances []string) bool {
	priorLeasesExpired := now.Sub(srv.holding.AcquiredAt) >= s.cfg.ReportLeaseDuration+s.cfg.ReportLeaseMargin
	for _, p := range s.peers {
		if p.applied >= sl.retiredVersion {
			if p.usage[sl.slot.Name] > 0 {
				return false
			}
			continue
		}
		if now.Sub(p.receivedAt) < s.cfg.ReportLeaseDuration || !priorLeasesExpired {
			return false
		}
	}
	for _, name := range instances {
		if s.peers[name] == nil && !priorLeasesExpired {
			return false
		}
	}
	return true
}

// unloadUnused issues the unload orders that a fresh status permits.
func (s *Scheduler) unloadUnused(now time.Time, srv *ownedServer) []Action {
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
		unloadable := sl.slot.State == chestnutstream.SlotRetiring && !sl.orderPending && !sl.unusedSince.IsZero() && !srv.statusSentAt.Before(sl.unusedSince)
		if !unloadable || requests[name] > 0 {
			continue
		}
		sl.orderPending = true
		actions = append(actions,
			UnloadOrder{Server: srv.name, Name: name, Fence: srv.holding.Fence, NotAfter: srv.holding.NotAfter},
			TraceEvent{srv.name, "unload", fmt.Sprintf("%s: no instance uses it", name)})
	}
	return actions
}
