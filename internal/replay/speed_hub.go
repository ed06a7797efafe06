package replay

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/speed"
)

// speedHub sums up what routers have observed of the engines' speeds, like a hub.
type speedHub struct {
	collector *speed.Collector
}

func newSpeedHub() *speedHub { return &speedHub{collector: speed.NewCollector()} }

// sum adds the routers' reports and returns the sums that are due.
func (h *speedHub) sum(now time.Time, reports []report) admit.SpeedReport {
	for _, r := range reports {
		for _, t := range r.speeds.Targets {
			h.collector.Add(now, t)
		}
		for service, gap := range r.speeds.Gaps {
			h.collector.AddGap(now, service, gap)
		}
	}
	return admit.SpeedReport{Targets: h.collector.TakeDue(now), Gaps: h.collector.TakeDueGaps(now)}
}

// scheduleFailures schedules the loss of the hub's sums and the restart of a router. The
// requests that the router had sent go on at their engines.
func (s *simulation) scheduleFailures() {
	if at := s.pattern.HubLostAt; at > 0 {
		s.schedule(at, func() { s.hub = newSpeedHub() })
	}
	if at := s.pattern.RouterRestartsAt; at > 0 {
		s.schedule(at, func() { s.routers[0] = newAdmitDispatcher(s.pattern, 0) })
	}
}
