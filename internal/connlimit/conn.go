package connlimit

import (
	"io"
	"net"
	"os"
	"sync"
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

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// hasNextByte is set if net/http has read the first byte of the next request while
	// it serves the current one.
	hasNextByte bool
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
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.recordRead(len(p))
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if closed, again := c.handleDeadline(); !again {
			if closed {
				err = io.EOF
			}
			return 0, err
		}
	}
}

// recordRead records that bytes were read into a buffer of the given size. While
// net/http serves a request whose body has ended, it reads one byte ahead.
func (c *Conn) recordRead(bufferSize int) {
	c.mu.Lock()
	revoked := false
	switch {
	case c.phase == waiting:
		c.phase, c.since = receiving, time.Now()
		revoked = c.revokeClose()
	case c.phase == serving && bufferSize == 1:
		c.hasNextByte = true
	}
	c.mu.Unlock()
	if revoked {
		c.limiter.keep()
	}
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

// handleDeadline decides what follows a read whose deadline has passed: the connection is
// closed, the read is repeated, or, if both are false, its error is net/http's.
func (c *Conn) handleDeadline() (closed, again bool) {
	c.mu.Lock()
	reason := c.closing
	switch {
	case reason == "":
		again = c.readDeadline.IsZero() || time.Now().Before(c.readDeadline)
		_ = c.applyDeadline()
	case c.phase == waiting:
		if n, err := sock.Peek(c.TCPConn); n > 0 && err == nil {
			again = c.revokeClose()
		}
	}
	event := Close{Reason: reason, Idle: time.Since(c.since), WithinHead: c.phase == receiving}
	c.mu.Unlock()
	switch {
	case reason == "":
		return false, again
	case again:
		c.limiter.keep()
		return false, true
	}
	if event.WithinHead {
		_, _ = io.WriteString(c.TCPConn, requestTimeout)
	}
	c.limiter.onClose(event)
	return true, false
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
	if c.hasNextByte {
		c.phase, c.hasNextByte = receiving, false
	}
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
