// Package permit decides which instance may send the next request to a backend
// server that limits the requests a second from all instances together.
//
// For each such server one instance issues permits. All instances choose it by
// rendezvous hashing over the instances that they reach, without exchanging
// messages. A request needs a permit before it is sent to the server; without one
// it goes to another server.
//
// # Usage
//
//	i := permit.NewIssuer("edge-a-1")
//	if i.IssuerOf(now, server, view) == "edge-a-1" {
//		ok, wait := i.Request(now, server, limit, view)
//	}
//	i.MarkUnresponsive(now, "edge-b-2") // it did not respond
//
// # Invariants
//
// An instance issues at most its group's share of the limit: the instances that it
// reaches, out of all. So groups that are partitioned from one another stay within
// the limit together. An instance may be unresponsive to only some of the others.
// These send their permit requests to the next candidate, which issues only a
// quarter of its share if it still reaches that instance: both issue permits then.
//
// # Slots
//
// Brittle servers crash when they have to reject too many requests. A request to one needs
// a slot, which Slots grants in the same way: it bounds the requests in progress instead of
// those in a second. Only the first and the second choice grant slots. A request that an
// instance has abandoned stays in progress while the server may go on with it.
package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Parameters of permits.
const (
	minBurst          = 2                // permits that may be saved up
	burstTime         = time.Second / 4  // further permits that may be saved up: those that the limit allows in this time
	fallbackShare     = 0.25             // of the group's share of the limit, if another instance should issue the permits
	unresponsivePause = time.Second      // during which an instance that did not respond gets no permit requests
	minWait           = time.Millisecond // before the next permit request
	maxWait           = 2 * time.Second  // the longest wait given to a denied permit request
	maxBuckets        = 4096             // servers for which permits are issued
	minLimitChange    = 0.01             // smallest relative change of a limit that is applied to its bucket
	bucketIdleTimeout = 10 * time.Minute // after which a bucket may be evicted
)

// View is what an instance knows of the others.
type View struct {
	Candidates []string  // reached instances that may issue permits, this one among them
	Reached    int       // reached instances, this one among them
	All        int       // all instances
	ChangedAt  time.Time // when an instance was last reached, or no longer reached
}

// Issuer issues permits on an instance, and finds the instance that issues the
// permits for a server.
type Issuer struct {
	self         string
	buckets      map[string]*bucket   // by server
	unresponsive map[string]time.Time // instances that did not respond, and until when they get no permit requests
}

// bucket is the token bucket of the permits for one server.
type bucket struct {
	limiter       *rate.Limiter
	reservedUntil time.Time // end of the waits given to denied requests
	usedAt        time.Time
}

// NewIssuer returns the permit issuer of the instance self.
func NewIssuer(self string) *Issuer {
	return &Issuer{self: self, buckets: map[string]*bucket{}, unresponsive: map[string]time.Time{}}
}

// IssuerOf returns the instance that issues the permits for a server.
func (i *Issuer) IssuerOf(now time.Time, server string, v View) string {
	return i.highestRanked(server, v, func(name string) bool { return now.Before(i.unresponsive[name]) })
}

// Primary returns the instance that issues the permits for a server if all instances
// respond.
func (i *Issuer) Primary(server string, v View) string {
	return i.highestRanked(server, v, func(string) bool { return false })
}

// SlotIssuerOf returns the instance that grants the slots of a server: the primary issuer, or
// the next one if that did not respond. ok is false if neither did: several that grant a part
// each would exceed the slots.
func (i *Issuer) SlotIssuerOf(now time.Time, server string, v View) (name string, ok bool) {
	unresponsive := func(name string) bool { return name != i.self && now.Before(i.unresponsive[name]) }
	primary := i.Primary(server, v)
	if !unresponsive(primary) {
		return primary, true
	}
	next := i.highestRanked(server, v, func(name string) bool { return name == primary })
	return next, !unresponsive(next)
}

// highestRanked returns the candidate with the highest hash for a server, or this
// instance if there is none.
func (i *Issuer) highestRanked(server string, v View, skip func(name string) bool) string {
	best, highest := i.self, uint64(0)
	for _, name := range v.Candidates {
		if name != i.self && skip(name) {
			continue
		}
		if rank := xxhash.Sum64String(name + "\x00" + server); rank >= highest {
			best, highest = name, rank
		}
	}
	return best
}

// MarkUnresponsive records that an instance did not respond within the timeout.
func (i *Issuer) MarkUnresponsive(now time.Time, name string) {
	i.unresponsive[name] = now.Add(unresponsivePause)
}

// Request requests a permit from this instance for a server that takes limit requests
// a second. If it is denied, wait is the time until the next try: denied requests
// get different times, one for each permit to come.
func (i *Issuer) Request(now time.Time, server string, limit float64, v View) (ok bool, wait time.Duration) {
	perSecond := limit
	if v.All > 0 {
		perSecond *= min(float64(v.Reached)/float64(v.All), 1)
	}
	if i.Primary(server, v) != i.self {
		perSecond *= fallbackShare
	}
	b := i.bucket(now, server, perSecond)
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	next := now.Add(time.Duration((1 - b.limiter.TokensAt(now)) * float64(interval)))
	if b.reservedUntil.After(next) {
		next = b.reservedUntil
	}
	b.reservedUntil = next.Add(interval)
	if latest := now.Add(maxWait); b.reservedUntil.After(latest) {
		b.reservedUntil = latest
	}
	return false, min(max(next.Sub(now), minWait), maxWait)
}

// bucket returns the bucket for a server, set to perSecond permits a second. A new
// one starts with a single permit: another instance may just have issued its own.
func (i *Issuer) bucket(now time.Time, server string, perSecond float64) *bucket {
	burst := minBurst + int(perSecond*burstTime.Seconds())
	b := i.buckets[server]
	if b == nil {
		i.evictIdle(now)
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		b.limiter.AllowN(now, burst-1)
		i.buckets[server] = b
	}
	b.usedAt = now
	if old := float64(b.limiter.Limit()); perSecond < old*(1-minLimitChange) || perSecond > old*(1+minLimitChange) {
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, burst)
	}
	return b
}

// evictIdle evicts idle buckets once there are maxBuckets, or all buckets if none
// of them is idle.
func (i *Issuer) evictIdle(now time.Time) {
	if len(i.buckets) < maxBuckets {
		return
	}
	for server, b := range i.buckets {
		if now.Sub(b.usedAt) > bucketIdleTimeout {
			delete(i.buckets, server)
		}
	}
	if len(i.buckets) >= maxBuckets {
		clear(i.buckets)
	}
}
