// Package sock looks at the state of sockets without reading from them.
package sock

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Peek receives the next byte of a connection without blocking and leaves it unread.
// It returns n == 0 without an error if the remote side has closed the connection,
// and the error EAGAIN if no byte is there or conn has no file descriptor.
func Peek(conn net.Conn) (n int, err error) {
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
