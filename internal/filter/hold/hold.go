// Package hold limits the number of requests that are in flight in a router, waiting
// and running, so that a flood of requests can't exhaust its memory.
package hold

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

// retryAfter is the Retry-After of the requests that this filter refuses.
const retryAfter = time.Second

// Filter limits the requests in flight.
type Filter struct {
	limit    int64
	inFlight atomic.Int64
	stopping atomic.Bool
}

// New returns a filter that allows at most limit requests in flight.
func New(limit int) *Filter { return &Filter{limit: int64(limit)} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "hold" }

// Stop makes the filter refuse all further requests.
func (f *Filter) Stop() { f.stopping.Store(true) }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	if f.stopping.Load() {
		return f.refuse(http.StatusServiceUnavailable, outcome.CodeShuttingDown, "this router is stopping")
	}
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.limit {
		return f.refuse(http.StatusServiceUnavailable, outcome.CodeTooManyHeld, "this router holds as many requests as it may")
	}
	return next(x)
}

func (f *Filter) refuse(status int, code outcome.Code, message string) error {
	e := outcome.Refuse(f.Name(), status, code, message)
	e.RetryAfter = retryAfter
	return e
}
