package soak

import "time"

// storeReachedSince returns the time since which an instance has been able to read the store
// without a fault; now if a fault is in effect.
func (r *run) storeReachedSince(inst *instance) time.Time {
	now := time.Now()
	times := []time.Time{inst.storeLink.faultFreeSince(now), r.faultyStore.faultFreeSince(now), inst.runningSince(now), r.watchesSince(now), r.restoredSince(now)}
	latest := times[0]
	for _, t := range times[1:] {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// allReachedStoreSince returns the time since which all instances have been able to read the
// store without a fault; now if a fault is in effect.
func (r *run) allReachedStoreSince() time.Time {
	var latest time.Time
	for _, inst := range r.instances {
		if t := r.storeReachedSince(inst); t.After(latest) {
			latest = t
		}
	}
	return latest
}

// faultFreeSince returns the time of the latest change of the faults; now while one is in
// force.
func (p *proxy) faultFreeSince(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay > 0 || p.dropAll || p.dropResponses {
		return now
	}
	return p.changedAt
}

// faultFreeSince returns the time of the latest change of the faults; now while one is in
// force.
func (f *faultyStore) faultFreeSince(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delay > 0 || f.lossRate > 0 || f.lateWriteRate > 0 || f.unavailable {
		return now
	}
	return f.changedAt
}

// runningSince returns the time of the latest start or signal of an instance's process; now
// while it is paused.
func (inst *instance) runningSince(now time.Time) time.Time {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.paused {
		return now
	}
	return inst.changedAt
}

// watchesSince returns the time since which the store's watches have received updates; now
// while they receive none.
func (r *run) watchesSince(now time.Time) time.Time {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	if r.suppressedWatches > 0 {
		return now
	}
	return r.watchesChangedAt
}

// restoredSince returns the time when the store had last returned from a copy with all its
// rows; now while rows are missing.
func (r *run) restoredSince(now time.Time) time.Time {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	if r.restoring > 0 {
		return now
	}
	return r.restoredAt
}

// beginRestore records that rows of the store may be missing until endRestore is called.
func (r *run) beginRestore() {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.restoring++
}

// endRestore records that the rows of the store are complete again.
func (r *run) endRestore() {
	r.resultsMu.Lock()
	r.restoring--
	r.restoredAt = time.Now()
	r.resultsMu.Unlock()
	if r.workspaces != nil {
		// An instance that started meanwhile may have read any earlier limit.
		r.workspaces.reopenLimits(time.Now())
	}
}
