package place_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/place"
)

var t0 = time.Unix(1000, 0)

func TestChoose(t *testing.T) {
	cs := []place.Candidate{{Hash: 11, UsedPermits: 3, HeldPermits: 4}, {Hash: 22, UsedPermits: 1, HeldPermits: 4}, {Hash: 33, UsedPermits: 2, HeldPermits: 4}}
	if got := place.Choose(0, 1, cs); got != 1 {
		t.Errorf("least loaded: %d", got)
	}
	if got := place.Choose(0, 1, nil); got != -1 {
		t.Errorf("no candidate: %d", got)
	}
	even := []place.Candidate{{Hash: 11, HeldPermits: 8}, {Hash: 22, HeldPermits: 8}, {Hash: 33, HeldPermits: 8}}
	home := place.Choose(99, 1, even)
	if again := place.Choose(99, 2, even); again != home {
		t.Errorf("prefix moved from %d to %d", home, again)
	}
	even[home].UsedPermits = 6
	if got := place.Choose(99, 1, even); got == home {
		t.Error("prefix went above the load bound")
	}
}

func TestHealth(t *testing.T) {
	var h place.Health
	h.RecordFailure(t0)
	h.RecordFailure(t0)
	if h.IsEjected() || !h.IsUsable(t0) {
		t.Fatal("ejected too soon")
	}
	h.RecordFailure(t0)
	if !h.IsEjected() || h.IsUsable(t0) {
		t.Fatal("not ejected")
	}
	later := t0.Add(time.Second)
	if !h.IsUsable(later) {
		t.Fatal("not probed")
	}
	h.RecordStart()
	if h.IsUsable(later) {
		t.Fatal("two probes")
	}
	h.RecordFailure(later)
	if h.IsUsable(later.Add(1500 * time.Millisecond)) {
		t.Fatal("second ejection not longer")
	}
	h.RecordStart()
	h.RecordSuccess()
	if h.IsEjected() {
		t.Fatal("not taken back")
	}
}
