package table

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// fakeTable is an in-memory table service. It can be down, it can lose the responses of
// writes that took effect, and it can return from a copy.
type fakeTable struct {
	mu           sync.Mutex
	rows         map[string]chestnutstream.Row
	nextVersion  uint64 // without the era
	era          uint64
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
		if f.rows[c.Key].Version != c.Version && c.Version != 0 && chestnutstream.VersionEra(c.Version) != f.era {
			return nil, errors.Wrap(chestnutstream.ErrUnavailable, chestnutstream.ErrStoreRestored.Error())
		}
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
		f.rows[w.Key] = chestnutstream.Row{Key: w.Key, Value: w.Value, Version: chestnutstream.RowVersion(f.era, f.nextVersion)}
		versions[w.Key] = f.rows[w.Key].Version
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

// Era implements EraTable for tests without restores.
func (f *fakeTable) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *fakeTable) Clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// tableCopy is a copy that a fakeTable can return from.
type tableCopy struct {
	rows        map[string]chestnutstream.Row
	nextVersion uint64
}

func (f *fakeTable) copy() tableCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return tableCopy{maps.Clone(f.rows), f.nextVersion}
}

// restore returns from a copy: the versions go back, under the next era.
func (f *fakeTable) restore(c tableCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restoreLocked(c)
}

func (f *fakeTable) restoreLocked(c tableCopy) {
	f.era++
	f.nextVersion, f.rows = c.nextVersion, map[string]chestnutstream.Row{}
	for key, row := range c.rows {
		row.Version = chestnutstream.RowVersion(f.era, chestnutstream.VersionCounter(row.Version))
		f.rows[key] = row
	}
}

// tableClient is the client of one instance. It learns of an era with a response.
type tableClient struct {
	*fakeTable
	mu        sync.Mutex
	cutOff    bool
	newest    uint64
	onRestore func(era uint64)
}

func (c *tableClient) setCutOff(cutOff bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff = cutOff
}

// respond learns the era of a response, and reports whether there is one.
func (c *tableClient) respond() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff {
		return false
	}
	if era := c.fakeTable.Era(); era > c.newest {
		c.newest = era
		if c.onRestore != nil {
			c.onRestore(era)
		}
	}
	return true
}

func (c *tableClient) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

func (c *tableClient) Transact(ctx context.Context, checks []chestnutstream.Check, writes []chestnutstream.Write) (map[string]uint64, error) {
	if !c.respond() {
		return nil, chestnutstream.ErrUnavailable
	}
	versions, err := c.fakeTable.Transact(ctx, checks, writes)
	c.respond()
	return versions, err
}

func (c *tableClient) Get(ctx context.Context, key string) (chestnutstream.Row, error) {
	if !c.respond() {
		return chestnutstream.Row{}, chestnutstream.ErrUnavailable
	}
	return c.fakeTable.Get(ctx, key)
}

func (c *tableClient) Scan(ctx context.Context, prefix string) ([]chestnutstream.Row, error) {
	if !c.respond() {
		return nil, chestnutstream.ErrUnavailable
	}
	return c.fakeTable.Scan(ctx, prefix)
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
