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

// Guards against requests that are admitted beyond the burst, and against a token
// bucket that does not refill.
func TestRate(t *testing.T) {
	l := limit.NewLimiter(t0, "w", api.Limits{RequestsPerSecond: 10, Burst: 2})
	for i, want := range []outcome.Code{"", "", outcome.CodeRateLimited} {
		if got := code(l.Admit(t0)); got != want {
			t.Errorf("request %d: got code %q, want none for 0 and 1, rate limited for 2", i, got)
		}
	}
	if got := code(l.Admit(t0.Add(110 * time.Millisecond))); got != "" {
		t.Errorf("got code %q after a refill, want none", got)
	}
}

// Guards against requests that are admitted beyond the fleet's limit, and against
// more running requests than this router's share.
func TestConcurrency(t *testing.T) {
	l := limit.NewLimiter(t0, "w", api.Limits{Concurrency: 4})
	l.ApplyQuota(t0, limit.Quota{OthersHeld: 2, Concurrency: 1})
	for range 2 {
		if code(l.Admit(t0)) != "" {
			t.Fatal("request refused below the concurrency limit of 4")
		}
	}
	if got := code(l.Admit(t0)); got != outcome.CodeConcurrency {
		t.Fatalf("got code %q above the concurrency limit, want CodeConcurrency", got)
	}
	l.Start()
	if l.CanRun(t0) {
		t.Error("a second request may run, above the share of 1")
	}
	l.End(true)
	if !l.CanRun(t0) {
		t.Error("no request may run after the running one has ended")
	}
}

// Guards against an allowance that does not count the units spent at other routers,
// and against units that stay counted after they have left the window.
func TestAllowance(t *testing.T) {
	limits := api.Limits{Allowance: &api.Allowance{Units: 100, WindowSeconds: 64}}
	l := limit.NewLimiter(t0, "w", limits)
	l.Spend(t0, 60)
	l.ApplyQuota(t0, limit.Quota{OthersUnits: 30})
	if got := code(l.Admit(t0)); got != "" {
		t.Fatalf("got code %q with 90 of 100 units spent, want none", got)
	}
	l.Spend(t0, 10)
	r := l.Admit(t0)
	if code(r) != outcome.CodeAllowance || r.RetryAfter != 64*time.Second {
		t.Fatalf("got refusal %+v with all units spent, want CodeAllowance and a retry after 64 s", r)
	}
	later := t0.Add(70 * time.Second)
	l.ApplyQuota(later, limit.Quota{})
	if got := code(l.Admit(later)); got != "" {
		t.Errorf("got code %q after the window has passed, want none", got)
	}
}

// Guards against routers without a response from the home, as in a network
// partition, that each spend the whole allowance.
func TestPartitionedRouterSpendsEvenShare(t *testing.T) {
	limits := api.Limits{RequestsPerSecond: 80, Allowance: &api.Allowance{Units: 100, WindowSeconds: 64}}
	l := limit.NewLimiter(t0, "w", limits)
	l.SetRouters(4)
	l.Spend(t0, 24)
	if got := code(l.Admit(t0)); got != "" {
		t.Fatalf("got code %q with 24 of the share of 25 units spent, want none", got)
	}
	l.Spend(t0, 2)
	if got := code(l.Admit(t0)); got != outcome.CodeAllowance {
		t.Errorf("got code %q with 26 of the share of 25 units spent, want CodeAllowance", got)
	}
}

// Guards against quotas that do not follow demand, or that exceed the limits in
// sum.
func TestHomeSplitsLimitsByDemand(t *testing.T) {
	h := limit.NewHome()
	limits := api.Limits{RequestsPerSecond: 100, Concurrency: 5}
	h.SetUsage(t0, "a", 1, limit.Usage{Units: 10, Held: 8, Offered: 90})
	h.SetUsage(t0, "b", 1, limit.Usage{Units: 20, Held: 2, Offered: 10})
	sum, rate := 0, 0.0
	for _, r := range []ids.Instance{"a", "b"} {
		q := h.QuotaFor(t0, r, 1, limits, 2)
		sum += q.Concurrency
		rate += q.Rate
		if r == "a" && (q.OthersUnits != 20 || q.OthersHeld != 2 || q.Concurrency != 4) {
			t.Errorf("got quota %+v for a, want 20 units and 2 requests held at others and a concurrency of 4", q)
		}
	}
	if sum != 5 || rate > 100.001 {
		t.Errorf("quotas sum to a concurrency of %d and a rate of %v, want 5 and at most 100", sum, rate)
	}
}
