package limit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/limit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

var t0 = time.Unix(1000, 0)

func code(r *limit.Refusal) outcome.Code {
	if r == nil {
		return ""
	}
	return r.Code
}

func TestRate(t *testing.T) {
	g := limit.NewGate(t0, "w", api.Limits{RequestsPerSecond: 10, Burst: 2})
	for i, want := range []outcome.Code{"", "", outcome.CodeRateLimited} {
		if got := code(g.Admit(t0)); got != want {
			t.Errorf("request %d: %q", i, got)
		}
	}
	if got := code(g.Admit(t0.Add(110 * time.Millisecond))); got != "" {
		t.Errorf("after a refill: %q", got)
	}
}

func TestConcurrency(t *testing.T) {
	g := limit.NewGate(t0, "w", api.Limits{Concurrency: 4})
	g.Answer(t0, limit.Quota{OthersHeld: 2, Concurrency: 1})
	for range 2 {
		if code(g.Admit(t0)) != "" {
			t.Fatal("refused below the limit")
		}
	}
	if got := code(g.Admit(t0)); got != outcome.CodeConcurrency {
		t.Fatalf("above the limit: %q", got)
	}
	g.Start()
	if g.MayRun(t0) {
		t.Error("runs above its share")
	}
	g.End(true)
	if !g.MayRun(t0) {
		t.Error("share not freed")
	}
}

func TestAllowance(t *testing.T) {
	l := api.Limits{Allowance: &api.Allowance{Units: 100, WindowSeconds: 64}}
	g := limit.NewGate(t0, "w", l)
	g.Spend(t0, 60)
	g.Answer(t0, limit.Quota{OthersUnits: 30})
	if got := code(g.Admit(t0)); got != "" {
		t.Fatalf("refused with units left: %q", got)
	}
	g.Spend(t0, 10)
	r := g.Admit(t0)
	if code(r) != outcome.CodeAllowance || r.RetryAfter != 64*time.Second {
		t.Fatalf("%+v", r)
	}
	later := t0.Add(70 * time.Second)
	g.Answer(later, limit.Quota{})
	if got := code(g.Admit(later)); got != "" {
		t.Errorf("window did not slide: %q", got)
	}
}

func TestCutOffRouterSpendsAnEvenShare(t *testing.T) {
	l := api.Limits{RequestsPerSecond: 80, Allowance: &api.Allowance{Units: 100, WindowSeconds: 64}}
	g := limit.NewGate(t0, "w", l)
	g.SetRouters(4)
	g.Spend(t0, 24)
	if got := code(g.Admit(t0)); got != "" {
		t.Fatalf("refused within its share: %q", got)
	}
	g.Spend(t0, 2)
	if got := code(g.Admit(t0)); got != outcome.CodeAllowance {
		t.Errorf("above its share: %q", got)
	}
}

func TestHomeSharesByDemand(t *testing.T) {
	h := limit.NewHome()
	l := api.Limits{RequestsPerSecond: 100, Concurrency: 5}
	h.Merge(t0, "a", 1, limit.Usage{Units: 10, Held: 8, Offered: 90})
	h.Merge(t0, "b", 1, limit.Usage{Units: 20, Held: 2, Offered: 10})
	sum, rate := 0, 0.0
	for _, r := range []ids.Instance{"a", "b"} {
		q := h.Answer(t0, r, 1, l, 2)
		sum += q.Concurrency
		rate += q.Rate
		if r == "a" && (q.OthersUnits != 20 || q.OthersHeld != 2 || q.Concurrency != 4) {
			t.Errorf("quota of a: %+v", q)
		}
	}
	if sum != 5 || rate > 100.001 {
		t.Errorf("shares sum to %d and %v", sum, rate)
	}
}
