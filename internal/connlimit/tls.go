package connlimit

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// plainRequest is the response to a request without TLS, which has not run.
const plainRequest = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Content-Length: 44\r\n\r\nthis listener accepts requests over TLS only"

// ListenTLS is like Listen, with TLS on the connections. The limiter has to see what TLS
// carries: below it, a handshake or a session ticket looks like a part of a request.
func (l *Limiter) ListenTLS(tcp *net.TCPListener, config *tls.Config) net.Listener {
	return tlsListener{listener{tcp, l}, config}
}

// tlsListener makes a tlsConn of each connection that it accepts.
type tlsListener struct {
	listener
	config *tls.Config
}

// Accept implements net.Listener.
func (l tlsListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	if err != nil {
		return nil, err
	}
	secure := tls.Server(record{conn}, l.config)
	conn.secure = secure
	return &tlsConn{Conn: secure, tracked: conn}, nil
}

// record is the connection below TLS, with the bytes of TLS's records.
type record struct{ *Conn }

// Read implements net.Conn.
func (r record) Read(p []byte) (int, error) {
	n, err := r.TCPConn.Read(p)
	if n > 0 {
		r.limiter.linkMeter.Received(n)
		if r.handshaken.Load() {
			// Of a request, even if its record is not complete.
			r.recordRead()
		}
	}
	return n, err
}

// tlsConn is a caller's connection with TLS. Its reads are tracked above TLS.
type tlsConn struct {
	*tls.Conn
	tracked *Conn
}

// Read implements net.Conn.
func (c *tlsConn) Read(p []byte) (int, error) {
	if !c.tracked.handshaken.Load() {
		if err := c.Handshake(); err != nil {
			// A handshake can't go on after an error. No byte of a request was read.
			c.failHandshake(err)
			return 0, err
		}
		c.tracked.handshaken.Store(true)
	}
	return c.tracked.read(p, c.Conn.Read)
}

// failHandshake ends the connection after an error of its handshake.
func (c *tlsConn) failHandshake(err error) {
	var notTLS tls.RecordHeaderError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.tracked.endHandshake()
	case errors.As(err, &notTLS) && notTLS.Conn != nil && isHTTP(notTLS.RecordHeader):
		_ = c.tracked.SetWriteDeadline(time.Now().Add(screenWriteTimeout))
		_, _ = io.WriteString(c.tracked, plainRequest)
	}
}

// isHTTP reports whether the first bytes of a connection are those of a request without TLS.
func isHTTP(start [5]byte) bool {
	switch string(start[:]) {
	case "GET /", "HEAD ", "POST ", "PUT /", "OPTIO", "DELET", "PATCH":
		return true
	default:
		return false
	}
}

// SetReadDeadline implements net.Conn.
func (c *tlsConn) SetReadDeadline(t time.Time) error { return c.tracked.SetReadDeadline(t) }

// trackedConn returns the limiter's connection of one that its listeners accepted, nil for
// others.
func trackedConn(c net.Conn) *Conn {
	switch c := c.(type) {
	case *Conn:
		return c
	case *tlsConn:
		return c.tracked
	default:
		return nil
	}
}
