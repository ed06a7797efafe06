package pressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/pressure"
	"github.com/umberhill/umberhill/internal/ids"
)

// If one workspace floods an instance that must refuse nearly all requests, the requests
// of the other workspaces must still be accepted.
func TestFloodedInstanceRefusesTheFloodingWorkspace(t *testing.T) {
	const refused = 0.95
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var s pressure.Shedder
	requests, accepted := map[ids.Workspace]int{}, map[ids.Workspace]int{}
	for i := range 20_000 {
		now = now.Add(400 * time.Microsecond)
		ws := ids.Workspace("flood")
		switch {
		case i%500 == 0:
			ws = "small"
		case i%100 == 0:
			ws = "middle"
		}
		requests[ws]++
		if !s.ShouldRefuse(now, ws, refused, random.Float64()) {
			accepted[ws]++
		}
	}
	for _, ws := range []ids.Workspace{"small", "middle"} {
		if accepted[ws] < requests[ws]*9/10 {
			t.Errorf("%s: %d of %d requests were accepted, want at least 9 in 10", ws, accepted[ws], requests[ws])
		}
	}
	all := accepted["small"] + accepted["middle"] + accepted["flood"]
	if want := int((1 - refused) * 20_000); all < want*8/10 || all > want*12/10 {
		t.Errorf("%d requests were accepted, want about %d", all, want)
	}
}

func TestInstanceThatKeepsUpRefusesNothing(t *testing.T) {
	var s pressure.Shedder
	for range 100 {
		if s.ShouldRefuse(time.Unix(1000, 0), "a", 0, 0) {
			t.Fatal("a request was refused with a refused share of 0, want none")
		}
	}
}
