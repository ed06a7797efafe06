package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Candidate is a router that this one may link to.
type Candidate struct {
	Instance ids.Instance
	Domain   ids.Domain
}

// Degree bounds the links that a router opens by itself.
type Degree struct {
	// Within the router's own failure domain.
	Within int
	// Across to other failure domains, spread evenly over them.
	Across int
}

// DefaultDegree keeps a full mesh up to FullMesh routers in the fleet.
var DefaultDegree = Degree{Within: 8, Across: 8}

// FullMesh is the largest number of other routers to which all link.
const FullMesh = 24

// Choose returns the routers that self links to, by name. Up to FullMesh
// candidates it is all of them. Above, it is a bounded set by rendezvous
// hashing: the Within best of the own domain and the Across best elsewhere,
// one domain after the other. A candidate that comes or goes changes only the
// places that it takes or leaves.
func Choose(self Candidate, candidates []Candidate, degree Degree) []Candidate {
	others := withoutSelf(self, candidates)
	if len(others) <= FullMesh {
		sortByName(others)
		return others
	}
	sortByScore(self, others)
	var within []Candidate
	across := make(map[ids.Domain][]Candidate)
	for _, c := range others {
		if c.Domain == self.Domain {
			within = append(within, c)
			continue
		}
		across[c.Domain] = append(across[c.Domain], c)
	}
	chosen := within[:min(degree.Within, len(within))]
	chosen = append(slices.Clone(chosen), roundRobin(self, across, degree.Across)...)
	sortByName(chosen)
	return chosen
}

// roundRobin takes the best of each domain in turn until n are taken. The
// domains' order differs for each router, so that all domains get links where
// there are more domains than places.
func roundRobin(self Candidate, by map[ids.Domain][]Candidate, n int) []Candidate {
	domains := make([]ids.Domain, 0, len(by))
	for d := range by {
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b ids.Domain) int {
		return cmp.Or(
			cmp.Compare(score(self.Instance, string(b)), score(self.Instance, string(a))),
			cmp.Compare(a, b),
		)
	})
	var chosen []Candidate
	for round := 0; len(chosen) < n; round++ {
		taken := len(chosen)
		for _, d := range domains {
			if round < len(by[d]) && len(chosen) < n {
				chosen = append(chosen, by[d][round])
			}
		}
		if len(chosen) == taken {
			break
		}
	}
	return chosen
}

func withoutSelf(self Candidate, candidates []Candidate) []Candidate {
	others := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Instance != self.Instance {
			others = append(others, c)
		}
	}
	return others
}

func sortByName(candidates []Candidate) {
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Instance, b.Instance) })
}

func sortByScore(self Candidate, candidates []Candidate) {
	type scored struct {
		Candidate
		score uint64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{c, score(self.Instance, string(c.Instance))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Instance, b.Instance))
	})
	for i, c := range list {
		candidates[i] = c.Candidate
	}
}

func score(self ids.Instance, other string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(self))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(other)
	return d.Sum64()
}
