package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
)

// Time limits of placement.
const (
	ownerResponseTimeout = 350 * time.Millisecond // an owner responds to a load request at once, if only that the load is pending; after that another engine is tried
	loadWaitTimeout      = 3 * time.Second        // for a pending load, after ownerResponseTimeout
	placeRetryInterval   = 100 * time.Millisecond // between attempts to find an engine while all are full
	minRetryAfter        = 125 * time.Millisecond // least Retry-After sent to callers, however soon there may be capacity
	noServerRetryAfter   = 300 * time.Millisecond // Retry-After sent to callers when no server is known: entries of servers are written about once a second
	ownerRetryDelay      = time.Second            // before an owner that did not respond gets another load request for the same engine
	loadRequestInterval  = 500 * time.Millisecond // between load requests for one adapter on one engine
)

// loadWait is a load that requests of this instance wait for.
type loadWait struct {
	owner       string
	requestedAt time.Time
	version     int
	sentWaiting int  // number of waiting requests in the last load request
	pending     bool // the owner has responded that the load is pending
	waiters     []chan placeResult
}

// placeResult is the result of waiting for a load, a prefill grant or a permit.
type placeResult struct {
	ok         bool
	noPermit   bool // the server has a limit and there is no permit for it
	retryAfter time.Duration
	reason     string
	cause      string // of the metric of rejections
}

// Place implements ingress.Dispatcher.
func (n *Node) Place(ctx context.Context, p ingress.PlacementRequest) (ingress.Assignment, error) {
	n.mu.Lock()
	a, ok := n.forwardAtOnce(p)
	cutOff := n.cutOff[p.Service]
	n.mu.Unlock()
	if ok {
		return a, nil
	}
	if p.Forwarded && cutOff {
		return ingress.Assignment{}, &ingress.NoServerError{Reason: "this instance reaches no server of " + p.Service, RetryAfter: cutOffRejectionRetry}
	}
	place := n.placeEngine
	if n.engineSpec(p.Service) == nil {
		place = n.placePlain
	}
	a, err := place(ctx, p)
	n.countRejection(err)
	return a, err
}

// placeEngine finds an engine on which the request's adapter is loaded, or has it
// loaded on one. While all engines are full it retries until the placement would
// be too late.
func (n *Node) placeEngine(ctx context.Context, p ingress.PlacementRequest) (ingress.Assignment, error) {
	start := n.now()
	if !p.Until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, p.Until)
		defer cancel()
	}
	avoid := map[string]bool{}
	last := placeResult{retryAfter: noServerRetryAfter, reason: "no engine may take work"}
	n.recordModelDemand(p)
	n.mu.Lock()
	w := n.enterWaitlist(p)
	n.mu.Unlock()
	defer n.leaveWaitlist(w)
	refused := 0                   // prefill requests refused by owners: their engines have other prompts to prefill
	var shortestWait time.Duration // of the engines whose owners refused
	for ctx.Err() == nil {
		n.mu.Lock()
		if !w.mayProceed() {
			var err error
			if !n.yield(ctx, w, maxHold(n.now(), p)) {
				err = n.displaced(w, p.Service)
			}
			n.mu.Unlock()
			if err != nil {
				return ingress.Assignment{}, err
			}
			continue
		}
		excluded := n.excludedServers(p)
		for id := range excluded {
			avoid[id] = true
		}
		version := n.fleet.Version(p.Target)
		c := n.fleet.PickEngine(n.now(), fleetRequest(p, version), avoid, n.loadable)
		if c.Server != nil {
			w.resume() // its wait for a load or a prefill grant is not for a server that takes more
		}
		spec := n.engineSpec(p.Service)
		fits := spec == nil || spec.Fits(p.Target)
		if c.Replica != nil && fits {
			n.requestReplica(c.Replica.ID, p.Target, version)
		}
		if c.Server != nil && c.Loaded {
			id, now := c.Server.ID, n.now()
			_, _, brittle := n.fleet.Brittle(p.Service)
			if limit, _ := c.Server.Limit(); limit <= 0 && !brittle && !n.prefillPaced(p.Service) {
				assignment := n.recordPlacement(c.Server, p, version, now.Sub(start))
				n.mu.Unlock()
				return assignment, nil
			}
			n.mu.Unlock()
			assignment, r := n.admitAndPlace(ctx, id, p, version, prefillWaitLimit(p, refused, now), start)
			if r.ok {
				return assignment, nil
			}
			if last = r; r.noPermit {
				continue // the fleet does not choose this engine again until its permit wait has passed
			}
			if refused == 0 || r.retryAfter < shortestWait {
				shortestWait = r.retryAfter
			}
			if refused > maxLimitedEngines {
				break
			}
			refused++
			continue
		}
		if c.Server == nil {
			if a, ok := n.forwardUnplaced(p); ok {
				n.mu.Unlock()
				return a, nil
			}
			wait, ok := n.fleet.AvailableIn(n.now(), p.Service, excluded)
			late := ok && n.exceedsTarget(p, w, wait)
			unservable := p.Continues && !n.hasSoftware(p.Service, p.Software) && !n.mayFindSoftware(p)
			n.mu.Unlock()
			if unservable {
				last = placeResult{retryAfter: noServerRetryAfter, reason: fmt.Sprintf("no server of software version %q, which began the stream", p.Software)}
				break
			}
			if late {
				n.mu.Lock()
				last = placeResult{retryAfter: n.recordBlocked(n.now(), p, w, wait), reason: "all engines take no more for now", cause: causeBlocked}
				n.mu.Unlock()
				break
			}
			if p.Until.IsZero() || n.now().Add(placeRetryInterval).After(p.Until) {
				break
			}
			clear(avoid)
			n.mu.Lock()
			n.holdFor(ctx, n.now(), p, w, placeRetryInterval)
			n.mu.Unlock()
			continue
		}
		if !fits {
			n.mu.Unlock()
			last = placeResult{retryAfter: noServerRetryAfter, reason: "too large for its engines"}
			break
		}
		ch := n.requestLoad(c.Server.ID, p.Target, version)
		n.mu.Unlock()
		last = n.awaitLoad(ctx, c.Server.ID, p.Target, ch)
		n.log.WithFields(log.Fields{
			"request-id": p.RequestID, "server": c.Server.ID, "target": p.Target.String(), "version": version,
			"held": last.ok, "reason": last.reason, "ms": n.now().Sub(start).Milliseconds(),
		}).Info("waited for an adapter load")
		if s, ok := n.serverAfterLoad(c.Server.ID, p, version, last); ok {
			assignment, r := n.admitAndPlace(ctx, s, p, version, prefillWaitLimit(p, maxLimitedEngines, n.now()), start)
			if r.ok {
				return assignment, nil
			}
			last = r
		}
		if !last.ok {
			avoid[c.Server.ID] = true
		}
	}
	if last.cause == causePrefill && w != nil {
		n.mu.Lock()
		last.retryAfter = w.retryAfter(n.now(), shortestWait)
		n.mu.Unlock()
	}
	return ingress.Assignment{}, &ingress.NoServerError{Reason: "no engine for " + p.Target.String() + ": " + last.reason, RetryAfter: max(last.retryAfter, minRetryAfter), Cause: last.cause}
}

// admitAndPlace places a request on an engine on which its adapter is loaded. If
// prefills of the service are paced it first waits up to limit for a prefill grant;
// if the engine has a limit it needs a permit. A result that is not ok has the reason
// and the time after which to retry. Callers do not hold mu.
func (n *Node) admitAndPlace(ctx context.Context, id string, p ingress.PlacementRequest, version int, limit time.Duration, start time.Time) (ingress.Assignment, placeResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.prefillPaced(p.Service) {
		n.mu.Unlock()
		ok, wait := n.awaitPrefillGrant(ctx, id, p, version, limit)
		n.mu.Lock()
		n.fleet.SetPrefillWait(n.now(), id, wait)
		if !ok {
			return ingress.Assignment{}, placeResult{retryAfter: wait, reason: "its engine has other prompts to read", cause: causePrefill}
		}
	}
	if !n.acquirePermit(ctx, id) || !n.acquireSlot(ctx, id) {
		return ingress.Assignment{}, placeResult{noPermit: true, retryAfter: minRetryAfter, reason: "its engine takes no more for now", cause: causeBlocked}
	}
	s := n.fleet.Server(id)
	if s == nil || !n.mayRun(s, p) || !s.Unpaused(n.now()) || version != n.fleet.Version(p.Target) || (version > 0 && !n.fleet.IsLoaded(n.now(), s, p.Target, version)) {
		n.returnSlot(id)
		return ingress.Assignment{}, placeResult{retryAfter: minRetryAfter, reason: "its engine changed while it waited"}
	}
	return n.recordPlacement(s, p, version, n.now().Sub(start)), placeResult{ok: true}
}

// serverAfterLoad returns the server for a request whose load is complete: the one
// that it waited for, or another one with the adapter loaded by now if the first is
// saturated. It reports false when a newer version has been declared meanwhile.
// Callers do not hold mu.
func (n *Node) serverAfterLoad(id string, p ingress.PlacementRequest, version int, r placeResult) (server string, ok bool) {
	if !r.ok {
		return "", false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if version != n.fleet.Version(p.Target) {
		return "", false
	}
	s := n.fleet.Server(id)
	if c := n.fleet.PickEngine(n.now(), fleetRequest(p, version), n.excludedServers(p), n.loadable); c.Server != nil && c.Loaded {
		s = c.Server
	}
	if s == nil || !n.mayRun(s, p) || !s.Available(n.now()) || (version > 0 && !n.fleet.IsLoaded(n.now(), s, p.Target, version)) {
		return "", false
	}
	return s.ID, true
}

// fleetRequest returns a placement in the form that the fleet chooses by.
func fleetRequest(p ingress.PlacementRequest, version int) fleet.Request {
	return fleet.Request{Service: p.Service, Target: p.Target, Version: version, Prompt: p.Prompt, Latency: p.TargetLatency}
}

// recordPlacement records that a request is sent to a server. Callers hold mu.
func (n *Node) recordPlacement(s *fleet.Server, p ingress.PlacementRequest, version int, stall time.Duration) ingress.Assignment {
	now := n.now()
	left := p.Prompt // what the engine has to prefill of it
	cached := n.weighPrompt(now, s, p, version)
	left.Tokens -= cached
	n.fleet.RecordSent(s.ID)
	n.recordPlaced(now, p)
	k := adapterKey{s.ID, p.Target}
	u := n.usage[k]
	if u == nil {
		u = &adapterUsage{}
		n.usage[k] = u
	}
	u.begun++
	u.inProgress++
	n.markUsageChanged(k)
	assignment := ingress.Assignment{
		Server: s.Backend, Target: p.Target, Version: version, LoadStall: stall, Prompt: p.Prompt, ViewAge: n.recordViewAge(),
		Workspace:   p.Workspace,
		PrefillWait: s.PrefillWait(now), FirstEvent: n.fleet.EstimateFirstEvent(now, s.ID, left.Tokens), CachedTokens: cached,
	}
	if n.prefillPaced(p.Service) {
		n.fleet.RecordPrefill(now, s.ID, left.Tokens) // its owner has granted the prefill, so no other instance is notified
	} else {
		n.broadcastPrefill(now, s.ID, left.Tokens)
	}
	return assignment
}

// broadcastPrefill records a large prompt and sends it to all instances, as each of
// them sees only a small share of an engine's prefills. Callers hold mu.
func (n *Node) broadcastPrefill(now time.Time, server string, tokens int) {
	if tokens < fleet.LargePrompt {
		return
	}
	n.fleet.RecordPrefill(now, server, tokens)
	n.mesh.Broadcast(func(b *instance.Bundle) {
		b.Prefills = append(b.Prefills, instance.Prefill{Server: server, Tokens: tokens})
	})
}

// markUsageChanged schedules a usage message to the owner of a server. Callers hold
// mu.
func (n *Node) markUsageChanged(k adapterKey) {
	if len(n.changedUsage) == 0 {
		time.AfterFunc(usageInterval, n.wakeControl)
	}
	n.changedUsage[k] = true
}

// loadable reports whether the owner of a server can be sent load requests now.
// Callers hold mu.
func (n *Node) loadable(s *fleet.Server) bool {
	return s.AcceptsLoadRequests(n.now()) && n.ownerOf(s.ID) != ""
}

// requestLoad requests the load of an adapter on a server and returns the channel
// that receives the result. Callers hold mu.
func (n *Node) requestLoad(server string, target chestnutstream.ModelAdapter, version int) chan placeResult {
	k := adapterKey{server, target}
	ch := make(chan placeResult, 1)
	w := n.loadWaits[k]
	if w == nil {
		w = &loadWait{}
		n.loadWaits[k] = w
	}
	w.waiters = append(w.waiters, ch)
	n.refreshLoadRequest(k, w, version)
	return ch
}

// refreshLoadRequest sends a load request to the owner of its server, unless one was
// sent within loadRequestInterval. Within it another one is sent only when the number
// of waiting requests has doubled: the owner first loads what most requests wait for.
// Callers hold mu.
func (n *Node) refreshLoadRequest(k adapterKey, w *loadWait, version int) {
	now, waiting := n.now(), max(len(w.waiters), 1)
	if now.Sub(w.requestedAt) < loadRequestInterval {
		if waiting >= 2*w.sentWaiting {
			w.sentWaiting = waiting
			n.sendLoadRequest(k, w, waiting)
		}
		return
	}
	w.requestedAt, w.pending, w.version, w.sentWaiting = now, false, version, waiting
	w.owner = n.ownerOf(k.server)
	if w.owner == "" || !n.sendLoadRequest(k, w, waiting) {
		n.endWait(k, placeResult{retryAfter: noServerRetryAfter, reason: "its owner is not reachable"})
	}
}

// sendLoadRequest sends the owner of a server the number of requests that wait for an
// adapter there; 0 withdraws the load request. It reports false when the owner cannot
// be reached. Callers hold mu.
func (n *Node) sendLoadRequest(k adapterKey, w *loadWait, waiting int) bool {
	if w.owner != n.id {
		msg := instance.LoadRequest{Server: k.server, Target: k.target, Version: w.version, Waiting: waiting}
		return n.mesh.Send(w.owner, func(b *instance.Bundle) { b.LoadRequests = append(b.LoadRequests, msg) })
	}
	e := n.loaders[k.server]
	if e == nil {
		return false
	}
	w.pending = true
	e.RequestLoad(n.boot(), n.id, k.target, w.version, waiting)
	n.wakeControl()
	return true
}

// cancelWait removes a request whose caller disconnected, or whose deadline passed,
// from those that wait for a load. The last one withdraws the load request, so that
// the adapter is not loaded in vain.
func (n *Node) cancelWait(k adapterKey, ch chan placeResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.loadWaits[k]
	if w == nil {
		return
	}
	for i, c := range w.waiters {
		if c == ch {
			w.waiters = append(w.waiters[:i], w.waiters[i+1:]...)
			break
		}
	}
	if len(w.waiters) == 0 {
		delete(n.loadWaits, k)
		n.sendLoadRequest(k, w, 0)
	}
}

// requestReplica requests one more replica of an adapter whose engine is overloaded,
// without waiting for it. Callers hold mu.
func (n *Node) requestReplica(server string, target chestnutstream.ModelAdapter, version int) {
	k := adapterKey{server, target}
	w := n.loadWaits[k]
	if w == nil {
		w = &loadWait{}
		n.loadWaits[k] = w
	}
	n.refreshLoadRequest(k, w, version)
}

// awaitLoad waits for the result of a load request. Callers do not hold mu.
func (n *Node) awaitLoad(ctx context.Context, server string, target chestnutstream.ModelAdapter, ch chan placeResult) placeResult {
	k := adapterKey{server, target}
	timedOut := placeResult{retryAfter: ownerRetryDelay, reason: "its owner is silent"}
	for _, limit := range []time.Duration{ownerResponseTimeout, loadWaitTimeout} {
		t := time.NewTimer(limit)
		select {
		case r := <-ch:
			t.Stop()
			return r
		case <-ctx.Done():
			t.Stop()
			n.cancelWait(k, ch)
			return placeResult{retryAfter: noServerRetryAfter, reason: "its load did not come in time"}
		case <-t.C:
		}
		n.mu.Lock()
		w := n.loadWaits[k]
		if w == nil || !w.pending || limit == loadWaitTimeout {
			n.endWait(k, timedOut)
		}
		n.mu.Unlock()
	}
	return timedOut
}

// endWait sends the result of a load to the requests that wait for it. Callers hold
// mu.
func (n *Node) endWait(k adapterKey, r placeResult) {
	w := n.loadWaits[k]
	if w == nil {
		return
	}
	delete(n.loadWaits, k)
	if !r.ok {
		n.fleet.SuspendLoadRequests(k.server, n.now().Add(r.retryAfter))
	}
	for _, ch := range w.waiters {
		ch <- r
	}
}

// failServerWaits ends all waits for loads and prefill grants of a server. Callers
// hold mu.
func (n *Node) failServerWaits(server, reason string) {
	n.endPrefillWaits(instance.PrefillRefused, func(w *prefillWait) bool { return w.server == server })
	for k := range n.loadWaits {
		if k.server == server {
			n.endWait(k, placeResult{reason: reason})
		}
	}
}

// failOwnerWaits ends all waits for loads and prefill grants requested from an
// instance. Callers hold mu.
func (n *Node) failOwnerWaits(owner, reason string) {
	n.endPrefillWaits(instance.PrefillGranted, func(w *prefillWait) bool { return w.owner == owner })
	for k, w := range n.loadWaits {
		if w.owner == owner {
			n.endWait(k, placeResult{reason: reason})
		}
	}
}
