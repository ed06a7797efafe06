package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// LimitReport is what routers have heard of targets' limits and send to limited targets,
// with the demand for services that have such targets.
type LimitReport struct {
	Limits  []targetlimit.Report
	Demands map[string]targetlimit.Demand
}

// LocalLimits returns this router's state of limits for a report.
func (ac *Controller) LocalLimits(now time.Time) LimitReport {
	var out LimitReport
	for name, s := range ac.services {
		if !s.limits.IsActive(now) {
			continue
		}
		if out.Demands == nil {
			out.Demands = make(map[string]targetlimit.Demand)
		}
		out.Limits = append(out.Limits, s.limits.LocalReport(now)...)
		out.Demands[name] = targetlimit.Demand{Visible: s.limits.OwnDemand(now)}
	}
	return out
}

// ApplyPeerLimits replaces a peer's state of limits.
func (ac *Controller) ApplyPeerLimits(now time.Time, peer ids.Instance, r LimitReport) {
	ac.applyLimits(r, func(l *targetlimit.Limiter, limits []targetlimit.Report, demand targetlimit.Demand) {
		l.ApplyPeerReport(now, peer, limits, demand)
	})
}

// ApplyFleetLimits replaces the state of limits of all other routers by sums over the fleet
// that include this router's last report.
func (ac *Controller) ApplyFleetLimits(now time.Time, r LimitReport) {
	ac.applyLimits(r, func(l *targetlimit.Limiter, limits []targetlimit.Report, demand targetlimit.Demand) {
		l.ApplyFleetReport(now, limits, demand)
	})
}

// applyLimits calls apply with the part of the report that concerns each service. The
// limits of runs that are not listed are left out.
func (ac *Controller) applyLimits(r LimitReport, apply func(*targetlimit.Limiter, []targetlimit.Report, targetlimit.Demand)) {
	byService := make(map[string][]targetlimit.Report)
	if len(r.Limits) > 0 {
		services := ac.servicesByRun()
		for _, l := range r.Limits {
			if name, ok := services[l.Run]; ok {
				byService[name] = append(byService[name], l)
			}
		}
	}
	for name, s := range ac.services {
		apply(s.limits, byService[name], r.Demands[name])
	}
}

func (ac *Controller) servicesByRun() map[targetlimit.Run]string {
	services := make(map[targetlimit.Run]string, len(ac.targets))
	for _, t := range ac.targets {
		services[t.run] = t.Service
	}
	return services
}
