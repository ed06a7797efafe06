package edge

import (
	"context"
	"net"
	"time"

	"github.com/umberhill/umberhill/internal/upstream"
)

// checkAfter, untuned, is the time from which a request's caller is looked at before it is
// sent on: net/http notices one that left only once its reader has run, which on
// a busy router is late.
const checkAfter = 100 * time.Millisecond

// callerKey is the key of a request's connection in its context.
type callerKey struct{}

// WithConn puts a caller's connection into the context of its requests; it is
// for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// callerClosed tells whether the caller has closed its connection. It is asked
// where the request took long so far or the router is behind.
func (e *exchange) callerClosed() bool {
	behind := e.server.opts.Pressure != nil && e.server.opts.Pressure.Share() > 0
	if !behind && time.Since(e.arrived) < checkAfter {
		return false
	}
	conn, ok := e.r.Context().Value(callerKey{}).(net.Conn)
	return ok && upstream.PeerClosed(conn)
}
