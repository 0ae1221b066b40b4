package chestnutstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Versions of rows consist of the store's era and, below it, its counter of transactions.
// The era rises when the store returns from an older copy; the counter then goes back. So
// versions of all eras can be compared. A store that states no era has era 0.
const (
	eraShift   = 40
	MaxEra     = 1<<(64-eraShift) - 1
	MaxCounter = 1<<eraShift - 1
)

// RowVersion returns the version of a transaction of an era.
func RowVersion(era, counter uint64) uint64 { return era<<eraShift | counter }

// VersionEra returns the era of a version.
func VersionEra(version uint64) uint64 { return version >> eraShift }

// VersionCounter returns the store's own number of a version, which is unique in its era only.
func VersionCounter(version uint64) uint64 { return version & MaxCounter }

// TableRow is a row of the platform's metadata store. Version is the version of the
// transaction that last changed it. The store numbers all transactions with one
// counter, so versions of different rows can be compared.
type TableRow struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	Removed bool // in a response to Watch: the row was removed
}

// RowCheck is a condition of a transaction: the row has this version (0: it is
// absent).
type RowCheck struct {
	Table   string
	Key     string
	Version uint64
}

// MaxTransactionEntries is the store's limit on the checks, writes and deletes of a
// transaction, together.
const MaxTransactionEntries = 100

// RowTransaction is a transaction, applied atomically if all checks hold.
type RowTransaction struct {
	Checks  []RowCheck
	Writes  []TableRow
	Deletes []TableRow
}

// Entries returns the number of entries that count towards MaxTransactionEntries.
func (t RowTransaction) Entries() int { return len(t.Checks) + len(t.Writes) + len(t.Deletes) }

// RowStore is the platform's metadata store.
type RowStore interface {
	// Apply applies a transaction and returns its version. It fails with a
	// *RowConflictError or ErrStoreRefused if nothing was applied, and with
	// ErrUnavailable if it is unknown whether the transaction was applied.
	Apply(ctx context.Context, t RowTransaction) (version uint64, err error)
	// Rows returns a snapshot of a table and the version from which Watch returns
	// the later changes.
	Rows(ctx context.Context, table string) (rows []TableRow, version uint64, err error)
	// Watch watches a table: it returns the changes after a version as soon as there
	// are any, or none once wait has passed. It fails with ErrHistoryLost if the
	// store no longer has the changes; the caller then takes a new snapshot.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rows []TableRow, version uint64, err error)
}

// RowConflictError reports failed checks of a transaction, with the current rows.
// The transaction wrote nothing.
type RowConflictError struct {
	Rows []TableRow
}

// Error implements error.
func (e *RowConflictError) Error() string { return "transaction conflict" }

// Errors of the platform's store.
var (
	// ErrStoreRefused is returned when the store responded that it did nothing.
	ErrStoreRefused = errors.New("the store refused the call")
	// ErrHistoryLost is returned when Watch requests changes that the store no longer
	// keeps, or that were made in an earlier era.
	ErrHistoryLost = errors.New("the store no longer has these changes")
	// ErrStoreRestored is returned when a transaction checks versions of an earlier era than
	// the store's. If the store was asked, it is unknown what it has applied.
	ErrStoreRestored = errors.New("the store has returned from a copy")
)
