package lease

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// Step returns the transactions that are due. At most one of each kind is in flight.
func (m *Manager) Step(boot time.Duration, servers []Server) []Action {
	if !m.hasRead || m.readEra != m.era.number || m.released {
		return nil
	}
	if m.mustNoteEra() {
		if m.era.noting || boot < m.era.noteAt {
			return nil
		}
		m.era.noting = true
		return []Action{{Kind: ActionNoteEra, Transaction: m.noteTransaction(), era: m.era.number}}
	}
	var actions []Action
	if !m.renewing && boot >= m.renewAt {
		m.renewing = true
		m.duration = max(m.duration, m.targetDuration(boot))
		actions = append(actions, Action{Kind: ActionRenew, Transaction: m.renewalTransaction(), era: m.era.number})
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
	w := wireHolder{Zone: m.self.Zone, Address: m.self.Address, Incarnation: m.self.Incarnation, Released: m.released}
	if !m.released {
		w.DurationMS = m.duration.Milliseconds()
	}
	value, _ := json.Marshal(w)
	key := instanceKey(m.self.Name)
	return chestnutstream.RowTransaction{
		Checks: append(m.eraChecks(), chestnutstream.RowCheck{Table: Table, Key: key, Version: m.ownRowVersion()}),
		Writes: []chestnutstream.TableRow{{Table: Table, Key: key, Value: value}},
	}
}

// ownRowVersion returns the version of the own lease row as last seen; 0: there is none.
func (m *Manager) ownRowVersion() uint64 {
	if h := m.holders[m.self.Name]; m.version == 0 && h != nil {
		return h.version
	}
	return m.version
}

// ofPresentEra reports whether an action with a response of the given version is of the
// present era. Otherwise the outcome counts as unknown.
func (m *Manager) ofPresentEra(boot time.Duration, a Action, version uint64) bool {
	m.learnEra(boot, version)
	return a.era == m.era.number
}

// Renewed records that the renewal sent at the given time succeeded.
func (m *Manager) Renewed(boot, sent time.Duration, a Action, version uint64) {
	if !m.ofPresentEra(boot, a, version) {
		m.RenewalFailed(boot)
		return
	}
	m.renewing = false
	m.renewAt = sent + m.cfg.RenewInterval + m.duration - m.cfg.BaseDuration
	m.version = version
	if m.released {
		return
	}
	m.validUntil = max(m.validUntil, sent+m.duration-m.cfg.ClockMargin)
	m.holders[m.self.Name] = &Holder{Name: m.self.Name, Zone: m.self.Zone, Address: m.self.Address, Incarnation: m.self.Incarnation, version: version, duration: m.duration, seenAt: boot}
}

// Release ends the own lease when the instance stops: from now on there are no fencing
// tokens, renewals and acquisitions. It returns the transaction that tells the others,
// which is to be sent once all orders have ended; after a conflict with an own renewal,
// which RenewalConflict does not report as a lost lease, Release is called again. ok is
// false without a lease in the present era.
func (m *Manager) Release() (a Action, ok bool) {
	m.released, m.validUntil = true, 0
	clear(m.kept)
	if m.version == 0 {
		return Action{}, false
	}
	return Action{Kind: ActionRenew, Transaction: m.renewalTransaction(), era: m.era.number}, true
}

// renewRetryDelay is the time between a failed renewal and the next one.
const renewRetryDelay = 400 * time.Millisecond

// RenewalFailed records that a renewal failed or that its outcome is unknown.
func (m *Manager) RenewalFailed(boot time.Duration) {
	m.renewing = false
	m.renewAt = boot + renewRetryDelay
}

// RenewalConflict records that a row was not as the renewal expected. Either the own lease
// row is an own renewal whose response was lost, or another instance has ended the lease;
// then lost is true and nothing is owned any more.
func (m *Manager) RenewalConflict(boot time.Duration, a Action, rows []chestnutstream.TableRow) (lost bool) {
	for _, r := range rows {
		m.learnEra(boot, r.Version)
	}
	if a.era != m.era.number {
		m.RenewalFailed(boot)
		return false
	}
	m.renewing = false
	m.renewAt = boot
	m.checkEraRow(boot, rows)
	for _, r := range rows {
		if r.Key != instanceKey(m.self.Name) || r.Version == 0 {
			continue
		}
		if r.Version == m.version {
			return false
		}
		var w wireHolder
		if err := json.Unmarshal(r.Value, &w); err == nil && w.Incarnation == m.self.Incarnation && m.version != 0 {
			m.version = r.Version
			return false
		}
		lost = m.dropOwnLease()
		m.holders[m.self.Name] = &Holder{Name: m.self.Name, version: r.Version, duration: m.duration, seenAt: boot}
		return lost
	}
	lost = m.dropOwnLease()
	delete(m.holders, m.self.Name)
	return lost
}

// dropOwnLease ends the own lease: another instance may own everything now. The
// incarnation changes, so that earlier rows count as those of an earlier process. It reports
// whether there was a lease; without one in the present era, what is kept of the era before
// stays.
func (m *Manager) dropOwnLease() (had bool) {
	if m.version == 0 {
		return false
	}
	m.self.Incarnation++
	clear(m.kept)
	m.version, m.validUntil = 0, 0
	return true
}

// maxEntriesPerServer is the number of entries that acquire a server and end the lease
// of its last owner.
const maxEntriesPerServer = 4

// nextAcquisition selects the servers that this instance should own: those that
// its earlier process owned, and those without a live owner for which it is the
// preferred owner. Servers that exceed the limit of a transaction are left to the next
// acquisition.
func (m *Manager) nextAcquisition(boot time.Duration, servers []Server) (Action, bool) {
	if !m.Valid(boot) || len(m.acquiring) > 0 {
		return Action{}, false
	}
	a := Action{Kind: ActionAcquire, era: m.era.number}
	ended := map[string]bool{}
	for _, s := range m.serversToAcquire(boot, servers) {
		if boot < m.retryAt[s.ID] {
			continue
		}
		if a.Transaction.Entries()+maxEntriesPerServer+2 > chestnutstream.MaxTransactionEntries {
			break
		}
		o, owned := m.owners[s.ID]
		if !owned && m.mayBeFirstEra(boot) {
			m.unproven[s.ID] = true
		}
		switch {
		case m.keeps(boot, s.ID):
			a.Rewritten++ // an inherited row names whoever owned it earlier
		case o.name != "" && o.name != m.self.Name && !ended[o.name]:
			m.endLease(&a.Transaction, o.name)
			ended[o.name] = true
		}
		value, _ := json.Marshal(wireOwner{Name: m.self.Name, Incarnation: m.self.Incarnation, Era: m.era.number})
		a.Servers = append(a.Servers, s.ID)
		a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: ownerKey(s.ID), Version: o.rowVersion()})
		a.Transaction.Writes = append(a.Transaction.Writes, chestnutstream.TableRow{Table: Table, Key: ownerKey(s.ID), Value: value})
	}
	if len(a.Servers) == 0 {
		return Action{}, false
	}
	// The own lease must still be valid when the rows are written.
	a.Transaction.Checks = append(a.Transaction.Checks, m.eraChecks()...)
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
	if h := m.holders[name]; h != nil && !h.lost {
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
	acquire := m.keptServers(boot)
	counts := map[string]int{m.self.Name: len(acquire)}
	if m.acquisitionStopped {
		return acquire
	}
	var unowned []Server
	for _, s := range servers {
		o, owned := m.owners[s.ID]
		switch {
		case m.keeps(boot, s.ID):
			continue
		case (!owned || m.inherited(o)) && !m.Settled(boot):
			continue
		case o.name == m.self.Name && m.reacquisitionAllowed(o), m.ownedByEarlierRelease(o):
			acquire = append(acquire, s)
			counts[m.self.Name]++
			continue
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
// again: one of an earlier process, one of an earlier era, or its own whose row was replaced
// by a malformed one. Nobody else has acquired the last while the own lease has not ended.
func (m *Manager) reacquisitionAllowed(o owner) bool {
	if m.inherited(o) {
		return o.malformed == 0
	}
	return (o.malformed > 0) == (o.incarnation == m.self.Incarnation)
}

// ownedByEarlierRelease reports whether an owner is this instance as earlier releases knew it:
// by its name alone. The process whose lease states this address has ended.
func (m *Manager) ownedByEarlierRelease(o owner) bool {
	h := m.holders[o.name]
	return h != nil && h.Address != "" && o.malformed == 0 && m.self.Name == chestnutstream.InstanceIdentity(o.name, h.Address, 0)
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
func (m *Manager) Acquired(boot time.Duration, a Action, version uint64) {
	if !m.ofPresentEra(boot, a, version) {
		m.delayAcquisition(boot, a.Servers)
		return
	}
	for _, s := range a.Servers {
		delete(m.acquiring, s)
		o := m.owners[s]
		if h := m.holders[o.name]; h != nil && o.name != m.self.Name && o.version < version && h.version < version {
			delete(m.holders, o.name)
		}
		m.owners[s] = owner{name: m.self.Name, incarnation: m.self.Incarnation, era: m.era.number, version: version}
		delete(m.kept, s)
	}
}

// acquireRetryDelay is the time between a failed acquisition and the next one.
const acquireRetryDelay = 500 * time.Millisecond

// AcquisitionFailed records that an acquisition failed or that its outcome is
// unknown, and applies the rows of the conflict. The error names the first row
// that cannot be decoded.
func (m *Manager) AcquisitionFailed(boot time.Duration, a Action, rows []chestnutstream.TableRow) error {
	m.delayAcquisition(boot, a.Servers)
	return m.applyRows(boot, rows)
}

func (m *Manager) delayAcquisition(boot time.Duration, servers []string) {
	for _, s := range servers {
		delete(m.acquiring, s)
		m.retryAt[s] = boot + acquireRetryDelay
	}
}

// ForgetServer drops the state of a removed server.
func (m *Manager) ForgetServer(server string) {
	delete(m.retryAt, server)
	delete(m.issued, server)
	delete(m.unproven, server)
}
