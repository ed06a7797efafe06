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

// oracle records the dispatches of each key and the states that claims returned.
type oracle struct {
	mu         sync.Mutex
	dispatches map[string]int
	// states counts the results of claims by state; 0 stands for an error.
	states map[State]int
}

func (o *oracle) recordDispatch(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dispatches[key]++
}

func (o *oracle) recordState(s State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.states[s]++
}

// randomFaults returns a function that gives one call in eight for a bucket one of
// the given faults, depending on the seed.
func randomFaults(seed uint64, f ...fault) func(string) fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	return func(name string) fault {
		if name == layoutName || rng.IntN(8) > 0 {
			return noFault
		}
		return f[rng.IntN(len(f))]
	}
}

// runClaims claims random keys at one ledger and ends the claims in all possible
// ways.
func runClaims(l *Ledger, seed uint64, keys, claims int, o *oracle) {
	rng := rand.New(rand.NewPCG(seed, 3))
	for range claims {
		key := fmt.Sprint("k", rng.IntN(keys))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(400))*time.Millisecond)
		r, err := l.Claim(ctx, testRequest(key))
		cancel()
		if err != nil {
			o.recordState(0)
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			continue
		}
		o.recordState(r.State)
		if r.State != Granted {
			continue
		}
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(1+rng.IntN(50))*time.Millisecond)
		switch rng.IntN(4) {
		case 0: // released without a dispatch
			_ = l.Release(ctx, r.Ref)
		case 1: // the router crashes: the claim is never ended
			o.recordDispatch(key)
		case 2:
			o.recordDispatch(key)
			_ = l.MarkUnknown(ctx, r.Ref)
		default:
			o.recordDispatch(key)
			_ = l.Finish(ctx, r.Ref, Record{Status: 200})
		}
		cancel()
	}
}

// Eight ledgers claim the same keys in a store that refuses calls, loses responses,
// delays writes and returns stale reads. A claim granted on an unconfirmed or
// stale view would dispatch a key twice.
func TestAtMostOneDispatchOnFaultyStore(t *testing.T) {
	for seed := range uint64(3) {
		store := newFakeStore()
		store.setFaults(randomFaults(seed, refused, responseLost, delayed), randomFaults(seed+100, refused, stale))
		o := &oracle{dispatches: map[string]int{}, states: map[State]int{}}
		var ledgers, arrivals conc.WaitGroup
		for i := range uint64(8) {
			opts := testOptions(store, ids.Instance(fmt.Sprint("r", i)), 1)
			opts.Buckets = 4
			l := startLedger(t, opts)
			ledgers.Go(func() { runClaims(l, seed*100+i, 300, 80, o) })
		}
		done := make(chan struct{})
		arrivals.Go(func() { applyDelayedUntil(store, done) })
		ledgers.Wait()
		close(done)
		arrivals.Wait()
		for key, n := range o.dispatches {
			if n > 1 {
				t.Errorf("seed %d: key %s was dispatched %d times, want at most once", seed, key, n)
			}
		}
		t.Logf("seed %d: %d keys dispatched, results by state %v", seed, len(o.dispatches), o.states)
		if len(o.dispatches) == 0 {
			t.Errorf("seed %d: no key was dispatched", seed)
		}
	}
}

// applyDelayedUntil applies the delayed writes periodically until done is closed.
func applyDelayedUntil(store *fakeStore, done <-chan struct{}) {
	tick := time.NewTicker(7 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			store.applyDelayed()
		case <-done:
			return
		}
	}
}
