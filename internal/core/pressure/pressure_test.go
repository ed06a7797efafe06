package pressure_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/pressure"
)

func observeDelay(c *pressure.ShareController, delay time.Duration, n int) float64 {
	var share float64
	for range n {
		share = c.Observe(delay)
	}
	return share
}

func TestRouterThatKeepsUpRefusesNothing(t *testing.T) {
	var c pressure.ShareController
	if got := observeDelay(&c, 3*time.Millisecond, 100); got != 0 {
		t.Errorf("got refused share %v, want 0", got)
	}
	// A single long pause, such as a freeze of the process, must cause few refusals.
	if got := c.Observe(60 * time.Millisecond); got > 0.15 {
		t.Errorf("got refused share %v after one pause, want at most 0.15", got)
	}
}

func TestOverloadedRouterRefusesUntilItKeepsUp(t *testing.T) {
	var c pressure.ShareController
	if got := observeDelay(&c, 100*time.Millisecond, 30); got < 0.9 || got >= 1 {
		t.Errorf("got refused share %v during overload, want 0.9 or more and below 1", got)
	}
	if got := observeDelay(&c, time.Millisecond, 100); got != 0 {
		t.Errorf("got refused share %v long after the overload, want 0", got)
	}
}

func TestShareIsConstantForDelaysBetweenTheBounds(t *testing.T) {
	var c pressure.ShareController
	observeDelay(&c, 100*time.Millisecond, 5)
	settled := observeDelay(&c, 20*time.Millisecond, 20)
	if got := observeDelay(&c, 20*time.Millisecond, 20); got != settled || got == 0 {
		t.Errorf("refused share changed from %v to %v, want it constant and above 0", settled, got)
	}
}
