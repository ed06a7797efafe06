package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// freshCalls lets concurrent callers share calls, so that each gets the result of a call that
// began after it asked: what such a call reads is not older than what the caller knows.
type freshCalls struct {
	group singleflight.Group
	// interval is the least time between the starts of two calls with the same key.
	interval time.Duration

	mu      sync.Mutex
	started map[string]time.Time
}

func newFreshCalls(interval time.Duration) *freshCalls {
	return &freshCalls{interval: interval, started: make(map[string]time.Time)}
}

type freshResult struct {
	startedAt time.Time
	value     any
	err       error
}

// do returns the result of a call of f that began after do was called, or the error of ctx once
// that is done. A call goes on for other callers, within its own time limit.
func (c *freshCalls) do(ctx context.Context, key string, f func(ctx context.Context) (any, error)) (any, error) {
	asked := time.Now()
	for {
		calls := c.group.DoChan(key, func() (any, error) {
			started := c.start(key)
			value, err := f(context.WithoutCancel(ctx))
			return freshResult{startedAt: started, value: value, err: err}, nil
		})
		select {
		case call := <-calls:
			if r, ok := call.Val.(freshResult); ok && !r.startedAt.Before(asked) {
				return r.value, r.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// start waits until a call may begin, and returns the time at which it does.
func (c *freshCalls) start(key string) time.Time {
	c.mu.Lock()
	last := c.started[key]
	c.mu.Unlock()
	if wait := time.Until(last.Add(c.interval)); wait > 0 && !last.IsZero() {
		time.Sleep(wait)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started[key] = now
	return now
}
