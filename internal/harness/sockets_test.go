package harness

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against rules that are applied to the wrong connection. Two connections
// may share their local address if their remote addresses differ; a lookup by the
// local address alone could return the socket of the other one.
func TestSocketInodeDistinguishesConnectionsOnOneLocalPort(t *testing.T) {
	first, second := listenAddr(t), listenAddr(t)
	one := dialFrom(t, "127.0.0.1:0", first)
	two := dialFrom(t, one.LocalAddr().String(), second)
	inodes := make(map[string]bool)
	for _, c := range []net.Conn{one, two} {
		inode, ok := socketInode(c.LocalAddr(), c.RemoteAddr())
		if !ok || !holdsSocket(os.Getpid(), inode) {
			t.Fatalf("no socket of this process found for the connection from %v to %v", c.LocalAddr(), c.RemoteAddr())
		}
		inodes[inode] = true
	}
	if len(inodes) != 2 {
		t.Errorf("two connections from %v have the same socket inode, want two inodes", one.LocalAddr())
	}
}

// Guards against a lookup that reads the table of all sockets: relays make it for each new
// connection, and the machine may hold tens of thousands of sockets of other processes.
func TestSocketInodeDoesNotDependOnTheNumberOfSockets(t *testing.T) {
	const others, lookups, limit = 4000, 50, 50 * time.Millisecond
	const perListener = 100
	addr := listenAddr(t)
	for i := range others {
		if i%perListener == 0 {
			addr = listenAddr(t)
		}
		dialFrom(t, "127.0.0.1:0", addr)
	}
	conn := dialFrom(t, "127.0.0.1:0", addr)
	before := processorTime(t)
	for range lookups {
		if _, ok := socketInode(conn.LocalAddr(), conn.RemoteAddr()); !ok {
			t.Fatal("socket not found")
		}
	}
	if used := processorTime(t) - before; used > limit {
		t.Errorf("%v of processor time for %d lookups beside %d connections, want at most %v", used, lookups, others, limit)
	}
}

// processorTime returns the user and system time of this process.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// The kernel keeps a closed connection for a while, without a socket.
func TestSocketInodeOfAClosedConnection(t *testing.T) {
	conn := dialFrom(t, "127.0.0.1:0", listenAddr(t))
	local, remote := conn.LocalAddr(), conn.RemoteAddr()
	_ = conn.Close()
	if inode, ok := socketInode(local, remote); ok {
		t.Errorf("socket with inode %s found for a closed connection", inode)
	}
}

func listenAddr(t *testing.T) net.Addr {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr()
}

// dialFrom connects from a local address that other connections may share.
func dialFrom(t *testing.T, local string, to net.Addr) net.Conn {
	t.Helper()
	from, err := net.ResolveTCPAddr("tcp4", local)
	if err != nil {
		t.Fatal(err)
	}
	d := net.Dialer{LocalAddr: from, Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	c, err := d.Dial("tcp4", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}
