package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
)

// appliedHeader is "no" where a write was certainly not applied.
const appliedHeader = "Umberhill-Applied"

// maxRetryAfter bounds what the service may ask for.
const maxRetryAfter = time.Hour

// Bounds of the connections to the service.
const (
	maxIdleConns    = 16
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
)

// newHTTPClient returns a client that sends each call at most once.
//
// http.Transport sends a request again on a dead kept-alive connection in two
// cases: nothing of it had been written, which is harmless, or it counts as
// replayable, which takes a safe method or an Idempotency-Key header and a body
// that can be rewound. A write here has neither that header nor GetBody.
// HTTP/2, which has rules of its own, is off, and so are redirects.
func newHTTPClient(dialTimeout time.Duration) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSHandshakeTimeout:    dialTimeout,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			Protocols:              protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call is one call of the service.
type call struct {
	op     string
	kind   api.Kind
	name   string
	method string
	path   string
	body   []byte
	cond   Condition
	limit  int64
	wait   time.Duration
}

func (c call) step() string {
	step := c.op
	if c.kind != "" {
		step += " " + string(c.kind)
	}
	if c.name != "" {
		step += "/" + c.name
	}
	return step
}

// answer is what came back of a call.
type answer struct {
	status     int
	applied    string
	retryAfter time.Duration
	body       []byte
}

// do sends the call once. connected tells whether a connection had been got,
// without which no byte was sent.
func (c *Client) do(ctx context.Context, cl call) (ans answer, connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+cl.wait)
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
	ans = answer{
		status:     resp.StatusCode,
		applied:    resp.Header.Get(appliedHeader),
		retryAfter: retryAfter(resp.Header),
	}
	ans.body, err = readAll(resp.Body, cl.limit)
	return ans, true, err
}

func (c *Client) request(ctx context.Context, cl call) (*http.Request, error) {
	var body io.Reader
	if cl.body != nil {
		body = bytes.NewReader(cl.body)
	}
	req, err := http.NewRequestWithContext(ctx, cl.method, c.base+cl.path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if cl.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if cl.cond.Absent {
		req.Header.Set("If-None-Match", "*")
	}
	if cl.cond.Version > 0 {
		req.Header.Set("If-Match", `"`+strconv.FormatUint(cl.cond.Version, 10)+`"`)
	}
	return req, nil
}

// read carries out a call that changes nothing.
func (c *Client) read(ctx context.Context, cl call, out any) error {
	cl.method = http.MethodGet
	ans, _, err := c.do(ctx, cl)
	if err == nil {
		err = readResult(ans, out)
	}
	c.count(cl.op, err)
	if err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrCompacted) {
		return err
	}
	return &ReadError{Step: cl.step(), Peer: c.base, Status: ans.status, RetryAfter: ans.retryAfter, Err: err}
}

func readResult(ans answer, out any) error {
	switch ans.status {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(ans.body, out), "bad answer")
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	}
	return statusError(ans)
}

// write carries out a call that changes an object.
func (c *Client) write(ctx context.Context, cl call, out any) error {
	cl.path = objectPath(cl.kind, cl.name)
	cl.limit = maxObjectBytes
	ans, connected, err := c.do(ctx, cl)
	switch {
	case err != nil && !connected:
		err = &NotAppliedError{Step: cl.step(), Peer: c.base, Err: err}
	case err != nil:
		err = &UnsureError{Step: cl.step(), Peer: c.base, Err: err}
	default:
		err = c.writeResult(cl, ans, out)
	}
	c.count(cl.op, err)
	return err
}

func (c *Client) writeResult(cl call, ans answer, out any) error {
	switch {
	case ans.status == http.StatusOK:
		if err := json.Unmarshal(ans.body, out); err != nil {
			return &UnsureError{Step: cl.step(), Peer: c.base, Err: errors.Wrap(err, "bad answer")}
		}
		return nil
	case ans.status == http.StatusPreconditionFailed:
		return c.conflict(cl, ans)
	case ans.status == http.StatusNotFound && cl.method == http.MethodDelete:
		return ErrNotFound
	case ans.applied == "no" || refusedBeforeWrite(ans.status):
		return &NotAppliedError{
			Step: cl.step(), Peer: c.base, Status: ans.status,
			RetryAfter: ans.retryAfter, Err: statusError(ans),
		}
	}
	return &UnsureError{Step: cl.step(), Peer: c.base, Err: statusError(ans)}
}

// refusedBeforeWrite tells the statuses by which the service refuses a write
// that it looked at.
func refusedBeforeWrite(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

func (c *Client) conflict(cl call, ans answer) error {
	var body struct {
		Current *Object `json:"current"`
	}
	if err := json.Unmarshal(ans.body, &body); err != nil {
		return &NotAppliedError{Step: cl.step(), Peer: c.base, Status: ans.status, Err: errors.Wrap(err, "bad answer")}
	}
	return &ConflictError{Current: body.Current}
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
func (c *Client) count(op string, err error) {
	tags := map[string]string{"call": op, "result": resultOf(err)}
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
