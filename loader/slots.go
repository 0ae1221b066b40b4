package loader

import (
	"time"
)

type slotState string

const (
	slotLoading   slotState = "loading"
	slotHeld      slotState = "held"
	slotUnloading slotState = "unloading"
)

// slot is one adapter on an engine, or on its way to or from it.
type slot struct {
	state    slotState
	version  int // that is held, or on its way
	askAt    time.Duration
	askPause time.Duration
	since    time.Duration
	lastUsed time.Duration
	score    float64
	scoredAt time.Duration
	users    map[string]use
	cold     bool // loading from the weight store, as far as is known
	replaces bool // loading: the older version is in its place until its runs have ended
}

// use is what an instance has told of its use of an adapter.
type use struct {
	at       time.Duration
	requests int // in progress
}

// want is an adapter that instances wait for.
type want struct {
	version int
	askers  map[string]int // requests that wait, by instance
	since   time.Duration
	fresh   time.Duration // until when a load that begins is of use in time to some of them
}

// waiting returns how many requests wait.
func (w *want) waiting() int {
	n := 0
	for _, count := range w.askers {
		n += count
	}
	return n
}

// freshFor is how long a want can wait and still be met in time, where those who
// want it do not say.
const freshFor = 180 * time.Millisecond

// before reports whether a want is met before another one: more waiting requests
// first, then those that can still be in time, the oldest of these first. Of
// what is late already the youngest goes first: under more wants than loads, in
// order of age all would be late, and their callers gone.
func (w *want) before(o *want, boot time.Duration) bool {
	if a, b := w.waiting(), o.waiting(); a != b {
		return a > b
	}
	a, b := boot < w.fresh, boot < o.fresh
	if a != b {
		return a
	}
	if a {
		return w.since < o.since
	}
	return w.since > o.since
}
