package stopplan

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Unix(1000, 0)

// Guards against a plan that refuses what the load balancer still sends, or that starts what
// the end of the process cuts.
func TestPlanLeavesTimeForResponses(t *testing.T) {
	const lead = 2200 * time.Millisecond
	for _, c := range []struct {
		name                 string
		limit, now, deadline time.Duration
		want                 bool
	}{
		{"begin of the stop, deadline beyond it", 7600 * time.Millisecond, 0, time.Minute, true},
		{"end of the lead, deadline beyond the stop", 7600 * time.Millisecond, lead, time.Minute, true},
		{"late, deadline beyond the stop", 7600 * time.Millisecond, 3 * time.Second, time.Minute, false},
		{"late, deadline between the end of requests and of connections", 7600 * time.Millisecond, 3 * time.Second, 7500 * time.Millisecond, false},
		{"late, deadline within the stop", 7600 * time.Millisecond, 7 * time.Second, 7400 * time.Millisecond, true},
		{"short stop, end of the lead", 3600 * time.Millisecond, lead, time.Minute, true},
		{"stop without time beyond the lead", lead, lead, time.Minute, true},
	} {
		p := New(begin, lead, c.limit)
		if got := p.MayStart(begin.Add(c.now), begin.Add(c.deadline)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a plan that starts an attempt later than it ends requests.
func TestPlanStartsNothingThatOutlastsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lead := rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "lead")
		limit := rapid.Int64Range(lead, int64(time.Minute)).Draw(t, "limit")
		now := rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "now")
		deadline := rapid.Int64Range(now, int64(3*time.Minute)).Draw(t, "deadline")
		p := New(begin, time.Duration(lead), time.Duration(limit))
		if p.End.Before(p.LastStart) && p.LastStart.After(begin.Add(time.Duration(limit))) {
			t.Fatalf("%+v: attempts start after connections are closed", p)
		}
		at := begin.Add(time.Duration(now))
		if p.MayStart(at, begin.Add(time.Duration(deadline))) && at.After(p.LastStart) && at.After(p.End) {
			t.Fatalf("%+v: an attempt starts after the end of requests", p)
		}
	})
}
