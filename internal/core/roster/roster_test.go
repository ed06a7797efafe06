package roster_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/roster"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

var start = time.Unix(1000, 0)

func one() *roster.Roster {
	r := roster.New()
	r.Put(routing.Target{ID: "a"}, 5)
	return r
}

func TestDeletionTakesEffectAtOnceWhileTheStoreIsUp(t *testing.T) {
	r := one()
	r.Delete(start, "a", 6)
	if len(r.Targets()) != 0 {
		t.Error("the target is still there")
	}
}

func TestStaleDeletionAndEntryChangeNothing(t *testing.T) {
	r := one()
	r.Delete(start, "a", 4)
	r.Put(routing.Target{ID: "a", Leaving: true}, 4)
	if got := r.Targets(); len(got) != 1 || got[0].Leaving {
		t.Errorf("targets %v after stale news", got)
	}
}

func TestEntryThatLapsedDuringAnOutageIsKeptUntilTheStoreHasSettled(t *testing.T) {
	r := one()
	r.Lost()
	r.Back(start)
	r.Replace(start, map[ids.Target]uint64{}, 9)
	if r.Settled(start.Add(time.Second)) || len(r.Targets()) != 1 {
		t.Error("dropped before the targets could return")
	}
	if !r.Settled(start.Add(roster.Settle)) || len(r.Targets()) != 0 {
		t.Error("kept though it has not returned")
	}
}

func TestEntryThatReturnsIsNoLongerMissing(t *testing.T) {
	r := one()
	r.Lost()
	r.Back(start)
	r.Delete(start, "a", 9)
	r.Put(routing.Target{ID: "a"}, 10)
	r.Settled(start.Add(time.Minute))
	if len(r.Targets()) != 1 {
		t.Error("a target that returned was dropped")
	}
}
