package targetlimit

import (
	"math"
	"time"
)

// decayingSum is a sum whose terms decay exponentially with their age.
type decayingSum struct {
	value float64
	at    time.Time
}

// add adds a term to the sum, whose terms decay with the time constant tau.
func (d *decayingSum) add(now time.Time, term float64, tau time.Duration) {
	d.value, d.at = d.get(now, tau)+term, now
}

// get returns the sum as of now.
func (d decayingSum) get(now time.Time, tau time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * decay(now.Sub(d.at), tau)
}

func decay(age, tau time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / tau.Seconds())
}
