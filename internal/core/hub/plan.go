// Package hub plans how routers tell each other their load. A small fleet is a
// full mesh. In a large one each failure domain has hubs: routers report to the
// hubs of their own domain, hubs exchange the sums of their domains and send the
// fleet's total back. Links and messages of a router then do not grow with the
// fleet. All routers that know the same list plan the same.
package hub

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// FullMesh is the largest number of routers that all link to each other: the
	// number up to which links are kept to all (core/member).
	FullMesh = 24
	// PerDomain is the number of hubs in a failure domain, so that one may fail.
	PerDomain = 2
)

// Router is a router of the fleet's list.
type Router struct {
	Instance ids.Instance
	Domain   ids.Domain
	// Capacity is the share of processors that it has; larger ones become hubs.
	Capacity float64
}

// Plan is a router's part in the exchange.
type Plan struct {
	// Direct is set in a full mesh: everyone reports to everyone.
	Direct bool
	// Hub is set where this router is one.
	Hub bool
	// Hubs of each domain, the preferred one first.
	Hubs map[ids.Domain][]ids.Instance
	// Links are the routers that this one dials.
	Links []ids.Instance
}

// Follows tells whether this router leaves it to hubs to keep it up to date.
func (p *Plan) Follows() bool { return !p.Direct && !p.Hub }

// Choose plans for self, which need not be on the list.
func Choose(self Router, all []Router) Plan {
	if len(all) <= FullMesh {
		p := Plan{Direct: true}
		for _, r := range all {
			if r.Instance != self.Instance {
				p.Links = append(p.Links, r.Instance)
			}
		}
		return p
	}
	p := Plan{Hubs: hubs(all)}
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

func hubs(all []Router) map[ids.Domain][]ids.Instance {
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

// Preferred returns the first hub of a domain that is live, or "".
func (p *Plan) Preferred(domain ids.Domain, live func(ids.Instance) bool) ids.Instance {
	for _, h := range p.Hubs[domain] {
		if live(h) {
			return h
		}
	}
	return ""
}

// IsHub tells whether a router is a hub of a domain.
func (p *Plan) IsHub(domain ids.Domain, i ids.Instance) bool {
	return slices.Contains(p.Hubs[domain], i)
}
