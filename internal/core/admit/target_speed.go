package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/speed"
)

// speedFactor returns the factor by which a target's work takes longer than at a target of mean
// speed.
func (s *service) speedFactor(now time.Time, t *target) float64 {
	if !t.speed.IsObserved() {
		return 1
	}
	center := s.speedCenter(now)
	if !s.center.IsSpread() {
		return 1
	}
	return t.speed.Factor(now, center)
}

// speedCenter returns the mean slowness of the service's targets, as a logarithm.
func (s *service) speedCenter(now time.Time) float64 {
	if center, ok := s.center.Value(now, len(s.targets)); ok {
		return center
	}
	s.center.Begin()
	for _, t := range s.targets {
		s.center.Add(now, &t.speed)
	}
	return s.center.End(now)
}

// observeFirstEvent records the time to the first event of a response that was not preceded
// by a transfer of prompt parts, whose time is only estimated.
func (s *service) observeFirstEvent(now time.Time, a *attempt) {
	if a.source != nil {
		return
	}
	took, factor := now.Sub(a.sentAt), s.speedFactor(now, a.target)
	a.target.observeSlowness(now, took, s.latency.predictAt(a.tokensAhead, factor))
	s.latency.observe(int(float64(a.tokensAhead)*factor), took)
}

// minGaps is the number of times between events from which a stream's mean time between
// them is observed. Fewer depend on how the events fall into the engine's steps.
const minGaps = 2

// observeStream records the time between the events of a stream, also after a transfer of
// prompt parts, which does not affect it. Unlike the time to the first event it depends little
// on load that reports do not show yet.
func (s *service) observeStream(now time.Time, t *target, end End) {
	gaps := end.Events - 1
	if gaps < minGaps || end.Streamed <= 0 {
		return
	}
	gap := end.Streamed / time.Duration(gaps)
	atMeanSpeed := time.Duration(float64(gap) / s.speedFactor(now, t))
	if expected := s.latency.gap.Expected(now); expected > 0 {
		t.speed.Observe(now, gap, expected, min(1, float64(speed.PresentHalfLife)/float64(end.Streamed)))
	}
	s.latency.gap.Observe(max(atMeanSpeed, time.Microsecond))
}

// SpeedReport is what routers have observed of the speeds of targets, and by service of the
// time between two events of a stream at a target of mean speed.
type SpeedReport struct {
	Targets []speed.Report
	Gaps    map[string]speed.Mean
}

// IsEmpty reports whether nothing was due to be reported.
func (r SpeedReport) IsEmpty() bool { return len(r.Targets) == 0 && len(r.Gaps) == 0 }

// LocalSpeeds returns what this router has observed and is due to be reported.
func (ac *Controller) LocalSpeeds(now time.Time) SpeedReport {
	var out SpeedReport
	for name, s := range ac.services {
		center := s.speedCenter(now)
		for _, t := range s.targets {
			if sums, due := t.speed.TakeReport(now, center); due {
				out.Targets = append(out.Targets, speed.Report{Run: t.run, Sums: sums})
			}
		}
		if s.latency == nil {
			continue
		}
		if gap, due := s.latency.gap.TakeReport(now); due {
			if out.Gaps == nil {
				out.Gaps = make(map[string]speed.Mean)
			}
			out.Gaps[name] = gap
		}
	}
	return out
}

// ApplyPeerSpeeds adds what another router has observed since its last report.
func (ac *Controller) ApplyPeerSpeeds(now time.Time, r SpeedReport) {
	ac.applySpeeds(r,
		func(t *target, sums speed.Sums) { t.speed.AddObservations(now, sums) },
		func(g *speed.Gap, m speed.Mean) { g.AddObservations(now, m) })
}

// ApplyFleetSpeeds replaces what all routers have observed of the reported targets and
// services.
func (ac *Controller) ApplyFleetSpeeds(now time.Time, r SpeedReport) {
	ac.applySpeeds(r,
		func(t *target, sums speed.Sums) { t.speed.SetFleet(now, sums) },
		func(g *speed.Gap, m speed.Mean) { g.SetFleet(now, m) })
}

func (ac *Controller) applySpeeds(r SpeedReport, applyTarget func(*target, speed.Sums), applyGap func(*speed.Gap, speed.Mean)) {
	for _, reported := range r.Targets {
		if t := ac.byRun[reported.Run]; t != nil {
			applyTarget(t, reported.Sums)
		}
	}
	for name, m := range r.Gaps {
		if s := ac.services[name]; s != nil && s.latency != nil {
			applyGap(&s.latency.gap, m)
		}
	}
}
