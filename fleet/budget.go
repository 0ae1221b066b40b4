package fleet

import "time"

// Budget is this instance's part of the retry budget of a service, which limits
// the retries of all instances together. Each instance earns retries in proportion
// to its own requests, and gets a part of the fixed budget. That part is small
// enough that the sum stays within the budget even if there are one and a half
// times as many instances as are known yet.
type Budget struct {
	ratio      float64 // retries per request of this instance
	fixed      float64 // retries of all instances in window, besides
	window     time.Duration
	ownFixed   float64 // this instance's part of fixed
	tokens     float64
	refilledAt time.Time
}

// Parameters of the retry budget.
const (
	budgetRatioFactor  = 0.7  // of the allowed ratio: requests and their retries fall into different windows
	budgetFixedFactor  = 0.48 // of the fixed budget, over all instances
	maxSavedFixedShare = 0.25 // of this instance's fixed part in a window, that may be saved up
	maxSavedRequests   = 5    // requests whose earned retries may be saved up
)

// NewBudget returns the budget of one of several instances. ratio is the number of
// retries per request, extra the fixed number of retries in a window, both for all
// instances together.
func NewBudget(ratio, extra float64, window time.Duration, instances int) *Budget {
	b := &Budget{ratio: ratio * budgetRatioFactor, fixed: extra * budgetFixedFactor, window: window}
	b.SetInstances(instances)
	return b
}

// SetInstances sets the number of instances that share the budget.
func (b *Budget) SetInstances(instances int) { b.ownFixed = b.fixed / float64(max(instances, 1)) }

// RecordRequest records a request of this instance.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.ratio, b.capacity())
}

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// capacity returns the number of retries that may be saved up.
func (b *Budget) capacity() float64 {
	return max(b.ownFixed*maxSavedFixedShare, 1) + maxSavedRequests*b.ratio
}

func (b *Budget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, b.capacity()
		return
	}
	if b.window > 0 {
		b.tokens = min(b.tokens+b.ownFixed*float64(now.Sub(b.refilledAt))/float64(b.window), b.capacity())
	}
	b.refilledAt = now
}
