package edge

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pacedZone simulates the instances of a zone that watch a table with an interval between
// reads, in time steps of modelStep. The store responds at once.
type pacedZone struct {
	now       time.Time
	watch     tableWatch
	version   uint64
	instances []*pacedInstance
}

// pacedInstance is one instance. It reads the table, pauses for the interval, and then
// reads again or, if it regards itself as a follower, waits for an update.
type pacedInstance struct {
	view      view
	knownAt   time.Time // when what it knows was read from the store, by whomever
	follower  bool      // regards itself as one
	stopped   bool
	noUpdates bool // receives none
	waiting   bool
	until     time.Time // end of the pause or of the wait
	queue     []pacedUpdate
}

type pacedUpdate struct {
	readAt, receivedAt time.Time
	after, to          uint64
}

func (z *pacedZone) step(in *pacedInstance) {
	if in.stopped {
		return
	}
	if in.waiting {
		for len(in.queue) > 0 {
			u := in.queue[0]
			in.queue = in.queue[1:]
			if u.to >= in.view.version && u.after <= in.view.version {
				in.view.recordUpdate(u.receivedAt, u.after, u.to)
				in.knownAt = u.readAt
				in.until = z.now.Add(in.view.updateTimeout(z.now, z.watch))
			}
		}
	}
	if z.now.Before(in.until) {
		return
	}
	if !in.waiting && in.follower {
		if wait := in.view.updateTimeout(z.now, z.watch); wait > 0 || len(in.queue) > 0 {
			in.waiting, in.until = true, z.now.Add(wait)
			return
		}
	}
	in.read(z)
}

func (in *pacedInstance) read(z *pacedZone) {
	after := in.view.version
	z.version++ // an entry of the servers changes all the time
	in.view.recordRead(z.now, z.version)
	in.knownAt, in.waiting, in.until = z.now, false, z.now.Add(z.watch.interval)
	for _, other := range z.instances {
		if other != in && !in.follower && !other.noUpdates && len(other.queue) < maxQueuedUpdates {
			other.queue = append(other.queue, pacedUpdate{readAt: z.now, receivedAt: z.now, after: after, to: z.version})
		}
	}
}

// Instances take over the reading from one another, stop, start and receive no updates: no
// view gets older than the interval and the time in which a silent reader is noticed.
func TestViewsOfPacedTablesStayFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := &pacedZone{now: time.Unix(1000, 0), watch: tableWatch{shared: true, interval: minServersInterval}}
		for i := range rapid.IntRange(1, 4).Draw(t, "instances") {
			in := &pacedInstance{follower: i > 0}
			z.instances = append(z.instances, in)
			in.read(z)
		}
		bound := z.watch.interval + followerSlack + 2*modelStep
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			in := z.instances[rapid.IntRange(0, len(z.instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				in.follower = !in.follower
			case 1:
				in.noUpdates = !in.noUpdates
			case 2:
				if in.stopped = !in.stopped; !in.stopped {
					*in = pacedInstance{follower: in.follower}
					in.read(z)
				}
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				z.now = z.now.Add(modelStep)
				for _, in := range z.instances {
					z.step(in)
				}
				for i, in := range z.instances {
					if age := z.now.Sub(in.knownAt); !in.stopped && age > bound {
						t.Fatalf("the view of instance %d is %v old, bound %v", i, age, bound)
					}
				}
			}
		}
	})
}
