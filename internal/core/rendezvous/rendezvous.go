// Package rendezvous picks one router of a set for each key by highest random
// weight: all routers that know the same set pick the same one, and a change
// of the set moves only the keys of the routers that left or came.
package rendezvous

import (
	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Set is an immutable set of routers.
type Set struct {
	members []member
}

type member struct {
	name ids.Instance
	hash uint64
}

// New returns the set of the given routers.
func New(names []ids.Instance) *Set {
	s := &Set{members: make([]member, 0, len(names))}
	for _, n := range names {
		s.members = append(s.members, member{name: n, hash: xxhash.Sum64String(string(n))})
	}
	return s
}

// Len returns the number of routers.
func (s *Set) Len() int { return len(s.members) }

// Pick returns the router of a key, or "" for an empty set. It takes time
// linear in the set; callers keep the result until the set changes.
func (s *Set) Pick(key uint64) ids.Instance {
	var best ids.Instance
	var top uint64
	for _, m := range s.members {
		w := Mix(key ^ m.hash)
		if best == "" || w > top || (w == top && m.name < best) {
			best, top = m.name, w
		}
	}
	return best
}

// Mix scrambles a 64-bit value (the finalizer of splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
