package edge

import (
	"context"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/http1"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/loader"
	"github.com/chestnutstream/chestnutstream/platform"
	"github.com/chestnutstream/chestnutstream/quarantine"
)

// Time limits and intervals of the control loop.
const (
	minControlInterval    = 2 * time.Millisecond   // between two steps
	slowCheckInterval     = 20 * time.Millisecond  // between checks that look at all servers
	maxControlInterval    = 250 * time.Millisecond // leases and expired entries are checked at least this often
	orderTimeout          = 45 * time.Millisecond  // an engine responds within milliseconds, and a lost order delays all later ones
	usageInterval         = 60 * time.Millisecond  // between usage messages to owners
	reportTimeout         = 700 * time.Millisecond
	configRequestInterval = 500 * time.Millisecond // between broadcasts of the request
)

// control runs the actions of the state machines until the node stops.
func (n *Node) control() {
	timer := time.NewTimer(maxControlInterval)
	defer timer.Stop()
	for {
		untilDue := n.step()
		wait := min(max(untilDue, minControlInterval), maxControlInterval)
		timer.Reset(wait)
		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// step starts the due actions of all state machines. It returns the time until the next
// action may be due.
func (n *Node) step() time.Duration {
	n.mu.Lock()
	boot, now := n.boot(), n.now()
	changes := n.fleet.Tick(now)
	n.handleServerChanges(changes)
	n.cancelStalePolls(now)
	n.requestConfig(now)
	verdicts := n.updateQuarantine(now)
	n.updateVerdictRows(now)
	if now.Sub(n.checkedAt) >= slowCheckInterval {
		n.checkedAt = now
		n.responseTimes.Expire(now)
		n.updateCutOff()
		n.updateSoftwareRows(now, boot)
	}
	n.updateOriginRows(now)
	leaseActions := n.leases.Step(boot, n.engines())
	n.updateLeaseWait(boot)
	n.syncLoaders(boot)
	wait := maxControlInterval
	type serverAction struct {
		server string
		action loader.Action
	}
	var actions []serverAction
	for id, e := range n.loaders {
		if spec := n.engineSpec(e.Server.Service); spec != nil {
			n.setModels(id, e, spec)
		}
		for _, a := range e.Step(boot) {
			actions = append(actions, serverAction{id, a})
		}
		if at, ok := e.NextAt(boot); ok {
			wait = min(wait, at-boot)
		}
	}
	n.sendUsage(now)
	n.sendLoads(boot, now)
	var notifications []serverAction
	for _, a := range actions {
		switch a.action.Kind {
		case loader.ReadReport:
			go n.readReport(a.server, n.loaders[a.server].Server)
		case loader.GiveOrder:
			n.issueOrder(boot, a.server, a.action)
		default:
			notifications = append(notifications, a)
		}
	}
	for _, a := range notifications {
		n.notify(a.server, a.action)
	}
	view := n.viewAge(platform.TableServers)
	n.mu.Unlock()
	n.logServerChanges(changes, sourceTimeout, view)
	n.logVerdicts(verdicts)
	for _, a := range leaseActions {
		go n.applyLease(a)
	}
	return wait
}

// requestConfig requests a configuration from the peers while this instance has none.
// It repeats the request, as a peer whose own connection to this instance is not up yet
// cannot respond. Callers hold mu.
func (n *Node) requestConfig(now time.Time) {
	if n.routes.Load() != nil || now.Sub(n.configRequestedAt) < configRequestInterval {
		return
	}
	n.configRequestedAt = now
	n.mesh.Broadcast(func(b *instance.Bundle) { b.ConfigRequested = true })
}

// syncLoaders creates the loaders of engines that this instance has come to own, and
// removes those of engines that it no longer owns. Callers hold mu.
func (n *Node) syncLoaders(boot time.Duration) {
	owned := n.leases.Owned(boot)
	mine := make(map[string]bool, len(owned))
	changed := false
	for _, id := range owned {
		s := n.fleet.Server(id)
		if s == nil {
			continue
		}
		spec := n.engineSpec(s.Service)
		if spec == nil {
			continue
		}
		mine[id] = true
		if e := n.loaders[id]; e != nil && e.Server.Born == s.Born && e.Server.Address == s.Address {
			continue
		}
		n.removeLoader(id)
		n.loaders[id] = loader.NewEngine(s.Backend, *spec, boot)
		changed = true
	}
	for id := range n.loaders {
		if !mine[id] {
			n.removeLoader(id)
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

// removeLoader removes the loader of an engine, if there is one, and grants its
// waiting prefill requests. Callers hold mu.
func (n *Node) removeLoader(id string) {
	e := n.loaders[id]
	if e == nil {
		return
	}
	delete(n.loaders, id)
	for _, a := range e.GrantAllPrefills() {
		n.notify(id, a)
	}
}

// applyLease sends a transaction of the lease manager to the store.
func (n *Node) applyLease(a lease.Action) {
	sent := n.boot()
	version, err := n.store.Apply(n.ctx, a.Transaction)
	var conflict *chestnutstream.RowConflictError
	var conflictRows []chestnutstream.TableRow
	if errors.As(err, &conflict) {
		conflictRows = conflict.Rows
	}
	if err == nil || conflict != nil {
		n.recordStoreResponse(lease.Table) // a follower of a large zone reads nothing that would show it
	}
	n.mu.Lock()
	boot := n.boot()
	lost := false
	var rowErr error
	switch {
	case a.Kind == lease.ActionRenew && err == nil:
		n.leases.Renewed(boot, sent, a, version)
	case a.Kind == lease.ActionRenew && conflict != nil:
		lost = n.leases.RenewalConflict(boot, a, conflictRows)
	case a.Kind == lease.ActionRenew:
		n.leases.RenewalFailed(boot)
	case a.Kind == lease.ActionNoteEra && err == nil:
		n.leases.EraNoted(boot, a, version)
	case a.Kind == lease.ActionNoteEra:
		rowErr = n.leases.EraNotNoted(boot, conflictRows)
	case err == nil:
		n.leases.Acquired(boot, a, version)
	default:
		rowErr = n.leases.AcquisitionFailed(boot, a, conflictRows)
	}
	valid, era := n.leases.Valid(boot), n.leases.Era()
	n.mu.Unlock()
	l := n.log.WithFields(log.Fields{"servers": a.Servers, "lease-valid": valid})
	switch {
	case lost:
		l.Warn("lease ended by another instance")
	case a.Kind == lease.ActionNoteEra && conflict != nil:
		n.log.WithField("era", era).Info("another instance has noted the store's era")
	case err != nil:
		l.WithField("transaction", a.Kind).WithError(err).Warn("lease renewal or engine acquisition failed")
	case a.Kind == lease.ActionNoteEra:
		n.log.WithFields(log.Fields{"era": era, "row": version}).Info("store's era noted")
	case a.Rewritten > 0:
		l.WithFields(log.Fields{"fence": version, "rewritten": a.Rewritten}).Info("owner rows written again after a restore of the store")
	case len(a.Servers) > 0:
		l.WithField("fence", version).Info("engines acquired")
	}
	if rowErr != nil {
		n.logForeignRow(lease.Table, "", rowErr)
	}
	n.wakeControl()
}

// releaseLease releases the lease at the end of a drain, so that others own the engines
// soon. They wait for the end of the lease if the store does not respond.
func (n *Node) releaseLease() {
	ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
	defer cancel()
	var err error
	for range 2 { // a renewal may be in flight
		n.mu.Lock()
		a, ok := n.leases.Release()
		n.mu.Unlock()
		n.orders.Wait()
		if !ok {
			return
		}
		_, err = n.store.Apply(ctx, a.Transaction)
		var conflict *chestnutstream.RowConflictError
		if !errors.As(err, &conflict) {
			break
		}
		n.mu.Lock()
		n.leases.RenewalConflict(n.boot(), a, conflict.Rows)
		n.mu.Unlock()
	}
	if err != nil {
		n.log.WithError(err).Warn("lease not released; others wait for its end")
		return
	}
	n.log.Info("lease released")
}

// readReport reads an engine's report and passes it to the engine's loader.
func (n *Node) readReport(id string, server chestnutstream.Backend) {
	ctx, cancel := context.WithTimeout(n.ctx, reportTimeout)
	defer cancel()
	r, err := n.engineClient.Report(ctx, server)
	http1.LogMalformed(n.log, n.metrics, err, server.ID, "")
	n.mu.Lock()
	e := n.loaders[id]
	if e != nil && e.Server.Born == server.Born {
		if err != nil {
			e.ReportFailed(n.boot())
		} else {
			n.leases.RecordOrderCount(id, r.OrderCount)
			for _, a := range e.ApplyReport(n.boot(), r) {
				n.notify(id, a)
			}
		}
	}
	n.mu.Unlock()
	if err != nil {
		n.log.WithError(err).WithField("server", id).Warn("reading the engine report failed")
	} else {
		n.log.WithFields(log.Fields{"server": id, "orders": r.OrderCount, "running": r.Running, "queued": r.Queued, "busy": r.Busy, "pending": len(r.Pending)}).Debug("engine report read")
	}
	n.wakeControl()
}

// issueOrder sends an order in the background, with the fencing token, if this
// instance's lease on the engine is valid now and it is not being closed; otherwise the
// order counts as rejected. Callers hold mu.
func (n *Node) issueOrder(boot time.Duration, id string, a loader.Action) {
	e := n.loaders[id]
	fence, until, ok := n.leases.FencingToken(boot, id)
	if !ok || n.ctx.Err() != nil || (a.Order.Kind == chestnutstream.OrderLoad && !a.Poll && !n.admitLoad(e.Server.Service, a.Order)) {
		n.recordOrderResult(e, boot, a, chestnutstream.OrderRejected)
		return
	}
	o := a.Order
	o.Holder, o.Fence, o.NotAfter, o.Poll = n.id, fence, until, a.Poll
	a.Order = o
	slots, weightsMB := e.Free()
	n.orders.Add(1)
	go n.sendOrder(id, e.Server, a, log.Fields{"free-slots": slots, "free-mb": weightsMB})
}

// stopOrders stops the control loop and cancels the orders that are being sent.
func (n *Node) stopOrders() {
	n.mu.Lock()
	n.cancel()
	n.mu.Unlock()
	n.orders.Wait()
}

// recordOrderResult passes the response to an order or to a poll to the loader. Callers
// hold mu.
func (n *Node) recordOrderResult(e *loader.Engine, boot time.Duration, a loader.Action, result chestnutstream.OrderResult) {
	actions := []loader.Action(nil)
	if a.Poll {
		actions = e.RecordPoll(boot, a.Order, result)
	} else {
		actions = e.RecordOrderResult(boot, a.Order, result)
	}
	for _, next := range actions {
		n.notify(e.Server.ID, next)
	}
}

// sendOrder sends an order and logs it with the given fields of its engine.
func (n *Node) sendOrder(id string, server chestnutstream.Backend, a loader.Action, fields log.Fields) {
	o := a.Order
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	result, err := n.engineClient.Order(ctx, server, o)
	n.orders.Done()
	n.mu.Lock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.crashCheck(server)
	}
	if e := n.loaders[id]; e != nil && e.Server.Born == server.Born {
		n.recordOrderResult(e, n.boot(), a, result)
	}
	var changes []quarantine.Change
	if result == chestnutstream.OrderSatisfied && o.Kind == chestnutstream.OrderLoad {
		changes = n.recordSurvival(server.Service, []string{loadTrait(o.Target, o.Version)})
	}
	n.mu.Unlock()
	n.logVerdicts(changes)
	n.metrics.GetOrCreateCounter(`chestnutstream_orders_total{answer="` + string(result) + `"}`).Inc()
	l := n.log.WithFields(fields).WithFields(log.Fields{
		"server": id, "order": o.Kind, "target": o.Target.String(), "version": o.Version, "orders": o.OrderCount,
		"fence": o.Fence, "answer": result, "why": a.Why,
	})
	if err != nil {
		l.WithError(err).Warn("order")
	} else {
		l.Info("order")
	}
	n.wakeControl()
}

// notify sends a loader's notification to the instances that it names. Callers hold
// mu.
func (n *Node) notify(server string, a loader.Action) {
	if state, ok := prefillStates[a.Kind]; ok {
		for _, to := range a.To {
			n.sendPrefillResponse(to, instance.PrefillResponse{Server: server, ID: a.PrefillID, State: state, WaitMS: a.RetryAfter.Milliseconds()})
		}
		return
	}
	response := instance.LoadResponse{
		Server: server, Target: a.Target, Version: a.Version, Loaded: a.Kind == loader.NotifyLoaded,
		RetryAfterMS: a.RetryAfter.Milliseconds(), Unloaded: a.Kind == loader.NotifyUnloaded, Reason: a.Why,
	}
	for _, to := range a.To {
		if to == n.id {
			n.handleLoadResponse(response)
			continue
		}
		n.mesh.Send(to, func(b *instance.Bundle) { b.LoadResponses = append(b.LoadResponses, response) })
	}
}
