package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutstream/chestnutstream"
)

// A start of a server that has signalled that it leaves must get no new work,
// whatever its later responses and entries contain; its next start is not affected.
func TestLeavingServerIsNotUsable(t *testing.T) {
	leaves := chestnutstream.Backpressure{Leaving: true, Unlimited: true}
	withBorn := func(born int64) func(*chestnutstream.Backend) {
		return func(b *chestnutstream.Backend) { b.Born = born }
	}
	tests := []struct {
		name string
		do   func(f *Fleet)
		want []string
	}{
		{"signalled in a response", func(f *Fleet) { f.RecordBackpressure(start, start, "a", leaves) }, []string{"b"}},
		{"not signalled in a later response", func(f *Fleet) {
			f.RecordBackpressure(start, start, "a", leaves)
			f.RecordBackpressure(start.Add(time.Second), start.Add(time.Second), "a", chestnutstream.Backpressure{Unlimited: true})
		}, []string{"b"}},
		{"its later entry is ready", func(f *Fleet) {
			f.RecordBackpressure(start, start, "a", leaves)
			f.ApplyUpdates(start, []Entry{entry("a", 7)})
		}, []string{"b"}},
		{"its next start is ready", func(f *Fleet) {
			f.RecordBackpressure(start, start, "a", leaves)
			f.ApplyUpdates(start, []Entry{entry("a", 7, withBorn(2))})
		}, []string{"a", "b"}},
		{"signalled by an earlier start", func(f *Fleet) { f.RecordLeaving("a", 0) }, []string{"a", "b"}},
		{"reported by another instance", func(f *Fleet) { f.RecordLeaving("a", 1) }, []string{"b"}},
		{"its entry is read later", func(f *Fleet) {
			f.RecordLeaving("c", 1)
			f.ApplyUpdates(start, []Entry{entry("c", 7)})
		}, []string{"a", "b"}},
		{"its restart is read later", func(f *Fleet) {
			f.RecordLeaving("a", 2)
			f.ApplyUpdates(start, []Entry{entry("a", 7, withBorn(2))})
		}, []string{"b"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			f.ApplySnapshot(start, 0, []Entry{entry("a", 1), entry("b", 2)})
			test.do(f)
			assert.DeepEqual(t, usable(f), test.want)
		})
	}
}

// Responses overtake one another; an older one must not replace a newer limit.
// Times are in nanoseconds after start.
func TestLatestLimitWins(t *testing.T) {
	type response struct {
		sent, received time.Duration
		limit          float64
	}
	tests := []struct {
		name      string
		responses []response
		want      float64
	}{
		{"no limit", []response{{0, 1, 0}}, 0},
		{"limit set", []response{{0, 1, 0}, {2, 3, 5}}, 5},
		{"limit ended", []response{{2, 3, 5}, {4, 5, 0}}, 0},
		{"no limit in an overtaken response", []response{{2, 4, 5}, {3, 5, 0}}, 5},
		{"lower limit in an overtaking response", []response{{2, 4, 5}, {3, 5, 4}}, 4},
		{"higher limit in an overtaken response", []response{{2, 4, 4}, {3, 5, 5}}, 4},
		{"limit raised", []response{{2, 4, 4}, {5, 6, 8}}, 8},
		{"limit set again after its end", []response{{2, 3, 5}, {4, 5, 0}, {6, 7, 5}}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			f.ApplySnapshot(start, 0, []Entry{entry("a", 1)})
			for _, r := range test.responses {
				f.RecordBackpressure(start.Add(r.received), start.Add(r.sent), "a", chestnutstream.Backpressure{RateLimit: r.limit, Unlimited: r.limit == 0})
			}
			limit, _ := f.Server("a").Limit()
			assert.Equal(t, limit, test.want)
		})
	}
}

// A server must get no requests until its Retry-After has passed. If all servers
// are paused, AvailableIn must return the time until the first pause ends.
func TestServersPausedByRetryAfter(t *testing.T) {
	pause := func(f *Fleet, id string, sent, d time.Duration) {
		f.RecordBackpressure(start.Add(sent), start.Add(sent), id, chestnutstream.Backpressure{RetryAfter: d, Unlimited: true})
	}
	tests := []struct {
		name string
		do   func(f *Fleet)
		at   time.Duration
		want string        // the server that gets a request; "": none
		wait time.Duration // until a server may get one, where none may now
	}{
		{"one of two servers paused", func(f *Fleet) { pause(f, "a", 0, 2*time.Second) }, time.Second, "b", 0},
		{"pause expired", func(f *Fleet) { pause(f, "a", 0, 2*time.Second); pause(f, "b", 0, 3*time.Second) }, 2 * time.Second, "a", 0},
		{"all servers paused", func(f *Fleet) { pause(f, "a", 0, 2*time.Second); pause(f, "b", 0, 3*time.Second) }, time.Second, "", time.Second},
		{"a later, shorter pause", func(f *Fleet) {
			pause(f, "a", 0, 3*time.Second)
			pause(f, "a", time.Second, time.Second)
			pause(f, "b", 0, 9*time.Second)
		}, 2500 * time.Millisecond, "", 500 * time.Millisecond},
		{"the other server leaves", func(f *Fleet) { pause(f, "a", 0, 2*time.Second); f.RecordLeaving("b", 1) }, time.Second, "", time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			f.ApplySnapshot(start, 0, []Entry{entry("a", 1), entry("b", 2)})
			test.do(f)
			now, got := start.Add(test.at), ""
			if s := f.PickPlain(now, testService, nil); s != nil {
				got = s.ID
			}
			assert.Equal(t, got, test.want)
			wait, ok := f.AvailableIn(now, testService, nil)
			assert.Equal(t, ok, test.want == "")
			assert.Equal(t, wait, test.wait)
		})
	}
}
