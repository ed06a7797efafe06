// Package connlimit bounds the open connections of an HTTP server, so that it
// always has descriptors left to take one more and answer it.
//
// It answers the load where callers open a connection for each attempt and leave
// it open: a refused caller comes back on another one, and those left open would
// use up the process's descriptors.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// crowdedShare is the part of the bound from which answers ask callers to close:
// half, so that it takes effect well before the bound is reached.
const crowdedShare = 0.5

// Limit follows a server's connections. It is safe for concurrent use.
type Limit struct {
	most int

	mu sync.Mutex
	// open holds all connections; the element is in idle, or nil while a request
	// is read or answered.
	open map[net.Conn]*list.Element
	// idle holds idleConn values, the longest idle one first.
	idle *list.List
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

// New returns a limit of so many connections, 0 for none.
func New(most int) *Limit {
	return &Limit{most: most, open: make(map[net.Conn]*list.Element), idle: list.New()}
}

// Track follows a connection; it is an http.Server's ConnState. Where a new one
// is beyond the bound, the one that has been idle for longest is closed.
func (l *Limit) Track(c net.Conn, state http.ConnState) {
	if surplus := l.track(c, state); surplus != nil {
		closeIdle(surplus)
	}
}

func (l *Limit) track(c net.Conn, state http.ConnState) (surplus net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.open[c]; e != nil {
		l.idle.Remove(e)
	}
	switch state {
	case http.StateNew:
		l.open[c] = nil
		if l.most > 0 && len(l.open) > l.most {
			return l.takeOldest()
		}
	case http.StateActive:
		l.open[c] = nil
	case http.StateIdle:
		l.open[c] = l.idle.PushBack(idleConn{conn: c, since: time.Now()})
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	}
	return nil
}

// takeOldest returns the connection that has been idle for longest and forgets it,
// nil where none is idle.
func (l *Limit) takeOldest() net.Conn {
	front := l.idle.Front()
	if front == nil {
		return nil
	}
	c := l.idle.Remove(front).(idleConn).conn //nolint:forcetypeassert // the list holds nothing else
	delete(l.open, c)
	return c
}

// Crowded tells whether answers should ask callers to close their connections.
func (l *Limit) Crowded() bool { return l.usage() > crowdedShare }

// Full tells whether requests should be refused until connections are closed.
func (l *Limit) Full() bool { return l.usage() > 1 }

// usage is the part of the bound that is in use.
func (l *Limit) usage() float64 {
	if l.most <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.open)) / float64(l.most)
}

// CloseIdle closes the connections that have been idle for longer than a time.
func (l *Limit) CloseIdle(now time.Time, longer time.Duration) {
	var expired []net.Conn
	l.mu.Lock()
	for front := l.idle.Front(); front != nil; front = l.idle.Front() {
		if now.Sub(front.Value.(idleConn).since) <= longer { //nolint:forcetypeassert // see takeOldest
			break
		}
		expired = append(expired, l.takeOldest())
	}
	l.mu.Unlock()
	for _, c := range expired {
		closeIdle(c)
	}
}

// closeIdle closes a connection that carries nothing: its error has no consequence.
func closeIdle(c net.Conn) { _ = c.Close() }
