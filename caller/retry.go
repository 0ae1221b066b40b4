package caller

import "sync"

// retryBudget lets a share of the requests be tried again, so that retries
// cannot multiply the load on a fleet that fails. The zero value allows the
// first few.
type retryBudget struct {
	mu    sync.Mutex
	spent float64
}

// retryReserve is the number of retries that may be taken ahead of the share.
const retryReserve = 10

// earn adds the share of one first attempt.
func (b *retryBudget) earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

// take reports whether one more retry is allowed, and counts it.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}
