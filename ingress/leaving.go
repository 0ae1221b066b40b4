package ingress

import (
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// The load that this answers: answers that last longer than what is left of the
// grace period of a planned stop. A stream that cannot end in time is cut off
// midway, while another instance could have served it whole.

// Leave is a planned stop that is under way.
type Leave struct {
	Since time.Duration // since it was asked for
	Left  time.Duration // until answers in progress are cut off
}

// Figures of the admission during a planned stop.
const (
	// provenAfter is how long after the signal a request is taken on the word of
	// earlier answers. From then on it is taken only if it must end in time: an
	// answer that is cut off counts as lost when its request was sent later than
	// 3 s after the signal, and requests are on their way for some time.
	provenAfter = 2500 * time.Millisecond
	// lastingKept is the number of answers of a route that are remembered.
	lastingKept = 64
	// retryElsewhere is told to callers that are to try another instance.
	retryElsewhere = 10 * time.Millisecond
)

// lasting remembers how long the newest answers of each route lasted. The zero
// value is ready for use.
type lasting struct {
	mu     sync.Mutex
	routes map[string]*lasted
}

// lasted is a ring of durations, each in parts of the tokens that the request
// allowed, where it said so.
type lasted struct {
	perToken [lastingKept]time.Duration
	n        int // in all
}

// units returns by what the duration of an answer is divided: how many tokens it
// may have at most, or 1 when that is not said.
func units(p chestnutstream.Prompt) time.Duration { return time.Duration(max(p.Output, 1)) }

// note takes the duration of an answer that came whole.
func (l *lasting) note(route string, p chestnutstream.Prompt, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = map[string]*lasted{}
	}
	r := l.routes[route]
	if r == nil {
		r = &lasted{}
		l.routes[route] = r
	}
	r.perToken[r.n%lastingKept] = took / units(p)
	r.n++
}

// longest estimates how long an answer may last by the slowest of the newest
// ones; ok is false when none was seen.
func (l *lasting) longest(route string, p chestnutstream.Prompt) (longest time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil {
		return 0, false
	}
	for _, d := range r.perToken[:min(r.n, lastingKept)] {
		longest = max(longest, d*units(p))
	}
	return longest, true
}

// fits reports whether an answer ends before the planned stop cuts it off. most
// is what bounds it by itself: its deadline or its route's time-out.
// Of a route of which no answer has been seen, early requests are taken.
func (l *lasting) fits(leave Leave, route string, p chestnutstream.Prompt, most time.Duration) bool {
	if most <= leave.Left {
		return true
	}
	if leave.Since >= provenAfter {
		return false
	}
	longest, ok := l.longest(route, p)
	return !ok || longest <= leave.Left
}
