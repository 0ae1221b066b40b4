package table

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// fakeTable is an in-memory table service. It can be down, and it can lose the
// responses of writes that took effect.
type fakeTable struct {
	mu           sync.Mutex
	rows         map[string]chestnutstream.Row
	nextVersion  uint64
	down         bool
	loseResponse func() bool // whether the response of this write is lost; may be nil
}

var errTooManyEntries = errors.New("too many entries")

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]chestnutstream.Row{}} }

func (f *fakeTable) Transact(_ context.Context, checks []chestnutstream.Check, writes []chestnutstream.Write) (map[string]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, chestnutstream.ErrUnavailable
	}
	if len(checks)+len(writes) > chestnutstream.MaxTransactionEntries {
		return nil, errTooManyEntries
	}
	var conflict chestnutstream.ConflictError
	for _, c := range checks {
		if f.rows[c.Key].Version != c.Version {
			conflict.Keys = append(conflict.Keys, c.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return nil, &conflict
	}
	versions := map[string]uint64{}
	for _, w := range writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.nextVersion++
		f.rows[w.Key] = chestnutstream.Row{Key: w.Key, Value: w.Value, Version: f.nextVersion}
		versions[w.Key] = f.nextVersion
	}
	if f.loseResponse != nil && f.loseResponse() {
		return nil, chestnutstream.ErrUnavailable
	}
	return versions, nil
}

func (f *fakeTable) Get(_ context.Context, key string) (chestnutstream.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return chestnutstream.Row{}, chestnutstream.ErrUnavailable
	}
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, prefix string) ([]chestnutstream.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, chestnutstream.ErrUnavailable
	}
	var out []chestnutstream.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	return out, nil
}

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func isConflict(err error) bool {
	var c *chestnutstream.ConflictError
	return errors.As(err, &c)
}
