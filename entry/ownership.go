package entry

import (
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/peer"
)

// ownershipTick passes the state of the lease and the live instances of the zone
// to the ownership module.
func (n *Node) ownershipTick(now time.Time) {
	n.mu.Lock()
	l := n.lease.State()
	actions := n.ownership.Step(now, engine.LeaseState{ValidUntil: l.ValidUntil, Version: l.Version, Era: l.Era, KeptUntil: l.KeptUntil, Incarnation: l.Incarnation})
	alive := n.members.alive(now, n.aliveTimeout(), n.draining.Load(), func(m peer.Member) bool { return m.Zone == n.self.Zone })
	actions = append(actions, n.ownership.Step(now, engine.ZoneTick{Alive: alive, MinOwnerTimeout: ownerTimeoutIntervals * n.mesh.Interval()})...)
	for _, name := range n.ownership.Watched() {
		if _, valid := n.ownership.Valid(now, name); !valid {
			actions = append(actions, engine.ReadStatus{Server: name})
		}
	}
	n.mu.Unlock()
	n.execute(actions)
}

func (n *Node) renewLease() {
	if err := n.lease.Renew(n.ctx); err != nil {
		n.log.WithError(err).Warn("lease renewal failed")
	}
}

// recordRestore records that the store has returned from a copy. It does not call the store.
func (n *Node) recordRestore(old, era uint64) {
	n.log.WithFields(log.Fields{"old": old, "era": era}).Warn("store returned from a copy")
	n.claims.StoreRestored(era)
}
