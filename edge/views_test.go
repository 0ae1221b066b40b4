package edge

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
)

// A feed that the store held to the end of its wait, though there were rows, is
// told apart from one with nothing to tell.
func TestOverdueFeedIsReported(t *testing.T) {
	n := idleNode(t, "a")
	row := []chestnutstream.TableRow{{Key: "config", Version: 7}}
	steps := []struct {
		name string
		took time.Duration
		rows []chestnutstream.TableRow
		want uint64
	}{
		{"nothing new", operatorWait, nil, 0},
		{"news at once", 3 * time.Millisecond, row, 0},
		{"news at the end of the wait", operatorWait + 4*time.Millisecond, row, 1},
	}
	for _, s := range steps {
		n.feedTook(platform.TableOperator, 6, s.took, operatorWait, s.rows)
		counted := n.metrics.GetOrCreateCounter(`chestnutstream_feeds_overdue_total{table="op"}`).Get()
		assert.Equal(t, counted, s.want, s.name)
	}
}

// The feed of the operator's table that a reader waits for leaves as much of the
// bound on configurations for all that comes after it.
func TestReadersWaitForPartOfTheBound(t *testing.T) {
	cases := []struct{ bound, want time.Duration }{
		{2 * time.Second, time.Second},
		{3 * time.Second, 1500 * time.Millisecond},
		{9 * time.Second, 4500 * time.Millisecond},
		{time.Minute, operatorWait},
		{100 * time.Millisecond, operatorWaitLeast},
	}
	for _, c := range cases {
		n := &Node{cfg: platform.Settings{ConfigApply: c.bound}}
		assert.Equal(t, n.operatorReadWait(), c.want, "%v", c.bound)
	}
}

// Feeds that begin just after the store has dropped its history may hear of no
// change until their wait ends: configurations and adapter versions that come
// after are in force in time all the same, also when the zone's reader has gone.
func TestChangesAreInForceThoughFeedsAreDeaf(t *testing.T) {
	cases := []struct {
		name       string
		instances  int
		readerGone bool
	}{
		{"with the reader", 3, false},
		{"the reader has just gone", 3, true},
		{"with the reader, in a large zone", ownFeeds + 1, false},
		{"the reader has just gone, in a large zone", ownFeeds + 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 3)
			all := s.instances(c.instances)
			s.owned(1, all...)
			time.Sleep(leasesSoon) // until then each reads for itself
			s.store.Forget()
			s.store.Deafen(true)
			s.store.Put(platform.TableOperator, "other", []byte("{}")) // ends the feeds that wait
			time.Sleep(time.Second)
			s.store.Deafen(false)
			time.Sleep(2 * time.Second) // until the store counts as stable
			if c.readerGone {
				readers, _ := all[0].Node().zoneReaders(platform.TableOperator)
				gone := slices.IndexFunc(all, func(in *running) bool { return in.cfg.Instance == readers[0] })
				all[gone].Close()
				all = slices.Delete(all, gone, gone+1)
			}
			for version := 2; version <= 3; version++ {
				s.change(version, all...)
			}
		})
	}
}

// change makes a configuration and a version of m/a1 and waits until they are in
// force on instances.
func (s *site) change(version int, instances ...*running) {
	s.t.Helper()
	s.configure(fmt.Sprintf(`{"name":"new","host":"h.example","prefix":"/new%d/","type":"idempotent","maxAttempts":1,"timeoutMs":2000,"service":"desk"}`, version))
	s.store.Put(platform.TableOperator, "version/m.a1", fmt.Appendf(nil, `{"model":"m","adapter":"a1","version":%d}`, version))
	changed := time.Now()
	for _, in := range instances {
		eventually(s.t, "the configuration and the version are in force", func() bool {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.table.Load().Version == s.version && n.fleet.Version(adapterOf("m/a1")) == version
		})
		took := time.Since(changed)
		assert.Assert(s.t, took < operatorWait/2, "after %v, with the end of the feed's wait", took)
		citest.Timely(s.t, took, 2*time.Second)
	}
}
