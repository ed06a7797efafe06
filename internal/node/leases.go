package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

// coldTargets is the controller of cold targets. It grants their leases where this router is
// their lessor, and logs changes.
type coldTargets struct {
	node *Node
	// isActive is set once a service of the configuration has cold targets.
	isActive atomic.Bool

	mu     sync.Mutex
	lessor *targetlimit.Lessor
	// last are the targets that were cold at the last update.
	last map[ids.Target]admit.ColdTarget
	// holders are the times at which leases were last granted, by run and router.
	holders map[targetlimit.Run]map[ids.Instance]time.Time
}

func newColdTargets(n *Node) *coldTargets {
	n.scope.Gauge("cold_targets").Update(0)
	n.scope.Gauge("target_leases").Update(0)
	n.scope.Counter("target_leases_granted").Inc(0)
	return &coldTargets{
		node: n, lessor: targetlimit.NewLessor(n.settings.Instance, n.settings.ColdBound),
		holders: make(map[targetlimit.Run]map[ids.Instance]time.Time),
	}
}

// run grants leases at the report interval until ctx ends.
func (c *coldTargets) run(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		interval := reportInterval
		if f := c.node.fleet; f != nil {
			interval = reportIntervalOf(f.plan.Load())
		}
		timer.Reset(interval)
		if config := c.node.Config(); len(c.last) > 0 || config != nil && config.HasColdStart() {
			c.isActive.Store(true)
			c.update()
		}
	}
}

// update logs which targets have become cold or warm, and grants the leases that are due.
func (c *coldTargets) update() {
	cold, demand := c.node.scheduler.ColdTargets()
	unused := c.node.scheduler.UnusedLeases()
	c.logChanges(cold)
	runs := make([]targetlimit.ColdRun, 0, len(cold))
	for _, t := range cold {
		runs = append(runs, t.ColdRun)
	}
	roles := c.node.lessorRoles()
	c.mu.Lock()
	now := time.Now()
	c.lessor.SetRoles(now, roles)
	c.lessor.SetRuns(now, runs)
	c.lessor.RecordDemand(now, c.node.settings.Instance, c.node.clock(now), demand)
	c.lessor.RecordUnused(now, c.node.settings.Instance, unused)
	grants := c.lessor.Grants(now)
	c.mu.Unlock()
	c.send(grants)
	c.logHolders(now, cold, grants)
}

// clock returns the time since the start of the process. Leases count from it.
func (n *Node) clock(now time.Time) time.Duration {
	return now.Sub(n.createdAt).Truncate(time.Millisecond)
}

// lessorRoles returns which routers are lessors, as far as this router knows. One that is
// stopping is none.
func (n *Node) lessorRoles() targetlimit.Roles {
	self := n.settings.Instance
	f := n.fleet
	if f == nil {
		return targetlimit.Roles{Routers: []ids.Instance{self}}
	}
	plan := f.plan.Load()
	if plan.FullMesh {
		return targetlimit.Roles{Routers: f.listedRouters()}
	}
	live := make(map[ids.Instance]bool)
	for _, p := range f.mesh.Live() {
		live[p.Instance] = !p.Draining
	}
	live[self] = !n.draining.Load()
	hubs := make(map[ids.Domain]ids.Instance, len(plan.Hubs))
	for domain := range plan.Hubs {
		hubs[domain] = plan.PreferredHub(domain, func(i ids.Instance) bool { return live[i] })
	}
	return targetlimit.Roles{Hubs: hubs}
}

// send sends the leases to their holders, each router's in one message.
func (c *coldTargets) send(grants []targetlimit.Grant) {
	messages := make(map[ids.Instance]*fleetv1.TargetLeases)
	for _, g := range grants {
		m := messages[g.Router]
		if m == nil {
			m = &fleetv1.TargetLeases{ClockMs: uint32(g.Clock.Milliseconds()), DurationMs: uint32(g.Duration.Milliseconds())}
			messages[g.Router] = m
		}
		m.Leases = append(m.Leases, &fleetv1.TargetLease{Run: uint64(g.Run), PerSecond: float32(g.PerSecond)})
	}
	for router, m := range messages {
		if router == c.node.settings.Instance {
			c.apply(m)
			continue
		}
		c.node.fleet.mesh.Send(router, &peerv1.Envelope{Body: &peerv1.Envelope_Leases{Leases: m}})
	}
	c.node.scope.Counter("target_leases_granted").Inc(int64(len(grants)))
}

// apply applies leases that were granted to this router.
func (c *coldTargets) apply(m *fleetv1.TargetLeases) {
	// The clock is sent modulo 2^32 ms.
	age := time.Duration(uint32(c.node.clock(time.Now()).Milliseconds())-m.GetClockMs()) * time.Millisecond
	left := min(time.Duration(m.GetDurationMs())*time.Millisecond, targetlimit.LeaseDuration) - age
	leases := make([]admit.Lease, 0, len(m.GetLeases()))
	for _, le := range m.GetLeases() {
		leases = append(leases, admit.Lease{Run: targetlimit.Run(le.GetRun()), PerSecond: valid(le.GetPerSecond()), Duration: left})
	}
	c.node.scheduler.ApplyLeases(leases)
}

// recordReport records the demand that another router reports to this one.
func (c *coldTargets) recordReport(from ids.Instance, r *fleetv1.Report) {
	if !c.isActive.Load() {
		return
	}
	demand := make(map[string]float64, len(r.GetDemands()))
	for _, d := range r.GetDemands() {
		demand[d.GetService()] = valid(d.GetVisible())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.lessor.RecordDemand(now, from, time.Duration(r.GetClockMs())*time.Millisecond, demand)
	unused := make([]targetlimit.Run, 0, len(r.GetUnusedLeases()))
	for _, run := range r.GetUnusedLeases() {
		unused = append(unused, targetlimit.Run(run))
	}
	c.lessor.RecordUnused(now, from, unused)
}

// recordLinkEnd records that the link to a router has ended.
func (c *coldTargets) recordLinkEnd(name ids.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lessor.RecordLinkEnd(name)
}

// logChanges logs which targets have become cold or warm, and which leases this router has got
// and lost since the last update.
func (c *coldTargets) logChanges(cold []admit.ColdTarget) {
	now := time.Now()
	current := make(map[ids.Target]admit.ColdTarget, len(cold))
	leases := 0
	for _, t := range cold {
		current[t.Target] = t
		before, wasCold := c.last[t.Target]
		if !wasCold || before.Run != t.Run || before.Reason != t.Reason {
			c.node.logger.WithFields(coldFields(now, t)).Info("target is cold")
		}
		c.logLease(t, before.Lease)
		if t.Lease > 0 {
			leases++
		}
	}
	for id, t := range c.last {
		if after, isCold := current[id]; !isCold || after.Run != t.Run {
			c.node.logger.WithFields(logrus.Fields{"target": id, "service": t.Service, "reason": t.Reason}).Info("target is no longer cold")
		}
	}
	c.last = current
	c.node.scope.Gauge("cold_targets").Update(float64(len(cold)))
	c.node.scope.Gauge("target_leases").Update(float64(leases))
}

func (c *coldTargets) logLease(t admit.ColdTarget, before float64) {
	if (t.Lease > 0) == (before > 0) {
		return
	}
	fields := logrus.Fields{"target": t.Target, "service": t.Service}
	if t.Lease > 0 {
		fields["per_second"] = rounded(t.Lease)
		c.node.logger.WithFields(fields).Info("lease of a cold target received")
		return
	}
	c.node.logger.WithFields(fields).Info("lease of a cold target expired")
}

func coldFields(now time.Time, t admit.ColdTarget) logrus.Fields {
	fields := logrus.Fields{
		"target": t.Target, "service": t.Service, "target_domain": t.Domain, "reason": t.Reason, "for_ms": t.Until.Sub(now).Milliseconds(),
		"per_second": t.PerSecond, "entry_age_ms": now.Sub(t.ReadAt).Milliseconds(),
	}
	if !t.RefusedAt.IsZero() {
		fields["refused_age_ms"] = now.Sub(t.RefusedAt).Milliseconds()
	}
	return fields
}

// logHolders logs to which routers this one has begun to lease cold targets, and whose leases
// it no longer renews.
func (c *coldTargets) logHolders(now time.Time, cold []admit.ColdTarget, grants []targetlimit.Grant) {
	names := make(map[targetlimit.Run]ids.Target, len(cold))
	for _, t := range cold {
		names[t.Run] = t.Target
	}
	for _, g := range grants {
		holders := c.holders[g.Run]
		if holders == nil {
			holders = make(map[ids.Instance]time.Time)
			c.holders[g.Run] = holders
		}
		if _, isHolder := holders[g.Router]; !isHolder {
			c.node.logger.WithFields(logrus.Fields{"target": names[g.Run], "holder": g.Router, "per_second": rounded(g.PerSecond)}).Info("lease of a cold target granted")
		}
		holders[g.Router] = now
	}
	for run, holders := range c.holders {
		for router, at := range holders {
			if now.Sub(at) < targetlimit.LeaseDuration {
				continue
			}
			delete(holders, router)
			if name, isCold := names[run]; isCold {
				c.node.logger.WithFields(logrus.Fields{"target": name, "holder": router}).Info("lease of a cold target no longer renewed")
			}
		}
		if len(holders) == 0 {
			delete(c.holders, run)
		}
	}
}
