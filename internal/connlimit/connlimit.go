// Package connlimit bounds the open connections of an HTTP server, so that it
// always has file descriptors left to accept one more connection and respond on it.
//
// It handles the load of callers that open a connection for each attempt and leave
// it open: a refused caller retries on another connection, and the idle ones would
// exhaust the file descriptors of the process.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// softLimitRatio is the fraction of the limit above which responses ask callers to
// close their connections. It is half, so that this takes effect well before the
// limit is reached.
const softLimitRatio = 0.5

// Limiter tracks a server's connections. It is safe for concurrent use.
type Limiter struct {
	// maxConns is the limit, 0 for none.
	maxConns int

	mu sync.Mutex
	// conns holds all open connections. The value is the connection's element in
	// idle, or nil while a request is being read or served.
	conns map[net.Conn]*list.Element
	// idle holds idleConn values, the one that has been idle longest first.
	idle *list.List
	// onClose is called for each connection that the limiter closes.
	onClose func(Close)
}

// Reason is why the limiter closed a connection.
type Reason string

// The reasons to close a connection.
const (
	// Idle means that no request came within the idle timeout.
	Idle Reason = "idle"
	// Limit means that a new connection exceeded the limit.
	Limit Reason = "limit"
)

// Reasons lists all reasons.
var Reasons = []Reason{Idle, Limit}

// Close describes a connection that the limiter closed.
type Close struct {
	Reason Reason
	// Idle is how long the connection had waited for a request, and ReceivedBytes the
	// number of bytes that had been read of one.
	Idle          time.Duration
	ReceivedBytes int
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// New returns a Limiter for at most maxConns connections, 0 for no limit. It calls
// onClose, which must not block, for each connection that it closes.
func New(maxConns int, onClose func(Close)) *Limiter {
	return &Limiter{maxConns: maxConns, conns: make(map[net.Conn]*list.Element), idle: list.New(), onClose: onClose}
}

// Track records a connection's state; it serves as an http.Server's ConnState. If a
// new connection exceeds the limit, Track closes the one that has been idle longest.
func (l *Limiter) Track(c net.Conn, state http.ConnState) {
	if evicted := l.updateState(c, state); evicted != nil {
		l.closeIdle(evicted, Limit)
	}
}

// updateState records a connection's state and returns the connection to close, if
// any.
func (l *Limiter) updateState(c net.Conn, state http.ConnState) (evicted net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.conns[c]; e != nil {
		l.idle.Remove(e)
	}
	switch state {
	case http.StateNew:
		l.conns[c] = nil
		if l.maxConns > 0 && len(l.conns) > l.maxConns {
			return l.evictLongestIdle()
		}
	case http.StateActive:
		l.conns[c] = nil
	case http.StateIdle:
		if tracked, ok := c.(*Conn); ok {
			tracked.markWaiting(time.Now())
		}
		l.conns[c] = l.idle.PushBack(idleConn{conn: c, since: time.Now()})
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
	return nil
}

// evictLongestIdle removes and returns the connection that has been idle longest, or
// nil if none is idle.
func (l *Limiter) evictLongestIdle() net.Conn {
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	c := l.idle.Remove(front).(idleConn).conn //nolint:forcetypeassert // the list holds only idleConn values
	delete(l.conns, c)
	return c
}

// IsAboveSoftLimit reports whether responses should ask callers to close their
// connections.
func (l *Limiter) IsAboveSoftLimit() bool { return l.utilization() > softLimitRatio }

// IsAboveLimit reports whether requests should be refused until connections are
// closed.
func (l *Limiter) IsAboveLimit() bool { return l.utilization() > 1 }

// utilization returns the number of open connections as a fraction of the limit, 0
// if there is no limit.
func (l *Limiter) utilization() float64 {
	if l.maxConns <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) / float64(l.maxConns)
}

// CloseIdle closes the connections that have been idle for longer than maxIdleTime.
func (l *Limiter) CloseIdle(now time.Time, maxIdleTime time.Duration) {
	var expired []net.Conn
	l.mu.Lock()
	for front := l.idle.Front(); front != nil; front = l.idle.Front() {
		if now.Sub(front.Value.(idleConn).since) <= maxIdleTime { //nolint:forcetypeassert // see evictLongestIdle
			break
		}
		expired = append(expired, l.evictLongestIdle())
	}
	l.mu.Unlock()
	for _, c := range expired {
		l.closeIdle(c, Idle)
	}
}

// closeIdle closes an idle connection. The error is ignored because the connection
// carries no request.
func (l *Limiter) closeIdle(c net.Conn, reason Reason) {
	event := Close{Reason: reason}
	if tracked, ok := c.(*Conn); ok {
		since, received := tracked.progress()
		event.Idle, event.ReceivedBytes = time.Since(since), received
	}
	_ = c.Close()
	l.onClose(event)
}
