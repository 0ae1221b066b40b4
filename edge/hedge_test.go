package edge

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// One read without a response kept the list of servers unknown until its timeout, beyond the time limit for servers that leave.
func TestStalledReadDoesNotDelayTheNextOne(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	store.Put(platform.TableServers, "i-1", []byte("{}"))
	var feeds, stalled atomic.Int64
	l := listen(t)
	serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/rows-feed") && feeds.Add(1)%2 == 0 {
			stalled.Add(1)
			<-r.Context().Done()
			return
		}
		store.ServeHTTP(w, r)
	}))
	n := newNode(platform.Settings{Instance: "edge-a", Zone: "z", Store: l.Addr().String()}, &log.Logger{Handler: discard.New()}, timer.NewSystem(), timer.Boot)
	t.Cleanup(n.cancel)
	for _, w := range n.watches() {
		if w.table == platform.TableServers {
			go n.watch(w)
		}
	}
	eventually(t, "three reads had no response", func() bool { return stalled.Load() >= 3 })
	eventually(t, "a read after them had one", func() bool { return feeds.Load() >= 7 })
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.view(platform.TableServers)
	assert.Assert(t, v.failedAt.IsZero(), "a read failed")
}

// A store that is slow, or away, gets no second call for each read.
func TestSlowReadsAreNotRepeated(t *testing.T) {
	n := idleNode(t, "a")
	start := n.now()
	n.recordRead(platform.TableServers, 1, start)
	n.recordReadDuration(platform.TableServers, time.Second)
	delay, ok := n.hedgeDelay(platform.TableServers)
	assert.Assert(t, ok && delay > time.Second, "%v %v", delay, ok)
	n.recordStoreFailure(platform.TableServers, http.ErrHandlerTimeout)
	_, ok = n.hedgeDelay(platform.TableServers)
	assert.Assert(t, !ok)
}
