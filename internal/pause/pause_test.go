package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/pause"
)

// TestSleepReturnsWhenContextIsDone also covers negative delays, which must not
// block.
func TestSleepReturnsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	pause.Sleep(ctx, time.Minute)
	pause.Sleep(context.Background(), -time.Second)
	if took := time.Since(start); took > time.Second {
		t.Errorf("Sleep returned after %v, want at once", took)
	}
}

func TestBackoffGrowsUpToMax(t *testing.T) {
	b := pause.Spec{Initial: 100 * time.Millisecond, Max: 300 * time.Millisecond, Multiplier: 2}.Backoff()
	for i, want := range []time.Duration{100, 200, 300, 300} {
		if got := b.NextBackOff(); got != want*time.Millisecond {
			t.Errorf("delay %d is %v, want %v", i, got, want*time.Millisecond)
		}
	}
	b.Reset()
	if got := b.NextBackOff(); got != 100*time.Millisecond {
		t.Errorf("first delay after Reset is %v, want 100ms", got)
	}
}
