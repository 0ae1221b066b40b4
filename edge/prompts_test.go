package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/platform"
)

// Guards against prompts that the instance does not learn from, against other instances that are
// not told of the shared beginning of a large prompt, and against any of it where the servers
// have stated no pace.
func TestInstancesKnowWhatEnginesKeepOfPrompts(t *testing.T) {
	t.Parallel()
	for _, on := range []bool{true, false} {
		s := newTestSite(t, 1, 3)
		instances := s.instances(2)
		s.awaitOwners(1, instances...)
		a, b := instances[0], instances[1]
		engine := ""
		for _, in := range instances {
			n := in.Node()
			n.mu.Lock()
			engine = n.fleet.Service("assistant")[0].ID
			if on {
				n.fleet.RecordPace(n.now(), engine, 1)
			}
			n.mu.Unlock()
		}
		eventually(t, "the instances are connected", func() bool { return len(a.Node().mesh.Peers()) == 1 })
		r := fleet.Request{Service: "assistant", Target: adapterOf("m/a1"), Version: 1, Prompt: chestnutstream.Prompt{Tokens: 9000, Parts: []chestnutstream.PromptPart{{ID: "p1", Tokens: 6300}, {ID: "other", Tokens: 2700, Own: true}}}}
		cached := func(in *testInstance) int {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.fleet.CachedTokens(n.now(), engine, r)
		}
		assert.Equal(t, cached(a)+cached(b), 0)
		for i := range 2 {
			eventually(t, "the request is served", func() bool { // on a busy machine the adapter may load too late for the first one
				status, _, _, err := sendHeaders(a, "POST", "/ask/1", newRequestID(), map[string]string{
					platform.HeaderModel: "m/a1", platform.HeaderTokens: "9190,25", platform.HeaderPromptParts: fmt.Sprintf("p1:6300,own%d:2890", i),
				})
				assert.NilError(t, err)
				return status == 200
			})
		}
		if !on {
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, cached(a)+cached(b), 0)
			continue
		}
		eventually(t, "both instances know", func() bool { return cached(a) == 6300 && cached(b) == 6300 })
		requests := a.log.with("request")
		assert.Equal(t, requests[len(requests)-1]["cached-tokens"], 6300)
	}
}
