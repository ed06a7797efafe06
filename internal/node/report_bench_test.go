package node

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// BenchmarkApplyTotal measures what a follower does with each sum of the fleet.
func BenchmarkApplyTotal(b *testing.B) {
	for _, targets := range []int{30, 245} {
		b.Run(fmt.Sprint(targets, " targets"), func(b *testing.B) {
			n := newNodeInFleet(295)
			n.SetConfig(&routing.Config{Version: 1, Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 400_000}}}}, "test")
			var list []routing.Target
			total := &fleetv1.Report{Scope: fleetv1.Scope_SCOPE_FLEET}
			for i := range targets {
				id := fmt.Sprintf("i-%08x", i)
				list = append(list, routing.Target{ID: ids.Target(id), Service: "llm", Domain: "a", Address: "127.0.0.1:1", Slots: 12})
				total.Targets = append(total.Targets, &fleetv1.TargetLoad{Target: id, Running: 6, Pending: 4000, Memory: 60_000, Cached: []uint64{uint64(i)}})
			}
			for i := range 60 {
				total.Workspaces = append(total.Workspaces, &fleetv1.WorkspaceUse{Workspace: fmt.Sprint("w", i), Asked: 100_000, Started: 90_000})
			}
			n.setTargets(list, targetsUpdate{})
			raw, err := proto.Marshal(total)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(raw)), "bytes")
			b.ReportAllocs()
			for b.Loop() {
				r := new(fleetv1.Report)
				if err := proto.Unmarshal(raw, r); err != nil {
					b.Fatal(err)
				}
				n.fleet.applyTotal(r)
			}
		})
	}
}
