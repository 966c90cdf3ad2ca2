package entry

import "sync"

const (
	// retryShare is the number of first sends that pay for one retry.
	retryShare = 10
	// retryReserve is the number of retries that may be saved up. Three entries with full reserves then send at most 1.2
	// times for each of 200 calls; with a reserve of 10, 248 sends for 200 calls were measured.
	retryReserve = 5
)

// budget bounds the retries of idempotent calls to a share of the calls, so that retries cannot add much load when all
// backend servers fail.
type budget struct {
	mu    sync.Mutex
	parts int
}

func newBudget() *budget {
	return &budget{parts: retryShare * retryReserve}
}

// call pays for a share of a retry.
func (b *budget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = min(b.parts+1, retryShare*retryReserve)
}

// retry tells whether a retry may be sent, and takes it from the budget.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.parts < retryShare {
		return false
	}
	b.parts -= retryShare
	return true
}
