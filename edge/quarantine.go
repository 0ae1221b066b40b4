package edge

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/quarantine"
	"github.com/chestnutstream/chestnutstream/timer"
)

const (
	quarantineUpdateInterval = time.Second
	evidenceReplyTime        = 15 * time.Millisecond  // after a crash, for what the other instances know of its requests
	firstEvidenceTime        = 300 * time.Millisecond // after the start, for the evidence of the other instances
	maxFirstEvidence         = 16                     // traits in the first message on a link, unless more are convicted: all links may come up at once
)

// flight is a request in progress that has traits.
type flight struct {
	ingress.Admission
	traits []string
	probe  bool
}

// Admit implements ingress.Dispatcher.
func (n *Node) Admit(ctx context.Context, a ingress.Admission) (release func(), err error) {
	timer.Sleep(ctx, n.started.Add(firstEvidenceTime).Sub(n.now()))
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	version := n.fleet.Version(a.Target)
	f := &flight{Admission: a, traits: requestTraits(a.Target, version, a.Fingerprint)}
	if a.Target.Adapter != "" {
		f.traits = append(f.traits, loadTrait(a.Target, version))
	}
	d := n.quarantine.Check(now, a.Service, f.traits, n.probeSlot)
	if d.Blocked {
		n.metrics.GetOrCreateCounter(`chestnutstream_quarantine_rejections_total{service=` + strconv.Quote(a.Service) + `}`).Inc()
		return nil, quarantineError(now, d.Verdict, d.RetryAfter)
	}
	if d.Probe {
		f.probe = true
		n.sendEvidence([]quarantine.Evidence{d.Report})
		n.log.WithFields(verdictFields(now, d.Verdict)).WithField("request-id", a.RequestID).Warn("probing a quarantined trait")
	}
	n.flights[f] = struct{}{}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.flights, f)
	}, nil
}

// admitLoad reports whether an order to load may be sent to an engine: it is not
// quarantined, or a request for it is a probe, or it is one itself. Callers hold mu.
func (n *Node) admitLoad(service string, o chestnutstream.BackendOrder) bool {
	now, trait := n.now(), loadTrait(o.Target, o.Version)
	if n.quarantine.Probing(now, quarantine.Trait{Service: service, ID: trait}) {
		return true
	}
	d := n.quarantine.Check(now, service, []string{trait}, n.probeSlot)
	if d.Probe {
		n.sendEvidence([]quarantine.Evidence{d.Report})
	}
	if d.Blocked || d.Probe {
		n.log.WithFields(verdictFields(now, d.Verdict)).WithField("probe", d.Probe).Warn("order to load a quarantined adapter or model")
	}
	return !d.Blocked
}

// quarantineError returns the error for a request that is kept from the servers.
func quarantineError(now time.Time, v quarantine.Verdict, retryAfter time.Duration) *ingress.NoServerError {
	e := v.Evidence
	reason := fmt.Sprintf("requests with %s are quarantined: %d servers of %s crashed on them, the last one %v ago",
		strings.Join(v.Signature, " and "), len(e.Crashes), e.Trait.Service, now.Sub(e.Crashes[len(e.Crashes)-1].At).Round(time.Millisecond))
	return &ingress.NoServerError{Reason: reason, RetryAfter: retryAfter}
}

// probeSlot returns this instance's position in the order in which the connected
// instances may probe a trait. Callers hold mu.
func (n *Node) probeSlot(trait quarantine.Trait) int {
	return n.instanceSlot(trait.Service + "\x00" + trait.ID)
}

// RecordSurvival implements ingress.Dispatcher.
func (n *Node) RecordSurvival(a ingress.Assignment, f ingress.Fingerprint) {
	n.mu.Lock()
	changes := n.recordSurvival(a.Server.Service, requestTraits(a.Target, a.Version, f))
	n.mu.Unlock()
	n.logVerdicts(changes)
}

// recordSurvival records that traits have crashed no server. Callers hold mu.
func (n *Node) recordSurvival(service string, traits []string) []quarantine.Change {
	if len(traits) == 0 {
		return nil
	}
	n.sendEvidence(n.quarantine.RecordSurvival(n.now(), service, traits))
	return n.applyVerdicts()
}

// recordCrash adds the crash of a server to the evidence.
func (n *Node) recordCrash(server chestnutstream.Backend, runs []quarantine.Run) {
	n.mu.Lock()
	c := quarantine.ServerCrash{Service: server.Service, Server: server.ID, Born: server.Born, Runs: runs}
	n.sendEvidence(n.quarantine.RecordCrash(n.now(), c))
	changes := n.applyVerdicts()
	n.mu.Unlock()
	n.logVerdicts(changes)
}

// suspected reports whether a trait is suspected of having crashed a server, after a
// time in which other instances respond that it is harmless.
func (n *Node) suspected(ctx context.Context, service string, traits []string) bool {
	timer.Sleep(ctx, evidenceReplyTime)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.quarantine.Suspected(service, traits)
}

// releaseTrait serves an operator's request to release a trait on all instances. It
// responds with 404 if there is no evidence against the trait.
func (n *Node) releaseTrait(w http.ResponseWriter, r *http.Request) {
	trait := quarantine.Trait{Service: mux.Vars(r)["service"], ID: mux.Vars(r)["trait"]}
	n.mu.Lock()
	released := n.quarantine.Release(n.now(), trait)
	n.sendEvidence(released)
	changes := n.applyVerdicts()
	n.mu.Unlock()
	n.logVerdicts(changes)
	if len(released) == 0 {
		http.Error(w, fmt.Sprintf("no evidence against %q of service %q", trait.ID, trait.Service), http.StatusNotFound)
		return
	}
	n.log.WithFields(log.Fields{"service": trait.Service, "trait": trait.ID, "remote": r.RemoteAddr}).Warn("trait released by an operator")
}

// applyVerdicts aborts the requests that new verdicts keep from the servers, unless a
// server has begun to respond. It returns the changes for the log. Callers hold mu.
func (n *Node) applyVerdicts() []quarantine.Change {
	changes := n.quarantine.Changes()
	now := n.now()
	for _, c := range changes {
		if c.Kind == quarantine.Released {
			continue
		}
		err := quarantineError(now, c.Verdict, c.Verdict.RetryAfter(now))
		for f := range n.flights {
			if f.Service == c.Verdict.Evidence.Trait.Service && c.Verdict.Matches(f.traits) && !f.probe && !f.Begun() {
				f.Abort(err)
			}
		}
	}
	return changes
}

// logVerdicts logs and counts changes of verdicts. Callers do not hold mu.
func (n *Node) logVerdicts(changes []quarantine.Change) {
	for _, c := range changes {
		n.metrics.GetOrCreateCounter(`chestnutstream_quarantine_changes_total{change="` + string(c.Kind) + `"}`).Inc()
		n.log.WithFields(verdictFields(n.now(), c.Verdict)).WithField("change", string(c.Kind)).Warn("quarantine changed")
	}
}

// verdictFields returns the log fields of a verdict.
func verdictFields(now time.Time, v quarantine.Verdict) log.Fields {
	e := v.Evidence
	var servers []string
	for _, c := range e.Crashes {
		servers = append(servers, c.Server)
	}
	f := log.Fields{"service": e.Trait.Service, "trait": e.Trait.ID, "signature": strings.Join(v.Signature, ","), "crashed": strings.Join(servers, ","), "probes": e.Probes}
	if len(e.Crashes) > 0 {
		f["first-ms"], f["last-ms"] = now.Sub(e.Crashes[0].At).Milliseconds(), now.Sub(e.Crashes[len(e.Crashes)-1].At).Milliseconds()
	}
	return f
}

// sendEvidence sends evidence to all other instances. Callers hold mu.
func (n *Node) sendEvidence(evidence []quarantine.Evidence) {
	if len(evidence) == 0 {
		return
	}
	messages := evidenceMessages(n.now(), evidence)
	n.mesh.Broadcast(func(b *instance.Bundle) { b.Evidence = append(b.Evidence, messages...) })
}

// handleEvidence merges evidence from another instance, and sends it what it lacks.
// Callers hold mu.
func (n *Node) handleEvidence(from string, b instance.Bundle) []quarantine.Change {
	if len(b.Evidence) == 0 && len(b.EvidenceReplies) == 0 {
		return nil
	}
	now := n.now()
	var replies, learned []quarantine.Evidence
	for _, e := range b.Evidence {
		if r := n.quarantine.Merge(evidenceOf(now, e)); r.HasReply {
			replies = append(replies, r.Reply)
		}
	}
	for _, e := range b.EvidenceReplies {
		received := evidenceOf(now, e)
		if n.quarantine.Merge(received).Learned {
			learned = append(learned, received) // the others may still suspect the trait
		}
	}
	n.quarantine.Update(now)
	if len(replies) > 0 {
		messages := evidenceMessages(now, replies)
		n.mesh.Send(from, func(b *instance.Bundle) { b.EvidenceReplies = append(b.EvidenceReplies, messages...) })
	}
	n.sendEvidence(learned)
	return n.applyVerdicts()
}

// updateQuarantine applies the passage of time to the verdicts. Callers hold mu.
func (n *Node) updateQuarantine(now time.Time) []quarantine.Change {
	if now.Sub(n.quarantineUpdatedAt) < quarantineUpdateInterval {
		return nil
	}
	n.quarantineUpdatedAt = now
	n.quarantine.Update(now)
	return n.applyVerdicts()
}

func evidenceMessages(now time.Time, evidence []quarantine.Evidence) []instance.TraitEvidence {
	var out []instance.TraitEvidence
	for _, e := range evidence {
		m := instance.TraitEvidence{Service: e.Trait.Service, ID: e.Trait.ID, SurvivedAgeMS: ageMS(now, e.SurvivedAt), ProbedAgeMS: ageMS(now, e.ProbedAt), Probes: e.Probes}
		for _, c := range e.Crashes {
			m.Crashes = append(m.Crashes, instance.TraitCrash{Server: c.Server, Born: c.Born, AgeMS: ageMS(now, c.At), Weight: c.Weight, Companions: c.Companions})
		}
		out = append(out, m)
	}
	return out
}

func evidenceOf(now time.Time, m instance.TraitEvidence) quarantine.Evidence {
	e := quarantine.Evidence{Trait: quarantine.Trait{Service: m.Service, ID: m.ID}, SurvivedAt: timeOf(now, m.SurvivedAgeMS), ProbedAt: timeOf(now, m.ProbedAgeMS), Probes: m.Probes}
	for _, c := range m.Crashes {
		e.Crashes = append(e.Crashes, quarantine.Crash{Server: c.Server, Born: c.Born, At: timeOf(now, c.AgeMS), Weight: c.Weight, Companions: c.Companions})
	}
	return e
}

// ageMS returns the age of a moment in milliseconds, -1 for the zero time.
func ageMS(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(now.Sub(t).Milliseconds(), 0)
}

// timeOf returns the moment of an age in milliseconds; the zero time for a negative one.
func timeOf(now time.Time, ms int64) time.Time {
	if ms < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
