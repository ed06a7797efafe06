package permit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/permit"
	"github.com/umberhill/umberhill/internal/ids"
)

var t0 = time.Unix(1000, 0)

func group(concurrency ...int) *permit.Group {
	var ts []permit.Target
	for i, c := range concurrency {
		m := permit.Member{ID: ids.Target(rune('a' + i)), Concurrency: c}
		ts = append(ts, permit.Target{Member: m, Domain: "d", Pools: []ids.Pool{"p"}})
	}
	return permit.Groups(ts)[0]
}

func newOwner(g *permit.Group, expected ...ids.Instance) *permit.Owner {
	return permit.NewOwner(t0, permit.OwnerSettings{
		Interval: time.Second, Tolerance: 100, Grace: 2 * time.Second, Lapse: 6 * time.Second,
	}, g, expected)
}

func newHolder(g *permit.Group) *permit.Holder {
	h := permit.NewHolder(g)
	h.SetOwner(t0, "o", 1)
	return h
}

// tell sends a holder's state and delivers all leases to the holders.
func tell(o *permit.Owner, now time.Time, from ids.Instance, n permit.Need, hs map[ids.Instance]*permit.Holder) {
	o.Hold(now, from, 1, hs[from].State(n), false)
	deliver(o, now, hs)
}

func deliver(o *permit.Owner, now time.Time, hs map[ids.Instance]*permit.Holder) {
	for _, t := range o.Flush() {
		if h := hs[t.To]; h != nil {
			h.Take(now, t.Lease, false)
			h.Take(now, t.Lease, false)
		}
	}
}

func held(h *permit.Holder) int {
	n, _ := h.Totals()
	return n
}

func TestGroupsDoNotDependOnOrder(t *testing.T) {
	var ts []permit.Target
	for i := range 40 {
		m := permit.Member{ID: ids.Target(rune('A' + i)), Concurrency: 1}
		ts = append(ts, permit.Target{Member: m, Domain: "d", Pools: []ids.Pool{"p"}})
	}
	a := permit.Groups(ts)
	for i, j := 0, len(ts)-1; i < j; i, j = i+1, j-1 {
		ts[i], ts[j] = ts[j], ts[i]
	}
	b := permit.Groups(ts)
	if len(a) != 4 || len(a) != len(b) {
		t.Fatalf("%d and %d groups", len(a), len(b))
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			t.Error("different groups")
		}
	}
}

func TestGrantsGoToTheLeastServedUpToTheLimit(t *testing.T) {
	g := group(2, 2)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	tell(o, t0, "x", permit.Need{Want: 3, VS: 50, Step: 10}, hs)
	tell(o, t0, "y", permit.Need{Want: 3, VS: 10, Step: 10}, hs)
	if held(hs["x"]) != 3 || held(hs["y"]) != 1 {
		t.Fatalf("held %d and %d", held(hs["x"]), held(hs["y"]))
	}
	hs["x"].Return(0, 1)
	hs["x"].Return(1, 1)
	tell(o, t0, "x", permit.Need{Want: 2, VS: 50, Step: 10}, hs)
	if held(hs["y"]) != 3 {
		t.Errorf("returned permits went elsewhere: y holds %d", held(hs["y"]))
	}
}

func TestNewOwnerListensFirst(t *testing.T) {
	g := group(4)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	hs["x"].Adopt(0, 3, 3)
	o := newOwner(g, "x", "y")
	tell(o, t0, "y", permit.Need{Want: 4, VS: 1}, hs)
	if held(hs["y"]) != 0 {
		t.Fatal("granted before all had spoken")
	}
	tell(o, t0, "x", permit.Need{VS: permit.NoVS}, hs)
	if held(hs["y"]) != 1 {
		t.Errorf("y holds %d of the one that is free", held(hs["y"]))
	}
}

func TestSilentHolderLapses(t *testing.T) {
	g := group(4)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	tell(o, t0, "x", permit.Need{Want: 4, VS: 1}, hs)
	later := t0.Add(5 * time.Second)
	onlyY := map[ids.Instance]*permit.Holder{"y": hs["y"]}
	tell(o, later, "y", permit.Need{Want: 4, VS: 1}, onlyY)
	o.Round(later, func(ids.Instance) bool { return true })
	deliver(o, later, onlyY)
	if held(hs["y"]) != 0 {
		t.Fatal("lapsed too soon")
	}
	later = t0.Add(6 * time.Second)
	o.Round(later, func(ids.Instance) bool { return true })
	deliver(o, later, onlyY)
	if held(hs["y"]) != 4 || hs["x"].Valid(later, 4*time.Second) {
		t.Errorf("y holds %d; x must have stopped before", held(hs["y"]))
	}
}

func TestUrgentAskRecallsFromWhoIsAhead(t *testing.T) {
	g := group(4)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	tell(o, t0, "x", permit.Need{Want: 9, VS: 500, Step: 10}, hs)
	tell(o, t0, "y", permit.Need{Want: 1, Urgent: 1, VS: 100, Step: 10}, hs)
	if got := hs["x"].Recall(); got != 1 {
		t.Fatalf("recalled %d", got)
	}
	if f := hs["x"].Floor(t0, time.Second); f != 100 {
		t.Errorf("floor %v", f)
	}
}

func TestSoloWaitsUntilTheTargetIsEmpty(t *testing.T) {
	g := group(2)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	tell(o, t0, "x", permit.Need{Want: 2, VS: 1}, hs)
	hs["x"].Use(t0, 0)
	tell(o, t0, "y", permit.Need{Solo: true, VS: permit.NoVS}, hs)
	if !hs["x"].Dropped(0) || hs["y"].Alone() == 0 {
		t.Fatal("target not being emptied")
	}
	hs["x"].Done(t0, 0)
	hs["x"].Return(0, 2)
	tell(o, t0, "x", permit.Need{Want: 5, VS: 1}, hs)
	if hs["y"].Alone() != 0 || held(hs["y"]) != 1 || held(hs["x"]) != 0 {
		t.Fatalf("alone %d, y holds %d, x holds %d", hs["y"].Alone(), held(hs["y"]), held(hs["x"]))
	}
}

func TestLimitFollowsTheTargetsLine(t *testing.T) {
	l := permit.NewLimit(t0, permit.Member{Concurrency: 10})
	l.Load(t0, 3)
	if l.Value() != 10 {
		t.Fatal("fell on a single report")
	}
	l.Load(t0.Add(2*time.Second), 3)
	if l.Value() != 9 {
		t.Fatalf("limit %d", l.Value())
	}
	l.Load(t0.Add(4*time.Second), 0)
	l.Tick(t0.Add(5 * time.Second))
	if l.Value() != 10 {
		t.Fatalf("did not recover: %d", l.Value())
	}
	if got := permit.NewLimit(t0, permit.Member{Concurrency: 8, Fresh: true}).Value(); got != 2 {
		t.Errorf("slow start at %d", got)
	}
}
