package edge

import (
	"context"
	"strings"
	"time"

	"github.com/chestnutstream/chestnutstream"
	"github.com/chestnutstream/chestnutstream/lease"
	"github.com/chestnutstream/chestnutstream/quarantine"
)

// The evidence of verdicts is kept in rows of the leases table, which each instance
// reads as it starts. So it outlasts an end of all instances. For each trait one
// instance keeps its row in line with the verdict.
const (
	verdictRowInterval = 500 * time.Millisecond // between two checks of the rows
	verdictRowRetry    = 5 * time.Second        // after a failed write
	maxVerdictRows     = 64
)

// verdictRow is what is known of a row: how much evidence it holds.
type verdictRow struct {
	trait           quarantine.Trait
	crashes, probes int
}

func newVerdictRow(e quarantine.Evidence) verdictRow {
	return verdictRow{e.Trait, len(e.Crashes), e.Probes}
}

// applyVerdictRows merges the evidence in rows of the leases table.
func (n *Node) applyVerdictRows(rows []chestnutstream.TableRow, snapshot bool) {
	n.mu.Lock()
	if snapshot {
		clear(n.verdictRows)
	}
	now, merged := n.now(), false
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, quarantine.RowPrefix) {
			continue
		}
		if r.Removed {
			delete(n.verdictRows, r.Key)
			continue
		}
		e, err := quarantine.DecodeRow(now, r.Value)
		if err != nil {
			n.logForeignRow(lease.Table, r.Key, err)
			continue
		}
		n.verdictRows[r.Key] = newVerdictRow(e)
		n.quarantine.Merge(e)
		merged = true
	}
	var changes []quarantine.Change
	if merged {
		n.quarantine.Update(now)
		changes = n.applyVerdicts()
	}
	n.mu.Unlock()
	n.logVerdicts(changes)
}

// updateVerdictRows writes the rows that are not in line with the verdicts, of the
// traits for which this instance is the first in their order. Callers hold mu.
func (n *Node) updateVerdictRows(now time.Time) {
	if now.Before(n.verdictRowsAt) {
		return
	}
	n.verdictRowsAt = now.Add(verdictRowInterval)
	t := n.verdictTransaction()
	if len(t.Writes)+len(t.Deletes) > 0 {
		n.verdictRowsAt = now.Add(storeTimeout + verdictRowInterval) // no second write meanwhile
		go n.writeVerdictRows(t)
	}
}

// verdictTransaction returns the changes of rows that are due. Callers hold mu.
func (n *Node) verdictTransaction() chestnutstream.RowTransaction {
	var t chestnutstream.RowTransaction
	kept := map[string]bool{}
	for i, v := range n.quarantine.Verdicts() {
		key, e := quarantine.RowKey(v.Evidence.Trait), v.Evidence
		kept[key] = true
		if i >= maxVerdictRows || n.verdictRows[key] == newVerdictRow(e) || n.probeSlot(e.Trait) > 0 {
			continue
		}
		value, err := quarantine.EncodeRow(e)
		if err != nil {
			n.log.WithError(err).Warn("verdict not kept in the store")
			continue
		}
		t.Writes = append(t.Writes, chestnutstream.TableRow{Table: lease.Table, Key: key, Value: value})
	}
	for key, row := range n.verdictRows {
		if !kept[key] && n.probeSlot(row.trait) == 0 && len(t.Writes)+len(t.Deletes) < chestnutstream.MaxTransactionEntries {
			t.Deletes = append(t.Deletes, chestnutstream.TableRow{Table: lease.Table, Key: key})
		}
	}
	return t
}

func (n *Node) writeVerdictRows(t chestnutstream.RowTransaction) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	_, err := n.store.Apply(ctx, t)
	if err != nil {
		n.log.WithError(err).WithField("rows", len(t.Writes)+len(t.Deletes)).Warn("verdicts not kept in the store")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.verdictRowsAt = n.now().Add(verdictRowRetry)
		return
	}
	n.verdictRowsAt = n.now()
	for _, w := range t.Writes {
		if e, err := quarantine.DecodeRow(n.now(), w.Value); err == nil {
			n.verdictRows[w.Key] = newVerdictRow(e)
		}
	}
	for _, d := range t.Deletes {
		delete(n.verdictRows, d.Key)
	}
}
