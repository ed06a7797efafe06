package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// step is the Step in errors of this package.
const step = "relay"

// AttemptHeader is the request header that carries the attempt's ID to a target.
// The target echoes it in its response.
const AttemptHeader = "X-Request-Id"

const (
	// maxResponseBytes bounds the body of an engine's response that is not streamed.
	maxResponseBytes = 16 << 20
	// maxErrorBytes bounds what is read of an engine's error response, which is not forwarded.
	maxErrorBytes = 64 << 10
	// cancelTimeout bounds one cancel request to an engine.
	cancelTimeout = 2 * time.Second
	// maxConcurrentCancels bounds the background cancel requests in progress.
	maxConcurrentCancels = 64
	// rejectedRetryAfter is the retry delay for a request whose target is full.
	rejectedRetryAfter = time.Second
)

// Options configures a Client.
type Options struct {
	// DialTimeout bounds connecting to a target.
	DialTimeout time.Duration
	// EngineStallTimeout ends an attempt at an engine that has sent no bytes for
	// this long.
	EngineStallTimeout time.Duration
	// ServiceStallTimeout is the same bound for a plain service.
	ServiceStallTimeout time.Duration
	// IdleTimeout bounds how long a keep-alive connection stays idle; zero means no
	// bound.
	IdleTimeout time.Duration
	// Scope registers the counters.
	Scope tally.Scope
}

// Client sends attempts to targets.
type Client struct {
	opts Options
	// shared reuses connections.
	shared *http.Transport
	// singleUse opens a connection for each request.
	singleUse *http.Transport

	// cancelTasks runs the background cancel requests.
	cancelTasks *pool.Pool
	// cancelSlots holds one value for each background cancel request in progress.
	cancelSlots chan struct{}
	counts      counters
}

type counters struct {
	// mismatched counts responses and events of other attempts.
	mismatched tally.Counter
	resumed    tally.Counter
	truncated  tally.Counter
	stalled    tally.Counter
	canceled   tally.Counter
}

// New returns a Client.
func New(opts Options) *Client {
	return &Client{
		opts:        opts,
		shared:      newTransport(opts.DialTimeout, opts.IdleTimeout, true),
		singleUse:   newTransport(opts.DialTimeout, opts.IdleTimeout, false),
		cancelTasks: pool.New(),
		cancelSlots: make(chan struct{}, maxConcurrentCancels),
		counts: counters{
			mismatched: opts.Scope.Counter("answers_crossed"),
			resumed:    opts.Scope.Counter("streams_resumed"),
			truncated:  opts.Scope.Counter("streams_cut"),
			stalled:    opts.Scope.Counter("targets_stalled"),
			canceled:   opts.Scope.Counter("attempts_canceled"),
		},
	}
}

// Close waits for the cancel requests in progress and closes idle connections.
func (c *Client) Close() {
	c.cancelTasks.Wait()
	c.shared.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Call describes one attempt of a request.
type Call struct {
	// AttemptID identifies the attempt. It is unique in the fleet.
	AttemptID string
	// Target receives the attempt, at Address (host and port).
	Target  ids.Target
	Address string
	// Method, Path (with query), Header and Body are those of the request.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Engine is set if the target is an engine, Stream if the caller
	// requests server-sent events.
	Engine bool
	Stream bool
	// OnceOnly requests get a connection of their own: the transport replays a
	// request by itself only on a reused connection that turns out to be closed.
	OnceOnly bool
	// Progress, if set, is called with the service units used so far.
	Progress func(units float64)
}

// Result describes how an attempt ended, whether or not it failed.
type Result struct {
	// Units are the service units used: tokens at an engine, milliseconds at a
	// plain service.
	Units float64
	// Crashed is set if the target appears to have crashed during the attempt.
	Crashed bool
	// Failed is set if the target, not the caller, ended the attempt.
	Failed bool
	// Rejected is set if the target rejected the request because it is full.
	Rejected bool
}

// Do sends an attempt to its target and forwards the response to out. The error
// is nil if the response was complete, and filter.ErrIncomplete if only a part of
// it was forwarded. Otherwise it is an *outcome.Error and nothing was sent to the
// caller.
func (c *Client) Do(ctx context.Context, call Call, out *filter.ResponseWriter) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{client: c, call: call, out: out, ctx: ctx}
	a.watch = newWatchdog(c.stallTimeout(call), func() { cancel(errStalled) })
	defer a.watch.stop()
	err := a.run()
	a.result.Units = a.units()
	return a.result, err
}

func (c *Client) stallTimeout(call Call) time.Duration {
	if call.Engine {
		return c.opts.EngineStallTimeout
	}
	return c.opts.ServiceStallTimeout
}

func (c *Client) transport(call Call) *http.Transport {
	if call.OnceOnly {
		return c.singleUse
	}
	return c.shared
}

// cancelAsync cancels an attempt at an engine in the background. If
// maxConcurrentCancels requests are in progress it sends none, and the engine ends
// the attempt by its own time limit.
func (c *Client) cancelAsync(call Call) {
	select {
	case c.cancelSlots <- struct{}{}:
	default:
		return
	}
	c.counts.canceled.Inc(1)
	c.cancelTasks.Go(func() {
		defer func() { <-c.cancelSlots }()
		_, _ = c.deleteStream(call)
	})
}

// deleteStream sends a cancel request for an attempt to an engine and returns the
// status of the response.
func (c *Client) deleteStream(call Call) (int, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(call), http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "build cancel request")
	}
	resp, err := c.shared.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrapf(err, "cancel attempt at target %s", call.Target)
	}
	return resp.StatusCode, resp.Body.Close()
}

func streamURL(call Call) string {
	return "http://" + call.Address + "/v1/streams/" + call.AttemptID
}

// newTargetError returns the error of an attempt that failed at the target.
func newTargetError(call Call, o outcome.Outcome, message string) *outcome.Error {
	return &outcome.Error{
		Code:    outcome.CodeTargetFailed,
		Message: message,
		Outcome: o,
		Status:  http.StatusBadGateway,
		Step:    step,
		Peer:    string(call.Target),
	}
}

func newRejectedError(call Call) *outcome.Error {
	e := outcome.Refuse(step, http.StatusServiceUnavailable, outcome.CodeTargetRejected, "the target refused the request before running it")
	e.RetryAfter = rejectedRetryAfter
	e.Peer = string(call.Target)
	return e
}

func newCanceledError(call Call) *outcome.Error {
	return &outcome.Error{
		Code:    outcome.CodeCanceled,
		Message: "the caller went away",
		Outcome: outcome.Unknown,
		Status:  outcome.StatusClientClosed,
		Step:    step,
		Peer:    string(call.Target),
	}
}
