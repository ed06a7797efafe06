package catchup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/catchup"
	"github.com/umberhill/umberhill/internal/core/freshness"
	"github.com/umberhill/umberhill/internal/ids"
)

// claim is a report on its way.
type claim struct {
	to, from int
	at       time.Time
	age      time.Duration
	read     freshness.Read
}

// Guards against state that stays fresh although nobody reads it: hubs take each other's claims, which
// arrive a little later than they were true, and pass them on.
func TestClaimsDoNotGrowYoungerWhileTheyArePassedOn(t *testing.T) {
	for _, c := range []struct {
		hubs    int
		latency time.Duration
	}{{2, time.Millisecond}, {10, time.Millisecond}, {10, 12 * time.Millisecond}, {26, 12 * time.Millisecond}, {10, 40 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d hubs, %v", c.hubs, c.latency), func(t *testing.T) {
			start := time.Unix(1000, 0)
			trackers := make([]*catchup.Tracker, c.hubs)
			for i := range trackers {
				trackers[i] = catchup.New(catchup.Settings{Self: ids.Instance(fmt.Sprint("hub-", i)), Bound: bound, Origin: uint64(i + 1)})
				trackers[i].RecordHeld(start, 1)
			}
			trackers[0].RecordComplete(start)
			var inTransit []claim
			for d := time.Duration(0); d < 4*time.Second; d += time.Millisecond {
				now := start.Add(d)
				pending := inTransit[:0]
				for _, m := range inTransit {
					if m.at.After(now) {
						pending = append(pending, m)
						continue
					}
					trackers[m.to].RecordReport(now, ids.Instance(fmt.Sprint("hub-", m.from)), catchup.Report{Revision: 1, CompleteAt: now.Add(-m.age), Read: m.read})
				}
				inTransit = pending
				for i, tracker := range trackers {
					phase := time.Duration(i) * reportInterval / time.Duration(c.hubs)
					if tracker.CompleteAt().IsZero() || (d-phase).Truncate(reportInterval) != d-phase {
						continue
					}
					age := now.Sub(tracker.CompleteAt()).Truncate(time.Millisecond)
					for to := range trackers {
						if to != i {
							inTransit = append(inTransit, claim{to: to, from: i, at: now.Add(c.latency), age: age, read: tracker.Complete().Read})
						}
					}
				}
			}
			for i, tracker := range trackers {
				if late := tracker.CompleteAt().Sub(start); late > 3*c.latency+5*time.Millisecond {
					t.Errorf("hub %d takes its state for complete as of %v after the only read, 4 s later", i, late)
					break
				}
			}
		})
	}
}
