// Package pressure decides which share of its load a router refuses because its own
// processor or its network link cannot keep up, which workspaces' requests it refuses, and whether new
// connections should go to other instances. It is a deterministic state machine without
// I/O or a clock.
//
// It handles the load in which one instance receives many times its share of the
// callers. Requests beyond its capacity are better refused at once, since callers then
// retry at another instance, than answered after the callers have disconnected.
package pressure

import "time"

const (
	// highDelay and lowDelay are the scheduling delays above which the refused share
	// grows and below which it shrinks. An instance that keeps up has delays of some
	// ms, and at nine tenths of its capacity bursts that delay them by 10 to 20 ms. For these
	// values and those below see docs/incidents/workspace-at-one-router.md, Controller.
	highDelay = 30 * time.Millisecond
	lowDelay  = 15 * time.Millisecond
	// shareIncrease and shareDecrease are the largest steps of the refused share with each
	// observation. It shrinks more slowly than it grows, to prevent oscillation. It grows by
	// less while the delay is below fullStepDelay, so that it does not grow far beyond what
	// the overload needs.
	shareIncrease = 0.12
	shareDecrease = 0.08
	fullStepDelay = 2 * highDelay
	// maxShare is the largest refused share. Some load must be admitted to observe
	// whether the overload is over.
	maxShare = 0.95
	// delayWeight is the weight of one observation in the smoothed delay.
	delayWeight = 0.5
)

// ShareController computes the share of requests to refuse from the observed scheduling
// delays. The zero value refuses nothing.
type ShareController struct {
	delay time.Duration
	share float64
}

// Observe adds the recent scheduling delay and returns the share of requests to refuse,
// from 0 to 1.
func (c *ShareController) Observe(delay time.Duration) float64 {
	c.delay += time.Duration(delayWeight * float64(max(0, delay)-c.delay))
	switch {
	case c.delay > highDelay:
		step := shareIncrease * min(1, float64(c.delay)/float64(fullStepDelay))
		c.share = min(maxShare, c.share+step)
	case c.delay < lowDelay:
		c.share = max(0, c.share-shareDecrease)
	}
	return c.share
}

// Delay returns the smoothed scheduling delay.
func (c *ShareController) Delay() time.Duration { return c.delay }
