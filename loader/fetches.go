package loader

import "time"

// The load that this answers: many cold adapters wanted at once, on all engines.
// The weight store slows all fetches in proportion once there are more than it
// allows over all engines, so each takes as long as all together. What waits here
// instead of there keeps its place for the more wanted ones, and the first come
// while those who wait for them can still be answered in time.

// Figures of the number of adapters that are on their way from the weight store.
const (
	fetchesFirst = 1.0                      // for each engine
	fetchesLeast = 1.0                      // for all engines of an owner
	fetchesMost  = float64(transitMost) - 1 // for each engine: one place is left for what it had lately
	fetchesMore  = 0.2                      // after a fetch at full speed
	fetchesLess  = 0.4                      // after a slowed one
	slowed       = 1.35                     // times the usual
)

// Fetches bounds how many adapters come from the weight store at once to all
// engines of one owner, by how long the newest fetches took: the owners of all
// engines come to share what the store allows without a word. The zero value is
// ready for use.
type Fetches struct {
	limit    float64
	engines  int
	underWay int
}

// Count takes the engines of the owner as they are now. It is to be called before
// their steps.
func (f *Fetches) Count(engines map[string]*Engine) {
	f.underWay = 0
	for _, e := range engines {
		cold, _ := e.inTransit()
		f.underWay += cold
	}
	if more := len(engines) - f.engines; more > 0 {
		f.limit += fetchesFirst * float64(more)
	}
	f.engines = len(engines)
	f.bound()
}

func (f *Fetches) bound() {
	f.limit = max(min(f.limit, fetchesMost*float64(f.engines)), fetchesLeast)
}

// may reports whether one more fetch may begin.
func (f *Fetches) may() bool { return float64(f.underWay) < max(f.limit, fetchesLeast) }

// began notes that a fetch begins.
func (f *Fetches) began() { f.underWay++ }

// took adapts the bound to how long a fetch took.
func (f *Fetches) took(took time.Duration) {
	if float64(took) > slowed*float64(loadGuessFirst) {
		f.limit -= fetchesLess
	} else {
		f.limit += fetchesMore
	}
	f.bound()
}
