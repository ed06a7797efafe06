package upstream

import (
	"net"
	"syscall"
	"time"

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
	sc, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = rerr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
