package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/routing"
)

// maxReportTime is far above the time that a report takes.
const maxReportTime = 3 * time.Second

// FuzzReport passes arbitrary reports of peers to a follower, a hub and a router of a full
// mesh. None may panic, since that would end the router's process.
func FuzzReport(f *testing.F) {
	nodes := []*Node{newNodeInFleet(80), newNodeInFleet(8), newNodeInFleet(80)}
	hubNode := nodes[2]
	hubPlan := *hubNode.fleet.plan.Load()
	hubPlan.Hub = true
	hubNode.fleet.plan.Store(&hubPlan)
	for _, n := range nodes {
		n.SetConfig(&routing.Config{Version: 1, Services: map[string]*routing.Service{
			"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 400_000}}, "app": {Name: "app"},
		}}, "test")
		n.setTargets([]routing.Target{{ID: "e", Service: "llm", Domain: "a", Slots: 4}, {ID: "p", Service: "app", Domain: "a"}}, targetsUpdate{})
	}
	hubName := nodes[0].fleet.plan.Load().Hubs["a"][0]
	seed := func(r *fleetv1.Report) {
		raw, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	seed(&fleetv1.Report{StreamIds: []uint64{1, 2}, StreamOrigins: []uint32{7}, Origins: []*fleetv1.Origin{{Service: "llm"}}})
	seed(&fleetv1.Report{Scope: fleetv1.Scope_SCOPE_FLEET, Targets: []*fleetv1.TargetLoad{{Target: "e", Running: 1 << 31, Pending: 1 << 31, Cached: []uint64{1}}, {}}})
	seed(&fleetv1.Report{Scope: fleetv1.Scope_SCOPE_DOMAIN, Workspaces: []*fleetv1.WorkspaceUse{{Asked: 1 << 63, Started: 1 << 63}, {}}, RefreshedAgeMs: 1<<32 - 1})
	seed(&fleetv1.Report{Scope: 99, Backlogs: []*fleetv1.Backlog{{Service: "llm", Requests: 1<<32 - 1, Tokens: 1<<32 - 1}, {}}, HubsKey: 1, Routers: 1<<32 - 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		// A report that keeps the router busy must fail, too.
		watchdog := time.AfterFunc(maxReportTime, func() { panic("report takes too long") })
		defer watchdog.Stop()
		for _, n := range nodes {
			r := new(fleetv1.Report)
			if proto.Unmarshal(raw, r) != nil {
				return
			}
			// Pulls need links.
			r.TargetsAsOf, r.ConfigVersion = 0, 0
			from := peer.Peer{Instance: hubName, Domain: "a"}
			n.fleet.Receive(from, &peerv1.Envelope{Body: &peerv1.Envelope_Fleet{Fleet: r}})
			n.fleet.applyTotal(r)
			domain, total := n.fleet.sums.aggregate(n.fleet.plan.Load(), n.fleet.ownReport(), func(ids.Instance) bool { return true })
			n.fleet.applyTotal(domain)
			n.fleet.applyTotal(total)
		}
	})
}
