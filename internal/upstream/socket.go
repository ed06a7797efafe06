package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// newDialer returns a dialer whose connections break where the other side does
// not acknowledge bytes or probes in time: a peer behind a partition is silent.
func newDialer(o Options) net.Dialer {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     time.Second,
		Interval: time.Second,
		Count:    max(1, int(o.Unacked/time.Second)),
	}}
	if o.Unacked > 0 {
		ms := int(o.Unacked.Milliseconds())
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
			})
			if err != nil {
				return err
			}
			return set
		}
	}
	return d
}

// quiet tells whether an idle connection is open and has nothing to read: bytes
// that came after the last answer belong to no request.
func (c *Conn) quiet() bool {
	_, err := peek(c.raw)
	return errors.Is(err, unix.EAGAIN)
}

// PeerClosed tells whether the other side of a connection has closed it, also where
// the goroutine that reads from it has not yet run.
func PeerClosed(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// peek looks at a connection's next byte without waiting for one.
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
