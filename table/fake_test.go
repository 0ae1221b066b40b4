package table

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// fakeTable is a table service in memory. It can be down, and lose the answers
// of writes that took effect.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]chestnutstream.Row
	next uint64
	down bool
	lose func() bool // whether the next write's answer is lost; may be nil
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]chestnutstream.Row{}} }

func (f *fakeTable) Transact(_ context.Context, checks []chestnutstream.Check, writes []chestnutstream.Write) (map[string]uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, chestnutstream.ErrUnavailable
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
		f.next++
		f.rows[w.Key] = chestnutstream.Row{Key: w.Key, Value: w.Value, Version: f.next}
		versions[w.Key] = f.next
	}
	if f.lose != nil && f.lose() {
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

func (f *fakeTable) set(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func isConflict(err error) bool {
	var c *chestnutstream.ConflictError
	return errors.As(err, &c)
}
