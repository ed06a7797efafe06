package daemon

import (
	"context"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/dispatch"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/status"
)

// localStatus returns the status of this router.
func (d *Daemon) localStatus(ctx context.Context) status.Router {
	snapshot := d.config.Snapshot()
	scheduling := d.dispatcher.Inspect(ctx)
	quarantined := d.quarantine.View()
	traffic := d.mesh.Traffic()
	r := status.Router{
		Instance:      d.settings.Instance,
		Domain:        d.settings.Domain,
		Incarnation:   uint64(d.incarnation),
		Version:       version(),
		At:            time.Now(),
		UptimeSeconds: time.Since(d.startedAt).Seconds(),
		Ready:         d.isReady(),
		Draining:      d.isDraining(),
		Watcher:       d.config.IsWatching(),
		Revision:      d.inForce().Revision,
		Links:         d.links(),
		Targets:       targets(scheduling),
		Workspaces:    workspaces(scheduling),
		Platform:      status.Platform{Up: snapshot.PlatformUp},
		Ledger:        status.Ledger{Available: snapshot.PlatformUp},
		Control:       d.controlTraffic.read(traffic),
	}
	for _, pool := range scheduling.View.Pools {
		r.Waiting += pool.Waiting
	}
	for _, target := range scheduling.View.Targets {
		r.Running += target.InFlight
	}
	r.Conditions = d.conditions(snapshot, scheduling.View)
	if quarantined.Suspects+quarantined.Quarantined > 0 {
		r.Conditions = append(r.Conditions, status.Condition{
			Type:    conditionQuarantine,
			Message: strconv.Itoa(quarantined.Quarantined) + " requests in quarantine, " + strconv.Itoa(quarantined.Suspects) + " suspected of crashing targets",
		})
	}
	return r
}

// conditionQuarantine is the condition that some requests are kept from targets
// because they are suspected of crashing them.
const conditionQuarantine status.ConditionType = "requests-quarantined"

func (d *Daemon) links() []status.Link {
	now := time.Now()
	live := d.mesh.Live()
	links := make([]status.Link, 0, len(live))
	for _, p := range live {
		links = append(links, status.Link{
			Instance:            string(p.Instance),
			Domain:              string(p.Domain),
			Incarnation:         uint64(p.Incarnation),
			Revision:            p.Revision,
			Draining:            p.Draining,
			Watcher:             p.Watcher,
			FirstSeenAgeSeconds: now.Sub(p.FirstSeenAt).Seconds(),
			LastSeenAgeSeconds:  now.Sub(p.LastSeenAt).Seconds(),
		})
	}
	return links
}

func targets(scheduling dispatch.Snapshot) []status.Target {
	list := make([]status.Target, 0, len(scheduling.View.Targets))
	for _, t := range scheduling.View.Targets {
		list = append(list, status.Target{
			Target:      string(t.Target),
			Domain:      string(t.Domain),
			Owner:       string(t.Owner),
			Concurrency: t.Concurrency,
			Limit:       t.Limit,
			Permits:     t.Held,
			InFlight:    t.InFlight,
			Draining:    t.Draining,
			Ejected:     t.Ejected,
		})
	}
	return list
}

func workspaces(scheduling dispatch.Snapshot) []status.Workspace {
	var list []status.Workspace
	for _, pool := range scheduling.View.Pools {
		// The workspaces are in ascending order of virtual service, except that
		// those held back by a limit come last.
		least := 0.0
		for i, w := range pool.Backlogged {
			if i == 0 {
				least = w.VirtualService
			}
			list = append(list, status.Workspace{
				Workspace:      string(w.Workspace),
				Pool:           string(pool.Pool),
				Weight:         w.Weight,
				Waiting:        w.Queue,
				OldestSeconds:  w.OldestWait.Seconds(),
				Units:          w.Units,
				VirtualService: w.VirtualService,
				Gap:            w.VirtualService - least,
			})
		}
	}
	return list
}

// conditions returns what is degraded at this router and why.
func (d *Daemon) conditions(snapshot *configsync.Snapshot, view sched.View) []status.Condition {
	var list []status.Condition
	add := func(kind status.ConditionType, subject, message string) {
		list = append(list, status.Condition{Type: kind, Subject: subject, Message: message})
	}
	if !snapshot.PlatformUp {
		add(status.ConditionPlatformDown, "", "the platform's object service does not answer; once-only work is refused")
	}
	for _, p := range snapshot.Problems {
		add(status.ConditionObjectInvalid, subject(p), p.Message)
	}
	for _, name := range d.unlinkedRouters(snapshot) {
		add(status.ConditionPeersMissing, name, "no link to a router of the platform's list")
	}
	if d.stopping.Load() {
		add(status.ConditionDraining, "", "the router is stopping")
	}
	for _, c := range view.Conditions {
		add(conditionType(c.Type), c.Subject, c.Type)
	}
	return list
}

// subject returns the kind and name of the object that a problem concerns, or an
// empty string if it concerns the platform itself.
func subject(p configsync.Problem) string {
	if p.Name == "" {
		return ""
	}
	return string(p.Kind) + "/" + p.Name
}

func conditionType(name string) status.ConditionType {
	switch name {
	case sched.ConditionEjected:
		return status.ConditionTargetEjected
	case sched.ConditionNoTarget:
		return status.ConditionNoTarget
	default:
		return status.ConditionType(name)
	}
}

// unlinkedRouters returns the other routers of the platform's list that have no
// link to this one.
func (d *Daemon) unlinkedRouters(snapshot *configsync.Snapshot) []string {
	reached := make(map[ids.Instance]bool)
	for _, p := range d.mesh.Live() {
		reached[p.Instance] = true
	}
	var names []string
	for id := range snapshot.Routers {
		if string(id) != d.settings.Instance && !reached[id] {
			names = append(names, string(id))
		}
	}
	return names
}

// isReady reports whether a load balancer may send requests to this router: it
// has a configuration in force and isn't draining.
func (d *Daemon) isReady() bool {
	return d.inForce().Initialized && !d.isDraining()
}

// isDraining reports whether the router is stopping, or is marked as draining by
// the platform's list or by an operator.
func (d *Daemon) isDraining() bool {
	self := d.inForce().Routers[ids.Instance(d.settings.Instance)]
	return d.stopping.Load() || self.State == api.StateDraining
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return info.Main.Version
}
