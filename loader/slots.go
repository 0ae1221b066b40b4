package loader

import (
	"time"
)

type slotState string

const (
	slotLoading   slotState = "loading"
	slotLoaded    slotState = "held"
	slotUnloading slotState = "unloading"
)

// slot is an adapter that is loaded on the engine, loading or unloading.
type slot struct {
	state     slotState
	version   int           // loaded or loading
	pollAt    time.Duration // next poll of a load or unload
	pollDelay time.Duration
	since     time.Duration // start of the load or unload
	lastUsed  time.Duration
	score     float64 // usage score as of scoredAt
	scoredAt  time.Duration
	users     map[string]usage // by instance
	cold      bool             // loading from the weight store, as far as is known
	replaces  bool             // loading: an older version stays loaded until its runs end
	retired   bool             // its users were notified that it is about to be unloaded with its model
}

// usage is an instance's report of its requests.
type usage struct {
	at       time.Duration
	requests int // in progress
}

// loadRequest is the request of one or more instances to load an adapter.
type loadRequest struct {
	version   int
	waitingBy map[string]int // waiting requests by instance
	since     time.Duration
}

// waiting returns the number of waiting requests.
func (r *loadRequest) waiting() int {
	n := 0
	for _, count := range r.waitingBy {
		n += count
	}
	return n
}

// maxOnTimeWait is how long a load request can wait such that, with the time of
// the load, its requests still meet their latency target of half a second.
const maxOnTimeWait = 180 * time.Millisecond

// before reports whether a load request is served before another: first the one
// with more waiting requests, then the one that can still be on time, of these
// the older. Of those already late the youngest goes first: with more requests
// than the engine can load, in order of age all would be late and their callers
// would have disconnected.
func (r *loadRequest) before(o *loadRequest, boot time.Duration) bool {
	if a, b := r.waiting(), o.waiting(); a != b {
		return a > b
	}
	a, b := boot-r.since < maxOnTimeWait, boot-o.since < maxOnTimeWait
	if a != b {
		return a
	}
	if a {
		return r.since < o.since
	}
	return r.since > o.since
}

// Limits of the concurrent loads from the weight store. The store slows down all
// loads when there are too many over all engines. A load that is queued here
// instead of there can still be overtaken by one with more waiting requests.
const (
	initialColdLoads = 2.0
	minColdLoads     = 1.0
	maxColdLoads     = float64(maxConcurrentLoads) - 1 // one is reserved for recently unloaded adapters
	coldLoadIncrease = 0.1                             // after a load at full speed
	coldLoadDecrease = 0.4                             // after a slow load
	slowLoadFactor   = 1.35                            // a load is slow when it takes longer than this times coldLoadEstimate
)
