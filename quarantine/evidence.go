package quarantine

import (
	"slices"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Trait identifies what requests to a service may have in common; see the package
// comment.
type Trait struct {
	Service string
	ID      string
}

// Weights of crashes as evidence against a trait, by how far the response to a request
// with it had got.
const (
	begunWeight = 1.0
	// noResponseWeight is less: most of the requests without a response were still in
	// the server's queue.
	noResponseWeight = 0.4
)

// Thresholds of evidence.
const (
	// survivalWindow is the time before a crash in which a survival shows that the trait
	// did not cause it.
	survivalWindow = 200 * time.Millisecond
	// commonCauseWindow is the time within which crashes are one event: servers that are
	// cut off or lose their power together end at the same moment.
	commonCauseWindow = 50 * time.Millisecond
	// suspicionTTL is how long a crash counts against a trait that is not convicted.
	suspicionTTL = 10 * time.Minute
	// maxCrashes is the number of crashes kept for a trait.
	maxCrashes = 16
	// maxCompanions is the number of companions kept for a crash. With fewer companions
	// a signature has fewer traits, so that more requests have it.
	maxCompanions = 8
)

// Crash is the end of a server's process as evidence against a trait.
type Crash struct {
	Server string
	Born   int64 // start of the process
	At     time.Time
	Weight float64
	// Companions are the IDs of the traits that were in a request together with this one
	// and may have caused the crash as well, sorted.
	Companions []string
}

// merge adds what another report of the same crash says. It reports whether c has
// changed.
func (c *Crash) merge(other Crash) bool {
	changed := false
	if other.At.Before(c.At) {
		c.At, changed = other.At, true
	}
	if weight := min(other.Weight, begunWeight); weight > c.Weight {
		c.Weight, changed = weight, true
	}
	for _, id := range other.Companions {
		if i, found := slices.BinarySearch(c.Companions, id); !found && len(c.Companions) < maxCompanions {
			c.Companions, changed = slices.Insert(c.Companions, i, id), true
		}
	}
	return changed
}

func (c Crash) sameProcess(other Crash) bool { return c.Server == other.Server && c.Born == other.Born }

// Evidence is what is known of a trait.
type Evidence struct {
	Trait      Trait
	Crashes    []Crash   // that count against it, oldest first
	SurvivedAt time.Time // latest survival; zero: none is known
	ProbedAt   time.Time // latest probe; zero: none
	Probes     int
}

// addCrash adds a crash, or raises its weight. It reports whether the evidence has
// changed.
func (e *Evidence) addCrash(c Crash) bool {
	if e.excuses(c) {
		return false
	}
	if i := slices.IndexFunc(e.Crashes, c.sameProcess); i >= 0 {
		changed := e.Crashes[i].merge(c)
		e.sort()
		return changed
	}
	if len(e.Crashes) >= maxCrashes {
		// The conviction rests on the first crashes, the time of the next probe on the
		// last one.
		e.Crashes = slices.Delete(e.Crashes, maxCrashes/2, maxCrashes/2+1)
	}
	added := Crash{Server: c.Server, Born: c.Born, At: c.At}
	added.merge(c)
	e.Crashes = append(e.Crashes, added)
	e.sort()
	return true
}

func (e *Evidence) sort() {
	slices.SortStableFunc(e.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// excuses reports whether a known survival shows that the trait did not cause a crash.
func (e *Evidence) excuses(c Crash) bool { return excuses(e.SurvivedAt, c.At) }

// excuses reports whether a survival shows that a trait did not cause a crash.
func excuses(survivedAt, crashedAt time.Time) bool {
	return !survivedAt.IsZero() && crashedAt.Sub(survivedAt) < survivalWindow
}

// survive records a survival and drops the crashes that it excuses. It reports whether
// the evidence has changed.
func (e *Evidence) survive(at time.Time) bool {
	if !at.After(e.SurvivedAt) {
		return false
	}
	e.SurvivedAt = at
	e.Crashes = slices.DeleteFunc(e.Crashes, e.excuses)
	return true
}

// companions returns the traits that were companions in all crashes.
func (e *Evidence) companions() []string {
	if len(e.Crashes) == 0 {
		return nil
	}
	common := slices.Clone(e.Crashes[0].Companions)
	for _, c := range e.Crashes[1:] {
		common = slices.DeleteFunc(common, func(id string) bool { return !slices.Contains(c.Companions, id) })
	}
	return common
}

// clone returns a copy that shares no memory.
func (e *Evidence) clone() Evidence {
	out := *e
	out.Crashes = slices.Clone(e.Crashes)
	for i := range out.Crashes {
		out.Crashes[i].Companions = slices.Clone(out.Crashes[i].Companions)
	}
	return out
}

// Run is a request that a server had not completed when it ended.
type Run struct {
	Traits   []string
	Progress chestnutstream.ResponseProgress
}

// crashWeight returns the weight of a crash as evidence against the traits of a run.
func (r Run) crashWeight() float64 {
	if r.Progress == chestnutstream.ResponseBegun {
		return begunWeight
	}
	return noResponseWeight
}
