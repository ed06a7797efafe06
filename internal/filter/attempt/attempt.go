// Package attempt runs one attempt at the target that was assigned by the queue, and
// reports its outcome to the scheduler and to the quarantine. It is the last filter
// of the chain.
package attempt

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/relay"
)

// Relay sends an attempt to a target and its response to the caller.
type Relay interface {
	Do(ctx context.Context, call relay.Call, out *filter.ResponseWriter) (relay.Result, error)
}

// Addresses looks up the addresses of targets. It returns false for a target that is
// no longer listed.
type Addresses interface {
	Address(target ids.Target) (string, bool)
}

// Scheduler receives the progress and the end of each attempt.
type Scheduler interface {
	Progress(p sched.Progress)
	Release(finish sched.Finish)
}

// Quarantine tracks which requests run at which target, and their outcomes.
type Quarantine interface {
	// TryStart records that an attempt is about to be dispatched. It returns false if
	// the attempt must not be dispatched.
	TryStart(attempt, fingerprint uint64, parts []uint64, target ids.Target, solo bool) bool
	Finish(attempt uint64, outcome quarantine.Outcome)
}

// Options configures a Filter.
type Options struct {
	Relay      Relay
	Addresses  Addresses
	Scheduler  Scheduler
	Quarantine Quarantine
}

// Filter runs attempts.
type Filter struct {
	opts Options
}

// New returns a filter with the options.
func New(opts Options) *Filter { return &Filter{opts: opts} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "attempt" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, _ filter.Handler) error {
	address, ok := f.opts.Addresses.Address(x.Target)
	if !ok {
		return f.abortUnsent(x, outcome.CodeTargetFailed, "the target has left")
	}
	if isClaimExpired(x) {
		return f.abortUnsent(x, outcome.CodeDeadline, "the claim for this request is too old")
	}
	if !f.opts.Quarantine.TryStart(uint64(x.AttemptID), x.Fingerprint, nil, x.Target, x.Solo) {
		return f.abortUnsent(x, outcome.CodeTargetRejected, "the request has become suspect")
	}
	result, err := f.opts.Relay.Do(f.context(x), f.call(x, address), x.Response)
	f.opts.Quarantine.Finish(uint64(x.AttemptID), quarantineOutcome(result, err))
	f.opts.Scheduler.Release(finishEvent(x, result))
	x.Units += result.Units
	if result.Failed || result.Rejected {
		x.Exclude = append(x.Exclude, x.Target)
	}
	return err
}

// context returns the context of the attempt. A once-only request continues when its
// caller disconnects, so that its outcome is recorded.
func (f *Filter) context(x *filter.Exchange) context.Context {
	if x.IsOnceOnly() {
		return context.WithoutCancel(x.Context())
	}
	return x.Context()
}

func (f *Filter) call(x *filter.Exchange, address string) relay.Call {
	return relay.Call{
		AttemptID: x.ID + "-" + strconv.Itoa(x.Attempts),
		Target:    x.Target,
		Address:   address,
		Method:    x.Request.Method,
		Path:      x.Path,
		Header:    forwardedHeader(x.Request.Header),
		Body:      x.Body,
		Engine:    x.Model != "",
		Stream:    x.Stream,
		OnceOnly:  x.IsOnceOnly(),
		Progress: func(units float64) {
			f.opts.Scheduler.Progress(sched.Progress{ID: x.AttemptID, Units: units})
		},
	}
}

// isClaimExpired reports whether the claim no longer allows the dispatch, for example
// after a long pause of the process.
func isClaimExpired(x *filter.Exchange) bool {
	return x.CanDispatch != nil && !x.CanDispatch(time.Now())
}

// abortUnsent ends an attempt before anything was sent to the target.
func (f *Filter) abortUnsent(x *filter.Exchange, code outcome.Code, message string) error {
	f.opts.Scheduler.Release(sched.Finish{ID: x.AttemptID})
	e := outcome.Refuse(f.Name(), http.StatusServiceUnavailable, code, message)
	e.Peer = string(x.Target)
	return e
}

func finishEvent(x *filter.Exchange, result relay.Result) sched.Finish {
	return sched.Finish{
		ID:       x.AttemptID,
		Units:    result.Units,
		Failed:   result.Failed,
		Rejected: result.Rejected,
	}
}

func quarantineOutcome(result relay.Result, err error) quarantine.Outcome {
	switch {
	case result.Crashed:
		return quarantine.Crashed
	case err == nil:
		return quarantine.OK
	default:
		return quarantine.Canceled
	}
}

// unforwardedHeaders are the headers of a caller's request that are not sent to
// targets.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Host":                true,
	"Expect":              true,
}

// reservedPrefix is the prefix of the headers between callers and umberhill.
const reservedPrefix = "Umberhill-"

func forwardedHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if unforwardedHeaders[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}
