package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/quarantine"
)

// BenchmarkStanding looks one fingerprint up among n suspects, as each request
// does.
func BenchmarkStanding(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, n := range []int{0, 16, 1_000} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			table := quarantine.New(10 * time.Minute)
			for i := range n {
				table.Add(quarantine.Crash{
					Fingerprint: uint64(i),
					Target:      "t",
					ID:          fmt.Sprint(i),
					At:          now.UnixMilli(),
				}, now)
			}
			for b.Loop() {
				table.Standing(uint64(n/2), now)
			}
		})
	}
}
