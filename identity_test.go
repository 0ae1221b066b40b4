package chestnutstream

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two processes that may run at the same time under one identity.
func TestIdentityIsOfOneProcessAtATime(t *testing.T) {
	long := strings.Repeat("é", 120)
	for _, c := range []struct {
		name, otherName, address, otherAddress string
		same                                   bool
		id                                     string // of the first; empty: any
	}{
		{"edge-a", "edge-a", "10.1.0.38:8144", "10.1.0.38:8144", true, "edge-a@10.1.0.38:8144"},
		{"edge-a", "edge-a", "10.1.0.38:8144", "10.1.0.39:8144", false, ""},
		{"edge-a", "edge-a", "10.1.0.38:8144", "10.1.0.38:8145", false, ""},
		{"edge-a", "edge-b", "10.1.0.38:8144", "10.1.0.38:8144", false, ""},
		{"edge-a", "edge-a", "[fd00::1]:8144", "[fd00::1]:8144", true, "edge-a@[fd00::1]:8144"},
		{"edge-a", "edge-a", "edge-a.example:8144", "edge-a.example:8144", true, ""},
		{"edge-a", "edge-a", "0.0.0.0:8144", "0.0.0.0:8144", false, ""},
		{"edge-a", "edge-a", "[::]:8144", "[::]:8144", false, ""},
		{"edge-a", "edge-a", ":8144", ":8144", false, ""},
		{"edge-a", "edge-a", "10.1.0.38:0", "10.1.0.38:0", false, ""},
		{"edge-a", "edge-a", "", "", true, "edge-a"},
		{long, long, "10.1.0.38:8144", "10.1.0.38:8144", true, ""},
		{long, long, "10.1.0.38:8144", "10.1.0.39:8144", false, ""},
		{long, long + "b", "10.1.0.38:8144", "10.1.0.38:8144", false, ""},
		{"edge-a", "edge-a", long + ":8144", long + ":8145", false, ""},
	} {
		t.Run(c.name[:min(len(c.name), 8)]+" "+c.address, func(t *testing.T) {
			id, other := InstanceIdentity(c.name, c.address, 7), InstanceIdentity(c.otherName, c.otherAddress, 8)
			assert.Equal(t, id == other, c.same, "%q and %q", id, other)
			assert.Assert(t, c.id == "" || c.id == id, id)
			assert.Assert(t, len(id) <= maxIdentityName+1+maxIdentityAddress, "%d bytes", len(id))
			assert.Equal(t, id, strings.ToValidUTF8(id, ""))
			if len(c.name) < 20 {
				assert.Equal(t, InstanceName(id), c.name)
			}
		})
	}
}

// Guards against an identity that another instance derives otherwise from the name in it.
func TestIdentityOfTheNameInAnIdentityIsTheSame(t *testing.T) {
	for _, name := range []string{"edge-a", "a@b", strings.Repeat("é", 120)} {
		id := InstanceIdentity(name, "10.1.0.38:8144", 7)
		assert.Equal(t, InstanceIdentity(InstanceName(id), "10.1.0.38:8144", 0), id)
	}
}
