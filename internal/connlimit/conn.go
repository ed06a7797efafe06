package connlimit

import (
	"net"
	"sync"
	"time"
)

// Conn is a caller's connection. It counts the bytes of the request that arrives on
// it, which net/http reports only once it has read the whole head.
type Conn struct {
	*net.TCPConn

	mu sync.Mutex
	// waitingSince is when the connection was opened or its last response ended.
	waitingSince time.Time
	// received counts the bytes read since waitingSince.
	received int
}

// listener makes a Conn of each connection that it accepts.
type listener struct{ *net.TCPListener }

// Listen returns a listener whose connections a Limiter can track.
func Listen(l *net.TCPListener) net.Listener { return listener{l} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: c, waitingSince: time.Now()}, nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.received += n
		c.mu.Unlock()
	}
	return n, err
}

// markWaiting records that the connection waits for its next request.
func (c *Conn) markWaiting(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince, c.received = now, 0
}

// progress returns since when the connection waits for a request and the number of
// bytes received of it.
func (c *Conn) progress() (since time.Time, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince, c.received
}
