// Package connlimit bounds the open connections of an HTTP server, so that it
// always has file descriptors left to accept one more connection and respond on it,
// and closes those that wait too long for a request.
//
// It handles the load of callers that open a connection for each attempt and leave
// it open: a refused caller retries on another connection, and the idle ones would
// exhaust the file descriptors of the process.
//
// Invariant: a connection on which a byte of a request has been read is closed only after
// a response, except by its caller or at the end of the process.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/linkload"
	"github.com/umberhill/umberhill/internal/sock"
)

// softLimitRatio is the fraction of the limit above which some responses ask callers to
// close their connections. It is half, so that this takes effect well before the
// limit is reached.
const softLimitRatio = 0.5

// Limiter tracks a server's connections. It is safe for concurrent use.
type Limiter struct {
	// maxConns is the limit, 0 for none.
	maxConns int
	// onClose is called for each connection that the limiter closes.
	onClose func(Close)
	// screen may refuse requests before net/http parses them, nil for none.
	screen Screen
	// linkMeter measures what the connections send and receive, nil for none.
	linkMeter *linkload.Meter

	mu sync.Mutex
	// conns holds all open connections. The value is the connection's element in idle,
	// or nil from the end of a request's head to the end of its response.
	conns map[*Conn]*list.Element
	// idle holds the connections that have served a request, the one whose last response
	// ended first comes first.
	idle *list.List
	// accepted counts the connections accepted so far.
	accepted int
	// closing counts the open connections that are being closed.
	closing int
	// drained is closed when the last connection is closed, nil unless draining.
	drained chan struct{}
}

// Reason is why the limiter closed a connection.
type Reason string

// The reasons to close a connection.
const (
	// Idle means that no request came within the idle timeout.
	Idle Reason = "idle"
	// Limit means that a new connection exceeded the limit.
	Limit Reason = "limit"
	// Drain means that the server is stopping.
	Drain Reason = "drain"
	// HeadTimeout means that the head of a request took too long; the caller gets 408.
	HeadTimeout Reason = "head_timeout"
)

// Reasons lists all reasons.
var Reasons = []Reason{Idle, Limit, Drain, HeadTimeout}

// Close describes a connection that the limiter closed.
type Close struct {
	Reason Reason
	// Idle is how long the connection had waited for a request or for the rest of its
	// head.
	Idle time.Duration
	// WithinHead is set if a part of a head had been read.
	WithinHead bool
}

// Timeouts bound how long a connection may stay without a complete head.
type Timeouts struct {
	// Idle bounds the wait for a request, Head the time from its first byte to the end of
	// its head, and the wait for the first request of a connection.
	Idle, Head time.Duration
	// ChangedAt is when the timeouts came into force. Earlier time does not count, since
	// callers went by other timeouts.
	ChangedAt time.Time
}

// New returns a Limiter for at most maxConns connections, 0 for no limit. It calls
// onClose, which must not block, for each connection that it closes.
func New(maxConns int, onClose func(Close)) *Limiter {
	return &Limiter{maxConns: maxConns, conns: make(map[*Conn]*list.Element), idle: list.New(), onClose: onClose}
}

// listener makes a Conn of each connection that it accepts.
type listener struct {
	*net.TCPListener
	limiter *Limiter
}

// Listen returns a listener whose connections the limiter tracks. The server that accepts
// from it must report their states to Track.
func (l *Limiter) Listen(tcp *net.TCPListener) net.Listener { return listener{tcp, l} }

// Accept implements net.Listener. It leaves out the connections whose first request the screen has
// refused.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil {
			return nil, err
		}
		if !conn.refuseFirst() {
			return conn, nil
		}
	}
}

func (l listener) accept() (*Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	conn := l.limiter.newConn(c)
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	l.limiter.conns[conn] = nil
	l.limiter.accepted++
	return conn, nil
}

func (l *Limiter) newConn(c *net.TCPConn) *Conn {
	return &Conn{TCPConn: c, limiter: l, since: time.Now(), writer: sock.Writer{Conn: c}}
}

// Track records the state of a connection that was accepted from Listen or ListenTLS; it serves
// as an http.Server's ConnState. If a new connection exceeds the limit, Track closes the one that
// has been idle longest.
func (l *Limiter) Track(c net.Conn, state http.ConnState) {
	if conn := trackedConn(c); conn != nil {
		l.updateState(conn, state)
	}
}

// updateState records a connection's state and returns the connection that is closed for
// it, if any.
func (l *Limiter) updateState(c *Conn, state http.ConnState) (evicted *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.conns[c]; e != nil {
		l.idle.Remove(e)
	}
	switch state {
	case http.StateNew:
		l.conns[c] = nil
		if l.drained != nil {
			l.closeIf(c, waiting, time.Now(), Drain)
		}
		if l.maxConns > 0 && l.open() > l.maxConns {
			return l.evictLongestIdle()
		}
	case http.StateActive:
		l.conns[c] = nil
		if c.setServing(time.Now()) {
			l.closing--
		}
	case http.StateIdle:
		now := time.Now()
		c.setWaiting(now)
		l.conns[c] = l.idle.PushBack(c)
		if l.drained != nil {
			l.closeIf(c, waiting, now, Drain)
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
		if c.isClosing() {
			l.closing--
		}
		l.signalDrained()
	}
	return nil
}

// closeIf is Conn.closeIf with l.mu held.
func (l *Limiter) closeIf(c *Conn, p phase, before time.Time, reason Reason) bool {
	if !c.closeIf(p, before, reason) {
		return false
	}
	l.closing++
	return true
}

// keep records that a connection is kept, since bytes arrived before it was closed.
func (l *Limiter) keep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing--
}

// evictLongestIdle closes and returns the connection that has been idle longest, or nil
// if none is idle.
func (l *Limiter) evictLongestIdle() *Conn {
	now := time.Now()
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn) //nolint:forcetypeassert // the list holds only *Conn values
		if l.closeIf(c, waiting, now, Limit) {
			return c
		}
	}
	return nil
}

// open returns the number of connections that are not being closed. l.mu must be held.
func (l *Limiter) open() int { return len(l.conns) - l.closing }

// Counts returns the number of connections accepted so far, and of those that are open and
// not being closed.
func (l *Limiter) Counts() (accepted, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted, l.open()
}

// CloseShare returns the share of the responses that should ask callers to close their
// connections: none up to the soft limit, all at the limit. A caller that is asked connects anew
// for its next request, which costs more than a refusal.
func (l *Limiter) CloseShare() float64 {
	return min(max(0, (l.utilization()-softLimitRatio)/(1-softLimitRatio)), 1)
}

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
	return float64(l.open()) / float64(l.maxConns)
}

// CloseExpired closes the connections that have been without a complete head for longer
// than their timeout. A timeout of 0 sets no limit.
func (l *Limiter) CloseExpired(now time.Time, t Timeouts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, idle := range l.conns {
		waitLimit := t.Idle
		if idle == nil {
			waitLimit = t.Head
		}
		if expiry := now.Add(-waitLimit); waitLimit > 0 && !t.ChangedAt.After(expiry) {
			l.closeIf(c, waiting, expiry, Idle)
		}
		if expiry := now.Add(-t.Head); t.Head > 0 && !t.ChangedAt.After(expiry) {
			l.closeIf(c, receiving, expiry, HeadTimeout)
		}
	}
}

// Drain closes the connections that wait for a request, now and from now on, and returns a
// channel that is closed when no connection is open. The server must accept no more.
func (l *Limiter) Drain() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained != nil {
		return l.drained
	}
	l.drained = make(chan struct{})
	now := time.Now()
	for c := range l.conns {
		l.closeIf(c, waiting, now, Drain)
	}
	l.signalDrained()
	return l.drained
}

// signalDrained closes drained if no connection is open. l.mu must be held.
func (l *Limiter) signalDrained() {
	if l.drained == nil || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}
