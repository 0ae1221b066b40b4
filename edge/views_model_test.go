package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zoneModel simulates a table of the store, and the instances of a zone that watch it,
// in time steps of modelStep.
type zoneModel struct {
	now         time.Time
	watch       tableWatch
	written     []time.Time // when the change with index version - 1 was written
	suppressed  bool        // polls that start now return no change until their wait ends
	lossy       bool        // updates may be lost
	readersOnly bool        // instances other than readers poll only after the reader has timed out
	instances   []*instanceModel
}

// instanceModel is one instance: its view, and the changes that it has received.
type instanceModel struct {
	view     view
	received map[uint64]bool
	reader   bool // regards itself as the reader of the zone
	stopped  bool
	after    uint64 // version that its own poll starts from
	poll     *pollModel
}

type pollModel struct {
	wait       time.Duration
	ends       time.Time
	suppressed bool
}

const modelStep = 50 * time.Millisecond

func (z *zoneModel) version() uint64 { return uint64(len(z.written)) }

func (in *instanceModel) receive(after, to uint64) {
	for v := after + 1; v <= to; v++ {
		in.received[v] = true
	}
}

// step lets polls of an instance start, return and be cancelled.
func (z *zoneModel) step(t *rapid.T, in *instanceModel) {
	if in.stopped {
		return
	}
	if p := in.poll; p != nil && ((!p.suppressed && z.version() > in.after) || !z.now.Before(p.ends)) {
		in.poll = nil
		after, to := in.after, z.version()
		in.receive(after, to)
		in.view.recordRead(z.now, to)
		in.after = to
		for _, other := range z.instances {
			if !in.reader || other == in || (z.lossy && rapid.Bool().Draw(t, "update lost")) {
				continue
			}
			other.receive(after, to)
			other.view.recordUpdate(z.now, after, to)
		}
	}
	if p := in.poll; p != nil && p.wait > z.watch.wait && in.view.readerTimedOut(z.now, z.watch) {
		in.poll = nil
	}
	if in.poll == nil && (!z.readersOnly || in.reader || in.view.readerTimedOut(z.now, z.watch)) {
		wait := in.view.pollWait(z.now, z.watch, in.reader)
		in.poll = &pollModel{wait: wait, ends: z.now.Add(wait), suppressed: z.suppressed}
	}
}

// check fails when an instance lacks a change that its view counts as known, or one that
// is older than the bound.
func (z *zoneModel) check(t *rapid.T, bound time.Duration) {
	for i, in := range z.instances {
		if in.stopped {
			continue
		}
		for v := uint64(1); v <= z.version(); v++ {
			if age := z.now.Sub(z.written[v-1]); !in.received[v] && (v <= in.view.version || age > bound) {
				t.Fatalf("instance %d lacks change %d, %v old; its view is of %d", i, v, age, in.view.version)
			}
		}
	}
}

// Polls miss changes, readers stop and updates are lost: no view may count a change as
// known that its instance lacks, and none may fall behind by more than the bound.
func TestViewsAreCompleteAndFresh(t *testing.T) {
	cases := []struct {
		name   string
		faults bool // the reader stops, updates are lost, instances disagree on who reads
		bound  time.Duration
	}{
		{"reader sends updates", false, time.Second + 2*modelStep},
		// The reader times out; after that the instance polls without a wait.
		{"with faults", true, time.Second + followerSlack + 2*modelStep},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				z := &zoneModel{now: time.Unix(1000, 0), watch: tableWatch{wait: time.Second, followerWait: operatorPollWait}, readersOnly: rapid.Bool().Draw(t, "readers only")}
				for i := range rapid.IntRange(1, 4).Draw(t, "instances") {
					z.instances = append(z.instances, &instanceModel{view: view{readAt: z.now}, received: map[uint64]bool{}, reader: i == 0})
				}
				for range rapid.IntRange(1, 25).Draw(t, "events") {
					in := z.instances[rapid.IntRange(0, len(z.instances)-1).Draw(t, "instance")]
					switch rapid.IntRange(0, 7).Draw(t, "event") {
					case 0, 1, 2:
						z.written = append(z.written, z.now)
					case 3, 4:
						z.suppressed = !z.suppressed
					case 5:
						in.stopped = in.stopped || c.faults
					case 6:
						z.lossy = c.faults && !z.lossy
					case 7:
						in.reader = in.reader != c.faults
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
