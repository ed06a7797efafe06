package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/umberhill/umberhill/internal/sock"
)

// newDialer returns a dialer whose connections the kernel closes if the remote side
// does not acknowledge bytes or keep-alive probes in time, because a target behind a
// network partition sends no reset.
func newDialer(o Options) net.Dialer {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     time.Second,
		Interval: time.Second,
		Count:    max(1, int(o.TCPUserTimeout/time.Second)),
	}}
	if o.TCPUserTimeout > 0 {
		ms := int(o.TCPUserTimeout.Milliseconds())
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
			})
			if err != nil {
				return err
			}
			return setErr
		}
	}
	return d
}

// isOpenAndEmpty reports whether an idle connection is open and has no unread data.
// Bytes received after the last response belong to no request.
func (c *Conn) isOpenAndEmpty() bool {
	_, err := sock.Peek(c.netConn)
	return errors.Is(err, unix.EAGAIN)
}

// IsClosedByRemote reports whether the remote side has closed a connection, even if
// the goroutine that reads from it has not run since.
func IsClosedByRemote(conn net.Conn) bool {
	n, err := sock.Peek(conn)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}
