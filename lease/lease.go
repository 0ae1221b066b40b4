// Package lease decides which instance may send orders to which model engine.
//
// Each instance has one lease row, which it renews, and each engine has one owner
// row, which names an instance and refers to its lease. So the number of renewals
// grows with the instances, not with the engines.
//
// # Usage
//
//	m := lease.NewManager(self, lease.DefaultSettings(handover))
//	for _, a := range m.Step(boot, servers) { ... } // send a.Transaction
//	m.Renewed(boot, sent, a, version) // by a.Kind: also Acquired, EraNoted
//	m.RecordOrderCount("i-7f3a91c2", report.OrderCount)
//	token, until, ok := m.FencingToken(boot, "i-7f3a91c2")
//
// # Invariants
//
// All times are on the boot clock, which counts while the machine is suspended.
// A lease is valid from before its renewal was sent, for the duration that the row
// states. Another instance ends it only after it has itself seen the same version
// of the row for that duration and HandoverDelay, and in a transaction that checks
// this version and removes the row, so the next renewal fails. HandoverDelay
// covers the last orders of the previous holder. A holder that ends in order releases its
// lease after its last order: the row then states no duration, and only HandoverDelay
// remains.
//
// A fencing token is the version of the transaction that acquired the engine. It
// is unique and rises with each acquisition, also by the same instance.
//
// A holder's name is that of one process at a time. The caller gives a name that
// contains an address which the process listens on before the manager's first step, and
// which it gives up only after its last order; chestnutstream.InstanceIdentity returns such a name.
// So a process that finds a lease under its own name is the same holder, restarted: the
// earlier process can send nothing more, and it takes over at once what that one owned,
// under a higher token. A process of the same instance name at another address is
// another holder, which waits as any other, since nothing shows that the first has ended.
// Earlier releases used the instance name alone: a lease under it that states this address
// is that of an earlier process, too.
//
// # Eras of the store
//
// A store that returns from an older copy has lost acknowledged rows and states a new era,
// which is the upper part of each version. Owner rows state the era in which they were
// written; those of an earlier era grant nothing. A process whose lease is valid when it
// learns of the new era keeps, until that lease ends, what it owned, and writes its rows
// again. Nobody takes over a server until all leases of earlier eras have ended. The row of
// an era notes when it began, for processes that start later; each transaction checks it,
// so a delayed one of an earlier era changes nothing after it was written.
package lease

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Table is the table of the platform's store that contains leases and owners.
const Table = "fleet"

// Key prefixes of the table's rows.
const (
	instancePrefix = "instance/"
	ownerPrefix    = "owner/"
)

// Settings are the times of leases.
type Settings struct {
	BaseDuration  time.Duration     // of a lease, from before its renewal is sent, with up to BaseInstances instances
	MaxDuration   time.Duration     // of a lease with many instances
	BaseInstances int               // beyond this number durations grow with the number of instances; 0: they do not
	RenewInterval time.Duration     // between renewals of a lease of BaseDuration; a longer lease is renewed later by the difference
	ClockMargin   time.Duration     // subtracted from the end for the holder itself, as clock rates differ
	HandoverDelay time.Duration     // between the last order of one holder and the first of the next
	Regions       map[string]string // by availability zone; nil: there is one region
	Bootstrap     bool              // the whole system starts for the first time: an empty table has lost no leases
	// EmptyTableWait is how long after the begin of an era with an empty table no engine is
	// acquired, without Bootstrap; 0: as long as after any begin of an era. Instances that have
	// seen an earlier era note so meanwhile.
	EmptyTableWait time.Duration
	StartupDelay   time.Duration // after the first read, before unowned engines are acquired: others may have started at the same moment
}

// DefaultSettings returns settings for engines that do not check fencing tokens;
// handover is the least time between orders of two holders. A lease outlasts most
// outages of the store, as nobody can take over while it is unavailable. With
// many instances renewals would be most of the calls to the store, and a single
// instance owns few engines, so leases last longer and are renewed less often.
func DefaultSettings(handover time.Duration) Settings {
	return Settings{
		BaseDuration: 10 * time.Second, MaxDuration: 15 * time.Second, BaseInstances: 24, RenewInterval: 3000 * time.Millisecond, ClockMargin: 400 * time.Millisecond,
		HandoverDelay: handover + orderFlight, StartupDelay: 1200 * time.Millisecond,
	}
}

// Server is an engine that needs an owner.
type Server struct {
	ID   string
	Zone string
}

// Holder is an instance's lease as this instance knows it.
type Holder struct {
	Name        string // of the holder; opaque
	Zone        string
	Address     string // for the protocol between instances
	Incarnation uint64 // of the holder's process
	version     uint64
	duration    time.Duration // from before the renewal that wrote this version
	seenAt      time.Duration // when this version was first seen, on the boot clock
	malformed   bool          // a malformed or foreign row has replaced it, of which only the version is known
	lost        bool          // the store has lost the row; version is 0
}

type owner struct {
	name        string
	incarnation uint64
	era         uint64 // in which the row was written
	version     uint64 // of the row, which is also the fencing token
	// malformed is the version of a malformed or foreign row that has replaced it; 0: there
	// is none. Only the owner itself replaces such a row: another may have become the owner
	// just before it was written.
	malformed uint64
}

// rowVersion returns the version of the row in the store, as far as it is known.
func (o owner) rowVersion() uint64 { return max(o.version, o.malformed) }

// Manager is the lease manager of one instance: it knows all leases and owners, and
// decides about this instance's own lease and acquisitions.
type Manager struct {
	cfg  Settings
	self Holder

	holders     map[string]*Holder
	owners      map[string]owner
	hasRead     bool          // the table was read at least once
	readEra     uint64        // of the last snapshot
	firstReadAt time.Duration // first read of the table
	updatedAt   time.Duration // last read or update of the table

	era      eraState
	restored bool                  // this process has seen an earlier era, or its traces
	unproven map[string]bool       // servers acquired as those of a new system, which no report has confirmed yet
	kept     map[string]keptServer // owned by the era before, with no owner row of the present era

	issued             map[string]issuedToken // by server
	version            uint64                 // of the own lease row in the present era; 0: this process has no lease
	duration           time.Duration          // of the own lease; never decreases, so that no renewal shortens a valid lease
	validUntil         time.Duration          // end of the own lease, minus ClockMargin
	renewAt            time.Duration
	renewing           bool
	acquiring          map[string]bool          // servers of the acquisition in flight
	retryAt            map[string]time.Duration // next acquisition after a failed one, by server
	acquisitionStopped bool
	released           bool // nothing more is renewed or acquired
}

// NewManager returns the lease manager of an instance without a lease.
func NewManager(self Holder, cfg Settings) *Manager {
	return &Manager{cfg: cfg, self: self, duration: cfg.BaseDuration, holders: map[string]*Holder{}, owners: map[string]owner{}, acquiring: map[string]bool{}, kept: map[string]keptServer{}, retryAt: map[string]time.Duration{}, issued: map[string]issuedToken{}, unproven: map[string]bool{}}
}

// ActionKind is the kind of an action.
type ActionKind string

// Kinds of actions.
const (
	ActionRenew   ActionKind = "renew"    // the own lease
	ActionAcquire ActionKind = "acquire"  // servers
	ActionNoteEra ActionKind = "note-era" // write the row of a new era
)

// Action is a transaction to send.
type Action struct {
	Kind        ActionKind
	Servers     []string // to acquire
	Rewritten   int      // how many of them were owned in the era before
	Transaction chestnutstream.RowTransaction
	era         uint64
}

// Snapshot is the content of the table.
type Snapshot struct {
	Rows    []chestnutstream.TableRow
	Version uint64 // as of which the rows were read, at least
	NowMS   int64  // the store's clock, in milliseconds
}

type wireHolder struct {
	Zone        string `json:"z"`
	Address     string `json:"a"`
	Incarnation uint64 `json:"r"`
	DurationMS  int64  `json:"d,omitempty"` // 0: the default
	Released    bool   `json:"e,omitempty"` // the holder has sent its last order
}

type wireOwner struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"r"`
	Era         uint64 `json:"e,omitempty"` // 0: the store stated none, or an earlier release wrote the row
}

func instanceKey(name string) string { return instancePrefix + name }
func ownerKey(server string) string  { return ownerPrefix + server }

// ApplySnapshot handles a snapshot of the table: rows that it lacks are dropped. The first
// snapshot of a new era may lack leases that are still valid; these end by their duration.
// A snapshot of an earlier era is ignored. Errors are as for ApplyUpdates.
func (m *Manager) ApplySnapshot(boot time.Duration, s Snapshot) error {
	m.learnEra(boot, s.Version)
	if chestnutstream.VersionEra(s.Version) < m.era.number {
		return nil
	}
	m.applyEraSnapshot(boot, s)
	present := map[string]bool{}
	for _, r := range s.Rows {
		present[r.Key] = true
	}
	firstOfEra := m.hasRead && m.readEra != m.era.number
	for name, h := range m.holders {
		switch {
		case present[instanceKey(name)] || h.version > s.Version:
		case name != m.self.Name && (firstOfEra || h.lost && !m.expired(boot, h)):
			h.lost, h.version = true, 0
		default:
			delete(m.holders, name)
		}
	}
	for server, o := range m.owners {
		if !present[ownerKey(server)] && o.rowVersion() <= s.Version {
			delete(m.owners, server)
		}
	}
	if !m.hasRead {
		m.hasRead, m.firstReadAt = true, boot
	}
	m.readEra = m.era.number
	return m.ApplyUpdates(boot, s.Rows)
}

// maxReadGap is the time without an update of the table after which all other
// leases are considered valid for their whole duration again: either nobody could
// renew, or this instance could not see the renewals.
const maxReadGap = 5 * time.Second

// ApplyUpdates handles updates of the table. Of a row that cannot be decoded only the
// version is used; the error names the first such row.
func (m *Manager) ApplyUpdates(boot time.Duration, rows []chestnutstream.TableRow) error {
	if boot-m.updatedAt > maxReadGap {
		for _, h := range m.holders {
			h.seenAt = boot
		}
	}
	m.updatedAt = boot
	return m.applyRows(boot, rows)
}

// applyRows applies rows. The error names the first one that cannot be decoded.
func (m *Manager) applyRows(boot time.Duration, rows []chestnutstream.TableRow) error {
	var firstErr error
	for _, r := range rows {
		if err := m.applyRow(boot, r); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (m *Manager) applyRow(boot time.Duration, r chestnutstream.TableRow) error {
	m.learnEra(boot, r.Version)
	if chestnutstream.VersionEra(r.Version) < m.era.number {
		return nil
	}
	switch {
	case strings.HasPrefix(r.Key, eraPrefix):
		return m.applyEraRow(r)
	case strings.HasPrefix(r.Key, instancePrefix):
		return m.applyHolderRow(boot, strings.TrimPrefix(r.Key, instancePrefix), r)
	case strings.HasPrefix(r.Key, ownerPrefix):
		return m.applyOwnerRow(strings.TrimPrefix(r.Key, ownerPrefix), r)
	}
	return nil
}

func (m *Manager) applyHolderRow(boot time.Duration, name string, r chestnutstream.TableRow) error {
	h := m.holders[name]
	if h != nil && r.Version <= h.version {
		return nil
	}
	if r.Removed {
		delete(m.holders, name)
		return nil
	}
	var w wireHolder
	if err := json.Unmarshal(r.Value, &w); err != nil {
		// The holder may have renewed its lease just before.
		m.holders[name] = &Holder{Name: name, version: r.Version, duration: m.longestDuration(), seenAt: boot, malformed: true}
		return fmt.Errorf("decode lease of %s: %w", name, err)
	}
	duration := time.Duration(0)
	if !w.Released {
		duration = m.acceptedDuration(w)
	}
	m.holders[name] = &Holder{Name: name, Zone: w.Zone, Address: w.Address, Incarnation: w.Incarnation, version: r.Version, duration: duration, seenAt: boot}
	return nil
}

// acceptedDuration returns the duration that a row states, within the limits.
func (m *Manager) acceptedDuration(w wireHolder) time.Duration {
	return max(time.Duration(max(min(w.DurationMS, m.longestDuration().Milliseconds()), 0))*time.Millisecond, m.cfg.BaseDuration)
}

// longestDuration returns the longest duration of a lease that is accepted. No instance
// states more than MaxDuration, but one of another release may.
func (m *Manager) longestDuration() time.Duration {
	return 2 * max(m.cfg.MaxDuration, m.cfg.BaseDuration)
}

func (m *Manager) applyOwnerRow(server string, r chestnutstream.TableRow) error {
	o := m.owners[server]
	if r.Version <= o.rowVersion() {
		return nil
	}
	if r.Removed {
		delete(m.owners, server)
		return nil
	}
	var w wireOwner
	if err := json.Unmarshal(r.Value, &w); err != nil {
		o.malformed = r.Version
		m.owners[server] = o
		return fmt.Errorf("decode owner of %s: %w", server, err)
	}
	o = owner{name: w.Name, incarnation: w.Incarnation, era: w.Era, version: r.Version}
	m.owners[server] = o
	if !m.inherited(o) {
		delete(m.kept, server)
	}
	return nil
}

// Holders returns the other instances with a valid lease, as far as this instance
// has seen their renewals, in order of name.
func (m *Manager) Holders(boot time.Duration) []Holder {
	var out []Holder
	for _, h := range m.holders {
		if h.Name != m.self.Name && m.alive(boot, h) {
			out = append(out, *h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// startupInstances is the least number of instances assumed just after a start,
// when instances that started at the same moment are not known yet.
const startupInstances = 24

// Instances returns how many instances hold a lease, this one included.
func (m *Manager) Instances(boot time.Duration) int {
	n := len(m.Holders(boot)) + 1
	if !m.hasRead || m.updatedAt-m.firstReadAt < m.cfg.StartupDelay {
		return max(n, startupInstances)
	}
	return n
}

func (m *Manager) alive(boot time.Duration, h *Holder) bool {
	return !h.malformed && boot-h.seenAt < h.duration
}

// expired reports whether a holder's lease may be ended: the same version was seen
// for the duration that its row states, and its last orders have arrived.
func (m *Manager) expired(boot time.Duration, h *Holder) bool {
	return boot-h.seenAt > h.duration+m.cfg.HandoverDelay
}

// Owner returns the instance that owns a server, or "".
func (m *Manager) Owner(server string) string { return m.owners[server].name }

// Owned returns the servers that this process owns, in order of ID; none without a
// valid lease.
func (m *Manager) Owned(boot time.Duration) []string {
	var out []string
	for _, s := range m.keptServers(boot) {
		out = append(out, s.ID)
	}
	for server, o := range m.owners {
		if m.Valid(boot) && m.ownedHere(o) && !m.keeps(boot, server) {
			out = append(out, server)
		}
	}
	sort.Strings(out)
	return out
}

// ownedHere reports whether an owner row names this process.
func (m *Manager) ownedHere(o owner) bool {
	return o.name == m.self.Name && o.incarnation == m.self.Incarnation && !m.inherited(o)
}

// Valid reports whether this instance's own lease is valid.
func (m *Manager) Valid(boot time.Duration) bool { return m.version != 0 && boot < m.validUntil }

// orderFlight is the time in which an order that was given up, or is on its way, may still
// arrive. It is the part of HandoverDelay beyond the least time between two holders.
const orderFlight = 500 * time.Millisecond

// issuedToken is the token of the last orders to a server.
type issuedToken struct {
	token uint64
	at    time.Duration // when it was last returned
}

// FencingToken returns the fencing token for orders to a server and the boot time until
// which they may be sent. ok is false when this process does not own the server, and until the
// orders under its previous token have arrived.
func (m *Manager) FencingToken(boot time.Duration, server string) (token uint64, until time.Duration, ok bool) {
	if m.unproven[server] && boot-m.era.since < m.EraWait() {
		return 0, 0, false
	}
	switch o := m.owners[server]; {
	case m.keeps(boot, server):
		token, until = m.kept[server].token, m.kept[server].until
	case m.ownedHere(o) && m.Valid(boot):
		token, until = o.version, m.validUntil
	default:
		return 0, 0, false
	}
	if last, issued := m.issued[server]; issued && last.token != token && boot-last.at < orderFlight {
		return 0, 0, false
	}
	m.issued[server] = issuedToken{token, boot}
	return token, until, true
}

// StopAcquiring stops acquisitions, but for those of servers that this process owned when
// the store returned from a copy. Owned servers stay owned until the process ends, as
// the instance usually restarts and continues with them.
func (m *Manager) StopAcquiring() { m.acquisitionStopped = true }
