// Package account counts what became of requests: metrics, service levels and
// the record of recent requests. It is the first filter, so that it sees every
// end.
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

// End is how a request ended.
type End struct {
	Workspace ids.Workspace
	// OK is set where the caller got a whole answer.
	OK bool
	// Code names the reason where it did not.
	Code outcome.Code
	// QueueTime is the wait before the last dispatch; negative where the
	// request was never dispatched.
	QueueTime time.Duration
	// FirstToken is the time to the first byte; negative where none came.
	FirstToken time.Duration
	At         time.Time
}

// Filter counts ends.
type Filter struct {
	scope  tally.Scope
	recent *explain.Recent
	report func(End)
	queued tally.Histogram
	first  tally.Histogram
}

// latencyBuckets in seconds, from 1 ms to about 17 minutes.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)

// New returns a filter that reports each end.
func New(recent *explain.Recent, report func(End), scope tally.Scope) *Filter {
	return &Filter{
		scope:  scope,
		recent: recent,
		report: report,
		queued: scope.Histogram("queue_time", latencyBuckets),
		first:  scope.Histogram("first_byte_time", latencyBuckets),
	}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "account" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	err := next(x)
	f.count(x, err)
	f.recent.Put(entry(x, err))
	if x.Contract != nil {
		f.report(end(x, err))
	}
	return err
}

// Waiting notes that a request waits for its turn.
func (f *Filter) Waiting(x *filter.Exchange) {
	e := entry(x, nil)
	e.Step = "waiting"
	e.Outcome = ""
	f.recent.Put(e)
}

func (f *Filter) count(x *filter.Exchange, err error) {
	code, what := verdict(x, err)
	f.scope.Tagged(map[string]string{
		"class":   string(x.Class),
		"outcome": string(what),
		"code":    string(code),
		"status":  strconv.Itoa(x.Out.Status()),
	}).Counter("requests").Inc(1)
	if !x.Dispatched.IsZero() {
		f.queued.RecordDuration(x.Dispatched.Sub(x.Arrived))
	}
	if x.Out.Committed() {
		f.first.RecordDuration(x.Out.FirstByte().Sub(x.Arrived))
	}
}

// verdict returns the code and outcome of an ended exchange.
func verdict(x *filter.Exchange, err error) (outcome.Code, outcome.Outcome) {
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

func end(x *filter.Exchange, err error) End {
	code, _ := verdict(x, err)
	e := End{
		Workspace:  x.Workspace(),
		OK:         err == nil,
		Code:       code,
		QueueTime:  -1,
		FirstToken: -1,
		At:         time.Now(),
	}
	if !x.Dispatched.IsZero() {
		e.QueueTime = x.Dispatched.Sub(x.Arrived)
	}
	if x.Out.Committed() {
		e.FirstToken = x.Out.FirstByte().Sub(x.Arrived)
	}
	return e
}

func entry(x *filter.Exchange, err error) explain.Entry {
	code, what := verdict(x, err)
	e := explain.Entry{
		ID:        x.ID,
		Workspace: x.Workspace(),
		Pool:      x.Pool,
		Class:     string(x.Class),
		Step:      "answered",
		Code:      code,
		Outcome:   what,
		Target:    x.Target,
		Attempts:  x.Attempts,
		Arrived:   x.Arrived,
		TotalMS:   time.Since(x.Arrived).Milliseconds(),
		Units:     x.Units,
	}
	if !x.Dispatched.IsZero() {
		e.QueuedMS = x.Dispatched.Sub(x.Arrived).Milliseconds()
	}
	var failure *outcome.Error
	if errors.As(err, &failure) {
		e.Step = failure.Step
	}
	return e
}
