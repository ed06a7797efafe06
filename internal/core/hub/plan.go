// Package hub plans how routers exchange load reports. A small fleet is a full
// mesh. In a large fleet each failure domain has hubs: routers report to the hubs
// of their own domain, and hubs exchange the sums of their domains and send the
// fleet's total back. The number of links and messages per router then does not
// grow with the fleet.
//
// Invariant: all routers that have the same list of routers compute the same hubs.
package hub

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// MaxFullMeshRouters is the largest number of routers on the fleet's list with
	// which all link to each other. The reports of a full mesh grow with the square of
	// the fleet, and small routers have links of 10 Mbit/s.
	MaxFullMeshRouters = 12
	// PerDomain is the number of hubs in a failure domain. With two, one may fail.
	PerDomain = 2
)

// Router is an entry in the fleet's list of routers.
type Router struct {
	Instance ids.Instance
	Domain   ids.Domain
	// Capacity is the router's share of processors. Routers with a larger capacity
	// are preferred as hubs.
	Capacity float64
}

// Plan is a router's role and links in the exchange of reports.
type Plan struct {
	// FullMesh is true if every router reports directly to every other.
	FullMesh bool
	// Hub is true if this router is a hub.
	Hub bool
	// Hubs are the hubs of each domain, the preferred one first.
	Hubs map[ids.Domain][]ids.Instance
	// Links are the routers that this one dials.
	Links []ids.Instance
}

// IsFollower reports whether this router receives the fleet's state from hubs.
func (p *Plan) IsFollower() bool { return !p.FullMesh && !p.Hub }

// NewPlan returns the plan of self, which need not be on the list.
func NewPlan(self Router, all []Router) Plan {
	if len(all) <= MaxFullMeshRouters {
		p := Plan{FullMesh: true}
		for _, r := range all {
			if r.Instance != self.Instance {
				p.Links = append(p.Links, r.Instance)
			}
		}
		return p
	}
	p := Plan{Hubs: selectHubs(all)}
	p.Hub = slices.Contains(p.Hubs[self.Domain], self.Instance)
	for domain, list := range p.Hubs {
		if !p.Hub && domain != self.Domain {
			continue
		}
		for _, h := range list {
			if h != self.Instance {
				p.Links = append(p.Links, h)
			}
		}
	}
	slices.Sort(p.Links)
	return p
}

// selectHubs returns the hubs of each domain: the routers with the largest
// capacity, and among equals those with the largest hash weight.
func selectHubs(all []Router) map[ids.Domain][]ids.Instance {
	byDomain := make(map[ids.Domain][]Router)
	for _, r := range all {
		byDomain[r.Domain] = append(byDomain[r.Domain], r)
	}
	out := make(map[ids.Domain][]ids.Instance, len(byDomain))
	for domain, list := range byDomain {
		slices.SortFunc(list, func(a, b Router) int {
			if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
				return c
			}
			if c := cmp.Compare(weight(b.Instance), weight(a.Instance)); c != 0 {
				return c
			}
			return cmp.Compare(a.Instance, b.Instance)
		})
		for _, r := range list[:min(PerDomain, len(list))] {
			out[domain] = append(out[domain], r.Instance)
		}
	}
	return out
}

func weight(i ids.Instance) uint64 { return rendezvous.Mix(xxhash.Sum64String(string(i))) }

// PreferredHub returns the first live hub of a domain, or "" if none is live.
func (p *Plan) PreferredHub(domain ids.Domain, isLive func(ids.Instance) bool) ids.Instance {
	for _, h := range p.Hubs[domain] {
		if isLive(h) {
			return h
		}
	}
	return ""
}

// HubsKey returns a hash of the hubs of a domain, 0 if there are none.
func (p *Plan) HubsKey(domain ids.Domain) uint64 {
	var key uint64
	for _, h := range p.Hubs[domain] {
		key = rendezvous.Mix(key ^ xxhash.Sum64String(string(h)))
	}
	return key
}

// IsHub reports whether a router is a hub of a domain.
func (p *Plan) IsHub(domain ids.Domain, i ids.Instance) bool {
	return slices.Contains(p.Hubs[domain], i)
}
