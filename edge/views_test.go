package edge

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/citest"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/standin"
	"github.com/chestnutstream/chestnutstream/timer"
)

// A poll that the store held to the end of its wait although there were rows is counted,
// unlike one that ended without changes.
func TestOverduePollIsReported(t *testing.T) {
	n := idleNode(t, "a")
	row := []chestnutstream.TableRow{{Key: "config", Version: 7}}
	steps := []struct {
		name string
		took time.Duration
		rows []chestnutstream.TableRow
		want uint64
	}{
		{"no changes", operatorPollWait, nil, 0},
		{"changes at once", 3 * time.Millisecond, row, 0},
		{"changes at the end of the wait", operatorPollWait + 4*time.Millisecond, row, 1},
	}
	for _, s := range steps {
		n.reportOverduePoll(platform.TableOperator, 6, s.took, operatorPollWait, s.rows)
		counted := n.metrics.GetOrCreateCounter(`chestnutstream_feeds_overdue_total{table="op"}`).Get()
		assert.Equal(t, counted, s.want, s.name)
	}
}

// A reader's poll of the operator table takes half of the time limit for configurations
// and leaves the other half for what follows.
func TestReaderPollIsPartOfApplyLimit(t *testing.T) {
	cases := []struct{ limit, want time.Duration }{
		{2 * time.Second, time.Second},
		{3 * time.Second, 1500 * time.Millisecond},
		{9 * time.Second, 4500 * time.Millisecond},
		{time.Minute, operatorPollWait},
		{100 * time.Millisecond, minOperatorPollWait},
	}
	for _, c := range cases {
		n := &Node{cfg: platform.Settings{ConfigApplyBound: c.limit}}
		assert.Equal(t, n.operatorReaderWait(), c.want, "%v", c.limit)
	}
}

// Polls that start just after the store has dropped its history may miss all changes
// until their wait ends. Configurations and adapter versions that follow must still
// apply in time, also when the zone's reader has stopped.
func TestChangesApplyWhenPollsMissThem(t *testing.T) {
	cases := []struct {
		name          string
		instances     int
		readerStopped bool
	}{
		{"with the reader", 3, false},
		{"the reader has just stopped", 3, true},
		{"with the reader, in a large zone", readersOnlyZoneSize + 1, false},
		{"the reader has just stopped, in a large zone", readersOnlyZoneSize + 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSite(t, 1, 3)
			all := s.instances(c.instances)
			s.awaitOwners(1, all...)
			time.Sleep(startLeasesPeriod) // until then each instance reads all tables itself
			s.store.DropHistory()
			s.store.SuppressUpdates(true)
			s.store.Put(platform.TableOperator, "other", []byte("{}")) // ends the polls in progress
			time.Sleep(time.Second)
			s.store.SuppressUpdates(false)
			time.Sleep(2 * time.Second) // until the store counts as stable
			if c.readerStopped {
				readers, _ := all[0].Node().zoneReaders(platform.TableOperator)
				stopped := slices.IndexFunc(all, func(in *testInstance) bool { return in.Node().id == readers[0] })
				all[stopped].Close()
				all = slices.Delete(all, stopped, stopped+1)
			}
			for version := 2; version <= 3; version++ {
				s.change(version, all...)
			}
		})
	}
}

// change writes a configuration and a version of m/a1 and waits until they are in force
// on the given instances.
func (s *testSite) change(version int, instances ...*testInstance) {
	s.t.Helper()
	s.configure(fmt.Sprintf(`{"name":"new","host":"h.example","prefix":"/new%d/","type":"idempotent","maxAttempts":1,"timeoutMs":2000,"service":"desk"}`, version))
	s.store.Put(platform.TableOperator, "version/m.a1", fmt.Appendf(nil, `{"model":"m","adapter":"a1","version":%d}`, version))
	changed := time.Now()
	for _, in := range instances {
		eventually(s.t, "the configuration and the version are in force", func() bool {
			n := in.Node()
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.routes.Load().Version == s.version && n.fleet.Version(adapterOf("m/a1")) == version
		})
		took := time.Since(changed)
		assert.Assert(s.t, took < operatorPollWait/2, "after %v, with the end of the poll's wait", took)
		citest.CheckDuration(s.t, took, 2*time.Second)
	}
}

// A read says what the store had when it was sent, however late its response comes.
func TestReadsOfPacedTablesCountFromTheirBegin(t *testing.T) {
	t.Parallel()
	const delay = 250 * time.Millisecond
	store := standin.NewStore()
	store.Put(platform.TableServers, "i-1", []byte("{}"))
	l := listen(t)
	serve(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		store.ServeHTTP(w, r)
	}))
	n := newNode(platform.Settings{Instance: "edge-a", Zone: "z", Store: l.Addr().String()}, &log.Logger{Handler: discard.New()}, timer.NewSystem(), timer.Boot)
	t.Cleanup(n.cancel)
	var w tableWatch
	for _, w = range n.watches() {
		if w.table == platform.TableServers {
			break
		}
	}
	go n.watch(w)
	known := func() (readAt time.Time) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if v := n.view(w.table); v.version > 0 {
			return v.readAt
		}
		return time.Time{}
	}
	eventually(t, "the table is read", func() bool { return !known().IsZero() })
	snapshotAt := known()
	assert.Assert(t, n.now().Sub(snapshotAt) >= delay)
	eventually(t, "its changes are read", func() bool { return known().After(snapshotAt) })
	assert.Assert(t, n.now().Sub(known()) >= delay)
}
