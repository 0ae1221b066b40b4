package edge

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/software"
)

// While a service has several software versions, the origins of its streams are also
// kept in the store, for the case that all instances end. One instance of each zone, the
// writer, writes them, in a ring of rows; an instance that starts reads those of all.
const (
	originWriteInterval = 100 * time.Millisecond // streams that began since the last write are lost with all instances
	originWriteRetry    = 500 * time.Millisecond // after a failed write
	originRowsPerWriter = 200                    // so that a stream is kept for 20 s at least
	originLoadRetry     = 300 * time.Millisecond // between two reads, and checks whether they are needed
	maxRowsPerWrite     = 10                     // of 40 KB each, so that a transaction stays below 1 MB
	maxQueuedOrigins    = maxRowsPerWrite * software.MaxOriginsPerRow
)

// originStore is the state of the rows with origins.
type originStore struct {
	queue   map[software.StreamKey]string // to be written: software versions that began streams
	writing bool
	writeAt time.Time
	next    int  // row of the ring to be written next
	ready   bool // next is known: the rows have been read, or are not needed
}

// originWriter returns the instance that writes the origins of this zone. Callers hold
// mu.
func (n *Node) originWriter() string {
	rank := func(name string) uint64 { return xxhash.Sum64String("origins\x00" + name) }
	writer := n.id
	if n.draining.Load() != nil {
		writer = ""
	}
	for _, name := range n.mesh.Peers() {
		p := n.peers[name]
		if p != nil && p.member.Zone == n.cfg.Zone && !p.draining && (writer == "" || rank(name) > rank(writer)) {
			writer = name
		}
	}
	return writer
}

// queueOrigin queues an origin to be written. Callers hold mu.
func (n *Node) queueOrigin(o software.Origin) {
	s := &n.originStore
	if len(s.queue) == 0 {
		s.queue = map[software.StreamKey]string{}
		s.writeAt = n.now().Add(originWriteInterval)
		time.AfterFunc(originWriteInterval, n.wakeControl)
	}
	if len(s.queue) < maxQueuedOrigins {
		s.queue[o.Stream] = o.Software
	}
}

// queueKnownOrigins queues all known origins to be written, on the writer of the zone: the
// store may have lost them. Callers hold mu.
func (n *Node) queueKnownOrigins(boot time.Duration) {
	if n.mixedServices == 0 || n.originWriter() != n.id {
		return
	}
	for _, o := range n.origins.All(boot) {
		n.queueOrigin(o)
	}
}

// updateOriginRows writes the queued origins if that is due. Callers hold mu.
func (n *Node) updateOriginRows(now time.Time) {
	s := &n.originStore
	if !s.ready || len(s.queue) == 0 || s.writing || now.Before(s.writeAt) {
		return
	}
	var t chestnutstream.RowTransaction
	for _, origins := range software.SplitOrigins(s.queue) {
		value, err := software.EncodeOrigins(origins)
		if err != nil {
			n.log.WithError(err).Warn("origins of streams not kept in the store")
			continue
		}
		t.Writes = append(t.Writes, chestnutstream.TableRow{Table: software.OriginTable, Key: fmt.Sprintf("%s%02d", n.originRowPrefix(), s.next), Value: value})
		s.next = (s.next + 1) % originRowsPerWriter
	}
	queued := s.queue
	s.queue, s.writing = nil, true
	go n.writeOrigins(t, queued)
}

// originRowPrefix returns the prefix of the keys of this instance's rows, which the number
// of the row in the ring follows.
func (n *Node) originRowPrefix() string { return n.id + "/" }

// writeOrigins writes rows with queued origins. If that fails, those that no later record
// of their stream replaces are queued again.
func (n *Node) writeOrigins(t chestnutstream.RowTransaction, queued map[software.StreamKey]string) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	_, err := n.store.Apply(ctx, t)
	n.mu.Lock()
	n.originStore.writing = false
	if err != nil {
		later := n.originStore.queue
		n.originStore.queue = nil
		for stream, version := range queued {
			n.queueOrigin(software.Origin{Stream: stream, Software: version})
		}
		for stream, version := range later {
			n.queueOrigin(software.Origin{Stream: stream, Software: version})
		}
		n.originStore.writeAt = n.now().Add(originWriteRetry)
	}
	n.mu.Unlock()
	if err != nil {
		n.log.WithError(err).WithField("rows", len(t.Writes)).Warn("origins of streams not kept in the store")
	}
}

// loadOrigins reads the origins that were kept before this instance started, if there
// may be several versions of a service. Until then what this instance does not know of a
// stream may still be in the store.
func (n *Node) loadOrigins() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		known, several := n.versions.KnownRows()
		n.mu.Unlock()
		if known && !several {
			break
		}
		if known {
			err := n.readOrigins()
			if err == nil {
				break
			}
			n.log.WithError(err).Warn("origins of streams not read from the store")
		}
		n.sleep(originLoadRetry)
	}
	n.mu.Lock()
	n.originStore.ready = true
	n.mu.Unlock()
}

// readOrigins reads the origins that are kept in the store.
func (n *Node) readOrigins() error {
	ctx, cancel := context.WithTimeout(n.ctx, originReadTimeout)
	defer cancel()
	rows, _, err := n.store.Rows(ctx, software.OriginTable)
	if err != nil {
		return fmt.Errorf("read origins: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	boot, count, newest := n.boot(), 0, uint64(0)
	slices.SortFunc(rows, func(a, b chestnutstream.TableRow) int { return cmp.Compare(a.Version, b.Version) }) // the latest record of a stream counts
	for _, r := range rows {
		if i, ok := strings.CutPrefix(r.Key, n.originRowPrefix()); ok && !n.originStore.ready && r.Version > newest {
			// Other instances may not have read yet what this one wrote before it ended.
			if written, err := strconv.Atoi(i); err == nil {
				n.originStore.next, newest = (written+1)%originRowsPerWriter, r.Version
			}
		}
		origins, err := software.DecodeOrigins(r.Value)
		if err != nil {
			n.logForeignRow(software.OriginTable, r.Key, err)
			continue
		}
		for _, o := range origins {
			n.origins.Record(boot, o)
		}
		count += len(origins)
	}
	n.log.WithField("streams", count).Info("origins of streams read from the store")
	return nil
}

// deleteOrigins deletes the rows with origins, when each service has one version again.
func (n *Node) deleteOrigins() error {
	rows, _, err := n.store.Rows(n.ctx, software.OriginTable)
	if err != nil {
		return fmt.Errorf("read origins: %w", err)
	}
	for len(rows) > 0 {
		batch := rows[:min(chestnutstream.MaxTransactionEntries, len(rows))]
		rows = rows[len(batch):]
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		_, err := n.store.Apply(ctx, chestnutstream.RowTransaction{Deletes: batch})
		cancel()
		var conflict *chestnutstream.RowConflictError
		if err != nil && !errors.As(err, &conflict) {
			return fmt.Errorf("delete origins: %w", err)
		}
	}
	return nil
}
