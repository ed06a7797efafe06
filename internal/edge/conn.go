package edge

import (
	"context"
	"net"

	"github.com/umberhill/umberhill/internal/sock"
	"github.com/umberhill/umberhill/internal/upstream"
)

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// WithConn returns a context that carries a caller's connection. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hasCallerDisconnected reports whether the caller has closed its connection.
// net/http detects this only after its reader goroutine has run. That is late on a
// busy router, and on a router whose process was suspended while the request waited
// in the kernel.
func (e *exchange) hasCallerDisconnected() bool {
	conn, ok := e.r.Context().Value(connKey{}).(net.Conn)
	return ok && upstream.IsClosedByRemote(conn)
}

// wasScreened reports whether Screen has passed the request already.
func (e *exchange) wasScreened() bool {
	conn, ok := e.r.Context().Value(connKey{}).(interface{ TakeScreened() bool })
	return ok && conn.TakeScreened()
}

// unframedConn returns the caller's connection if a response without a length ends with it, as
// at a caller of HTTP/1.0, and nil otherwise. Other responses show by their framing whether they
// are complete; here only a reset does.
func (e *exchange) unframedConn() net.Conn {
	if e.r == nil || e.r.ProtoAtLeast(1, 1) {
		return nil
	}
	conn, _ := e.r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// markIncomplete lets the caller see until markComplete that its stream is not complete, also if
// this process ends.
func (e *exchange) markIncomplete() error {
	if conn := e.unframedConn(); conn != nil {
		return sock.ResetOnClose(conn, true)
	}
	return nil
}

func (e *exchange) markComplete() error {
	if conn := e.unframedConn(); conn != nil {
		return sock.ResetOnClose(conn, false)
	}
	return nil
}

// resetIncomplete ends the caller's connection if a stream on it was begun and not completed.
func (e *exchange) resetIncomplete() {
	conn := e.unframedConn()
	if conn == nil || !e.stream.started {
		return
	}
	if err := sock.Reset(conn); err != nil {
		e.record.Reason += ": reset the caller's connection: " + err.Error()
	}
}
