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

func TestPickMovesOnlyTheKeysOfTheRouterThatLeft(t *testing.T) {
	all := names(8)
	before, after := rendezvous.New(all), rendezvous.New(all[:7])
	share := map[ids.Instance]int{}
	for key := range uint64(8000) {
		was, is := before.Pick(key), after.Pick(key)
		share[was]++
		if was != all[7] && was != is {
			t.Fatalf("key %d moved from %s to %s", key, was, is)
		}
	}
	for _, n := range all {
		if share[n] < 800 || share[n] > 1200 {
			t.Errorf("%s has %d of 8000 keys", n, share[n])
		}
	}
}

func TestPickOfAnEmptySet(t *testing.T) {
	if got := rendezvous.New(nil).Pick(1); got != "" {
		t.Errorf("picked %q", got)
	}
}
