package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

// attempt is the state of one Call under way.
type attempt struct {
	client *Client
	call   Call
	out    *filter.ResponseWriter
	ctx    context.Context
	watch  *watchdog

	// connected is set once a connection may carry bytes of the request.
	connected atomic.Bool
	began     time.Time
	usage     usage
	events    int
	result    Result
	// canceled is set once the engine was told to cancel the attempt.
	canceled bool
}

func (a *attempt) run() error {
	a.began = time.Now()
	resp, err := a.send()
	if err != nil {
		return a.unanswered(err)
	}
	defer resp.Body.Close()
	if !a.own(resp) {
		a.client.counts.crossed.Inc(1)
		return a.broken("the target answered another request")
	}
	if !a.call.Engine {
		return a.passService(resp)
	}
	return a.passEngine(resp)
}

func (a *attempt) passEngine(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		a.result.Refused = true
		return refused(a.call)
	case resp.StatusCode >= http.StatusInternalServerError:
		return a.broken("the engine failed with " + resp.Status)
	case a.call.Stream && resp.StatusCode == http.StatusOK:
		return a.passStream(resp)
	default:
		return a.passWhole(resp)
	}
}

func (a *attempt) send() (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	url := "http://" + a.call.Address + a.call.Path
	req, err := http.NewRequestWithContext(ctx, a.call.Method, url, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	req.Header = a.call.Header
	req.Header.Set(AttemptHeader, a.call.Attempt)
	return a.client.transport(a.call).RoundTrip(req)
}

// own tells whether a response belongs to this attempt. Engines echo the
// attempt; a plain service need not, but must not name another.
func (a *attempt) own(resp *http.Response) bool {
	echo := resp.Header.Get(AttemptHeader)
	if a.call.Engine {
		return echo == a.call.Attempt
	}
	return echo == "" || echo == a.call.Attempt
}

// unanswered explains a request that got no response.
func (a *attempt) unanswered(err error) error {
	if a.callerLeft() {
		return a.abandon()
	}
	a.result.Failed = true
	if !a.connected.Load() {
		return failure(a.call, outcome.NotRun, "no connection to the target")
	}
	if a.stalled() {
		return a.broken("the target is silent")
	}
	a.result.Crashed = a.dead()
	return a.broken("the target closed the connection: " + errors.UnwrapAll(err).Error())
}

// broken ends an attempt that the target did not carry through.
func (a *attempt) broken(message string) error {
	a.result.Failed = true
	if a.call.Engine && !a.canceled {
		a.client.cancel(a.call)
	}
	if a.out.IsCommitted() {
		return filter.ErrIncomplete
	}
	return failure(a.call, outcome.Unknown, message)
}

// abandon ends an attempt whose caller has gone.
func (a *attempt) abandon() error {
	if a.call.Engine {
		a.client.cancel(a.call)
	}
	if a.out.IsCommitted() {
		return filter.ErrIncomplete
	}
	gone := callerGone(a.call)
	if !a.connected.Load() {
		gone.Outcome = outcome.NotRun
	}
	return gone
}

func (a *attempt) stalled() bool {
	if !errors.Is(context.Cause(a.ctx), errStalled) {
		return false
	}
	a.client.counts.stalled.Inc(1)
	return true
}

func (a *attempt) callerLeft() bool {
	return a.ctx.Err() != nil && !errors.Is(context.Cause(a.ctx), errStalled)
}

// unread explains an answer whose body could not be read whole.
func (a *attempt) unread() error {
	if a.callerLeft() {
		return a.abandon()
	}
	if !a.stalled() {
		a.result.Crashed = a.dead()
	}
	return a.broken("the answer was cut off")
}

// units are tokens at engines and milliseconds at plain services.
func (a *attempt) units() float64 {
	if !a.connected.Load() {
		return 0
	}
	if !a.call.Engine {
		return max(1, float64(time.Since(a.began).Milliseconds()))
	}
	return max(a.usage.TotalTokens, float64(a.events))
}

// commit copies the headers of a response and sends its status.
func (a *attempt) commit(resp *http.Response) {
	copyHeader(a.out.Header(), resp.Header)
	a.out.Header().Set(outcome.Header, string(outcome.Done))
	a.out.Commit(resp.StatusCode)
}

func (a *attempt) body(resp *http.Response) io.Reader {
	return watched{Reader: resp.Body, watch: a.watch}
}
