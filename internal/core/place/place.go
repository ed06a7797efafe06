// Package place chooses the target of a request among those with a free permit, and
// ejects targets that fail (outlier ejection). It has no I/O and no clock.
package place

import (
	"math"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
)

// loadBound is the greatest ratio of a target's load to the mean load at which the
// target gets a request because of its prefix cache.
const loadBound = 1.25

// Candidate is a target with a free permit.
type Candidate struct {
	// Hash is the hash of the target's name.
	Hash uint64
	// UsedPermits is the number of permits in use at the target. HeldPermits is the
	// number of permits held for it; it is greater, since at least one is free.
	UsedPermits, HeldPermits int
}

// Choose returns the index of the candidate for a request, or -1 if there is none. A
// request with a prefix goes to the target with the highest rendezvous weight for the
// prefix among those below the load bound. A request without a prefix (prefix is 0) goes
// to the least loaded target. The seed breaks ties.
func Choose(prefix, seed uint64, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	if prefix != 0 {
		if i := byPrefix(prefix, candidates); i >= 0 {
			return i
		}
	}
	return leastLoaded(seed, candidates)
}

// byPrefix implements consistent hashing with bounded loads over rendezvous weights. It
// returns -1 if no candidate is below the bound.
func byPrefix(prefix uint64, candidates []Candidate) int {
	total := 0
	for _, c := range candidates {
		total += c.UsedPermits
	}
	bound := int(math.Ceil(loadBound * float64(total+1) / float64(len(candidates))))
	best, topWeight := -1, uint64(0)
	for i, c := range candidates {
		if c.UsedPermits >= bound {
			continue
		}
		if weight := rendezvous.Mix(prefix ^ c.Hash); best < 0 || weight > topWeight {
			best, topWeight = i, weight
		}
	}
	return best
}

// leastLoaded returns the index of the candidate with the smallest ratio of used to
// held permits.
func leastLoaded(seed uint64, candidates []Candidate) int {
	best := 0
	for i := 1; i < len(candidates); i++ {
		a, b := candidates[i], candidates[best]
		loadA, loadB := a.UsedPermits*b.HeldPermits, b.UsedPermits*a.HeldPermits
		if loadA < loadB || (loadA == loadB && rendezvous.Mix(seed^a.Hash) > rendezvous.Mix(seed^b.Hash)) {
			best = i
		}
	}
	return best
}
