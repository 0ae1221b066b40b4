package lease

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// Step returns the transactions that are due. At most one renewal and one
// acquisition are in flight.
func (b *Manager) Step(boot time.Duration, servers []Server) []Action {
	if !b.hasRead {
		return nil
	}
	var actions []Action
	if !b.renewing && boot >= b.renewAt {
		b.renewing = true
		b.duration = max(b.duration, b.targetDuration(boot))
		actions = append(actions, Action{Transaction: b.renewalTransaction()})
	}
	if a, ok := b.nextAcquisition(boot, servers); ok {
		actions = append(actions, a)
	}
	return actions
}

// targetDuration returns the lease duration for the number of known instances.
func (b *Manager) targetDuration(boot time.Duration) time.Duration {
	if b.cfg.BaseInstances <= 0 {
		return b.cfg.BaseDuration
	}
	n := len(b.Holders(boot)) + 1
	return min(b.cfg.BaseDuration*time.Duration(max(n, b.cfg.BaseInstances))/time.Duration(b.cfg.BaseInstances), max(b.cfg.MaxDuration, b.cfg.BaseDuration))
}

// renewalTransaction writes the own lease row, provided that it is as last seen:
// written by this process or by an earlier one of this instance.
func (b *Manager) renewalTransaction() chestnutstream.RowTransaction {
	value, _ := json.Marshal(wireHolder{Zone: b.self.Zone, Address: b.self.Address, Incarnation: b.self.Incarnation, DurationMS: b.duration.Milliseconds()})
	key := instanceKey(b.self.Name)
	version := b.version
	if h := b.holders[b.self.Name]; version == 0 && h != nil {
		version = h.version
	}
	return chestnutstream.RowTransaction{
		Checks: []chestnutstream.RowCheck{{Table: Table, Key: key, Version: version}},
		Writes: []chestnutstream.TableRow{{Table: Table, Key: key, Value: value}},
	}
}

// Renewed records that the renewal sent at the given time succeeded.
func (b *Manager) Renewed(boot, sent time.Duration, version uint64) {
	b.renewing = false
	b.renewAt = sent + b.cfg.RenewInterval + b.duration - b.cfg.BaseDuration
	b.version = version
	b.validUntil = max(b.validUntil, sent+b.duration-b.cfg.ClockMargin)
	b.holders[b.self.Name] = &Holder{Name: b.self.Name, Zone: b.self.Zone, Address: b.self.Address, Incarnation: b.self.Incarnation, version: version, duration: b.duration, seenAt: boot}
}

// renewRetryDelay is the time between a failed renewal and the next one.
const renewRetryDelay = 400 * time.Millisecond

// RenewalFailed records that a renewal failed or that its outcome is unknown.
func (b *Manager) RenewalFailed(boot time.Duration) {
	b.renewing = false
	b.renewAt = boot + renewRetryDelay
}

// RenewalConflict records that the own lease row was not as expected. Either it is
// an own renewal whose response was lost, or another instance has ended the lease;
// then lost is true and nothing is owned any more.
func (b *Manager) RenewalConflict(boot time.Duration, rows []chestnutstream.TableRow) (lost bool) {
	b.renewing = false
	b.renewAt = boot
	for _, r := range rows {
		if r.Key != instanceKey(b.self.Name) || r.Version == 0 {
			continue
		}
		var w wireHolder
		if err := json.Unmarshal(r.Value, &w); err == nil && w.Incarnation == b.self.Incarnation && b.version != 0 {
			b.version = r.Version
			return false
		}
		b.dropOwnLease()
		b.holders[b.self.Name] = &Holder{Name: b.self.Name, version: r.Version, duration: b.duration, seenAt: boot}
		return true
	}
	lost = b.version != 0
	b.dropOwnLease()
	delete(b.holders, b.self.Name)
	return lost
}

// dropOwnLease ends the own lease: another instance may own everything now. The
// incarnation changes, so that earlier rows count as those of an earlier process.
func (b *Manager) dropOwnLease() {
	if b.version != 0 {
		b.self.Incarnation++
	}
	b.version, b.validUntil = 0, 0
}

// nextAcquisition selects the servers that this instance should own: those that
// its earlier process owned, and those without a live owner for which it is the
// preferred owner.
func (b *Manager) nextAcquisition(boot time.Duration, servers []Server) (Action, bool) {
	if !b.Valid(boot) || b.leaving || len(b.acquiring) > 0 {
		return Action{}, false
	}
	var a Action
	ended := map[string]bool{}
	for _, s := range b.serversToAcquire(boot, servers) {
		if boot < b.retryAt[s.ID] {
			continue
		}
		o := b.owners[s.ID]
		if o.name != "" && o.name != b.self.Name && !ended[o.name] {
			b.endLease(&a.Transaction, o.name)
			ended[o.name] = true
		}
		value, _ := json.Marshal(wireOwner{Name: b.self.Name, Incarnation: b.self.Incarnation})
		a.Servers = append(a.Servers, s.ID)
		a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: ownerKey(s.ID), Version: o.version})
		a.Transaction.Writes = append(a.Transaction.Writes, chestnutstream.TableRow{Table: Table, Key: ownerKey(s.ID), Value: value})
	}
	if len(a.Servers) == 0 {
		return Action{}, false
	}
	// The own lease must still be valid when the rows are written.
	a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: instanceKey(b.self.Name), Version: b.version})
	for _, s := range a.Servers {
		b.acquiring[s] = true
	}
	return a, true
}

// endLease adds the end of an expired lease to a transaction, which makes the
// holder's next renewal fail. If no lease row is known, none may exist when the
// transaction is applied.
func (b *Manager) endLease(t *chestnutstream.RowTransaction, name string) {
	version := uint64(0)
	if h := b.holders[name]; h != nil {
		version = h.version
		t.Deletes = append(t.Deletes, chestnutstream.TableRow{Table: Table, Key: instanceKey(name)})
	}
	t.Checks = append(t.Checks, chestnutstream.RowCheck{Table: Table, Key: instanceKey(name), Version: version})
}

// serversToAcquire returns the servers to acquire now. Servers without a live
// owner are assigned in order of ID, each to the instance of its availability zone
// that owns the fewest, so all instances that have read the same rows choose the
// same owner.
func (b *Manager) serversToAcquire(boot time.Duration, servers []Server) []Server {
	var acquire, unowned []Server
	counts := map[string]int{}
	for _, s := range servers {
		o, owned := b.owners[s.ID]
		switch {
		case o.name == b.self.Name && o.incarnation != b.self.Incarnation:
			acquire = append(acquire, s)
		case !owned || b.takeoverAllowed(boot, o):
			unowned = append(unowned, s)
			continue
		}
		counts[o.name]++
	}
	if b.updatedAt-b.firstReadAt < b.cfg.StartupDelay {
		return acquire // others that started at the same moment may not be known yet
	}
	sort.Slice(unowned, func(i, j int) bool { return unowned[i].ID < unowned[j].ID })
	for _, s := range unowned {
		name := b.preferredOwner(boot, s, counts)
		counts[name]++
		if name == b.self.Name {
			acquire = append(acquire, s)
		}
	}
	return acquire
}

// takeoverAllowed reports whether an owner's lease has ended or may be ended now.
func (b *Manager) takeoverAllowed(boot time.Duration, o owner) bool {
	if o.name == b.self.Name {
		return false
	}
	h := b.holders[o.name]
	return h == nil || b.expired(boot, h)
}

// preferredOwner returns the instance that all instances of the server's region
// choose as its owner: one of its availability zone, else one of its region, else
// any.
func (b *Manager) preferredOwner(boot time.Duration, s Server, counts map[string]int) string {
	best := candidate{}
	consider := func(h *Holder) {
		c := candidate{name: h.Name, sameZone: h.Zone == s.Zone, sameRegion: b.cfg.Regions[h.Zone] == b.cfg.Regions[s.Zone], owned: counts[h.Name], rank: xxhash.Sum64String(h.Name + "\x00" + s.ID)}
		if best.name == "" || c.before(best) {
			best = c
		}
	}
	consider(&b.self)
	for _, h := range b.holders {
		if h.Name != b.self.Name && b.alive(boot, h) {
			consider(h)
		}
	}
	return best.name
}

// candidate is an instance that may own a server.
type candidate struct {
	name       string
	sameZone   bool // as the server
	sameRegion bool
	owned      int
	rank       uint64
}

func (c candidate) before(o candidate) bool {
	if c.sameZone != o.sameZone {
		return c.sameZone
	}
	if c.sameRegion != o.sameRegion {
		return c.sameRegion
	}
	if c.owned != o.owned {
		return c.owned < o.owned
	}
	return c.rank > o.rank
}

// Acquired records that an acquisition succeeded; version is that of its rows.
func (b *Manager) Acquired(servers []string, version uint64) {
	for _, s := range servers {
		delete(b.acquiring, s)
		b.owners[s] = owner{name: b.self.Name, incarnation: b.self.Incarnation, version: version}
	}
}

// acquireRetryDelay is the time between a failed acquisition and the next one.
const acquireRetryDelay = 500 * time.Millisecond

// AcquisitionFailed records that an acquisition failed or that its outcome is
// unknown, and applies the rows of the conflict. The error names the first row
// that cannot be decoded.
func (b *Manager) AcquisitionFailed(boot time.Duration, servers []string, rows []chestnutstream.TableRow) error {
	for _, s := range servers {
		delete(b.acquiring, s)
		b.retryAt[s] = boot + acquireRetryDelay
	}
	var firstErr error
	for _, r := range rows {
		if err := b.applyRow(boot, r); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// ForgetServer drops the state of a removed server.
func (b *Manager) ForgetServer(server string) { delete(b.retryAt, server) }
