package account_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

var t0 = time.Unix(1000, 0)

// router is a router with one account.
type router struct {
	name  ids.Instance
	table *account.Table
	acct  *account.Account
}

func newRouter(name ids.Instance, home ids.Instance) *router {
	r := &router{name: name, table: account.NewTable()}
	r.table.SetRouters(rendezvous.New([]ids.Instance{home}))
	r.acct = r.table.GetOrCreate(t0, 7, "w", 2)
	return r
}

// step is long enough for any charge to be reported.
const step = account.MaxReportDelay

// exchange delivers the router's report to the home, `copies` times, and merges
// the home's response.
func (r *router) exchange(now time.Time, h *account.Home, home ids.Instance, copies int) {
	for _, rep := range r.table.Reports(now) {
		for range copies {
			h.Merge(now, account.Reporter{Instance: r.name, Incarnation: 1}, rep)
		}
	}
	if t := h.Responses()[r.name]; t != nil {
		r.table.MergeTotals(now, home, 1, t, func(*account.Account) {})
	}
}

func (r *router) charge(units float64) {
	r.acct.Charge(units)
	r.table.MarkActive(t0, r.acct)
}

// Guards against a repeated report that is counted twice, and against totals that
// do not reach the routers.
func TestHomeCountsRepeatedReportsOnce(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.charge(100)
	b.charge(40)
	a.exchange(t0, h, "h", 3)
	b.exchange(t0, h, "h", 2)
	a.charge(10)
	a.exchange(t0.Add(step), h, "h", 1)
	if got := h.Total(7); got != 150 {
		t.Errorf("got total %v, want 150", got)
	}
	a.table.SetBacklogged(t0, a.acct, true)
	a.exchange(t0.Add(step), h, "h", 1)
	if got := a.acct.VirtualService(); got != 75 {
		t.Errorf("got virtual service %v, want 75", got)
	}
}

// Guards against service that is lost or counted twice when an account moves to a
// new home, which must rebuild the total from the levels of the routers.
func TestNewHomeIsRebuiltWithoutCountingTwice(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.table.SetBacklogged(t0, a.acct, true)
	b.table.SetBacklogged(t0, b.acct, true)
	for range 2 {
		a.charge(50)
		b.charge(50)
		a.exchange(t0, h, "h", 1)
		b.exchange(t0, h, "h", 1)
	}
	a.exchange(t0, h, "h", 1)
	if got := a.acct.Units(); got != 200 {
		t.Fatalf("got total %v before the change of the home, want 200", got)
	}
	next := account.NewHome()
	for _, r := range []*router{a, b} {
		r.table.SetRouters(rendezvous.New([]ids.Instance{"g"}))
		r.charge(10)
		r.exchange(t0, next, "g", 2)
	}
	// Before the change, the level was 200 at a and 150 at b; 20 units are new.
	if got := next.Total(7); got < 200 || got > 220 {
		t.Errorf("got total %v at the new home, want 200 to 220", got)
	}
	if a.acct.Units() < 210 {
		t.Errorf("got %v units at a after the change of the home, want at least 210", a.acct.Units())
	}
}

// Guards against a home that restarts under the same name and keeps a total that
// lacks the units reported before the restart.
func TestRestartedHomeReceivesLevel(t *testing.T) {
	h := account.NewHome()
	a := newRouter("a", "h")
	a.charge(500)
	a.table.SetBacklogged(t0, a.acct, true)
	a.exchange(t0, h, "h", 1)
	h = account.NewHome()
	for range 3 {
		a.charge(1)
		for _, rep := range a.table.Reports(t0) {
			h.Merge(t0, account.Reporter{Instance: "a", Incarnation: 1}, rep)
		}
		a.table.MergeTotals(t0, "h", 2, h.Responses()["a"], func(*account.Account) {})
	}
	if got := h.Total(7); got != 503 {
		t.Errorf("got total %v, want 503", got)
	}
}

// Guards against a repeated lift that raises the total again, and against a lift
// of an account that is backlogged at another router, which would take away the
// service that it is owed.
func TestLiftIsIdempotentAndOnlyForIdleAccounts(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.charge(10)
	a.exchange(t0, h, "h", 1)
	a.acct.Lift(100)
	a.table.SetBacklogged(t0, a.acct, true)
	a.exchange(t0, h, "h", 2)
	a.exchange(t0, h, "h", 2)
	if got := h.Total(7); got != 200 {
		t.Fatalf("got lifted total %v, want 200, the level times the weight", got)
	}
	b.charge(1)
	b.exchange(t0, h, "h", 1)
	b.acct.Lift(1000)
	b.table.SetBacklogged(t0, b.acct, true)
	for range 3 {
		b.exchange(t0, h, "h", 1)
	}
	if got := h.Total(7); got != 201 {
		t.Errorf("got total %v, want 201; lifted while backlogged at another router", got)
	}
	if got := b.acct.VirtualService(); got != 100.5 {
		t.Errorf("got virtual service %v after the home's response, want 100.5", got)
	}
}

// Guards against a total that loses the units of a router that no longer reports,
// and against accounts that are kept without any report.
func TestExpiredReporterIsFolded(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.charge(30)
	a.exchange(t0, h, "h", 1)
	later := t0.Add(account.ExpireAfter * 3 / 4)
	b.charge(20)
	b.exchange(later, h, "h", 1)
	h.Expire(later.Add(account.ExpireAfter / 2))
	if got := h.Total(7); got != 50 {
		t.Errorf("got total %v, want 50", got)
	}
	h.Expire(later.Add(2 * account.ExpireAfter))
	if h.Len() != 0 {
		t.Errorf("got %d accounts after ExpireAfter, want 0", h.Len())
	}
}

// Guards against reports that grow with the number of active accounts, and against
// accounts that are never reported because others always come first.
func TestManyAccountsAreReportedInTurn(t *testing.T) {
	b := account.NewTable()
	b.SetRouters(rendezvous.New([]ids.Instance{"h"}))
	const n = 2*account.MaxReportedAccounts + 10
	for k := range account.Key(n) {
		b.SetBacklogged(t0, b.GetOrCreate(t0, k, "w", 1), true)
	}
	seen := map[uint64]bool{}
	for range 3 {
		keys := b.Reports(t0)["h"].GetKeys()
		if len(keys) > account.MaxReportedAccounts {
			t.Fatalf("got %d accounts in a round, want at most MaxReportedAccounts", len(keys))
		}
		for _, k := range keys {
			seen[k] = true
		}
	}
	if len(seen) != n {
		t.Errorf("%d of %d accounts reported in three rounds", len(seen), n)
	}
}

func TestIdleAccountsAreEvicted(t *testing.T) {
	a := newRouter("a", "h")
	a.table.EvictIdle(t0.Add(2 * account.EvictAfter))
	if a.table.Len() != 0 {
		t.Errorf("got %d accounts after EvictAfter, want 0", a.table.Len())
	}
}

// Guards against hints that dominate the estimate although finished requests have
// shown another cost.
func TestObservedCostsOutweighHints(t *testing.T) {
	a := newRouter("a", "h").acct
	var all account.Costs
	if got := a.Estimate(api.ClassIdempotent, 4*account.DefaultCost, &all); got != 2*account.DefaultCost {
		t.Errorf("got first estimate %v, want 2*DefaultCost, the geometric mean of hint and default", got)
	}
	for range 30 {
		a.Observe(api.ClassIdempotent, 100)
	}
	if got := a.Estimate(api.ClassIdempotent, 400, &all); got < 100 || got > 120 {
		t.Errorf("got estimate %v, want 100 to 120", got)
	}
}
