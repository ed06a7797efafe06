package node

import (
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// encodeLimits replaces the limits and demands in a report.
func encodeLimits(r *fleetv1.Report, l admit.LimitReport) {
	r.Limits, r.Demands = nil, nil
	for _, e := range l.Limits {
		r.Limits = append(r.Limits, &fleetv1.TargetLimit{
			Run:       uint64(e.Run),
			PerSecond: float32(e.PerSecond), NamedAgeMs: ageMS(e.NamedAge), BySuccess: e.BySuccess,
			Unnamed: e.IsUnnamed, UnnamedAgeMs: ageMS(e.UnnamedAge),
			Sent: float32(e.Sent),
		})
	}
	for service, d := range l.Demands {
		r.Demands = append(r.Demands, &fleetv1.ServiceDemand{Service: service, Visible: float32(d.Visible), Absent: float32(d.Absent)})
	}
}

func ageMS(age time.Duration) uint32 { return uint32(min(max(age, 0), maxReportedAge).Milliseconds()) }

func decodeLimits(r *fleetv1.Report) admit.LimitReport {
	var out admit.LimitReport
	for _, e := range r.GetLimits() {
		out.Limits = append(out.Limits, targetlimit.Report{
			Run:       targetlimit.Run(e.GetRun()),
			PerSecond: valid(e.GetPerSecond()), NamedAge: time.Duration(e.GetNamedAgeMs()) * time.Millisecond, BySuccess: e.GetBySuccess(),
			IsUnnamed: e.GetUnnamed(), UnnamedAge: time.Duration(e.GetUnnamedAgeMs()) * time.Millisecond,
			Sent: valid(e.GetSent()),
		})
	}
	if len(r.GetDemands()) > 0 {
		out.Demands = make(map[string]targetlimit.Demand, len(r.GetDemands()))
	}
	for _, d := range r.GetDemands() {
		out.Demands[d.GetService()] = targetlimit.Demand{Visible: valid(d.GetVisible()), Absent: valid(d.GetAbsent())}
	}
	return out
}

// valid returns a number of a report, 0 if it is negative or no number, so that a malformed
// report cannot stop or lift a limit.
func valid(x float32) float64 {
	const greatest = 1e9
	if !(x > 0) {
		return 0
	}
	return min(float64(x), greatest)
}

// demandByService is the demand of routers for each service.
type demandByService map[string]*targetlimit.Tracker

// record replaces the demand of a router, or of a failure domain.
func (d demandByService) record(now time.Time, from ids.Instance, r *fleetv1.Report) {
	demands := decodeLimits(&fleetv1.Report{Demands: r.GetDemands()}).Demands
	for service := range demands {
		if d[service] == nil {
			d[service] = targetlimit.NewTracker()
		}
	}
	for service, routers := range d {
		routers.Record(now, from, demands[service])
	}
}

func (d demandByService) recordLinkEnd(now time.Time, name ids.Instance) {
	for _, routers := range d {
		routers.RecordLinkEnd(now, name)
	}
}

// limitSums sums up the limits and demands of reports.
type limitSums struct {
	now     time.Time
	limits  []targetlimit.Report
	demands map[string]targetlimit.Demand
}

// newLimitSums returns sums that hold this router's own report.
func newLimitSums(now time.Time, own *fleetv1.Report) *limitSums {
	l := decodeLimits(own)
	s := &limitSums{now: now, limits: l.Limits, demands: make(map[string]targetlimit.Demand)}
	for service, d := range l.Demands {
		s.demands[service] = d
	}
	return s
}

// add adds the limits of a report. Its demand is added by addDemand.
func (s *limitSums) add(r receivedReport) {
	age := s.now.Sub(r.at)
	for _, l := range decodeLimits(&fleetv1.Report{Limits: r.report.GetLimits()}).Limits {
		s.limits = append(s.limits, l.Aged(age))
	}
}

func (s *limitSums) addDemand(d demandByService) {
	for service, routers := range d {
		sum, added := s.demands[service], routers.Sum(s.now)
		s.demands[service] = targetlimit.Demand{Visible: sum.Visible + added.Visible, Absent: sum.Absent + added.Absent}
	}
}

// encode replaces the limits and demands in a report by the sums.
func (s *limitSums) encode(r *fleetv1.Report) {
	s.limits = targetlimit.Sum(s.limits)
	active := make(map[string]targetlimit.Demand)
	for service, d := range s.demands {
		if d.Visible+d.Absent > 0 {
			active[service] = d
		}
	}
	encodeLimits(r, admit.LimitReport{Limits: s.limits, Demands: active})
}
