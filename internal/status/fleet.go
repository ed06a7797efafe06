package status

import (
	"cmp"
	"slices"
	"time"
)

// Response is the result of the status call to one router.
type Response struct {
	Instance string
	// Router is the status of the router; nil if it did not answer.
	Router *Router
	// Error says why the router did not answer.
	Error string
}

// Fleet is the status of all routers, merged.
type Fleet struct {
	At time.Time `json:"at"`
	// Routers holds the routers that answered, in the order of their names.
	Routers []Router `json:"routers"`
	// Unresponsive holds the routers that did not answer.
	Unresponsive []UnresponsiveRouter `json:"silent,omitempty"`
	// Revision is the newest configuration revision in force on any router.
	Revision uint64 `json:"revision"`
	// InForce reports whether Revision is in force on all routers that answered.
	InForce bool `json:"in_force"`

	Targets    []FleetTarget `json:"targets"`
	Workspaces []Workspace   `json:"workspaces"`
	Quarantine []Quarantined `json:"quarantine,omitempty"`
	Conditions []Condition   `json:"conditions,omitempty"`
}

// UnresponsiveRouter is a router that did not answer.
type UnresponsiveRouter struct {
	Instance string `json:"instance"`
	Error    string `json:"error"`
}

// FleetTarget is the state of a target, merged over the routers.
type FleetTarget struct {
	Target      string `json:"target"`
	Domain      string `json:"domain"`
	Owner       string `json:"owner,omitempty"`
	Concurrency int    `json:"concurrency"`
	Permits     int    `json:"permits"`
	InFlight    int    `json:"in_flight"`
	// Draining is set if a router reports that the target takes no new requests.
	Draining bool `json:"leaving,omitempty"`
	// EjectedBy names the routers that have temporarily ejected the target as an
	// outlier.
	EjectedBy []string `json:"ejected_by,omitempty"`
}

// Merge merges the responses of the routers into the status of the fleet.
func Merge(responses []Response, at time.Time) Fleet {
	fleet := Fleet{At: at, InForce: true, Routers: []Router{}}
	for _, r := range responses {
		if r.Router == nil {
			fleet.Unresponsive = append(fleet.Unresponsive, UnresponsiveRouter{Instance: r.Instance, Error: r.Error})
			continue
		}
		fleet.Routers = append(fleet.Routers, *r.Router)
	}
	slices.SortFunc(fleet.Routers, func(a, b Router) int { return cmp.Compare(a.Instance, b.Instance) })
	slices.SortFunc(fleet.Unresponsive, func(a, b UnresponsiveRouter) int { return cmp.Compare(a.Instance, b.Instance) })
	for _, r := range fleet.Routers {
		fleet.Revision = max(fleet.Revision, r.Revision)
	}
	for _, r := range fleet.Routers {
		fleet.InForce = fleet.InForce && r.Revision == fleet.Revision
	}
	fleet.Targets = mergeTargets(fleet.Routers)
	fleet.Workspaces = mergeWorkspaces(fleet.Routers)
	fleet.Quarantine = mergeQuarantine(fleet.Routers)
	fleet.Conditions = mergeConditions(fleet.Routers)
	return fleet
}

func mergeTargets(routers []Router) []FleetTarget {
	byID := make(map[string]*FleetTarget)
	for _, r := range routers {
		for _, t := range r.Targets {
			sum := byID[t.Target]
			if sum == nil {
				sum = &FleetTarget{Target: t.Target, Domain: t.Domain}
				byID[t.Target] = sum
			}
			sum.Owner = cmp.Or(sum.Owner, t.Owner)
			sum.Concurrency = max(sum.Concurrency, t.Concurrency)
			sum.Permits += t.Permits
			sum.InFlight += t.InFlight
			sum.Draining = sum.Draining || t.Draining
			if t.Ejected {
				sum.EjectedBy = append(sum.EjectedBy, r.Instance)
			}
		}
	}
	return sorted(byID, func(a, b FleetTarget) int { return cmp.Compare(a.Target, b.Target) })
}

type workspacePool struct{ workspace, pool string }

func mergeWorkspaces(routers []Router) []Workspace {
	byKey := make(map[workspacePool]*Workspace)
	for _, r := range routers {
		for _, w := range r.Workspaces {
			key := workspacePool{w.Workspace, w.Pool}
			sum := byKey[key]
			if sum == nil {
				sum = &Workspace{Workspace: w.Workspace, Pool: w.Pool, Weight: w.Weight}
				byKey[key] = sum
			}
			sum.Waiting += w.Waiting
			sum.Running += w.Running
			sum.Units = max(sum.Units, w.Units)
			sum.OldestSeconds = max(sum.OldestSeconds, w.OldestSeconds)
			sum.VirtualService = max(sum.VirtualService, w.VirtualService)
		}
	}
	merged := sorted(byKey, func(a, b Workspace) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Workspace, b.Workspace))
	})
	setFairnessGaps(merged)
	return merged
}

// setFairnessGaps sets the gap of each backlogged workspace: its virtual service
// above the lowest of the backlogged workspaces of the same pool. Workspaces
// without waiting requests have a gap of 0.
func setFairnessGaps(workspaces []Workspace) {
	least := make(map[string]float64)
	for _, w := range workspaces {
		if w.Waiting == 0 {
			continue
		}
		if v, ok := least[w.Pool]; !ok || w.VirtualService < v {
			least[w.Pool] = w.VirtualService
		}
	}
	for i := range workspaces {
		if workspaces[i].Waiting > 0 {
			workspaces[i].Gap = workspaces[i].VirtualService - least[workspaces[i].Pool]
		}
	}
}

func mergeQuarantine(routers []Router) []Quarantined {
	byKey := make(map[string]*Quarantined)
	for _, r := range routers {
		for _, q := range r.Quarantine {
			sum := byKey[q.Fingerprint]
			if sum == nil || q.Crashes > sum.Crashes {
				byKey[q.Fingerprint] = &q
			}
		}
	}
	return sorted(byKey, func(a, b Quarantined) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

type conditionKey struct {
	kind    ConditionType
	subject string
}

func mergeConditions(routers []Router) []Condition {
	byKey := make(map[conditionKey]*Condition)
	for _, r := range routers {
		for _, c := range r.Conditions {
			key := conditionKey{c.Type, c.Subject}
			sum := byKey[key]
			if sum == nil {
				sum = &Condition{Type: c.Type, Subject: c.Subject, Message: c.Message}
				byKey[key] = sum
			}
			sum.Routers = append(sum.Routers, r.Instance)
		}
	}
	return sorted(byKey, func(a, b Condition) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Subject, b.Subject))
	})
}

func sorted[K comparable, V any](by map[K]*V, order func(a, b V) int) []V {
	list := make([]V, 0, len(by))
	for _, v := range by {
		list = append(list, *v)
	}
	slices.SortFunc(list, order)
	return list
}
