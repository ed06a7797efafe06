package harness

import (
	"net"
	"os"
	"syscall"
	"testing"
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
