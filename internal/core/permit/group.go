// Package permit shares out the concurrency of targets among routers. The
// targets of one failure domain that serve the same pools form groups; each
// group has an owner among the live routers, which hands out permits. A router
// sends no more requests to a target than it holds permits for it.
//
// Both sides tell each other cumulative counts (granted, returned), merged by
// maximum. So a lost, repeated or late message does no harm: what an owner
// counts as handed out is never less than what a holder has.
package permit

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// GroupSize is the greatest number of targets that groups are made for.
	GroupSize = 16
	// MaxGroupSize is the number of targets for which a group's masks have bits.
	MaxGroupSize = 64
)

// Member is a target of a group.
type Member struct {
	ID          ids.Target
	Concurrency int
	// Leaving members get no new work.
	Leaving bool
	// Fresh members came after the others and start slowly.
	Fresh bool
}

// Group is a set of targets in one failure domain that serve the same pools.
type Group struct {
	ID      uint32
	Domain  ids.Domain
	Pools   []ids.Pool
	Members []Member
}

// Target is what grouping needs to know of a target.
type Target struct {
	Member
	Domain ids.Domain
	Pools  []ids.Pool
}

// Groups partitions targets into groups, in the order of their ids. The result
// depends only on the set of targets, not on its order.
func Groups(targets []Target) []*Group {
	byClass := map[string][]Target{}
	for _, t := range targets {
		c := classOf(t)
		byClass[c] = append(byClass[c], t)
	}
	var out []*Group
	for c, ts := range byClass {
		out = append(out, split(c, ts)...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func classOf(t Target) string {
	pools := make([]string, 0, len(t.Pools))
	for _, p := range t.Pools {
		pools = append(pools, string(p))
	}
	sort.Strings(pools)
	return string(t.Domain) + "\x00" + strings.Join(pools, "\x00")
}

// split deals the targets of a class into groups by hash, so that a new target
// changes one group only.
func split(class string, ts []Target) []*Group {
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
			out = append(out, newGroup(class, part[:k]))
			part = part[k:]
		}
	}
	return out
}

func newGroup(class string, ts []Target) *Group {
	g := &Group{Domain: ts[0].Domain, Pools: ts[0].Pools}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(class)
	for _, t := range ts {
		_, _ = d.WriteString("\x00" + string(t.ID))
		g.Members = append(g.Members, t.Member)
	}
	g.ID = uint32(d.Sum64())
	return g
}
