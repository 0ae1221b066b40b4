package edge

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/instance"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/software"
)

// softwareRowRetry is the time after a failed write of a row.
const softwareRowRetry = time.Second

// applySoftwareRows applies the rows with the software versions of services.
func (n *Node) applySoftwareRows(rows []chestnutstream.TableRow) {
	for _, r := range rows {
		if r.Removed || !strings.HasPrefix(r.Key, software.RowPrefix) {
			continue
		}
		row, err := software.DecodeRow(r)
		if err != nil {
			n.logForeignRow(lease.Table, r.Key, err)
			n.mu.Lock()
			n.versions.ApplyMalformed(strings.TrimPrefix(r.Key, software.RowPrefix), r.Version)
			n.mu.Unlock()
			continue
		}
		n.mu.Lock()
		n.versions.ApplyRow(row)
		n.sendEarlierOrigins()
		n.mu.Unlock()
	}
}

// recordLostSoftwareRows records which rows a snapshot of the leases table lacks.
func (n *Node) recordLostSoftwareRows(rows []chestnutstream.TableRow, version uint64) {
	keys := make(map[string]bool, len(rows))
	for _, r := range rows {
		keys[r.Key] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versions.LoseRows(version, keys)
}

// readSoftwareRows reads the rows with the software versions of services.
func (n *Node) readSoftwareRows() error {
	ctx, cancel := context.WithTimeout(n.ctx, originReadTimeout)
	defer cancel()
	rows, err := n.store.RowsWithPrefix(ctx, lease.Table, software.RowPrefix)
	if err != nil {
		return fmt.Errorf("read software versions: %w", err)
	}
	n.recordStoreResponse(lease.Table)
	n.applySoftwareRows(rows)
	return nil
}

// updateSoftwareRows writes the rows that are due. Callers hold mu.
func (n *Node) updateSoftwareRows(now time.Time, boot time.Duration) {
	if now.Before(n.softwareRowsAt) {
		return
	}
	rows := n.versions.Changes(boot, func(service string) int { return n.instanceSlot(software.RowKey(service)) })
	if len(rows) > 0 {
		n.softwareRowsAt = now.Add(storeTimeout * time.Duration(len(rows))) // no second write meanwhile
		go n.writeSoftwareRows(rows)
	}
}

func (n *Node) writeSoftwareRows(rows []software.Row) {
	pause := time.Duration(0)
	for _, r := range rows {
		if err := n.writeSoftwareRow(r); err != nil {
			n.log.WithError(err).WithField("service", r.Service).Warn("software versions not kept in the store")
			pause = softwareRowRetry
		}
	}
	n.mu.Lock()
	n.softwareRowsAt = n.now().Add(pause)
	n.mu.Unlock()
	n.wakeControl()
}

// writeSoftwareRow writes a row, and sends it to all instances.
func (n *Node) writeSoftwareRow(r software.Row) error {
	value, err := software.EncodeRow(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	key := software.RowKey(r.Service)
	row := chestnutstream.TableRow{Table: lease.Table, Key: key, Value: value}
	row.Version, err = n.store.Apply(ctx, chestnutstream.RowTransaction{
		Checks: []chestnutstream.RowCheck{{Table: lease.Table, Key: key, Version: r.Revision}}, Writes: []chestnutstream.TableRow{row},
	})
	var conflict *chestnutstream.RowConflictError
	if errors.As(err, &conflict) {
		n.applySoftwareRows(conflict.Rows) // another instance has written it
		return nil
	}
	if err != nil {
		return err
	}
	n.applySoftwareRows([]chestnutstream.TableRow{row})
	n.mesh.Broadcast(func(b *instance.Bundle) { b.SoftwareRows = append(b.SoftwareRows, row) })
	n.log.WithFields(log.Fields{"service": r.Service, "versions": strings.Join(r.Versions, ","), "row": row.Version}).Info("software versions registered")
	n.mu.Lock()
	_, several := n.versions.KnownRows()
	n.mu.Unlock()
	if len(r.Versions) == 1 && r.Revision > 0 && !several {
		return n.deleteOrigins()
	}
	return nil
}

// knownSoftwareRows returns the known rows, for an instance that cannot read the store.
// Callers hold mu.
func (n *Node) knownSoftwareRows() []chestnutstream.TableRow {
	var out []chestnutstream.TableRow
	for _, r := range n.versions.Rows() {
		value, err := software.EncodeRow(r)
		if err != nil {
			n.log.WithError(err).Warn("software versions not sent")
			continue
		}
		out = append(out, chestnutstream.TableRow{Key: software.RowKey(r.Service), Value: value, Version: r.Revision})
	}
	return out
}

// instanceSlot returns this instance's position in the order of the connected instances
// for a key. Callers hold mu.
func (n *Node) instanceSlot(key string) int {
	rank := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }
	own, slot := rank(n.id), 0
	for _, name := range n.permitView().Candidates {
		if name != n.id && rank(name) > own {
			slot++
		}
	}
	return slot
}
