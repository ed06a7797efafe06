package edge

import (
	"net"
	"time"

	"github.com/umberhill/umberhill/internal/sock"
)

// streamWriteTimeout is the time within which a caller must take a part of a stream. It is
// above the longest wait of sound callers (they leave after two seconds of silence), and
// bounds for how long a stream that nobody reads occupies its target.
const streamWriteTimeout = 5 * time.Second

// watchedConn is a caller's connection that tells a caller that reads slowly from one that
// does not read.
type watchedConn interface {
	WatchWrites(*sock.WriteWatch)
	AbortWrites()
}

// callerConn returns the caller's connection, nil if it can't be watched.
func (e *exchange) callerConn() watchedConn {
	if e.r == nil {
		return nil
	}
	conn, _ := e.r.Context().Value(connKey{}).(net.Conn)
	watched, _ := conn.(watchedConn)
	return watched
}

// watchWrites lets writes to the caller go on while the caller reads, and end if others need
// the memory of the response and it does not. end must be called before the request ends; it
// reports whether the transfer has yielded.
func (e *exchange) watchWrites(watch sock.WriteWatch) (end func() (yielded bool)) {
	conn := e.callerConn()
	if conn == nil {
		return func() bool { return false }
	}
	watch.OnProgress = e.responseHeld.markProgress
	conn.WatchWrites(&watch)
	endTransfer := e.responseHeld.startTransfer(conn.AbortWrites)
	return func() bool {
		yielded := endTransfer()
		conn.WatchWrites(nil)
		return yielded
	}
}
