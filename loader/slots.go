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
}

// waiting returns how many requests wait.
func (w *want) waiting() int {
	n := 0
	for _, count := range w.askers {
		n += count
	}
	return n
}

// freshFor is how long a want can wait and still be met within its requests'
// latency target of half a second, with the time that a load takes.
const freshFor = 180 * time.Millisecond

// before reports whether a want is met before another one: more waiting requests
// first, then those that can still be in time, the oldest of these first. Of
// what is late already the youngest goes first: under more wants than loads, in
// order of age all would be late, and their callers gone.
func (w *want) before(o *want, boot time.Duration) bool {
	if a, b := w.waiting(), o.waiting(); a != b {
		return a > b
	}
	a, b := boot-w.since < freshFor, boot-o.since < freshFor
	if a != b {
		return a
	}
	if a {
		return w.since < o.since
	}
	return w.since > o.since
}

// Figures of the number of adapters that are on their way from the weight store
// at once. The store slows all loads beyond a number over all engines, so what
// waits here instead of there keeps its place for the more wanted ones.
const (
	coldFirst = 2.0
	coldLeast = 1.0
	coldMost  = float64(transitMost) - 1 // one place is left for what the engine had lately
	coldMore  = 0.1                      // after a load at full speed
	coldLess  = 0.4                      // after a slowed one
	slowed    = 1.35                     // times the usual
)
