package upstream

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/umberhill/umberhill/internal/linkload"
	"github.com/umberhill/umberhill/internal/sock"
)

const (
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 8 << 10
	// MaxInlineBodyBytes is the largest request body that is written before the
	// response is read. A larger one is written in the background, because a target
	// may respond before it has received the whole body.
	MaxInlineBodyBytes = 4 << 10
	// maxUnwatchedBytes is the largest body that is not watched once it is written. Smaller ones
	// hold little memory and are not worth a timer.
	maxUnwatchedBytes = 64 << 10
	// firstWriteBytes is the part of a larger body that is copied behind the head.
	firstWriteBytes = 16 << 10
	// sendStallTimeout is the time within which a target must take a part of a body that is
	// written in the background. The kernel's bound of unacknowledged bytes is as long, but
	// depends on its version, and a window that opens now and then renews it.
	sendStallTimeout = 2 * time.Second
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 5
)

// ErrMalformedResponse marks errors for bytes from a target that are not a valid
// response.
var ErrMalformedResponse = errors.New("target sent a malformed response")

// Request is an HTTP request to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// OnProgress and OnTaken are called from the background while a body is sent there, if they
	// are not nil: when the target takes a part of it, and once when it has taken all, or the
	// sending has ended otherwise. They must not block.
	OnProgress, OnTaken func()
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	netConn  net.Conn
	endpoint Endpoint
	meter    *linkload.Meter
	reader   *bufio.Reader
	// head bounds the heads of responses. reader reads from it.
	head headLimiter
	// limits bound the reads of the current response; lastReadAt is when a read last
	// returned bytes, or when the request was sent.
	limits     ReadLimits
	lastReadAt time.Time
	// progressAt is when MarkProgress was last called.
	progressAt time.Time
	// readErr is the error of the read that ended the response, and writeErr that of the write of
	// a request in the foreground, nil for none.
	readErr, writeErr error

	// keepAlive is the idle timeout that the target stated, 0 if it stated none.
	keepAlive time.Duration
	// reusableUntil is the time until which an idle connection may be reused.
	reusableUntil time.Time
	// mustClose is set if the connection must not carry another request.
	mustClose bool
	// sent is the number of requests sent.
	sent int
	// bytesSent is set once a byte of the request may have been sent.
	bytesSent atomic.Bool
	// requests counts the requests written in the background, and responding is set once a
	// byte of the last one's response has been read.
	requests   atomic.Uint64
	responding atomic.Bool
	// writeDone receives the result of writing the request in the background. It is
	// nil if the request was written in the foreground.
	writeDone chan error
}

// ReadLimits bound the reads of a response.
type ReadLimits struct {
	// Deadline is when reads fail. The zero time sets no limit.
	Deadline time.Time
	// Silence is the time without progress after which OnSilence is called, 0 for none. If
	// it returns false, the read fails with os.ErrDeadlineExceeded.
	Silence   time.Duration
	OnSilence func() (wait bool)
	// OnlyMarked is set if only calls of MarkProgress are progress, and not each byte.
	OnlyMarked bool
}

func newConn(netConn net.Conn, e Endpoint, meter *linkload.Meter) *Conn {
	c := &Conn{netConn: netConn, endpoint: e, meter: meter}
	c.head.Reader = source{c}
	c.reader = bufio.NewReaderSize(&c.head, readBufferBytes)
	return c
}

// source reads from a connection within its ReadLimits.
type source struct{ *Conn }

// Read implements io.Reader. An error is final, since bufio.Reader.ReadLine returns the part of a
// line before an error as a whole line and relies on the next read to fail again.
func (s source) Read(p []byte) (int, error) {
	if s.readErr != nil {
		return 0, s.readErr
	}
	n, err := s.readWithinLimits(p)
	s.readErr = err
	return n, err
}

func (s source) readWithinLimits(p []byte) (int, error) {
	for {
		since := time.Now()
		if s.limits.OnlyMarked {
			since = s.progressAt
		}
		silentAt := since.Add(s.limits.Silence)
		if s.limits.Silence <= 0 || !s.limits.Deadline.IsZero() && !silentAt.Before(s.limits.Deadline) {
			return s.readUntil(p, s.limits.Deadline)
		}
		n, err := s.readUntil(p, silentAt)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		// The read fails although bytes or the end have arrived if this process was suspended.
		switch _, err := sock.Peek(s.netConn); {
		case err == nil:
			return s.readUntil(p, s.limits.Deadline)
		case !errors.Is(err, unix.EAGAIN):
			// The kernel reports a reset once. The next read would find an end without one.
			return 0, errors.Wrap(err, "look at the connection")
		}
		if !s.limits.OnSilence() {
			return n, err
		}
		s.MarkProgress()
	}
}

func (s source) readUntil(p []byte, deadline time.Time) (int, error) {
	if err := s.netConn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := s.netConn.Read(p)
	if n > 0 {
		s.meter.Received(n)
		s.lastReadAt = time.Now()
		s.responding.Store(true)
	}
	return n, err
}

// Close closes the connection, so that it is not reused.
func (c *Conn) Close() {
	c.mustClose = true
	_ = c.netConn.Close()
}

// Abort closes the connection. Unlike Close it may be called from a goroutine other
// than the one that uses the connection.
func (c *Conn) Abort() { _ = c.netConn.Close() }

// HasSentBytes reports whether a byte of the last request may have been sent.
func (c *Conn) HasSentBytes() bool { return c.bytesSent.Load() }

// IsReused reports whether the connection has carried requests before the last one, whose
// responses may still arrive.
func (c *Conn) IsReused() bool { return c.sent > 1 }

// HasEnded reports whether the connection has ended, but not by Close or Abort, or a deadline.
func (c *Conn) HasEnded() bool {
	isEnd := func(err error) bool {
		return err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
	}
	return isEnd(c.readErr) || isEnd(c.writeErr)
}

// EndsWithConn reports whether a response has a body without another end than that of its
// connection.
func EndsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// DisableReuse makes the connection end with the current response.
func (c *Conn) DisableReuse() { c.mustClose = true }

// SetReadLimits sets the limits for future reads. A silence begins anew.
func (c *Conn) SetReadLimits(l ReadLimits) {
	c.limits = l
	c.MarkProgress()
}

// MarkProgress records that the response has made progress, which ends a silence.
func (c *Conn) MarkProgress() { c.progressAt = time.Now() }

// AwaitResponse waits for the first byte of a response until the deadline. It reads no more
// of it. The response may still be received after os.ErrDeadlineExceeded.
func (c *Conn) AwaitResponse(deadline time.Time) error {
	c.limits = ReadLimits{Deadline: deadline}
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = nil
	}
	return err
}

// LastReadAt returns when a byte of the response was last read, or when the request was
// sent.
func (c *Conn) LastReadAt() time.Time { return c.lastReadAt }

// Send writes a request. A request with a body larger than MaxInlineBodyBytes may
// still be in transmission when Send returns.
func (c *Conn) Send(r *Request) error {
	c.sent++
	c.bytesSent.Store(false)
	c.writeDone = nil
	c.lastReadAt = time.Now()
	head := encodeHead(r)
	if err := c.netConn.SetWriteDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear the write deadline")
	}
	c.bytesSent.Store(true)
	if len(r.Body) <= MaxInlineBodyBytes {
		n, err := c.netConn.Write(append(head, r.Body...))
		c.meter.Sent(n)
		c.bytesSent.Store(n > 0 || err == nil)
		c.writeErr = err
		return errors.Wrap(err, "write the request")
	}
	done := make(chan error, 1)
	c.writeDone = done
	// In this order, and read in the other one by isAwaited.
	request := c.requests.Add(1)
	c.responding.Store(false)
	go func() {
		err := c.writeInBackground(head, r)
		done <- err
		if err == nil && len(r.Body) > maxUnwatchedBytes {
			c.awaitTaken(r, request)
		}
		if r.OnTaken != nil {
			r.OnTaken()
		}
	}()
	return nil
}

// awaitTaken waits until the target has taken a request that is written, since the kernel's
// buffer takes some MiB of it while the target reads nothing. It ends when the response begins.
func (c *Conn) awaitTaken(r *Request, request uint64) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return
	}
	left, progressAt := math.MaxInt, time.Now()
	ticker := time.NewTicker(sock.ProgressInterval)
	defer ticker.Stop()
	for ; c.isAwaited(request); <-ticker.C {
		n, err := sock.Unsent(tcp)
		if err != nil || n == 0 {
			return
		}
		switch {
		case n <= left-sock.MinProgressBytes:
			left, progressAt = n, time.Now()
			if r.OnProgress != nil {
				r.OnProgress()
			}
		case time.Since(progressAt) > sendStallTimeout:
			if c.isAwaited(request) {
				c.Abort()
			}
			return
		}
	}
}

// isAwaited reports whether a request written in the background is the last one and its
// response has not begun.
func (c *Conn) isAwaited(request uint64) bool {
	return !c.responding.Load() && c.requests.Load() == request
}

// writeInBackground writes a request. If the target takes nothing of it for sendStallTimeout
// and has not begun its response, it aborts the connection, which ends the wait for one.
func (c *Conn) writeInBackground(head []byte, r *Request) error {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		buffers := net.Buffers{head, r.Body}
		n, err := buffers.WriteTo(c.netConn)
		c.meter.Sent(int(n))
		return err
	}
	w := sock.Writer{Conn: tcp}
	w.Watch(&sock.WriteWatch{Renewal: sendStallTimeout, OnProgress: r.OnProgress})
	// The head goes out with the start of the body, in one segment if they are short.
	first := min(len(r.Body), firstWriteBytes)
	for _, part := range [][]byte{append(head, r.Body[:first]...), r.Body[first:]} {
		if len(part) == 0 {
			continue
		}
		if err := w.SetDeadline(time.Now().Add(sendStallTimeout)); err != nil {
			return err
		}
		n, err := w.Write(part)
		c.meter.Sent(n)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.responding.Load() {
				c.Abort()
			}
			return err
		}
	}
	w.Watch(nil)
	return tcp.SetWriteDeadline(time.Time{})
}

// encodeHead returns the request line and the header.
func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.URI))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Receive reads the status and header of the final response to a request with the
// given method. The body must be read in full before Pool.Release. An error, also one of
// the body, is marked with ErrMalformedResponse unless the connection failed. A head
// beyond maxHeadBytes or maxHeadFields is malformed.
func (c *Conn) Receive(method string) (*http.Response, error) {
	c.head.arm(c.reader)
	defer c.head.disarm()
	resp, err := c.receiveFinal(method)
	if err != nil {
		c.mustClose = true
		err = errors.Wrap(err, "read response header")
		if !isConnError(err) {
			err = errors.Mark(err, ErrMalformedResponse)
		}
		return nil, err
	}
	c.setReusability(resp)
	if resp.Body != http.NoBody {
		if EndsWithConn(resp) {
			resp.Body = unframedBody{resp.Body, c}
		}
		resp.Body = markedBody{resp.Body}
	}
	return resp, nil
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if resetErr := b.conn.resetError(); resetErr != nil {
			return n, resetErr
		}
	}
	return n, err
}

// resetError returns the error of a reset that ended the connection and was reported to the
// write of the request's body: the kernel reports a reset once, and a read then finds an end
// without one. A reset after a proper end is another error.
func (c *Conn) resetError() error {
	tcp, ok := c.netConn.(*net.TCPConn)
	if c.writeDone == nil || !ok || !sock.IsClosed(tcp) {
		return nil
	}
	// A write to a connection that was reset ends at once.
	err := <-c.writeDone
	c.writeDone <- err
	if errors.Is(err, unix.ECONNRESET) {
		return err
	}
	return nil
}

// receiveFinal reads responses up to the final one.
func (c *Conn) receiveFinal(method string) (*http.Response, error) {
	fields := 0
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if fields += countFields(resp.Header); fields > maxHeadFields {
			return nil, errors.Newf("response head exceeds the limit of %d fields (%d fields read)", maxHeadFields, fields)
		}
		if err := CheckStatus(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.Newf("no final response after %d responses with a status below 200", maxInterimResponses)
}

// isConnError reports whether an error arose at the connection rather than in the
// content of a response.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed)
}

// setReusability records from a response whether and for how long the connection
// can be reused.
func (c *Conn) setReusability(resp *http.Response) {
	// A response without a length ends when its connection is closed.
	if resp.Close || EndsWithConn(resp) {
		c.mustClose = true
	}
	c.keepAlive = parseKeepAliveTimeout(resp.Header.Get("Keep-Alive"))
	if c.keepAlive == 0 && resp.Header.Get("Keep-Alive") != "" {
		c.mustClose = true
	}
}

// Release returns a connection to the pool after its response was read in full. It
// closes the connection if the request body is still being written.
func (p *Pool) Release(c *Conn) {
	if c.writeDone != nil {
		select {
		case err := <-c.writeDone:
			c.mustClose = c.mustClose || err != nil
		default:
			c.mustClose = true
		}
	}
	c.limits = ReadLimits{}
	p.Put(c)
}
