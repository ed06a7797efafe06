// Package place chooses the target of a request among those with a free
// permit, and keeps requests from targets that fail.
package place

import (
	"math"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
)

// loadBound is how far above the mean a target's load may go for the sake of
// its prompt cache.
const loadBound = 1.25

// Candidate is a target with a free permit.
type Candidate struct {
	// Hash of the target's name.
	Hash uint64
	// UsedPermits permits and HeldPermits ones, at least one more than used.
	UsedPermits, HeldPermits int
}

// Choose returns the index of the candidate for a request, or -1 if there is
// none. A request with a prefix goes to the target that its prefix maps to,
// the next in its own order if that is above the load bound; one without goes
// to the least loaded. Seed breaks ties.
func Choose(prefix, seed uint64, cs []Candidate) int {
	if len(cs) == 0 {
		return -1
	}
	if prefix != 0 {
		if i := byPrefix(prefix, cs); i >= 0 {
			return i
		}
	}
	return leastLoaded(seed, cs)
}

// byPrefix is consistent hashing with bounded loads over rendezvous weights.
func byPrefix(prefix uint64, cs []Candidate) int {
	total := 0
	for _, c := range cs {
		total += c.UsedPermits
	}
	bound := int(math.Ceil(loadBound * float64(total+1) / float64(len(cs))))
	best, top := -1, uint64(0)
	for i, c := range cs {
		if c.UsedPermits >= bound {
			continue
		}
		if w := rendezvous.Mix(prefix ^ c.Hash); best < 0 || w > top {
			best, top = i, w
		}
	}
	return best
}

func leastLoaded(seed uint64, cs []Candidate) int {
	best := 0
	for i := 1; i < len(cs); i++ {
		a, b := cs[i], cs[best]
		x, y := a.UsedPermits*b.HeldPermits, b.UsedPermits*a.HeldPermits
		if x < y || (x == y && rendezvous.Mix(seed^a.Hash) > rendezvous.Mix(seed^b.Hash)) {
			best = i
		}
	}
	return best
}
