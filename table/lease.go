package table

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/chestnutstream/chestnutstream"
)

// Lease times. A renewal that goes unanswered can be tried twice more before
// the lease lapses.
const (
	LeaseDuration    = 8 * time.Second
	LeaseRenewal     = 2500 * time.Millisecond
	LeaseSafety      = 500 * time.Millisecond // taken off the holder's end, for clock rates that differ
	LeasePrefix      = "lease/"
	leaseReadTimeout = time.Second
)

// LeaseKey returns the row of an instance's lease.
func LeaseKey(instance string) string { return LeasePrefix + instance }

// Lease is the one lease of an instance; what it owns refers to it, so renewals
// grow with instances and not with backend servers.
//
// Invariant: ValidUntil counts from before the renewal was sent, on the
// holder's monotonic clock. An observer may call the lease lapsed only after it
// has seen the same row version for LeaseDuration on its own clock, and its
// takeover deletes the row, on whose version the next renewal depends. So a
// holder that believes in its lease has not been taken over.
type Lease struct {
	table    chestnutstream.Table
	now      func() time.Time
	instance string
	base     string

	mu          sync.Mutex
	incarnation string
	losses      int
	version     uint64
	validUntil  time.Time
	heardAt     time.Time // last answer of the table service
	failedSince time.Time // first renewal without an answer since then
	failedAt    time.Time // newest renewal without an answer
	renewals    int
}

// LeaseState is what an instance knows of its own lease.
type LeaseState struct {
	ValidUntil  time.Time
	Version     uint64
	Incarnation string    // changes when another instance ended the lease
	HeardAt     time.Time // last answer of the table service
	FailedSince time.Time // first renewal without an answer since then; zero: none
	FailedAt    time.Time // newest renewal without an answer
}

type wireLease struct {
	Incarnation string `json:"incarnation"`
	Renewal     int    `json:"renewal"`
}

// NewLease returns a lease that is not held yet.
func NewLease(t chestnutstream.Table, now func() time.Time, instance, incarnation string) *Lease {
	return &Lease{table: t, now: now, instance: instance, base: incarnation, incarnation: incarnation}
}

// State returns what is known of the lease.
func (l *Lease) State() LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeaseState{ValidUntil: l.validUntil, Version: l.version, Incarnation: l.incarnation, HeardAt: l.heardAt, FailedSince: l.failedSince, FailedAt: l.failedAt}
}

// Renew acquires or renews the lease. After the lease was ended by another
// instance the next call acquires it anew.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	sent := l.now()
	version, renewal, incarnation := l.version, l.renewals+1, l.incarnation
	l.mu.Unlock()
	value, err := json.Marshal(wireLease{incarnation, renewal})
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	key := LeaseKey(l.instance)
	versions, err := l.table.Transact(ctx, []chestnutstream.Check{{Key: key, Version: version}}, []chestnutstream.Write{{Key: key, Value: value}})
	if err == nil {
		l.hold(sent, versions[key], renewal)
		return nil
	}
	return l.settle(ctx, sent, renewal, err)
}

// hold notes a renewal that took effect.
func (l *Lease) hold(sent time.Time, version uint64, renewal int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.renewals = version, renewal
	l.heard()
	if until := sent.Add(LeaseDuration - LeaseSafety); until.After(l.validUntil) {
		l.validUntil = until
	}
}

// heard notes an answer of the table service. Callers hold mu.
func (l *Lease) heard() {
	l.heardAt = l.now()
	l.failedSince, l.failedAt = time.Time{}, time.Time{}
}

// noteFailure notes a renewal without an answer.
func (l *Lease) noteFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = l.now()
	if l.failedSince.IsZero() {
		l.failedSince = l.failedAt
	}
}

// settle reads the row back after a conflict or a lost answer: it holds this
// renewal, an earlier one of this incarnation, or it was taken.
func (l *Lease) settle(ctx context.Context, sent time.Time, renewal int, cause error) error {
	readCtx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
	defer cancel()
	row, err := l.table.Get(readCtx, LeaseKey(l.instance))
	if err != nil {
		l.noteFailure()
		return fmt.Errorf("renew lease: %w, and read back: %w", cause, err)
	}
	var w wireLease
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &w); err != nil {
			return fmt.Errorf("renew lease: decode: %w", err)
		}
	}
	l.mu.Lock()
	ours := row.Version != 0 && w.Incarnation == l.incarnation
	l.mu.Unlock()
	if ours && w.Renewal == renewal {
		l.hold(sent, row.Version, renewal)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard()
	switch {
	case ours:
		// An earlier renewal of ours stands: the next one builds on it.
		l.version, l.renewals = row.Version, w.Renewal
	case row.Version == 0 && l.version == 0:
		// Never held: the write did not take effect.
	case row.Version == 0 || l.version != 0:
		l.losses++
		l.incarnation = fmt.Sprintf("%s.%d", l.base, l.losses)
		l.validUntil, l.version = time.Time{}, row.Version
	default:
		// A former incarnation's row: replace it.
		l.version = row.Version
	}
	return fmt.Errorf("renew lease: %w", cause)
}

// LeaseIncarnation returns the incarnation that holds a lease row; an absent
// row has none.
func LeaseIncarnation(row chestnutstream.Row) (string, error) {
	if row.Version == 0 {
		return "", nil
	}
	var w wireLease
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return "", fmt.Errorf("decode lease: %w", err)
	}
	return w.Incarnation, nil
}

// Release gives the lease up when the instance stops.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version := l.version
	l.validUntil, l.version = time.Time{}, 0
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	key := LeaseKey(l.instance)
	_, err := l.table.Transact(ctx, []chestnutstream.Check{{Key: key, Version: version}}, []chestnutstream.Write{{Key: key, Delete: true}})
	if err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}

// Pause holds the lease as it is, without renewals, until resume is called.
func (l *Lease) Pause() (resume func()) {
	l.mu.Lock()
	return l.mu.Unlock
}
