// Package permit distributes the concurrency of targets among routers, so that
// all routers together do not send a target more requests than it can run. The
// targets of one failure domain that serve the same pools form groups. Each
// group has one owner among the live routers, which grants permits to the
// others, the holders. A router runs no more requests at a target than it holds
// permits for that target.
//
// Contended permits go to the router whose waiting requests have the least
// virtual service: the service that a workspace has received, divided by its
// weight (the virtual time of weighted fair queueing). That least virtual
// service is the floor. The owner recalls permits from routers that are ahead of
// the floor by more than a tolerance.
//
// Owner and holder exchange cumulative counters (granted, returned) and merge
// them by maximum, so lost, duplicated and reordered messages are harmless.
//
// Invariant: the number of permits that an owner counts as outstanding at a
// holder is never less than the number that the holder has.
package permit

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// GroupSize is the greatest mean number of targets per group.
	GroupSize = 16
	// MaxGroupSize is the greatest number of targets in a group: the width in
	// bits of the member masks.
	MaxGroupSize = 64
)

// Member is a target of a group.
type Member struct {
	ID          ids.Target
	Concurrency int
	// Draining is set while the target drains; it is sent no new requests.
	Draining bool
	// SlowStart is set for a target that was added to a running fleet; its
	// limit starts at a share of its concurrency.
	SlowStart bool
}

// Group is a set of targets in one failure domain that serve the same pools.
type Group struct {
	ID      uint32
	Domain  ids.Domain
	Pools   []ids.Pool
	Members []Member
}

// Target is a target with the attributes by which targets are grouped.
type Target struct {
	Member
	Domain ids.Domain
	Pools  []ids.Pool
}

// Groups partitions targets into groups and returns them in the order of their
// IDs. The result depends on the set of targets only, not on their order, so
// that all routers compute the same groups.
func Groups(targets []Target) []*Group {
	byKey := map[string][]Target{}
	for _, t := range targets {
		k := groupingKey(t)
		byKey[k] = append(byKey[k], t)
	}
	var out []*Group
	for k, ts := range byKey {
		out = append(out, split(k, ts)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// groupingKey returns a key that targets of the same failure domain and pools
// share.
func groupingKey(t Target) string {
	pools := make([]string, 0, len(t.Pools))
	for _, p := range t.Pools {
		pools = append(pools, string(p))
	}
	sort.Strings(pools)
	return string(t.Domain) + "\x00" + strings.Join(pools, "\x00")
}

// split partitions the targets of a grouping key by hash, so that a new target
// changes one group only, unless it makes the number of parts double.
func split(key string, ts []Target) []*Group {
	n := 1
	for n*GroupSize < len(ts) {
		n *= 2
	}
	parts := make([][]Target, n)
	for _, t := range ts {
		i := rendezvous.Mix(xxhash.Sum64String(string(t.ID))) % uint64(n)
		parts[i] = append(parts[i], t)
	}
	var out []*Group
	for _, part := range parts {
		sort.Slice(part, func(i, j int) bool { return part[i].ID < part[j].ID })
		for len(part) > 0 {
			k := min(len(part), MaxGroupSize)
			out = append(out, newGroup(key, part[:k]))
			part = part[k:]
		}
	}
	return out
}

func newGroup(key string, ts []Target) *Group {
	g := &Group{Domain: ts[0].Domain, Pools: ts[0].Pools}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	for _, t := range ts {
		_, _ = d.WriteString("\x00" + string(t.ID))
		g.Members = append(g.Members, t.Member)
	}
	g.ID = uint32(d.Sum64())
	return g
}
