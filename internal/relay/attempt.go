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
	"github.com/umberhill/umberhill/internal/upstream"
)

// attempt is the state of one Call in progress.
type attempt struct {
	client *Client
	call   Call
	out    *filter.ResponseWriter
	ctx    context.Context
	watch  *watchdog

	// connected is set once a connection was obtained, after which bytes of the
	// request may have been sent.
	connected atomic.Bool
	startedAt time.Time
	usage     usage
	events    int
	result    Result
	// cancelSent is set once a cancellation of the attempt was sent to the engine.
	cancelSent bool
}

func (a *attempt) run() error {
	a.startedAt = time.Now()
	resp, err := a.send()
	if err != nil {
		return a.endWithoutResponse(err)
	}
	defer resp.Body.Close()
	if err := upstream.CheckStatus(resp); err != nil {
		return a.endFailed("the target's response is invalid: " + err.Error())
	}
	if !a.isOwnResponse(resp) {
		a.client.counts.mismatched.Inc(1)
		return a.endFailed("the target answered another request")
	}
	if !a.call.Engine {
		return a.relayServiceResponse(resp)
	}
	return a.relayEngineResponse(resp)
}

func (a *attempt) relayEngineResponse(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		a.result.Rejected = true
		return newRejectedError(a.call)
	case resp.StatusCode >= http.StatusInternalServerError:
		return a.endEngineError(resp)
	case a.call.Stream && resp.StatusCode == http.StatusOK:
		return a.relayStream(resp)
	default:
		return a.relayFullResponse(resp)
	}
}

// endEngineError ends an attempt whose engine answered with an error. An engine that crashes may
// break off that answer as well as any other.
func (a *attempt) endEngineError(resp *http.Response) error {
	_, err := io.CopyN(io.Discard, a.watchedBody(resp), maxErrorBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return a.endTruncated()
	}
	return a.endFailed("the engine failed with " + resp.Status)
}

// send sends the request and waits for the header of the response.
func (a *attempt) send() (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	url := "http://" + a.call.Address + a.call.Path
	req, err := http.NewRequestWithContext(ctx, a.call.Method, url, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = a.call.Header
	req.Header.Set(AttemptHeader, a.call.AttemptID)
	return a.client.transport(a.call).RoundTrip(req)
}

// isOwnResponse reports whether a response belongs to this attempt. An engine
// must echo the attempt's ID; a plain service may omit it, but must not send the
// ID of another attempt.
func (a *attempt) isOwnResponse(resp *http.Response) bool {
	echoedID := resp.Header.Get(AttemptHeader)
	if a.call.Engine {
		return echoedID == a.call.AttemptID
	}
	return echoedID == "" || echoedID == a.call.AttemptID
}

// endWithoutResponse ends an attempt that received no response and returns its
// error.
func (a *attempt) endWithoutResponse(err error) error {
	if a.hasCallerDisconnected() {
		return a.endCanceled()
	}
	a.result.Failed = true
	if !a.connected.Load() {
		return newTargetError(a.call, outcome.NotRun, "no connection to the target")
	}
	if a.isStalled() {
		return a.endFailed("the target is silent")
	}
	a.result.Crashed = a.hasTargetCrashed()
	return a.endFailed("the target closed the connection: " + errors.UnwrapAll(err).Error())
}

// endFailed ends an attempt that failed at the target and returns its error. It
// cancels the attempt at an engine.
func (a *attempt) endFailed(message string) error {
	a.result.Failed = true
	if a.call.Engine && !a.cancelSent {
		a.client.cancelAsync(a.call)
	}
	if a.out.IsCommitted() {
		return filter.ErrIncomplete
	}
	return newTargetError(a.call, outcome.Unknown, message)
}

// endCanceled ends an attempt whose caller has disconnected and returns its
// error. The outcome is not-run if no connection to the target was obtained.
func (a *attempt) endCanceled() error {
	if a.call.Engine {
		a.client.cancelAsync(a.call)
	}
	if a.out.IsCommitted() {
		return filter.ErrIncomplete
	}
	canceled := newCanceledError(a.call)
	if !a.connected.Load() {
		canceled.Outcome = outcome.NotRun
	}
	return canceled
}

// isStalled reports whether the watchdog ended the attempt. It counts the stall if
// so.
func (a *attempt) isStalled() bool {
	if !errors.Is(context.Cause(a.ctx), errStalled) {
		return false
	}
	a.client.counts.stalled.Inc(1)
	return true
}

// hasCallerDisconnected reports whether the attempt's context was ended by
// anything but the watchdog.
func (a *attempt) hasCallerDisconnected() bool {
	return a.ctx.Err() != nil && !errors.Is(context.Cause(a.ctx), errStalled)
}

// endTruncated ends an attempt whose response body could not be read in full and
// returns its error.
func (a *attempt) endTruncated() error {
	if a.hasCallerDisconnected() {
		return a.endCanceled()
	}
	if !a.isStalled() {
		a.result.Crashed = a.hasTargetCrashed()
	}
	return a.endFailed("the answer was cut off")
}

// units returns the service units used: tokens at an engine, milliseconds at a
// plain service. It returns 0 if no connection to the target was obtained.
func (a *attempt) units() float64 {
	if !a.connected.Load() {
		return 0
	}
	if !a.call.Engine {
		return max(1, float64(time.Since(a.startedAt).Milliseconds()))
	}
	return max(a.usage.TotalTokens, float64(a.events))
}

// commit copies the headers of a response to the caller and sends its status.
func (a *attempt) commit(resp *http.Response) {
	copyHeader(a.out.Header(), resp.Header)
	a.out.Header().Set(outcome.Header, string(outcome.Done))
	a.out.Commit(resp.StatusCode)
}

// watchedBody returns the response body as a reader that resets the watchdog.
func (a *attempt) watchedBody(resp *http.Response) io.Reader {
	return watchedReader{Reader: resp.Body, watch: a.watch}
}
