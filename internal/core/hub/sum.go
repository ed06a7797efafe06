package hub

import (
	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
)

// Sum adds reports up. Keys of cached parts are not in the sum: each is
// sent on once.
func Sum(reports []*fleetv1.Report) *fleetv1.Report {
	targets := make(map[string]*fleetv1.TargetLoad)
	backlogs := make(map[string]*fleetv1.Backlog)
	workspaces := make(map[string]*fleetv1.WorkspaceUse)
	out := new(fleetv1.Report)
	for _, r := range reports {
		for _, t := range r.GetTargets() {
			sum := targets[t.GetTarget()]
			if sum == nil {
				sum = &fleetv1.TargetLoad{Target: t.GetTarget()}
				targets[t.GetTarget()] = sum
				out.Targets = append(out.Targets, sum)
			}
			sum.Running += t.GetRunning()
			sum.Pending += t.GetPending()
			sum.Memory += t.GetMemory()
		}
		for _, b := range r.GetBacklogs() {
			sum := backlogs[b.GetService()]
			if sum == nil {
				sum = &fleetv1.Backlog{Service: b.GetService()}
				backlogs[b.GetService()] = sum
				out.Backlogs = append(out.Backlogs, sum)
			}
			sum.Requests += b.GetRequests()
			sum.Tokens += b.GetTokens()
		}
		for _, w := range r.GetWorkspaces() {
			sum := workspaces[w.GetWorkspace()]
			if sum == nil {
				sum = &fleetv1.WorkspaceUse{Workspace: w.GetWorkspace()}
				workspaces[w.GetWorkspace()] = sum
				out.Workspaces = append(out.Workspaces, sum)
			}
			sum.Asked += w.GetAsked()
			sum.Started += w.GetStarted()
		}
	}
	return out
}

// CachedKeys are the keys of cached parts by target that were not yet sent on.
type CachedKeys map[string][]uint64

// maxKeys, several reports' worth, bounds the keys collected for one target.
const maxKeys = 1024

// Collect adds the keys of a report.
func (k CachedKeys) Collect(r *fleetv1.Report) {
	for _, t := range r.GetTargets() {
		if keys := t.GetCached(); len(keys) > 0 && len(k[t.GetTarget()]) < maxKeys {
			k[t.GetTarget()] = append(k[t.GetTarget()], keys...)
		}
	}
}

// AttachTo puts the keys into a sum.
func (k CachedKeys) AttachTo(sum *fleetv1.Report) {
	for _, t := range sum.GetTargets() {
		t.Cached = append(t.Cached, k[t.GetTarget()]...)
	}
	have := make(map[string]bool, len(sum.GetTargets()))
	for _, t := range sum.GetTargets() {
		have[t.GetTarget()] = true
	}
	for target, keys := range k {
		if !have[target] {
			sum.Targets = append(sum.Targets, &fleetv1.TargetLoad{Target: target, Cached: keys})
		}
	}
}
