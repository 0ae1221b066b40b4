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

// ownerPrefix is where the ownership rows of a zone stand.
func ownerPrefix(zone string) string { return "owner/" + zone + "/" }

type wireOwner struct {
	Owner       string `json:"owner"`
	Incarnation string `json:"incarnation"`
	Fence       uint64 `json:"fence"`
}

// do carries the actions of the decision parts out. Their results come back as
// events. Callers do not hold mu.
func (n *Node) do(actions []engine.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case engine.Noted:
			n.note(chestnutstream.Decision{At: n.cfg.Timer.Now(), Subject: a.Subject, Step: a.Step, Detail: a.Detail})
		case engine.Dispatch:
			n.deliver(a.ID, placed{dispatch: a})
		case engine.Refuse:
			n.deliver(a.ID, placed{refused: &a})
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
			panic(fmt.Sprintf("no such action: %T", action))
		}
	}
}

// step hands an event to a part and carries out what follows.
func (n *Node) step(part func(now time.Time) []engine.Action) {
	n.mu.Lock()
	now := n.cfg.Timer.Now()
	actions := part(now)
	actions = append(actions, n.decide(now)...)
	n.mu.Unlock()
	n.do(actions)
}

// address returns where an engine is reached.
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

// readStatus reads an engine's status unless a read is under way.
func (n *Node) readStatus(server string) {
	n.mu.Lock()
	address := n.addressLocked(server)
	if n.reading[server] || address == "" {
		n.mu.Unlock()
		return
	}
	n.reading[server] = true
	n.mu.Unlock()
	go func() {
		sent := n.cfg.Timer.Now()
		status, err := n.engines.Status(n.ctx, address)
		n.step(func(now time.Time) []engine.Action {
			delete(n.reading, server)
			var actions []engine.Action
			if err == nil {
				actions = n.ownership.Step(now, engine.FenceSeen{Server: server, Fence: status.Fence, SentAt: sent})
			}
			return append(actions, n.scheduler.Step(now, engine.StatusRead{Server: server, Status: status, SentAt: sent, Err: err})...)
		})
	}()
}

// holds is the last look at the ownership before an order is sent.
func (n *Node) holds(server string, fence uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.ownership.Valid(n.cfg.Timer.Now(), server)
	if !ok || h.Fence != fence {
		return fmt.Errorf("order for %s: %w", server, chestnutstream.ErrOrderExpired)
	}
	return nil
}

func (n *Node) load(a engine.LoadOrder) {
	err := n.holds(a.Server, a.Fence)
	if err == nil {
		err = n.engines.Load(n.ctx, n.address(a.Server), chestnutstream.Order{Name: a.Name, Fence: a.Fence, NotAfter: a.NotAfter})
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_loads_total{result="` + result(err) + `"}`).Inc()
	n.orderDone(a.Server, a.Name, a.Fence, false, err)
}

func (n *Node) unload(a engine.UnloadOrder) {
	err := n.holds(a.Server, a.Fence)
	if err == nil {
		err = n.engines.Unload(n.ctx, n.address(a.Server), chestnutstream.Order{Name: a.Name, Fence: a.Fence, NotAfter: a.NotAfter})
	}
	n.metrics.GetOrCreateCounter(`chestnutstream_unloads_total{result="` + result(err) + `"}`).Inc()
	n.orderDone(a.Server, a.Name, a.Fence, true, err)
}

func result(err error) string {
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

func (n *Node) orderDone(server string, name chestnutstream.LoadName, fence uint64, unload bool, err error) {
	n.step(func(now time.Time) []engine.Action {
		var actions []engine.Action
		if errors.Is(err, chestnutstream.ErrFenced) {
			actions = n.ownership.Step(now, engine.Acquired{Server: server, Fence: fence, Err: err})
		}
		return append(actions, n.scheduler.Step(now, engine.OrderDone{Server: server, Name: name, Unload: unload, Err: err})...)
	})
}

func (n *Node) raiseFence(a engine.RaiseFence) {
	sent := n.cfg.Timer.Now()
	err := n.engines.Fence(n.ctx, n.address(a.Server), chestnutstream.Order{Fence: a.Fence})
	n.acquired(a.Server, a.Fence, 0, sent, err)
}

func (n *Node) acquired(server string, fence, row uint64, sent time.Time, err error) {
	detail := fmt.Sprintf("fencing number %d", fence)
	if err != nil {
		detail = err.Error()
	}
	n.note(chestnutstream.Decision{At: n.cfg.Timer.Now(), Subject: server, Step: "acquire", Detail: detail})
	n.step(func(now time.Time) []engine.Action {
		return n.ownership.Step(now, engine.Acquired{Server: server, Fence: fence, RowVersion: row, SentAt: sent, Err: err})
	})
}

// readOwners reads the ownership rows of the zone, and the leases of the owners
// of the servers that this instance should own.
func (n *Node) readOwners(servers []string) {
	asked := make(map[string]bool, len(servers))
	for _, name := range servers {
		asked[name] = true
	}
	rows, err := n.platform.Scan(n.ctx, ownerPrefix(n.self.Zone))
	if err != nil {
		n.log.WithError(err).Debug("ownership rows not read")
		return
	}
	read := engine.OwnersRead{Owners: map[string]engine.OwnerRow{}, Leases: map[string]engine.LeaseRow{}}
	for _, row := range rows {
		var w wireOwner
		if err := json.Unmarshal(row.Value, &w); err != nil {
			n.log.WithError(err).WithField("row", row.Key).Error("ownership row not understood")
			continue
		}
		server := row.Key[len(ownerPrefix(n.self.Zone)):]
		if !asked[server] {
			continue
		}
		read.Owners[server] = engine.OwnerRow{Owner: w.Owner, Incarnation: w.Incarnation, Fence: w.Fence, Version: row.Version}
		if _, ok := read.Leases[w.Owner]; ok || w.Owner == "" {
			continue
		}
		lease, err := n.readLease(w.Owner)
		if err != nil {
			n.log.WithError(err).Debug("lease not read")
			return
		}
		read.Leases[w.Owner] = lease
	}
	n.step(func(now time.Time) []engine.Action { return n.ownership.Step(now, read) })
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

// acquireRow takes a server over in the table service. A lost answer is settled
// by the next read of the rows, which finds our own name.
func (n *Node) acquireRow(a engine.AcquireRow) {
	sent := n.cfg.Timer.Now()
	lease := n.lease.State()
	value, err := json.Marshal(wireOwner{Owner: n.self.Name, Incarnation: lease.Incarnation, Fence: a.Fence})
	if err != nil {
		n.acquired(a.Server, a.Fence, 0, sent, fmt.Errorf("encode owner: %w", err))
		return
	}
	key := ownerPrefix(n.self.Zone) + a.Server
	checks := []chestnutstream.Check{
		{Key: key, Version: a.RowVersion},
		{Key: table.LeaseKey(n.self.Name), Version: a.MyLease},
	}
	writes := []chestnutstream.Write{{Key: key, Value: value}}
	if a.OldOwner != "" {
		old := table.LeaseKey(a.OldOwner)
		checks = append(checks, chestnutstream.Check{Key: old, Version: a.OldLease})
		writes = append(writes, chestnutstream.Write{Key: old, Delete: true})
	}
	versions, err := n.platform.Transact(n.ctx, checks, writes)
	n.acquired(a.Server, a.Fence, versions[key], sent, err)
}

func (n *Node) releaseRow(a engine.ReleaseRow) {
	value, err := json.Marshal(wireOwner{Fence: a.Fence})
	if err == nil {
		key := ownerPrefix(n.self.Zone) + a.Server
		_, err = n.platform.Transact(n.ctx, []chestnutstream.Check{{Key: key, Version: a.RowVersion}}, []chestnutstream.Write{{Key: key, Value: value}})
	}
	var conflict *chestnutstream.ConflictError
	if errors.As(err, &conflict) {
		err = nil // it is not ours any more
	}
	n.note(chestnutstream.Decision{At: n.cfg.Timer.Now(), Subject: a.Server, Step: "release", Detail: fmt.Sprintf("fencing number %d: %s", a.Fence, result(err))})
	n.step(func(now time.Time) []engine.Action {
		return n.ownership.Step(now, engine.Released{Server: a.Server, Err: err})
	})
}

// Place implements caller.Placer.
func (n *Node) Place(ctx context.Context, p engine.Pending) (engine.Dispatch, error) {
	ch := make(chan placed, 1)
	n.step(func(now time.Time) []engine.Action {
		n.waiters[p.ID] = ch
		return n.placement.Step(now, engine.Submit{Request: p})
	})
	select {
	case r := <-ch:
		return n.placedResult(r)
	case <-ctx.Done():
	}
	n.step(func(now time.Time) []engine.Action { return n.placement.Step(now, engine.Withdraw{ID: p.ID}) })
	n.mu.Lock()
	delete(n.waiters, p.ID)
	n.mu.Unlock()
	select {
	case r := <-ch:
		return n.placedResult(r)
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
	return &caller.RefusedError{Code: r.Code, Reason: reasons[r.Code], RetryAfter: r.RetryAfter, Stall: r.Stall}
}

func (n *Node) placedResult(r placed) (engine.Dispatch, error) {
	if r.refused != nil {
		return engine.Dispatch{}, refusedError(*r.refused)
	}
	return r.dispatch, nil
}

// deliver wakes the request that waits for a placement.
func (n *Node) deliver(id string, r placed) {
	n.mu.Lock()
	ch := n.waiters[id]
	delete(n.waiters, id)
	if ch != nil {
		ch <- r // has room for one, and is sent to once
	}
	n.mu.Unlock()
	if ch == nil && r.refused == nil {
		n.Finish(id, engine.NoFailure) // the request left before it was placed
	}
}

// Finish implements caller.Placer.
func (n *Node) Finish(id string, failure engine.Failure) {
	n.step(func(now time.Time) []engine.Action {
		return n.placement.Step(now, engine.Finished{ID: id, Failure: failure})
	})
}
