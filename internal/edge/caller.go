package edge

import (
	"context"
	"net"

	"github.com/umberhill/umberhill/internal/upstream"
)

// callerKey is the key of a request's connection in its context.
type callerKey struct{}

// WithConn puts a caller's connection into the context of its requests; it is
// for http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// callerClosed tells whether the caller has closed its connection. net/http notices
// that only once its reader has run, which is late on a busy router and on one that
// was frozen while the request waited in the kernel.
func (e *exchange) callerClosed() bool {
	conn, ok := e.r.Context().Value(callerKey{}).(net.Conn)
	return ok && upstream.IsClosedByRemote(conn)
}
