package configsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// fanOut is the number of routers in its failure domain to which a router relays a
// change. The routers form a tree with this fan-out, so the relay work of a router
// does not grow with their number.
const fanOut = 2

// Member is a reachable router.
type Member struct {
	Instance ids.Instance
	Domain   ids.Domain
	// Draining is set if the router is stopping or marked as draining.
	Draining bool
	// Watcher is set if the router watches the platform and its last call succeeded.
	Watcher bool
}

// rankMembers returns the routers of a failure domain ordered by rendezvous hash,
// with draining routers last. Routers that have the same members compute the same
// order.
func rankMembers(domain ids.Domain, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.Domain == domain {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Draining != b.Draining {
			return boolToInt(a.Draining) - boolToInt(b.Draining)
		}
		return cmp.Or(cmp.Compare(score(domain, b), score(domain, a)), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

func score(domain ids.Domain, m Member) uint64 {
	return xxhash.Sum64String(string(domain) + "\x00" + string(m.Instance))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// indexOf returns the index of an instance in order, or -1 if it is absent.
func indexOf(order []Member, self ids.Instance) int {
	return slices.IndexFunc(order, func(m Member) bool { return m.Instance == self })
}

// children returns the routers to which the router at index i relays. The tree has
// the layout of a heap with fanOut children per node.
func children(order []Member, i int) []Member {
	first := min(fanOut*i+1, len(order))
	last := min(first+fanOut, len(order))
	return order[first:last]
}
