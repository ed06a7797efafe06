package hub_test

import (
	"fmt"
	"testing"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/ids"
)

func fleet(domains, each int) []hub.Router {
	var all []hub.Router
	for d := range domains {
		for i := range each {
			r := hub.Router{Instance: ids.Instance(fmt.Sprintf("r-%d-%d", d, i)), Domain: ids.Domain(fmt.Sprint(d)), Capacity: 0.2}
			if i == each-1 {
				r.Capacity = 0.8
			}
			all = append(all, r)
		}
	}
	return all
}

func TestSmallFleetIsAFullMesh(t *testing.T) {
	all := fleet(3, 8)
	p := hub.Choose(all[0], all)
	if !p.Direct || len(p.Links) != len(all)-1 {
		t.Errorf("plan %+v", p)
	}
}

func TestLinksDoNotGrowWithTheFleet(t *testing.T) {
	for _, each := range []int{10, 27, 400} {
		all := fleet(3, each)
		hubs := 0
		for _, r := range all {
			p := hub.Choose(r, all)
			want := hub.PerDomain
			if p.Hub {
				hubs++
				want = 3*hub.PerDomain - 1
			}
			if p.Direct || len(p.Links) != want {
				t.Fatalf("%s of %d: %d links, want %d", r.Instance, len(all), len(p.Links), want)
			}
		}
		if hubs != 3*hub.PerDomain {
			t.Errorf("%d hubs in a fleet of %d", hubs, len(all))
		}
	}
}

func TestLargerRoutersBecomeHubsAndTheNextTakesOver(t *testing.T) {
	all := fleet(2, 20)
	p := hub.Choose(all[0], all)
	if p.Hubs["0"][0] != "r-0-19" {
		t.Errorf("hubs %v", p.Hubs)
	}
	second := p.Preferred("0", func(i ids.Instance) bool { return i != "r-0-19" })
	if second != p.Hubs["0"][1] {
		t.Errorf("with the first hub gone %q is preferred", second)
	}
	if got := p.Preferred("0", func(ids.Instance) bool { return false }); got != "" {
		t.Errorf("with all hubs gone %q is preferred", got)
	}
}

func TestSumAddsUpAndKeysAreSentOnOnce(t *testing.T) {
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
		t.Errorf("targets %v", sum.Targets)
	}
	if sum.Backlogs[0].Tokens != 9 || sum.Workspaces[0].Asked != 4 {
		t.Errorf("sum %v", sum)
	}
	keys := make(hub.CachedKeys)
	keys.Collect(a)
	keys.Collect(&fleetv1.Report{Targets: []*fleetv1.TargetLoad{{Target: "z", Cached: []uint64{8}}}})
	keys.AttachTo(sum)
	if len(sum.Targets) != 3 || sum.Targets[0].Cached[0] != 7 || sum.Targets[2].Cached[0] != 8 {
		t.Errorf("with keys %v", sum.Targets)
	}
}
