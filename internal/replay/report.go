package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// report is the load of one router, or of all routers together.
type report struct {
	loads    []admit.Load
	backlogs []admit.Backlog
	usage    map[ids.Workspace]share.Usage
	limits   admit.LimitReport
	speeds   admit.SpeedReport
}

func newReport(now time.Time, controller *admit.Controller) report {
	loads, backlogs, usage := controller.LocalReport(now, 0)
	return report{loads, backlogs, usage, controller.LocalLimits(now), controller.LocalSpeeds(now)}
}

func (r report) clone() report {
	limits := admit.LimitReport{Limits: slices.Clone(r.limits.Limits), Demands: r.limits.Demands}
	return report{slices.Clone(r.loads), slices.Clone(r.backlogs), maps.Clone(r.usage), limits, r.speeds}
}

// sumReports returns the sum of reports. All engines are of one service.
func sumReports(reports []report) report {
	total := report{usage: make(map[ids.Workspace]share.Usage), limits: sumLimits(reports)}
	index := make(map[ids.Target]int)
	var backlog admit.Backlog
	for _, r := range reports {
		for _, l := range r.loads {
			i, known := index[l.Target]
			if !known {
				i = len(total.loads)
				index[l.Target] = i
				total.loads = append(total.loads, admit.Load{Target: l.Target})
			}
			sum := &total.loads[i]
			sum.Running += l.Running
			sum.PendingTokens += l.PendingTokens
			sum.MemoryTokens += l.MemoryTokens
			sum.CachedKeys = append(sum.CachedKeys, l.CachedKeys...)
		}
		for _, b := range r.backlogs {
			backlog.Service = b.Service
			backlog.Requests += b.Requests
			backlog.Tokens += b.Tokens
		}
		for ws, u := range r.usage {
			sum := total.usage[ws]
			total.usage[ws] = share.Usage{Requested: sum.Requested + u.Requested, Started: sum.Started + u.Started}
		}
	}
	if backlog.Requests > 0 {
		total.backlogs = []admit.Backlog{backlog}
	}
	return total
}

// sumLimits returns the sum of the reports' limits and demands.
func sumLimits(reports []report) admit.LimitReport {
	sum := admit.LimitReport{Demands: make(map[string]targetlimit.Demand)}
	for _, r := range reports {
		sum.Limits = append(sum.Limits, r.limits.Limits...)
		for service, d := range r.limits.Demands {
			sum.Demands[service] = targetlimit.Demand{Visible: sum.Demands[service].Visible + d.Visible}
		}
	}
	sum.Limits = targetlimit.Sum(sum.Limits)
	return sum
}
