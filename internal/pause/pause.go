// Package pause waits between tries.
package pause

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Spec describes growing pauses.
type Spec struct {
	// First and Most bound a pause; each is Factor times the one before.
	First, Most time.Duration
	Factor      float64
	// Jitter is the share by which a pause varies.
	Jitter float64
}

// Backoff returns pauses that grow until they are reset.
func (s Spec) Backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.First
	b.MaxInterval = s.Most
	b.Multiplier = s.Factor
	b.RandomizationFactor = s.Jitter
	return b
}
