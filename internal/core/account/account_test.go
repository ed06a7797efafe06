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

// router is a book and, where it is one, the home.
type router struct {
	name ids.Instance
	book *account.Book
	acct *account.Account
}

func newRouter(name ids.Instance, home ids.Instance) *router {
	r := &router{name: name, book: account.NewBook()}
	r.book.SetRouters(rendezvous.New([]ids.Instance{home}))
	r.acct = r.book.Get(t0, 7, "w", 2)
	return r
}

// step is long enough for any use to be reported.
const step = account.QuietFor

// exchange reports to the home, `copies` times, and takes in its answer.
func (r *router) exchange(now time.Time, h *account.Home, home ids.Instance, copies int) {
	for _, rep := range r.book.Reports(now) {
		for range copies {
			h.Merge(now, account.Reporter{Instance: r.name, Incarnation: 1}, rep)
		}
	}
	if t := h.Answers()[r.name]; t != nil {
		r.book.Answer(now, home, 1, t, func(*account.Account) {})
	}
}

func (r *router) charge(units float64) {
	r.acct.Charge(units)
	r.book.Touch(t0, r.acct)
}

func TestHomeSumsRoutersOnce(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.charge(100)
	b.charge(40)
	a.exchange(t0, h, "h", 3)
	b.exchange(t0, h, "h", 2)
	a.charge(10)
	a.exchange(t0.Add(step), h, "h", 1)
	if got := h.Total(7); got != 150 {
		t.Errorf("total %v", got)
	}
	a.book.SetBacklogged(t0, a.acct, true)
	a.exchange(t0.Add(step), h, "h", 1)
	if got := a.acct.VS(); got != 75 {
		t.Errorf("virtual service %v", got)
	}
}

func TestNewHomeIsRebuiltWithoutCountingTwice(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.book.SetBacklogged(t0, a.acct, true)
	b.book.SetBacklogged(t0, b.acct, true)
	for range 2 {
		a.charge(50)
		b.charge(50)
		a.exchange(t0, h, "h", 1)
		b.exchange(t0, h, "h", 1)
	}
	a.exchange(t0, h, "h", 1)
	if got := a.acct.Units(); got != 200 {
		t.Fatalf("total before %v", got)
	}
	next := account.NewHome()
	for _, r := range []*router{a, b} {
		r.book.SetRouters(rendezvous.New([]ids.Instance{"g"}))
		r.charge(10)
		r.exchange(t0, next, "g", 2)
	}
	// a knew 200 and b 150 before; 20 are new.
	if got := next.Total(7); got < 200 || got > 220 {
		t.Errorf("total at the new home %v", got)
	}
	if a.acct.Units() < 210 {
		t.Errorf("a lost service: %v", a.acct.Units())
	}
}

func TestRestartedHomeLearnsTheLevel(t *testing.T) {
	h := account.NewHome()
	a := newRouter("a", "h")
	a.charge(500)
	a.book.SetBacklogged(t0, a.acct, true)
	a.exchange(t0, h, "h", 1)
	h = account.NewHome()
	for range 3 {
		a.charge(1)
		for _, rep := range a.book.Reports(t0) {
			h.Merge(t0, account.Reporter{Instance: "a", Incarnation: 1}, rep)
		}
		a.book.Answer(t0, "h", 2, h.Answers()["a"], func(*account.Account) {})
	}
	if got := h.Total(7); got != 503 {
		t.Errorf("total %v", got)
	}
}

func TestLiftIsIdempotentAndOnlyForTheIdle(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.charge(10)
	a.exchange(t0, h, "h", 1)
	a.acct.Lift(100)
	a.book.SetBacklogged(t0, a.acct, true)
	a.exchange(t0, h, "h", 2)
	a.exchange(t0, h, "h", 2)
	if got := h.Total(7); got != 200 {
		t.Fatalf("lifted total %v, want level times weight", got)
	}
	b.charge(1)
	b.exchange(t0, h, "h", 1)
	b.acct.Lift(1000)
	b.book.SetBacklogged(t0, b.acct, true)
	for range 3 {
		b.exchange(t0, h, "h", 1)
	}
	if got := h.Total(7); got != 201 {
		t.Errorf("total %v: lifted while backlogged at another router", got)
	}
	if got := b.acct.VS(); got != 100.5 {
		t.Errorf("virtual service %v after the home's word", got)
	}
}

func TestSilentReporterIsFolded(t *testing.T) {
	h := account.NewHome()
	a, b := newRouter("a", "h"), newRouter("b", "h")
	a.charge(30)
	a.exchange(t0, h, "h", 1)
	later := t0.Add(account.ForgetAfter * 3 / 4)
	b.charge(20)
	b.exchange(later, h, "h", 1)
	h.Forget(later.Add(account.ForgetAfter / 2))
	if got := h.Total(7); got != 50 {
		t.Errorf("total %v", got)
	}
	h.Forget(later.Add(2 * account.ForgetAfter))
	if h.Len() != 0 {
		t.Errorf("%d idle keys kept", h.Len())
	}
}

func TestManyAccountsAreReportedInTurn(t *testing.T) {
	b := account.NewBook()
	b.SetRouters(rendezvous.New([]ids.Instance{"h"}))
	const n = 2*account.MaxReported + 10
	for k := range account.Key(n) {
		b.SetBacklogged(t0, b.Get(t0, k, "w", 1), true)
	}
	seen := map[uint64]bool{}
	for range 3 {
		keys := b.Reports(t0)["h"].GetKeys()
		if len(keys) > account.MaxReported {
			t.Fatalf("%d accounts in a round", len(keys))
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
	a.book.Evict(t0.Add(2 * account.EvictAfter))
	if a.book.Len() != 0 {
		t.Errorf("%d accounts kept", a.book.Len())
	}
}

func TestEstimateForgetsWrongHints(t *testing.T) {
	a := newRouter("a", "h").acct
	var all account.Costs
	if got := a.Estimate(api.ClassIdempotent, 4*account.DefaultCost, &all); got != 2*account.DefaultCost {
		t.Errorf("first estimate %v, want the geometric mean of hint and default", got)
	}
	for range 30 {
		a.Observe(api.ClassIdempotent, 100)
	}
	if got := a.Estimate(api.ClassIdempotent, 400, &all); got < 100 || got > 120 {
		t.Errorf("estimate %v", got)
	}
}
