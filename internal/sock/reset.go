package sock

import (
	"net"

	"github.com/cockroachdb/errors"
)

// ResetOnClose sets whether the kernel ends a connection with a TCP reset when it is closed, also
// at the end of the process.
func ResetOnClose(conn net.Conn, reset bool) error {
	tcp, ok := plain(conn).(interface{ SetLinger(seconds int) error })
	if !ok {
		return nil
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	return errors.Wrap(tcp.SetLinger(seconds), "set how the connection is closed")
}

// Reset closes a connection with a TCP reset, without TLS's notice of its end.
func Reset(conn net.Conn) error {
	if err := ResetOnClose(conn, true); err != nil {
		return err
	}
	return plain(conn).Close()
}

// plain returns the connection below TLS, if there is any.
func plain(conn net.Conn) net.Conn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return conn
}
