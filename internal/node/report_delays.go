package node

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/transit"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// lateReport is the delay from which it is logged that reports are late: several intervals of
	// reports. lateLogInterval is the least time between two such lines.
	lateReport      = time.Second
	lateLogInterval = time.Second
)

// reportDelays estimates how long the reports of each peer took to arrive.
type reportDelays struct {
	logger    *logrus.Entry
	histogram tally.Histogram

	mu       sync.Mutex
	delays   map[ids.Instance]*transit.Delay
	loggedAt time.Time
}

func newReportDelays(n *Node) reportDelays {
	return reportDelays{
		logger: n.logger, histogram: n.scope.Histogram("report_delay_seconds", stateDelayBuckets),
		delays: make(map[ids.Instance]*transit.Delay),
	}
}

// observe returns how much longer a report took to arrive than the fastest of its sender, 0 if
// the report does not have the sender's clock.
func (d *reportDelays) observe(now time.Time, from ids.Instance, clockMS uint32) time.Duration {
	if clockMS == 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delays[from] == nil {
		d.delays[from] = new(transit.Delay)
	}
	delay := d.delays[from].Observe(now, time.Duration(clockMS)*time.Millisecond)
	d.histogram.RecordDuration(delay)
	if delay >= lateReport && now.Sub(d.loggedAt) >= lateLogInterval {
		d.loggedAt = now
		d.logger.WithFields(logrus.Fields{"peer": from, "delay_ms": delay.Milliseconds()}).Warn("reports of a peer are late")
	}
	return delay
}

// recordLinkEnd forgets a peer.
func (d *reportDelays) recordLinkEnd(name ids.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.delays, name)
}
