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
	t.verdicts = map[Part]*Verdict{}
	for p, e := range t.suspects {
		if t.convicts(e) {
			t.verdicts[p] = t.verdict(now, e, old[p])
		}
	}
	for p, v := range old {
		if t.verdicts[p] == nil {
			t.changes = append(t.changes, Change{Released, *v})
		}
	}
}

// convicts reports whether evidence is enough for a verdict.
func (t *Tracker) convicts(e *Evidence) bool {
	if e.SurvivedAt.IsZero() {
		return e.weight() >= t.cfg.ConvictionWeight
	}
	return e.weight() >= t.cfg.KnownConvictionWeight
}

// expire drops old crashes and parts without evidence against them.
func (t *Tracker) expire(now time.Time) {
	for p, e := range t.suspects {
		ttl := suspicionTTL
		if v := t.verdicts[p]; v != nil {
			ttl = verdictTTL
			if now.Sub(v.usedAt) < verdictTTL {
				continue
			}
		}
		e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.At) > ttl })
		if len(e.Crashes) == 0 {
			delete(t.suspects, p)
		}
	}
}

// discountExplained drops the crashes that a convicted part explains from the evidence
// on other parts, unless these cannot be told from the convicted one.
func (t *Tracker) discountExplained() {
	for _, p := range slices.SortedFunc(maps.Keys(t.suspects), compareParts) {
		culprit := t.suspects[p]
		if culprit == nil || !t.convicts(culprit) {
			continue
		}
		signature := t.signature(culprit)
		for q, e := range t.suspects {
			if q.Service != p.Service || t.convicts(e) || slices.Contains(signature, q.ID) {
				continue
			}
			e.Crashes = slices.DeleteFunc(e.Crashes, func(c Crash) bool { return slices.ContainsFunc(culprit.Crashes, c.sameProcess) })
			if len(e.Crashes) == 0 {
				delete(t.suspects, q)
			}
		}
	}
}

// signature returns the parts that a request must have to fall under the verdict on
// a part, sorted: the part, and its companions in all crashes unless these are known
// to be harmless.
func (t *Tracker) signature(e *Evidence) []string {
	ids := []string{e.Part.ID}
	for _, id := range e.companions() {
		survivedAt := t.survivals.at(Part{e.Part.Service, id})
		if survivedAt.IsZero() || (!e.SurvivedAt.IsZero() && !excuses(survivedAt, e.Crashes[0].At)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// verdict returns the verdict on a convicted part; old is the earlier one, or nil.
func (t *Tracker) verdict(now time.Time, e *Evidence, old *Verdict) *Verdict {
	v := &Verdict{Evidence: e.clone(), Signature: t.signature(e), Since: now, usedAt: now}
	switch {
	case old == nil:
		t.changes = append(t.changes, Change{Quarantined, *v})
	case !slices.Equal(old.Signature, v.Signature):
		v.Since, v.usedAt = old.Since, old.usedAt
		t.changes = append(t.changes, Change{Narrowed, *v})
	default:
		v.Since, v.usedAt = old.Since, old.usedAt
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
// instance's position in a part's order of instances; 0 is the first.
func (t *Tracker) Check(now time.Time, service string, ids []string, slot func(Part) int) Decision {
	v, unique := t.match(service, ids)
	if v == nil {
		return Decision{}
	}
	v.usedAt = now
	if !unique {
		// A request under several verdicts shows nothing about any of them.
		return Decision{Blocked: true, Verdict: *v, RetryAfter: probeInterval}
	}
	e := t.suspects[v.Evidence.Part]
	at := e.nextProbe().Add(time.Duration(slot(e.Part)) * probeSlot)
	if now.Before(at) {
		return Decision{Blocked: true, Verdict: *v, RetryAfter: at.Sub(now)}
	}
	e.ProbedAt = now
	e.Probes++
	return Decision{Probe: true, Verdict: *v, Report: e.clone()}
}

// match returns the verdict on a request with the given parts, or nil. Of verdicts with
// the same signature it is the one on the first part, so that all instances count
// probes at the same part; unique is false if there are others.
func (t *Tracker) match(service string, ids []string) (v *Verdict, unique bool) {
	unique = true
	for _, id := range ids {
		found := t.verdicts[Part{service, id}]
		switch {
		case found == nil || !found.Matches(ids):
		case v == nil:
			v = found
		case !slices.Equal(v.Signature, found.Signature):
			unique = false
		case found.Evidence.Part.ID < v.Evidence.Part.ID:
			v = found
		}
	}
	return v, unique
}

// Matches reports whether a request with the given parts has the whole signature.
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

// nextProbe returns when the first instance in the part's order may send the next
// probe.
func (e *Evidence) nextProbe() time.Time {
	at := e.lastCrash().Add(min(probeInterval<<min(e.Probes, maxProbeDoublings), maxProbeInterval))
	if pending := e.ProbedAt.Add(probeTimeout); !e.ProbedAt.IsZero() && pending.After(at) {
		return pending
	}
	return at
}
