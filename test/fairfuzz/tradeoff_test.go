package fairfuzz_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
)

// BenchmarkReportingTradeoff reports the service gap and the control traffic for
// several report intervals and tolerances. Its metrics do not depend on the machine.
func BenchmarkReportingTradeoff(b *testing.B) {
	runs := map[string]func(func(*sched.Settings)) result{
		"skew":  func(t func(*sched.Settings)) result { return skew(sched.ModeFleet, t) },
		"flood": func(t func(*sched.Settings)) result { return flood(sched.ModeFleet, t, true) },
	}
	for _, name := range []string{"skew", "flood"} {
		for _, ms := range []int{125, 250, 500, 1000, 2000} {
			for _, tolerance := range []float64{32, 128, 256, 512, 2048} {
				b.Run(fmt.Sprintf("%s/interval=%dms/tolerance=%.0f", name, ms, tolerance), func(b *testing.B) {
					for range b.N {
						r := runs[name](func(s *sched.Settings) {
							s.ReportInterval = time.Duration(ms) * time.Millisecond
							s.Tolerance = tolerance
						})
						b.ReportMetric(r.gap, "gap-units")
						b.ReportMetric(r.bound, "bound-units")
						b.ReportMetric(r.maxByteRate, "max-B/s")
						b.ReportMetric(r.meanByteRate, "mean-B/s")
						b.ReportMetric(r.utilisation, "utilisation")
						b.ReportMetric(r.lightP95Wait.Seconds()*1000, "light-p95-ms")
					}
				})
			}
		}
	}
}
