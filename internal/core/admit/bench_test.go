package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// BenchmarkSubmit decides on requests at 100 engines with 16 peers' reports;
// the workspace is within its share, or has had it while all engines are full.
func BenchmarkSubmit(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			l, all := fleetOf(100, 16, full)
			now := start
			var id admit.ID
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Millisecond)
				if id%50 == 0 {
					b.StopTimer()
					reportAll(l, now, all, 16, full)
					b.StartTimer()
				}
				v := l.Submit(now, admit.Request{
					ID: id, Service: "llm", Workspace: "flood",
					Parts:  []admit.Part{{Key: uint64(id % 5), Tokens: 500}, {Key: uint64(id % 100), Tokens: 4000}, {Key: uint64(id) << 20, Tokens: 5000}},
					Prompt: 9_500, Output: 400, Arrived: now, Deadline: now.Add(10 * time.Second), Objective: time.Second,
				})
				if v.Target.ID != "" {
					l.Began(now, id)
					l.Ended(now, id, admit.Served)
				}
			}
		})
	}
}

func fleetOf(engines, peers int, full bool) (*admit.Controller, []routing.Target) {
	l := admit.New(admit.Options{Domain: "z", Window: 4 * time.Second, Seed: 1})
	l.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 400_000}}},
		Limits:   routing.Limits{TokensPerSecond: 1e6},
	})
	var all []routing.Target
	for i := range engines {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("e%d", i)), Service: "llm", Domain: "z", Slots: 16})
	}
	l.SetTargets(all)
	reportAll(l, start, all, peers, full)
	return l, all
}

// reportAll has the peers report their loads.
func reportAll(l *admit.Controller, now time.Time, all []routing.Target, peers int, full bool) {
	for p := range peers {
		var loads []admit.Load
		for _, t := range all {
			load := admit.Load{Target: t.ID}
			if full {
				load.Running, load.Pending = 1, 1000
			}
			loads = append(loads, load)
		}
		use := map[ids.Workspace]share.Use{"flood": {Asked: 1e6}}
		if full {
			use["flood"] = share.Use{Asked: 1e6, Started: 1e6}
		}
		l.Report(now, ids.Instance(fmt.Sprintf("r%d", p)), loads, nil, use)
	}
}
