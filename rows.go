package chestnutstream

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// TableRow is a row of the platform's metadata store. Version is that of the
// transaction which changed it last; the store has one counter of transactions,
// so versions of different rows compare.
type TableRow struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	Removed bool // in a feed: the row was removed
}

// RowCheck is a condition of a transaction: the row has this version (0: it is
// absent).
type RowCheck struct {
	Table   string
	Key     string
	Version uint64
}

// RowTransaction is applied whole, if all checks hold, or not at all.
type RowTransaction struct {
	Checks  []RowCheck
	Writes  []TableRow
	Removes []TableRow
}

// RowStore is the platform's metadata store.
type RowStore interface {
	// Apply applies a transaction and returns its version. It fails with a
	// *RowConflictError or ErrStoreRefused when nothing was done, and with
	// ErrUnavailable when that is not known.
	Apply(ctx context.Context, t RowTransaction) (version uint64, err error)
	// Rows returns the rows of a table and the version as of which the feed
	// goes on.
	Rows(ctx context.Context, table string) (rows []TableRow, version uint64, err error)
	// Feed returns the changes of a table after a version as soon as there is
	// one, or none after wait. ErrHistoryLost: read the table anew.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (rows []TableRow, version uint64, err error)
}

// RowConflictError says which checks of a transaction did not hold, with the
// rows as they are. Nothing was written.
type RowConflictError struct {
	Rows []TableRow
}

// Error implements error.
func (e *RowConflictError) Error() string { return "transaction conflict" }

// Errors of the platform's store.
var (
	// ErrStoreRefused is returned when the store answered that it did nothing.
	ErrStoreRefused = errors.New("the store refused the call")
	// ErrHistoryLost is returned when a feed asks for changes that the store no
	// longer keeps.
	ErrHistoryLost = errors.New("the store no longer has these changes")
)
