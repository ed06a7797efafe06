package pressure_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/pressure"
)

func TestLatenessIsTheLongestDelaySinceATime(t *testing.T) {
	const interval = 50 * time.Millisecond
	var l pressure.Lateness
	begin := time.Unix(1000, 0)
	if got := l.Since(begin, begin.Add(-time.Hour)); got != 0 {
		t.Errorf("got %v without an observation, want 0", got)
	}
	now := begin
	for i := range 200 {
		now = now.Add(interval)
		delay := time.Millisecond
		if i == 190 {
			delay = 300 * time.Millisecond
		}
		l.Observe(now, delay, interval)
	}
	for _, c := range []struct {
		name       string
		now, since time.Time
		want       time.Duration
	}{
		{"with the delay", now, now.Add(-time.Second), 300 * time.Millisecond},
		{"after the delay", now, now.Add(-200 * time.Millisecond), time.Millisecond},
		{"observation overdue", now.Add(500 * time.Millisecond), now, 450 * time.Millisecond},
	} {
		if got := l.Since(c.now, c.since); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	l.Observe(now.Add(time.Second), 0, interval)
	if got := l.Since(now.Add(time.Second), now); got != 950*time.Millisecond {
		t.Errorf("got %v after an observation that came 950 ms late, want that", got)
	}
}
