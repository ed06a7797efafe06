package place_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/place"
)

var start = time.Unix(1000, 0)

func TestChoose(t *testing.T) {
	candidates := []place.Candidate{{Hash: 11, UsedPermits: 3, HeldPermits: 4}, {Hash: 22, UsedPermits: 1, HeldPermits: 4}, {Hash: 33, UsedPermits: 2, HeldPermits: 4}}
	if got := place.Choose(0, 1, candidates); got != 1 {
		t.Errorf("got candidate %d, want 1, the least loaded", got)
	}
	if got := place.Choose(0, 1, nil); got != -1 {
		t.Errorf("got candidate %d without candidates, want -1", got)
	}
	idle := []place.Candidate{{Hash: 11, HeldPermits: 8}, {Hash: 22, HeldPermits: 8}, {Hash: 33, HeldPermits: 8}}
	home := place.Choose(99, 1, idle)
	if again := place.Choose(99, 2, idle); again != home {
		t.Errorf("a prefix was mapped to candidate %d and with another seed to %d, want the same", home, again)
	}
	idle[home].UsedPermits = 6
	if got := place.Choose(99, 1, idle); got == home {
		t.Error("got the home candidate although it is above the load bound, want another one")
	}
}

func TestHealth(t *testing.T) {
	var h place.Health
	h.RecordFailure(start)
	h.RecordFailure(start)
	if h.IsEjected() || !h.IsUsable(start) {
		t.Fatal("target is ejected after 2 failures, want usable")
	}
	h.RecordFailure(start)
	if !h.IsEjected() || h.IsUsable(start) {
		t.Fatal("target is usable after 3 failures, want ejected")
	}
	later := start.Add(time.Second)
	if !h.IsUsable(later) {
		t.Fatal("target is not usable for a probe after 1s, want usable")
	}
	h.RecordStart()
	if h.IsUsable(later) {
		t.Fatal("target is usable during a probe, want one probe at a time")
	}
	h.RecordFailure(later)
	if h.IsUsable(later.Add(1500 * time.Millisecond)) {
		t.Fatal("target is usable 1.5s after the second ejection, want a longer ejection than the first")
	}
	h.RecordStart()
	h.RecordSuccess()
	if h.IsEjected() {
		t.Fatal("target is still ejected after a successful probe")
	}
}
