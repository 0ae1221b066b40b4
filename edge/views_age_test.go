package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutstream/chestnutstream/platform"
)

// modelDrainBound is the time limit for requests to a server that leaves, and maxModelDelay
// the longest time for which a busy machine does not run an instance: each update is sent,
// and each read of an instance's own ends, up to that late.
const (
	modelDrainBound = 2 * time.Second
	maxModelDelay   = 300 * time.Millisecond
)

// Guards against a longer wait in the chain from a change of the store to its last instance.
func TestSumOfWaitsIsWithinTheBounds(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		n := &Node{cfg: platform.Settings{DrainBound: bound, ConfigApplyBound: bound}}
		servers := tableWatch{interval: n.serversInterval()}
		operator := tableWatch{wait: n.operatorReaderWait()}
		for name, w := range map[string]tableWatch{"servers": servers, "operator": operator} {
			sum := w.readerTimeout() + hedgeDelay + maxModelDelay
			assert.Check(t, sum <= bound, "%s: %v, bound %v", name, sum, bound)
		}
		// A read after the pause does not wait for changes.
		assert.Check(t, maxViewAge < servers.interval && maxViewAge <= servers.readerTimeout())
	}
}

// pacedZone simulates the instances of a zone that watch a table with an interval between
// reads, in time steps of modelStep.
type pacedZone struct {
	t         *rapid.T
	now       time.Time
	watch     tableWatch
	version   uint64
	maxDelay  time.Duration // for which a busy machine does not run an instance
	stalls    bool          // reads may get no response, and are sent once more
	instances []*pacedInstance
}

// pacedInstance is one instance. It reads the table, pauses for the interval, and then
// reads again or, if it regards itself as a follower, waits for an update.
type pacedInstance struct {
	view      view
	knownAt   time.Time // when what it knows was read from the store, by whomever
	follower  bool      // regards itself as one
	stopped   bool
	noUpdates bool      // receives none
	readEnds  time.Time // of a read in progress; zero: there is none
	readBegan time.Time
	waiting   bool
	until     time.Time // end of the pause or of the wait
	queue     []pacedUpdate
}

type pacedUpdate struct {
	readAt, receivedAt time.Time
	after, to          uint64
}

// delay draws for how long a busy machine does not run an instance.
func (z *pacedZone) delay() time.Duration {
	return time.Duration(rapid.IntRange(0, int(z.maxDelay/modelStep)).Draw(z.t, "delay")) * modelStep
}

func (z *pacedZone) step(in *pacedInstance) {
	if in.stopped {
		return
	}
	if !in.readEnds.IsZero() {
		if !z.now.Before(in.readEnds) {
			in.endRead(z)
		}
		return
	}
	if in.waiting {
		for len(in.queue) > 0 && !z.now.Before(in.queue[0].receivedAt) {
			u := in.queue[0]
			in.queue = in.queue[1:]
			if u.to >= in.view.version && u.after <= in.view.version {
				in.view.recordUpdate(u.readAt, u.after, u.to)
				if u.readAt.After(in.knownAt) {
					in.knownAt = u.readAt
				}
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

// start reads the table for the first time.
func (in *pacedInstance) start(z *pacedZone) {
	in.readBegan = z.now
	in.endRead(z)
}

func (in *pacedInstance) read(z *pacedZone) {
	in.waiting, in.readBegan, in.readEnds = false, z.now, z.now.Add(z.delay())
	if z.stalls && rapid.Bool().Draw(z.t, "no response") {
		in.readEnds = in.readEnds.Add(hedgeDelay)
	}
}

// endRead applies what was read, and sends it to the followers.
func (in *pacedInstance) endRead(z *pacedZone) {
	after := in.view.version
	z.version++ // an entry of the servers changes all the time
	in.view.recordRead(in.readBegan, z.version)
	in.knownAt, in.readEnds, in.until = in.readBegan, time.Time{}, z.now.Add(z.watch.interval)
	for _, other := range z.instances {
		if other != in && !in.follower && !other.noUpdates && len(other.queue) < maxQueuedUpdates {
			other.queue = append(other.queue, pacedUpdate{readAt: in.readBegan, receivedAt: z.now.Add(z.delay()), after: after, to: z.version})
		}
	}
}

// Instances take over the reading from one another, stop, start and receive no updates, and
// are held up by busy machines, or by reads without a response: no view gets older than the
// time limit for requests to a server that leaves.
func TestViewsOfPacedTablesStayFresh(t *testing.T) {
	t.Run("busy machines", func(t *testing.T) { checkPacedViews(t, pacedZone{maxDelay: maxModelDelay}) })
	t.Run("reads without a response", func(t *testing.T) { checkPacedViews(t, pacedZone{maxDelay: modelStep, stalls: true}) })
}

func checkPacedViews(t *testing.T, zone pacedZone) {
	rapid.Check(t, func(t *rapid.T) {
		z := &zone
		*z = pacedZone{t: t, now: time.Unix(1000, 0), watch: tableWatch{shared: true, interval: minServersInterval}, maxDelay: zone.maxDelay, stalls: zone.stalls}
		for i := range rapid.IntRange(1, 4).Draw(t, "instances") {
			in := &pacedInstance{follower: i > 0}
			z.instances = append(z.instances, in)
			in.start(z)
		}
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
					in.start(z)
				}
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				z.now = z.now.Add(modelStep)
				for _, in := range z.instances {
					z.step(in)
				}
				for i, in := range z.instances {
					if age := z.now.Sub(in.knownAt); !in.stopped && age > modelDrainBound {
						t.Fatalf("the view of instance %d is %v old, bound %v", i, age, modelDrainBound)
					}
				}
			}
		}
	})
}
