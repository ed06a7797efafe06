package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/freshness"
)

var start = time.Unix(1000, 0)

func claim(origin, number uint64, at time.Duration) freshness.Claim {
	return freshness.Claim{Read: freshness.Read{Origin: origin, Number: number}, At: start.Add(at)}
}

// Guards against state that counts as fresher than the last read of it, since claims come again.
func TestEarliestClaimAboutAReadCounts(t *testing.T) {
	var f freshness.Freshness
	for i, c := range []struct {
		claim freshness.Claim
		want  time.Duration
	}{
		{claim(1, 1, 1000), 1000},
		{claim(1, 1, 1005), 1000},
		{claim(1, 1, 998), 998},
		{claim(2, 7, 1500), 1500},
		{claim(1, 1, 2000), 1500},
		{claim(1, 2, 3000), 3000},
		{claim(2, 7, 4000), 3000},
		{claim(1, 1, 5000), 3000},
		{claim(1, 2, 1200), 1500},
		{claim(0, 0, 1600), 1600},
		{claim(2, 8, 1700), 1700},
	} {
		f.Record(c.claim)
		if got := f.Latest().At.Sub(start); got != c.want {
			t.Errorf("claim %d: complete as of %v, want %v", i, got, c.want)
		}
	}
}

// Guards against claims that carry each other forward, in whatever order and however late they come back: state
// is complete as of the last read at most, and of what its claim took on its first way.
func TestClaimsThatComeBackDoNotMoveTheTime(t *testing.T) {
	const longestWay = 40 * time.Millisecond
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			processes := make([]freshness.Freshness, 6)
			numbers := make([]uint64, len(processes))
			var now, lastRead time.Duration
			for range 3000 {
				now += time.Duration(random.IntN(3)) * time.Millisecond
				from, to := random.IntN(len(processes)), random.IntN(len(processes))
				if random.IntN(500) == 0 {
					numbers[from]++
					lastRead = now
					processes[from].Record(claim(uint64(from+1), numbers[from], now))
				}
				if c := processes[from].Latest(); from != to && !c.At.IsZero() {
					c.At = c.At.Add(time.Duration(random.Int64N(int64(longestWay))))
					processes[to].Record(c)
				}
			}
			for i := range processes {
				if late := processes[i].Latest().At.Sub(start) - lastRead; late > longestWay*time.Duration(len(processes)) {
					t.Errorf("process %d: complete as of %v after the last read", i, late)
				}
			}
		})
	}
}
