package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
)

// A request that waits for a load is not answered by the older version when a
// newer one is declared meanwhile.
func TestVersionDeclaredWhileARequestWaits(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0, 0)
	s.backend(standin.BackendSettings{
		ID: "i-engine-0", Service: "assistant", Slots: 16, AdapterSlots: 3, Model: "m",
		Work: 5 * time.Millisecond, Events: 5, LoadTime: 400 * time.Millisecond, ModelTime: 300 * time.Millisecond,
	})
	in := s.instance("edge-a")
	s.owned(1, in)
	status, _, err := ask(in, "POST", "/ask/1", "m/a0") // the engine's state is known then
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	go func() {
		time.Sleep(150 * time.Millisecond)
		s.store.Put(platform.TableOperator, "version/m.a1", []byte(`{"model":"m","adapter":"a1","version":2}`))
	}()
	status, body, version, err := askVersion(in, "POST", "/ask/1", "m/a1")
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, whole("m/a1"))
	assert.Equal(t, version, "2")
	s.judge()
}
