package edge

import (
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/platform"
)

// RecordResult implements ingress.Dispatcher.
func (n *Node) RecordResult(a ingress.Assignment, target chestnutstream.ModelAdapter, r ingress.Result) {
	n.mu.Lock()
	if a.Peer != "" {
		n.recordForward(a, r.Outcome)
		n.mu.Unlock()
		return
	}
	now := n.now()
	changes := n.recordBackpressure(now, now.Add(-r.Took), a.Server, r.Backpressure)
	if r.NoRoom {
		n.recordRejection(a.Server.ID, r.Load)
	}
	n.recordResponse(now, a, target, r)
	n.mu.Unlock()
	n.logBackpressure(changes, "")
}

// recordResponse passes a response to the fleet. Callers hold mu.
func (n *Node) recordResponse(now time.Time, a ingress.Assignment, target chestnutstream.ModelAdapter, r ingress.Result) {
	n.fleet.RecordOutcome(now, a.Server.ID, r.Outcome, r.Took)
	if r.Connected {
		n.fleet.RecordConnection(now, a.Server.ID, true)
	}
	if r.Load != nil {
		n.fleet.RecordLoad(now, a.Server.ID, r.Load.Running, r.Load.Waiting)
		n.fleet.RecordPace(now, a.Server.ID, r.Load.Pace)
	}
	switch {
	case r.Outcome != fleet.Responded:
	case a.FirstEvent > 0:
		n.recordFirstEvent(now, a, r.Took)
	case r.Load != nil:
		n.fleet.RecordServiceTime(now, a.Server.ID, r.Took, r.Load.Waiting)
	default:
		n.fleet.RecordServiceTime(now, a.Server.ID, r.Took, 0)
	}
	switch {
	case r.WrongServer:
		n.fleet.RecordMisplaced(now, a.Server.ID)
	case r.NotLoaded:
		n.fleet.RecordNotLoaded(a.Server.ID, target)
	case r.Outcome == fleet.Responded && target.Model != "":
		n.fleet.RecordLoaded(now, a.Server.ID, target, max(a.Version, 0))
		n.recordPrompt(now, a, target)
	}
}

// recordFirstEvent compares the estimated time to the first event with the measured
// one. Callers hold mu.
func (n *Node) recordFirstEvent(now time.Time, a ingress.Assignment, took time.Duration) {
	if a.PrefillWait == 0 {
		prefilled := a.Prompt
		prefilled.Tokens -= a.CachedTokens
		n.fleet.RecordFirstEvent(now, a.Server.ID, prefilled, took)
	}
	sign, diff := "under", took-a.FirstEvent
	if diff < 0 {
		sign, diff = "over", -diff
	}
	n.metrics.GetOrCreateHistogram(`chestnutstream_first_event_estimate_error_seconds{estimate="` + sign + `"}`).Update(diff.Seconds())
}

// Release implements ingress.Dispatcher.
func (n *Node) Release(a ingress.Assignment, e ingress.Ending) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Peer != "" {
		if p := n.peers[a.Peer]; p != nil && p.forwarded > 0 {
			p.forwarded--
		}
		return
	}
	n.recordDone(a.Server.ID, e)
	n.recordEnded(a)
	k := adapterKey{a.Server.ID, a.Target}
	if u := n.usage[k]; u != nil && u.inProgress > 0 {
		u.inProgress--
		n.markUsageChanged(k)
	}
}

// AllowRetry implements ingress.Dispatcher.
func (n *Node) AllowRetry(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retryBudget(service).AllowRetry(n.now())
}

// ReserveRetry implements ingress.Dispatcher.
func (n *Node) ReserveRetry(service string, avoid map[string]bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	alternative := n.fleet.HasAlternative(now, service, avoid) || (n.cutOff[service] && len(n.mesh.Peers()) > 0)
	return alternative && n.retryBudget(service).AllowRetry(now)
}

// BeforeSend implements ingress.Dispatcher.
func (n *Node) BeforeSend(a ingress.Assignment) (viewAge time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.fleet.Server(a.Server.ID)
	viewAge, ok = n.viewAge(platform.TableServers), s != nil && s.Born == a.Server.Born && s.State == chestnutstream.BackendReady
	n.metrics.GetOrCreateHistogram(`chestnutstream_send_view_age_seconds`).Update(viewAge.Seconds())
	if !ok {
		n.metrics.GetOrCreateCounter(`chestnutstream_sends_withheld_total`).Inc()
	}
	return viewAge, ok
}

// IsUnreachable implements ingress.Dispatcher.
func (n *Node) IsUnreachable(a ingress.Assignment) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a.Peer == "" && n.fleet.IsUnreachable(a.Server.ID)
}

// RecordRequest implements ingress.Dispatcher.
func (n *Node) RecordRequest(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryBudget(service).RecordRequest(n.now())
}

// retryBudget returns the retry budget of a service. Callers hold mu.
func (n *Node) retryBudget(service string) *fleet.Budget {
	b := n.budgets[service]
	if b == nil {
		b = fleet.NewBudget(n.cfg.RetryRatio, n.cfg.RetryExtra, n.cfg.RetryWindow, n.leases.Instances(n.boot()))
		n.budgets[service] = b
	}
	return b
}
