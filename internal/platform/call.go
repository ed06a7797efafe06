package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/revision"
)

// maxRetryAfter is the longest Retry-After of the service that is honored. A longer
// one is ignored.
const maxRetryAfter = time.Hour

// Limits of the connections to the service.
const (
	maxIdleConns    = 16
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
)

// TCP keep-alive probes detect within about two seconds that the service has become
// unreachable, even if a watch is waiting on the connection.
const (
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// newHTTPClient returns an HTTP client that sends each write at most once.
//
// http.Transport resends a request after a failure of a reused connection in two
// cases. In the first, no byte of it was written, which is harmless. In the second,
// it counts as replayable: it has a safe method or an Idempotency-Key header, and a
// body that can be rewound. A write of this client has neither that header nor
// GetBody. HTTP/2, which has its own retry rules, is disabled, and so are redirects.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			TLSHandshakeTimeout:    dialTimeout,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			Protocols:              protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// step returns the description of the call for errors, such as "put claims/3".
func (c Call) step() string {
	step := string(c.Op)
	if c.Kind != "" {
		step += " " + string(c.Kind)
	}
	if c.Name != "" {
		step += "/" + c.Name
	}
	return step
}

// response is the service's response to a call.
type response struct {
	status     int
	header     http.Header
	retryAfter time.Duration
	body       []byte
	// era is the era of the store that responded.
	era uint64
}

// do sends the call once and reads a response body of at most limit bytes. connected
// reports whether a connection was obtained; without one, no byte was sent.
func (c *Client) do(ctx context.Context, cl Call, limit int64) (resp response, connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+cl.Wait)
	defer cancel()
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := c.request(ctx, cl)
	if err != nil {
		return response{}, false, err
	}
	httpResp, err := c.http.Do(req)
	if err != nil {
		return response{}, gotConn.Load(), err
	}
	defer httpResp.Body.Close()
	resp = response{status: httpResp.StatusCode, header: httpResp.Header, retryAfter: retryAfter(httpResp.Header)}
	resp.era = c.observeEra(c.wire.Era(httpResp.Header))
	resp.body, err = readAll(httpResp.Body, limit)
	return resp, true, err
}

func (c *Client) request(ctx context.Context, cl Call) (*http.Request, error) {
	encoded, err := c.wire.Encode(cl)
	if err != nil {
		return nil, errors.Wrap(err, "encode the call")
	}
	var body io.Reader
	if encoded.Body != nil {
		body = bytes.NewReader(encoded.Body)
	}
	req, err := http.NewRequestWithContext(ctx, encoded.Method, c.url()+encoded.Path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, values := range encoded.Header {
		req.Header[name] = values
	}
	if encoded.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}

// read executes a call that changes no object. It returns ErrNotFound, ErrCompacted
// or a *ReadError.
func (c *Client) read(ctx context.Context, cl Call, limit int64, decode func(body []byte, era uint64) error) error {
	resp, connected, err := c.do(ctx, cl, limit)
	isCut := err != nil && connected && cl.Wait > 0 && !isTimeout(err)
	if err == nil {
		err = c.readResult(cl, resp, decode)
	}
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrCompacted) {
		err = &ReadError{Step: cl.step(), URL: c.url(), Status: resp.status, RetryAfter: resp.retryAfter, IsCut: isCut, Err: err}
	}
	c.count(cl.Op, err)
	return err
}

// isTimeout reports whether a call failed because nothing arrived in time.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func (c *Client) readResult(cl Call, resp response, decode func(body []byte, era uint64) error) error {
	switch c.wire.Outcome(cl.Op, resp.status, resp.header) {
	case Succeeded:
		return decode(resp.body, resp.era)
	case NotFound:
		return ErrNotFound
	case Compacted:
		return ErrCompacted
	default:
		return statusError(resp)
	}
}

// write executes a call that changes an object. It returns ErrNotFound, or a
// *ConflictError, *NotAppliedError or *UnconfirmedError.
func (c *Client) write(ctx context.Context, cl Call, decode func(body []byte, era uint64) error) error {
	resp, connected, err := c.do(ctx, cl, maxObjectBytes)
	switch {
	case err != nil && !connected:
		err = &NotAppliedError{Step: cl.step(), URL: c.url(), Err: err}
	case err != nil:
		err = &UnconfirmedError{Step: cl.step(), URL: c.url(), Err: err}
	default:
		err = c.writeResult(cl, resp, decode)
	}
	c.count(cl.Op, err)
	return err
}

func (c *Client) writeResult(cl Call, resp response, decode func(body []byte, era uint64) error) error {
	switch c.wire.Outcome(cl.Op, resp.status, resp.header) {
	case Succeeded:
		if err := decode(resp.body, resp.era); err != nil {
			return &UnconfirmedError{Step: cl.step(), URL: c.url(), Err: err}
		}
		return nil
	case Conflict:
		return c.conflict(cl, resp)
	case NotFound:
		return ErrNotFound
	case NotApplied:
		return &NotAppliedError{
			Step: cl.step(), URL: c.url(), Status: resp.status,
			RetryAfter: resp.retryAfter, Err: statusError(resp),
		}
	default:
		return &UnconfirmedError{Step: cl.step(), URL: c.url(), Err: statusError(resp)}
	}
}

func (c *Client) conflict(cl Call, resp response) error {
	current, err := c.wire.Object(cl, resp.body)
	if err != nil {
		return &NotAppliedError{Step: cl.step(), URL: c.url(), Status: resp.status, Err: err}
	}
	if current != nil {
		current.Version = revision.Join(resp.era, current.Version)
	}
	return &ConflictError{Current: current}
}

func statusError(resp response) error { return errors.Newf("status %d", resp.status) }

// readAll reads a body of at most limit bytes. A longer body is an error.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("answer is over the limit of %d bytes", limit)
	}
	return data, nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 || seconds > int(maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// count increments the counter platform_calls for the call and its result.
func (c *Client) count(op Op, err error) {
	tags := map[string]string{"call": string(op), "result": resultOf(err)}
	c.scope.Tagged(tags).Counter("platform_calls").Inc(1)
}

func resultOf(err error) string {
	var notApplied *NotAppliedError
	var unconfirmed *UnconfirmedError
	var conflict *ConflictError
	var read *ReadError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &read) && read.IsCut:
		return "cut"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &notApplied):
		return "not_applied"
	case errors.As(err, &unconfirmed):
		return "unsure"
	}
	return "error"
}
