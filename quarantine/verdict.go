package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Update applies the passage of time, and derives the verdicts from the evidence.
func (t *Tracker) Update(now time.Time) {
	t.expire(now)
	t.discountExplained()
	old := t.verdicts
	t.verdicts = map[Trait]*Verdict{}
	for trait, e := range t.suspects {
		if t.convicts(e) {
			t.verdicts[trait] = t.verdict(now, e, old[trait])
		}
	}
	for trait, v := range old {
		if t.verdicts[trait] == nil {
			t.changes = append(t.changes, Change{Released, *v})
		}
	}
}

// convicts reports whether evidence is enough for a verdict.
func (t *Tracker) convicts(e *Evidence) bool {
	threshold := t.cfg.KnownConvictionWeight
	if e.SurvivedAt.IsZero() {
		threshold = t.cfg.ConvictionWeight
	}
	return t.crashTimes(e.Trait.Service).weight(e.Crashes) >= threshold
}

// expire drops old crashes and traits without evidence against them.
func (t *Tracker) expire(now time.Time) {
	for _, times := range t.crashes {
		times.expire(now.Add(-verdictTTL))
	}
	for trait, e := range t.suspects {
		ttl := suspicionTTL
		if v := t.verdicts[trait]; v != nil {
			ttl = verdictTTL
			if now.Sub(v.usedAt) < verdictTTL {
				continue
			}
		}
		e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.At) > ttl })
		if len(e.Crashes) == 0 {
			delete(t.suspects, trait)
		}
	}
}

// discountExplained drops the crashes that a convicted trait explains from the evidence
// on other traits, unless these cannot be told from the convicted one.
func (t *Tracker) discountExplained() {
	for _, trait := range slices.SortedFunc(maps.Keys(t.suspects), compareTraits) {
		culprit := t.suspects[trait]
		if culprit == nil || !t.convicts(culprit) {
			continue
		}
		signature := t.signature(culprit)
		for other, e := range t.suspects {
			if other.Service != trait.Service || t.convicts(e) || slices.Contains(signature, other.ID) {
				continue
			}
			e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return slices.ContainsFunc(culprit.Crashes, c.sameProcess) })
			if len(e.Crashes) == 0 {
				delete(t.suspects, other)
			}
		}
	}
}

// signature returns the traits that a request must have to fall under the verdict on
// a trait, sorted: the trait, and its companions in all crashes unless these are known
// to be harmless.
func (t *Tracker) signature(e *Evidence) []string {
	ids := []string{e.Trait.ID}
	for _, id := range e.companions() {
		survivedAt := t.survivals.at(Trait{e.Trait.Service, id})
		if survivedAt.IsZero() || (!e.SurvivedAt.IsZero() && !excuses(survivedAt, e.Crashes[0].At)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// verdict returns the verdict on a convicted trait; old is the earlier one, or nil.
func (t *Tracker) verdict(now time.Time, e *Evidence, old *Verdict) *Verdict {
	v := &Verdict{Evidence: e.clone(), Signature: t.signature(e), usedAt: now}
	switch {
	case old == nil:
		t.changes = append(t.changes, Change{Quarantined, *v})
	case !slices.Equal(old.Signature, v.Signature):
		v.usedAt = old.usedAt
		t.changes = append(t.changes, Change{Narrowed, *v})
	default:
		v.usedAt = old.usedAt
	}
	return v
}

// Decision is the result of a check.
type Decision struct {
	Blocked    bool
	Verdict    Verdict       // if Blocked or Probe
	RetryAfter time.Duration // if Blocked: until the next probe
	Probe      bool          // the request is a probe
	Report     Evidence      // if Probe: for the other instances
}

// Check decides whether a request may be sent to a server now. slot returns this
// instance's position in a trait's order of instances; 0 is the first.
func (t *Tracker) Check(now time.Time, service string, ids []string, slot func(Trait) int) Decision {
	v, unique := t.match(service, ids)
	if v == nil {
		return Decision{}
	}
	v.usedAt = now
	if !unique {
		// A request under several verdicts shows nothing about any of them.
		return Decision{Blocked: true, Verdict: *v, RetryAfter: probeInterval}
	}
	e := t.suspects[v.Evidence.Trait]
	at := e.nextProbe().Add(time.Duration(slot(e.Trait)) * probeSlot)
	if now.Before(at) {
		return Decision{Blocked: true, Verdict: *v, RetryAfter: at.Sub(now)}
	}
	e.ProbedAt = now
	e.Probes = min(e.Probes+1, maxProbes)
	return Decision{Probe: true, Verdict: *v, Report: e.clone()}
}

// Probing reports whether a request that was let through as a probe of a trait may still
// be in progress.
func (t *Tracker) Probing(now time.Time, trait Trait) bool {
	e := t.suspects[trait]
	return e != nil && now.Sub(e.ProbedAt) < probeTimeout && e.ProbedAt.After(e.lastCrash())
}

// match returns the verdict on a request with the given traits, or nil. Of verdicts with
// the same signature it is the one on the first trait, so that all instances count
// probes at the same trait; unique is false if there are others.
func (t *Tracker) match(service string, ids []string) (v *Verdict, unique bool) {
	unique = true
	for _, id := range ids {
		found := t.verdicts[Trait{service, id}]
		switch {
		case found == nil || !found.Matches(ids):
		case v == nil:
			v = found
		case !slices.Equal(v.Signature, found.Signature):
			unique = false
		case found.Evidence.Trait.ID < v.Evidence.Trait.ID:
			v = found
		}
	}
	return v, unique
}

// Matches reports whether a request with the given traits has the whole signature.
func (v *Verdict) Matches(ids []string) bool {
	for _, id := range v.Signature {
		if !slices.Contains(ids, id) {
			return false
		}
	}
	return true
}

// RetryAfter returns how long requests under a verdict are kept from the servers at
// least.
func (v *Verdict) RetryAfter(now time.Time) time.Duration {
	return max(v.Evidence.nextProbe().Sub(now), 0)
}

// nextProbe returns when the first instance in the trait's order may send the next
// probe.
func (e *Evidence) nextProbe() time.Time {
	at := e.lastCrash().Add(min(probeInterval<<min(e.Probes, maxProbeDoublings), maxProbeInterval))
	if pending := e.ProbedAt.Add(probeTimeout); !e.ProbedAt.IsZero() && pending.After(at) {
		return pending
	}
	return at
}
