package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Limits of the state of a Tracker.
const (
	maxSuspects = 2048 // traits with evidence against them
	maxReported = 32   // traits that an instance reports of a crash
	// verdictTTL is how long after the latest request with its signature a verdict is
	// kept.
	verdictTTL = 24 * time.Hour
)

// Parameters of probes.
const (
	probeInterval     = time.Minute // after a crash, until the first probe; doubles with each probe
	maxProbeInterval  = time.Hour
	maxProbeDoublings = 12
	maxProbes         = 1 << 20          // further ones are not counted
	probeSlot         = 2 * time.Second  // the instance that is next in a trait's order may probe this much later
	probeTimeout      = 10 * time.Second // within which the result of a probe is expected
)

// Settings are the weights of crashes that convict a trait.
type Settings struct {
	ConvictionWeight      float64 // of a trait that is not known to have survived
	KnownConvictionWeight float64 // of a trait that has survived earlier
}

// DefaultSettings returns the settings of the edge role.
func DefaultSettings() Settings {
	return Settings{ConvictionWeight: 2, KnownConvictionWeight: 3}
}

// Tracker holds the evidence of one instance and its verdicts. It is not safe for
// concurrent use.
type Tracker struct {
	cfg       Settings
	survivals survivals
	suspects  map[Trait]*Evidence
	verdicts  map[Trait]*Verdict
	crashes   map[string]*crashTimes // by service
	changes   []Change
}

// Verdict is the quarantine of the requests with a convicted trait.
type Verdict struct {
	Evidence  Evidence
	Signature []string  // IDs of the traits that a request must have, sorted; the convicted trait is one of them
	usedAt    time.Time // of the latest request that it kept from the servers
}

// ChangeKind is the kind of a change of verdicts.
type ChangeKind string

// The kinds of changes.
const (
	Quarantined ChangeKind = "quarantined"
	Narrowed    ChangeKind = "narrowed" // the signature has changed, mostly to fewer traits
	Released    ChangeKind = "released"
)

// Change is a change of the verdict on a trait.
type Change struct {
	Kind    ChangeKind
	Verdict Verdict
}

// ServerCrash is the end of a server's process with the requests that this instance
// had there.
type ServerCrash struct {
	Service string
	Server  string
	Born    int64
	Runs    []Run
}

// NewTracker returns a tracker without evidence.
func NewTracker(cfg Settings) *Tracker {
	return &Tracker{cfg: cfg, suspects: map[Trait]*Evidence{}, verdicts: map[Trait]*Verdict{}, crashes: map[string]*crashTimes{}}
}

// crashTimes returns the known crashes of the servers of a service.
func (t *Tracker) crashTimes(service string) *crashTimes {
	times := t.crashes[service]
	if times == nil {
		times = &crashTimes{}
		t.crashes[service] = times
	}
	return times
}

// RecordSurvival records that the response to a request with the given traits got under
// way. It returns the evidence that the other instances need.
func (t *Tracker) RecordSurvival(now time.Time, service string, ids []string) []Evidence {
	var report []Evidence
	for _, id := range ids {
		trait := Trait{service, id}
		t.survivals.record(trait, now)
		if e := t.suspects[trait]; e != nil && e.survive(now) {
			report = append(report, e.clone())
		}
	}
	if len(report) > 0 {
		t.Update(now)
	}
	return report
}

// RecordCrash records the end of a server's process. It returns the evidence that the
// other instances need, on at most maxReported traits.
func (t *Tracker) RecordCrash(now time.Time, c ServerCrash) []Evidence {
	t.crashTimes(c.Service).record(Crash{Server: c.Server, Born: c.Born, At: now})
	changed := map[Trait]bool{}
	for _, r := range c.Runs {
		if r.Progress == chestnutstream.ResponseUnderWay {
			continue
		}
		for _, id := range r.Traits {
			trait := Trait{c.Service, id}
			crash := Crash{Server: c.Server, Born: c.Born, At: now, Weight: r.crashWeight()}
			crash.merge(Crash{At: now, Companions: t.companions(now, c.Service, r.Traits, id)})
			if t.suspect(trait).addCrash(crash) {
				changed[trait] = true
			}
		}
	}
	t.Update(now)
	return t.report(changed)
}

// companions returns the given traits, except one, that may have caused a crash.
func (t *Tracker) companions(crashedAt time.Time, service string, ids []string, except string) []string {
	var out []string
	for _, id := range ids {
		if id != except && !excuses(t.survivals.at(Trait{service, id}), crashedAt) {
			out = append(out, id)
		}
	}
	return out
}

// MergeResult tells what evidence from another instance has changed.
type MergeResult struct {
	Learned  bool     // this instance did not know of the survival
	Reply    Evidence // what the sender lacks, if HasReply is set: a later survival
	HasReply bool
}

// Merge adds evidence from another instance. Verdicts follow with the next Update.
func (t *Tracker) Merge(received Evidence) MergeResult {
	var r MergeResult
	e := t.suspect(received.Trait)
	if len(received.Crashes) > 0 && e.SurvivedAt.Sub(received.SurvivedAt) > sameSurvival {
		r.Reply, r.HasReply = Evidence{Trait: e.Trait, SurvivedAt: e.SurvivedAt}, true
	}
	r.Learned = received.SurvivedAt.Sub(e.SurvivedAt) > sameSurvival
	if e.survive(received.SurvivedAt) {
		t.survivals.record(received.Trait, received.SurvivedAt)
	}
	for _, c := range received.Crashes {
		t.crashTimes(received.Trait.Service).record(c)
		e.addCrash(c)
	}
	if received.ProbedAt.After(e.ProbedAt) {
		e.ProbedAt = received.ProbedAt
	}
	e.Probes = max(e.Probes, min(received.Probes, maxProbes))
	return r
}

// sameSurvival is the difference up to which two times of a survival count as the
// same: they were sent as ages.
const sameSurvival = survivalWindow / 2

// Release records that an operator has found a trait to be harmless, and with it the
// others in the signature of its verdict. It returns the evidence for the other
// instances, or none if the trait is not suspected.
func (t *Tracker) Release(now time.Time, trait Trait) []Evidence {
	if t.suspects[trait] == nil {
		return nil
	}
	ids := []string{trait.ID}
	if v := t.verdicts[trait]; v != nil {
		ids = v.Signature
	}
	return t.RecordSurvival(now, trait.Service, ids)
}

// Evidence returns the evidence for an instance that has none yet: on the convicted
// traits, on the latest other suspects up to limit traits in all, and the survivals of
// their companions, which are no longer suspected.
func (t *Tracker) Evidence(limit int) []Evidence {
	order := slices.SortedFunc(maps.Keys(t.suspects), func(trait, other Trait) int {
		switch {
		case t.Convicted(trait) && !t.Convicted(other):
			return -1
		case t.Convicted(other) && !t.Convicted(trait):
			return 1
		}
		return cmp.Or(t.suspects[other].lastCrash().Compare(t.suspects[trait].lastCrash()), compareTraits(trait, other))
	})
	var out []Evidence
	harmless := map[Trait]bool{}
	for i, trait := range order {
		if i >= limit && !t.Convicted(trait) {
			break
		}
		e := t.suspects[trait]
		out = append(out, e.clone())
		for _, id := range e.companions() {
			other := Trait{trait.Service, id}
			if at := t.survivals.at(other); t.suspects[other] == nil && !at.IsZero() && !harmless[other] {
				harmless[other] = true
				out = append(out, Evidence{Trait: other, SurvivedAt: at})
			}
		}
	}
	return out
}

// Convicted reports whether there is a verdict on a trait.
func (t *Tracker) Convicted(trait Trait) bool { return t.verdicts[trait] != nil }

// Suspected reports whether there is evidence against one of the given traits that is
// not known to have survived. A request itself is suspected only under a verdict: most of
// those on a server that crashes are sound.
func (t *Tracker) Suspected(service string, ids []string) bool {
	return slices.ContainsFunc(ids, func(id string) bool {
		trait := Trait{service, id}
		e := t.suspects[trait]
		return e != nil && e.SurvivedAt.IsZero() && (!trait.identifiesRequest() || t.Convicted(trait))
	})
}

// Verdicts returns all verdicts, in order of service and ID.
func (t *Tracker) Verdicts() []Verdict {
	out := make([]Verdict, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Verdict) int { return compareTraits(a.Evidence.Trait, b.Evidence.Trait) })
	return out
}

func compareTraits(a, b Trait) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
}

// Changes returns the changes of verdicts since the last call.
func (t *Tracker) Changes() []Change {
	out := t.changes
	t.changes = nil
	return out
}

// report returns copies of the evidence on the given traits, at most maxReported of
// them: those with the greatest weight.
func (t *Tracker) report(traits map[Trait]bool) []Evidence {
	out := make([]Evidence, 0, len(traits))
	for trait := range traits {
		if e := t.suspects[trait]; e != nil {
			out = append(out, e.clone())
		}
	}
	weight := func(e Evidence) float64 { return t.crashTimes(e.Trait.Service).weight(e.Crashes) }
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), compareTraits(a.Trait, b.Trait))
	})
	return out[:min(len(out), maxReported)]
}

// suspect returns the evidence on a trait, which is new if there was none.
func (t *Tracker) suspect(trait Trait) *Evidence {
	e := t.suspects[trait]
	if e == nil {
		t.evict()
		e = &Evidence{Trait: trait, SurvivedAt: t.survivals.at(trait)}
		t.suspects[trait] = e
	}
	return e
}

// evict makes room for one more suspect: the one whose latest crash is the oldest,
// except convicted ones, is dropped.
func (t *Tracker) evict() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *Evidence
	for _, e := range t.suspects {
		if t.verdicts[e.Trait] == nil && (oldest == nil || e.lastCrash().Before(oldest.lastCrash())) {
			oldest = e
		}
	}
	if oldest != nil {
		delete(t.suspects, oldest.Trait)
	}
}

// lastCrash returns the time of the latest crash; zero if there is none.
func (e *Evidence) lastCrash() time.Time {
	if len(e.Crashes) == 0 {
		return time.Time{}
	}
	return e.Crashes[len(e.Crashes)-1].At
}
