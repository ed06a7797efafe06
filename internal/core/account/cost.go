package account

import (
	"math"

	"github.com/umberhill/umberhill/internal/api"
)

// classCount is the number of request classes.
const classCount = 3

// DefaultCost is the estimated cost of a request, in service units, before any
// request has finished.
const DefaultCost = 64

// priorWeight is the weight of the prior, in observed requests.
const priorWeight = 2

// Windows of the running means, in requests: accountMeanWindow for an account and
// class, targetsMeanWindow for a set of targets.
const (
	accountMeanWindow = 32
	targetsMeanWindow = 512
)

// mean is a running mean: arithmetic until the window is full, then exponential.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(v float64) { m.addOver(v, accountMeanWindow) }

func (m *mean) addOver(v float64, window int) {
	m.n = min(m.n+1, window)
	m.value += (v - m.value) / float64(m.n)
}

// Costs are the running means of the requests at a set of targets. They are the
// prior for the estimates of accounts.
type Costs struct {
	units   mean
	seconds mean
	// unitSeconds is the mean of units times seconds, because long requests make
	// up a greater share of the requests in flight than of those that finish.
	unitSeconds mean
}

// Add records the service units and the duration in seconds of a finished
// request.
func (c *Costs) Add(units, seconds float64) {
	c.units.addOver(units, targetsMeanWindow)
	c.seconds.addOver(seconds, targetsMeanWindow)
	c.unitSeconds.addOver(units*seconds, targetsMeanWindow)
}

// MeanInFlightUnits returns the mean units of the requests in flight: the mean
// weighted by duration.
func (c *Costs) MeanInFlightUnits() float64 {
	if c.seconds.value <= 0 {
		return c.MeanUnits()
	}
	return c.unitSeconds.value / c.seconds.value
}

// MeanUnits returns the mean units of a finished request, DefaultCost if there is
// none.
func (c *Costs) MeanUnits() float64 {
	if c.units.n == 0 {
		return DefaultCost
	}
	return c.units.value
}

// MeanSeconds returns the mean duration of a request at a target in seconds, zero
// if no request has finished.
func (c *Costs) MeanSeconds() float64 { return c.seconds.value }

func classIndex(c api.Class) int {
	switch c {
	case api.ClassDeferrable:
		return 1
	case api.ClassOnceOnly:
		return 2
	default:
		return 0
	}
}

// Estimate returns the expected units of a request: the running mean of the
// account and class, with the mean of the targets as a weak prior. A hint greater
// than zero moves the prior to the geometric mean of both, because an estimate
// that is too low for long requests shows only after they have occupied too many
// slots for a long time.
func (a *Account) Estimate(c api.Class, hint float64, all *Costs) float64 {
	prior := all.MeanUnits()
	if hint > 0 {
		prior = math.Sqrt(hint * prior)
	}
	m := a.costs[classIndex(c)]
	n := float64(m.n)
	return (prior*priorWeight + m.value*n) / (priorWeight + n)
}

// Observe records the units of a finished request.
func (a *Account) Observe(c api.Class, units float64) {
	a.costs[classIndex(c)].add(units)
}
