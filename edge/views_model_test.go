package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zoneModel is a table of the store, and the instances of a zone that follow it,
// in steps of time.
type zoneModel struct {
	now       time.Time
	feed      feed
	written   []time.Time // changes of the table by version - 1
	deaf      bool        // feeds that begin hear nothing until their wait ends
	lossy     bool        // words are lost
	crowded   bool        // only those who read for the zone follow the table while they are heard
	instances []*instanceModel
}

// instanceModel is one instance: its view, and the changes that it has taken.
type instanceModel struct {
	view   view
	taken  map[uint64]bool
	reader bool // believes that it reads for the zone
	dead   bool
	after  uint64 // of its own feed
	poll   *pollModel
}

type pollModel struct {
	wait time.Duration
	ends time.Time
	deaf bool
}

const modelStep = 50 * time.Millisecond

func (z *zoneModel) version() uint64 { return uint64(len(z.written)) }

func (in *instanceModel) take(after, to uint64) {
	for v := after + 1; v <= to; v++ {
		in.taken[v] = true
	}
}

// step lets the feeds of an instance begin, be answered and be ended.
func (z *zoneModel) step(t *rapid.T, in *instanceModel) {
	if in.dead {
		return
	}
	if p := in.poll; p != nil && ((!p.deaf && z.version() > in.after) || !z.now.Before(p.ends)) {
		in.poll = nil
		after, to := in.after, z.version()
		in.take(after, to)
		in.view.tookRead(z.now, to)
		in.after = to
		for _, other := range z.instances {
			if !in.reader || other == in || (z.lossy && rapid.Bool().Draw(t, "word lost")) {
				continue
			}
			other.take(after, to)
			other.view.tookWord(z.now, after, to)
		}
	}
	if p := in.poll; p != nil && p.wait > z.feed.wait && in.view.silent(z.now, z.feed) {
		in.poll = nil
	}
	if in.poll == nil && (!z.crowded || in.reader || in.view.silent(z.now, z.feed)) {
		wait := in.view.feedWait(z.now, z.feed, in.reader)
		in.poll = &pollModel{wait: wait, ends: z.now.Add(wait), deaf: z.deaf}
	}
}

// check fails when an instance lacks a change that its view counts as known, or
// one that was written longer ago than the bound.
func (z *zoneModel) check(t *rapid.T, bound time.Duration) {
	for i, in := range z.instances {
		if in.dead {
			continue
		}
		for v := uint64(1); v <= z.version(); v++ {
			if age := z.now.Sub(z.written[v-1]); !in.taken[v] && (v <= in.view.version || age > bound) {
				t.Fatalf("instance %d lacks change %d, %v old; its view is of %d", i, v, age, in.view.version)
			}
		}
	}
}

// Whatever feeds hear, and whatever becomes of the reader and its words: no view
// counts as known what it lacks, and none falls behind by more than the bound.
func TestViewsAreAsOldAsTheySay(t *testing.T) {
	cases := []struct {
		name    string
		trouble bool // the reader dies, words are lost, instances differ on who reads
		bound   time.Duration
	}{
		{"a reader that tells", false, time.Second + 2*modelStep},
		// A reader that has fallen silent; what is read then does not wait.
		{"any", true, time.Second + toldSlack + 2*modelStep},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				z := &zoneModel{now: time.Unix(1000, 0), feed: feed{wait: time.Second, toldWait: operatorWait}, crowded: rapid.Bool().Draw(t, "crowded")}
				for i := range rapid.IntRange(1, 4).Draw(t, "instances") {
					z.instances = append(z.instances, &instanceModel{view: view{read: z.now}, taken: map[uint64]bool{}, reader: i == 0})
				}
				for range rapid.IntRange(1, 25).Draw(t, "events") {
					in := z.instances[rapid.IntRange(0, len(z.instances)-1).Draw(t, "instance")]
					switch rapid.IntRange(0, 7).Draw(t, "event") {
					case 0, 1, 2:
						z.written = append(z.written, z.now)
					case 3, 4:
						z.deaf = !z.deaf
					case 5:
						in.dead = in.dead || c.trouble
					case 6:
						z.lossy = c.trouble && !z.lossy
					case 7:
						in.reader = in.reader != c.trouble
					}
					for range rapid.IntRange(1, 60).Draw(t, "steps") {
						z.now = z.now.Add(modelStep)
						for _, in := range z.instances {
							z.step(t, in)
						}
						z.check(t, c.bound)
					}
				}
			})
		})
	}
}
