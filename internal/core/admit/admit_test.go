package admit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	objective       = 400 * time.Millisecond
	responseTimeout = 4 * time.Second
)

var start = time.Unix(1000, 0)

// harness is a controller with engines named e0, e1 and so on, and plain targets named
// p0, p1 and so on.
type harness struct {
	*admit.Controller
	t      *testing.T
	lastID admit.ID
}

func newHarness(t *testing.T, engines, plain int) *harness {
	controller := admit.New(admit.Options{Domain: "z", ShareWindow: 4 * time.Second, Seed: 1})
	controller.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{
			"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000}},
			"app": {Name: "app"},
		},
		// Each engine prefills 30 tokens per ms.
		Limits: routing.Limits{TokensPerSecond: 30_000 * float64(engines)},
	})
	var all []routing.Target
	for i := range engines {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("e%d", i)), Service: "llm", Domain: "z", Slots: 8})
	}
	for i := range plain {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("p%d", i)), Service: "app", Domain: "z", Slots: 4})
	}
	controller.SetTargets(all)
	return &harness{Controller: controller, t: t}
}

func (h *harness) submit(now time.Time, ws ids.Workspace, service string, parts ...admit.Part) admit.Verdict {
	h.lastID++
	r := admit.Request{
		ID: h.lastID, Service: service, Workspace: ws, Parts: parts,
		ArrivedAt: now, Deadline: now.Add(responseTimeout), Objective: objective,
	}
	for _, p := range parts {
		r.PromptTokens += p.Tokens
	}
	return h.Submit(now, r)
}

// prompt returns a prompt of a shared part and a part of its own.
func prompt(sharedKey uint64, sharedTokens, ownTokens int) []admit.Part {
	return []admit.Part{{Key: sharedKey, Tokens: sharedTokens}, {Key: sharedKey<<32 | uint64(ownTokens), Tokens: ownTokens}}
}

// serve records that a request was served within 40 ms.
func (h *harness) serve(v admit.Verdict, from time.Time) {
	h.ResponseStarted(from.Add(20*time.Millisecond), v.ID, false)
	h.AttemptEnded(from.Add(40*time.Millisecond), v.ID, admit.End{Result: admit.Served})
}

func TestSharedPartReturnsToTheEngineThatCachedIt(t *testing.T) {
	h := newHarness(t, 4, 0)
	first := h.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	h.serve(first, start)
	now := start.Add(time.Second)
	// A small backlog at the engine must not make another one the better choice.
	other := h.submit(now, "a", "llm", prompt(7, 3000, 1200)...)
	again := h.submit(now, "a", "llm", prompt(7, 3000, 100)...)
	if other.Target.ID != first.Target.ID || again.Target.ID != first.Target.ID {
		t.Errorf("requests with one shared part were sent to %s, %s and %s, want one engine", first.Target.ID, other.Target.ID, again.Target.ID)
	}
}

func TestSharedPartIsPrefilledElsewhereIfItsEngineWouldBeLate(t *testing.T) {
	h := newHarness(t, 4, 0)
	first := h.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	h.serve(first, start)
	now := start.Add(time.Second)
	h.ApplyPeerReport(now, "peer", []admit.Load{{Target: first.Target.ID, Running: 3, PendingTokens: 40_000}}, nil, nil)
	v := h.submit(now, "a", "llm", prompt(7, 3000, 100)...)
	if v.Target.ID == "" || v.Target.ID == first.Target.ID {
		t.Errorf("sent to %q although %q has over 1 s of pending prefill, want another engine", v.Target.ID, first.Target.ID)
	}
}

func TestPartsCachedByPeersAreUsed(t *testing.T) {
	h := newHarness(t, 4, 0)
	h.ApplyPeerReport(start, "peer", []admit.Load{{Target: "e2", CachedKeys: []uint64{7}}}, nil, nil)
	if v := h.submit(start, "a", "llm", prompt(7, 3000, 100)...); v.Target.ID != "e2" {
		t.Errorf("sent to %q, want e2, to which a peer had sent the part", v.Target.ID)
	}
}

func TestRoutersAgreeOnTheHomeEngineOfAPart(t *testing.T) {
	counts := make(map[ids.Target]int)
	for key := range uint64(64) {
		one, two := newHarness(t, 4, 0), newHarness(t, 4, 0)
		first := one.submit(start, "a", "llm", prompt(key, 3000, 100)...)
		second := two.submit(start, "b", "llm", prompt(key, 3000, 900)...)
		if first.Target.ID != second.Target.ID {
			t.Errorf("part %d was sent to %s by one router and to %s by another, want the same engine", key, first.Target.ID, second.Target.ID)
		}
		counts[first.Target.ID]++
	}
	for id, n := range counts {
		if n > 32 {
			t.Errorf("%d of 64 parts were sent to %s, want at most 32", n, id)
		}
	}
}

func TestPendingPrefillAtAnEngineIsBounded(t *testing.T) {
	h := newHarness(t, 1, 0)
	sent, waiting, refused := 0, 0, 0
	for i := range 30 {
		v := h.submit(start, ids.Workspace(fmt.Sprint(i)), "llm", admit.Part{Key: uint64(i), Tokens: 2000})
		switch {
		case v.Target.ID != "":
			sent++
		case v.Waiting:
			waiting++
		default:
			refused++
			if v.RetryAfter < 100*time.Millisecond {
				t.Errorf("refused with a Retry-After of %v, want at least 100ms", v.RetryAfter)
			}
		}
	}
	// The engine's pending tokens must be prefilled well within the objective, at
	// 30 tokens per ms, and must not leave the engine idle.
	if prefill := time.Duration(sent) * 2000 / 30 * time.Millisecond; sent < 2 || prefill > objective*3/4 {
		t.Errorf("%d requests of 2,000 tokens were sent at once with a prefill time of %v, want at least 2 within 3/4 of the objective", sent, prefill)
	}
	if waiting == 0 || refused == 0 {
		t.Errorf("%d requests wait and %d were refused, want some of both", waiting, refused)
	}
}

func TestWaitingRequestIsSentOnceThereIsRoom(t *testing.T) {
	h := newHarness(t, 1, 0)
	first := h.submit(start, "a", "llm", admit.Part{Key: 1, Tokens: 5000})
	second := h.submit(start, "b", "llm", admit.Part{Key: 2, Tokens: 5000})
	if !second.Waiting {
		t.Fatalf("got verdict %+v, want waiting", second)
	}
	if got := h.Poll(start.Add(10 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("got verdicts %v although nothing changed, want none", got)
	}
	now := start.Add(150 * time.Millisecond)
	h.ResponseStarted(now, first.ID, false)
	got := h.Poll(now)
	if len(got) != 1 || got[0].ID != second.ID || got[0].Target.ID != "e0" {
		t.Errorf("got verdicts %v, want the waiting request sent to e0", got)
	}
}

func TestFloodingWorkspaceLeavesRoomForOthers(t *testing.T) {
	h := newHarness(t, 2, 0)
	now := start
	for range 200 {
		h.submit(now, "flood", "llm", admit.Part{Key: uint64(h.lastID) + 1000, Tokens: 3000})
		now = now.Add(5 * time.Millisecond)
	}
	accepted := 0
	for range 5 {
		v := h.submit(now, "calm", "llm", admit.Part{Key: uint64(h.lastID) + 9000, Tokens: 300})
		if v.Target.ID != "" || v.Waiting {
			accepted++
		}
	}
	if accepted != 5 {
		t.Errorf("%d of 5 requests of a calm workspace were accepted during another workspace's flood, want all", accepted)
	}
}

func TestWorkspaceBeyondItsShareUsesIdleEngines(t *testing.T) {
	h := newHarness(t, 2, 0)
	usage := map[ids.Workspace]share.Usage{"big": {Requested: 1e6, Started: 1e6}}
	h.ApplyPeerReport(start, "peer", nil, nil, usage)
	if v := h.submit(start, "big", "llm", admit.Part{Key: 1, Tokens: 1000}); v.Target.ID == "" {
		t.Errorf("refused with %v although the engines are idle, want sent", v.Refused)
	}
}

// reportOverShare has a peer report usage that puts a workspace beyond its fair share.
func (h *harness) reportOverShare(now time.Time, ws ids.Workspace, loads ...admit.Load) {
	h.ApplyPeerReport(now, "peer", loads, nil, map[ids.Workspace]share.Usage{
		ws: {Requested: 2e6, Started: 1e6}, "other": {Requested: 1e6, Started: 2e5},
	})
}

// Guards against sending requests beyond the fair share to engines that respond late:
// free slots alone do not make an engine idle.
func TestWorkspaceBeyondItsShareIsNotSentToALateEngine(t *testing.T) {
	h := newHarness(t, 1, 0)
	now := start
	for range 200 {
		v := h.submit(now, "a", "llm", admit.Part{Key: uint64(h.lastID) + 1000, Tokens: 100})
		now = now.Add(objective * 3 / 2)
		h.ResponseStarted(now, v.ID, false)
		h.AttemptEnded(now, v.ID, admit.End{Result: admit.Served})
	}
	h.reportOverShare(now, "big", admit.Load{Target: "e0", Running: 1})
	if v := h.submit(now, "big", "llm", admit.Part{Key: 1, Tokens: 100}); v.Refused != admit.OverShare {
		t.Errorf("got verdict %+v although responses start after 1.5 objectives, want refused as over share", v)
	}
	small := h.submit(now, "small", "llm", admit.Part{Key: 2, Tokens: 100})
	if small.Target.ID == "" {
		t.Errorf("got verdict %+v for a workspace within its share, want sent", small)
	}
	// An engine without work is tried, so that its recovery is observed.
	later := now.Add(10 * time.Millisecond)
	h.AttemptEnded(later, small.ID, admit.End{Result: admit.Canceled})
	h.reportOverShare(later, "big")
	if v := h.submit(later, "big", "llm", admit.Part{Key: 3, Tokens: 100}); v.Target.ID == "" {
		t.Errorf("refused with %v although the engine has no work, want sent", v.Refused)
	}
}

// Requests that wait within their workspaces' fair share, at any router, go before those
// beyond it.
func TestWorkspaceBeyondItsShareYieldsToTheBacklogOfAllRouters(t *testing.T) {
	for _, c := range []struct {
		waiting, running int
		want             bool
	}{{0, 3, true}, {2, 3, false}, {2, 1, true}, {4, 0, false}} {
		h := newHarness(t, 4, 0)
		var loads []admit.Load
		for i := range 4 {
			loads = append(loads, admit.Load{Target: ids.Target(fmt.Sprintf("e%d", i)), Running: c.running})
		}
		h.reportOverShare(start, "big", loads...)
		h.ApplyPeerReport(start, "busy", nil, []admit.Backlog{{Service: "llm", Requests: c.waiting}}, nil)
		v := h.submit(start, "big", "llm", admit.Part{Key: 1, Tokens: 100})
		if got := v.Target.ID != ""; got != c.want {
			t.Errorf("%d requests waiting at a peer, %d running at each of 4 engines: got sent %v, want %v", c.waiting, c.running, got, c.want)
		}
	}
}

// Prefilling a shared part at a further engine takes engine time from all workspaces,
// so a workspace beyond its fair share may do so only at an engine with little work.
func TestWorkspaceBeyondItsShareRepeatsPrefillOnlyAtLightlyLoadedEngines(t *testing.T) {
	for _, c := range []struct {
		name    string
		running int
		shared  int
		want    ids.Target
	}{
		{"half full", 3, 3000, ""},
		{"little work", 1, 3000, "e1"},
		{"half full, a small part", 3, 100, "e1"},
	} {
		h := newHarness(t, 2, 0)
		h.reportOverShare(start, "big",
			admit.Load{Target: "e0", Running: 6, CachedKeys: []uint64{7}}, admit.Load{Target: "e1", Running: c.running})
		v := h.submit(start, "big", "llm", prompt(7, c.shared, 100)...)
		if v.Target.ID != c.want {
			t.Errorf("%s: sent to %q, want %q", c.name, v.Target.ID, c.want)
		}
	}
}

func TestUnreachableTargetIsPausedThenProbedByOneRequest(t *testing.T) {
	h := newHarness(t, 0, 1)
	v := h.submit(start, "", "app")
	h.AttemptEnded(start, v.ID, admit.End{Result: admit.Unreachable})
	if v := h.submit(start.Add(50*time.Millisecond), "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("got verdict %+v right after a refused connection, want refused for lack of a target", v)
	}
	later := start.Add(time.Second)
	probe, other := h.submit(later, "", "app"), h.submit(later, "", "app")
	if probe.Target.ID == "" || other.Refused != admit.NoTarget {
		t.Errorf("got probe %+v and concurrent request %+v, want the first sent and the second refused", probe, other)
	}
	h.AttemptEnded(later, probe.ID, admit.End{Result: admit.Served})
	if v := h.submit(later, "", "app"); v.Target.ID == "" {
		t.Errorf("got verdict %+v after the probe succeeded, want sent", v)
	}
}

func TestFailingTargetIsAvoidedAndUsedAgainLater(t *testing.T) {
	h := newHarness(t, 0, 2)
	now := start
	const took = 30 * time.Millisecond
	for range 10 {
		v := h.submit(now, "", "app")
		result := admit.Served
		if v.Target.ID == "p0" {
			result = admit.Failed
		}
		now = now.Add(took)
		h.AttemptEnded(now, v.ID, admit.End{Result: result})
	}
	for range 5 {
		v := h.submit(now, "", "app")
		if v.Target.ID != "p1" {
			t.Errorf("sent to %s, which fails, want p1", v.Target.ID)
		}
		now = now.Add(took)
		h.AttemptEnded(now, v.ID, admit.End{Result: admit.Served})
	}
	later := now.Add(time.Minute)
	seen := make(map[ids.Target]bool)
	for range 4 {
		seen[h.submit(later, "", "app").Target.ID] = true
	}
	if !seen["p0"] {
		t.Error("p0 got no request one minute after its last failure, want it used again")
	}
}

func TestRestartedTargetStartsEmpty(t *testing.T) {
	h := newHarness(t, 2, 0)
	first := h.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	h.SetTargets([]routing.Target{{ID: first.Target.ID, Service: "llm", Domain: "z", Slots: 8, StartTimeMS: 9}})
	v := h.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	if v.Inputs.UncachedTokens != 3100 || v.Inputs.Running != 0 {
		t.Errorf("got inputs %+v for a new run, want 3100 uncached tokens and no running requests", v.Inputs)
	}
	// The end of a request of the old run must not change the load of the new one.
	h.AttemptEnded(start, first.ID, admit.End{Result: admit.Failed})
	loads, _, _ := h.LocalReport(start, 0)
	if len(loads) != 1 || loads[0].Running != 1 {
		t.Errorf("got loads %+v, want one load with 1 running request", loads)
	}
}

func TestDrainingTargetGetsNoRequests(t *testing.T) {
	h := newHarness(t, 0, 1)
	h.SetTargets([]routing.Target{{ID: "p0", Service: "app", Slots: 4, Draining: true}})
	if v := h.submit(start, "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("got verdict %+v, want refused for lack of a target", v)
	}
}

func TestRequestOfAKindJustRefusedIsRefusedEarly(t *testing.T) {
	h := newHarness(t, 1, 0)
	big := func() admit.Request {
		h.lastID++
		return admit.Request{
			ID: h.lastID, Service: "llm", Workspace: "a", Parts: []admit.Part{{Key: uint64(h.lastID), Tokens: 4000}},
			PromptTokens: 4000, ArrivedAt: start, Deadline: start.Add(responseTimeout), Objective: objective,
		}
	}
	if _, refused := h.RefuseEarly(start, big(), false); refused {
		t.Error("refused early although no request was refused before")
	}
	for h.Submit(start, big()).Refused == "" {
	}
	v, refused := h.RefuseEarly(start.Add(time.Millisecond), big(), false)
	if !refused || v.Refused == "" || v.RetryAfter <= 0 {
		t.Errorf("got verdict %+v right after the refusal of a request of the same kind, want refused with a Retry-After", v)
	}
	for _, isOverloaded := range []bool{false, true} {
		if _, refused := h.RefuseEarly(start.Add(50*time.Millisecond), big(), isOverloaded); refused {
			t.Errorf("overloaded %v: refused early 50 ms after the last refusal, want it expired", isOverloaded)
		}
	}
}

// Guards against an overloaded router that evaluates all targets for hundreds of requests a
// second which it then refuses, and has no processor time left for the others (FAIR).
func TestRefusalHoldsForLongerOnAnOverloadedRouter(t *testing.T) {
	h := newHarness(t, 1, 0)
	big := admit.Request{
		ID: 1000, Service: "llm", Workspace: "a", Parts: []admit.Part{{Key: 1, Tokens: 4000}},
		PromptTokens: 4000, ArrivedAt: start, Deadline: start.Add(responseTimeout), Objective: objective,
	}
	for h.Submit(start, big).Refused == "" {
		big.ID++
	}
	later := start.Add(20 * time.Millisecond)
	if _, refused := h.RefuseEarly(later, big, false); refused {
		t.Error("refused early 20 ms after the last refusal, want it expired")
	}
	if _, refused := h.RefuseEarly(later, big, true); !refused {
		t.Error("not refused early 20 ms after the last refusal on an overloaded router")
	}
}

func TestTargetWhoseAddressWasReusedIsPaused(t *testing.T) {
	h := newHarness(t, 0, 1)
	v := h.submit(start, "", "app")
	h.AttemptEnded(start, v.ID, admit.End{Result: admit.Replaced})
	if v := h.submit(start.Add(2*time.Second), "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("got verdict %+v after 2s, before the target list is updated, want refused for lack of a target", v)
	}
	if v := h.submit(start.Add(4*time.Second), "", "app"); v.Target.ID == "" {
		t.Errorf("got verdict %+v after 4s, want the target probed", v)
	}
}

func TestVerdictStatesWhatItsRankIsBasedOn(t *testing.T) {
	h := newHarness(t, 2, 0)
	h.ApplyPeerReport(start, "peer", nil, nil, map[ids.Workspace]share.Usage{"a": {Requested: 9_000, Started: 7_000}})
	h.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	in := h.submit(start.Add(100*time.Millisecond), "a", "llm", prompt(8, 2000, 100)...).Inputs
	if in.ChargedTokens != 2100 {
		t.Errorf("got %d charged tokens, want 2100", in.ChargedTokens)
	}
	// In the decay time of 2 s, reported usage counts half, and in 100 ms 5% of it decays.
	st := in.Standing
	if math.Abs(st.Own.Started-2949) > 1 || st.Peers.Started != 3_500 || st.Peers.Requested != 4_500 {
		t.Errorf("got usage %+v here and %+v at peers, want 2949 started here, and 3500 of 4500 at peers", st.Own, st.Peers)
	}
	if st.ReportAge != 100*time.Millisecond || st.GuaranteedLevel <= 0 || st.FairLevel < st.GuaranteedLevel {
		t.Errorf("got report age %v and levels %v and %v, want 100ms and positive levels", st.ReportAge, st.GuaranteedLevel, st.FairLevel)
	}
}

// Guards against workspaces that are refused as beyond their share for requests that no
// engine ran.
func TestWorkspaceIsNotChargedForRequestsThatDidNotRun(t *testing.T) {
	ends := map[string]struct {
		end  admit.End
		want share.Rank
	}{
		"not sent":               {admit.End{Result: admit.Unreachable, NotRun: true}, share.Guaranteed},
		"rejected":               {admit.End{Result: admit.Rejected, NotRun: true}, share.Guaranteed},
		"canceled before sent":   {admit.End{Result: admit.Canceled, NotRun: true}, share.Guaranteed},
		"lost after it was sent": {admit.End{Result: admit.Unreachable}, share.Excess},
		"served":                 {admit.End{Result: admit.Served}, share.Excess},
	}
	for name, c := range ends {
		h := newHarness(t, 200, 0)
		h.SetConfig(&routing.Config{
			Services: map[string]*routing.Service{"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000}}},
			Limits:   routing.Limits{TokensPerSecond: 100_000},
		})
		h.ApplyPeerReport(start, "peer", nil, nil, map[ids.Workspace]share.Usage{"others": {Requested: 1e9, Started: 1e6}})
		now := start
		for i := range uint64(100) {
			now = now.Add(5 * time.Millisecond)
			v := h.submit(now, "a", "llm", prompt(i, 30_000, 100)...)
			if v.Target.ID == "" {
				break
			}
			h.AttemptEnded(now.Add(time.Millisecond), v.ID, c.end)
		}
		if got := h.submit(now.Add(time.Second), "a", "llm", prompt(999, 3000, 100)...).Inputs.Rank; got != c.want {
			t.Errorf("%s: got rank %d, want %d", name, got, c.want)
		}
	}
}
