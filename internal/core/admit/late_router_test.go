package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
)

// Guards against a router without processor time that takes its own delay for that of the engines
// and refuses requests as if these were full (FAIR).
func TestOwnDelayOfARouterIsNoDelayOfTheEngines(t *testing.T) {
	for _, c := range []struct {
		name     string
		seenLate bool
	}{{"router late", true}, {"engines late", false}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 4, 0)
			now := start
			for i := range 60 {
				v := h.submit(now, "a", "llm", admit.Part{Key: uint64(i), Tokens: 100})
				now = now.Add(900 * time.Millisecond)
				h.ResponseStarted(now, v.ID, c.seenLate)
				h.AttemptEnded(now, v.ID, admit.End{Result: admit.Served, SeenLate: c.seenLate, Events: 8, Streamed: 700 * time.Millisecond})
				if v.Target.ID == "" {
					break
				}
			}
			v := h.submit(now.Add(time.Second), "a", "llm", admit.Part{Key: 1000, Tokens: 100})
			if isOnTime := v.Inputs.PredictedLatency < objective; isOnTime != c.seenLate {
				t.Errorf("an idle engine is expected to respond after %v, want it on time: %v", v.Inputs.PredictedLatency, c.seenLate)
			}
		})
	}
}
