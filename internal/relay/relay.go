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

// step is the name that errors of this package carry.
const step = "relay"

// AttemptHeader names the attempt towards targets, which echo it.
const AttemptHeader = "X-Request-Id"

const (
	// maxWhole bounds an engine's answer that is not streamed, in bytes.
	maxWhole = 16 << 20
	// cancelTimeout bounds one order to cancel.
	cancelTimeout = 2 * time.Second
	// maxCancels bounds the orders to cancel under way at a time.
	maxCancels = 64
	// refusedRetryAfter is when a request may come back whose target is full.
	refusedRetryAfter = time.Second
)

// Options of a Client.
type Options struct {
	// Dial bounds connecting.
	Dial time.Duration
	// Stall is the silence after which a running engine is taken for frozen.
	Stall time.Duration
	// ServiceStall is the same for a plain service.
	ServiceStall time.Duration
	// Idle bounds an idle kept-alive connection; zero is no bound.
	Idle time.Duration
	// Scope for counters.
	Scope tally.Scope
}

// Client carries attempts to targets.
type Client struct {
	opts   Options
	shared *http.Transport
	single *http.Transport

	cancels *pool.Pool
	slots   chan struct{}
	counts  counters
}

type counters struct {
	crossed   tally.Counter
	resumed   tally.Counter
	cut       tally.Counter
	stalled   tally.Counter
	cancelled tally.Counter
}

// New returns a Client.
func New(opts Options) *Client {
	return &Client{
		opts:    opts,
		shared:  newTransport(opts.Dial, opts.Idle, true),
		single:  newTransport(opts.Dial, opts.Idle, false),
		cancels: pool.New(),
		slots:   make(chan struct{}, maxCancels),
		counts: counters{
			crossed:   opts.Scope.Counter("answers_crossed"),
			resumed:   opts.Scope.Counter("streams_resumed"),
			cut:       opts.Scope.Counter("streams_cut"),
			stalled:   opts.Scope.Counter("targets_stalled"),
			cancelled: opts.Scope.Counter("attempts_canceled"),
		},
	}
}

// Close waits for the orders to cancel and closes idle connections.
func (c *Client) Close() {
	c.cancels.Wait()
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Call is one attempt.
type Call struct {
	// Attempt names it, unique in the fleet.
	Attempt string
	// Target and its address.
	Target  ids.Target
	Address string
	// Method, Path (with query), Header and Body of the request.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Engine is set for model engines, Stream for server-sent events.
	Engine bool
	Stream bool
	// OnceOnly requests never share a connection, so that the transport has no
	// dead one on which to replay them.
	OnceOnly bool
	// Progress is told the service units used so far.
	Progress func(units float64)
}

// Result tells how an attempt ended, also where it failed.
type Result struct {
	// Units of service used.
	Units float64
	// Crashed is set where the target seems to have died under the attempt.
	Crashed bool
	// Failed is set where the target, not the caller, ended the attempt.
	Failed bool
	// Refused is set where the target said that it is full.
	Refused bool
}

// Do carries an attempt out and passes the answer on. The error is nil where
// the answer is whole, filter.ErrIncomplete where it was begun and broken off, and
// otherwise an *outcome.Error, with nothing sent to the caller.
func (c *Client) Do(ctx context.Context, call Call, out *filter.ResponseWriter) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{client: c, call: call, out: out, ctx: ctx}
	a.watch = newWatchdog(c.stall(call), func() { cancel(errStalled) })
	defer a.watch.stop()
	err := a.run()
	a.result.Units = a.units()
	return a.result, err
}

func (c *Client) stall(call Call) time.Duration {
	if call.Engine {
		return c.opts.Stall
	}
	return c.opts.ServiceStall
}

func (c *Client) transport(call Call) *http.Transport {
	if call.OnceOnly {
		return c.single
	}
	return c.shared
}

// cancel tells an engine in the background to stop an attempt. Where too many
// such orders are under way the engine ends it by its own time limit.
func (c *Client) cancel(call Call) {
	select {
	case c.slots <- struct{}{}:
	default:
		return
	}
	c.counts.cancelled.Inc(1)
	c.cancels.Go(func() {
		defer func() { <-c.slots }()
		_, _ = c.deleteStream(call)
	})
}

// deleteStream orders an engine to cancel an attempt and returns its status.
func (c *Client) deleteStream(call Call) (int, error) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(call), http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "build the order to cancel")
	}
	resp, err := c.shared.RoundTrip(req)
	if err != nil {
		return 0, errors.Wrapf(err, "cancel at %s", call.Target)
	}
	return resp.StatusCode, resp.Body.Close()
}

func streamURL(call Call) string {
	return "http://" + call.Address + "/v1/streams/" + call.Attempt
}

// failure builds the error of an attempt that the target did not answer.
func failure(call Call, o outcome.Outcome, message string) *outcome.Error {
	return &outcome.Error{
		Code:    outcome.CodeTargetFailed,
		Message: message,
		Outcome: o,
		Status:  http.StatusBadGateway,
		Step:    step,
		Peer:    string(call.Target),
	}
}

func refused(call Call) *outcome.Error {
	e := outcome.Refuse(step, http.StatusServiceUnavailable, outcome.CodeTargetRefused, "the target refused the request before running it")
	e.RetryAfter = refusedRetryAfter
	e.Peer = string(call.Target)
	return e
}

func callerGone(call Call) *outcome.Error {
	return &outcome.Error{
		Code:    outcome.CodeCanceled,
		Message: "the caller went away",
		Outcome: outcome.Unknown,
		Status:  outcome.StatusClientClosed,
		Step:    step,
		Peer:    string(call.Target),
	}
}
