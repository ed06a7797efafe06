// Package retry bounds retries to a share of the first attempts, so that a fault
// that affects many requests does not multiply the load (a retry storm). The
// budget is a token bucket that first attempts fill; it has no clock.
//
// Invariant: the retries taken never exceed the burst plus the share of the first
// attempts.
package retry

import "sync"

// Budget holds the retries that first attempts have added. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	share     float64
	burst     float64
	available float64
}

// New returns a budget to which each first attempt adds share retries, up to a
// total of burst. It starts full, so that a router with little traffic can retry.
// Negative values count as zero.
func New(share float64, burst int) *Budget {
	b := &Budget{share: max(share, 0), burst: float64(max(burst, 0))}
	b.available = b.burst
	return b
}

// SetBurst sets the greatest number of retries that the budget holds.
func (b *Budget) SetBurst(burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = float64(max(burst, 0))
	b.available = min(b.available, b.burst)
}

// RecordFirstAttempt adds the share of a first attempt to the budget.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.share, b.burst)
}

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
