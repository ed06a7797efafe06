package connlimit

import (
	"io"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/linkload"
)

// screenWriteTimeout is the time within which a caller must accept the response of a Screen.
const screenWriteTimeout = time.Second

// Screen refuses requests before net/http parses them, at a fraction of the processor time.
type Screen interface {
	// Enabled reports whether requests are screened at present.
	Enabled() bool
	// Screen examines what has arrived of a request. It returns a complete response that
	// refuses the request if that has arrived whole, and nil otherwise. After a response with
	// closes set the connection is closed.
	Screen(request []byte) (response []byte, closes bool)
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

// refuse sends the screen's response, if it refuses the request, and reports whether it did.
// It returns an error if the connection ends.
func (c *Conn) refuse(request []byte) (refused bool, err error) {
	response, closes := c.limiter.screen.Screen(request)
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
