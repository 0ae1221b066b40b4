package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
)

// The logs must tell a server's change that came late from one that never came.
func TestServerChangesAreLoggedWithSourceAndViewAge(t *testing.T) {
	t.Parallel()
	s := newTestSite(t, 1, 3)
	all := []*testInstance{s.instance("edge-a"), s.instance("edge-b")}
	s.awaitOwners(1, all...)
	s.store.Remove(platform.TableServers, "i-desk-0")
	for _, in := range all {
		eventually(t, "a change of the server is logged", func() bool {
			for _, change := range in.log.with("server entry changed") {
				if change["server"] == "i-desk-0" && change["change"] != "new" {
					_, hasAge := change["view-ms"].(int64)
					assert.Assert(t, change["source"] != "" && hasAge, "%v", change)
					return true
				}
			}
			return false
		})
	}
}
