// Package lease decides which instance may give orders to which model engine.
//
// There is one lease row for each instance, which it renews, and one owner row
// for each engine, which names an instance and refers to its lease. So renewals
// grow with instances, not with engines.
//
// # Usage
//
//	b := lease.NewBook("edge-a-1", run, settings)
//	for _, a := range b.Step(boot, servers) { ... } // Renew, Acquire
//	b.Renewed(sent, version)
//	token, until, ok := b.Fence(boot, "i-7f3a91c2")
//
// # Invariants
//
// All times are on the boot clock, which counts while the machine is suspended.
// A lease holds from before its renewal was sent for as long as the row says.
// Another instance ends it only after it has itself seen the same version of the
// row for that time and for Turn beyond, and in a transaction that checks that version
// and removes the row; so the next renewal fails. Turn covers the orders that
// the old holder sent last.
//
// A fencing number is the version of the transaction that acquired the engine:
// unique, and rising with each acquisition, also by the same instance.
//
// An instance that starts again is the same holder. It takes over what its
// earlier process owned at once, under a higher number.
package lease

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Table is the table of the platform's store that leases and owners stand in.
const Table = "fleet"

// Key prefixes of its rows.
const (
	instancePrefix = "instance/"
	ownerPrefix    = "owner/"
)

// Settings are the times of leases.
type Settings struct {
	Duration time.Duration     // from before a renewal is sent, among few instances
	Longest  time.Duration     // the same among many
	Crowd    int               // instances up to which Duration is enough; beyond, it grows with their number
	Renewal  time.Duration     // between renewals of a lease of Duration; a longer one is renewed as much later
	Safety   time.Duration     // taken off the holder's end, for clock rates that differ
	Turn     time.Duration     // between the last order of one holder and the first of the next
	Regions  map[string]string // by availability zone; nil: there is one
	Settle   time.Duration     // after the first read, before engines are acquired: others start at the same moment
}

// DefaultSettings returns times for engines that do not check fencing numbers,
// where turn is how long two holders must not take turns. A lease outlasts most
// outages of the store: while it is away nobody can take over. Among many
// instances renewals would be most of all calls to the store, and a single
// instance owns few engines: leases are longer there and renewed less often.
func DefaultSettings(turn time.Duration) Settings {
	return Settings{
		Duration: 10 * time.Second, Longest: 15 * time.Second, Crowd: 24, Renewal: 3000 * time.Millisecond, Safety: 400 * time.Millisecond,
		Turn: turn + 500*time.Millisecond, Settle: 1200 * time.Millisecond,
	}
}

// Server is an engine that needs an owner.
type Server struct {
	ID   string
	Zone string
}

// Holder is an instance's lease as this instance sees it.
type Holder struct {
	Name    string
	Zone    string
	Address string // of the instances' protocol
	Run     uint64
	version uint64
	lasts   time.Duration // the lease, from before the renewal that wrote this version
	seen    time.Duration // when this version was first seen, on the boot clock
}

type owner struct {
	name    string
	run     uint64
	version uint64 // of the row, which is also the fencing number
}

// Book is what an instance knows of all leases, and decides about its own.
type Book struct {
	cfg  Settings
	self Holder

	holders map[string]*Holder
	owners  map[string]owner
	read    bool          // the table was read once
	readAt  time.Duration // when it was first read
	fedAt   time.Duration // when it was last read

	version   uint64        // of the own row; 0: not held by this process
	lasts     time.Duration // the own lease; only rises, so that no renewal shortens one that still holds
	validTo   time.Duration // end of the own lease, safety taken off
	renewAt   time.Duration
	renewing  bool
	acquiring map[string]bool
	retryAt   map[string]time.Duration
	leaving   bool
}

// NewBook returns the book of an instance that holds nothing yet.
func NewBook(self Holder, cfg Settings) *Book {
	return &Book{cfg: cfg, self: self, lasts: cfg.Duration, holders: map[string]*Holder{}, owners: map[string]owner{}, acquiring: map[string]bool{}, retryAt: map[string]time.Duration{}}
}

// Action is what the book wants done.
type Action struct {
	Servers     []string // to acquire; none: renew the lease
	Transaction chestnutstream.RowTransaction
}

type wireHolder struct {
	Zone    string `json:"z"`
	Address string `json:"a"`
	Run     uint64 `json:"r"`
	LastsMS int64  `json:"d,omitempty"` // 0: the default
}

type wireOwner struct {
	Name string `json:"n"`
	Run  uint64 `json:"r"`
}

func instanceKey(name string) string { return instancePrefix + name }
func ownerKey(server string) string  { return ownerPrefix + server }

// Listed takes the whole table.
func (b *Book) Listed(boot time.Duration, rows []chestnutstream.TableRow) error {
	listed := map[string]bool{}
	for _, r := range rows {
		listed[r.Key] = true
	}
	for name := range b.holders {
		if !listed[instanceKey(name)] {
			delete(b.holders, name)
		}
	}
	for server := range b.owners {
		if !listed[ownerKey(server)] {
			delete(b.owners, server)
		}
	}
	if !b.read {
		b.read, b.readAt = true, boot
	}
	return b.Fed(boot, rows)
}

// readGap is the time without a read of the table after which the others are
// given their leases' whole duration anew: nobody could renew, or this instance
// could not see it.
const readGap = 5 * time.Second

// Fed takes changes of the table. A row that cannot be read is left as it was;
// the error names the first.
func (b *Book) Fed(boot time.Duration, rows []chestnutstream.TableRow) error {
	if boot-b.fedAt > readGap {
		for _, h := range b.holders {
			h.seen = boot
		}
	}
	b.fedAt = boot
	var first error
	for _, r := range rows {
		if err := b.row(boot, r); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (b *Book) row(boot time.Duration, r chestnutstream.TableRow) error {
	switch {
	case strings.HasPrefix(r.Key, instancePrefix):
		return b.holderRow(boot, strings.TrimPrefix(r.Key, instancePrefix), r)
	case strings.HasPrefix(r.Key, ownerPrefix):
		return b.ownerRow(strings.TrimPrefix(r.Key, ownerPrefix), r)
	}
	return nil
}

func (b *Book) holderRow(boot time.Duration, name string, r chestnutstream.TableRow) error {
	h := b.holders[name]
	if h != nil && r.Version <= h.version {
		return nil
	}
	if r.Removed {
		delete(b.holders, name)
		return nil
	}
	var w wireHolder
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return fmt.Errorf("decode lease of %s: %w", name, err)
	}
	lasts := max(time.Duration(w.LastsMS)*time.Millisecond, b.cfg.Duration)
	b.holders[name] = &Holder{Name: name, Zone: w.Zone, Address: w.Address, Run: w.Run, version: r.Version, lasts: lasts, seen: boot}
	return nil
}

func (b *Book) ownerRow(server string, r chestnutstream.TableRow) error {
	if r.Version <= b.owners[server].version {
		return nil
	}
	if r.Removed {
		delete(b.owners, server)
		return nil
	}
	var w wireOwner
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return fmt.Errorf("decode owner of %s: %w", server, err)
	}
	b.owners[server] = owner{name: w.Name, run: w.Run, version: r.Version}
	return nil
}

// Holders returns the other instances whose leases this instance has seen
// renewed lately, in order of name.
func (b *Book) Holders(boot time.Duration) []Holder {
	var out []Holder
	for _, h := range b.holders {
		if h.Name != b.self.Name && b.alive(boot, h) {
			out = append(out, *h)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// unsettled is how many instances are assumed just after a start, while those
// that started together are not known yet.
const unsettled = 24

// Instances returns how many instances hold a lease, this one included.
func (b *Book) Instances(boot time.Duration) int {
	n := len(b.Holders(boot)) + 1
	if !b.read || b.fedAt-b.readAt < b.cfg.Settle {
		return max(n, unsettled)
	}
	return n
}

func (b *Book) alive(boot time.Duration, h *Holder) bool { return boot-h.seen < h.lasts }

// dead reports whether a holder's lease may be ended: the same version was seen
// for as long as the lease lasts by the holder's own word, and its last orders
// have arrived.
func (b *Book) dead(boot time.Duration, h *Holder) bool {
	return boot-h.seen > h.lasts+b.cfg.Turn
}

// Owner returns the instance that owns a server, or "".
func (b *Book) Owner(server string) string { return b.owners[server].name }

// Owned returns the servers that this process owns while its lease holds.
func (b *Book) Owned(boot time.Duration) []string {
	if !b.Valid(boot) {
		return nil
	}
	var out []string
	for server, o := range b.owners {
		if o.name == b.self.Name && o.run == b.self.Run {
			out = append(out, server)
		}
	}
	sort.Strings(out)
	return out
}

// Valid reports whether the own lease holds.
func (b *Book) Valid(boot time.Duration) bool { return b.version != 0 && boot < b.validTo }

// Fence returns the fencing number for orders to a server and until when they
// may be sent. ok is false when this process does not own it now.
func (b *Book) Fence(boot time.Duration, server string) (number uint64, until time.Duration, ok bool) {
	o := b.owners[server]
	if o.name != b.self.Name || o.run != b.self.Run || !b.Valid(boot) {
		return 0, 0, false
	}
	return o.version, b.validTo, true
}

// Leave stops acquisitions; what is owned stays until the process ends, since
// the instance mostly starts again and goes on with it.
func (b *Book) Leave() { b.leaving = true }
