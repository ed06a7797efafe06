package hub

import (
	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
)

// Sum returns the sum of reports. It leaves out the keys of cached prompt parts,
// because each key is forwarded only once; see CachedKeys.
func Sum(reports []*fleetv1.Report) *fleetv1.Report {
	targets := make(map[string]*fleetv1.TargetLoad)
	backlogs := make(map[string]*fleetv1.Backlog)
	workspaces := make(map[string]*fleetv1.WorkspaceUse)
	out := new(fleetv1.Report)
	for _, r := range reports {
		for _, t := range r.GetTargets() {
			sum, first := getOrAdd(targets, t.GetTarget())
			if first {
				sum.Target = t.GetTarget()
				out.Targets = append(out.Targets, sum)
			}
			sum.Running += t.GetRunning()
			sum.Pending += t.GetPending()
			sum.Memory += t.GetMemory()
		}
		for _, b := range r.GetBacklogs() {
			sum, first := getOrAdd(backlogs, b.GetService())
			if first {
				sum.Service = b.GetService()
				out.Backlogs = append(out.Backlogs, sum)
			}
			sum.Requests += b.GetRequests()
			sum.Tokens += b.GetTokens()
		}
		for _, w := range r.GetWorkspaces() {
			sum, first := getOrAdd(workspaces, w.GetWorkspace())
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

// getOrAdd returns the value for a name in m. If there is none, it adds a new zero
// value and returns first as true.
func getOrAdd[T any](m map[string]*T, name string) (sum *T, first bool) {
	if sum = m[name]; sum != nil {
		return sum, false
	}
	sum = new(T)
	m[name] = sum
	return sum, true
}

// CachedKeys are the keys of cached prompt parts by target that have not yet been
// forwarded.
type CachedKeys map[string][]uint64

// maxKeysPerTarget bounds the keys collected for one target. It is several times
// the number of keys in a report.
const maxKeysPerTarget = 1024

// Collect adds the keys of a report.
func (k CachedKeys) Collect(r *fleetv1.Report) {
	for _, t := range r.GetTargets() {
		if keys := t.GetCached(); len(keys) > 0 && len(k[t.GetTarget()]) < maxKeysPerTarget {
			k[t.GetTarget()] = append(k[t.GetTarget()], keys...)
		}
	}
}

// AddTo adds the keys to the targets of a sum.
func (k CachedKeys) AddTo(sum *fleetv1.Report) {
	for _, t := range sum.GetTargets() {
		t.Cached = append(t.Cached, k[t.GetTarget()]...)
	}
	listed := make(map[string]bool, len(sum.GetTargets()))
	for _, t := range sum.GetTargets() {
		listed[t.GetTarget()] = true
	}
	for target, keys := range k {
		if !listed[target] {
			sum.Targets = append(sum.Targets, &fleetv1.TargetLoad{Target: target, Cached: keys})
		}
	}
}
