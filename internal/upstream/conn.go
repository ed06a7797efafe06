package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 8 << 10
	// inlineBody is the largest body that is written before the answer is read;
	// a target may answer while a larger one is still under way.
	inlineBody = 4 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 5
)

// ErrGarbage says that a target sent bytes that are no answer.
var ErrGarbage = errors.New("the target's bytes are no answer")

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the path with its query as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to a target. It carries one request at a time.
type Conn struct {
	raw      net.Conn
	endpoint Endpoint
	reader   *bufio.Reader

	keepAlive time.Duration
	reusable  time.Time
	broken    bool
	// wrote is set once a byte may have left, written once the whole request has.
	wrote   atomic.Bool
	written chan error
}

func newConn(raw net.Conn, e Endpoint) *Conn {
	return &Conn{raw: raw, endpoint: e, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// Close breaks the connection.
func (c *Conn) Close() {
	c.broken = true
	_ = c.raw.Close()
}

// Break closes the connection from another goroutine than the one that uses it.
func (c *Conn) Break() { _ = c.raw.Close() }

// Sent tells whether a byte of the last request may have left.
func (c *Conn) Sent() bool { return c.wrote.Load() }

// SetReadDeadline bounds the reads to come.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.raw.SetReadDeadline(t) }

// Send writes a request. Of one with a large body the rest may still be under
// way when Send returns.
func (c *Conn) Send(r *Request) error {
	c.wrote.Store(false)
	c.written = nil
	head := encodeHead(r)
	if err := c.raw.SetWriteDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "prepare the connection")
	}
	c.wrote.Store(true)
	if len(r.Body) <= inlineBody {
		n, err := c.raw.Write(append(head, r.Body...))
		c.wrote.Store(n > 0 || err == nil)
		return errors.Wrap(err, "write the request")
	}
	done := make(chan error, 1)
	c.written = done
	go func() {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.raw)
		done <- err
	}()
	return nil
}

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

// Receive reads the head of the answer. Its body must be read in full before
// Finish.
func (c *Conn) Receive(method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			c.broken = true
			if isConnError(err) {
				return nil, errors.Wrap(err, "read the answer")
			}
			return nil, errors.Mark(errors.Wrap(err, "read the answer"), ErrGarbage)
		}
		if resp.StatusCode >= http.StatusOK {
			c.note(resp)
			return resp, nil
		}
	}
	c.broken = true
	return nil, errors.Mark(errors.New("too many interim answers"), ErrGarbage)
}

func isConnError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed)
}

func (c *Conn) note(resp *http.Response) {
	// An answer without a length ends with its connection.
	if resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		c.broken = true
	}
	c.keepAlive = keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	if c.keepAlive == 0 && resp.Header.Get("Keep-Alive") != "" {
		c.broken = true
	}
}

// Finish gives the connection back after the answer was read in full. Where the
// request's body is still being written the connection is closed.
func (p *Pool) Finish(c *Conn) {
	if c.written != nil {
		select {
		case err := <-c.written:
			c.broken = c.broken || err != nil
		default:
			c.broken = true
		}
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		c.broken = true
	}
	p.Put(c)
}
