package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
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
	_, err := peek(c.netConn)
	return errors.Is(err, unix.EAGAIN)
}

// IsClosedByRemote reports whether the remote side has closed a connection, even if
// the goroutine that reads from it has not run since.
func IsClosedByRemote(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// peek receives the next byte of a connection without blocking and leaves it unread.
// It returns n == 0 without an error if the remote side has closed the connection,
// and the error EAGAIN if no byte is there or conn has no file descriptor.
func peek(conn net.Conn) (n int, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.CombineErrors(err, controlErr)
}
