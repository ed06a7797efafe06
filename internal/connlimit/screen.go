package connlimit

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/linkload"
	"github.com/umberhill/umberhill/internal/sock"
)

// screenWriteTimeout is the time within which a caller must accept the response of a Screen.
const screenWriteTimeout = time.Second

// Screen refuses requests before net/http parses them, at a fraction of the processor time.
type Screen interface {
	// Enabled reports whether requests are screened at present.
	Enabled() bool
	// Screen examines what has arrived of a request. It returns a complete response that
	// refuses the request if that has arrived whole, and nil otherwise. After a response with
	// closes set the connection is closed; if mustClose is set, all responses have it set.
	Screen(request []byte, mustClose bool) (response []byte, closes bool)
}

// SetScreen sets the screen for requests on connections without TLS. It must be called before
// the first connection is accepted.
func (l *Limiter) SetScreen(s Screen) { l.screen = s }

// SetLinkMeter sets the meter of what the connections send and receive. It must be called
// before the first connection is accepted.
func (l *Limiter) SetLinkMeter(m *linkload.Meter) { l.linkMeter = m }

// isScreening reports whether the next bytes read, into a buffer of the given size, are the
// start of a request and are to be screened.
func (c *Conn) isScreening(bufferSize int) bool {
	s := c.limiter.screen
	if s == nil || !s.Enabled() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == waiting && c.secure == nil && bufferSize == c.fullRead
}

// screenBufferBytes is the size of the largest request that is screened, with its head.
const screenBufferBytes = 68 << 10

// screenBuffers are the buffers of requests that fill the buffer of net/http.
var screenBuffers = sync.Pool{New: func() any { return new([screenBufferBytes]byte) }}

// screen refuses the request of which the first n bytes are in p, if the screen refuses it. If
// these fill p, it reads without waiting what else has arrived of the request.
func (c *Conn) screen(p []byte, n int) (refused bool, err error) {
	if n < len(p) || n >= screenBufferBytes {
		return c.refuse(p[:n])
	}
	buffer, _ := screenBuffers.Get().(*[screenBufferBytes]byte)
	defer screenBuffers.Put(buffer)
	copy(buffer[:], p[:n])
	more, err := sock.ReadArrived(c.TCPConn, buffer[n:])
	if err != nil {
		// The next read has the same error.
		more = 0
	}
	c.limiter.linkMeter.Received(more)
	refused, err = c.refuse(buffer[:n+more])
	if !refused {
		c.unread = bytes.Clone(buffer[n : n+more])
	}
	return refused, err
}

// refuseFirst refuses the first request of a connection that has just been accepted, if it has
// arrived and the screen refuses it, and closes the connection. It reports whether it did. It does so
// for the share of the connections that would be closed after the response anyway: under a flood of
// new connections this saves the goroutine and the buffers of net/http.
func (c *Conn) refuseFirst() bool {
	s := c.limiter.screen
	if s == nil || rand.Float64() >= c.limiter.CloseShare() || !s.Enabled() {
		return false
	}
	buffer, _ := screenBuffers.Get().(*[screenBufferBytes]byte)
	defer screenBuffers.Put(buffer)
	n, err := sock.ReadArrived(c.TCPConn, buffer[:])
	if err != nil || n == 0 {
		return false
	}
	c.limiter.linkMeter.Received(n)
	response, _ := s.Screen(buffer[:n], true)
	if response == nil {
		c.unread = bytes.Clone(buffer[:n])
		c.screened.Store(true)
		return false
	}
	_ = c.SetWriteDeadline(time.Now().Add(screenWriteTimeout))
	_, _ = c.Write(response)
	_ = c.Close()
	c.limiter.updateState(c, http.StateClosed)
	return true
}

// refuse sends the screen's response, if it refuses the request, and reports whether it did.
// It returns an error if the connection ends.
func (c *Conn) refuse(request []byte) (refused bool, err error) {
	response, closes := c.limiter.screen.Screen(request, false)
	if response == nil {
		c.screened.Store(true)
		return false, nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(screenWriteTimeout))
	_, err = c.Write(response)
	_ = c.SetWriteDeadline(time.Time{})
	if err == nil && closes {
		err = io.EOF
	}
	if err == nil {
		c.limiter.updateState(c, http.StateIdle)
	}
	return true, err
}

// TakeScreened reports whether a Screen has passed the request that was read last, and forgets
// it.
func (c *Conn) TakeScreened() bool { return c.screened.CompareAndSwap(true, false) }
