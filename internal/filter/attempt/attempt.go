// Package attempt carries out one attempt at the target that the queue chose
// and tells everyone concerned how it ended. It is the last filter.
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

// Relay carries an attempt to a target.
type Relay interface {
	Do(ctx context.Context, call relay.Call, out *filter.Answer) (relay.Result, error)
}

// Addresses tells where targets listen.
type Addresses interface {
	Address(target ids.Target) (string, bool)
}

// Scheduler hears how attempts go.
type Scheduler interface {
	Progress(p sched.Progress)
	Release(end sched.Finish)
}

// Suspects hears which requests run at which target, and how they end.
type Suspects interface {
	// TryStart tells that an attempt is about to be dispatched; false says that
	// it must not be.
	TryStart(attempt, fingerprint uint64, target ids.Target, solo bool) bool
	Finish(attempt uint64, outcome quarantine.Outcome)
}

// Options of the filter.
type Options struct {
	Relay     Relay
	Addresses Addresses
	Scheduler Scheduler
	Suspects  Suspects
}

// Filter carries out attempts.
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
		return f.withhold(x, outcome.CodeTargetFailed, "the target has left")
	}
	if expired(x) {
		return f.withhold(x, outcome.CodeDeadline, "the claim for this request is too old")
	}
	if !f.opts.Suspects.TryStart(uint64(x.Attempt), x.Fingerprint, x.Target, x.Solo) {
		return f.withhold(x, outcome.CodeTargetRefused, "the request has become suspect")
	}
	result, err := f.opts.Relay.Do(f.context(x), f.call(x, address), x.Out)
	f.opts.Suspects.Finish(uint64(x.Attempt), end(result, err))
	f.opts.Scheduler.Release(finish(x, result))
	x.Units += result.Units
	if result.Failed || result.Refused {
		x.Exclude = append(x.Exclude, x.Target)
	}
	return err
}

// context of the run: once-only work goes on when its caller leaves, so that
// its outcome becomes known.
func (f *Filter) context(x *filter.Exchange) context.Context {
	if x.OnceOnly() {
		return context.WithoutCancel(x.Context())
	}
	return x.Context()
}

func (f *Filter) call(x *filter.Exchange, address string) relay.Call {
	return relay.Call{
		Attempt:  x.ID + "-" + strconv.Itoa(x.Attempts),
		Target:   x.Target,
		Address:  address,
		Method:   x.In.Method,
		Path:     x.Path,
		Header:   forwarded(x.In.Header),
		Body:     x.Body,
		Engine:   x.Model != "",
		Stream:   x.Stream,
		OnceOnly: x.OnceOnly(),
		Progress: func(units float64) {
			f.opts.Scheduler.Progress(sched.Progress{ID: x.Attempt, Units: units})
		},
	}
}

// expired tells whether a claim no longer allows the dispatch, as after a long
// pause of the process.
func expired(x *filter.Exchange) bool {
	return x.MayDispatch != nil && !x.MayDispatch(time.Now())
}

// withhold ends an attempt of which nothing was sent.
func (f *Filter) withhold(x *filter.Exchange, code outcome.Code, message string) error {
	f.opts.Scheduler.Release(sched.Finish{ID: x.Attempt})
	e := outcome.Refuse(f.Name(), http.StatusServiceUnavailable, code, message)
	e.Peer = string(x.Target)
	return e
}

func finish(x *filter.Exchange, result relay.Result) sched.Finish {
	return sched.Finish{
		ID:      x.Attempt,
		Units:   result.Units,
		Failed:  result.Failed,
		Refused: result.Refused,
	}
}

func end(result relay.Result, err error) quarantine.Outcome {
	switch {
	case result.Crashed:
		return quarantine.Crashed
	case err == nil:
		return quarantine.OK
	default:
		return quarantine.Canceled
	}
}

// private headers of a caller's request that targets don't get.
var private = map[string]bool{
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

// ownPrefix starts the names of headers between callers and umberhill.
const ownPrefix = "Umberhill-"

func forwarded(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if private[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}
