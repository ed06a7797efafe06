// Package retry retries a failed request at another target if that is safe: nothing
// has been sent to the caller, and either the request is idempotent or the attempt
// certainly did not run. A budget limits the load that retries add.
package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

const (
	// baseDelay is half the upper bound of the random delay before the first retry.
	// The bound doubles with each further attempt.
	baseDelay = 20 * time.Millisecond
	// maxDelay is the longest delay between two attempts.
	maxDelay = time.Second
)

// Budget limits retries to a share of the first attempts. It must be safe for
// concurrent use.
type Budget interface {
	// RecordFirstAttempt records the first attempt of a request.
	RecordFirstAttempt()
	// Take spends one retry and reports whether the budget had one left.
	Take() bool
}

// Filter retries within a budget.
type Filter struct {
	budget      Budget
	maxAttempts int
	retries     tally.Counter
	budgetSpent tally.Counter
}

// New returns a filter that makes at most maxAttempts attempts for a request,
// including the first.
func New(budget Budget, maxAttempts int, scope tally.Scope) *Filter {
	return &Filter{
		budget:      budget,
		maxAttempts: maxAttempts,
		retries:     scope.Counter("retries"),
		budgetSpent: scope.Counter("retry_budget_spent"),
	}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "retry" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	f.budget.RecordFirstAttempt()
	for {
		err := next(x)
		if err == nil {
			return nil
		}
		var failure *outcome.Error
		if !errors.As(err, &failure) {
			return err
		}
		x.MayHaveRun = x.MayHaveRun || failure.Outcome != outcome.NotRun
		if !f.shouldRetry(x, failure) {
			return overallError(x, failure)
		}
		if !sleep(x.Context(), backoff(x.Attempts)) {
			return overallError(x, failure)
		}
		f.retries.Inc(1)
	}
}

func (f *Filter) shouldRetry(x *filter.Exchange, failure *outcome.Error) bool {
	if !isRetryable(x, failure) || x.Attempts >= f.maxAttempts {
		return false
	}
	if !f.budget.Take() {
		f.budgetSpent.Inc(1)
		return false
	}
	return true
}

func isRetryable(x *filter.Exchange, failure *outcome.Error) bool {
	if x.Response.IsCommitted() || x.Context().Err() != nil {
		return false
	}
	switch failure.Code {
	case outcome.CodeTargetFailed, outcome.CodeTargetRejected:
		return !x.IsOnceOnly() || failure.Outcome == outcome.NotRun
	default:
		return false
	}
}

// overallError returns the error of the request as a whole. If an earlier attempt
// may have run, the outcome of the request is unknown even though the last attempt
// did not run.
func overallError(x *filter.Exchange, failure *outcome.Error) error {
	if !x.MayHaveRun || failure.Outcome != outcome.NotRun {
		return failure
	}
	changed := *failure
	changed.Outcome = outcome.Unknown
	return &changed
}

func backoff(attempts int) time.Duration {
	ceiling := min(maxDelay, baseDelay<<min(attempts, 6))
	return time.Duration(rand.Int64N(int64(ceiling)))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
