package account

import (
	"math"

	"github.com/umberhill/umberhill/internal/api"
)

// classes is the number of request classes.
const classes = 3

// DefaultCost is the estimate in service units where nothing is known.
const DefaultCost = 64

// priorWeight is how many requests the prior counts for against those seen.
const priorWeight = 2

// meanWindow is how many requests the running mean of an account looks back
// over, costsWindow that of a set of targets.
const (
	meanWindow  = 32
	costsWindow = 512
)

// mean is a running mean: plain over the first requests, then exponential.
type mean struct {
	value float64
	n     int
}

// add takes in one value.
func (m *mean) add(v float64) { m.addOver(v, meanWindow) }

func (m *mean) addOver(v float64, window int) {
	m.n = min(m.n+1, window)
	m.value += (v - m.value) / float64(m.n)
}

// Costs are running means of a set of targets, the prior for new accounts.
type Costs struct {
	units   mean
	seconds mean
	// held is the mean of units times seconds: long requests make up more of
	// what is in flight than of what ends.
	held mean
}

// Add takes in the units and the seconds of a finished request.
func (c *Costs) Add(units, seconds float64) {
	c.units.addOver(units, costsWindow)
	c.seconds.addOver(seconds, costsWindow)
	c.held.addOver(units*seconds, costsWindow)
}

// Flight returns the mean units of a request in flight.
func (c *Costs) Flight() float64 {
	if c.seconds.value <= 0 {
		return c.Units()
	}
	return c.held.value / c.seconds.value
}

// Units returns the mean units of a request.
func (c *Costs) Units() float64 {
	if c.units.n == 0 {
		return DefaultCost
	}
	return c.units.value
}

// Seconds returns the mean time of a request at a target; zero if unknown.
func (c *Costs) Seconds() float64 { return c.seconds.value }

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
// account and class, with the targets' mean as weak prior. A hint moves the prior
// to the geometric mean of both: too low an estimate of long requests shows only
// when they have held too many slots for long.
func (a *Account) Estimate(c api.Class, hint float64, all *Costs) float64 {
	prior := all.Units()
	if hint > 0 {
		prior = math.Sqrt(hint * prior)
	}
	m := a.costs[classIndex(c)]
	n := float64(m.n)
	return (prior*priorWeight + m.value*n) / (priorWeight + n)
}

// Observe takes in the units of a finished request.
func (a *Account) Observe(c api.Class, units float64) {
	a.costs[classIndex(c)].add(units)
}
