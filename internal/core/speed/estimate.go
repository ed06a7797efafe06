package speed

import "math"

const (
	// noise is the standard deviation of the log ratio of a single observation at a target
	// whose speed is known. It stems from load that the router's reports did not show yet;
	// measured in the replay of an even fleet.
	noise = 0.35
	// significance is how many standard errors an estimate has to deviate to be used at all.
	// Since decaying weights of sum w have the variance of 2w observations in the steady
	// state, this is twice the standard error there.
	significance = 1.5
	// minLasting and minPresent are the logarithms of the deviations that are not used however
	// many observations support them: equal targets differ by as much in load.
	minLasting = 0.1
	minPresent = 0.15
)

// Estimate is what is known of a target's speed. Both values are logarithms.
type Estimate struct {
	// Lasting is the target's slowness over tens of seconds, before it is related to that
	// of the other targets.
	Lasting float64
	// Present is how much slower it is at present than that.
	Present float64
}

// Estimate returns the estimates that the sums support: without significant observations
// they are those of a target of mean speed.
func (s Sums) Estimate(center float64) Estimate {
	lasting := significant(s.Lasting.Value()-center, s.Lasting.Weight, minLasting)
	present := significant(s.Present.Value()-center-lasting, s.Present.Weight, minPresent)
	// Fast responses end a lasting slowness early, but make no target faster than the mean:
	// they are more often due to a lack of load.
	return Estimate{Lasting: lasting, Present: max(present, -max(0, lasting))}
}

// Factor returns the factor by which the target's latency exceeds that of a target of mean
// speed.
func (e Estimate) Factor() float64 { return math.Exp(e.Lasting + e.Present) }

// significant shrinks a deviation toward 0: to 0 if it is within the noise of a mean of the
// given weight and the least deviation, and hardly if it is many times greater.
func significant(deviation, weight, least float64) float64 {
	threshold := significance * noise
	variance := threshold*threshold/max(weight, minWeight) + least*least
	if deviation*deviation <= variance {
		return 0
	}
	return deviation * (1 - variance/(deviation*deviation))
}
