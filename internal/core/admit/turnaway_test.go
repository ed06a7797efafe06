package admit_test

import (
	"math"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// turnAway has the target of a request reject it and say that it wants none for d.
func (h *harness) turnAway(now time.Time, v admit.Verdict, d time.Duration) admit.Statement {
	news := h.RecordStatement(now, v.ID, admit.Statement{RetryAfter: d})
	h.AttemptEnded(now, v.ID, admit.End{Result: admit.Rejected, NotRun: true})
	return news
}

// newTurnedAwayHarness returns a controller whose target a turned a request away at start.
func newTurnedAwayHarness(t *testing.T, d time.Duration, others ...routing.Target) *harness {
	a := appTarget("a", 1000)
	h := newPlainHarness(t, a)
	h.turnAway(start, h.submit(start, "", "app"), d)
	h.SetTargets(append(others, a))
	return h
}

// Guards against requests to a target in the time in which it wants none, whatever
// becomes of its entry.
func TestTargetThatTurnsRequestsAwayGetsNoneForItsTime(t *testing.T) {
	a, b := appTarget("a", 1000), appTarget("b", 1000)
	for name, change := range map[string]func(*harness){
		"list unchanged":           func(*harness) {},
		"removed and listed again": func(h *harness) { h.SetTargets([]routing.Target{b}); h.SetTargets([]routing.Target{a, b}) },
	} {
		h := newTurnedAwayHarness(t, 3*time.Second, b)
		change(h)
		for _, after := range []time.Duration{0, time.Second, 3*time.Second - time.Millisecond} {
			if got := h.placedAt(start.Add(after), 20); got["a"] != 0 {
				t.Errorf("%s, %v after a turned a request away for 3 s: got %v, want none at a", name, after, got)
			}
		}
	}
}

// Requests that were sent together are turned away one after the other. Each answer holds
// for its whole time.
func TestLaterShorterTurnAwayDoesNotEndAnEarlierOne(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000))
	first, second := h.submit(start, "", "app"), h.submit(start, "", "app")
	if news := h.turnAway(start, first, 3*time.Second); news.RetryAfter != 3*time.Second {
		t.Errorf("first statement: got news %+v, want 3 s", news)
	}
	if news := h.turnAway(start, second, time.Second); news != (admit.Statement{}) {
		t.Errorf("second statement: got news %+v, want none", news)
	}
	if v := h.submit(start.Add(2*time.Second), "", "app"); v.Refused != admit.TurnedAway {
		t.Errorf("2 s after both: got %+v, want refused", v)
	}
}

// Guards against a probe of an unreachable target in the time in which it wants nothing.
func TestPausedTargetIsNotProbedWhileItWantsNoRequests(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000))
	first, second := h.submit(start, "", "app"), h.submit(start, "", "app")
	h.turnAway(start, first, 5*time.Second)
	h.AttemptEnded(start, second.ID, admit.End{Result: admit.Unreachable})
	if v := h.submit(start.Add(4*time.Second), "", "app"); v.Target.ID != "" {
		t.Errorf("after the pause, within the time: got %+v, want refused", v)
	}
	if v := h.submit(start.Add(5*time.Second), "", "app"); v.Target.ID != "a" {
		t.Errorf("after the time: got %+v, want sent to a", v)
	}
}

// sentTo submits n requests and returns those that were sent to the target.
func (h *harness) sentTo(now time.Time, id ids.Target, n int) []admit.Verdict {
	var sent []admit.Verdict
	for range n {
		if v := h.submit(now, "", "app"); v.Target.ID == id {
			sent = append(sent, v)
		}
	}
	return sent
}

// Guards against all requests at once for a target whose time is over.
func TestTargetGetsFewRequestsAtFirstAfterItsTime(t *testing.T) {
	a := appTarget("a", 1000)
	a.Slots = 16
	h := newPlainHarness(t, a)
	h.turnAway(start, h.submit(start, "", "app"), time.Second)
	now := start.Add(time.Second)
	one := h.sentTo(now, "a", 10)
	if len(one) != 1 {
		t.Fatalf("at the end of the time: got %d requests sent, want 1", len(one))
	}
	h.AttemptEnded(now, one[0].ID, admit.End{Result: admit.Served})
	two := h.Poll(now)
	if len(two) != 2 {
		t.Fatalf("after one was served: got %d of the waiting requests sent, want 2", len(two))
	}
	// A stream is accepted once its response starts.
	h.ResponseStarted(now, two[0].ID, false)
	if four := h.Poll(now); len(four) != 4-1 {
		t.Errorf("after a response started: got %d more of the waiting requests sent, want 3", len(four))
	}
}

// A target that turns away the first request after its time gets none again.
func TestTargetMayTurnRequestsAwayAgain(t *testing.T) {
	h := newTurnedAwayHarness(t, time.Second)
	now := start.Add(time.Second)
	v := h.submit(now, "", "app")
	if news := h.turnAway(now, v, 2*time.Second); news.RetryAfter != 2*time.Second {
		t.Errorf("got news %+v, want 2 s", news)
	}
	if v := h.submit(now.Add(2*time.Second-time.Millisecond), "", "app"); v.Target.ID != "" {
		t.Errorf("within the second time: got %+v, want refused", v)
	}
	if sent := h.sentTo(now.Add(2*time.Second), "a", 10); len(sent) != 1 {
		t.Errorf("at the end of the second time: got %d requests sent, want 1", len(sent))
	}
}

// Guards against a target that stays without requests because the first one after its
// time ended without a response.
func TestFirstRequestAfterTheTimeMayEndInAnyWay(t *testing.T) {
	for _, result := range []admit.Result{admit.Canceled, admit.Failed, admit.Rejected} {
		h := newTurnedAwayHarness(t, time.Second)
		now := start.Add(time.Second)
		v := h.submit(now, "", "app")
		h.AttemptEnded(now, v.ID, admit.End{Result: result})
		if sent := h.sentTo(now, "a", 10); len(sent) != 1 {
			t.Errorf("after result %d: got %d requests sent, want 1", result, len(sent))
		}
	}
}

// Guards against requests that wait for targets that want none, and against callers that
// return before the earliest of them wants any, or all together.
func TestRequestsAreRefusedWhileAllTargetsWantNone(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000), appTarget("b", 1000))
	times := map[ids.Target]time.Duration{"a": 9 * time.Second, "b": 6 * time.Second}
	sent, _ := h.fill(start)
	for _, v := range sent {
		h.turnAway(start, v, times[v.Target.ID])
	}
	h.Poll(start)
	now := start.Add(time.Second)
	different := make(map[time.Duration]bool)
	for range 20 {
		v := h.submit(now, "", "app")
		if v.Refused != admit.TurnedAway || v.RetryAfter < 5*time.Second || v.RetryAfter > 7500*time.Millisecond {
			t.Fatalf("got %+v, want refused at once with a Retry-After of 5 to 7.5 s", v)
		}
		different[v.RetryAfter] = true
	}
	if len(different) < 10 {
		t.Errorf("got %d different Retry-Afters in 20 refusals, want them spread out", len(different))
	}
}

// A target that leaves does not return, so it is not among those that want no requests.
func TestRetryAfterDoesNotCountTargetsThatLeave(t *testing.T) {
	h := newPlainHarness(t, appTarget("a", 1000))
	v := h.submit(start, "", "app")
	h.RecordStatement(start, v.ID, admit.Statement{Leaving: true, RetryAfter: 6 * time.Second})
	if v := h.submit(start.Add(time.Second), "", "app"); v.Refused != admit.NoTarget {
		t.Errorf("got %+v, want refused for lack of a target", v)
	}
}

// Guards against a target that keeps itself out with a wrong value.
func TestTurnAwayIsBounded(t *testing.T) {
	for stated, want := range map[time.Duration]time.Duration{
		45 * time.Second: 45 * time.Second,
		time.Hour:        time.Minute,
		math.MaxInt64:    time.Minute,
	} {
		h := newPlainHarness(t, appTarget("a", 1000))
		if news := h.turnAway(start, h.submit(start, "", "app"), stated); news.RetryAfter != want {
			t.Errorf("%v: got news %+v, want %v", stated, news, want)
		}
		if v := h.submit(start.Add(want-time.Millisecond), "", "app"); v.Target.ID != "" {
			t.Errorf("%v: sent to a just before %v, want refused", stated, want)
		}
		if v := h.submit(start.Add(want), "", "app"); v.Target.ID != "a" {
			t.Errorf("%v: got %+v after %v, want sent to a", stated, v, want)
		}
	}
}

func TestNewRunDoesNotInheritATurnAway(t *testing.T) {
	h := newTurnedAwayHarness(t, 30*time.Second)
	h.SetTargets([]routing.Target{appTarget("a", 2000)})
	if v := h.submit(start.Add(time.Second), "", "app"); v.Target.ID != "a" {
		t.Errorf("got %+v, want sent to the new run", v)
	}
}

// A request that waits for room keeps its place if its target's time is over before the
// request is due to be refused, and is refused at once otherwise.
func TestWaitingRequestsWhileAllTargetsWantNone(t *testing.T) {
	for d, wantWaiting := range map[time.Duration]bool{300 * time.Millisecond: true, 5 * time.Second: false} {
		h := newPlainHarness(t, appTarget("a", 1000))
		sent, waiting := h.fill(start)
		h.turnAway(start, sent[0], d)
		now := start.Add(time.Millisecond)
		got := h.Poll(now)
		if wantWaiting {
			if len(got) != 0 {
				t.Errorf("turned away for %v: got verdicts %+v, want none", d, got)
			}
			continue
		}
		if len(got) != 1 || got[0].ID != waiting.ID || got[0].Refused != admit.TurnedAway || got[0].RetryAfter < d-time.Millisecond {
			t.Errorf("turned away for %v: got verdicts %+v, want the waiting request refused until then", d, got)
		}
	}
}
