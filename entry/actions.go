package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/caller"
	"github.com/chestnutstream/chestnutstream/engine"
	"github.com/chestnutstream/chestnutstream/table"
)

// ownerPrefix returns the key prefix of a zone's ownership rows.
func ownerPrefix(zone string) string { return "owner/" + zone + "/" }

// wireOwner is the value of an ownership row. Owner is empty after a release.
type wireOwner struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	Fence       uint64 `json:"fence"`
	Era         uint64 `json:"era,omitempty"` // of the store, when the row was written; earlier releases write none
}

// execute executes actions of the decision modules. Their results come back as
// events. The caller must not hold mu.
func (n *Node) execute(actions []engine.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.TraceEvent:
			n.recordTraceEvent(chestnutstream.TraceEvent{At: n.cfg.Timer.Now(), Subject: a.Subject, Step: a.Step, Detail: a.Detail})
		case engine.Dispatch:
			n.deliverPlacement(a.ID, placementResult{dispatch: a})
		case engine.Refuse:
			n.deliverPlacement(a.ID, placementResult{refused: &a})
		case engine.ReadStatus:
			n.readStatus(a.Server)
		case engine.LoadOrder:
			go n.load(a)
		case engine.UnloadOrder:
			go n.unload(a)
		case engine.ReadOwners:
			go n.readOwners(a.Servers)
		case engine.AcquireRow:
			go n.acquireRow(a)
		case engine.ReleaseRow:
			go n.releaseRow(a)
		case engine.RaiseFence:
			go n.raiseFence(a)
		default:
			panic(fmt.Sprintf("unexpected action type %T", action))
		}
	}
}

// handleEvent calls handle, which passes an event to a decision module, then
// runs all modules and executes the resulting actions.
func (n *Node) handleEvent(handle func(now time.Time) []engine.Action) {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	actions := handle(now)
	actions = append(actions, n.decide(now)...)
	n.mu.Unlock()
	n.execute(actions)
}

// address returns the network address of an engine, or "" if it is unknown.
func (n *Node) address(server string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addressLocked(server)
}

func (n *Node) addressLocked(server string) string {
	if a := n.members.addresses[server]; a != "" {
		return a
	}
	if cfg := n.config.Load(); cfg != nil {
		return cfg.Servers[server].Address
	}
	return ""
}

// readStatus reads an engine's status in the background, unless a read of it is
// in progress already.
func (n *Node) readStatus(server string) {
	n.mu.Lock()
	address := n.addressLocked(server)
	if n.statusReads[server] || address == "" {
		n.mu.Unlock()
		return
	}
	n.statusReads[server] = true
	n.mu.Unlock()
	go func() {
		sentAt := n.cfg.Timer.Now()
		status, err := n.engines.Status(n.ctx, address)
		n.handleEvent(func(now time.Time) []engine.Action {
			delete(n.statusReads, server)
			var actions []engine.Action
			if err == nil {
				actions = n.ownership.Step(now, engine.FenceRead{Server: server, Fence: status.Fence, SentAt: sentAt})
			}
			return append(actions, n.scheduler.Step(now, engine.StatusRead{Server: server, Status: status, SentAt: sentAt, Err: err})...)
		})
	}()
}

// checkOwnership is the last check before an order is sent. It returns an error
// that wraps ErrOrderExpired unless this instance owns the server with this
// fencing token.
func (n *Node) checkOwnership(server string, fence uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.ownership.Valid(n.cfg.Timer.Now(), server)
	if !ok || h.Fence != fence {
		return fmt.Errorf("order for %s: %w", server, chestnutstream.ErrOrderExpired)
	}
	return nil
}

// load sends a load order to an engine.
func (n *Node) load(a engine.LoadOrder) {
	err := n.checkOwnership(a.Server, a.Fence)
	if err == nil {
		err = n.engines.Load(n.ctx, n.address(a.Server), chestnutstream.Order{Name: a.Name, Fence: a.Fence, NotAfter: a.NotAfter})
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_loads_total{result="` + resultLabel(err) + `"}`).Inc()
	n.orderDone(a.Server, a.Name, a.Fence, false, err)
}

// unload sends an unload order to an engine.
func (n *Node) unload(a engine.UnloadOrder) {
	err := n.checkOwnership(a.Server, a.Fence)
	if err == nil {
		err = n.engines.Unload(n.ctx, n.address(a.Server), chestnutstream.Order{Name: a.Name, Fence: a.Fence, NotAfter: a.NotAfter})
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_unloads_total{result="` + resultLabel(err) + `"}`).Inc()
	n.orderDone(a.Server, a.Name, a.Fence, true, err)
}

// resultLabel returns the result label of the metrics for an order's error.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, chestnutstream.ErrFenced):
		return "fenced"
	case errors.Is(err, chestnutstream.ErrOrderExpired):
		return "not-sent"
	default:
		return "failed"
	}
}

// orderDone passes the result of an order to the decision modules.
func (n *Node) orderDone(server string, name chestnutstream.LoadName, fence uint64, unload bool, err error) {
	n.handleEvent(func(now time.Time) []engine.Action {
		var actions []engine.Action
		if errors.Is(err, chestnutstream.ErrFenced) {
			actions = n.ownership.Step(now, engine.Acquired{Server: server, Fence: fence, Err: err})
		}
		return append(actions, n.scheduler.Step(now, engine.OrderDone{Server: server, Name: name, Unload: unload, Err: err})...)
	})
}

// raiseFence raises the fencing token of an engine to acquire it.
func (n *Node) raiseFence(a engine.RaiseFence) {
	sentAt := n.cfg.Timer.Now()
	err := n.engines.Fence(n.ctx, n.address(a.Server), chestnutstream.Order{Fence: a.Fence})
	n.recordAcquisition(a.Server, a.Fence, 0, sentAt, err)
}

// recordAcquisition traces the result of an acquisition and passes it to the
// ownership module.
func (n *Node) recordAcquisition(server string, fence, rowVersion uint64, sentAt time.Time, err error) {
	detail := fmt.Sprintf("fencing number %d", fence)
	if err != nil {
		detail = err.Error()
	}
	n.recordTraceEvent(chestnutstream.TraceEvent{At: n.cfg.Timer.Now(), Subject: server, Step: "acquire", Detail: detail})
	n.handleEvent(func(now time.Time) []engine.Action {
		return n.ownership.Step(now, engine.Acquired{Server: server, Fence: fence, RowVersion: rowVersion, SentAt: sentAt, Err: err})
	})
}

// readOwners reads the ownership rows of the given servers and the leases of
// their owners.
func (n *Node) readOwners(servers []string) {
	requested := make(map[string]bool, len(servers))
	for _, name := range servers {
		requested[name] = true
	}
	era := n.platform.Era()
	rows, err := n.platform.Scan(n.ctx, ownerPrefix(n.self.Zone))
	if err != nil {
		n.log.WithError(err).Debug("failed to read ownership rows")
		return
	}
	read := engine.OwnerRowsRead{
		Owners: map[string]engine.OwnerRow{}, Leases: map[string]engine.LeaseRow{},
		Era: era, EraAge: n.claims.EraAge(n.ctx),
	}
	for _, row := range rows {
		var w wireOwner
		if err := json.Unmarshal(row.Value, &w); err != nil {
			n.log.WithError(err).WithField("row", row.Key).Error("failed to decode ownership row")
			continue
		}
		server := row.Key[len(ownerPrefix(n.self.Zone)):]
		if !requested[server] {
			continue
		}
		read.Owners[server] = engine.OwnerRow{Owner: w.Owner, Incarnation: w.Incarnation, Fence: w.Fence, Era: w.Era, Version: row.Version}
		if _, ok := read.Leases[w.Owner]; ok || w.Owner == "" {
			continue
		}
		lease, err := n.readLease(w.Owner)
		if err != nil {
			n.log.WithError(err).Debug("failed to read an owner's lease")
			return
		}
		read.Leases[w.Owner] = lease
	}
	if n.platform.Era() != era {
		return // the rows may be of two eras
	}
	n.handleEvent(func(now time.Time) []engine.Action { return n.ownership.Step(now, read) })
}

func (n *Node) readLease(instance string) (engine.LeaseRow, error) {
	row, err := n.platform.Get(n.ctx, table.LeaseKey(instance))
	if err != nil {
		return engine.LeaseRow{}, fmt.Errorf("read lease of %s: %w", instance, err)
	}
	incarnation, err := table.LeaseIncarnation(row)
	if err != nil {
		return engine.LeaseRow{}, fmt.Errorf("read lease of %s: %w", instance, err)
	}
	return engine.LeaseRow{Incarnation: incarnation, Version: row.Version}, nil
}

// acquireRow acquires a server by its ownership row in the table service. After
// a lost response the next read of the rows finds this instance's name.
func (n *Node) acquireRow(a engine.AcquireRow) {
	sentAt := n.cfg.Timer.Now()
	lease := n.lease.State()
	value, err := json.Marshal(wireOwner{Owner: n.self.Name, Incarnation: lease.Incarnation, Fence: a.Fence, Era: a.Era})
	if err != nil {
		n.recordAcquisition(a.Server, a.Fence, 0, sentAt, fmt.Errorf("encode owner: %w", err))
		return
	}
	key := ownerPrefix(n.self.Zone) + a.Server
	checks := []chestnutstream.Check{
		{Key: key, Version: a.RowVersion},
		{Key: table.LeaseKey(n.self.Name), Version: a.LeaseVersion},
	}
	writes := []chestnutstream.Write{{Key: key, Value: value}}
	if a.OldOwner != "" {
		oldLeaseKey := table.LeaseKey(a.OldOwner)
		checks = append(checks, chestnutstream.Check{Key: oldLeaseKey, Version: a.OldLeaseVersion})
		writes = append(writes, chestnutstream.Write{Key: oldLeaseKey, Delete: true})
	}
	versions, err := n.platform.Transact(n.ctx, checks, writes)
	n.recordAcquisition(a.Server, a.Fence, versions[key], sentAt, err)
}

// releaseRow clears the owner in a server's ownership row.
func (n *Node) releaseRow(a engine.ReleaseRow) {
	value, err := json.Marshal(wireOwner{Fence: a.Fence, Era: chestnutstream.VersionEra(a.RowVersion)})
	if err == nil {
		key := ownerPrefix(n.self.Zone) + a.Server
		_, err = n.platform.Transact(n.ctx, []chestnutstream.Check{{Key: key, Version: a.RowVersion}}, []chestnutstream.Write{{Key: key, Value: value}})
	}
	var conflict *chestnutstream.ConflictError
	if errors.As(err, &conflict) {
		err = nil // this instance does not own the server any more
	}
	n.recordTraceEvent(chestnutstream.TraceEvent{At: n.cfg.Timer.Now(), Subject: a.Server, Step: "release", Detail: fmt.Sprintf("fencing number %d: %s", a.Fence, resultLabel(err))})
	n.handleEvent(func(now time.Time) []engine.Action {
		return n.ownership.Step(now, engine.Released{Server: a.Server, Err: err})
	})
}

// Place implements caller.Placer.
func (n *Node) Place(ctx context.Context, p engine.PendingRequest) (engine.Dispatch, error) {
	result := make(chan placementResult, 1)
	n.handleEvent(func(now time.Time) []engine.Action {
		n.waiters[p.ID] = result
		return n.placement.Step(now, engine.Submit{Request: p})
	})
	select {
	case r := <-result:
		return n.unpackPlacement(r)
	case <-ctx.Done():
	}
	n.handleEvent(func(now time.Time) []engine.Action { return n.placement.Step(now, engine.Withdraw{ID: p.ID}) })
	n.mu.Lock()
	delete(n.waiters, p.ID)
	n.mu.Unlock()
	select {
	case r := <-result:
		return n.unpackPlacement(r)
	default:
		return engine.Dispatch{}, refusedError(engine.Refuse{ID: p.ID, Code: "deadline"})
	}
}

func refusedError(r engine.Refuse) error {
	reasons := map[string]string{
		"deadline":   "no backend server was free before the deadline",
		"queue-full": "too many requests wait",
		"no-server":  "no backend server has the adapter or could load it now",
		"shed":       "more urgent requests took the place in the queue",
	}
	return &caller.RefusedError{Code: r.Code, Reason: reasons[r.Code], RetryAfter: r.RetryAfter, LoadStall: r.LoadStall}
}

func (n *Node) unpackPlacement(r placementResult) (engine.Dispatch, error) {
	if r.refused != nil {
		return engine.Dispatch{}, refusedError(*r.refused)
	}
	return r.dispatch, nil
}

// deliverPlacement passes a placement result to the request that waits for it.
func (n *Node) deliverPlacement(id string, r placementResult) {
	n.mu.Lock()
	result := n.waiters[id]
	delete(n.waiters, id)
	if result != nil {
		result <- r // never blocks: the channel has a buffer of 1 and is sent to once
	}
	n.mu.Unlock()
	if result == nil && r.refused == nil {
		n.Finish(id, engine.NoFailure) // the request was withdrawn before it was placed
	}
}

// Finish implements caller.Placer.
func (n *Node) Finish(id string, failure engine.Failure) {
	n.handleEvent(func(now time.Time) []engine.Action {
		return n.placement.Step(now, engine.Finished{ID: id, Failure: failure})
	})
}
