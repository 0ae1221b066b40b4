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
func (m *Manager) Step(boot time.Duration, servers []Server) []Action {
	if !m.hasRead {
		return nil
	}
	var actions []Action
	if !m.renewing && boot >= m.renewAt {
		m.renewing = true
		m.duration = max(m.duration, m.targetDuration(boot))
		actions = append(actions, Action{Transaction: m.renewalTransaction()})
	}
	if a, ok := m.nextAcquisition(boot, servers); ok {
		actions = append(actions, a)
	}
	return actions
}

// targetDuration returns the lease duration for the number of known instances.
func (m *Manager) targetDuration(boot time.Duration) time.Duration {
	if m.cfg.BaseInstances <= 0 {
		return m.cfg.BaseDuration
	}
	n := len(m.Holders(boot)) + 1
	return min(m.cfg.BaseDuration*time.Duration(max(n, m.cfg.BaseInstances))/time.Duration(m.cfg.BaseInstances), max(m.cfg.MaxDuration, m.cfg.BaseDuration))
}

// renewalTransaction writes the own lease row, provided that it is as last seen:
// written by this process or by an earlier one of this instance.
func (m *Manager) renewalTransaction() chestnutstream.RowTransaction {
	value, _ := json.Marshal(wireHolder{Zone: m.self.Zone, Address: m.self.Address, Incarnation: m.self.Incarnation, DurationMS: m.duration.Milliseconds()})
	key := instanceKey(m.self.Name)
	version := m.version
	if h := m.holders[m.self.Name]; version == 0 && h != nil {
		version = h.version
	}
	return chestnutstream.RowTransaction{
		Checks: []chestnutstream.RowCheck{{Table: Table, Key: key, Version: version}},
		Writes: []chestnutstream.TableRow{{Table: Table, Key: key, Value: value}},
	}
}

// Renewed records that the renewal sent at the given time succeeded.
func (m *Manager) Renewed(boot, sent time.Duration, version uint64) {
	m.renewing = false
	m.renewAt = sent + m.cfg.RenewInterval + m.duration - m.cfg.BaseDuration
	m.version = version
	m.validUntil = max(m.validUntil, sent+m.duration-m.cfg.ClockMargin)
	m.holders[m.self.Name] = &Holder{Name: m.self.Name, Zone: m.self.Zone, Address: m.self.Address, Incarnation: m.self.Incarnation, version: version, duration: m.duration, seenAt: boot}
}

// renewRetryDelay is the time between a failed renewal and the next one.
const renewRetryDelay = 400 * time.Millisecond

// RenewalFailed records that a renewal failed or that its outcome is unknown.
func (m *Manager) RenewalFailed(boot time.Duration) {
	m.renewing = false
	m.renewAt = boot + renewRetryDelay
}

// RenewalConflict records that the own lease row was not as expected. Either it is
// an own renewal whose response was lost, or another instance has ended the lease;
// then lost is true and nothing is owned any more.
func (m *Manager) RenewalConflict(boot time.Duration, rows []chestnutstream.TableRow) (lost bool) {
	m.renewing = false
	m.renewAt = boot
	for _, r := range rows {
		if r.Key != instanceKey(m.self.Name) || r.Version == 0 {
			continue
		}
		var w wireHolder
		if err := json.Unmarshal(r.Value, &w); err == nil && w.Incarnation == m.self.Incarnation && m.version != 0 {
			m.version = r.Version
			return false
		}
		m.dropOwnLease()
		m.holders[m.self.Name] = &Holder{Name: m.self.Name, version: r.Version, duration: m.duration, seenAt: boot}
		return true
	}
	lost = m.version != 0
	m.dropOwnLease()
	delete(m.holders, m.self.Name)
	return lost
}

// dropOwnLease ends the own lease: another instance may own everything now. The
// incarnation changes, so that earlier rows count as those of an earlier process.
func (m *Manager) dropOwnLease() {
	if m.version != 0 {
		m.self.Incarnation++
	}
	m.version, m.validUntil = 0, 0
}

// maxEntriesPerServer is the number of entries that acquire a server and end the lease
// of its last owner.
const maxEntriesPerServer = 4

// nextAcquisition selects the servers that this instance should own: those that
// its earlier process owned, and those without a live owner for which it is the
// preferred owner. Servers that exceed the limit of a transaction are left to the next
// acquisition.
func (m *Manager) nextAcquisition(boot time.Duration, servers []Server) (Action, bool) {
	if !m.Valid(boot) || m.acquisitionStopped || len(m.acquiring) > 0 {
		return Action{}, false
	}
	var a Action
	ended := map[string]bool{}
	for _, s := range m.serversToAcquire(boot, servers) {
		if boot < m.retryAt[s.ID] {
			continue
		}
		if a.Transaction.Entries()+maxEntriesPerServer+1 > chestnutstream.MaxTransactionEntries {
			break
		}
		o := m.owners[s.ID]
		if o.name != "" && o.name != m.self.Name && !ended[o.name] {
			m.endLease(&a.Transaction, o.name)
			ended[o.name] = true
		}
		value, _ := json.Marshal(wireOwner{Name: m.self.Name, Incarnation: m.self.Incarnation})
		a.Servers = append(a.Servers, s.ID)
		a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: ownerKey(s.ID), Version: o.rowVersion()})
		a.Transaction.Writes = append(a.Transaction.Writes, chestnutstream.TableRow{Table: Table, Key: ownerKey(s.ID), Value: value})
	}
	if len(a.Servers) == 0 {
		return Action{}, false
	}
	// The own lease must still be valid when the rows are written.
	a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: instanceKey(m.self.Name), Version: m.version})
	for _, s := range a.Servers {
		m.acquiring[s] = true
	}
	return a, true
}

// endLease adds the end of an expired lease to a transaction, which makes the
// holder's next renewal fail. If no lease row is known, none may exist when the
// transaction is applied.
func (m *Manager) endLease(t *chestnutstream.RowTransaction, name string) {
	version := uint64(0)
	if h := m.holders[name]; h != nil {
		version = h.version
		t.Deletes = append(t.Deletes, chestnutstream.TableRow{Table: Table, Key: instanceKey(name)})
	}
	t.Checks = append(t.Checks, chestnutstream.RowCheck{Table: Table, Key: instanceKey(name), Version: version})
}

// serversToAcquire returns the servers to acquire now. Servers without a live
// owner are assigned in order of ID, each to the instance of its availability zone
// that owns the fewest, so all instances that have read the same rows choose the
// same owner.
func (m *Manager) serversToAcquire(boot time.Duration, servers []Server) []Server {
	var acquire, unowned []Server
	counts := map[string]int{}
	for _, s := range servers {
		o, owned := m.owners[s.ID]
		switch {
		case o.name == m.self.Name && m.reacquisitionAllowed(o):
			acquire = append(acquire, s)
		case !owned || m.takeoverAllowed(boot, o):
			unowned = append(unowned, s)
			continue
		}
		counts[o.name]++
	}
	if m.updatedAt-m.firstReadAt < m.cfg.StartupDelay {
		return acquire // others that started at the same moment may not be known yet
	}
	sort.Slice(unowned, func(i, j int) bool { return unowned[i].ID < unowned[j].ID })
	for _, s := range unowned {
		name := m.preferredOwner(boot, s, counts)
		counts[name]++
		if name == m.self.Name {
			acquire = append(acquire, s)
		}
	}
	return acquire
}

// reacquisitionAllowed reports whether this process may acquire a server of its instance
// again: one of an earlier process, or its own whose row was replaced by a malformed one.
// Nobody else has acquired the latter while the own lease has not ended.
func (m *Manager) reacquisitionAllowed(o owner) bool {
	return (o.malformed > 0) == (o.incarnation == m.self.Incarnation)
}

// takeoverAllowed reports whether an owner's lease has ended or may be ended now.
func (m *Manager) takeoverAllowed(boot time.Duration, o owner) bool {
	if o.name == m.self.Name || o.malformed > 0 {
		return false
	}
	h := m.holders[o.name]
	return h == nil || m.expired(boot, h)
}

// preferredOwner returns the instance that all instances of the server's region
// choose as its owner: one of its availability zone, else one of its region, else
// any.
func (m *Manager) preferredOwner(boot time.Duration, s Server, counts map[string]int) string {
	best := candidate{}
	consider := func(h *Holder) {
		c := candidate{name: h.Name, sameZone: h.Zone == s.Zone, sameRegion: m.cfg.Regions[h.Zone] == m.cfg.Regions[s.Zone], owned: counts[h.Name], rank: xxhash.Sum64String(h.Name + "\x00" + s.ID)}
		if best.name == "" || c.before(best) {
			best = c
		}
	}
	consider(&m.self)
	for _, h := range m.holders {
		if h.Name != m.self.Name && m.alive(boot, h) {
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

// Acquired records that an acquisition succeeded; version is that of its rows. The
// leases of the last owners, which it ended, are dropped.
func (m *Manager) Acquired(servers []string, version uint64) {
	for _, s := range servers {
		delete(m.acquiring, s)
		o := m.owners[s]
		if h := m.holders[o.name]; h != nil && o.name != m.self.Name && o.version < version && h.version < version {
			delete(m.holders, o.name)
		}
		m.owners[s] = owner{name: m.self.Name, incarnation: m.self.Incarnation, version: version}
	}
}

// acquireRetryDelay is the time between a failed acquisition and the next one.
const acquireRetryDelay = 500 * time.Millisecond

// AcquisitionFailed records that an acquisition failed or that its outcome is
// unknown, and applies the rows of the conflict. The error names the first row
// that cannot be decoded.
func (m *Manager) AcquisitionFailed(boot time.Duration, servers []string, rows []chestnutstream.TableRow) error {
	for _, s := range servers {
		delete(m.acquiring, s)
		m.retryAt[s] = boot + acquireRetryDelay
	}
	var firstErr error
	for _, r := range rows {
		if err := m.applyRow(boot, r); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// ForgetServer drops the state of a removed server.
func (m *Manager) ForgetServer(server string) { delete(m.retryAt, server) }
