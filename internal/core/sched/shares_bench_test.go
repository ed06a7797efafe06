package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// BenchmarkSetShares replaces the shares of all workspaces, a tenth of which have
// limits.
func BenchmarkSetShares(b *testing.B) {
	for _, n := range []int{16, 460, 4_600, 46_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := sched.New(sched.Settings{Self: "r", Incarnation: 1, Domain: "d", ReportInterval: 500 * time.Millisecond, Tolerance: 256})
			shares := make([]sched.Share, n)
			for i := range shares {
				shares[i] = sched.Share{Workspace: ids.Workspace(fmt.Sprint("workspace-", i)), Weight: 1}
				if i%10 == 0 {
					shares[i].Limits = api.Limits{Concurrency: 10}
				}
			}
			now := time.Unix(1_700_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				s.Step(now, sched.SetShares{Shares: shares})
			}
		})
	}
}

// BenchmarkPatchShares replaces the share of one workspace out of many.
func BenchmarkPatchShares(b *testing.B) {
	for _, n := range []int{16, 46_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := sched.New(sched.Settings{Self: "r", Incarnation: 1, Domain: "d", ReportInterval: 500 * time.Millisecond, Tolerance: 256})
			shares := make([]sched.Share, n)
			for i := range shares {
				shares[i] = sched.Share{Workspace: ids.Workspace(fmt.Sprint("workspace-", i)), Weight: 1}
			}
			now := time.Unix(1_700_000_000, 0)
			s.Step(now, sched.SetShares{Shares: shares})
			for b.Loop() {
				s.Step(now, sched.PatchShares{Put: shares[:1], Removed: []ids.Workspace{"none"}})
			}
		})
	}
}
