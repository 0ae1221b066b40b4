package edge

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/chestnutstream/chestnutstream"
)

// Reasons of refusals in metrics.
const (
	refusedOverLimit = "over-limit" // at once: the allocator had just given no larger share
	refusedAfterWait = "after-wait" // no room within the time that the request could wait
)

// quotaMetrics counts by workspace. Workspaces beyond maxQuotaMetricLabels are counted
// together.
type quotaMetrics struct {
	set *metrics.Set

	mu     sync.Mutex
	labels map[string]bool // every workspace that has had its own metrics, so that later configurations add none beyond the limit
}

// otherWorkspaces is the label of the workspaces that have no metrics of their own. It is no
// valid name of a workspace that is the only one with it.
const otherWorkspaces = "(others)"

func (m *quotaMetrics) setWorkspaces(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labels == nil {
		m.labels = map[string]bool{}
	}
	for _, name := range names {
		if len(m.labels) < maxQuotaMetricLabels {
			m.labels[name] = true
		}
	}
}

func (m *quotaMetrics) label(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labels[name] {
		name = otherWorkspaces
	}
	return fmt.Sprintf("%q", name)
}

func (m *quotaMetrics) used(name string, cost float64) {
	m.set.GetOrCreateFloatCounter(`chestnutstream_quota_used_total{workspace=` + m.label(name) + `}`).Add(cost)
}

func (m *quotaMetrics) refunded(name string, cost float64) {
	m.set.GetOrCreateFloatCounter(`chestnutstream_quota_refunded_total{workspace=` + m.label(name) + `}`).Add(cost)
}

func (m *quotaMetrics) refused(name, reason string) {
	m.set.GetOrCreateCounter(`chestnutstream_quota_refused_total{workspace=` + m.label(name) + `,reason="` + reason + `"}`).Inc()
}

type wireWorkspace struct {
	Name      string             `json:"name"`
	Unit      string             `json:"unit"`
	PerSecond float64            `json:"per-s"`
	Burst     float64            `json:"burst"`
	Share     float64            `json:"share"` // of the limit, held here
	Used      float64            `json:"used"`  // here, in the last window
	Refused   uint64             `json:"refused"`
	Allocator string             `json:"allocator"`
	Standby   string             `json:"standby,omitempty"`
	Shares    map[string]float64 `json:"shares,omitempty"` // by instance, on the allocator
}

// dump returns the workspaces with a limit.
func (q *quotas) dump() []wireWorkspace {
	q.mu.Lock()
	defer q.mu.Unlock()
	boot := q.node.boot()
	var out []wireWorkspace
	for _, name := range q.buckets.Names() {
		quota, u := q.table.Workspaces[name].Quota, q.buckets.Usage(boot, name)
		w := wireWorkspace{Name: name, Unit: string(quota.Unit), PerSecond: quota.PerSecond, Burst: quota.Burst, Share: u.Share, Used: u.Used, Refused: u.Refused}
		w.Allocator, w.Standby = q.state.Roles(name)
		w.Shares, _ = q.state.Allocator.Shares(name)
		out = append(out, w)
	}
	return out
}

// maxLoggedNames limits the names and digests in one log line.
const maxLoggedNames = 50

// logWorkspaces logs how a configuration changes the workspaces: one line, without keys.
func (n *Node) logWorkspaces(old, t *chestnutstream.RouteTable) {
	before := map[string]*chestnutstream.Workspace{}
	if old != nil && old.Workspaces != nil {
		before = old.Workspaces
	}
	var added, removed, changed, keysAdded, keysRemoved []string
	digests := func(ws map[string]*chestnutstream.Workspace) map[string]bool {
		out := map[string]bool{}
		for _, w := range ws {
			for _, d := range w.Keys {
				out[d.String()+" of "+w.Name] = true
			}
		}
		return out
	}
	for _, name := range slices.Sorted(maps.Keys(t.Workspaces)) {
		w, b := t.Workspaces[name], before[name]
		switch {
		case b == nil:
			added = append(added, name)
		case w.Quota != b.Quota || w.HasPriority != b.HasPriority || w.Priority != b.Priority:
			changed = append(changed, fmt.Sprintf("%s: %g %s/s, burst %g", name, w.Quota.PerSecond, w.Quota.Unit, w.Quota.Burst))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if t.Workspaces[name] == nil {
			removed = append(removed, name)
		}
	}
	keys, oldKeys := digests(t.Workspaces), digests(before)
	for _, d := range slices.Sorted(maps.Keys(keys)) {
		if !oldKeys[d] {
			keysAdded = append(keysAdded, d)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(oldKeys)) {
		if !keys[d] {
			keysRemoved = append(keysRemoved, d)
		}
	}
	if len(added)+len(removed)+len(changed)+len(keysAdded)+len(keysRemoved) == 0 {
		return
	}
	short := func(list []string) []string { return list[:min(len(list), maxLoggedNames)] }
	n.log.WithFields(log.Fields{
		"version": t.Version, "workspaces": len(t.Workspaces), "added": short(added), "removed": short(removed), "changed": short(changed),
		"keys-added": short(keysAdded), "keys-removed": short(keysRemoved), "changes": len(added) + len(removed) + len(changed) + len(keysAdded) + len(keysRemoved),
	}).Info("workspaces changed")
}
