package node

import (
	"context"
	"runtime/debug"
	"time"
)

const (
	// calmGCPercent and busyGCPercent are how much the heap grows between two collections,
	// in percent of the live heap. A calm router saves memory; one whose processor cannot
	// keep up saves the time of collections, since its live heap is small compared to the
	// memory limit.
	calmGCPercent = 60
	busyGCPercent = 200
	// collectorInterval is the interval at which the pace is adapted, and calmAfter how long
	// a router must have kept up before it collects more often again.
	collectorInterval = time.Second
	calmAfter         = 5 * time.Second
)

// collector decides how often the runtime collects garbage.
type collector struct {
	// isAdaptive is set if the process has a memory limit.
	isAdaptive bool
	percent    int
	// busyAt is when the router was last overloaded.
	busyAt time.Time
}

// newCollector returns a collector that has set its first pace.
func newCollector(isAdaptive bool) collector {
	c := collector{isAdaptive: isAdaptive, percent: busyGCPercent}
	if isAdaptive {
		debug.SetGCPercent(c.percent)
	}
	return c
}

// observe records whether the router is overloaded, and returns the percentage to use from
// now on and whether it changed.
func (c *collector) observe(now time.Time, isOverloaded bool) (percent int, changed bool) {
	if isOverloaded {
		c.busyAt = now
	}
	percent = calmGCPercent
	if now.Sub(c.busyAt) < calmAfter {
		percent = busyGCPercent
	}
	changed = percent != c.percent
	c.percent = percent
	return percent, changed
}

// paceCollector adapts the pace of collections to the load until ctx is done.
func (n *Node) paceCollector(ctx context.Context) {
	if !n.collector.isAdaptive {
		return
	}
	ticker := time.NewTicker(collectorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if percent, changed := n.collector.observe(time.Now(), n.loadShedder.RefuseShare() > 0); changed {
			debug.SetGCPercent(percent)
			n.scope.Gauge("gc_percent").Update(float64(percent))
			n.logger.WithField("gc_percent", percent).Info("pace of garbage collection changed")
		}
	}
}
