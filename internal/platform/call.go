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
)

// maxRetryAfter bounds what the service may ask for.
const maxRetryAfter = time.Hour

// Bounds of the connections to the service.
const (
	maxIdleConns    = 16
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
)

// Keep-alive probes find a connection to a service that is cut off within about
// two seconds, also while a watch waits on it.
const (
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// newHTTPClient returns a client that sends each call at most once.
//
// http.Transport sends a request again on a dead kept-alive connection in two
// cases: nothing of it had been written, which is harmless, or it counts as
// replayable, which takes a safe method or an Idempotency-Key header and a body
// that can be rewound. A write here has neither that header nor GetBody.
// HTTP/2, which has rules of its own, is off, and so are redirects.
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

// step names a call in errors.
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

// answer is what came back of a call.
type answer struct {
	status     int
	header     http.Header
	retryAfter time.Duration
	body       []byte
}

// do sends the call once. connected tells whether a connection had been got,
// without which no byte was sent.
func (c *Client) do(ctx context.Context, cl Call, limit int64) (ans answer, connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+cl.Wait)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	})
	req, err := c.request(ctx, cl)
	if err != nil {
		return answer{}, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, got.Load(), err
	}
	defer resp.Body.Close()
	ans = answer{status: resp.StatusCode, header: resp.Header, retryAfter: retryAfter(resp.Header)}
	ans.body, err = readAll(resp.Body, limit)
	return ans, true, err
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

// read carries out a call that changes nothing.
func (c *Client) read(ctx context.Context, cl Call, limit int64, decode func(body []byte) error) error {
	ans, _, err := c.do(ctx, cl, limit)
	if err == nil {
		err = c.readResult(cl, ans, decode)
	}
	c.count(cl.Op, err)
	if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrCompacted) {
		return err
	}
	return &ReadError{Step: cl.step(), Peer: c.url(), Status: ans.status, RetryAfter: ans.retryAfter, Err: err}
}

func (c *Client) readResult(cl Call, ans answer, decode func(body []byte) error) error {
	switch c.wire.Fate(cl.Op, ans.status, ans.header) {
	case Done:
		return decode(ans.body)
	case Missing:
		return ErrNotFound
	case Compacted:
		return ErrCompacted
	default:
		return statusError(ans)
	}
}

// write carries out a call that changes an object.
func (c *Client) write(ctx context.Context, cl Call, decode func(body []byte) error) error {
	ans, connected, err := c.do(ctx, cl, maxObjectBytes)
	switch {
	case err != nil && !connected:
		err = &NotAppliedError{Step: cl.step(), Peer: c.url(), Err: err}
	case err != nil:
		err = &UnsureError{Step: cl.step(), Peer: c.url(), Err: err}
	default:
		err = c.writeResult(cl, ans, decode)
	}
	c.count(cl.Op, err)
	return err
}

func (c *Client) writeResult(cl Call, ans answer, decode func(body []byte) error) error {
	switch c.wire.Fate(cl.Op, ans.status, ans.header) {
	case Done:
		if err := decode(ans.body); err != nil {
			return &UnsureError{Step: cl.step(), Peer: c.url(), Err: err}
		}
		return nil
	case Conflicting:
		return c.conflict(cl, ans)
	case Missing:
		return ErrNotFound
	case NotApplied:
		return &NotAppliedError{
			Step: cl.step(), Peer: c.url(), Status: ans.status,
			RetryAfter: ans.retryAfter, Err: statusError(ans),
		}
	default:
		return &UnsureError{Step: cl.step(), Peer: c.url(), Err: statusError(ans)}
	}
}

func (c *Client) conflict(cl Call, ans answer) error {
	current, err := c.wire.Object(cl, ans.body)
	if err != nil {
		return &NotAppliedError{Step: cl.step(), Peer: c.url(), Status: ans.status, Err: err}
	}
	return &ConflictError{Current: current}
}

func statusError(ans answer) error { return errors.Newf("status %d", ans.status) }

// readAll reads a body of at most limit bytes.
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

// count adds the call to the counter platform_calls.
func (c *Client) count(op Op, err error) {
	tags := map[string]string{"call": string(op), "result": resultOf(err)}
	c.scope.Tagged(tags).Counter("platform_calls").Inc(1)
}

func resultOf(err error) string {
	var notApplied *NotAppliedError
	var unsure *UnsureError
	var conflict *ConflictError
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &notApplied):
		return "not_applied"
	case errors.As(err, &unsure):
		return "unsure"
	}
	return "error"
}
