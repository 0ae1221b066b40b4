package fleet

import "time"

// Budget is this instance's part of the sends beyond the first that all
// instances together may make to a service. Each earns a share in proportion to
// its own requests; of the fixed part it takes so little that the sum holds
// when instances come and go unseen.
type Budget struct {
	Share  float64       // of its own requests
	Extra  float64       // this instance's fixed part in Window
	Window time.Duration // over which the fixed part is given
	tokens float64
	at     time.Time
}

// Figures of the budget.
const (
	budgetShareUsed = 0.7 // of the share that is allowed: requests and repeats fall into different windows
	budgetExtraUsed = 0.6 // of the fixed part, over all instances
	// budgetHoard is how many seconds' worth of the fixed part may be saved up.
	budgetHoard = 1.0
)

// NewBudget returns the budget of one of so many instances.
func NewBudget(share, extra float64, window time.Duration, instances int) *Budget {
	return &Budget{Share: share * budgetShareUsed, Extra: extra * budgetExtraUsed / float64(max(instances, 1)), Window: window}
}

// Earn notes a request of this instance.
func (b *Budget) Earn(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.Share, b.most())
}

// Take reports whether one more send is allowed, and counts it.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// most is how much may be saved: the fixed part of one window and a share of
// what was earned lately.
func (b *Budget) most() float64 { return max(b.Extra*budgetHoard, 1) + 10*b.Share }

func (b *Budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at, b.tokens = now, b.most()
		return
	}
	if b.Window > 0 {
		b.tokens = min(b.tokens+b.Extra*float64(now.Sub(b.at))/float64(b.Window), b.most())
	}
	b.at = now
}
