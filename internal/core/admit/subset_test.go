package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// Guards against a router that refuses requests while the engines that it prefers are down,
// although others are idle.
func TestEnginesBeyondThePreferredOnesAreUsedWhileThoseAreDown(t *testing.T) {
	h := newHarness(t, 30, 0)
	h.ApplyFleetReport(start, nil, nil, nil)
	down := make(map[ids.Target]bool)
	for len(down) < 20 {
		v := h.submit(start, "a", "llm", admit.Part{Key: uint64(len(down)), Tokens: 100})
		if v.Target.ID == "" {
			t.Fatalf("request was refused as %q with %d of 30 engines down, want it sent", v.Refused, len(down))
		}
		if down[v.Target.ID] {
			t.Fatalf("request was sent to %s, which is paused", v.Target.ID)
		}
		down[v.Target.ID] = true
		h.AttemptEnded(start.Add(time.Millisecond), v.ID, admit.End{Result: admit.Unreachable, NotRun: true})
	}
}

// Guards against routers of a large fleet that all consider the same engines: their view of
// the load is older than the time between two requests of the fleet for one engine.
func TestRouterOfALargeFleetUsesFewEngines(t *testing.T) {
	h := newHarness(t, 40, 0)
	h.ApplyFleetReport(start, nil, nil, nil)
	used := make(map[ids.Target]bool)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		v := h.submit(now, "a", "llm", admit.Part{Key: uint64(i), Tokens: 100})
		used[v.Target.ID] = true
		h.serve(v, now)
	}
	if len(used) > 8 {
		t.Errorf("100 requests one after the other went to %d of 40 engines, want at most 8", len(used))
	}
}

// Guards against a fleet that has become small and goes on as a large one.
func TestAllEnginesAreConsideredOnceReportsComeFromEachPeer(t *testing.T) {
	h := newHarness(t, 40, 0)
	h.ApplyFleetReport(start, nil, nil, nil)
	var loads []admit.Load
	for i := range 39 {
		loads = append(loads, admit.Load{Target: ids.Target(fmt.Sprintf("e%d", i)), Running: 4})
	}
	h.ApplyPeerReport(start, "peer", loads, nil, nil)
	if v := h.submit(start, "a", "llm", admit.Part{Key: 1, Tokens: 100}); v.Target.ID != "e39" {
		t.Errorf("sent to %s, want e39, the only idle engine of 40", v.Target.ID)
	}
}

// Guards against a router with much of the load that fills the engines it prefers and lets
// requests wait while others are idle (FAIR).
func TestRequestsDoNotWaitWhileEnginesBeyondThePreferredOnesAreIdle(t *testing.T) {
	h := newHarness(t, 40, 0)
	h.ApplyFleetReport(start, nil, nil, nil)
	for i := range 100 {
		if v := h.submit(start, "a", "llm", admit.Part{Key: uint64(i), Tokens: 100}); v.Target.ID == "" {
			t.Fatalf("request %d waits (%v) or is refused as %q while at least 20 of 40 engines are idle", i, v.Waiting, v.Refused)
		}
	}
}

// Guards against requests that wait for the processor of one router and for which all others hold
// back the workspaces beyond their share, while engines are idle (FAIR).
func TestBacklogOfAnOverloadedRouterIsNoClaimOnTargets(t *testing.T) {
	h := newHarness(t, 1, 0)
	for i := range 40 {
		h.submit(start, "a", "llm", admit.Part{Key: uint64(i), Tokens: 100})
	}
	_, calm, _ := h.LocalReport(start, 0)
	if len(calm) != 1 || calm[0].Requests < 10 {
		t.Fatalf("got backlogs %v of a router that has processor time, want one of at least 10 requests", calm)
	}
	_, busy, _ := h.LocalReport(start, 0.9)
	if len(busy) != 1 || busy[0].Requests > (calm[0].Requests+9)/10+1 || busy[0].Tokens >= calm[0].Tokens/2 {
		t.Errorf("got backlogs %v of a router that refuses 0.9 of its load, want a tenth of %v", busy, calm)
	}
	// The router's own part of the fleet's sum is what it reported.
	now := start.Add(100 * time.Millisecond)
	h.ApplyFleetReport(now, nil, []admit.Backlog{{Service: "llm", Requests: busy[0].Requests + 7, Tokens: busy[0].Tokens + 700}}, nil)
	for _, b := range h.Backlogs(now) {
		if others := b.FleetWaiting - b.Waiting; others != 7 {
			t.Errorf("%d requests wait at other routers, want 7", others)
		}
	}
}

// submitBesideOneIdle submits a request at a router that has filled the engines it prefers, while
// the others have filled all engines but one. A part with key 7 is cached at e0.
func submitBesideOneIdle(t *testing.T, engines, idle int, parts ...admit.Part) admit.Verdict {
	t.Helper()
	h := newHarness(t, engines, 0)
	h.ApplyFleetReport(start, nil, nil, nil)
	for i := range 32 {
		h.submit(start, "a", "llm", admit.Part{Key: uint64(100 + i), Tokens: 100})
	}
	var loads []admit.Load
	for i := range engines {
		if i != idle {
			loads = append(loads, admit.Load{Target: ids.Target(fmt.Sprintf("e%d", i)), Running: 8})
		}
	}
	loads[0].CachedKeys = []uint64{7}
	h.ApplyFleetReport(start, loads, nil, nil)
	return h.submit(start.Add(10*time.Millisecond), "a", "llm", parts...)
}

// Guards against requests that leave the engines with their shared parts for any idle one, where the
// parts are prefilled again: that takes more of the engines' time than waiting.
func TestIdleEnginesBeyondThePreferredOnesDoNotRepeatPrefill(t *testing.T) {
	const engines, preferred = 40, 8
	sent, repeated := 0, 0
	for idle := 1; idle < engines; idle++ {
		if submitBesideOneIdle(t, engines, idle, admit.Part{Key: 9, Tokens: 3100}).Target.ID != "" {
			sent++
		}
		if submitBesideOneIdle(t, engines, idle, prompt(7, 3000, 100)...).Target.ID != "" {
			repeated++
		}
	}
	if sent < engines-1-preferred {
		t.Errorf("a request without shared parts was sent to %d of %d idle engines, want all that the router has not filled itself", sent, engines-1)
	}
	if repeated > preferred {
		t.Errorf("a request left its shared part for %d of %d idle engines, want at most the %d that the router prefers", repeated, engines-1, preferred)
	}
}
