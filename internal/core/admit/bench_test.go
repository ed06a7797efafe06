package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// BenchmarkSubmit measures Submit with 100 engines and the reports of 16 peers, for a
// workspace within its fair share, and for one beyond it while all engines are full.
func BenchmarkSubmit(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			controller, all := newFleet(100, 16, full)
			now := start
			var id admit.ID
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				if id%50 == 0 {
					b.StopTimer()
					reportPeers(controller, now, all, 16, full)
					b.StartTimer()
				}
				v := controller.Submit(now, admit.Request{
					ID: id, Service: "llm", Workspace: "flood",
					Parts:        []admit.Part{{Key: uint64(id % 5), Tokens: 500}, {Key: uint64(id % 100), Tokens: 4000}, {Key: uint64(id) << 20, Tokens: 5000}},
					PromptTokens: 9_500, OutputTokens: 400, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Objective: time.Second,
				})
				if v.Target.ID != "" {
					controller.ResponseStarted(now, id, false)
					controller.AttemptEnded(now, id, admit.End{Result: admit.Served})
				}
			}
		})
	}
}

func newFleet(engines, peers int, full bool) (*admit.Controller, []routing.Target) {
	controller := admit.New(admit.Options{Domain: "z", ShareWindow: 4 * time.Second, Seed: 1})
	controller.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 400_000}}},
		Limits:   routing.Limits{TokensPerSecond: 1e6},
	})
	var all []routing.Target
	for i := range engines {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("e%d", i)), Service: "llm", Domain: "z", Slots: 16})
	}
	controller.SetTargets(all)
	reportPeers(controller, start, all, peers, full)
	return controller, all
}

// reportPeers applies a report of each peer.
func reportPeers(controller *admit.Controller, now time.Time, all []routing.Target, peers int, full bool) {
	for p := range peers {
		var loads []admit.Load
		for _, t := range all {
			load := admit.Load{Target: t.ID}
			if full {
				load.Running, load.PendingTokens = 1, 1000
			}
			loads = append(loads, load)
		}
		usage := map[ids.Workspace]share.Usage{"flood": {Requested: 1e6}}
		if full {
			usage["flood"] = share.Usage{Requested: 1e6, Started: 1e6}
		}
		controller.ApplyPeerReport(now, ids.Instance(fmt.Sprintf("r%d", p)), loads, nil, usage)
	}
}

// BenchmarkSubmitPlain measures Submit with plain targets and the sums of hubs, of which one
// arrives with every tenth request.
func BenchmarkSubmitPlain(b *testing.B) {
	for _, targets := range []int{3, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			controller := admit.New(admit.Options{Domain: "z", ShareWindow: 4 * time.Second, Seed: 1})
			controller.SetConfig(&routing.Config{Services: map[string]*routing.Service{"app": {Name: "app"}}})
			var all []routing.Target
			var loads []admit.Load
			for i := range targets {
				id := ids.Target(fmt.Sprintf("p%d", i))
				all = append(all, routing.Target{ID: id, Service: "app", Domain: "z", Slots: 6})
				loads = append(loads, admit.Load{Target: id, Running: i % 5})
			}
			controller.SetTargets(all)
			now := start
			var id admit.ID
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(8 * time.Millisecond)
				if id%10 == 1 {
					controller.ApplyFleetReport(now, slices.Clone(loads), nil, nil)
				}
				v := controller.Submit(now, admit.Request{ID: id, Service: "app", Workspace: "w", ArrivedAt: now, Deadline: now.Add(time.Second), Objective: 150 * time.Millisecond})
				if v.Target.ID != "" {
					controller.AttemptEnded(now.Add(30*time.Millisecond), id, admit.End{Result: admit.Served})
				}
			}
		})
	}
}
