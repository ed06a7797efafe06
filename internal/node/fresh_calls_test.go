package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a caller that gets what was read before it asked, and against one call for
// each caller.
func TestCallersShareCallsThatBeganAfterThem(t *testing.T) {
	t.Parallel()
	const took, callers = 20 * time.Millisecond, 50
	calls := newFreshCalls(0)
	var n atomic.Int64
	read := func(context.Context) (any, error) {
		n.Add(1)
		started := time.Now()
		time.Sleep(took)
		return started, nil
	}
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			asked := time.Now()
			started, err := calls.do(t.Context(), "", read)
			if err != nil || started.(time.Time).Before(asked) { //nolint:forcetypeassert // read returns a time
				t.Errorf("caller %d: got error %v, a read that began %v before the caller asked", i, err, asked.Sub(started.(time.Time))) //nolint:forcetypeassert // as above
			}
		})
	}
	all.Wait()
	if got := n.Load(); got > callers/2 {
		t.Errorf("%d callers within %d ms of calls that take %v: got %d calls, want them shared", callers, callers, took, got)
	}
}

// Guards against a call for each caller in turn, and against a caller that waits for a call
// longer than it may.
func TestCallsKeepTheirInterval(t *testing.T) {
	t.Parallel()
	const interval = 50 * time.Millisecond
	calls := newFreshCalls(interval)
	failure := errors.New("failed")
	var starts []time.Time
	for range 4 {
		if _, err := calls.do(t.Context(), "", func(context.Context) (any, error) {
			calls.mu.Lock()
			defer calls.mu.Unlock()
			starts = append(starts, calls.started[""])
			return nil, failure
		}); !errors.Is(err, failure) {
			t.Errorf("failing call: got error %v", err)
		}
	}
	for i := 1; i < len(starts); i++ {
		if got := starts[i].Sub(starts[i-1]); got < interval {
			t.Errorf("call %d began %v after the one before, want %v", i, got, interval)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), interval/5)
	defer cancel()
	if _, err := calls.do(ctx, "", func(context.Context) (any, error) { return nil, nil }); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("caller that may not wait for the interval: got error %v, want its deadline's", err)
	}
}
