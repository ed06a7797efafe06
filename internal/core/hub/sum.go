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
			sum, first := entry(targets, t.GetTarget())
			if first {
				sum.Target = t.GetTarget()
				out.Targets = append(out.Targets, sum)
			}
			sum.Running += t.GetRunning()
			sum.Pending += t.GetPending()
			sum.Memory += t.GetMemory()
		}
		for _, b := range r.GetBacklogs() {
			sum, first := entry(backlogs, b.GetService())
			if first {
				sum.Service = b.GetService()
				out.Backlogs = append(out.Backlogs, sum)
			}
			sum.Requests += b.GetRequests()
			sum.Tokens += b.GetTokens()
		}
		for _, w := range r.GetWorkspaces() {
			sum, first := entry(workspaces, w.GetWorkspace())
			if first {
				sum.Workspace = w.GetWorkspace()
				out.Workspaces = append(out.Workspaces, sum)
			}
			sum.Asked += w.GetAsked()
			sum.Started += w.GetStarted()
		}
	}
	return out
}

// entry returns what a map holds for a name, a new zero value where it holds nothing.
func entry[T any](m map[string]*T, name string) (sum *T, first bool) {
	if sum = m[name]; sum != nil {
		return sum, false
	}
	sum = new(T)
	m[name] = sum
	return sum, true
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
