package admit

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// SpeedStatus is what is known of a target's speed, for logs and metrics.
type SpeedStatus struct {
	Target  ids.Target
	Service string
	// Lasting is the target's speed over tens of seconds, 1 for the mean of the service's
	// targets. Slowdown is the factor by which it is slower than that at present.
	Lasting, Slowdown float64
	// Observations is the weight of what the estimates are based on.
	Observations float64
}

// Speeds returns the speeds of the targets of which any has been observed.
func (ac *Controller) Speeds(now time.Time) []SpeedStatus {
	var out []SpeedStatus
	for name, s := range ac.services {
		center := s.speedCenter(now)
		for _, t := range s.targets {
			if !t.speed.IsObserved() {
				continue
			}
			e := t.speed.Estimate(now, center)
			out = append(out, SpeedStatus{
				Target: t.ID, Service: name, Lasting: math.Exp(-e.Lasting), Slowdown: math.Exp(e.Present),
				Observations: t.speed.Observations(now),
			})
		}
	}
	return out
}
