// Package sock looks at the state of sockets, and reads from them without waiting.
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

// tcpClose is the state TCP_CLOSE of Linux, in which a connection is after a reset.
const tcpClose = 7

// IsClosed reports whether a connection is in the state TCP_CLOSE: reset, or closed by both sides.
func IsClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isClosed := false
	controlErr := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err == nil && info.State == tcpClose
	})
	return controlErr == nil && isClosed
}

// ReadArrived reads bytes that have arrived on a connection, without waiting for any. It returns 0
// without an error if there are none or the remote side has closed the connection.
func ReadArrived(conn syscall.Conn, p []byte) (n int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(fd uintptr) bool {
		n, err = unix.Read(int(fd), p)
		return true
	})
	if errors.Is(err, unix.EAGAIN) {
		err = nil
	}
	return max(n, 0), errors.CombineErrors(err, readErr)
}
