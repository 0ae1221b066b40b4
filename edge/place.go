package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/fleet"
	"github.com/chestnutstream/chestnutstream/ingress"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/timer"
)

// Times of placing.
const (
	ownerSilence = 350 * time.Millisecond // an owner answers a want at once, if only that it waits; after that another engine is tried
	loadSilence  = 3 * time.Second        // and how long it may wait
	lookAgain    = 100 * time.Millisecond // between looks for an engine while none has room
	leastRetry   = 125 * time.Millisecond // told to callers, however soon there may be room
	noServer     = 300 * time.Millisecond // told to callers when no server is known: entries come about once a second
	ownerPause   = time.Second            // after an owner was silent, until it is asked again
	copyPause    = 500 * time.Millisecond // between wants of one copy
)

// wait is a load that requests of this instance wait for.
type wait struct {
	owner   string
	asked   time.Time
	version int
	told    int  // requests that the owner was told of
	pending bool // the owner has said that it waits
	waiters []chan waitResult
}

// waitResult is the end of a wait.
type waitResult struct {
	held       bool
	limited    bool // there is no permit for its server
	retryAfter time.Duration
	reason     string
}

// Place implements ingress.Dispatcher.
func (n *Node) Place(ctx context.Context, p ingress.Placement) (ingress.Placed, error) {
	if n.engineKind(p.Service) == nil {
		return n.placePlain(ctx, p)
	}
	return n.placeEngine(ctx, p)
}

// placeEngine finds an engine that holds the request's adapter, or has it
// loaded on one. While no engine has room it waits and looks again, as long as a
// place is of use.
func (n *Node) placeEngine(ctx context.Context, p ingress.Placement) (ingress.Placed, error) {
	began := n.now()
	if !p.Until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, p.Until)
		defer cancel()
	}
	avoid := map[string]bool{}
	last := waitResult{retryAfter: noServer, reason: "no engine may take work"}
	refused := 0 // by owners of engines that read too many other prompts
	for ctx.Err() == nil {
		for id := range p.Avoid {
			avoid[id] = true
		}
		n.mu.Lock()
		version := n.fleet.Version(p.Target)
		c := n.fleet.PickEngine(n.now(), request(p, version), avoid, n.loadable)
		if c.Copy != nil {
			n.wantCopy(c.Copy.ID, p.Target, version)
		}
		if c.Server != nil && c.Held {
			id, now := c.Server.ID, n.now()
			if limit, _ := c.Server.Limit(); limit <= 0 && !n.paced(p.Service) {
				placed := n.placed(c.Server, p, version, now.Sub(began))
				n.mu.Unlock()
				return placed, nil
			}
			n.mu.Unlock()
			placed, r := n.placeInTurn(ctx, id, p, version, turnLimit(p, refused, now), began)
			if r.held {
				return placed, nil
			}
			if last = r; r.limited {
				continue // the engine is left alone for a while
			}
			if refused > turnLimits {
				break
			}
			refused++
			continue
		}
		if c.Server == nil {
			wait, wanted := n.fleet.TakesIn(n.now(), p.Service, p.Avoid)
			n.mu.Unlock()
			if wanted && wait > p.Latency {
				n.mu.Lock()
				last = waitResult{retryAfter: n.fleet.TurnedAway(n.now(), p.Service, wait), reason: "all engines take no more for now"}
				n.mu.Unlock()
				break
			}
			if p.Until.IsZero() || n.now().Add(lookAgain).After(p.Until) {
				break
			}
			clear(avoid)
			timer.Sleep(ctx, lookAgain)
			continue
		}
		ch := n.want(c.Server.ID, p.Target, version)
		n.mu.Unlock()
		last = n.await(ctx, c.Server.ID, p.Target, ch)
		n.log.WithFields(log.Fields{
			"request-id": p.RequestID, "server": c.Server.ID, "target": p.Target.String(), "version": version,
			"held": last.held, "reason": last.reason, "ms": n.now().Sub(began).Milliseconds(),
		}).Info("adapter wanted")
		if s, ok := n.usable(c.Server.ID, p, version, last); ok {
			placed, r := n.placeInTurn(ctx, s, p, version, turnLimit(p, turnLimits, n.now()), began)
			if r.held {
				return placed, nil
			}
			last = r
		}
		if !last.held {
			avoid[c.Server.ID] = true
		}
	}
	return ingress.Placed{}, &ingress.NoPlaceError{Reason: "no engine for " + p.Target.String() + ": " + last.reason, RetryAfter: max(last.retryAfter, leastRetry)}
}

// placeInTurn places a request on an engine that holds its adapter once its turn
// has come, where prompts are sent by turns. A result that is not held says why
// the engine cannot take it, and when it may.
func (n *Node) placeInTurn(ctx context.Context, id string, p ingress.Placement, version int, limit time.Duration, began time.Time) (ingress.Placed, waitResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paced(p.Service) {
		n.mu.Unlock()
		ok, wait := n.takeTurn(ctx, id, p, limit)
		n.mu.Lock()
		n.fleet.Busy(n.now(), id, wait)
		if !ok {
			return ingress.Placed{}, waitResult{retryAfter: wait, reason: "its engine has other prompts to read"}
		}
	}
	if !n.permitFor(ctx, id) {
		return ingress.Placed{}, waitResult{limited: true, retryAfter: leastRetry, reason: "its engine takes no more for now"}
	}
	s := n.fleet.Server(id)
	if s == nil || !s.Wants(n.now()) || version != n.fleet.Version(p.Target) || (version > 0 && !n.fleet.Holds(n.now(), s, p.Target, version)) {
		return ingress.Placed{}, waitResult{retryAfter: leastRetry, reason: "its engine changed while it waited"}
	}
	return n.placed(s, p, version, n.now().Sub(began)), waitResult{held: true}
}

// usable returns where a request whose load is complete goes: to the server that
// it waited for, or to another one that holds the adapter by now, if the first has
// more than it can take. It reports false when a newer version has been declared
// meanwhile. Callers do not hold mu.
func (n *Node) usable(id string, p ingress.Placement, version int, r waitResult) (server string, ok bool) {
	if !r.held {
		return "", false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if version != n.fleet.Version(p.Target) {
		return "", false
	}
	s := n.fleet.Server(id)
	if c := n.fleet.PickEngine(n.now(), request(p, version), p.Avoid, n.loadable); c.Server != nil && c.Held {
		s = c.Server
	}
	if s == nil || !s.Takes(n.now()) || (version > 0 && !n.fleet.Holds(n.now(), s, p.Target, version)) {
		return "", false
	}
	return s.ID, true
}

// request returns what placement goes by.
func request(p ingress.Placement, version int) fleet.Request {
	return fleet.Request{Service: p.Service, Target: p.Target, Version: version, Prompt: p.Prompt, Latency: p.Latency}
}

// placed notes that a request goes to a server. Callers hold mu.
func (n *Node) placed(s *fleet.Server, p ingress.Placement, version int, stall time.Duration) ingress.Placed {
	n.fleet.Sent(s.ID)
	k := holdKey{s.ID, p.Target}
	u := n.uses[k]
	if u == nil {
		u = &adapterUse{}
		n.uses[k] = u
	}
	u.begun++
	u.inProgress++
	n.useChanged(k)
	now := n.now()
	placed := ingress.Placed{
		Server: s.Backend, Target: p.Target, Version: version, Stall: stall, Prompt: p.Prompt,
		Wait: s.ReadWait(now), First: n.fleet.FirstEvent(now, s.ID, p.Prompt),
	}
	if n.paced(p.Service) {
		n.fleet.Reading(now, s.ID, p.Prompt.Tokens) // its owner knows
	} else {
		n.tellReading(now, s.ID, p.Prompt.Tokens)
	}
	return placed
}

// tellReading notes a large prompt and tells it to all instances, each of which
// sees only a small share of what an engine has to read. Callers hold mu.
func (n *Node) tellReading(now time.Time, server string, tokens int) {
	if tokens < fleet.LargePrompt {
		return
	}
	n.fleet.Reading(now, server, tokens)
	n.mesh.Broadcast(func(b *instance.Bundle) {
		b.Reading = append(b.Reading, instance.Reading{Server: server, Tokens: tokens})
	})
}

// useChanged notes that the owner of a server is to be told of a use. Callers
// hold mu.
func (n *Node) useChanged(k holdKey) {
	if len(n.changed) == 0 {
		time.AfterFunc(usedPause, n.poke)
	}
	n.changed[k] = true
}

// loadable reports whether loads can be asked for at a server. Callers hold mu.
func (n *Node) loadable(s *fleet.Server) bool {
	return s.TakesLoads(n.now()) && n.ownerOf(s.ID) != ""
}

// want asks for an adapter on a server and returns where its end is told.
// Callers hold mu.
func (n *Node) want(server string, target chestnutstream.ModelAdapter, version int) chan waitResult {
	k := holdKey{server, target}
	ch := make(chan waitResult, 1)
	w := n.waits[k]
	if w == nil {
		w = &wait{}
		n.waits[k] = w
	}
	w.waiters = append(w.waiters, ch)
	n.ask(k, w, version)
	return ch
}

// ask sends a want to the owner of its server, unless it was asked lately. The
// owner is told again when twice as many wait: it loads first what most wait
// for. Callers hold mu.
func (n *Node) ask(k holdKey, w *wait, version int) {
	now, waiting := n.now(), max(len(w.waiters), 1)
	if now.Sub(w.asked) < copyPause {
		if waiting >= 2*w.told {
			w.told = waiting
			n.sendWant(k, w, waiting)
		}
		return
	}
	w.asked, w.pending, w.version, w.told = now, false, version, waiting
	w.owner = n.ownerOf(k.server)
	if w.owner == "" || !n.sendWant(k, w, waiting) {
		n.endWait(k, waitResult{retryAfter: noServer, reason: "its owner is not reachable"})
	}
}

// sendWant tells the owner of a server how many requests wait for an adapter
// there. It reports false when the owner cannot be reached. Callers hold mu.
func (n *Node) sendWant(k holdKey, w *wait, waiting int) bool {
	if w.owner != n.cfg.Instance {
		msg := instance.Want{Server: k.server, Target: k.target, Version: w.version, Waiting: waiting}
		return n.mesh.Send(w.owner, func(b *instance.Bundle) { b.Wants = append(b.Wants, msg) })
	}
	e := n.loaders[k.server]
	if e == nil {
		return false
	}
	w.pending = true
	e.Want(n.boot(), n.cfg.Instance, k.target, w.version, waiting)
	n.poke()
	return true
}

// leaveWait takes a request whose caller has gone, or whose time is up, out of
// those that wait for a load. With the last one the want is taken back, so that
// no load is spent on it.
func (n *Node) leaveWait(k holdKey, ch chan waitResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.waits[k]
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
		delete(n.waits, k)
		n.sendWant(k, w, 0)
	}
}

// wantCopy asks for one more copy of a hot adapter, without waiting for it.
// Callers hold mu.
func (n *Node) wantCopy(server string, target chestnutstream.ModelAdapter, version int) {
	k := holdKey{server, target}
	w := n.waits[k]
	if w == nil {
		w = &wait{}
		n.waits[k] = w
	}
	n.ask(k, w, version)
}

// await waits for the end of a load that this instance asked for.
func (n *Node) await(ctx context.Context, server string, target chestnutstream.ModelAdapter, ch chan waitResult) waitResult {
	k := holdKey{server, target}
	silent := waitResult{retryAfter: ownerPause, reason: "its owner is silent"}
	for _, limit := range []time.Duration{ownerSilence, loadSilence} {
		t := time.NewTimer(limit)
		select {
		case r := <-ch:
			t.Stop()
			return r
		case <-ctx.Done():
			t.Stop()
			n.leaveWait(k, ch)
			return waitResult{retryAfter: noServer, reason: "its load did not come in time"}
		case <-t.C:
		}
		n.mu.Lock()
		w := n.waits[k]
		if w == nil || !w.pending || limit == loadSilence {
			n.endWait(k, silent)
		}
		n.mu.Unlock()
	}
	return silent
}

// endWait tells those who wait for a load how it ended. Callers hold mu.
func (n *Node) endWait(k holdKey, r waitResult) {
	w := n.waits[k]
	if w == nil {
		return
	}
	delete(n.waits, k)
	if !r.held {
		n.fleet.NoLoads(k.server, n.now().Add(r.retryAfter))
	}
	for _, ch := range w.waiters {
		ch <- r
	}
}

// failWaits ends all waits for a server, for loads and for turns. Callers hold mu.
func (n *Node) failWaits(server, reason string) {
	n.endTurns(instance.TurnNever, func(w *turnWait) bool { return w.server == server })
	for k := range n.waits {
		if k.server == server {
			n.endWait(k, waitResult{reason: reason})
		}
	}
}

// failWaitsOf ends all waits for loads and turns that an instance was asked for.
// Callers hold mu.
func (n *Node) failWaitsOf(owner, reason string) {
	n.endTurns(instance.TurnNow, func(w *turnWait) bool { return w.owner == owner })
	for k, w := range n.waits {
		if w.owner == owner {
			n.endWait(k, waitResult{reason: reason})
		}
	}
}

// Answered implements ingress.Dispatcher.
func (n *Node) Answered(p ingress.Placed, target chestnutstream.ModelAdapter, r ingress.Result) {
	n.mu.Lock()
	now := n.now()
	changes := n.said(now, now.Add(-r.Took), p.Server, r.Said)
	n.answered(now, p, target, r)
	n.mu.Unlock()
	n.logSaid(changes, "")
}

// answered takes what an answer tells of its server. Callers hold mu.
func (n *Node) answered(now time.Time, p ingress.Placed, target chestnutstream.ModelAdapter, r ingress.Result) {
	n.fleet.Outcome(now, p.Server.ID, r.Outcome, r.Took)
	if r.Outcome == fleet.Answered && p.First > 0 {
		n.firstEventTook(p, r.Took)
	}
	if r.Load != nil {
		n.fleet.LoadTold(now, p.Server.ID, r.Load.Running, r.Load.Waiting)
	}
	switch {
	case r.Foreign:
		n.fleet.Misplaced(now, p.Server.ID)
	case r.NotHeld:
		n.fleet.NotHeld(p.Server.ID, target)
	case r.Outcome == fleet.Answered && target.Model != "":
		n.fleet.Held(now, p.Server.ID, target, max(p.Version, 0))
	}
}

// firstEventTook checks the estimate of the time to the first event against what
// came. Callers hold mu.
func (n *Node) firstEventTook(p ingress.Placed, took time.Duration) {
	if p.Wait == 0 {
		n.fleet.FirstEventTook(p.Server.ID, p.Prompt, took)
	}
	sign, off := "under", took-p.First
	if off < 0 {
		sign, off = "over", -off
	}
	n.metrics.GetOrCreateHistogram(`chestnutstream_first_event_estimate_error_seconds{estimate="` + sign + `"}`).Update(off.Seconds())
}

// Done implements ingress.Dispatcher.
func (n *Node) Done(p ingress.Placed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Done(p.Server.ID)
	k := holdKey{p.Server.ID, p.Target}
	if u := n.uses[k]; u != nil && u.inProgress > 0 {
		u.inProgress--
		n.useChanged(k)
	}
}

// Again implements ingress.Dispatcher.
func (n *Node) Again(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget(service).Take(n.now())
}

// Elsewhere implements ingress.Dispatcher.
func (n *Node) Elsewhere(service string, avoid map[string]bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	return n.budget(service).Has(now) && n.fleet.Others(now, service, avoid)
}

// Earn implements ingress.Dispatcher.
func (n *Node) Earn(service string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget(service).Earn(n.now())
}

// budget returns the retry budget of a service. Callers hold mu.
func (n *Node) budget(service string) *fleet.Budget {
	b := n.budgets[service]
	if b == nil {
		b = fleet.NewBudget(n.cfg.RetryShare, n.cfg.RetryExtra, n.cfg.RetryWindow, n.book.Instances(n.boot()))
		n.budgets[service] = b
	}
	return b
}
