// Package pause provides delays between retries: a sleep that ends with its context
// and exponential backoff with jitter.
package pause

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Sleep waits for d or until ctx is done, whichever comes first.
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

// Spec configures an exponential backoff.
type Spec struct {
	// Initial is the first delay and Max the largest, both before jitter.
	Initial, Max time.Duration
	// Multiplier is the ratio of a delay to the one before.
	Multiplier float64
	// Jitter is the share, from 0 to 1, by which a delay varies at random in either
	// direction.
	Jitter float64
}

// Backoff returns a backoff whose delays grow up to s.Max until Reset is called. It
// has no limit on the number of retries or the total time.
func (s Spec) Backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.Initial
	b.MaxInterval = s.Max
	b.Multiplier = s.Multiplier
	b.RandomizationFactor = s.Jitter
	return b
}
