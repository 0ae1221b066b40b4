package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
)

// Times of reads that do not wait for changes.
const (
	// hedgeDelay is after how long such a read is sent once more: its connection may be dead,
	// and until its timeout the table would be unknown.
	hedgeDelay = 250 * time.Millisecond
	// slowReadFactor is how much longer than the latest one a read may take until then, so
	// that a slow store gets no more calls.
	slowReadFactor = 3
)

// changesRead is the result of a read of a table's changes.
type changesRead struct {
	rows    []chestnutstream.TableRow
	version uint64
	err     error
	took    time.Duration
}

// readChanges reads the changes of a table after a version. A read that does not wait for
// changes and gets no response is sent once more, on another connection, unless the one
// before it failed.
func (n *Node) readChanges(ctx context.Context, table string, after uint64, wait time.Duration) ([]chestnutstream.TableRow, uint64, error) {
	delay, ok := n.hedgeDelay(table)
	if wait > 0 || !ok {
		return n.store.Watch(ctx, table, after, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan changesRead, 2)
	read := func() {
		var r changesRead
		start := n.now()
		r.rows, r.version, r.err = n.store.Watch(ctx, table, after, wait)
		r.took = n.now().Sub(start)
		results <- r
	}
	go read()
	pending := 1
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	for {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				n.recordReadDuration(table, r.took)
			}
			if r.err == nil || pending == 0 || errors.Is(r.err, chestnutstream.ErrHistoryLost) {
				return r.rows, r.version, r.err
			}
		case <-hedge.C:
			n.metrics.GetOrCreateCounter(`chestnutstream_store_reads_repeated_total{table="` + table + `"}`).Inc()
			pending++
			go read()
		}
	}
}

// hedgeDelay returns after how long a read of a table is sent once more. ok is false if the
// latest one failed.
func (n *Node) hedgeDelay(table string) (delay time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.view(table)
	return max(hedgeDelay, slowReadFactor*v.readTook), !v.failedAt.After(v.readAt)
}

// recordReadDuration records how long a read of a table took that did not wait for changes.
func (n *Node) recordReadDuration(table string, took time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view(table).readTook = took
}
