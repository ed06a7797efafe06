package hub_test

import (
	"fmt"
	"testing"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/ids"
)

// fleet returns routers of capacity 0.2, and one of 0.8 in each domain.
func fleet(domains, perDomain int) []hub.Router {
	var all []hub.Router
	for d := range domains {
		for i := range perDomain {
			r := hub.Router{Instance: ids.Instance(fmt.Sprintf("r-%d-%d", d, i)), Domain: ids.Domain(fmt.Sprint(d)), Capacity: 0.2}
			if i == perDomain-1 {
				r.Capacity = 0.8
			}
			all = append(all, r)
		}
	}
	return all
}

func TestSmallFleetIsAFullMesh(t *testing.T) {
	all := fleet(3, 4)
	p := hub.NewPlan(all[0], all)
	if !p.FullMesh || len(p.Links) != len(all)-1 {
		t.Errorf("plan %+v, want a full mesh with a link to every other router", p)
	}
}

func TestLinksDoNotGrowWithTheFleet(t *testing.T) {
	for _, perDomain := range []int{10, 27, 400} {
		all := fleet(3, perDomain)
		hubs := 0
		for _, r := range all {
			p := hub.NewPlan(r, all)
			want := hub.PerDomain
			if p.Hub {
				hubs++
				want = 3*hub.PerDomain - 1
			}
			if p.FullMesh || len(p.Links) != want {
				t.Fatalf("router %s in a fleet of %d: %d links, want %d and no full mesh", r.Instance, len(all), len(p.Links), want)
			}
		}
		if hubs != 3*hub.PerDomain {
			t.Errorf("%d hubs in a fleet of %d routers, want hub.PerDomain in each domain", hubs, len(all))
		}
	}
}

func TestLargestRouterIsPreferredHubAndTheNextTakesOver(t *testing.T) {
	all := fleet(2, 20)
	p := hub.NewPlan(all[0], all)
	if p.Hubs["0"][0] != "r-0-19" {
		t.Errorf("hubs %v, want r-0-19 first in domain 0", p.Hubs)
	}
	second := p.PreferredHub("0", func(i ids.Instance) bool { return i != "r-0-19" })
	if second != p.Hubs["0"][1] {
		t.Errorf("preferred hub %q while the first is down, want the second", second)
	}
	if got := p.PreferredHub("0", func(ids.Instance) bool { return false }); got != "" {
		t.Errorf("preferred hub %q while all are down, want none", got)
	}
}

func TestSumAddsLoadsAndKeysAreForwardedOnce(t *testing.T) {
	a := &fleetv1.Report{
		Targets:    []*fleetv1.TargetLoad{{Target: "x", Running: 1, Pending: 10, Memory: 5, Cached: []uint64{7}}},
		Workspaces: []*fleetv1.WorkspaceUse{{Workspace: "w", Asked: 3, Started: 2}},
	}
	b := &fleetv1.Report{
		Targets:    []*fleetv1.TargetLoad{{Target: "x", Running: 2}, {Target: "y", Running: 4}},
		Backlogs:   []*fleetv1.Backlog{{Service: "s", Requests: 2, Tokens: 9}},
		Workspaces: []*fleetv1.WorkspaceUse{{Workspace: "w", Asked: 1}},
	}
	sum := hub.Sum([]*fleetv1.Report{a, b})
	if len(sum.Targets) != 2 || sum.Targets[0].Running != 3 || sum.Targets[0].Pending != 10 || len(sum.Targets[0].Cached) != 0 {
		t.Errorf("targets %v, want x and y with x running 3, pending 10 and no cached keys", sum.Targets)
	}
	if sum.Backlogs[0].Tokens != 9 || sum.Workspaces[0].Asked != 4 {
		t.Errorf("sum %v, want a backlog of 9 tokens and 4 tokens asked", sum)
	}
	keys := make(hub.CachedKeys)
	keys.Collect(a)
	keys.Collect(&fleetv1.Report{Targets: []*fleetv1.TargetLoad{{Target: "z", Cached: []uint64{8}}}})
	keys.AddTo(sum)
	if len(sum.Targets) != 3 || sum.Targets[0].Cached[0] != 7 || sum.Targets[2].Cached[0] != 8 {
		t.Errorf("targets with keys %v, want key 7 at x and key 8 at a third target", sum.Targets)
	}
}
