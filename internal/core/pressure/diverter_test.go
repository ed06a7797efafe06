package pressure_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/pressure"
)

// play observes a refused share for a time and returns how long new connections were
// sent elsewhere.
func play(r *pressure.Diverter, now *time.Time, lasting time.Duration, refused float64) time.Duration {
	const tick = 50 * time.Millisecond
	away := time.Duration(0)
	for range lasting / tick {
		*now = now.Add(tick)
		if r.Observe(*now, refused) {
			away += tick
		}
	}
	return away
}

func TestReliefIsAskedForWhereMuchIsRefusedForLong(t *testing.T) {
	for _, c := range []struct {
		name     string
		refused  float64
		lasting  time.Duration
		from, to time.Duration
	}{
		{"a flood", 0.9, 30 * time.Second, 28 * time.Second, 29 * time.Second},
		{"little is refused", 0.3, 30 * time.Second, 0, 0},
		{"a burst", 0.9, 800 * time.Millisecond, 0, 0},
	} {
		var r pressure.Diverter
		now := time.Unix(1000, 0)
		if away := play(&r, &now, c.lasting, c.refused); away < c.from || away > c.to {
			t.Errorf("%s: new connections went elsewhere for %v, want %v to %v", c.name, away, c.from, c.to)
		}
	}
}

func TestReliefEnds(t *testing.T) {
	var r pressure.Diverter
	now := time.Unix(1000, 0)
	play(&r, &now, 2*time.Second, 0.9)
	if away := play(&r, &now, 20*time.Second, 0); away > 6*time.Second {
		t.Errorf("new connections went elsewhere for %v after the flood", away)
	}
	if r.Observe(now, 0) {
		t.Error("they still do")
	}
}
