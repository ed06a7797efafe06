package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Candidate is a router that this router may link to.
type Candidate struct {
	Instance ids.Instance
	Domain   ids.Domain
}

// Degree is the number of links that a router opens itself.
type Degree struct {
	// Within is the number of links within the router's own failure domain.
	Within int
	// Across is the number of links to other failure domains, distributed evenly
	// over them.
	Across int
}

// DefaultDegree is the degree of a router that has more than MaxFullMeshPeers
// candidates. With no more than that, the fleet is a full mesh.
var DefaultDegree = Degree{Within: 8, Across: 8}

// MaxFullMeshPeers is the largest number of other routers up to which each router
// links to all of them.
const MaxFullMeshPeers = 24

// SelectPeers returns the routers that self links to, sorted by name. Up to
// MaxFullMeshPeers candidates it returns all of them. Above that it returns a
// bounded set by rendezvous hashing: the degree.Within candidates with the highest
// scores in the router's own domain, and degree.Across from the other domains in
// round-robin order. Adding a candidate changes only the links to it and the links that
// it replaces; removing one changes only the links to it and those that replace them.
func SelectPeers(self Candidate, candidates []Candidate, degree Degree) []Candidate {
	others := withoutSelf(self, candidates)
	if len(others) <= MaxFullMeshPeers {
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

// roundRobin takes the candidate with the highest remaining score from each domain
// in turn until it has n candidates. The order of the domains differs between
// routers, so that every domain gets links even if there are more domains than n.
func roundRobin(self Candidate, byDomain map[ids.Domain][]Candidate, n int) []Candidate {
	domains := make([]ids.Domain, 0, len(byDomain))
	for d := range byDomain {
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
			if round < len(byDomain[d]) && len(chosen) < n {
				chosen = append(chosen, byDomain[d][round])
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
