package speed

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/targetlimit"
)

// reportedStep is the change of the present slowdown, as a logarithm, from which a hub reports
// a target's sums without waiting for reportInterval: a tenth. Noise makes no such changes.
const reportedStep = 0.1

// Report is what has been observed of one run of a target.
type Report struct {
	Run targetlimit.Run
	Sums
}

// Collector sums up the observations of many routers at a hub. Its size depends on the
// number of targets alone, not on that of the routers.
type Collector struct {
	runs map[targetlimit.Run]*collected
	gaps map[string]*collectedGap
}

// collected is what a hub knows of the speed of one run of a target.
type collected struct {
	// routers are the observations of the routers that report to this hub; others are the
	// sums of other hubs by their domain.
	routers datedSums
	others  map[string]datedSums

	reported   float64
	reportedAt time.Time
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{runs: make(map[targetlimit.Run]*collected), gaps: make(map[string]*collectedGap)}
}

func (c *Collector) run(run targetlimit.Run) *collected {
	if c.runs[run] == nil {
		c.runs[run] = &collected{others: make(map[string]datedSums)}
	}
	return c.runs[run]
}

// Add adds what a router has observed since its last report.
func (c *Collector) Add(now time.Time, r Report) { c.run(r.Run).routers.add(now, r.Sums) }

// SetDomain replaces the sums of another failure domain.
func (c *Collector) SetDomain(now time.Time, domain string, r Report) {
	c.run(r.Run).others[domain] = datedSums{at: now, Sums: r.Sums}
}

// TakeDue returns the sums that are due to be reported, and drops those that hold next to
// nothing.
func (c *Collector) TakeDue(now time.Time) []Report {
	var due []Report
	for run, r := range c.runs {
		since := now.Sub(r.reportedAt)
		if since < changeInterval {
			continue
		}
		total := r.routers.asOf(now)
		for domain, d := range r.others {
			s := d.asOf(now)
			if s.IsEmpty() {
				delete(r.others, domain)
			}
			total = total.Add(s)
		}
		present := significant(total.Present.Value()-total.Lasting.Value(), total.Present.Weight, minPresent)
		switch {
		case total.IsEmpty():
			delete(c.runs, run)
		case since >= reportInterval, math.Abs(present-r.reported) >= reportedStep:
			r.reported, r.reportedAt = present, now
			due = append(due, Report{Run: run, Sums: total})
		}
	}
	return due
}

// collectedGap is what a hub knows of the gaps at the targets of one service.
type collectedGap struct {
	routers    datedMean
	others     map[string]datedMean
	reported   float64
	reportedAt time.Time
}

func (c *Collector) gap(service string) *collectedGap {
	if c.gaps[service] == nil {
		c.gaps[service] = &collectedGap{others: make(map[string]datedMean)}
	}
	return c.gaps[service]
}

// AddGap adds what a router has observed of a service since its last report.
func (c *Collector) AddGap(now time.Time, service string, m Mean) {
	g := c.gap(service)
	g.routers = datedMean{at: now, Mean: g.routers.asOf(now).Plus(m)}
}

// SetDomainGap replaces the sum of a service in another failure domain.
func (c *Collector) SetDomainGap(now time.Time, domain, service string, m Mean) {
	c.gap(service).others[domain] = datedMean{at: now, Mean: m}
}

// TakeDueGaps is like TakeDue for the gaps of services.
func (c *Collector) TakeDueGaps(now time.Time) map[string]Mean {
	due := make(map[string]Mean)
	for service, g := range c.gaps {
		total := g.routers.asOf(now)
		for domain, d := range g.others {
			m := d.asOf(now)
			if m.Weight < minWeight {
				delete(g.others, domain)
			}
			total = total.Plus(m)
		}
		switch {
		case total.Weight < minWeight:
			delete(c.gaps, service)
		case isGapDue(now.Sub(g.reportedAt), total.Weight-g.reported, g.reported):
			g.reported, g.reportedAt = total.Weight, now
			due[service] = total
		}
	}
	return due
}
