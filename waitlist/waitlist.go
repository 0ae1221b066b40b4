// Package waitlist orders the requests that an instance holds back while the servers of a
// service take no more: by whether their workspace has more than its fair share in
// progress, by priority, by what their workspace has in progress, and by arrival. It
// decides whether a request may be placed now or has to wait for those before it, estimates
// that wait, and says when rejected requests should return.
//
// # Usage
//
//	l := waitlist.New()
//	t := l.Enter(waitlist.Request{Priority: 2, Workspace: "w-1"})
//	if first, ok := l.MayProceed(t); !ok {
//		... // let first try; reject t if l.EstimateWait(t, 0) is too long, else hold it back
//	}
//	l.Hold(t) // no server takes it: try again later
//	l.RecordPlaced(now, workspace) // and RecordEnded(workspace)
//	l.Leave(t)
//
// # Load
//
// It is of use while requests wait. With none held back, each request proceeds, and no share
// matters: what a workspace does not use, others use. An instance counts only its own
// requests in progress; since callers spread over instances, that is a sample of all.
//
// A List has no goroutines, clock or randomness. It is not safe for concurrent use.
package waitlist

import (
	"cmp"
	"time"
)

// Parameters of the order.
const (
	// overShare times its fair share of the requests in progress is what a workspace may
	// have before the others precede it. A workspace that has less than that is always
	// served by priority, so none gets below its share for long.
	overShare = 1.2
	// minOver is how many more requests than its fair share a workspace must have in
	// progress to be over it: with a few requests, shares say nothing.
	minOver = 2.0
	// intervalWeight is the weight of one placement in the moving average of the time
	// between placements.
	intervalWeight = 0.1
	// maxInterval bounds that time, since a pause without requests says nothing.
	maxInterval = time.Second
	// maxSpread bounds how much later than the first rejected request others return.
	// Callers that are told to wait for longer would find the load gone.
	maxSpread = 3 * time.Second
)

// Request is what a request is ordered by.
type Request struct {
	Priority  int    // 0 is the most urgent
	Workspace string // "": none
}

// Ticket identifies a request in a List.
type Ticket uint64

// List holds the requests of an instance for one service.
type List struct {
	last       Ticket
	requests   map[Ticket]Request
	held       map[Ticket]bool
	inProgress map[string]int // by workspace
	present    map[string]int // by workspace: in progress or held back
	total      int            // in progress
	placedAt   time.Time      // of the latest placement, if requests were held back or rejected then
	interval   time.Duration  // moving average of the time between such placements
	rejectedAt time.Time
	returnAt   time.Time // when the latest rejected request returns
}

// New returns an empty list.
func New() *List {
	return &List{requests: map[Ticket]Request{}, held: map[Ticket]bool{}, inProgress: map[string]int{}, present: map[string]int{}}
}

// Enter adds a request that is to be placed.
func (l *List) Enter(r Request) Ticket {
	l.last++
	l.requests[l.last] = r
	return l.last
}

// Leave removes a request that was placed or rejected. It returns the first one that is held
// back, which may be placed next; 0: none.
func (l *List) Leave(t Ticket) Ticket {
	l.Resume(t)
	delete(l.requests, t)
	return l.first()
}

// Hold records that a request is held back, as no server takes it.
func (l *List) Hold(t Ticket) {
	if !l.held[t] {
		l.held[t] = true
		l.present[l.requests[t].Workspace]++
	}
}

// Resume records that a request is no longer held back for want of a server that takes more.
func (l *List) Resume(t Ticket) {
	if l.held[t] {
		delete(l.held, t)
		decrement(l.present, l.requests[t].Workspace)
	}
}

// decrement decrements a counter, and deletes it at 0.
func decrement(counters map[string]int, key string) {
	if counters[key]--; counters[key] <= 0 {
		delete(counters, key)
	}
}

// Held returns the number of requests that are held back.
func (l *List) Held() int { return len(l.held) }

// MayProceed reports whether a request may be placed now. If not, it returns the first of
// those that are held back, which takes what the request might have taken.
func (l *List) MayProceed(t Ticket) (first Ticket, ok bool) {
	first = l.first()
	if first == 0 || first == t || !l.precedes(first, t) {
		return 0, true
	}
	return first, false
}

// IsOver reports whether the workspace of a request has more than its fair share in progress.
func (l *List) IsOver(t Ticket) bool { return l.over(l.requests[t].Workspace) }

// first returns the held request that precedes all others; 0: none is held.
func (l *List) first() Ticket {
	var best Ticket
	for t := range l.held {
		if best == 0 || l.precedes(t, best) {
			best = t
		}
	}
	return best
}

// precedes reports whether a request is placed before another one.
func (l *List) precedes(a, b Ticket) bool {
	x, y := l.requests[a], l.requests[b]
	return cmp.Or(
		compareBool(l.over(x.Workspace), l.over(y.Workspace)), cmp.Compare(x.Priority, y.Priority),
		cmp.Compare(l.inProgress[x.Workspace], l.inProgress[y.Workspace]), cmp.Compare(a, b),
	) < 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// over reports whether a workspace has more than its fair share in progress: an equal part for
// each workspace with requests in progress or held back.
func (l *List) over(workspace string) bool {
	if workspace == "" {
		return false
	}
	fair := float64(l.total) / float64(max(len(l.present), 1))
	own := float64(l.inProgress[workspace])
	return own > overShare*fair && own >= fair+minOver
}

// RecordPlaced records that a request of a workspace is sent to a server.
func (l *List) RecordPlaced(now time.Time, workspace string) {
	l.inProgress[workspace]++
	l.present[workspace]++
	l.total++
	if len(l.held) == 0 && now.Sub(l.rejectedAt) > maxInterval {
		l.placedAt = time.Time{} // the interval shows the demand, not what the servers can take
		return
	}
	if !l.placedAt.IsZero() {
		sample := min(max(now.Sub(l.placedAt), 0), maxInterval)
		l.interval += time.Duration(intervalWeight * float64(sample-l.interval))
	}
	l.placedAt = now
}

// RecordEnded records that a request that was sent to a server has ended there.
func (l *List) RecordEnded(workspace string) {
	if l.inProgress[workspace] == 0 {
		return
	}
	l.total--
	decrement(l.inProgress, workspace)
	decrement(l.present, workspace)
}

// EstimateWait estimates how long a request is held back, if a server takes the next one in
// the duration wait: the requests before it are placed at the usual interval.
func (l *List) EstimateWait(t Ticket, wait time.Duration) time.Duration {
	ahead := 0
	for other := range l.held {
		if other != t && l.precedes(other, t) {
			ahead++
		}
	}
	return wait + time.Duration(ahead)*l.interval
}

// RetryAfter returns when a rejected request should return, if a server takes the next one
// in the duration wait. Requests that are rejected together return at the interval at which
// requests are usually placed.
func (l *List) RetryAfter(now time.Time, wait time.Duration) time.Duration {
	at := now.Add(wait + time.Duration(len(l.held))*l.interval)
	if next := l.returnAt.Add(l.interval); next.After(at) {
		at = next
	}
	if latest := now.Add(wait + maxSpread); at.After(latest) {
		at = latest
	}
	l.returnAt, l.rejectedAt = at, now
	return at.Sub(now)
}
