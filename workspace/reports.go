package workspace

import (
	"time"
)

// dueAt returns when the next report for a bucket is due; ok is false if none is.
func (b *Buckets) dueAt(k *bucket) (at time.Duration, ok bool) {
	if !k.reported {
		return 0, true
	}
	if k.unanswered {
		return k.reportedAt + k.timeout, true
	}
	switch {
	case k.changed:
		return k.reportedAt + minReturnInterval, true
	case k.short:
		return k.reportedAt + k.urgentInterval, true
	}
	return k.reportedAt + reportInterval, k.isActive()
}

// isActive reports whether an allocator should know of the bucket.
func (k *bucket) isActive() bool {
	return k.share > 0 || k.longDemand >= minDemand*k.quota.PerSecond
}

// ReportDue reports whether a report for a workspace is due.
func (b *Buckets) ReportDue(boot time.Duration, name string) bool {
	k := b.buckets[name]
	if k == nil {
		return false
	}
	at, ok := b.dueAt(k)
	return ok && at <= boot
}

// NextReportAt returns when the next report is due; ok is false if none is without further
// requests.
func (b *Buckets) NextReportAt(boot time.Duration) (at time.Duration, ok bool) {
	for _, k := range b.buckets {
		b.advance(boot, k)
		if due, is := b.dueAt(k); is && (!ok || due < at) {
			at, ok = due, true
		}
	}
	return at, ok
}

// DueReports returns the reports that are due. Periodic reports that are due within
// reportInterval/4 come with them, so that they share frames.
func (b *Buckets) DueReports(boot time.Duration) []Report {
	first, ok := b.NextReportAt(boot)
	if !ok || first > boot {
		return nil
	}
	var out []Report
	for _, name := range b.Names() {
		k := b.buckets[name]
		due, is := b.dueAt(k)
		if !is || due > boot+reportInterval/4 || (due > boot && (k.unanswered || k.short || k.changed)) {
			continue
		}
		out = append(out, b.report(boot, name, k))
	}
	return out
}

func (b *Buckets) report(boot time.Duration, name string, k *bucket) Report {
	if k.unanswered && k.reported {
		k.timeout = min(2*k.timeout, maxResponseTimeout)
	}
	k.sequence++
	k.wasUrgent = k.short || k.changed
	r := Report{
		Workspace: name, Incarnation: b.cfg.Incarnation, Sequence: k.sequence, Share: k.share, Floor: min(b.cover(boot, k), k.share),
	}
	if k.longDemand >= minDemand*k.quota.PerSecond {
		r.Demand, r.LongDemand = k.currentDemand(boot)/k.quota.PerSecond, k.longDemand/k.quota.PerSecond
	}
	if k.need > 0 {
		r.Need = min(b.shareFor(boot, k, k.need-k.level, needTime), 1)
	}
	k.reportedAt, k.reported, k.unanswered, k.reportedDemand = boot, true, true, k.demand
	k.short, k.changed, k.need = false, false, 0
	return r
}

// cover returns the share that covers the debt.
func (b *Buckets) cover(boot time.Duration, k *bucket) float64 {
	return b.shareFor(boot, k, -k.level, 0)
}

// Apply applies a grant if it answers the latest report, and reports whether it did. A share
// that covers a debt is kept.
func (b *Buckets) Apply(boot time.Duration, g Grant) bool {
	k := b.buckets[g.Workspace]
	if k == nil || g.Incarnation != b.cfg.Incarnation || g.Sequence != k.sequence || k.sequence == 0 {
		return false
	}
	b.advance(boot, k)
	first := k.unanswered
	k.unanswered, k.timeout = false, responseTimeout
	k.respondedAt = k.reportedAt // the allocator counts from when it got the report
	old := k.share
	k.share = max(min(g.Share, maxHeld), 0)
	if k.share < old {
		k.share = max(k.share, min(b.cover(boot, k), old))
		k.level = min(k.level, b.effective(k)*k.quota.Burst)
	}
	switch {
	case k.share > old:
		k.urgentInterval, k.saturated = minUrgentInterval, false
		// A standby should know of it before it takes over.
		k.changed = k.changed || k.share-old >= largeRaise
	case k.share < old:
		// The allocator gives it to others once it knows. Less is reported with the next
		// periodic report.
		k.changed = old-k.share >= minChange
	case first && k.wasUrgent:
		k.urgentInterval = min(2*k.urgentInterval, reportInterval)
		k.saturated = k.urgentInterval >= 4*minUrgentInterval
	}
	return true
}

// AllocatorChanged makes a report for a workspace due, as another instance is its allocator
// or standby now.
func (b *Buckets) AllocatorChanged(name string) {
	if k := b.buckets[name]; k != nil {
		k.reported, k.unanswered, k.timeout = false, false, responseTimeout
		k.saturated, k.urgentInterval = false, minUrgentInterval
	}
}

// GiveUp gives up all shares and returns the reports of it.
func (b *Buckets) GiveUp(boot time.Duration) []Report {
	var out []Report
	for _, name := range b.Names() {
		k := b.buckets[name]
		b.advance(boot, k)
		k.share, k.level = 0, min(k.level, 0)
		r := b.report(boot, name, k)
		r.Demand, r.LongDemand, r.Need, r.Floor, r.Final = 0, 0, 0, 0, true
		out = append(out, r)
	}
	return out
}
