package table

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// Times of the lease. A renewal without a response can be retried twice before
// the lease expires.
const (
	LeaseDuration      = 8 * time.Second
	LeaseRenewalPeriod = 2500 * time.Millisecond
	LeaseSafetyMargin  = 500 * time.Millisecond // subtracted on the holder's side, because clock rates differ
	LeasePrefix        = "lease/"
	leaseReadTimeout   = time.Second
)

var errLeaseLost = errors.New("the store has returned from a copy")

// LeaseKey returns the row key of an instance's lease.
func LeaseKey(instance string) string { return LeasePrefix + instance }

// Lease is the single lease of an instance. Its ownership rows refer to it, so
// the number of renewals grows with the instances and not with the backend
// servers.
//
// Invariant: while a holder considers its lease valid, it has not been taken
// over. ValidUntil counts from before the renewal was sent, on the holder's
// monotonic clock. An observer may treat the lease as expired only after it has
// seen the same row version for LeaseDuration on its own clock. Its takeover
// deletes the row, and the next renewal fails because it checks the row's
// version. When the store returns from a copy, the lease that was valid before ends at KeptUntil,
// and one of the new era begins with its first renewal in it.
type Lease struct {
	table           EraTable
	now             func() time.Time
	instance        string
	baseIncarnation string

	mu             sync.Mutex
	incarnation    string
	takeovers      int
	version        uint64
	validUntil     time.Time
	lastResponseAt time.Time // last response of the table service
	failingSince   time.Time // first renewal without a response after lastResponseAt; zero if none
	lastFailureAt  time.Time // latest renewal without a response
	renewal        int
	era            uint64    // of the last renewal
	keptUntil      time.Time // the end of the lease as of the last renewal of an earlier era
}

// LeaseState is an instance's view of its own lease.
type LeaseState struct {
	ValidUntil     time.Time
	Version        uint64
	Era            uint64    // of the last renewal
	KeptUntil      time.Time // the end of the lease as of the last renewal of an earlier era
	Incarnation    string    // changes after another instance took the lease over
	LastResponseAt time.Time // last response of the table service
	FailingSince   time.Time // first renewal without a response after LastResponseAt; zero if none
	LastFailureAt  time.Time // latest renewal without a response
}

type wireLease struct {
	Incarnation string `json:"incarnation"`
	Renewal     int    `json:"renewal"`
}

// NewLease returns a lease that is not acquired yet.
func NewLease(t EraTable, now func() time.Time, instance, incarnation string) *Lease {
	return &Lease{table: t, now: now, instance: instance, baseIncarnation: incarnation, incarnation: incarnation}
}

// State returns the current state of the lease.
func (l *Lease) State() LeaseState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeaseState{ValidUntil: l.validUntil, Version: l.version, Era: l.era, KeptUntil: l.keptUntil, Incarnation: l.incarnation, LastResponseAt: l.lastResponseAt, FailingSince: l.failingSince, LastFailureAt: l.lastFailureAt}
}

// Renew acquires or renews the lease. If another instance has taken the lease
// over, Renew returns an error and the next call acquires it again, under a new
// incarnation. A row that the store has lost by returning from a copy is written again.
func (l *Lease) Renew(ctx context.Context) error {
	err := l.renewOnce(ctx)
	if errors.Is(err, errLeaseLost) {
		return l.renewOnce(ctx)
	}
	return err
}

func (l *Lease) renewOnce(ctx context.Context) error {
	l.mu.Lock()
	sentAt := l.now()
	version, renewal, incarnation := l.version, l.renewal+1, l.incarnation
	l.mu.Unlock()
	value, err := json.Marshal(wireLease{incarnation, renewal})
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	key := LeaseKey(l.instance)
	versions, err := l.table.Transact(ctx, []chestnutstream.Check{{Key: key, Version: version}}, []chestnutstream.Write{{Key: key, Value: value}})
	if err == nil {
		l.recordRenewal(sentAt, versions[key], renewal)
		return nil
	}
	return l.reconcile(ctx, sentAt, renewal, err)
}

// recordRenewal records a renewal that took effect.
func (l *Lease) recordRenewal(sentAt time.Time, version uint64, renewal int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.renewal = version, renewal
	l.recordResponse()
	if era := chestnutstream.VersionEra(version); era > l.era {
		l.era, l.keptUntil, l.validUntil = era, l.validUntil, time.Time{}
	}
	if until := sentAt.Add(LeaseDuration - LeaseSafetyMargin); until.After(l.validUntil) {
		l.validUntil = until
	}
}

// recordResponse records a response of the table service. The caller must hold mu.
func (l *Lease) recordResponse() {
	l.lastResponseAt = l.now()
	l.failingSince, l.lastFailureAt = time.Time{}, time.Time{}
}

// recordFailure records a renewal without a response.
func (l *Lease) recordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFailureAt = l.now()
	if l.failingSince.IsZero() {
		l.failingSince = l.lastFailureAt
	}
}

// reconcile reads the row after a conflict or a lost response. The row shows
// this renewal, an earlier one of this incarnation, or that the lease was taken
// over.
func (l *Lease) reconcile(ctx context.Context, sentAt time.Time, renewal int, cause error) error {
	readCtx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
	defer cancel()
	row, err := l.table.Get(readCtx, LeaseKey(l.instance))
	if err != nil {
		l.recordFailure()
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
		l.recordRenewal(sentAt, row.Version, renewal)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordResponse()
	lost := l.version != 0 && chestnutstream.VersionEra(l.version) < l.table.Era()
	switch {
	case lost:
		// The row is that of the copy, or absent: the next renewal replaces it.
		l.version = row.Version
		if ours {
			l.renewal = w.Renewal
		}
		return fmt.Errorf("%w: %w", errLeaseLost, cause)
	case ours:
		// The row has an earlier renewal of this incarnation: the next renewal checks its version.
		l.version, l.renewal = row.Version, w.Renewal
	case row.Version == 0 && l.version == 0:
		// The lease was never acquired and this write did not take effect.
	case row.Version == 0 || l.version != 0:
		l.takeovers++
		l.incarnation = fmt.Sprintf("%s.%d", l.baseIncarnation, l.takeovers)
		l.validUntil, l.version = time.Time{}, row.Version
	default:
		// The row is of an earlier incarnation: the next renewal replaces it.
		l.version = row.Version
	}
	return fmt.Errorf("renew lease: %w", cause)
}

// LeaseIncarnation returns the incarnation in a lease row, or "" if the row is
// absent.
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

// Release deletes the lease's row. It is called when the instance stops.
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

// Pause blocks renewals and reads of the state until resume is called.
func (l *Lease) Pause() (resume func()) {
	l.mu.Lock()
	return l.mu.Unlock
}
