package speed

import "time"

const (
	// centerTTL is how long a center is used for each of the targets, maxCenterTTL at most:
	// the mean over many targets changes slowly and takes longer to compute.
	centerTTL    = time.Millisecond
	maxCenterTTL = 500 * time.Millisecond
	// centerPriorWeight is the number of observations at which a target counts half in the
	// center. The standard error of its mean is then a third of the noise.
	centerPriorWeight = 5
	// minSpread is the standard deviation of the targets' lasting slowness, as a logarithm, from
	// which on they count as different: speeds that differ by a fifth. What equal targets
	// show is the noise of observations, and decisions by it would serve callers worse.
	minSpread = 0.2
)

// Center is the mean of the targets' lasting slowness, as a logarithm. Speeds are relative
// to it: what is common to all targets belongs to the expectation and not to their speeds.
type Center struct {
	value float64
	at    time.Time
	// The weighted sums of the present computation.
	sum, sumSquares, weight float64
	// isSpread is set if the targets differ by minSpread.
	isSpread bool
}

// Value returns the center of a number of targets, and false if it is to be computed anew.
func (c *Center) Value(now time.Time, targets int) (float64, bool) {
	ttl := min(centerTTL*time.Duration(targets), maxCenterTTL)
	return c.value, now.Sub(c.at) < ttl
}

// Begin begins a computation. Add is to be called with each target, then End.
func (c *Center) Begin() { c.sum, c.sumSquares, c.weight = 0, 0, 0 }

// Add adds a target. One with few observations counts less, one with many no more than others.
func (c *Center) Add(now time.Time, t *Target) {
	if t.fleet.IsEmpty() && t.pending.IsEmpty() {
		return
	}
	lasting := t.total(now).Lasting
	w := lasting.Weight / (lasting.Weight + centerPriorWeight)
	c.sum += w * lasting.Value()
	c.sumSquares += w * lasting.Value() * lasting.Value()
	c.weight += w
}

// End ends a computation and returns the center.
func (c *Center) End(now time.Time) float64 {
	c.at, c.value = now, 0
	c.isSpread = false
	if c.weight > 0 {
		c.value = c.sum / c.weight
		c.isSpread = c.sumSquares/c.weight-c.value*c.value >= minSpread*minSpread
	}
	return c.value
}

// IsSpread reports whether the targets differ in speed as of the last computation.
func (c *Center) IsSpread() bool { return c.isSpread }
