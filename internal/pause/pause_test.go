package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/pause"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	pause.Sleep(ctx, time.Minute)
	pause.Sleep(context.Background(), -time.Second)
	if took := time.Since(began); took > time.Second {
		t.Errorf("slept for %v", took)
	}
}

func TestBackoffGrowsUpToItsBound(t *testing.T) {
	b := pause.Spec{First: 100 * time.Millisecond, Most: 300 * time.Millisecond, Factor: 2}.Backoff()
	for i, want := range []time.Duration{100, 200, 300, 300} {
		if got := b.NextBackOff(); got != want*time.Millisecond {
			t.Errorf("pause %d is %v, want %v", i, got, want*time.Millisecond)
		}
	}
	b.Reset()
	if got := b.NextBackOff(); got != 100*time.Millisecond {
		t.Errorf("after a reset %v", got)
	}
}
