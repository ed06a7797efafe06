package fairness_test

import (
	"math"
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/fairness"
	"github.com/umberhill/umberhill/internal/ids"
)

// steady returns the usage of a workspace that requests and receives the same each second.
func steady(requested, started float64, denied bool, seconds int) []fairness.Usage {
	usage := make([]fairness.Usage, seconds)
	for i := range usage {
		usage[i] = fairness.Usage{Requested: requested, Started: started, Denied: denied}
	}
	return usage
}

func TestMarginsCompareWithTheBestServedWorkspaceBySecond(t *testing.T) {
	s := fairness.Series{
		"best":    steady(1000, 1000, true, 8),
		"starved": steady(5000, 250, true, 8),
		"small":   steady(100, 100, true, 8),
		"content": steady(900, 10, false, 8),
	}
	for i := range 2 {
		s["starved"][i].Started = 1000
	}
	s["content"][3].Denied = true
	margins := s.Margins(0)
	if len(margins) != 3 || margins[0].Workspace != "starved" {
		t.Fatalf("got %v, want the three workspaces that were denied requests all the time, starved first", margins)
	}
	want := fairness.Margin{Workspace: "starved", From: 2, Ratio: 0.25, Requested: 30000, Started: 1500, Due: 6000}
	if margins[0] != want {
		t.Errorf("got %+v, want %+v", margins[0], want)
	}
	if ratio := s.Margins(1500)[0].Ratio; math.Abs(ratio-0.5) > 1e-9 {
		t.Errorf("with 1500 tokens tolerated the ratio is %v, want 0.5", ratio)
	}
	if shorter := (fairness.Series{"a": steady(10, 1, true, fairness.Window-1)}).Margins(0); len(shorter) != 0 {
		t.Errorf("got %v of less than a window, want none", shorter)
	}
}

const logs = `  7.01 r1 {"instance":"r1","msg":"router load","refuse_share":0.95,"sched_delay_ms":40,"diverts":true,"caller_conns_accepted":12,"time":"2026-12-03T10:00:01.2Z"}
  7.01 r1 {"instance":"r1","msg":"workspace load","workspace":"a","requests":30,"requested_tokens":300,"started_tokens":20,"refused":{"router_busy":28},"time":"2026-12-03T10:00:01.2Z"}
{"instance":"r2","msg":"workspace load","workspace":"a","requests":2,"requested_tokens":20,"started_tokens":10,"refused":{"over_share":1},"time":"2026-12-03T10:00:01.9Z"}
{"instance":"r2","msg":"workspace load","workspace":"b","requests":2,"requested_tokens":90,"started_tokens":80,"refused":{},"time":"2026-12-03T10:00:01.9Z"}
{"instance":"r2","msg":"request ended","request":"a router load","time":"2026-12-03T09:00:00Z"}
{"instance":"r1","msg":"workspace load","workspace":"a","requests":3,"requested_tokens":30,"started_tokens":30,"refused":{},"time":"2026-12-03T10:00:02.2Z"}
`

func TestLogsSumUpTheRoutersOfAWorkspace(t *testing.T) {
	var l fairness.Logs
	if err := l.Read(strings.NewReader(logs)); err != nil {
		t.Fatal(err)
	}
	seconds := l.Seconds("a")
	if len(seconds) != 1 {
		t.Fatalf("got %d seconds, want the first alone, as the last may be incomplete", len(seconds))
	}
	s := seconds[0]
	if s.Requested != 320 || s.Started != 30 || s.Most != 80 || s.Refused["router_busy"] != 28 || s.Refused["over_share"] != 1 {
		t.Errorf("got %+v", s)
	}
	want := fairness.RouterLoad{Instance: "r1", Requests: 30, Started: 20, RefusedShare: 0.95, DelayMS: 40, Diverts: true, Accepted: 12}
	if len(s.Routers) != 2 || s.Routers[0] != want {
		t.Errorf("got routers %+v, want first %+v", s.Routers, want)
	}
	if usage := l.Series()[ids.Workspace("b")]; len(usage) != 1 || usage[0].Denied {
		t.Errorf("got usage %+v of b, want one second without a refusal", usage)
	}
}
