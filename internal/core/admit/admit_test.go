package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	objective = 400 * time.Millisecond
	patience  = 4 * time.Second
)

var start = time.Unix(1000, 0)

// bed is a controller with engines e0, e1 and so on and plain targets p0, p1 and so on.
type bed struct {
	*admit.Controller
	t      *testing.T
	lastID admit.ID
}

func newBed(t *testing.T, engines, plain int) *bed {
	l := admit.New(admit.Options{Domain: "z", Window: 4 * time.Second, Seed: 1})
	l.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{
			"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000}},
			"app": {Name: "app"},
		},
		// 30 tokens a ms at each engine.
		Limits: routing.Limits{TokensPerSecond: 30_000 * float64(engines)},
	})
	var all []routing.Target
	for i := range engines {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("e%d", i)), Service: "llm", Domain: "z", Slots: 8})
	}
	for i := range plain {
		all = append(all, routing.Target{ID: ids.Target(fmt.Sprintf("p%d", i)), Service: "app", Domain: "z", Slots: 4})
	}
	l.SetTargets(all)
	return &bed{Controller: l, t: t}
}

func (b *bed) submit(now time.Time, ws ids.Workspace, service string, parts ...admit.Part) admit.Verdict {
	b.lastID++
	r := admit.Request{
		ID: b.lastID, Service: service, Workspace: ws, Parts: parts,
		Arrived: now, Deadline: now.Add(patience), Objective: objective,
	}
	for _, p := range parts {
		r.Prompt += p.Tokens
	}
	return b.Submit(now, r)
}

// prompt has a shared part and one of its own.
func prompt(shared uint64, sharedTokens, own int) []admit.Part {
	return []admit.Part{{Key: shared, Tokens: sharedTokens}, {Key: shared<<32 | uint64(own), Tokens: own}}
}

func (b *bed) serve(v admit.Verdict, from time.Time) {
	b.Began(from.Add(20*time.Millisecond), v.ID)
	b.Ended(from.Add(40*time.Millisecond), v.ID, admit.Served)
}

func TestSharedPartGoesBackToItsEngine(t *testing.T) {
	b := newBed(t, 4, 0)
	first := b.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	b.serve(first, start)
	now := start.Add(time.Second)
	// A little work there does not make another engine the better choice.
	other := b.submit(now, "a", "llm", prompt(7, 3000, 1200)...)
	again := b.submit(now, "a", "llm", prompt(7, 3000, 100)...)
	if other.Target.ID != first.Target.ID || again.Target.ID != first.Target.ID {
		t.Errorf("went to %s, %s and %s", first.Target.ID, other.Target.ID, again.Target.ID)
	}
}

func TestSharedPartIsReadElsewhereWhereItsEngineWouldBeLate(t *testing.T) {
	b := newBed(t, 4, 0)
	first := b.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	b.serve(first, start)
	now := start.Add(time.Second)
	b.Report(now, "peer", []admit.Load{{Target: first.Target.ID, Running: 3, Pending: 40_000}}, nil, nil)
	v := b.submit(now, "a", "llm", prompt(7, 3000, 100)...)
	if v.Target.ID == "" || v.Target.ID == first.Target.ID {
		t.Errorf("went to %q although %q is over a second behind", v.Target.ID, first.Target.ID)
	}
}

func TestPeersPartsAreKnown(t *testing.T) {
	b := newBed(t, 4, 0)
	b.Report(start, "peer", []admit.Load{{Target: "e2", Cached: []uint64{7}}}, nil, nil)
	if v := b.submit(start, "a", "llm", prompt(7, 3000, 100)...); v.Target.ID != "e2" {
		t.Errorf("went to %q, not where a peer had the part read", v.Target.ID)
	}
}

func TestRoutersAgreeOnTheFirstEngineOfAPart(t *testing.T) {
	seen := make(map[ids.Target]int)
	for key := range uint64(64) {
		one, two := newBed(t, 4, 0), newBed(t, 4, 0)
		a := one.submit(start, "a", "llm", prompt(key, 3000, 100)...)
		b := two.submit(start, "b", "llm", prompt(key, 3000, 900)...)
		if a.Target.ID != b.Target.ID {
			t.Errorf("part %d goes to %s and %s", key, a.Target.ID, b.Target.ID)
		}
		seen[a.Target.ID]++
	}
	for id, n := range seen {
		if n > 32 {
			t.Errorf("%d of 64 parts go to %s", n, id)
		}
	}
}

func TestReadingAheadOfAnEngineIsBoundedAndTheRestWaits(t *testing.T) {
	b := newBed(t, 1, 0)
	sent, waiting, refused := 0, 0, 0
	for i := range 30 {
		v := b.submit(start, ids.Workspace(fmt.Sprint(i)), "llm", admit.Part{Key: uint64(i), Tokens: 2000})
		switch {
		case v.Target.ID != "":
			sent++
		case v.Waiting:
			waiting++
		default:
			refused++
			if v.RetryAfter < 100*time.Millisecond {
				t.Errorf("refused with a Retry-After of %v", v.RetryAfter)
			}
		}
	}
	// What the engine holds unread must be read well within the objective, at
	// 30 tokens a ms, and must not leave it idle.
	if unread := time.Duration(sent) * 2000 / 30 * time.Millisecond; sent < 2 || unread > objective*3/4 {
		t.Errorf("%d requests of 2,000 tokens were sent at once, %v to read", sent, unread)
	}
	if waiting == 0 || refused == 0 {
		t.Errorf("%d wait and %d are refused", waiting, refused)
	}
}

func TestWaitingRequestGoesOnceThereIsRoom(t *testing.T) {
	b := newBed(t, 1, 0)
	first := b.submit(start, "a", "llm", admit.Part{Key: 1, Tokens: 5000})
	second := b.submit(start, "b", "llm", admit.Part{Key: 2, Tokens: 5000})
	if !second.Waiting {
		t.Fatalf("verdict %+v, want waiting", second)
	}
	if got := b.Poll(start.Add(10 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("decided %v although nothing changed", got)
	}
	now := start.Add(150 * time.Millisecond)
	b.Began(now, first.ID)
	got := b.Poll(now)
	if len(got) != 1 || got[0].ID != second.ID || got[0].Target.ID != "e0" {
		t.Errorf("decided %v", got)
	}
}

func TestFloodingWorkspaceLeavesRoomForTheOthers(t *testing.T) {
	b := newBed(t, 2, 0)
	now := start
	for range 200 {
		b.submit(now, "flood", "llm", admit.Part{Key: uint64(b.lastID) + 1000, Tokens: 3000})
		now = now.Add(5 * time.Millisecond)
	}
	served := 0
	for range 5 {
		v := b.submit(now, "calm", "llm", admit.Part{Key: uint64(b.lastID) + 9000, Tokens: 300})
		if v.Target.ID != "" || v.Waiting {
			served++
		}
	}
	if served != 5 {
		t.Errorf("%d of 5 requests of a calm workspace were taken beside a flood", served)
	}
}

func TestWorkspaceBeyondItsShareUsesWhatIsIdle(t *testing.T) {
	b := newBed(t, 2, 0)
	use := map[ids.Workspace]share.Use{"big": {Asked: 1e6, Started: 1e6}}
	b.Report(start, "peer", nil, nil, use)
	if v := b.submit(start, "big", "llm", admit.Part{Key: 1, Tokens: 1000}); v.Target.ID == "" {
		t.Errorf("refused with %v although the engines are idle", v.Refused)
	}
}

// overShare makes a workspace one that has had its share.
func (b *bed) overShare(now time.Time, ws ids.Workspace, loads ...admit.Load) {
	b.Report(now, "peer", loads, nil, map[ids.Workspace]share.Use{
		ws: {Asked: 2e6, Started: 1e6}, "other": {Asked: 1e6, Started: 2e5},
	})
}

// Engines that answer late are not idle, whatever slots they have left.
func TestWorkspaceBeyondItsShareIsNotSentWhereItWouldBeLate(t *testing.T) {
	b := newBed(t, 1, 0)
	now := start
	for range 200 {
		v := b.submit(now, "a", "llm", admit.Part{Key: uint64(b.lastID) + 1000, Tokens: 100})
		now = now.Add(objective * 3 / 2)
		b.Began(now, v.ID)
		b.Ended(now, v.ID, admit.Served)
	}
	b.overShare(now, "big", admit.Load{Target: "e0", Running: 1})
	if v := b.submit(now, "big", "llm", admit.Part{Key: 1, Tokens: 100}); v.Refused != admit.OverShare {
		t.Errorf("verdict %+v although answers begin after one and a half objectives", v)
	}
	small := b.submit(now, "small", "llm", admit.Part{Key: 2, Tokens: 100})
	if small.Target.ID == "" {
		t.Errorf("verdict %+v within its share", small)
	}
	// One without work is tried, so that it is seen when it is fast again.
	later := now.Add(10 * time.Millisecond)
	b.Ended(later, small.ID, admit.Left)
	b.overShare(later, "big")
	if v := b.submit(later, "big", "llm", admit.Part{Key: 3, Tokens: 100}); v.Target.ID == "" {
		t.Errorf("refused with %v by an engine without work", v.Refused)
	}
}

// Requests that wait within their share, at whichever router, come first.
func TestWorkspaceBeyondItsShareYieldsToTheBacklogOfAllRouters(t *testing.T) {
	for _, c := range []struct {
		waiting, running int
		want             bool
	}{{0, 3, true}, {2, 3, false}, {2, 1, true}, {4, 0, false}} {
		b := newBed(t, 4, 0)
		var loads []admit.Load
		for i := range 4 {
			loads = append(loads, admit.Load{Target: ids.Target(fmt.Sprintf("e%d", i)), Running: c.running})
		}
		b.overShare(start, "big", loads...)
		b.Report(start, "busy", nil, []admit.Backlog{{Service: "llm", Requests: c.waiting}}, nil)
		v := b.submit(start, "big", "llm", admit.Part{Key: 1, Tokens: 100})
		if got := v.Target.ID != ""; got != c.want {
			t.Errorf("%d wait elsewhere, %d run at each of 4 engines: sent %v, want %v", c.waiting, c.running, got, c.want)
		}
	}
}

// Reading a shared part at one more engine takes reading time from all workspaces,
// so one that has had its share gets it only where little else is to be done.
func TestWorkspaceBeyondItsShareReadsAgainOnlyAtEnginesWithLittleWork(t *testing.T) {
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
		b := newBed(t, 2, 0)
		b.overShare(start, "big",
			admit.Load{Target: "e0", Running: 6, Cached: []uint64{7}}, admit.Load{Target: "e1", Running: c.running})
		v := b.submit(start, "big", "llm", prompt(7, c.shared, 100)...)
		if v.Target.ID != c.want {
			t.Errorf("%s: went to %q, want %q", c.name, v.Target.ID, c.want)
		}
	}
}

func TestUnreachableTargetIsLeftAloneThenTriedByOne(t *testing.T) {
	b := newBed(t, 0, 1)
	v := b.submit(start, "", "app")
	b.Ended(start, v.ID, admit.Unreachable)
	if v := b.submit(start.Add(50*time.Millisecond), "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("verdict %+v right after a refused connection", v)
	}
	later := start.Add(time.Second)
	trial, other := b.submit(later, "", "app"), b.submit(later, "", "app")
	if trial.Target.ID == "" || other.Refused != admit.NoTarget {
		t.Errorf("trial %+v, beside it %+v", trial, other)
	}
	b.Ended(later, trial.ID, admit.Served)
	if v := b.submit(later, "", "app"); v.Target.ID == "" {
		t.Errorf("verdict %+v after the trial succeeded", v)
	}
}

func TestFailingTargetIsAvoidedAndTriedAgain(t *testing.T) {
	b := newBed(t, 0, 2)
	now := start
	const took = 30 * time.Millisecond
	for range 10 {
		v := b.submit(now, "", "app")
		result := admit.Served
		if v.Target.ID == "p0" {
			result = admit.Failed
		}
		now = now.Add(took)
		b.Ended(now, v.ID, result)
	}
	for range 5 {
		v := b.submit(now, "", "app")
		if v.Target.ID != "p1" {
			t.Errorf("went to %s, which fails", v.Target.ID)
		}
		now = now.Add(took)
		b.Ended(now, v.ID, admit.Served)
	}
	later := now.Add(time.Minute)
	seen := make(map[ids.Target]bool)
	for range 4 {
		seen[b.submit(later, "", "app").Target.ID] = true
	}
	if !seen["p0"] {
		t.Error("a target that failed a minute ago is still avoided")
	}
}

func TestRestartedTargetStartsEmpty(t *testing.T) {
	b := newBed(t, 2, 0)
	first := b.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	b.SetTargets([]routing.Target{{ID: first.Target.ID, Service: "llm", Domain: "z", Slots: 8, Born: 9}})
	v := b.submit(start, "a", "llm", prompt(7, 3000, 100)...)
	if v.Inputs.Uncached != 3100 || v.Inputs.Running != 0 {
		t.Errorf("a new run is believed to hold work or parts: %+v", v.Inputs)
	}
	// The end of the old run's request does not touch the new one.
	b.Ended(start, first.ID, admit.Failed)
	loads, _, _ := b.Own(start)
	if len(loads) != 1 || loads[0].Running != 1 {
		t.Errorf("loads %+v", loads)
	}
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	b := newBed(t, 0, 1)
	b.SetTargets([]routing.Target{{ID: "p0", Service: "app", Slots: 4, Leaving: true}})
	if v := b.submit(start, "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("verdict %+v", v)
	}
}

func TestRequestLikeOneJustRefusedIsRefusedEarly(t *testing.T) {
	b := newBed(t, 1, 0)
	big := func() admit.Request {
		b.lastID++
		return admit.Request{
			ID: b.lastID, Service: "llm", Workspace: "a", Parts: []admit.Part{{Key: uint64(b.lastID), Tokens: 4000}},
			Prompt: 4000, Arrived: start, Deadline: start.Add(patience), Objective: objective,
		}
	}
	if _, refused := b.RefuseEarly(start, big()); refused {
		t.Error("refused although nothing was refused")
	}
	for b.Submit(start, big()).Refused == "" {
	}
	v, refused := b.RefuseEarly(start.Add(time.Millisecond), big())
	if !refused || v.Refused == "" || v.RetryAfter <= 0 {
		t.Errorf("verdict %+v right after one like it was refused", v)
	}
	if _, refused := b.RefuseEarly(start.Add(50*time.Millisecond), big()); refused {
		t.Error("still refused long after")
	}
}

func TestTargetWhoseAddressIsAnothersIsLeftAlone(t *testing.T) {
	b := newBed(t, 0, 1)
	v := b.submit(start, "", "app")
	b.Ended(start, v.ID, admit.Replaced)
	if v := b.submit(start.Add(2*time.Second), "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("verdict %+v while the list lags", v)
	}
	if v := b.submit(start.Add(4*time.Second), "", "app"); v.Target.ID == "" {
		t.Errorf("verdict %+v: it is never tried again", v)
	}
}
