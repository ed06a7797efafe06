package burn_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/ids"
)

var start = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

var slo = &api.Objectives{
	Availability: 0.99,
	QueueTime:    &api.Latency{Milliseconds: 100, Share: 0.95},
	FirstToken:   &api.Latency{Milliseconds: 500, Share: 0.9},
}

func contracts(names ...ids.Workspace) map[ids.Workspace]*api.Contract {
	out := make(map[ids.Workspace]*api.Contract)
	for _, n := range names {
		out[n] = &api.Contract{Workspace: string(n), Objectives: slo}
	}
	return out
}

func recorder(instance ids.Instance, now *time.Time) *burn.Recorder {
	return burn.New(burn.Options{
		Instance:   instance,
		Objectives: func(ids.Workspace) *api.Objectives { return slo },
		Now:        func() time.Time { return *now },
	})
}

func good(ws ids.Workspace, at time.Time) burn.Observation {
	return burn.Observation{Workspace: ws, OK: true, QueueTime: 10 * time.Millisecond, FirstToken: 50 * time.Millisecond, At: at}
}

// Guards against observations that are lost or counted twice on the way from the
// recorders through JSON and the merge to the report: two routers record 1,000 requests
// each of two workspaces over ten minutes, and the report must give exactly these counts.
func TestReportMatchesRecordedCounts(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(10 * time.Minute)
	var snaps []burn.Snapshot
	for _, instance := range []ids.Instance{"a", "b"} {
		rec := recorder(instance, &now)
		for i := range 1000 {
			at := start.Add(time.Duration(i) * 600 * time.Millisecond)
			calm, hit := good("calm", at), good("hit", at)
			if i%10 == 0 {
				hit.OK, hit.Fault, hit.FirstToken = false, burn.FaultTarget, 0
			}
			if i%4 == 1 {
				hit.QueueTime, hit.FirstToken = 900*time.Millisecond, time.Second
			}
			rec.Record(calm)
			rec.Record(hit)
			rec.Record(burn.Observation{Workspace: "hit", Fault: burn.FaultCaller, At: at})
			rec.Record(burn.Observation{Workspace: "hit", Fault: burn.FaultLimit, At: at})
		}
		snaps = append(snaps, roundTripJSON(g, rec.Snapshot()))
	}
	report := burn.NewReport(burn.Merge(snaps), contracts("calm", "hit"), now)
	g.Expect(report.Routers).To(Equal([]string{"a", "b"}))
	g.Expect(report.Workspaces[0].Workspace).To(Equal(ids.Workspace("hit")))

	availability := report.Workspaces[0].Objectives[0]
	g.Expect(availability.Fault).To(Equal(burn.FaultTarget))
	longest := availability.Windows[3]
	g.Expect(longest.Total).To(Equal(uint64(2000)))
	g.Expect(longest.Missed).To(Equal(uint64(200)))
	g.Expect(longest.BurnRate).To(BeNumerically("~", 10, 1e-9))
	g.Expect(availability.BudgetLeft).To(BeNumerically("~", -9, 1e-9))
	g.Expect(availability.Alert).To(Equal(burn.AlertTicket))

	queue := report.Workspaces[0].Objectives[1]
	g.Expect(queue.Windows[3].Missed).To(Equal(uint64(500)))
	g.Expect(queue.Fault).To(Equal(burn.FaultQueue))
	g.Expect(queue.P50MS).To(BeNumerically("~", 10, 1))
	g.Expect(queue.P99MS).To(BeNumerically("~", 900, 100))
	first := report.Workspaces[0].Objectives[2]
	g.Expect(first.Windows[3].Total).To(Equal(uint64(1800)))

	calm := report.Workspaces[1].Objectives[0]
	g.Expect(calm.Windows[3].Missed).To(BeZero())
	g.Expect(calm.BudgetLeft).To(BeEquivalentTo(1))
	g.Expect(calm.Fault).To(Equal(burn.FaultNone))
}

func roundTripJSON(g *WithT, s burn.Snapshot) burn.Snapshot {
	encoded, err := json.Marshal(s)
	g.Expect(err).NotTo(HaveOccurred())
	var decoded burn.Snapshot
	g.Expect(json.Unmarshal(encoded, &decoded)).To(Succeed())
	return decoded
}

// Guards against wrong queue times of requests that were never dispatched: a request that
// timed out in the queue misses the queue time objective, while one that was refused
// immediately does not count towards it.
func TestUndispatchedRequests(t *testing.T) {
	g := NewWithT(t)
	now := start
	rec := recorder("a", &now)
	rec.Record(burn.Observation{Workspace: "w", Fault: burn.FaultDeadline, QueueTime: -1, FirstToken: -1, At: now})
	rec.Record(burn.Observation{Workspace: "w", Fault: burn.FaultPlatform, QueueTime: -1, FirstToken: -1, At: now})
	w := burn.NewReport(rec.Snapshot(), contracts("w"), now).Workspaces[0]
	g.Expect(w.Objectives[0].Windows[0].Missed).To(BeEquivalentTo(2))
	g.Expect(w.Objectives[1].Windows[0].Total).To(BeEquivalentTo(1))
	g.Expect(w.Objectives[1].Fault).To(Equal(burn.FaultQueue))
	g.Expect(w.Objectives[2].Windows[0].Total).To(BeZero())
}

func TestOldObservationsLeaveWindows(t *testing.T) {
	g := NewWithT(t)
	now := start
	rec := recorder("a", &now)
	bad := good("w", now)
	bad.OK, bad.Fault = false, burn.FaultQueue
	for range 100 {
		rec.Record(bad)
	}
	burnRates := func() []float64 {
		report := burn.NewReport(rec.Snapshot(), contracts("w"), now)
		var out []float64
		for _, w := range report.Workspaces[0].Objectives[0].Windows {
			out = append(out, math.Round(w.BurnRate))
		}
		return out
	}
	g.Expect(burnRates()).To(Equal([]float64{100, 100, 100, 100}))
	now = start.Add(20 * time.Minute)
	g.Expect(burnRates()).To(Equal([]float64{0, 100, 100, 100}))
	now = start.Add(90 * time.Minute)
	g.Expect(burnRates()).To(Equal([]float64{0, 0, 0, 100}))
	now = start.Add(7 * time.Hour)
	g.Expect(burnRates()).To(Equal([]float64{0, 0, 0, 0}))
}

func TestRecorderBoundsWorkspacesAndSamples(t *testing.T) {
	g := NewWithT(t)
	now := start
	rec := recorder("a", &now)
	for i := range 46_000 {
		rec.Record(good(ids.Workspace(fmt.Sprint("w", i)), now))
	}
	snap := rec.Snapshot()
	g.Expect(snap.Workspaces).To(HaveLen(burn.MaxWorkspaces))
	g.Expect(snap.Uncounted).To(BeEquivalentTo(46_000 - burn.MaxWorkspaces))
	now = start.Add(8 * time.Hour)
	rec.Record(good("late", now))
	g.Expect(rec.Snapshot().Uncounted).To(Equal(snap.Uncounted))
	for i := range 10_000 {
		rec.RecordSample(burn.Sample{At: start.Unix() + int64(i)*burn.SampleSeconds})
	}
	g.Expect(rec.Snapshot().Samples).To(HaveLen(360))
}

func TestMergeSamples(t *testing.T) {
	g := NewWithT(t)
	now := start
	a, b := recorder("a", &now), recorder("b", &now)
	a.RecordSample(burn.Sample{Gap: 5, Utilisation: 0.5, ControlBytes: 100})
	b.RecordSample(burn.Sample{Gap: 9, Utilisation: 1, ControlBytes: 300})
	merged := burn.Merge([]burn.Snapshot{a.Snapshot(), b.Snapshot()})
	g.Expect(merged.Samples).To(Equal([]burn.Sample{
		{At: start.Unix(), Gap: 9, Utilisation: 0.75, ControlBytes: 200, Routers: 2},
	}))
}

func TestTableAndHTML(t *testing.T) {
	g := NewWithT(t)
	now := start.Add(time.Minute)
	rec := recorder("a", &now)
	bad := good("<b>w</b>", start)
	bad.OK, bad.Fault = false, burn.FaultPlatform
	rec.Record(bad)
	rec.RecordSample(burn.Sample{At: start.Unix(), Gap: 5, Utilisation: 0.5, ControlBytes: 1500})
	rec.RecordSample(burn.Sample{Gap: 7, Utilisation: 0.7, ControlBytes: 1700})
	report := burn.NewReport(rec.Snapshot(), contracts("<b>w</b>"), now)
	report.Unresponsive = []string{"c7"}
	var table bytes.Buffer
	g.Expect(report.WriteTable(&table)).To(Succeed())
	g.Expect(table.String()).To(ContainSubstring("platform 1"))
	g.Expect(table.String()).To(ContainSubstring("c7"))
	page, err := report.HTML()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).NotTo(ContainSubstring("<b>w</b>"))
	g.Expect(string(page)).NotTo(MatchRegexp(`src=|href=|@import|https?://`))
	g.Expect(strings.Count(string(page), "<path ")).To(Equal(4))
	g.Expect(checkWellFormed(page)).To(Succeed())
}

// checkWellFormed returns an error if the page's tags don't match. Only the void
// elements named in AutoClose may lack an end tag.
func checkWellFormed(page []byte) error {
	d := xml.NewDecoder(bytes.NewReader(page))
	d.Strict = false
	d.AutoClose = []string{"meta"}
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	now := start
	rec := recorder("a", &now)
	o := good("w", now)
	for b.Loop() {
		rec.Record(o)
	}
}
