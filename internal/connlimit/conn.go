package connlimit

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/sock"
)

// phase is what a connection is used for.
type phase int

const (
	// waiting means that no byte of the next request has been read.
	waiting phase = iota
	// receiving means that a part of a request's head has been read.
	receiving
	// serving means that a request's head has been read, and its response has not ended.
	serving
)

// Conn is a caller's connection. A connection that waits for a request is closed only by
// the goroutine that reads from it, so that no byte can be read in between: close requests
// make the pending Read fail, unless bytes have arrived by then.
type Conn struct {
	*net.TCPConn
	limiter *Limiter
	writer  sock.Writer
	// unread holds bytes that were read for the screen, and that Read has yet to return.
	unread []byte
	// screened is set if the limiter's screen has passed the current request.
	screened atomic.Bool
	// secure is the TLS on the connection, nil for none, and handshaken is set once its
	// handshake is complete.
	secure     *tls.Conn
	handshaken atomic.Bool

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// fullRead is the size of the buffer of the first read, which net/http reads into while it
	// holds no byte of a request.
	fullRead int
	// closed is set once a read has ended the connection.
	closed bool
	// closing is the reason for which the connection is being closed, empty for none.
	closing Reason
	// readDeadline is the deadline that net/http has set.
	readDeadline time.Time
}

// pastTime is a deadline that makes a Read fail at once.
var pastTime = time.Unix(1, 0)

// requestTimeout is the response to a request whose head takes too long.
const requestTimeout = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.read(p, c.readPlain) }

func (c *Conn) readPlain(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.limiter.linkMeter.Received(n)
	}
	return n, err
}

// read reads bytes of requests with readBytes.
func (c *Conn) read(p []byte, readBytes func([]byte) (int, error)) (int, error) {
	c.noteRead(len(p))
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		c.recordRead()
		return n, nil
	}
	for {
		isScreening := c.isScreening(len(p))
		n, err := readBytes(p)
		if n > 0 {
			c.recordRead()
			if !isScreening {
				return n, err
			}
			refused, refuseErr := c.screen(p, n)
			if !refused {
				return n, err
			}
			if refuseErr != nil {
				return 0, refuseErr
			}
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.readAgain() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.writer.Write(p)
	c.limiter.linkMeter.Sent(n)
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.writer.SetDeadline(t) }

// WatchWrites watches the writes from now on, nil for none.
func (c *Conn) WatchWrites(w *sock.WriteWatch) { c.writer.Watch(w) }

// AbortWrites ends a write that is blocked, and all later ones.
func (c *Conn) AbortWrites() { c.writer.AbortWrites() }

// noteRead detects that net/http holds a part of the next request, which it has read
// together with the one before: it then reads into the rest of its buffer only.
func (c *Conn) noteRead(bufferSize int) {
	c.mu.Lock()
	revoked := false
	switch {
	case c.fullRead == 0:
		c.fullRead = bufferSize
	case bufferSize < c.fullRead:
		revoked = c.startReceiving()
	}
	c.mu.Unlock()
	if revoked {
		c.limiter.keep()
	}
}

// recordRead records that bytes were read.
func (c *Conn) recordRead() {
	c.mu.Lock()
	revoked := c.startReceiving()
	c.mu.Unlock()
	if revoked {
		c.limiter.keep()
	}
}

// startReceiving records that a part of a request has arrived if the connection waits for
// one, and reports whether that revoked a request to close it. c.mu must be held.
func (c *Conn) startReceiving() (revoked bool) {
	if c.phase != waiting {
		return false
	}
	c.phase, c.since = receiving, time.Now()
	return c.revokeClose()
}

// revokeClose revokes a request to close the connection and reports whether there was
// one. c.mu must be held.
func (c *Conn) revokeClose() bool {
	if c.closing == "" {
		return false
	}
	c.closing = ""
	_ = c.applyDeadline()
	return true
}

// readAgain decides what follows a read whose deadline has passed: either it is repeated,
// or its error ends the connection.
func (c *Conn) readAgain() bool {
	c.mu.Lock()
	reason := c.closing
	again, ended := false, false
	switch {
	case c.closed:
	case reason == "":
		again = c.readDeadline.IsZero() || time.Now().Before(c.readDeadline)
		_ = c.applyDeadline()
		if !again && c.phase == receiving {
			// The time that net/http gives a head has passed. It would not respond.
			reason = HeadTimeout
			c.closed, ended = true, true
		}
	case c.phase == waiting && c.hasUnread():
		again = c.revokeClose()
	default:
		c.closed, ended = true, true
	}
	event := Close{Reason: reason, Idle: time.Since(c.since), WithinHead: c.phase == receiving}
	c.mu.Unlock()
	switch {
	case ended:
		if event.WithinHead {
			_, _ = io.WriteString(c.appWriter(), requestTimeout)
		}
		c.limiter.onClose(event)
	case again && reason != "":
		c.limiter.keep()
	}
	return again
}

// hasUnread reports whether bytes have arrived that Read has not returned.
func (c *Conn) hasUnread() bool {
	if len(c.unread) > 0 {
		return true
	}
	n, err := sock.Peek(c.TCPConn)
	return err == nil && n > 0
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyDeadline()
}

// applyDeadline sets the deadline of reads. c.mu must be held.
func (c *Conn) applyDeadline() error {
	if c.closing != "" {
		return c.TCPConn.SetReadDeadline(pastTime)
	}
	return c.TCPConn.SetReadDeadline(c.readDeadline)
}

// setWaiting records that a response has ended.
func (c *Conn) setWaiting(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = waiting, now
}

// endHandshake ends the connection, whose handshake did not complete in time or was ended by a
// request to close it.
func (c *Conn) endHandshake() {
	c.mu.Lock()
	reason := c.closing
	c.closed = true
	event := Close{Reason: reason, Idle: time.Since(c.since)}
	c.mu.Unlock()
	if reason != "" {
		c.limiter.onClose(event)
	}
}

// appWriter returns the writer of responses.
func (c *Conn) appWriter() io.Writer {
	if c.secure != nil {
		return c.secure
	}
	return c.TCPConn
}

// setServing records that a request's head has been read, and reports whether that
// revoked a request to close the connection.
func (c *Conn) setServing(now time.Time) (revoked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = serving, now
	return c.revokeClose()
}

// closeIf requests that the connection be closed if it is in the given phase since before
// the given time, and reports whether it is. The reading goroutine may still keep it.
func (c *Conn) closeIf(p phase, before time.Time, reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing != "" || c.phase != p || c.since.After(before) {
		return false
	}
	c.closing = reason
	_ = c.applyDeadline()
	return true
}

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing != ""
}
