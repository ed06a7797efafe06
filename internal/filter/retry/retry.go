// Package retry tries a request again at another target where that is safe:
// nothing has been sent to the caller, and the request is idempotent or the
// attempt certainly did not run.
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
	// baseDelay before the first retry, doubled for each further one.
	baseDelay = 20 * time.Millisecond
	// maxDelay between two attempts.
	maxDelay = time.Second
)

// Budget bounds retries to a share of the first tries. It is safe for use by
// several goroutines.
type Budget interface {
	// RecordFirstAttempt notes a first try.
	RecordFirstAttempt()
	// Take takes one retry from the budget, if there is one left.
	Take() bool
}

// Filter retries within a budget.
type Filter struct {
	budget      Budget
	maxAttempts int
	retries     tally.Counter
	spent       tally.Counter
}

// New returns a filter that makes at most maxAttempts for a request, the first
// included.
func New(budget Budget, maxAttempts int, scope tally.Scope) *Filter {
	return &Filter{
		budget:      budget,
		maxAttempts: maxAttempts,
		retries:     scope.Counter("retries"),
		spent:       scope.Counter("retry_budget_spent"),
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
		if !f.again(x, failure) {
			return final(x, failure)
		}
		if !pause(x.Context(), delay(x.Attempts)) {
			return final(x, failure)
		}
		f.retries.Inc(1)
	}
}

func (f *Filter) again(x *filter.Exchange, failure *outcome.Error) bool {
	if !retryable(x, failure) || x.Attempts >= f.maxAttempts {
		return false
	}
	if !f.budget.Take() {
		f.spent.Inc(1)
		return false
	}
	return true
}

func retryable(x *filter.Exchange, failure *outcome.Error) bool {
	if x.Out.Committed() || x.Context().Err() != nil {
		return false
	}
	switch failure.Code {
	case outcome.CodeTargetFailed, outcome.CodeTargetRefused:
		return !x.OnceOnly() || failure.Outcome == outcome.NotRun
	default:
		return false
	}
}

// final makes the error true for all attempts: where an earlier one may have
// run, the whole request may have.
func final(x *filter.Exchange, failure *outcome.Error) error {
	if !x.MayHaveRun || failure.Outcome != outcome.NotRun {
		return failure
	}
	changed := *failure
	changed.Outcome = outcome.Unknown
	return &changed
}

func delay(attempts int) time.Duration {
	ceiling := min(maxDelay, baseDelay<<min(attempts, 6))
	return time.Duration(rand.Int64N(int64(ceiling)))
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
