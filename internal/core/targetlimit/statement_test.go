package targetlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// heard is a response that a router receives at a time since the start, to a request that
// it sent before.
type heard struct {
	at, sentAt time.Duration
	Statement
}

// Guards against limits that hold on or end for a reason other than the target's word.
func TestLimitFollowsTheTargetsWord(t *testing.T) {
	t.Parallel()
	named := func(perSecond float64) Statement { return Statement{PerSecond: perSecond} }
	failed := func(st Statement) Statement { st.Failure = true; return st }
	const s = time.Second
	for _, c := range []struct {
		name  string
		heard []heard
		at    time.Duration
		// want is the rate, 0 for none.
		want float64
	}{
		{"none named", []heard{{0, 0, named(0)}}, s, 0},
		{"named", []heard{{0, 0, named(9)}}, 10 * s, 9},
		{"changed", []heard{{0, 0, named(9)}, {s, 0, named(4)}}, 2 * s, 4},
		{"below the least rate", []heard{{0, 0, named(0.001)}}, s, minPerSecond},
		{"held for a second", []heard{{0, 0, named(9)}, {200 * time.Millisecond, 100 * time.Millisecond, named(0)}}, 900 * time.Millisecond, 9},
		{"doubles after its end", []heard{{0, 0, named(9)}, {2 * s, s, named(0)}}, 3 * s, 18},
		{"ended", []heard{{0, 0, named(9)}, {2 * s, s, named(0)}}, 6 * s, 0},
		{"named again", []heard{{0, 0, named(9)}, {2 * s, s, named(0)}, {3 * s, 2 * s, named(5)}}, 4 * s, 5},
		{"a response sent before the limit was named arrives late", []heard{{s, s, named(9)}, {2 * s, 0, named(0)}}, 8 * s, 9},
		{"malformed", []heard{{0, 0, named(9)}, {2 * s, s, Statement{Malformed: true}}}, 8 * s, 9},
		{"not heard of any more", []heard{{0, 0, named(9)}}, 40 * s, 0},
		{"named in failures only", []heard{{0, 0, failed(named(9))}, {s, s / 2, named(0)}, {2 * s, s, named(0)}}, 4 * s, 9},
		{"named in failures only, not any more", []heard{{0, 0, failed(named(9))}, {s, s / 2, named(0)}}, 10 * s, 0},
		{"a failure without it ends it", []heard{{0, 0, failed(named(9))}, {2 * s, s, failed(named(0))}}, 7 * s, 0},
		{"named in successes too, a success ends it", []heard{{0, 0, failed(named(9))}, {s / 2, 0, named(9)}, {2 * s, s, named(0)}}, 7 * s, 0},
	} {
		l, target := New(rand.New(rand.NewPCG(1, 1))), NewRun("target", 1)
		for _, h := range c.heard {
			l.RecordStatement(start.Add(h.at), start.Add(h.sentAt), target, h.Statement)
		}
		if got, limited := l.PerSecond(start.Add(c.at), target); got != c.want || limited != (c.want > 0) {
			t.Errorf("%s: got %v, limited %t, want %v", c.name, got, limited, c.want)
		}
	}
}

// Guards against statements that count only at the router which received them, and against
// an older one of another router that replaces a newer one.
func TestLatestStatementOfAllRoutersCounts(t *testing.T) {
	t.Parallel()
	target, at := NewRun("target", 1), start.Add(20*time.Second)
	report := func(perSecond float64, namedAge, unnamedAge time.Duration) Report {
		return Report{Run: target, PerSecond: perSecond, NamedAge: namedAge, BySuccess: true, IsUnnamed: unnamedAge > 0, UnnamedAge: unnamedAge}
	}
	for _, c := range []struct {
		name    string
		own     Statement
		reports []Report
		want    float64
	}{
		{"heard by a peer only", Statement{}, []Report{report(9, time.Second, 0)}, 9},
		{"a peer has heard a later one", Statement{PerSecond: 5}, []Report{report(9, time.Second, 0)}, 9},
		{"a peer has heard an earlier one", Statement{PerSecond: 5}, []Report{report(9, 15*time.Second, 0)}, 5},
		{"a peer has heard that it ended", Statement{PerSecond: 5}, []Report{report(5, 9*time.Second, 6*time.Second)}, 0},
		{"of two peers the latest", Statement{}, []Report{report(9, 3*time.Second, 0), report(4, time.Second, 0)}, 4},
	} {
		l := New(rand.New(rand.NewPCG(1, 1)))
		if c.own.PerSecond > 0 {
			l.RecordStatement(start.Add(10*time.Second), start, target, c.own)
		}
		l.ApplyFleetReport(at, Sum(c.reports), Demand{})
		if got, _ := l.PerSecond(at, target); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a limit that stays partly unused for good since the list names routers that
// are not there any more.
func TestListedRoutersThatNeverReportDoNotKeepTheirPart(t *testing.T) {
	t.Parallel()
	l, target := New(rand.New(rand.NewPCG(1, 1))), NewRun("target", 1)
	l.SetRouters([]ids.Instance{"a", "b", "c"})
	l.RecordStatement(start, start, target, Statement{PerSecond: 9})
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{time.Second, 0.5}, {absentTTL, 0.5}, {absentTTL + 2*time.Second, 1}} {
		now := start.Add(c.after)
		l.RecordRequest(now, 1)
		l.ApplyPeerReport(now, "a", nil, Demand{Visible: l.OwnDemand(now)})
		if got := l.Status(now)[0].Visible; got != c.want {
			t.Errorf("after %v: got %v of the fleet visible, want %v", c.after, got, c.want)
		}
	}
}
