package sock

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// resetConn is a TCP connection on which one goroutine reads while another one writes.
type resetConn struct {
	net.Conn
	tcp *net.TCPConn

	// writing is held while a write runs.
	writing sync.Mutex
	// resetErr is the error of the write that a reset ended.
	resetErr atomic.Pointer[error]
}

// ReportResets returns a connection whose reads report a reset that a write has seen: the kernel
// reports a reset once, and the next read finds an end without one, so that a response without a
// length would pass for whole. Connections other than TCP are returned as they are.
func ReportResets(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	return &resetConn{Conn: conn, tcp: tcp}
}

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	// A reset after a proper end is another error.
	if errors.Is(err, unix.ECONNRESET) {
		c.resetErr.Store(&err)
	}
	return n, err
}

// Read implements io.Reader.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if IsClosed(c.tcp) {
		// A write that runs ends at once.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	// The writer may have closed the connection since.
	if resetErr := c.resetErr.Load(); resetErr != nil {
		return n, *resetErr
	}
	return n, err
}
