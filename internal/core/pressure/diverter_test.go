package pressure_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/pressure"
)

// observeShare observes a refused share for a time and returns how long new connections
// were diverted.
func observeShare(d *pressure.Diverter, now *time.Time, duration time.Duration, refused float64) time.Duration {
	const tick = 50 * time.Millisecond
	diverted := time.Duration(0)
	for range duration / tick {
		*now = now.Add(tick)
		if d.Observe(*now, refused) {
			diverted += tick
		}
	}
	return diverted
}

func TestConnectionsAreDivertedWhileMuchIsRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		refused  float64
		duration time.Duration
		from, to time.Duration
	}{
		{"flood", 0.9, 30 * time.Second, 28 * time.Second, 29 * time.Second},
		{"little is refused", 0.3, 30 * time.Second, 0, 0},
		{"burst", 0.9, 800 * time.Millisecond, 0, 0},
		{"all that can be refused", 0.95, 800 * time.Millisecond, 550 * time.Millisecond, 700 * time.Millisecond},
		{"short burst", 0.95, 200 * time.Millisecond, 0, 0},
	} {
		var d pressure.Diverter
		now := time.Unix(1000, 0)
		if diverted := observeShare(&d, &now, c.duration, c.refused); diverted < c.from || diverted > c.to {
			t.Errorf("%s: new connections were diverted for %v, want %v to %v", c.name, diverted, c.from, c.to)
		}
	}
}

func TestDiversionEndsAfterTheOverload(t *testing.T) {
	var d pressure.Diverter
	now := time.Unix(1000, 0)
	observeShare(&d, &now, 2*time.Second, 0.9)
	if diverted := observeShare(&d, &now, 20*time.Second, 0); diverted > 6*time.Second {
		t.Errorf("new connections were diverted for %v after the flood, want at most 6s", diverted)
	}
	if d.Observe(now, 0) {
		t.Error("new connections are still diverted 20 s after the flood")
	}
}

// Guards against a router that stays in rotation while it refuses much of its load, since the share
// that it refuses falls now and then (FAIR).
func TestConnectionsAreDivertedWhileTheRefusedShareOscillates(t *testing.T) {
	var d pressure.Diverter
	now := time.Unix(1000, 0)
	diverted := time.Duration(0)
	for range 5 {
		diverted += observeShare(&d, &now, 600*time.Millisecond, 0.8)
		diverted += observeShare(&d, &now, 200*time.Millisecond, 0.3)
	}
	if diverted < 2*time.Second {
		t.Errorf("new connections were diverted for %v of 4s, want at least half", diverted)
	}
}
