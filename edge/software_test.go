package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/standin"
)

// softwareEngine starts an engine of a software version.
func (s *testSite) softwareEngine(id, software string) *standin.Backend {
	return s.backend(standin.BackendSettings{
		ID: id, Service: "assistant", Slots: 16, AdapterSlots: 4, Model: "m", Software: software,
		ServiceTime: 20 * time.Millisecond, Events: 5, LoadTime: 50 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond,
	})
}

// joinsVersions reports whether a stream has events from two software versions.
func joinsVersions(body string) bool {
	return strings.Contains(body, " by v1") && strings.Contains(body, " by v2")
}

func TestBrokenStreamsContinueOnTheirSoftwareVersion(t *testing.T) {
	s := newTestSite(t, 0, 3)
	for i := range 2 {
		s.softwareEngine(fmt.Sprint("i-old-", i), "v1")
		s.softwareEngine(fmt.Sprint("i-new-", i), "v2")
	}
	in := s.instance("edge-a")
	s.awaitOwners(4, in)
	for _, id := range []int{2, 3} { // an engine of each version; newTestSite has started two plain servers
		s.backends[id].SetFaults(standin.BackendFaults{BreakAfter: 2})
	}
	broken, whole := 0, 0
	for i := range 40 {
		_, body, err := sendRequest(in, "POST", "/ask/1", fmt.Sprintf("m/a%d", i%4))
		assert.Assert(t, !joinsVersions(body), "joined from two versions: %q", body)
		if err != nil {
			broken++
		} else if strings.Count(body, "\n\n") == 5 {
			whole++
		}
	}
	assert.Assert(t, whole >= 36, "%d whole, %d broken off", whole, broken)
}
