package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const testDrainTimeout = 2 * time.Second

// newPlainHarness returns a controller with one service, "app", and the targets.
func newPlainHarness(t *testing.T, targets ...routing.Target) *harness {
	controller := admit.New(admit.Options{Domain: "z", ShareWindow: 4 * time.Second, DrainTimeout: testDrainTimeout, Seed: 1})
	controller.SetConfig(&routing.Config{Services: map[string]*routing.Service{"app": {Name: "app"}}})
	h := &harness{Controller: controller, t: t}
	h.SetTargets(targets)
	return h
}

func appTarget(id ids.Target, startTimeMS int64) routing.Target {
	return routing.Target{ID: id, Service: "app", Domain: "z", Address: "addr-" + string(id), Slots: 4, StartTimeMS: startTimeMS}
}

// placedAt submits requests that end at once, and returns how many reached each target.
func (h *harness) placedAt(now time.Time, n int) map[ids.Target]int {
	counts := make(map[ids.Target]int)
	for range n {
		v := h.submit(now, "", "app")
		counts[v.Target.ID]++
		h.AttemptEnded(now, v.ID, admit.End{Result: admit.Canceled})
	}
	return counts
}

// answerLeaving has the target of a request answer it and say that it leaves.
func (h *harness) answerLeaving(now time.Time, v admit.Verdict) {
	h.t.Helper()
	if news := h.RecordStatement(now, v.ID, admit.Statement{Leaving: true}); !news.Leaving {
		h.t.Errorf("statement of %s: got known already, want new", v.Target.ID)
	}
	h.AttemptEnded(now, v.ID, admit.End{Result: admit.Served})
}

// leave has a target say that it leaves. No other target may be listed before it.
func (h *harness) leave(now time.Time) admit.Verdict {
	h.t.Helper()
	v := h.submit(now, "", "app")
	h.answerLeaving(now, v)
	return v
}

// Guards against requests to a target that said that it leaves, for as long as it runs:
// the list may say otherwise, be from an older copy of the store, or lose its entry.
func TestTargetThatLeavesGetsNoRequestsForTheRestOfItsRun(t *testing.T) {
	for name, later := range map[string]func(h *harness, a, b routing.Target){
		"not listed again":  func(*harness, routing.Target, routing.Target) {},
		"listed as ready":   func(h *harness, a, b routing.Target) { h.SetTargets([]routing.Target{a, b}) },
		"listed with slots": func(h *harness, a, b routing.Target) { a.Slots = 8; h.SetTargets([]routing.Target{a, b}) },
		"at another address": func(h *harness, a, b routing.Target) {
			a.Address = "elsewhere"
			h.SetTargets([]routing.Target{a, b})
		},
		"removed and listed again": func(h *harness, a, b routing.Target) {
			h.SetTargets([]routing.Target{b})
			h.SetTargets([]routing.Target{a, b})
		},
	} {
		a, b := appTarget("a", 1000), appTarget("b", 1000)
		h := newPlainHarness(t, a)
		h.leave(start)
		h.SetTargets([]routing.Target{a, b})
		later(h, a, b)
		for _, after := range []time.Duration{0, testDrainTimeout, time.Minute} {
			if got := h.placedAt(start.Add(after), 20); got["a"] != 0 || got["b"] != 20 {
				t.Errorf("%s, %v after a said that it leaves: got %v, want all 20 requests at b", name, after, got)
			}
		}
	}
}

// Guards against a belief that outlives the run it is about.
func TestNewRunOfATargetThatLeftGetsRequests(t *testing.T) {
	a, b := appTarget("a", 1000), appTarget("b", 1000)
	restarted := appTarget("a", 2000)
	other := appTarget("c", 2000)
	other.Address = a.Address
	for name, list := range map[string][]routing.Target{"same id": {restarted}, "same address": {other}} {
		h := newPlainHarness(t, a)
		h.leave(start)
		h.SetTargets([]routing.Target{b})
		h.SetTargets(list)
		if got := h.placedAt(start.Add(time.Minute), 5); got[list[0].ID] != 5 {
			t.Errorf("%s: got %v, want all 5 requests at the new run", name, got)
		}
	}
}

// A response to a request of an earlier run says nothing of the one that is listed now.
func TestLateStatementOfAnEarlierRunIsNotAboutTheNewOne(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000))
	v := h.submit(start, "", "app")
	h.SetTargets([]routing.Target{appTarget("a", 2000)})
	h.answerLeaving(start, v)
	if got := h.placedAt(start.Add(testDrainTimeout), 5); got["a"] != 5 {
		t.Errorf("got %v, want all 5 requests at the new run", got)
	}
}

// The statement may arrive after the entry was removed, and before it is listed again.
func TestStatementOfARemovedTargetIsRemembered(t *testing.T) {
	a, b := appTarget("a", 1000), appTarget("b", 1000)
	h := newPlainHarness(t, a)
	v := h.submit(start, "", "app")
	h.SetTargets([]routing.Target{b})
	h.answerLeaving(start, v)
	h.SetTargets([]routing.Target{a, b})
	if got := h.placedAt(start.Add(time.Second), 20); got["a"] != 0 {
		t.Errorf("got %v, want no request at a", got)
	}
}

// While no other target can take requests, a target that leaves is better than none, but
// only for a part of the drain timeout.
func TestTargetThatLeavesIsTheLastResort(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000))
	h.leave(start)
	if got := h.placedAt(start.Add(testDrainTimeout/4), 5); got["a"] != 5 {
		t.Errorf("a quarter of the drain timeout after the only target said that it leaves: got %v, want all 5 requests there", got)
	}
	v := h.submit(start.Add(testDrainTimeout), "", "app")
	if v.Refused != admit.NoTarget || v.RetryAfter <= 0 {
		t.Errorf("after the drain timeout: got %+v, want refused at once for lack of a target, with a Retry-After", v)
	}
	draining := appTarget("a", 1000)
	draining.Draining = true
	h.SetTargets([]routing.Target{draining})
	if v := h.submit(start.Add(testDrainTimeout/4), "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("the list says that the target drains: got %+v, want refused for lack of a target", v)
	}
}

// fill submits requests until one waits, and returns those that were sent and the first
// that waits.
func (h *harness) fill(now time.Time) (sent []admit.Verdict, waiting admit.Verdict) {
	h.t.Helper()
	for range 100 {
		v := h.submit(now, "", "app")
		if v.Waiting {
			return sent, v
		}
		sent = append(sent, v)
	}
	h.t.Fatal("none of 100 requests waits")
	return nil, admit.Verdict{}
}

// Guards against a request that waits for a target that leaves, until its time is over.
func TestWaitingRequestGoesElsewhereOnceItsTargetLeaves(t *testing.T) {
	a, b := appTarget("a", 1000), appTarget("b", 1000)
	h := newPlainHarness(t, a)
	sent, waiting := h.fill(start)
	h.SetTargets([]routing.Target{a, b})
	h.RecordStatement(start, sent[0].ID, admit.Statement{Leaving: true})
	got := h.Poll(start.Add(time.Millisecond))
	if len(got) != 1 || got[0].ID != waiting.ID || got[0].Target.ID != "b" {
		t.Errorf("got verdicts %+v, want the waiting request sent to b", got)
	}
}

// Guards against requests that wait although nothing will serve them.
func TestWaitingRequestsAreRefusedOnceAllTargetsLeave(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000))
	h.leave(start)
	now := start.Add(testDrainTimeout/2 - time.Millisecond)
	_, waiting := h.fill(now)
	got := h.Poll(now.Add(2 * time.Millisecond))
	if len(got) != 1 || got[0].ID != waiting.ID || got[0].Refused != admit.NoTarget || got[0].RetryAfter <= 0 {
		t.Errorf("got verdicts %+v, want the waiting request refused for lack of a target, with a Retry-After", got)
	}
}
