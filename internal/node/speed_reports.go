package node

import (
	"math"
	"sync"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/speed"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// speedWeightScale and speedMeanScale are the units of weights and means in reports.
	speedWeightScale = 64
	speedMeanScale   = 256
	// maxSpeedMean bounds a mean, so that a malformed report cannot make a target appear
	// faster or slower than a router itself would observe.
	maxSpeedMean = 2.0
	// maxLogGap bounds the logarithm of a time between events in ms: an hour.
	maxLogGap = 15.0
	// maxSpeedWeight bounds a weight: more observations than a fleet has of one target.
	maxSpeedWeight = 1e6
)

// encodeSpeeds sets the speeds in a report.
func encodeSpeeds(r *fleetv1.Report, s admit.SpeedReport) {
	if len(s.Targets) == 0 && len(s.Gaps) == 0 {
		return
	}
	r.Speed = new(fleetv1.SpeedReport)
	for _, t := range s.Targets {
		r.Speed.Targets = append(r.Speed.Targets, &fleetv1.TargetSpeed{
			Run:           uint64(t.Run),
			LastingWeight: encodeWeight(t.Lasting.Weight), LastingMean: encodeMean(t.Lasting),
			PresentWeight: encodeWeight(t.Present.Weight), PresentMean: encodeMean(t.Present),
		})
	}
	for name, m := range s.Gaps {
		r.Speed.Gaps = append(r.Speed.Gaps, &fleetv1.ServiceGap{Service: name, Weight: encodeWeight(m.Weight), Mean: encodeMean(m)})
	}
}

func encodeWeight(w float64) uint32 {
	return uint32(math.Round(min(w, maxSpeedWeight) * speedWeightScale))
}

func encodeMean(m speed.Mean) int32 { return int32(math.Round(m.Value() * speedMeanScale)) }

// decodeSpeeds returns the speeds in a report, with what is out of bounds cut off.
func decodeSpeeds(r *fleetv1.Report) admit.SpeedReport {
	var out admit.SpeedReport
	for _, t := range r.GetSpeed().GetTargets() {
		out.Targets = append(out.Targets, speed.Report{Run: targetlimit.Run(t.GetRun()), Sums: speed.Sums{
			Lasting: decodeMean(t.GetLastingWeight(), t.GetLastingMean(), maxSpeedMean),
			Present: decodeMean(t.GetPresentWeight(), t.GetPresentMean(), maxSpeedMean),
		}})
	}
	for _, g := range r.GetSpeed().GetGaps() {
		if out.Gaps == nil {
			out.Gaps = make(map[string]speed.Mean)
		}
		out.Gaps[g.GetService()] = decodeMean(g.GetWeight(), g.GetMean(), maxLogGap)
	}
	return out
}

func decodeMean(weight uint32, mean int32, bound float64) speed.Mean {
	w := min(float64(weight)/speedWeightScale, maxSpeedWeight)
	m := min(max(float64(mean)/speedMeanScale, -bound), bound)
	return speed.Mean{Weight: w, Sum: w * m}
}

// speedSums sums up at a hub what routers have observed of the speeds of targets.
type speedSums struct {
	mu sync.Mutex
	// domain holds the observations of the routers in this hub's own domain, total those of
	// the whole fleet.
	domain, total *speed.Collector
}

func newSpeedSums() speedSums {
	return speedSums{domain: speed.NewCollector(), total: speed.NewCollector()}
}

// addRouter adds the report of a router in this hub's own domain, this one included.
func (s *speedSums) addRouter(now time.Time, r *fleetv1.Report) {
	if r.GetSpeed() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := decodeSpeeds(r)
	for _, c := range []*speed.Collector{s.domain, s.total} {
		for _, t := range report.Targets {
			c.Add(now, t)
		}
		for service, m := range report.Gaps {
			c.AddGap(now, service, m)
		}
	}
}

// setDomain replaces the sums of another domain. All of its hubs send about the same.
func (s *speedSums) setDomain(now time.Time, domain ids.Domain, r *fleetv1.Report) {
	if r.GetSpeed() == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := decodeSpeeds(r)
	for _, t := range report.Targets {
		s.total.SetDomain(now, string(domain), t)
	}
	for service, m := range report.Gaps {
		s.total.SetDomainGap(now, string(domain), service, m)
	}
}

// encode sets the sums that are due in the reports of this hub.
func (s *speedSums) encode(now time.Time, domain, total *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encodeSpeeds(domain, admit.SpeedReport{Targets: s.domain.TakeDue(now), Gaps: s.domain.TakeDueGaps(now)})
	encodeSpeeds(total, admit.SpeedReport{Targets: s.total.TakeDue(now), Gaps: s.total.TakeDueGaps(now)})
}
