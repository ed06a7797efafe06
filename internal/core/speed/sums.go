package speed

import (
	"math"
	"time"
)

const (
	// lastingHalfLife is the time after which an observation counts half in the lasting
	// speed. It spans many slowdowns of some hundred ms.
	lastingHalfLife = 20 * time.Second
	// PresentHalfLife is the same for the present slowdown, which is to be noticed within
	// a second of its start and forgotten within a second of its end.
	PresentHalfLife = 400 * time.Millisecond
	// minWeight is the weight, in observations, below which sums are dropped.
	minWeight = 0.02
)

// Mean is a weighted mean of log ratios as sums, which can be added over routers.
type Mean struct {
	// Weight is the number of observations, older ones counting less.
	Weight float64
	// Sum is the sum of the logarithms of observed to expected latency with these weights.
	Sum float64
}

// Value returns the mean, 0 if nothing was observed.
func (m Mean) Value() float64 {
	if m.Weight <= 0 {
		return 0
	}
	return m.Sum / m.Weight
}

func (m Mean) scaled(by float64) Mean { return Mean{Weight: m.Weight * by, Sum: m.Sum * by} }

// Plus returns the sums of the observations of both.
func (m Mean) Plus(o Mean) Mean { return Mean{Weight: m.Weight + o.Weight, Sum: m.Sum + o.Sum} }

// Sums are what has been observed of one run of a target, over tens of seconds and over
// about a second.
type Sums struct {
	Lasting, Present Mean
}

// Add returns the sums of the observations of both.
func (s Sums) Add(o Sums) Sums {
	return Sums{Lasting: s.Lasting.Plus(o.Lasting), Present: s.Present.Plus(o.Present)}
}

// Aged returns the sums as of a later time.
func (s Sums) Aged(age time.Duration) Sums {
	if age <= 0 {
		return s
	}
	return Sums{
		Lasting: s.Lasting.scaled(math.Exp2(-float64(age) / float64(lastingHalfLife))),
		Present: s.Present.scaled(math.Exp2(-float64(age) / float64(PresentHalfLife))),
	}
}

// IsEmpty reports whether the sums hold next to nothing.
func (s Sums) IsEmpty() bool { return s.Lasting.Weight < minWeight }

// datedSums are sums as of a time.
type datedSums struct {
	at time.Time
	Sums
}

func (d datedSums) asOf(now time.Time) Sums { return d.Aged(now.Sub(d.at)) }

func (d *datedSums) add(now time.Time, s Sums) { *d = datedSums{at: now, Sums: d.asOf(now).Add(s)} }
