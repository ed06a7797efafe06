package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// minEvennessLoad is the least mean load per slot for which an evenness is stated. With less,
// single requests decide which target is the busiest.
const minEvennessLoad = 0.1

// Evenness states how evenly the work of the fleet is spread over the targets of a service. The
// work of a target is its load per slot, so a target that is twice as fast may have got twice
// as many requests.
type Evenness struct {
	Service string
	// Busiest is the target with the most work, and Ratio its work over the mean, 0 if the
	// service has little work.
	Busiest ids.Target
	Ratio   float64
	// MeanLoad is the mean load per slot, and Targets the number of targets that are in use.
	MeanLoad float64
	Targets  int
}

// sampleLoads adds the loads of now to those from which the evenness is computed.
func (s *service) sampleLoads(now time.Time) {
	s.loadSamples++
	for _, t := range s.targets {
		running, _, _ := t.fleetLoad(now)
		t.sampledLoad += running
	}
}

// TakeEvenness returns the evenness of each service that has targets, over the reports since the
// last call.
func (ac *Controller) TakeEvenness(now time.Time) []Evenness {
	var out []Evenness
	for _, s := range ac.services {
		if e, ok := s.takeEvenness(now); ok {
			out = append(out, e)
		}
	}
	return out
}

func (s *service) takeEvenness(now time.Time) (Evenness, bool) {
	samples := float64(max(1, s.loadSamples))
	s.loadSamples = 0
	e := Evenness{Service: s.name}
	load, slots, most := 0.0, 0.0, -1.0
	for _, t := range s.targets {
		sampled := float64(t.sampledLoad) / samples
		t.sampledLoad = 0
		if t.isLeaving() || !t.health.isAvailable(now) || t.stated.turnAway.isActive(now) {
			continue
		}
		own := float64(max(1, t.Slots))
		load, slots = load+sampled, slots+own
		e.Targets++
		if level := sampled / own; level > most {
			most, e.Busiest = level, t.ID
		}
	}
	if slots == 0 {
		return e, len(s.targets) > 0
	}
	e.MeanLoad = load / slots
	if e.MeanLoad >= minEvennessLoad {
		e.Ratio = most / e.MeanLoad
	}
	return e, true
}
