package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// fewSlots is a fleet of routers before three plain targets with few slots.
func fewSlots(routers, queueLength int) plainFleet {
	return plainFleet{routers: routers, domains: 3, slots: 6, queueLength: queueLength, perSecond: 380, skew: 1.35, duration: 11 * time.Second}
}

// sumOf returns the sum of the results of three seeds.
func (f plainFleet) sumOf() plainResult {
	var sum plainResult
	for seed := uint64(1); seed <= 3; seed++ {
		r := f.run(seed)
		sum.requests += r.requests
		sum.onTime += r.onTime
		sum.late += r.late
		sum.refused += r.refused
		sum.rejected += r.rejected
		sum.busiest = append(sum.busiest, r.busiest...)
	}
	return sum
}

// calmRefusals is the number of requests that a calm fleet may refuse in three runs.
const calmRefusals = 5

func expectEven(t *testing.T, f plainFleet) {
	t.Helper()
	r := f.sumOf()
	if got := r.nineOfTen(); got > 1.25 {
		t.Errorf("work of the busiest target %.2f of the mean, want at most 1.25 in nine of ten seconds", got)
	}
	if r.refused > calmRefusals {
		t.Errorf("%d of %d requests refused, want at most %d while the targets have room", r.refused, r.requests, calmRefusals)
	}
}

// Guards against a throttle that refuses requests after a short peak of the load although the
// targets can serve all, and against a domain with more demand whose targets are overloaded.
func TestCalmLoadOfTargetsWithFewSlotsIsEvenAndNotRefused(t *testing.T) {
	for _, routers := range []int{61, 71} {
		for _, queueLength := range []int{6, 24} {
			t.Run(fmt.Sprintf("%d routers, queues of %d", routers, queueLength), func(t *testing.T) {
				t.Parallel()
				expectEven(t, fewSlots(routers, queueLength))
			})
		}
	}
}

// Guards against a throttle that reacts to old reports so strongly that targets idle and are
// overloaded in turns: with bursts of 2 s, 0.26 of the requests were refused or late although
// queues of 24 could bridge a part of them, and targets with queues of 6 rejected 0.17.
func TestBurstsAtTargetsWithFewSlotsDoNotMakeTheThrottleOscillate(t *testing.T) {
	for _, routers := range []int{61, 71} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			f := fewSlots(routers, 24)
			f.burst = func(at time.Duration) float64 {
				if at%(5*time.Second) > 3*time.Second {
					return 2
				}
				return 1
			}
			r := f.sumOf()
			if got := float64(r.refused+r.late) / float64(r.requests); got > 0.22 {
				t.Errorf("queues of 24: %.3f of the requests refused or late, want at most 0.22", got)
			}
			f.queueLength = 6
			r = f.sumOf()
			if got := float64(r.rejected) / float64(r.requests); got > 0.13 {
				t.Errorf("queues of 6: targets rejected %.3f of the requests, want at most 0.13", got)
			}
		})
	}
}

// Guards against routers that go on to use the last report they got: all would send to the
// target that it showed as idle.
func TestPlainTargetsStayEvenWithoutReports(t *testing.T) {
	f := fewSlots(61, 6)
	f.isCutOff = func(_ int, at time.Duration) bool { return at > 4*time.Second && at < 6*time.Second }
	expectEven(t, f)
}

// Guards against a loss of the hubs of one domain that makes its routers, whose view is old, or
// the others, whose sums lack that domain's load, use some targets only.
func TestPlainTargetsStayEvenWhileADomainHasNoHub(t *testing.T) {
	f := fewSlots(61, 6)
	f.isCutOff = func(router int, at time.Duration) bool {
		return router%3 == 0 && at > 4*time.Second && at < 6*time.Second
	}
	expectEven(t, f)
}

// Guards against room that stays taken after the routers have stopped whose last reports the
// hubs still include.
func TestPlainTargetsStayEvenAfterRoutersStop(t *testing.T) {
	f := fewSlots(61, 6)
	f.hasStopped = func(router int, at time.Duration) bool { return router%4 == 1 && at > 4*time.Second }
	expectEven(t, f)
}

// Guards against a router that leaves out of the load of plain targets what it has sent within
// the age of a sum.
func TestSumDoesNotHoldTheRequestsSentWithinItsAge(t *testing.T) {
	h := newPlainHarness(t, appTarget("a0", 1))
	for range 3 {
		h.LocalReport(start, 0)
	}
	h.submit(start, "", "app")
	h.ApplyFleetReport(start, []admit.Load{{Target: "a0", Running: 2}}, nil, nil)
	if v := h.submit(start, "", "app"); v.Inputs.Running != 3 {
		t.Errorf("%d requests counted at the target, want the 2 of the sum and the one sent since", v.Inputs.Running)
	}
}

// Guards against an evenness that counts idle services or paused targets, or that does not
// start anew with each call.
func TestEvennessIsTheBusiestTargetsLoadOverTheMean(t *testing.T) {
	h := newHarness(t, 4, 0)
	if got := h.TakeEvenness(start); len(got) != 1 || got[0].Ratio != 0 {
		t.Errorf("evenness of an idle service %+v, want a ratio of 0", got)
	}
	h.ApplyFleetReport(start, []admit.Load{{Target: "e0", Running: 30}, {Target: "e1", Running: 10}, {Target: "e2", Running: 10}, {Target: "e3", Running: 10}}, nil, nil)
	h.LocalReport(start, 0)
	got := h.TakeEvenness(start)
	if len(got) != 1 || got[0].Busiest != "e0" || got[0].Ratio != 2 || got[0].Targets != 4 {
		t.Fatalf("evenness %+v, want e0 with 2 times the mean of 4 targets", got)
	}
	if got := h.TakeEvenness(start); len(got) != 1 || got[0].Ratio != 0 {
		t.Errorf("evenness %+v after no report, want a ratio of 0", got)
	}
}

// Guards against second attempts, after a target was full, that are sent in addition to the
// share of the requests: the fuller the targets, the more attempts they got.
func TestSecondAttemptsHaveNoCreditOfTheirOwn(t *testing.T) {
	h := newHarness(t, 0, 3)
	now := start
	for range 10 {
		now = now.Add(80 * time.Millisecond)
		h.ApplyFleetReport(now, []admit.Load{{Target: "p0", Running: 12}, {Target: "p1", Running: 12}, {Target: "p2", Running: 12}}, nil, nil)
	}
	sent := 0
	for i := range 50 {
		v := h.Submit(now, admit.Request{
			ID: admit.ID(1000 + i), Service: "app", Workspace: "a", ArrivedAt: now, Deadline: now.Add(time.Second),
			Objective: 150 * time.Millisecond, Exclude: []ids.Target{"p0"},
		})
		if v.Target.ID != "" {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d of 50 second attempts sent to overloaded targets, want at most the 2 of the credit", sent)
	}
}
