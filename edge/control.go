package edge

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/loader"
)

// Times of the control loop.
const (
	controlLeast  = 2 * time.Millisecond   // between two looks
	controlMost   = 250 * time.Millisecond // leases and lapsed entries are looked at so often
	orderTimeout  = 45 * time.Millisecond  // an engine answers within milliseconds, and an order that was lost holds up all later ones
	usedPause     = 60 * time.Millisecond  // between words to owners about the use of their adapters
	reportTimeout = 700 * time.Millisecond
	askPause      = 500 * time.Millisecond // between words that ask for a configuration
)

// control carries out what the state machines want, until the node stops.
func (n *Node) control() {
	timer := time.NewTimer(controlMost)
	defer timer.Stop()
	for {
		at := n.step()
		wait := min(max(at, controlLeast), controlMost)
		timer.Reset(wait)
		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// step asks all state machines what is to be done now, and starts it. It
// returns how long until there may be something to do again.
func (n *Node) step() time.Duration {
	n.mu.Lock()
	boot, now := n.boot(), n.now()
	changes := n.fleet.Tick(now)
	n.serversChanged(changes)
	n.endUntold(now)
	n.askConfigAgain(now)
	leaseActions := n.book.Step(boot, n.engines())
	n.syncLoaders(boot)
	wait := controlMost
	type given struct {
		server string
		a      loader.Action
	}
	var calls []given
	for id, e := range n.loaders {
		for _, a := range e.Step(boot) {
			calls = append(calls, given{id, a})
		}
		if at, ok := e.NextAt(boot); ok {
			wait = min(wait, at-boot)
		}
	}
	n.tellUsed(now)
	n.tellLoads(boot, now)
	var tells []given
	for _, c := range calls {
		switch c.a.Kind {
		case loader.ReadReport:
			go n.readReport(c.server, n.loaders[c.server].Server)
		case loader.GiveOrder:
			n.giveOrder(boot, c.server, c.a)
		default:
			tells = append(tells, c)
		}
	}
	for _, c := range tells {
		n.tell(c.server, c.a)
	}
	n.mu.Unlock()
	n.logChanges(changes)
	for _, a := range leaseActions {
		go n.applyLease(a)
	}
	return wait
}

// askConfigAgain asks the peers for a configuration while there is none: one that is
// asked before its own connection to this instance is up cannot answer. Callers
// hold mu.
func (n *Node) askConfigAgain(now time.Time) {
	if n.table.Load() != nil || now.Sub(n.askedAt) < askPause {
		return
	}
	n.askedAt = now
	n.mesh.Broadcast(func(b *instance.Bundle) { b.AskConfig = true })
}

// syncLoaders keeps a loader for each engine that this instance owns. Callers
// hold mu.
func (n *Node) syncLoaders(boot time.Duration) {
	owned := n.book.Owned(boot)
	mine := make(map[string]bool, len(owned))
	changed := false
	for _, id := range owned {
		s := n.fleet.Server(id)
		if s == nil {
			continue
		}
		kind := n.engineKind(s.Service)
		if kind == nil {
			continue
		}
		mine[id] = true
		if e := n.loaders[id]; e != nil && e.Server.Born == s.Born && e.Server.Address == s.Address {
			continue
		}
		n.endLoader(id)
		n.loaders[id] = loader.NewEngine(s.Backend, *kind, boot)
		changed = true
	}
	for id := range n.loaders {
		if !mine[id] {
			n.endLoader(id)
			changed = true
		}
	}
	if changed {
		ids := make([]string, 0, len(n.loaders))
		for id := range n.loaders {
			ids = append(ids, id)
		}
		n.log.WithField("servers", ids).Info("engines owned")
		n.mesh.Broadcast(func(b *instance.Bundle) { b.HasOwned, b.Owned = true, ids })
	}
}

// endLoader forgets the loader of an engine. Callers hold mu.
func (n *Node) endLoader(id string) {
	e := n.loaders[id]
	if e == nil {
		return
	}
	delete(n.loaders, id)
	for _, a := range e.EndTurns() {
		n.tell(id, a)
	}
}

// applyLease sends a renewal or an acquisition to the store.
func (n *Node) applyLease(a lease.Action) {
	sent := n.boot()
	version, err := n.store.Apply(n.ctx, a.Transaction)
	var conflict *chestnutstream.RowConflictError
	n.mu.Lock()
	boot := n.boot()
	lost := false
	var rowErr error
	switch {
	case len(a.Servers) == 0 && err == nil:
		n.book.Renewed(boot, sent, version)
	case len(a.Servers) == 0 && errors.As(err, &conflict):
		lost = n.book.RenewalConflict(boot, conflict.Rows)
	case len(a.Servers) == 0:
		n.book.RenewalFailed(boot)
	case err == nil:
		n.book.Acquired(a.Servers, version)
	case errors.As(err, &conflict):
		rowErr = n.book.AcquisitionFailed(boot, a.Servers, conflict.Rows)
	default:
		rowErr = n.book.AcquisitionFailed(boot, a.Servers, nil)
	}
	valid := n.book.Valid(boot)
	n.mu.Unlock()
	l := n.log.WithFields(log.Fields{"servers": a.Servers, "lease-valid": valid})
	switch {
	case lost:
		l.Warn("lease ended by another instance")
	case err != nil:
		l.WithError(err).Warn("lease call failed")
	case len(a.Servers) > 0:
		l.WithField("fence", version).Info("engines acquired")
	}
	if rowErr != nil {
		l.WithError(rowErr).Warn("lease row")
	}
	n.poke()
}

// readReport reads an engine's report.
func (n *Node) readReport(id string, server chestnutstream.Backend) {
	ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
	defer cancel()
	r, err := n.backends.Report(ctx, server)
	n.mu.Lock()
	e := n.loaders[id]
	if e != nil && e.Server.Born == server.Born {
		if err != nil {
			e.ReportFailed(n.boot())
		} else {
			for _, a := range e.Reported(n.boot(), r) {
				n.tell(id, a)
			}
		}
	}
	n.mu.Unlock()
	if err != nil {
		n.log.WithError(err).WithField("server", id).Warn("report not read")
	} else {
		n.log.WithFields(log.Fields{"server": id, "orders": r.OrderCount, "running": r.Running, "queued": r.Queued, "busy": r.Busy, "pending": len(r.Pending)}).Debug("report read")
	}
	n.poke()
}

// giveOrder sends an order if this instance owns the engine at this moment.
// Callers hold mu.
func (n *Node) giveOrder(boot time.Duration, id string, a loader.Action) {
	e := n.loaders[id]
	fence, until, ok := n.book.Fence(boot, id)
	if !ok {
		n.ended(e, boot, a, chestnutstream.OrderRejected)
		return
	}
	o := a.Order
	o.Holder, o.Fence, o.NotAfter = n.cfg.Instance, fence, until
	a.Order = o
	go n.sendOrder(id, e.Server, a)
}

// ended hands the answer to an order or a look to its loader. Callers hold mu.
func (n *Node) ended(e *loader.Engine, boot time.Duration, a loader.Action, answer chestnutstream.OrderAnswer) {
	told := []loader.Action(nil)
	if a.Look {
		told = e.Looked(boot, a.Order, answer)
	} else {
		told = e.Ordered(boot, a.Order, answer)
	}
	for _, t := range told {
		n.tell(e.Server.ID, t)
	}
}

func (n *Node) sendOrder(id string, server chestnutstream.Backend, a loader.Action) {
	o := a.Order
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	answer, err := n.backends.Order(ctx, server, o)
	n.mu.Lock()
	if e := n.loaders[id]; e != nil && e.Server.Born == server.Born {
		n.ended(e, n.boot(), a, answer)
	}
	n.mu.Unlock()
	n.metrics.GetOrCreateCounter(`chestnutstream_orders_total{answer="` + string(answer) + `"}`).Inc()
	l := n.log.WithFields(log.Fields{
		"server": id, "order": o.Kind, "target": o.Target.String(), "version": o.Version, "orders": o.OrderCount,
		"fence": o.Fence, "answer": answer, "why": a.Why,
	})
	if err != nil {
		l.WithError(err).Warn("order")
	} else {
		l.Info("order")
	}
	n.poke()
}

// tell passes on what a loader has to say. Callers hold mu.
func (n *Node) tell(server string, a loader.Action) {
	if state, ok := turnStates[a.Kind]; ok {
		for _, to := range a.To {
			n.tellTurn(to, instance.Turn{Server: server, ID: a.TurnID, State: state, WaitMS: a.RetryAfter.Milliseconds()})
		}
		return
	}
	g := instance.Got{
		Server: server, Target: a.Target, Version: a.Version, Held: a.Kind == loader.TellHeld,
		RetryAfterMS: a.RetryAfter.Milliseconds(), Dropped: a.Kind == loader.TellGone, Reason: a.Why,
	}
	for _, to := range a.To {
		if to == n.cfg.Instance {
			n.got(g)
			continue
		}
		n.mesh.Send(to, func(b *instance.Bundle) { b.Got = append(b.Got, g) })
	}
}
