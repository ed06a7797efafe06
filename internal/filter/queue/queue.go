// Package queue makes a request wait for its turn and gives it a target.
package queue

import (
	"context"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
)

// Scheduler decides whose turn it is.
type Scheduler interface {
	// NewID returns an id for an attempt.
	NewID() sched.RequestID
	// Acquire waits until the request has a target. Each success must be
	// followed by telling the scheduler of the attempt's end. An error is an
	// *outcome.Error, not run.
	Acquire(ctx context.Context, req sched.Request) (ids.Target, error)
}

// Filter queues attempts at a scheduler.
type Filter struct {
	scheduler Scheduler
	waiting   func(*filter.Exchange)
}

// New returns a filter that queues at the scheduler, and tells of each request
// that begins to wait.
func New(scheduler Scheduler, waiting func(*filter.Exchange)) *Filter {
	return &Filter{scheduler: scheduler, waiting: waiting}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "queue" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	x.Attempt = f.scheduler.NewID()
	f.waiting(x)
	target, err := f.scheduler.Acquire(x.Context(), request(x))
	if err != nil {
		return err
	}
	x.Target = target
	x.Dispatched = time.Now()
	x.Attempts++
	return next(x)
}

func request(x *filter.Exchange) sched.Request {
	return sched.Request{
		ID:        x.Attempt,
		Workspace: x.Workspace(),
		Pool:      x.Pool,
		Class:     x.Class,
		Hint:      x.Hint,
		Deadline:  x.Deadline,
		Prefix:    x.Prefix,
		Exclude:   x.Exclude,
		Solo:      x.Solo,
	}
}
