// Package queue queues each attempt of a request at the scheduler until it is
// assigned a target.
package queue

import (
	"context"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
)

// Scheduler assigns targets to queued requests.
type Scheduler interface {
	// NewID returns a new id for an attempt.
	NewID() sched.RequestID
	// Acquire waits until the request is assigned a target. After each success, the
	// end of the attempt must be reported to the scheduler. An error is an
	// *outcome.Error with the outcome "not run".
	Acquire(ctx context.Context, req sched.Request) (ids.Target, error)
}

// Filter queues attempts at a scheduler.
type Filter struct {
	scheduler Scheduler
	onWaiting func(*filter.Exchange)
}

// New returns a filter that queues requests at the scheduler. It calls onWaiting for
// each request before it is queued.
func New(scheduler Scheduler, onWaiting func(*filter.Exchange)) *Filter {
	return &Filter{scheduler: scheduler, onWaiting: onWaiting}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "queue" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	x.AttemptID = f.scheduler.NewID()
	f.onWaiting(x)
	target, err := f.scheduler.Acquire(x.Context(), schedRequest(x))
	if err != nil {
		return err
	}
	x.Target = target
	x.DispatchedAt = time.Now()
	x.Attempts++
	return next(x)
}

func schedRequest(x *filter.Exchange) sched.Request {
	return sched.Request{
		ID:        x.AttemptID,
		Workspace: x.Workspace(),
		Pool:      x.Pool,
		Class:     x.Class,
		Hint:      x.CostHint,
		Deadline:  x.Deadline,
		Prefix:    x.PrefixHash,
		Exclude:   x.Exclude,
		Solo:      x.Solo,
	}
}
