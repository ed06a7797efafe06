package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/ids"
)

// oracle counts the dispatches of each key.
type oracle struct {
	mu   sync.Mutex
	runs map[string]int
	// said counts what claims were told.
	said map[State]int
}

func (o *oracle) dispatched(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
}

func (o *oracle) told(s State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.said[s]++
}

// faulty gives a store's calls faults by seed.
func faulty(seed uint64, f ...fault) func(string) fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	return func(name string) fault {
		if name == layoutName || rng.IntN(8) > 0 {
			return none
		}
		return f[rng.IntN(len(f))]
	}
}

// drive claims keys at one ledger and ends the claims in all ways.
func drive(l *Ledger, seed uint64, keys, claims int, o *oracle) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for range claims {
		key := fmt.Sprint("k", rng.IntN(keys))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(400))*time.Millisecond)
		r, err := l.Claim(ctx, request(key))
		cancel()
		if err != nil {
			o.told(0)
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			continue
		}
		o.told(r.State)
		if r.State != Granted {
			continue
		}
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(50))*time.Millisecond)
		switch rng.IntN(4) {
		case 0: // withdrawn before it was dispatched
			_ = l.Release(ctx, r.Ref)
		case 1: // the router dies: nobody ends the claim
			o.dispatched(key)
		case 2:
			o.dispatched(key)
			_ = l.MarkUnknown(ctx, r.Ref)
		default:
			o.dispatched(key)
			_ = l.Finish(ctx, r.Ref, Record{Status: 200})
		}
		cancel()
	}
}

// Eight ledgers against a store that refuses, loses answers and delays writes:
// no key is dispatched twice.
func TestFaultyStore(t *testing.T) {
	for seed := range uint64(3) {
		store := newFakeStore()
		store.faults(faulty(seed, refused, answerLost, heldUp), faulty(seed+100, refused, stale))
		o := &oracle{runs: map[string]int{}, said: map[State]int{}}
		var ledgers, arrivals conc.WaitGroup
		for i := range uint64(8) {
			opts := options(store, ids.Instance(fmt.Sprint("r", i)), 1)
			opts.Buckets = 4
			l := start(t, opts)
			ledgers.Go(func() { drive(l, seed*100+i, 300, 80, o) })
		}
		done := make(chan struct{})
		arrivals.Go(func() { arriveUntil(store, done) })
		ledgers.Wait()
		close(done)
		arrivals.Wait()
		for key, n := range o.runs {
			if n > 1 {
				t.Errorf("seed %d: key %s was dispatched %d times", seed, key, n)
			}
		}
		t.Logf("seed %d: %d keys dispatched, told %v", seed, len(o.runs), o.said)
		if len(o.runs) == 0 {
			t.Errorf("seed %d: nothing was dispatched", seed)
		}
	}
}

// arriveUntil lets delayed writes arrive now and then.
func arriveUntil(store *fakeStore, done <-chan struct{}) {
	tick := time.NewTicker(7 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			store.arrive()
		case <-done:
			return
		}
	}
}
