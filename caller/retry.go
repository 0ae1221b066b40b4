package caller

import "sync"

// retryBudget limits retries to a ratio of the requests, so that retries cannot
// multiply the load on a failing fleet. The zero value allows retryBurst retries.
type retryBudget struct {
	mu   sync.Mutex
	used float64
}

// retryBurst is the number of retries allowed in excess of the ratio.
const retryBurst = 10

// recordRequest credits the budget with ratio retries for one request.
func (b *retryBudget) recordRequest(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-ratio)
}

// allowRetry reports whether another retry is allowed, and counts it if so.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+1 > retryBurst {
		return false
	}
	b.used++
	return true
}
