package entry

import (
	"sort"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/peer"
)

// aliveIntervals is the number of State intervals after which a peer that was
// not heard no longer counts as alive.
const aliveIntervals = 4

// unheardIntervals is the number of State intervals after which the owner of an
// engine that checks fencing numbers is replaced.
const unheardIntervals = 3

// forgetAfter is how long a peer that is on no list and not heard is kept.
const forgetAfter = time.Minute

// members joins the platform's lagging list with what peers say. A peer's own
// word that it is leaving wins at once.
type members struct {
	self  peer.Member
	peers map[string]*memberState
	names []string // of all, sorted; made anew when their number changes
	// Backend servers of the list, by name.
	addresses map[string]string
	leaving   map[string]bool
}

type memberState struct {
	member      peer.Member
	incarnation uint64
	heardAt     time.Time
	addedAt     time.Time
	listed      bool
	leaving     bool
	revision    uint64
	owned       []string
	applied     uint64 // newest report version of this peer that was applied
}

func newMembers(self peer.Member) *members {
	return &members{self: self, peers: map[string]*memberState{}, addresses: map[string]string{}, leaving: map[string]bool{}}
}

// list takes the platform's list and returns the peers to link and to forget.
func (m *members) list(now time.Time, rows []chestnutstream.Instance) (add []peer.Member, gone []string) {
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
		if row.Region != m.self.Region || row.Name == m.self.Name {
			continue
		}
		member := peer.Member{Name: row.Name, Address: row.Address, Region: row.Region, Zone: row.Zone}
		p := m.peer(now, member)
		p.listed = true
		if row.State == chestnutstream.Leaving {
			p.leaving = true
		}
		add = append(add, member)
	}
	for name, p := range m.peers {
		if !p.listed && now.Sub(p.heardAt) > forgetAfter && now.Sub(p.addedAt) > forgetAfter {
			delete(m.peers, name)
			m.names = nil
			gone = append(gone, name)
		}
	}
	return add, gone
}

func (m *members) peer(now time.Time, member peer.Member) *memberState {
	p := m.peers[member.Name]
	if p == nil {
		p = &memberState{addedAt: now}
		m.peers[member.Name] = p
	}
	p.member = member
	return p
}

// heard takes a peer's State.
func (m *members) heard(h peer.Heard) *memberState {
	p := m.peer(h.At, h.From)
	if p.incarnation != h.Incarnation {
		p.incarnation, p.applied, p.leaving, p.owned = h.Incarnation, 0, false, nil
	}
	p.heardAt, p.revision = h.At, h.State.Revision
	p.leaving = h.State.Leaving
	return p
}

// alive returns the names of the instances that pass the filter, this one
// included unless it is leaving, sorted.
func (m *members) alive(now time.Time, limit time.Duration, selfLeaving bool, filter func(peer.Member) bool) []string {
	var names []string
	if !selfLeaving && filter(m.self) {
		names = append(names, m.self.Name)
	}
	for name, p := range m.peers {
		if !p.leaving && now.Sub(p.heardAt) < limit && filter(p.member) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// all returns the names of all instances of the region that are known.
func (m *members) all() []string {
	if len(m.names) == len(m.peers)+1 {
		return m.names
	}
	names := []string{m.self.Name}
	for name := range m.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	m.names = names
	return names
}

func (m *members) known() []peer.Member {
	out := make([]peer.Member, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, p.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
