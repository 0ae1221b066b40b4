package edge

import (
	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
)

// updateSameName updates the instances that have the name of this one at another address,
// as with a copied settings file, from the holders of leases and the connected instances.
// It returns those that are new.
func (n *Node) updateSameName(holders []lease.Holder) (added []instance.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := map[string]bool{}
	consider := func(m instance.Member) {
		if m.Name == n.id || m.Address == n.cfg.PeerAddress || chestnutstream.InstanceName(m.Name) != chestnutstream.InstanceName(n.id) || current[m.Name] {
			return
		}
		current[m.Name] = true
		if !n.sameName[m.Name] {
			added = append(added, m)
		}
	}
	for _, h := range holders {
		consider(instance.Member{Name: h.Name, Address: h.Address})
	}
	for _, p := range n.peers {
		consider(p.member)
	}
	n.sameName = current
	return added
}

func (n *Node) logSameName(added []instance.Member) {
	for _, m := range added {
		n.log.WithFields(log.Fields{"peer": m.Name, "address": m.Address, "own-address": n.cfg.PeerAddress}).Warn("another instance has the name of this one")
	}
}

// sameNameCount returns the number of instances that have the name of this one.
func (n *Node) sameNameCount() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(len(n.sameName))
}
