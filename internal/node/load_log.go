package node

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// loadLogInterval is the interval of the lines about load.
	loadLogInterval = time.Second
	// maxLoadLines bounds the workspaces of which each interval has a line.
	maxLoadLines = 8
)

// logLoad logs until ctx is done what the router did in each interval with the requests for
// engines, by workspace. Unlike the lines of single requests, these counts are complete.
func (n *Node) logLoad(ctx context.Context) {
	ticker := time.NewTicker(loadLogInterval)
	defer ticker.Stop()
	accepted := 0
	var limits []admit.LimitStatus
	speeds := make(speedLog)
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limits = n.logLimits(limits)
		n.reportEvenness(tick)
		n.logMemory()
		n.logSpeeds(speeds)
		before := accepted
		var open int
		accepted, open = n.callerConns.Counts()
		loads := n.server.TakeWorkspaceLoads()
		if len(loads) == 0 {
			continue
		}
		now := time.Now()
		version, config := n.configState.claim()
		n.logger.WithFields(logrus.Fields{
			"config_version": version, "config_age_ms": ageMS(now.Sub(config.At)), "targets_age_ms": ageMS(n.targetsState.age(now)),
			"refuse_share": n.loadShedder.RefuseShare(), "link_refuse_share": n.loadShedder.LinkRefuseShare(), "diverts": n.loadShedder.ShouldDivert(),
			"caller_conns": open, "caller_conns_accepted": accepted - before, "sched_delay_ms": n.loadShedder.Delay().Milliseconds(),
		}).Info("router load")
		for _, b := range n.scheduler.Backlogs() {
			n.logger.WithFields(logrus.Fields{
				"service": b.Service, "waiting": b.Waiting, "fleet_waiting": b.FleetWaiting, "paused_targets": b.Paused, "excess_bound": rounded(b.ExcessBound),
			}).Info("backlog")
		}
		for _, ws := range largestWorkspaces(loads) {
			n.logger.WithFields(workspaceLoadFields(ws, loads[ws])).Info("workspace load")
		}
	}
}

// logLimits logs the limits of targets in force and which of the last ones have ended, and
// returns those in force.
func (n *Node) logLimits(last []admit.LimitStatus) []admit.LimitStatus {
	limits := n.scheduler.Limits()
	inForce := make(map[ids.Target]bool, len(limits))
	for _, l := range limits {
		inForce[l.Target] = true
		n.logger.WithFields(limitFields(l)).Info("target limit")
	}
	for _, l := range last {
		if !inForce[l.Target] {
			n.logger.WithFields(logrus.Fields{"target": l.Target, "service": l.Service}).Info("target limit ended")
		}
	}
	n.scope.Gauge("target_limits").Update(float64(len(limits)))
	return limits
}

// logMemory logs what requests hold for transfers if one has ended because its peer made no
// progress, and updates the gauges.
func (n *Node) logMemory() {
	m := n.server.TakeMemoryStats()
	n.scope.Gauge("held_body_bytes").Update(float64(m.BodyBytes))
	n.scope.Gauge("held_response_bytes").Update(float64(m.ResponseBytes))
	n.scope.Gauge("target_body_bytes_max").Update(float64(m.BodiesTargetBytes))
	if m.BodyYields+m.ResponseYields+m.StalledStreams == 0 {
		return
	}
	n.logger.WithFields(logrus.Fields{
		"body_bytes": m.BodyBytes, "body_holders": m.BodyHolders, "bodies_yielded": m.BodyYields,
		"response_bytes": m.ResponseBytes, "response_holders": m.ResponseHolders, "responses_yielded": m.ResponseYields,
		"streams_stalled": m.StalledStreams, "target": m.BodiesTarget, "target_body_bytes": m.BodiesTargetBytes,
	}).Warn("transfer memory")
}

func limitFields(l admit.LimitStatus) logrus.Fields {
	return logrus.Fields{
		"target": l.Target, "service": l.Service, "per_second": l.PerSecond,
		"own_sent_per_second": rounded(l.OwnSent), "own_permits_per_second": rounded(l.OwnPerSecond),
		"fleet_sent_per_second": rounded(l.FleetSent), "demand_share": rounded(l.Share), "visible_share": rounded(l.Visible),
	}
}

// rounded returns x with three decimals.
func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }

// largestWorkspaces returns the workspaces that requested most, maxLoadLines at most.
func largestWorkspaces(loads map[ids.Workspace]*edge.WorkspaceLoad) []ids.Workspace {
	all := slices.SortedFunc(maps.Keys(loads), func(a, b ids.Workspace) int {
		return cmp.Or(cmp.Compare(loads[b].RequestedTokens, loads[a].RequestedTokens), cmp.Compare(a, b))
	})
	return all[:min(len(all), maxLoadLines)]
}

func workspaceLoadFields(ws ids.Workspace, l *edge.WorkspaceLoad) logrus.Fields {
	return logrus.Fields{
		"workspace": ws, "requests": l.Requests, "attempts": l.Attempts, "refused": l.Refused, "closed_conns": l.ClosedConns,
		"requested_tokens": l.RequestedTokens, "charged_tokens": l.ChargedTokens, "started_tokens": l.StartedTokens,
	}
}
