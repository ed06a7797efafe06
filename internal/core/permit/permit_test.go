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
		Interval: time.Second, Tolerance: 100, GracePeriod: 2 * time.Second, HolderTimeout: 6 * time.Second,
	}, g, expected)
}

func newHolder(g *permit.Group) *permit.Holder {
	h := permit.NewHolder(g)
	h.SetOwner(t0, "o", 1)
	return h
}

// sendHold merges a holder's report at the owner and delivers the resulting
// leases to the holders.
func sendHold(o *permit.Owner, now time.Time, from ids.Instance, d permit.Demand, hs map[ids.Instance]*permit.Holder) {
	o.MergeHold(now, from, 1, hs[from].Report(d), false)
	deliverLeases(o, now, hs)
}

// deliverLeases delivers each pending lease twice, as a repeated message must do
// no harm.
func deliverLeases(o *permit.Owner, now time.Time, hs map[ids.Instance]*permit.Holder) {
	for _, t := range o.Flush() {
		if h := hs[t.To]; h != nil {
			h.MergeLease(now, t.Lease, false)
			h.MergeLease(now, t.Lease, false)
		}
	}
}

func totalHeld(h *permit.Holder) int {
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
		t.Fatalf("got %d groups, and %d for the reverse order; want 4 for both", len(a), len(b))
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			t.Error("a group's ID depends on the order of the targets")
		}
	}
}

// Guards against permits that are granted beyond a target's limit or, while
// several routers wait, not to the one with the least virtual service.
func TestGrantsGoToLeastVirtualServiceUpToLimit(t *testing.T) {
	g := group(2, 2)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	sendHold(o, t0, "x", permit.Demand{Want: 3, VirtualService: 50, VirtualServiceStep: 10}, hs)
	sendHold(o, t0, "y", permit.Demand{Want: 3, VirtualService: 10, VirtualServiceStep: 10}, hs)
	if totalHeld(hs["x"]) != 3 || totalHeld(hs["y"]) != 1 {
		t.Fatalf("x holds %d and y %d permits, want 3 and 1", totalHeld(hs["x"]), totalHeld(hs["y"]))
	}
	hs["x"].Return(0, 1)
	hs["x"].Return(1, 1)
	sendHold(o, t0, "x", permit.Demand{Want: 2, VirtualService: 50, VirtualServiceStep: 10}, hs)
	if totalHeld(hs["y"]) != 3 {
		t.Errorf("y holds %d permits after x returned 2, want 3", totalHeld(hs["y"]))
	}
}

// Guards against a new owner that grants permits which other routers still hold
// from the previous owner: it must wait for the reports of all expected routers.
func TestNewOwnerWaitsForExpectedReports(t *testing.T) {
	g := group(4)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	hs["x"].Adopt(0, 3, 3)
	o := newOwner(g, "x", "y")
	sendHold(o, t0, "y", permit.Demand{Want: 4, VirtualService: 1}, hs)
	if totalHeld(hs["y"]) != 0 {
		t.Fatal("permits granted before all expected routers had reported")
	}
	sendHold(o, t0, "x", permit.Demand{VirtualService: permit.NoVirtualService}, hs)
	if totalHeld(hs["y"]) != 1 {
		t.Errorf("y holds %d permits, want the 1 that is free", totalHeld(hs["y"]))
	}
}

// Guards against permits that are granted anew while an unresponsive holder may still
// use them: the holder's lease must expire before the owner removes the holder.
func TestUnresponsiveHolderIsRemovedAfterTimeout(t *testing.T) {
	g := group(4)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	sendHold(o, t0, "x", permit.Demand{Want: 4, VirtualService: 1}, hs)
	later := t0.Add(5 * time.Second)
	onlyY := map[ids.Instance]*permit.Holder{"y": hs["y"]}
	sendHold(o, later, "y", permit.Demand{Want: 4, VirtualService: 1}, onlyY)
	o.Round(later, func(ids.Instance) bool { return true })
	deliverLeases(o, later, onlyY)
	if totalHeld(hs["y"]) != 0 {
		t.Fatal("permits of an unresponsive holder granted anew before the holder timeout")
	}
	later = t0.Add(6 * time.Second)
	o.Round(later, func(ids.Instance) bool { return true })
	deliverLeases(o, later, onlyY)
	if totalHeld(hs["y"]) != 4 || hs["x"].IsLeaseValid(later, 4*time.Second) {
		t.Errorf("y holds %d permits, want 4; the lease of x must have expired before", totalHeld(hs["y"]))
	}
}

// Guards against a router without permits that waits while another, ahead of it
// by more than the tolerance, keeps all permits of the group.
func TestUrgentDemandRecallsFromHolderAhead(t *testing.T) {
	g := group(4)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	sendHold(o, t0, "x", permit.Demand{Want: 9, VirtualService: 500, VirtualServiceStep: 10}, hs)
	sendHold(o, t0, "y", permit.Demand{Want: 1, Urgent: 1, VirtualService: 100, VirtualServiceStep: 10}, hs)
	if got := hs["x"].Recall(); got != 1 {
		t.Fatalf("got a recall of %d permits from x, want 1", got)
	}
	if f := hs["x"].Floor(t0, time.Second); f != 100 {
		t.Errorf("got floor %v at x, want 100", f)
	}
}

// Guards against a target being assigned to one router for a solo request while
// another router still holds permits for it.
func TestSoloWaitsUntilTargetIsEmpty(t *testing.T) {
	g := group(2)
	o := newOwner(g)
	hs := map[ids.Instance]*permit.Holder{"x": newHolder(g), "y": newHolder(g)}
	sendHold(o, t0, "x", permit.Demand{Want: 2, VirtualService: 1}, hs)
	hs["x"].Use(t0, 0)
	sendHold(o, t0, "y", permit.Demand{Solo: true, VirtualService: permit.NoVirtualService}, hs)
	if !hs["x"].IsReturnRequested(0) || hs["y"].SoloMember() == 0 {
		t.Fatal("permits of the target not requested back, or solo member assigned too early")
	}
	hs["x"].Done(t0, 0)
	hs["x"].Return(0, 2)
	sendHold(o, t0, "x", permit.Demand{Want: 5, VirtualService: 1}, hs)
	if hs["y"].SoloMember() != 0 || totalHeld(hs["y"]) != 1 || totalHeld(hs["x"]) != 0 {
		t.Fatalf("solo member %d, y holds %d permits, x holds %d; want 0, 1, 0", hs["y"].SoloMember(), totalHeld(hs["y"]), totalHeld(hs["x"]))
	}
}

// Guards against a limit that decreases on a single load report with waiting
// requests, or does not recover once the target's queue is empty.
func TestLimitFollowsTargetQueue(t *testing.T) {
	l := permit.NewLimit(t0, permit.Member{Concurrency: 10})
	l.ObserveLoad(t0, 3)
	if l.Value() != 10 {
		t.Fatal("limit decreased after a single load report with waiting requests")
	}
	l.ObserveLoad(t0.Add(2*time.Second), 3)
	if l.Value() != 9 {
		t.Fatalf("got limit %d after two load reports with waiting requests, want 9", l.Value())
	}
	l.ObserveLoad(t0.Add(4*time.Second), 0)
	l.Recover(t0.Add(5 * time.Second))
	if l.Value() != 10 {
		t.Fatalf("got limit %d after recovery, want 10", l.Value())
	}
	if got := permit.NewLimit(t0, permit.Member{Concurrency: 8, SlowStart: true}).Value(); got != 2 {
		t.Errorf("got limit %d at slow start, want 2", got)
	}
}
