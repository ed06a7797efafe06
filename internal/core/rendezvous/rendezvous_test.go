package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

func names(n int) []ids.Instance {
	var out []ids.Instance
	for i := range n {
		out = append(out, ids.Instance(fmt.Sprintf("r%d", i)))
	}
	return out
}

func TestRemovingARouterMovesOnlyItsKeys(t *testing.T) {
	all := names(8)
	before, after := rendezvous.New(all), rendezvous.New(all[:7])
	keyCount := map[ids.Instance]int{}
	for key := range uint64(8000) {
		old, current := before.Pick(key), after.Pick(key)
		keyCount[old]++
		if old != all[7] && old != current {
			t.Fatalf("key %d moved from %s to %s, want only keys of the removed router to move", key, old, current)
		}
	}
	for _, n := range all {
		if keyCount[n] < 800 || keyCount[n] > 1200 {
			t.Errorf("router %s has %d of 8000 keys, want 800 to 1200", n, keyCount[n])
		}
	}
}

func TestPickOfAnEmptySet(t *testing.T) {
	if got := rendezvous.New(nil).Pick(1); got != "" {
		t.Errorf("picked %q from an empty set, want none", got)
	}
}
