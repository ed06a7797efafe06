package place_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/place"
)

var t0 = time.Unix(1000, 0)

func TestChoose(t *testing.T) {
	cs := []place.Candidate{{Hash: 11, Used: 3, Held: 4}, {Hash: 22, Used: 1, Held: 4}, {Hash: 33, Used: 2, Held: 4}}
	if got := place.Choose(0, 1, cs); got != 1 {
		t.Errorf("least loaded: %d", got)
	}
	if got := place.Choose(0, 1, nil); got != -1 {
		t.Errorf("no candidate: %d", got)
	}
	even := []place.Candidate{{Hash: 11, Held: 8}, {Hash: 22, Held: 8}, {Hash: 33, Held: 8}}
	home := place.Choose(99, 1, even)
	if again := place.Choose(99, 2, even); again != home {
		t.Errorf("prefix moved from %d to %d", home, again)
	}
	even[home].Used = 6
	if got := place.Choose(99, 1, even); got == home {
		t.Error("prefix went above the load bound")
	}
}

func TestHealth(t *testing.T) {
	var h place.Health
	h.Fail(t0)
	h.Fail(t0)
	if h.Ejected() || !h.Usable(t0) {
		t.Fatal("ejected too soon")
	}
	h.Fail(t0)
	if !h.Ejected() || h.Usable(t0) {
		t.Fatal("not ejected")
	}
	later := t0.Add(time.Second)
	if !h.Usable(later) {
		t.Fatal("not probed")
	}
	h.Start()
	if h.Usable(later) {
		t.Fatal("two probes")
	}
	h.Fail(later)
	if h.Usable(later.Add(1500 * time.Millisecond)) {
		t.Fatal("second ejection not longer")
	}
	h.Start()
	h.OK()
	if h.Ejected() {
		t.Fatal("not taken back")
	}
}
