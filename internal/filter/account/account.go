// Package account records the results of requests in metrics, in the measurement of
// service levels and in the list of recent requests. It is the first filter of the
// chain, so that it records the end of every request.
package account

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/explain"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// Result is the result of a request.
type Result struct {
	Workspace ids.Workspace
	// OK is set if the caller got a complete response.
	OK bool
	// Code is the reason if the caller did not get a complete response.
	Code outcome.Code
	// QueueTime is the time from the arrival to the last dispatch, negative if the
	// request was never dispatched.
	QueueTime time.Duration
	// TimeToFirstByte is the time from the arrival to the first byte of the response,
	// negative if none was sent.
	TimeToFirstByte time.Duration
	// At is the time at which the request ended.
	At time.Time
}

// Filter records the results of requests.
type Filter struct {
	scope         tally.Scope
	recent        *explain.RecentRequests
	report        func(Result)
	queueTime     tally.Histogram
	firstByteTime tally.Histogram
}

// latencyBuckets are the buckets of the latency histograms, from 1 ms to about
// 17 minutes. Metrics report them in seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)

// New returns a filter that puts each request into recent, calls report with the
// result of each authenticated request, and records metrics in scope.
func New(recent *explain.RecentRequests, report func(Result), scope tally.Scope) *Filter {
	return &Filter{
		scope:         scope,
		recent:        recent,
		report:        report,
		queueTime:     scope.Histogram("queue_time", latencyBuckets),
		firstByteTime: scope.Histogram("first_byte_time", latencyBuckets),
	}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "account" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	err := next(x)
	f.recordMetrics(x, err)
	f.recent.Put(explainEntry(x, err))
	if x.Contract != nil {
		f.report(result(x, err))
	}
	return err
}

// RecordWaiting records in the list of recent requests that a request is queued.
func (f *Filter) RecordWaiting(x *filter.Exchange) {
	e := explainEntry(x, nil)
	e.Step = "waiting"
	e.Outcome = ""
	f.recent.Put(e)
}

func (f *Filter) recordMetrics(x *filter.Exchange, err error) {
	code, requestOutcome := codeAndOutcome(x, err)
	f.scope.Tagged(map[string]string{
		"class":   string(x.Class),
		"outcome": string(requestOutcome),
		"code":    string(code),
		"status":  strconv.Itoa(x.Response.Status()),
	}).Counter("requests").Inc(1)
	if !x.DispatchedAt.IsZero() {
		f.queueTime.RecordDuration(x.DispatchedAt.Sub(x.ArrivedAt))
	}
	if x.Response.IsCommitted() {
		f.firstByteTime.RecordDuration(x.Response.FirstByteAt().Sub(x.ArrivedAt))
	}
}

// codeAndOutcome returns the code and outcome of an exchange that has ended.
func codeAndOutcome(x *filter.Exchange, err error) (outcome.Code, outcome.Outcome) {
	if err == nil {
		return "", outcome.Done
	}
	var failure *outcome.Error
	if errors.As(err, &failure) {
		return failure.Code, failure.Outcome
	}
	if x.Context().Err() != nil {
		return outcome.CodeCanceled, outcome.Unknown
	}
	return outcome.CodeTargetFailed, outcome.Unknown
}

func result(x *filter.Exchange, err error) Result {
	code, _ := codeAndOutcome(x, err)
	e := Result{
		Workspace:       x.Workspace(),
		OK:              err == nil,
		Code:            code,
		QueueTime:       -1,
		TimeToFirstByte: -1,
		At:              time.Now(),
	}
	if !x.DispatchedAt.IsZero() {
		e.QueueTime = x.DispatchedAt.Sub(x.ArrivedAt)
	}
	if x.Response.IsCommitted() {
		e.TimeToFirstByte = x.Response.FirstByteAt().Sub(x.ArrivedAt)
	}
	return e
}

func explainEntry(x *filter.Exchange, err error) explain.Entry {
	code, requestOutcome := codeAndOutcome(x, err)
	e := explain.Entry{
		ID:        x.ID,
		Workspace: x.Workspace(),
		Pool:      x.Pool,
		Class:     string(x.Class),
		Step:      "answered",
		Code:      code,
		Outcome:   requestOutcome,
		Target:    x.Target,
		Attempts:  x.Attempts,
		ArrivedAt: x.ArrivedAt,
		TotalMS:   time.Since(x.ArrivedAt).Milliseconds(),
		Units:     x.Units,
	}
	if !x.DispatchedAt.IsZero() {
		e.QueuedMS = x.DispatchedAt.Sub(x.ArrivedAt).Milliseconds()
	}
	var failure *outcome.Error
	if errors.As(err, &failure) {
		e.Step = failure.Step
	}
	return e
}
