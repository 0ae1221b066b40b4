package lease

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutstream/chestnutstream"
)

// Step returns what is to be done now. At most one renewal and one acquisition
// are under way.
func (b *Book) Step(boot time.Duration, servers []Server) []Action {
	if !b.read {
		return nil
	}
	var actions []Action
	if !b.renewing && boot >= b.renewAt {
		b.renewing = true
		b.lasts = max(b.lasts, b.enough(boot))
		actions = append(actions, Action{Transaction: b.renewal()})
	}
	if a, ok := b.acquisition(boot, servers); ok {
		actions = append(actions, a)
	}
	return actions
}

// enough returns how long the lease should last among as many instances as are
// known.
func (b *Book) enough(boot time.Duration) time.Duration {
	if b.cfg.Crowd <= 0 {
		return b.cfg.Duration
	}
	n := len(b.Holders(boot)) + 1
	return min(b.cfg.Duration*time.Duration(max(n, b.cfg.Crowd))/time.Duration(b.cfg.Crowd), max(b.cfg.Longest, b.cfg.Duration))
}

// renewal writes the own lease row, on condition that it is as last seen: the
// own one, or that of this instance's earlier process.
func (b *Book) renewal() chestnutstream.RowTransaction {
	value, _ := json.Marshal(wireHolder{Zone: b.self.Zone, Address: b.self.Address, Run: b.self.Run, LastsMS: b.lasts.Milliseconds()})
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

// Renewed notes that the renewal which was sent at a moment took effect.
func (b *Book) Renewed(boot, sent time.Duration, version uint64) {
	b.renewing = false
	b.renewAt = sent + b.cfg.Renewal + b.lasts - b.cfg.Duration
	b.version = version
	b.validTo = max(b.validTo, sent+b.lasts-b.cfg.Safety)
	b.holders[b.self.Name] = &Holder{Name: b.self.Name, Zone: b.self.Zone, Address: b.self.Address, Run: b.self.Run, version: version, lasts: b.lasts, seen: boot}
}

// renewRetry is how long after a failed renewal the next one is sent.
const renewRetry = 400 * time.Millisecond

// RenewalFailed notes that a renewal did not take effect, or may not have.
func (b *Book) RenewalFailed(boot time.Duration) {
	b.renewing = false
	b.renewAt = boot + renewRetry
}

// RenewalConflict notes that the own lease row was not as expected. The row that
// stands there is either an own renewal whose answer was lost, or another
// instance has ended the lease: then nothing is owned any more.
func (b *Book) RenewalConflict(boot time.Duration, rows []chestnutstream.TableRow) (lost bool) {
	b.renewing = false
	b.renewAt = boot
	for _, r := range rows {
		if r.Key != instanceKey(b.self.Name) || r.Version == 0 {
			continue
		}
		var w wireHolder
		if err := json.Unmarshal(r.Value, &w); err == nil && w.Run == b.self.Run && b.version != 0 {
			b.version = r.Version
			return false
		}
		b.forgetOwn()
		b.holders[b.self.Name] = &Holder{Name: b.self.Name, version: r.Version, lasts: b.lasts, seen: boot}
		return true
	}
	lost = b.version != 0
	b.forgetOwn()
	delete(b.holders, b.self.Name)
	return lost
}

// forgetOwn ends the own lease: another instance may own everything now. The
// run changes, so that rows of before count as those of an earlier process.
func (b *Book) forgetOwn() {
	if b.version != 0 {
		b.self.Run++
	}
	b.version, b.validTo = 0, 0
}

// acquisition picks the servers that this instance should own: those that its
// earlier process owned, and those without a living owner for which it is the
// one that all choose.
func (b *Book) acquisition(boot time.Duration, servers []Server) (Action, bool) {
	if !b.Valid(boot) || b.leaving || len(b.acquiring) > 0 {
		return Action{}, false
	}
	var a Action
	ended := map[string]bool{}
	for _, s := range b.wanted(boot, servers) {
		if boot < b.retryAt[s.ID] {
			continue
		}
		o := b.owners[s.ID]
		if o.name != "" && o.name != b.self.Name && !ended[o.name] {
			b.endLease(&a.Transaction, o.name)
			ended[o.name] = true
		}
		value, _ := json.Marshal(wireOwner{Name: b.self.Name, Run: b.self.Run})
		a.Servers = append(a.Servers, s.ID)
		a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: ownerKey(s.ID), Version: o.version})
		a.Transaction.Writes = append(a.Transaction.Writes, chestnutstream.TableRow{Table: Table, Key: ownerKey(s.ID), Value: value})
	}
	if len(a.Servers) == 0 {
		return Action{}, false
	}
	// The own lease must still stand when the rows are written.
	a.Transaction.Checks = append(a.Transaction.Checks, chestnutstream.RowCheck{Table: Table, Key: instanceKey(b.self.Name), Version: b.version})
	for _, s := range a.Servers {
		b.acquiring[s] = true
	}
	return a, true
}

// endLease adds the end of a dead holder's lease to a transaction: its next
// renewal fails with that. Where no lease row is known, there must be none when
// the transaction is applied.
func (b *Book) endLease(t *chestnutstream.RowTransaction, name string) {
	version := uint64(0)
	if h := b.holders[name]; h != nil {
		version = h.version
		t.Removes = append(t.Removes, chestnutstream.TableRow{Table: Table, Key: instanceKey(name)})
	}
	t.Checks = append(t.Checks, chestnutstream.RowCheck{Table: Table, Key: instanceKey(name), Version: version})
}

// wanted returns the servers that this instance should acquire now. Servers
// without a living owner are dealt out in order of ID, each to the instance of
// its availability zone that owns the fewest, so that all instances which have
// read the same rows choose the same.
func (b *Book) wanted(boot time.Duration, servers []Server) []Server {
	var mine, free []Server
	counts := map[string]int{}
	for _, s := range servers {
		o, owned := b.owners[s.ID]
		switch {
		case o.name == b.self.Name && o.run != b.self.Run:
			mine = append(mine, s)
		case !owned || b.ended(boot, o):
			free = append(free, s)
			continue
		}
		counts[o.name]++
	}
	if b.fedAt-b.readAt < b.cfg.Settle {
		return mine // others that started at the same moment may not be known yet
	}
	sort.Slice(free, func(i, j int) bool { return free[i].ID < free[j].ID })
	for _, s := range free {
		name := b.elected(boot, s, counts)
		counts[name]++
		if name == b.self.Name {
			mine = append(mine, s)
		}
	}
	return mine
}

// ended reports whether an owner's lease has ended, or may be ended now.
func (b *Book) ended(boot time.Duration, o owner) bool {
	if o.name == b.self.Name {
		return false
	}
	h := b.holders[o.name]
	return h == nil || b.dead(boot, h)
}

// elected returns the instance that all of the server's region choose for it: one
// of its availability zone, else one of its region, else any.
func (b *Book) elected(boot time.Duration, s Server, counts map[string]int) string {
	best := candidate{}
	consider := func(h *Holder) {
		c := candidate{name: h.Name, zone: h.Zone == s.Zone, region: b.cfg.Regions[h.Zone] == b.cfg.Regions[s.Zone], owned: counts[h.Name], rank: xxhash.Sum64String(h.Name + "\x00" + s.ID)}
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
	name   string
	zone   bool // of the server's availability zone
	region bool // of its region
	owned  int
	rank   uint64
}

func (c candidate) before(o candidate) bool {
	if c.zone != o.zone {
		return c.zone
	}
	if c.region != o.region {
		return c.region
	}
	if c.owned != o.owned {
		return c.owned < o.owned
	}
	return c.rank > o.rank
}

// Acquired notes that an acquisition took effect with a version.
func (b *Book) Acquired(servers []string, version uint64) {
	for _, s := range servers {
		delete(b.acquiring, s)
		b.owners[s] = owner{name: b.self.Name, run: b.self.Run, version: version}
	}
}

// acquireRetry is how long after a failed acquisition the next one is tried.
const acquireRetry = 500 * time.Millisecond

// AcquisitionFailed notes that an acquisition did not take effect, or that this
// is not known; the rows tell.
func (b *Book) AcquisitionFailed(boot time.Duration, servers []string, rows []chestnutstream.TableRow) error {
	for _, s := range servers {
		delete(b.acquiring, s)
		b.retryAt[s] = boot + acquireRetry
	}
	var first error
	for _, r := range rows {
		if err := b.row(boot, r); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Forget drops what is kept of a server that has left.
func (b *Book) Forget(server string) { delete(b.retryAt, server) }
