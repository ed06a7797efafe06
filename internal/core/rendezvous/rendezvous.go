// Package rendezvous assigns each key to one router of a set by rendezvous
// hashing (highest random weight). It lets routers agree on the owner of a key
// without communication.
//
// Invariants: all routers that have the same set pick the same router for a key,
// and a change of the set moves only the keys of the routers that were removed or
// added.
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

// New returns a set of the named routers.
func New(names []ids.Instance) *Set {
	s := &Set{members: make([]member, 0, len(names))}
	for _, n := range names {
		s.members = append(s.members, member{name: n, hash: xxhash.Sum64String(string(n))})
	}
	return s
}

// Len returns the number of routers in the set.
func (s *Set) Len() int { return len(s.members) }

// Pick returns the router of a key, or "" for an empty set. Its run time is linear
// in the size of the set; callers cache the result until the set changes.
func (s *Set) Pick(key uint64) ids.Instance {
	var best ids.Instance
	var bestWeight uint64
	for _, m := range s.members {
		weight := Mix(key ^ m.hash)
		if best == "" || weight > bestWeight || (weight == bestWeight && m.name < best) {
			best, bestWeight = m.name, weight
		}
	}
	return best
}

// Mix hashes a 64-bit value with the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
