package member_test

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
)

const domainCount = 13

func fleet(n int) []member.Candidate {
	out := make([]member.Candidate, n)
	for i := range out {
		out[i] = member.Candidate{
			Instance: ids.Instance(fmt.Sprintf("r%04d", i)),
			Domain:   ids.Domain(fmt.Sprintf("d%02d", i%domainCount)),
		}
	}
	return out
}

func TestSmallFleetIsFullMesh(t *testing.T) {
	g := NewWithT(t)
	all := fleet(8)
	g.Expect(member.SelectPeers(all[3], all, member.DefaultDegree)).To(HaveLen(7))
}

func TestLargeFleetIsBounded(t *testing.T) {
	g := NewWithT(t)
	all, linked := largeFleet()
	for i, c := range all {
		chosen := member.SelectPeers(c, all, member.DefaultDegree)
		g.Expect(chosen).To(HaveLen(member.DefaultDegree.Within + member.DefaultDegree.Across))
		g.Expect(chosen).NotTo(ContainElement(c))
		g.Expect(len(linked[i])).To(BeNumerically("<=", 4*len(chosen)))
	}
}

// Guards against a topology that is partitioned or has long paths: every router
// must reach every other in at most 4 hops, and in at most 5 hops after the loss
// of a failure domain.
func TestLargeFleetStaysConnectedWithoutAFailureDomain(t *testing.T) {
	g := NewWithT(t)
	all, links := largeFleet()
	g.Expect(hops(links, nil)).To(BeNumerically("<=", 4))
	t.Logf("1,200 routers: links per router mean %.1f, max %d; max hops %d", meanLinks(links), mostLinks(links), hops(links, nil))
	isDown := func(i int) bool { return all[i].Domain == "d05" }
	g.Expect(hops(links, isDown)).To(BeNumerically("<=", 5))
}

func TestRemovingARouterChangesFewLinks(t *testing.T) {
	g := NewWithT(t)
	all := fleet(1200)
	changed := 0
	const sampleStep = 8
	for i := 1; i < len(all); i += sampleStep {
		c := all[i]
		before := member.SelectPeers(c, all, member.DefaultDegree)
		after := member.SelectPeers(c, all[1:], member.DefaultDegree)
		for _, x := range after {
			if !contains(before, x) {
				changed++
			}
		}
	}
	g.Expect(changed).To(BeNumerically("<=", 4*(member.DefaultDegree.Within+member.DefaultDegree.Across)/sampleStep))
}

// largeFleet returns a fleet of 1,200 routers and its links in both directions.
var largeFleet = sync.OnceValues(func() ([]member.Candidate, []map[int]bool) {
	all := fleet(1200)
	return all, undirected(all)
})

func meanLinks(links []map[int]bool) float64 {
	sum := 0
	for _, l := range links {
		sum += len(l)
	}
	return float64(sum) / float64(len(links))
}

func mostLinks(links []map[int]bool) int {
	most := 0
	for _, l := range links {
		most = max(most, len(l))
	}
	return most
}

func contains(list []member.Candidate, c member.Candidate) bool {
	for _, x := range list {
		if x == c {
			return true
		}
	}
	return false
}

func undirected(all []member.Candidate) []map[int]bool {
	index := make(map[ids.Instance]int, len(all))
	links := make([]map[int]bool, len(all))
	for i, c := range all {
		index[c.Instance] = i
		links[i] = make(map[int]bool)
	}
	for i, c := range all {
		for _, x := range member.SelectPeers(c, all, member.DefaultDegree) {
			links[i][index[x.Instance]] = true
			links[index[x.Instance]][i] = true
		}
	}
	return links
}

// hops returns the longest shortest path in hops from a sample of routers, or a
// number larger than the fleet if some router is not reached. Routers for which
// isDown returns true are skipped.
func hops(links []map[int]bool, isDown func(int) bool) int {
	longest := 0
	for from := 0; from < len(links); from += 97 {
		if isDown != nil && isDown(from) {
			continue
		}
		longest = max(longest, eccentricity(links, from, isDown))
	}
	return longest
}

func eccentricity(links []map[int]bool, from int, isDown func(int) bool) int {
	dist := map[int]int{from: 0}
	queue := []int{from}
	longest := 0
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for next := range links[at] {
			if _, seen := dist[next]; seen || isDown != nil && isDown(next) {
				continue
			}
			dist[next] = dist[at] + 1
			longest = max(longest, dist[next])
			queue = append(queue, next)
		}
	}
	for i := range links {
		if _, seen := dist[i]; !seen && (isDown == nil || !isDown(i)) {
			return len(links) + 1
		}
	}
	return longest
}

func BenchmarkSelectPeers1200(b *testing.B) {
	all := fleet(1200)
	for b.Loop() {
		member.SelectPeers(all[0], all, member.DefaultDegree)
	}
}
