package pressure_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/pressure"
)

func observe(g *pressure.RateController, late time.Duration, n int) float64 {
	var share float64
	for range n {
		share = g.Observe(late)
	}
	return share
}

func TestRouterThatKeepsUpRefusesNothing(t *testing.T) {
	var g pressure.RateController
	if got := observe(&g, 3*time.Millisecond, 100); got != 0 {
		t.Errorf("share %v", got)
	}
	// One long pause, as of a freeze, refuses little.
	if got := g.Observe(60 * time.Millisecond); got > 0.15 {
		t.Errorf("share %v after one pause", got)
	}
}

func TestRouterThatFallsBehindRefusesUntilItKeepsUp(t *testing.T) {
	var g pressure.RateController
	if got := observe(&g, 100*time.Millisecond, 30); got < 0.9 || got >= 1 {
		t.Errorf("share %v while it is far behind", got)
	}
	if got := observe(&g, time.Millisecond, 100); got != 0 {
		t.Errorf("share %v long after", got)
	}
}

func TestShareSettlesWhereTheDelayIsBetween(t *testing.T) {
	var g pressure.RateController
	observe(&g, 100*time.Millisecond, 5)
	held := observe(&g, 10*time.Millisecond, 20)
	if got := observe(&g, 10*time.Millisecond, 20); got != held {
		t.Errorf("share moved from %v to %v", held, got)
	}
}
