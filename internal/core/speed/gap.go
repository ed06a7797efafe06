package speed

import (
	"math"
	"time"
)

const (
	// gapHalfLife is the time after which an observation counts half in the common gap.
	gapHalfLife = 5 * time.Second
	// gapGrowth is the part by which new observations must increase the known ones to be
	// reported without waiting for reportInterval. It lets a fleet that starts agree at once.
	gapGrowth = 0.2
	// learnedWeight is the number of observations from which single targets are compared
	// with the common gap. With its standard error of a tenth they differ by chance only.
	learnedWeight = 16
)

// Gap is what one router knows of the time between two events of a stream at the targets of
// a service, as it would be at a target of mean speed.
type Gap struct {
	// fleet are the logarithms in ms that all routers have observed; pending are those that
	// this router has not reported.
	fleet      datedMean
	pending    Mean
	reportedAt time.Time
}

// datedMean is a mean as of a time.
type datedMean struct {
	at time.Time
	Mean
}

func (d datedMean) asOf(now time.Time) Mean {
	if age := now.Sub(d.at); age > 0 {
		return d.scaled(math.Exp2(-float64(age) / float64(gapHalfLife)))
	}
	return d.Mean
}

// Observe adds an observation.
func (g *Gap) Observe(gap time.Duration) {
	g.pending = g.pending.Plus(Mean{Weight: 1, Sum: math.Log(milliseconds(gap))})
}

// AddObservations adds what another router has observed since its last report.
func (g *Gap) AddObservations(now time.Time, m Mean) {
	g.fleet = datedMean{at: now, Mean: g.fleet.asOf(now).Plus(m)}
}

// SetFleet replaces the observations of all routers, as summed up by a hub.
func (g *Gap) SetFleet(now time.Time, m Mean) { g.fleet = datedMean{at: now, Mean: m} }

// Expected returns the mean gap, 0 if too little is known of it.
func (g *Gap) Expected(now time.Time) time.Duration {
	m := g.fleet.asOf(now).Plus(g.pending)
	if m.Weight < learnedWeight {
		return 0
	}
	return time.Duration(math.Exp(m.Value()) * float64(time.Millisecond))
}

// TakeReport returns the observations that have not been reported, if they are due.
func (g *Gap) TakeReport(now time.Time) (Mean, bool) {
	if g.pending.Weight == 0 || !isGapDue(now.Sub(g.reportedAt), g.pending.Weight, g.fleet.asOf(now).Weight) {
		return Mean{}, false
	}
	m := g.pending
	g.AddObservations(now, m)
	g.pending, g.reportedAt = Mean{}, now
	return m, true
}

// isGapDue reports whether observations of a weight are reported to those that know of
// observations of the known weight, after a time since the last report.
func isGapDue(since time.Duration, weight, known float64) bool {
	return since >= reportInterval || since >= changeInterval && weight >= gapGrowth*known
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
