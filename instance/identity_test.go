package instance

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// Guards against a member whose connection is lost to another one of its name.
func TestMembersOfOneNameAreAllConnected(t *testing.T) {
	a, ar, self := newTestMesh(t, "a@here")
	var all []string
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		m, _, member := newTestMeshAt(t, Member{Name: chestnutstream.InstanceIdentity("b", l.Addr().String(), 1), Address: l.Addr().String()}, l)
		m.Add(self)
		all = append(all, member.Name)
	}
	connected := func() bool { return a.Connected(all[0]) && a.Connected(all[1]) }
	eventually(t, "both are connected", connected)
	for range 20 {
		assert.Assert(t, connected())
		time.Sleep(10 * time.Millisecond)
	}
	ar.mu.Lock()
	defer ar.mu.Unlock()
	assert.Equal(t, ar.down, 0)
}

// Guards against messages that an instance gets twice, over connections to it under two
// names: its own and that of an earlier process or release.
func TestAddressHasOneConnection(t *testing.T) {
	a, ar, self := newTestMesh(t, "a@here")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_, _, member := newTestMeshAt(t, Member{Name: chestnutstream.InstanceIdentity("b", l.Addr().String(), 1), Address: l.Addr().String()}, l)
	a.Add(Member{Name: "b", Address: member.Address})
	eventually(t, "connected under the own name only", func() bool { return a.Connected(member.Name) && !a.Connected("b") })
	eventually(t, "the loss of the earlier one is reported", func() bool {
		ar.mu.Lock()
		defer ar.mu.Unlock()
		return ar.down == 1
	})
	a.Add(Member{Name: "b", Address: member.Address})
	a.Add(Member{Name: "c", Address: self.Address})
	assert.Equal(t, fmt.Sprint(a.Peers()), fmt.Sprint([]string{member.Name}))
	assert.Equal(t, len(a.links), 1)
}

// Guards against connections that are dialled for ever after each restart at another
// address.
func TestMemberThatHasMovedIsRemoved(t *testing.T) {
	for _, c := range []struct {
		name    string
		other   string // a member that is connected
		down    time.Duration
		removed bool
	}{
		{"moved", "b", movedTimeout, true},
		{"down for a moment", "b", movedTimeout - time.Second, false},
		{"no other of its name", "c", movedTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, _, _ := newTestMesh(t, "a@here")
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			_, _, member := newTestMeshAt(t, Member{Name: chestnutstream.InstanceIdentity(c.other, l.Addr().String(), 1), Address: l.Addr().String()}, l)
			a.Add(member)
			gone := Member{Name: "b@127.0.0.1:1", Address: "127.0.0.1:1"}
			a.Add(gone)
			eventually(t, "connected", func() bool { return a.Connected(member.Name) })
			a.mu.Lock()
			lost := a.links[gone.Name]
			a.mu.Unlock()
			assert.Equal(t, a.removeMoved(lost, time.Now().Add(-c.down)), c.removed)
			a.mu.Lock()
			defer a.mu.Unlock()
			assert.Equal(t, a.links[gone.Name] == nil, c.removed)
		})
	}
}
