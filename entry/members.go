package entry

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/peer"
)

// aliveIntervals is the number of State intervals without a message after which
// a peer no longer counts as alive.
const aliveIntervals = 4

// ownerTimeoutIntervals is the number of State intervals without a message after
// which the owner of an engine that checks fencing tokens is replaced.
const ownerTimeoutIntervals = 3

// peerRetention is how long a peer is kept that is not in the platform's list
// and sends nothing.
const peerRetention = time.Minute

// members combines the platform's instance list, which lags, with the States
// that peers send. A State that shows its sender as leaving takes effect at once.
type members struct {
	self        peer.Member
	peers       map[string]*memberState
	sortedNames []string // cache of allNames; rebuilt when the number of peers changes
	// Backend servers in the platform's list, by name.
	addresses map[string]string
	leaving   map[string]bool
}

// memberState is what this instance knows of a peer.
type memberState struct {
	member         peer.Member
	incarnation    uint64
	receivedAt     time.Time // last State
	addedAt        time.Time
	listed         bool // in the platform's list
	leaving        bool
	revision       uint64 // of its active configuration
	ownedServers   []string
	appliedVersion uint64 // latest report version of this peer that was applied
}

func newMembers(self peer.Member) *members {
	return &members{self: self, peers: map[string]*memberState{}, addresses: map[string]string{}, leaving: map[string]bool{}}
}

// update applies the platform's list and returns the peers to link and those
// that were removed.
func (m *members) update(now time.Time, rows []chestnutstream.Instance) (add []peer.Member, removed []string) {
	m.addresses, m.leaving = map[string]string{}, map[string]bool{}
	for _, p := range m.peers {
		p.listed = false
	}
	for _, row := range rows {
		if row.Role == chestnutstream.RoleBackend {
			m.addresses[row.Name] = row.Address
			m.leaving[row.Name] = row.State == chestnutstream.Leaving
			continue
		}
		if row.Region != m.self.Region || row.Address == m.self.Address {
			continue
		}
		member := peer.Member{Name: chestnutstream.InstanceIdentity(row.Name, row.Address, 0), Address: row.Address, Region: row.Region, Zone: row.Zone}
		p := m.ensurePeer(now, member)
		p.listed = true
		if row.State == chestnutstream.Leaving {
			p.leaving = true
		}
		add = append(add, member)
	}
	for name, p := range m.peers {
		if !p.listed && now.Sub(p.receivedAt) > peerRetention && now.Sub(p.addedAt) > peerRetention {
			delete(m.peers, name)
			m.sortedNames = nil
			removed = append(removed, name)
		}
	}
	return add, removed
}

// ensurePeer adds a peer or updates its Member, and returns its state.
func (m *members) ensurePeer(now time.Time, member peer.Member) *memberState {
	p := m.peers[member.Name]
	if p == nil {
		p = &memberState{addedAt: now}
		m.peers[member.Name] = p
	}
	p.member = member
	return p
}

// recordState records the arrival of a peer's State.
func (m *members) recordState(received peer.ReceivedState) *memberState {
	p := m.ensurePeer(received.ReceivedAt, received.From)
	if p.incarnation != received.Incarnation {
		p.incarnation, p.appliedVersion, p.leaving, p.ownedServers = received.Incarnation, 0, false, nil
	}
	p.receivedAt, p.revision = received.ReceivedAt, received.State.Revision
	p.leaving = received.State.Leaving
	return p
}

// alive returns the sorted names of the live instances that pass the filter,
// including this one unless it is draining.
func (m *members) alive(now time.Time, timeout time.Duration, selfDraining bool, filter func(peer.Member) bool) []string {
	var names []string
	if !selfDraining && filter(m.self) {
		names = append(names, m.self.Name)
	}
	for name, p := range m.peers {
		if !p.leaving && now.Sub(p.receivedAt) < timeout && filter(p.member) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// allNames returns the sorted names of all known instances of the region.
func (m *members) allNames() []string {
	if len(m.sortedNames) == len(m.peers)+1 {
		return m.sortedNames
	}
	names := []string{m.self.Name}
	for name := range m.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	m.sortedNames = names
	return names
}

// peerMembers returns all known peers, sorted by name.
func (m *members) peerMembers() []peer.Member {
	out := make([]peer.Member, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, p.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
