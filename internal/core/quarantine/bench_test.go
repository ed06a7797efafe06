package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/quarantine"
)

// BenchmarkStatus measures the status lookup that every request makes, in tables
// of 0 to 1000 fingerprints.
func BenchmarkStatus(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, n := range []int{0, 16, 1_000} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			table := quarantine.New(10 * time.Minute)
			for i := range n {
				table.Add(quarantine.Crash{
					Fingerprint: uint64(i),
					Target:      "t",
					ID:          fmt.Sprint(i),
					AtMS:        now.UnixMilli(),
				}, now)
			}
			for b.Loop() {
				table.Status(uint64(n/2), now)
			}
		})
	}
}
