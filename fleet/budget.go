package fleet

import "time"

// Budget is this instance's part of the sends beyond the first that all
// instances together may make to a service. Each earns a share in proportion to
// its own requests; of the fixed part it takes so little that the sum holds
// while half as many instances again are not known yet.
type Budget struct {
	share  float64 // of its own requests
	extra  float64 // fixed, of all instances, in window
	window time.Duration
	mine   float64 // this instance's fixed part in window
	tokens float64
	at     time.Time
}

// Figures of the budget.
const (
	budgetShareUsed = 0.7  // of the share that is allowed: requests and repeats fall into different windows
	budgetExtraUsed = 0.48 // of the fixed part, over all instances
	budgetHoard     = 0.25 // of a window's fixed part may be saved up
	budgetEarned    = 5    // requests' shares that may be saved up
)

// NewBudget returns the budget of one of so many instances, from the share of
// requests and the fixed part in a window that all have together.
func NewBudget(share, extra float64, window time.Duration, instances int) *Budget {
	b := &Budget{share: share * budgetShareUsed, extra: extra * budgetExtraUsed, window: window}
	b.Among(instances)
	return b
}

// Among tells how many instances share the budget.
func (b *Budget) Among(instances int) { b.mine = b.extra / float64(max(instances, 1)) }

// Earn notes a request of this instance.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.share, b.most())
}

// Has reports whether one more send is allowed now.
func (b *Budget) Has(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Take reports whether one more send is allowed, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if !b.Has(now) {
		return false
	}
	b.tokens--
	return true
}

// most is how much may be saved up.
func (b *Budget) most() float64 { return max(b.mine*budgetHoard, 1) + budgetEarned*b.share }

func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at, b.tokens = now, b.most()
		return
	}
	if b.window > 0 {
		b.tokens = min(b.tokens+b.mine*float64(now.Sub(b.at))/float64(b.window), b.most())
	}
	b.at = now
}
