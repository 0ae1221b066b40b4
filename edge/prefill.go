package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/loader"
)

// Limits of waiting for prefill grants.
const (
	prefillResponseTimeout = 60 * time.Millisecond // an owner responds to a prefill request at once; after that the prompt is sent without a grant
	prefillRetryDelay      = time.Second           // before an owner that did not respond gets another prefill request for the same engine
	secondEngineWaitShare  = 0.6                   // of the latency target: the longest wait for the second engine; fleet.Request.WaitLimit bounds that for the first
	maxLimitedEngines      = 2                     // engines tried with a limit on the wait; for further ones a request waits until it would be too late
)

// prefillWait is a request that waits for a prefill grant.
type prefillWait struct {
	server string
	owner  string
	ch     chan instance.PrefillResponse
}

// prefillPaced reports whether prompts for a service need prefill grants. Callers hold
// mu.
func (n *Node) prefillPaced(service string) bool { return n.fleet.PrefillPaced(n.now(), service) }

// prefillWaitLimit returns how long a request may wait for a prefill grant of an
// engine, after the given number of refusals.
func prefillWaitLimit(p ingress.PlacementRequest, refused int, now time.Time) time.Duration {
	left := p.Until.Sub(now)
	if p.Until.IsZero() {
		left = loadWaitTimeout
	}
	switch {
	case refused >= maxLimitedEngines || p.TargetLatency <= 0:
		return left
	case refused == 0:
		return min(fleetRequest(p, 0).WaitLimit(), left)
	}
	return min(time.Duration(secondEngineWaitShare*float64(p.TargetLatency)), left)
}

// awaitPrefillGrant waits until a prompt may be sent to an engine. When the wait would
// exceed limit it returns false and the wait. If the engine's owner cannot be reached,
// or does not respond, the prompt may be sent at once. Callers do not hold mu.
func (n *Node) awaitPrefillGrant(ctx context.Context, server string, p ingress.PlacementRequest, version int, limit time.Duration) (ok bool, wait time.Duration) {
	n.mu.Lock()
	now := n.now()
	s, owner := n.fleet.Server(server), n.ownerOf(server)
	if s == nil || owner == "" || !s.AcceptsPrefillRequests(now) {
		n.mu.Unlock()
		return true, 0
	}
	until := limit
	if !p.Until.IsZero() {
		until = p.Until.Sub(now)
	}
	n.lastPrefillID++
	id := n.lastPrefillID
	w := &prefillWait{server: server, owner: owner, ch: make(chan instance.PrefillResponse, 2)}
	n.prefillWaits[id] = w
	request := instance.PrefillRequest{
		Server: server, ID: id, Target: p.Target, Tokens: n.tokensToPrefill(now, server, p, version), Priority: p.Priority,
		OnTimeMS: (p.TargetLatency - now.Sub(p.Start)).Milliseconds(), UsefulMS: until.Milliseconds(), MaxWaitMS: limit.Milliseconds(),
		Workspace: p.Workspace, OutputTokens: p.Prompt.MaxOutputTokens,
	}
	sent := n.sendPrefillRequest(owner, request)
	n.mu.Unlock()
	defer n.removePrefillWait(id)
	if !sent {
		return true, 0
	}
	timeout := time.NewTimer(prefillResponseTimeout)
	defer timeout.Stop()
	for {
		select {
		case r := <-w.ch:
			switch r.State {
			case instance.PrefillGranted:
				return true, time.Duration(r.WaitMS) * time.Millisecond
			case instance.PrefillRefused:
				return false, time.Duration(r.WaitMS) * time.Millisecond
			}
			timeout.Stop()
		case <-ctx.Done():
			n.mu.Lock()
			request.Tokens = 0
			n.sendPrefillRequest(owner, request)
			n.mu.Unlock()
			return false, minRetryAfter
		case <-timeout.C:
			n.mu.Lock()
			n.fleet.SuspendPrefillRequests(server, n.now().Add(prefillRetryDelay))
			n.mu.Unlock()
			n.log.WithFields(log.Fields{"request-id": p.RequestID, "server": server, "owner": owner}).Warn("owner did not respond to the prefill request; sending the prompt without a grant")
			return true, 0
		}
	}
}

func (n *Node) removePrefillWait(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.prefillWaits, id)
}

// sendPrefillRequest sends a prefill request to the owner of an engine, which may be
// this instance; one with 0 tokens withdraws it. It reports false when the owner cannot
// be reached. Callers hold mu.
func (n *Node) sendPrefillRequest(owner string, r instance.PrefillRequest) bool {
	if owner == n.id {
		n.handlePrefillRequest(n.boot(), owner, r)
		return true
	}
	return n.mesh.Send(owner, func(b *instance.Bundle) { b.PrefillRequests = append(b.PrefillRequests, r) })
}

// handlePrefillRequest responds to a prefill request for an engine that this instance
// owns. For other engines it grants the prefill at once. Callers hold mu.
func (n *Node) handlePrefillRequest(boot time.Duration, from string, r instance.PrefillRequest) {
	e := n.loaders[r.Server]
	switch {
	case e == nil && r.Tokens > 0:
		n.sendPrefillResponse(from, instance.PrefillResponse{Server: r.Server, ID: r.ID, State: instance.PrefillGranted})
		return
	case e == nil:
		return
	case r.Tokens <= 0:
		e.CancelPrefill(from, r.ID)
		return
	}
	ms := func(v int64) time.Duration { return time.Duration(v) * time.Millisecond }
	e.SetPace(n.prefillPace(r.Server, e.Server.Service))
	for _, a := range e.RequestPrefill(boot, loader.PrefillRequest{
		From: from, ID: r.ID, Target: r.Target, Tokens: r.Tokens, Priority: r.Priority,
		OnTimeUntil: boot + ms(r.OnTimeMS), UsefulUntil: boot + ms(r.UsefulMS), MaxWait: ms(r.MaxWaitMS),
		Workspace: r.Workspace, OutputTokens: max(r.OutputTokens, 0),
	}) {
		n.notify(r.Server, a)
	}
	if e.PrefillsWaiting() > 0 {
		n.wakeControl()
	}
}

// prefillPace returns how fast an engine may be sent prompts. Callers hold mu.
func (n *Node) prefillPace(server, service string) loader.Pace {
	t := n.routes.Load()
	if t == nil {
		return loader.Pace{}
	}
	return loader.Pace{Window: t.MinTargetGap(service), Rate: n.fleet.PrefillRate(n.now(), server), Share: n.fleet.PrefillShare(service), Competing: n.hasCompetingRequests(t, service)}
}

// prefillStates are the response states for a loader's prefill actions.
var prefillStates = map[loader.ActionKind]instance.PrefillState{
	loader.GrantPrefill: instance.PrefillGranted, loader.DeferPrefill: instance.PrefillQueued, loader.RefusePrefill: instance.PrefillRefused,
}

// sendPrefillResponse sends the response to a prefill request. Callers hold mu.
func (n *Node) sendPrefillResponse(to string, r instance.PrefillResponse) {
	if to == n.id {
		n.handlePrefillResponse(r)
		return
	}
	n.mesh.Send(to, func(b *instance.Bundle) { b.PrefillResponses = append(b.PrefillResponses, r) })
}

// handlePrefillResponse passes an owner's response to the waiting prefill request.
// Callers hold mu.
func (n *Node) handlePrefillResponse(r instance.PrefillResponse) {
	w := n.prefillWaits[r.ID]
	if w == nil || w.server != r.Server {
		return
	}
	select {
	case w.ch <- r:
	default:
	}
}

// endPrefillWaits ends the matching waits for prefill grants with a response: a refusal
// when the engine departed, restarted or drains, a grant when its owner is unreachable.
// Callers hold mu.
func (n *Node) endPrefillWaits(state instance.PrefillState, match func(w *prefillWait) bool) {
	for id, w := range n.prefillWaits {
		if match(w) {
			n.handlePrefillResponse(instance.PrefillResponse{Server: w.server, ID: id, State: state})
		}
	}
}

// RecordPause implements ingress.Dispatcher. When too many streams of a service pause
// for longer than their routes allow, all instances start to pace its prefills.
func (n *Node) RecordPause(a ingress.Assignment, pause time.Duration) {
	service := a.Server.Service
	n.mu.Lock()
	t := n.routes.Load()
	pacingStarted := t != nil && n.fleet.RecordStreamPause(n.now(), a.Server.ID, pause, t.MinTargetGap(service))
	n.mu.Unlock()
	if !pacingStarted {
		return
	}
	n.log.WithFields(log.Fields{"service": service, "pause-ms": pause.Milliseconds()}).Info("stream pauses exceed the limit; prompts now need prefill grants")
	n.mesh.Broadcast(func(b *instance.Bundle) { b.PacedServices = append(b.PacedServices, service) })
}
