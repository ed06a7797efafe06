// Package retry bounds retries by a share of the first tries, so that a fault
// that many requests meet does not multiply the load. It has no clock.
package retry

import "sync"

// Budget holds the retries that first tries have earned. It is safe for
// concurrent use.
type Budget struct {
	mu    sync.Mutex
	share float64
	burst float64
	held  float64
}

// New returns a budget that earns share retries with each first try and holds
// at most burst of them. It starts full, so that a quiet router may retry.
func New(share float64, burst int) *Budget {
	b := &Budget{share: max(share, 0), burst: float64(max(burst, 0))}
	b.held = b.burst
	return b
}

// SetBurst changes how many retries are held at most.
func (b *Budget) SetBurst(burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = float64(max(burst, 0))
	b.held = min(b.held, b.burst)
}

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = min(b.held+b.share, b.burst)
}

// Take spends one retry; false where none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held < 1 {
		return false
	}
	b.held--
	return true
}
