package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/spread"
)

const (
	// reportAgeIntervals is the age of a sum when it arrives, in intervals between sums: a
	// report waits at two hubs for up to an interval each, and in the router for half of one.
	reportAgeIntervals = 2.5
	// firstInterval is the interval of sums that is assumed at first, that of hubs.
	firstInterval = 80 * time.Millisecond
	// intervalWeight is the weight of one interval in their mean, which is over about a second.
	intervalWeight = 0.1
	// missedIntervals is the number of intervals without a sum after which the weights are
	// computed anew for the age that the last one has by then.
	missedIntervals = 3
	// minHealthyShare bounds what the failures of a target take from its weight, so that its
	// recovery is seen.
	minHealthyShare = 0.05
	// drawsPerTarget bounds the draws for a request, since a drawn target may not be usable.
	drawsPerTarget = 3
)

// draw chooses plain targets by the weights of package spread, while the load of the fleet
// comes from the sums of hubs. Their requests are shorter than the age of the sums.
type draw struct {
	targets []*target
	plan    spread.Plan
	// reportedAt is when the last sum arrived, plannedAt when the weights were computed.
	reportedAt, plannedAt time.Time
	// isOutdated is set if the targets or their loads have changed since plannedAt.
	isOutdated bool
	// interval is the mean interval between sums.
	interval time.Duration
}

// set replaces the targets.
func (d *draw) set(targets []*target) {
	d.targets, d.isOutdated = targets, true
	d.plan = spread.Plan{Targets: make([]spread.Target, len(targets))}
}

// recordReport records that a sum has arrived.
func (d *draw) recordReport(now time.Time) {
	if d.interval == 0 {
		d.interval = firstInterval
	}
	if since := now.Sub(d.reportedAt); !d.reportedAt.IsZero() && since < peerReportTTL {
		d.interval += time.Duration(intervalWeight * float64(since-d.interval))
	}
	d.reportedAt, d.isOutdated = now, true
}

// update computes the weights, unless they are those of the last sum.
func (d *draw) update(now time.Time, duration time.Duration) {
	elapsed := now.Sub(d.plannedAt)
	if !d.isOutdated && elapsed < missedIntervals*d.interval {
		return
	}
	for i, t := range d.targets {
		running, _, _ := t.fleetLoad(now)
		p := &d.plan.Targets[i]
		p.Load, p.Slots = float64(running), float64(max(1, t.Slots))
		p.Speed = max(minHealthyShare, 1-t.health.recentFailureRate(now)) / t.slowness(now)
	}
	age := time.Duration(reportAgeIntervals*float64(d.interval)) + now.Sub(d.reportedAt)
	d.plan.Update(age, elapsed, duration)
	d.plannedAt, d.isOutdated = now, false
}

// visit calls visit for the target that is drawn for a request, and reports whether there is a
// usable one. Targets in other failure domains are drawn like those of the router's own: with
// a preference for these, the targets of a domain with much demand would be overloaded.
func (d *draw) visit(sel *selection, visit func(*target)) bool {
	for range drawsPerTarget * len(d.targets) {
		i := d.plan.Pick(0, len(d.targets), sel.random.Float64())
		if i < 0 {
			return false
		}
		if t := d.targets[i]; t.isUsable(sel.now, sel.req) {
			visit(t)
			return true
		}
	}
	return false
}
