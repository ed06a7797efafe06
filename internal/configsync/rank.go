package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// fanOut is how many routers of its failure domain a router relays a change to.
// The routers form a tree, so that no router's share grows with their number.
const fanOut = 2

// Member is a router that can be reached.
type Member struct {
	Instance ids.Instance
	Domain   ids.Domain
	// Draining is set once the router is stopping.
	Draining bool
	// Watcher is set while the router's own watch of the platform works.
	Watcher bool
}

// ranked returns the routers of a failure domain in an order that all of them
// agree on where they see the same members: by rendezvous hash, those that are
// stopping last.
func ranked(domain ids.Domain, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.Domain == domain {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Draining != b.Draining {
			return boolOrder(a.Draining) - boolOrder(b.Draining)
		}
		return cmp.Or(cmp.Compare(score(domain, b), score(domain, a)), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

func score(domain ids.Domain, m Member) uint64 {
	return xxhash.Sum64String(string(domain) + "\x00" + string(m.Instance))
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// position returns the index of an instance; -1 where it is not a member.
func position(order []Member, self ids.Instance) int {
	return slices.IndexFunc(order, func(m Member) bool { return m.Instance == self })
}

// children returns the routers that the one at index i relays to.
func children(order []Member, i int) []Member {
	first := min(fanOut*i+1, len(order))
	last := min(first+fanOut, len(order))
	return order[first:last]
}
