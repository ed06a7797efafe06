package node

import (
	"math"
	"testing"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
)

const limitedRun = targetlimit.Run(7)

func limitReport(perSecond float64, namedAge time.Duration, sent, demand float64) *fleetv1.Report {
	r := new(fleetv1.Report)
	encodeLimits(r, admit.LimitReport{
		Limits:  []targetlimit.Report{{Run: limitedRun, PerSecond: perSecond, NamedAge: namedAge, BySuccess: true, Sent: sent}},
		Demands: map[string]targetlimit.Demand{"llm": {Visible: demand}},
	})
	return r
}

// Guards against hubs that lose what a router of another failure domain has heard of a
// target, count requests twice, or forget the demand of routers that have fallen silent.
func TestHubsSumUpLimitsAndStatements(t *testing.T) {
	plan := &hub.Plan{Hub: true, Hubs: map[ids.Domain][]ids.Instance{"z1": {"h1"}, "z2": {"h2"}}}
	isLive := func(ids.Instance) bool { return true }
	s := newReportSums()
	own := limitReport(9, 2*time.Second, 1, 10)
	follower := limitReport(4, time.Second, 2, 20)
	encodeStatements(follower, []admit.StatementReport{{Run: limitedRun, Leaving: true, LeavingAge: time.Second, TurnedAwayFor: 3 * time.Second}})
	s.addRouter("f1", follower)
	s.addDomain("z2", "h2", limitReport(6, 3*time.Second, 4, 40))
	s.addRouter("silent", limitReport(0, 0, 100, 30))
	s.routers["silent"] = receivedReport{at: time.Now().Add(-2 * reportTTL), report: s.routers["silent"].report}
	s.ownDemand["llm"].Record(time.Now().Add(-2*reportTTL), "silent", targetlimit.Demand{Visible: 30})
	domain, total := s.aggregate(plan, own, isLive)
	for _, c := range []struct {
		name    string
		report  *fleetv1.Report
		sent    float64
		visible float64
	}{{"the domain's sum", domain, 3, 30}, {"the fleet's sum", total, 7, 70}} {
		got := decodeLimits(c.report)
		if len(got.Limits) != 1 || got.Limits[0].PerSecond != 4 || got.Limits[0].NamedAge < time.Second || got.Limits[0].Sent != c.sent {
			t.Errorf("%s: got limits %+v, want the latest one, of 4 a second, and %v requests", c.name, got.Limits, c.sent)
		}
		if d := got.Demands["llm"]; d.Visible != c.visible || d.Absent != 30 {
			t.Errorf("%s: got demand %+v, want %v visible and 30 absent", c.name, d, c.visible)
		}
		st := decodeStatements(c.report, 0)
		if len(st) != 1 || !st[0].Leaving || st[0].TurnedAwayFor > 3*time.Second || st[0].TurnedAwayFor < 2*time.Second {
			t.Errorf("%s: got statements %+v, want that the target leaves and wants no requests for 3 s", c.name, st)
		}
	}
}

// Guards against a peer whose report stops or lifts all limits by values that are no rates.
func TestReportWithoutValidRatesIsHarmless(t *testing.T) {
	for _, x := range []float32{float32(math.NaN()), float32(math.Inf(-1)), -1, 0} {
		r := decodeLimits(&fleetv1.Report{
			Limits:  []*fleetv1.TargetLimit{{Run: 1, PerSecond: x, Sent: x}},
			Demands: []*fleetv1.ServiceDemand{{Service: "llm", Visible: x, Absent: x}},
		})
		if l := r.Limits[0]; l.PerSecond != 0 || l.Sent != 0 || r.Demands["llm"] != (targetlimit.Demand{}) {
			t.Errorf("value %v: got %+v, want zero", x, r)
		}
	}
}
