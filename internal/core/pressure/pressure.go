// Package pressure decides how much of its load a router refuses because its
// own processor falls behind, and whose. It is a deterministic state machine without I/O or
// clock.
//
// It answers the load where one instance gets many times its share of the
// callers: what it can't carry is better refused at once, since callers come
// back at another instance, than answered after they have left.
package pressure

import "time"

const (
	// high and low are from trials on the bench (docs/ROUNDS.md, fce6e49), the
	// others untuned.
	//
	// high and low are the delays above which more is refused and below which
	// less is. An instance that keeps up is late by some ms.
	high = 15 * time.Millisecond
	low  = 6 * time.Millisecond
	// up and down are the steps of the refused share with each observation:
	// back more slowly than up, so that it does not swing.
	up   = 0.12
	down = 0.02
	// most is the largest refused share: some load shows whether it is over.
	most = 0.95
	// weight of one observation in the smoothed delay.
	weight = 0.3
)

// RateController follows by how much work is late. The zero value refuses nothing.
type RateController struct {
	delay time.Duration
	share float64
}

// Observe takes by how much work was late of late, and returns the share of requests
// to refuse, from 0 to 1.
func (g *RateController) Observe(late time.Duration) float64 {
	g.delay += time.Duration(weight * float64(max(0, late)-g.delay))
	switch {
	case g.delay > high:
		g.share = min(most, g.share+up)
	case g.delay < low:
		g.share = max(0, g.share-down)
	}
	return g.share
}
