// Package permit decides which instance may send the next request to a backend
// server that takes only so many a second from all instances together.
//
// For each such server one instance gives out permits: all choose the same, from
// the instances that they reach, without a word between them. A request asks it
// before it is sent, and goes elsewhere without a permit.
//
// # Usage
//
//	b := permit.NewBook("edge-a-1")
//	if b.GivenBy(now, server, view) == "edge-a-1" {
//		ok, wait := b.Ask(now, server, limit, view)
//	}
//	b.Silent(now, "edge-b-2") // it did not answer
//
// # Invariants
//
// An instance gives out no more than its group's share of the limit: of so many
// instances, those that it reaches. Groups that are cut off from one another so
// stay within the limit together. One that is asked although it is connected to the
// one that should be, which may be silent to some only, gives out a quarter.
package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Figures of giving out permits.
const (
	burstLeast    = 2                // permits that may be saved up
	burstTime     = time.Second / 4  // of the limit, that may be saved up beside
	deputyShare   = 0.25             // of the limit, where another instance should be asked
	silentFor     = time.Second      // an instance that did not answer is not asked
	waitLeast     = time.Millisecond // before a permit is asked for again
	bookedMost    = 2 * time.Second  // the longest wait that is told to who gets no permit
	bucketsMost   = 4096             // servers for which permits are given out
	changeLeast   = 0.01             // share by which a limit has to move before its bucket follows
	unusedForgets = 10 * time.Minute // after which a bucket may be forgotten
)

// View is what an instance knows of the others.
type View struct {
	Candidates []string // that may give out permits and are reached, this one among them
	Reached    int      // instances that are reached, this one among them
	All        int      // that there are
}

// Book is an instance's part in giving out permits.
type Book struct {
	self    string
	buckets map[string]*bucket
	silent  map[string]time.Time // instances that did not answer, and until when they are not asked
}

// bucket is the permits for one server.
type bucket struct {
	limiter *rate.Limiter
	booked  time.Time // until when those without a permit have been told to wait
	asked   time.Time
}

// NewBook returns the book of an instance.
func NewBook(self string) *Book {
	return &Book{self: self, buckets: map[string]*bucket{}, silent: map[string]time.Time{}}
}

// GivenBy returns the instance that is asked for the permits for a server.
func (b *Book) GivenBy(now time.Time, server string, v View) string {
	return b.first(server, v, func(name string) bool { return now.Before(b.silent[name]) })
}

// first returns the first candidate for a server, this instance where there is
// none.
func (b *Book) first(server string, v View, skip func(name string) bool) string {
	best, most := b.self, uint64(0)
	for _, name := range v.Candidates {
		if name != b.self && skip(name) {
			continue
		}
		if rank := xxhash.Sum64String(name + "\x00" + server); rank >= most {
			best, most = name, rank
		}
	}
	return best
}

// Silent notes that an instance did not answer in time.
func (b *Book) Silent(now time.Time, name string) { b.silent[name] = now.Add(silentFor) }

// Ask asks this instance for a permit for a server that takes limit requests a
// second. Without one, wait is when to ask again: those who ask in vain are told
// different times, one for each permit to come.
func (b *Book) Ask(now time.Time, server string, limit float64, v View) (ok bool, wait time.Duration) {
	perSecond := limit
	if v.All > 0 {
		perSecond *= min(float64(v.Reached)/float64(v.All), 1)
	}
	if b.first(server, v, func(string) bool { return false }) != b.self {
		perSecond *= deputyShare
	}
	k := b.bucket(now, server, perSecond)
	if k.limiter.AllowN(now, 1) {
		return true, 0
	}
	between := time.Duration(float64(time.Second) / perSecond)
	next := now.Add(time.Duration((1 - k.limiter.TokensAt(now)) * float64(between)))
	if k.booked.After(next) {
		next = k.booked
	}
	k.booked = next.Add(between)
	if latest := now.Add(bookedMost); k.booked.After(latest) {
		k.booked = latest
	}
	return false, min(max(next.Sub(now), waitLeast), bookedMost)
}

// bucket returns the permits for a server at so many a second. A new one has the
// first permit only: another instance may just have given out its own.
func (b *Book) bucket(now time.Time, server string, perSecond float64) *bucket {
	burst := burstLeast + int(perSecond*burstTime.Seconds())
	k := b.buckets[server]
	if k == nil {
		b.forget(now)
		k = &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
		k.limiter.AllowN(now, burst-1)
		b.buckets[server] = k
	}
	k.asked = now
	if was := float64(k.limiter.Limit()); perSecond < was*(1-changeLeast) || perSecond > was*(1+changeLeast) {
		k.limiter.SetLimitAt(now, rate.Limit(perSecond))
		k.limiter.SetBurstAt(now, burst)
	}
	return k
}

// forget drops the buckets that were not asked for long, and all if these are too
// few.
func (b *Book) forget(now time.Time) {
	if len(b.buckets) < bucketsMost {
		return
	}
	for server, k := range b.buckets {
		if now.Sub(k.asked) > unusedForgets {
			delete(b.buckets, server)
		}
	}
	if len(b.buckets) >= bucketsMost {
		clear(b.buckets)
	}
}
