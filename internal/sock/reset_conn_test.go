package sock

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Guards against a reset that a write has seen and that the next read takes for an end, also if the
// writer has closed the connection since; and against a proper end that counts as a reset.
func TestReadReportsTheResetThatAWriteHasSeen(t *testing.T) {
	t.Parallel()
	for _, resets := range []bool{false, true} {
		near, far := tcpPair(t)
		conn := ReportResets(near)
		written := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, 32<<20))
			written <- err
		}()
		// Until the kernel's buffers are full.
		time.Sleep(200 * time.Millisecond)
		if resets {
			_ = far.SetLinger(0)
			_ = far.Close()
			if err := <-written; !errors.Is(err, unix.ECONNRESET) {
				t.Fatalf("write: got error %v, want a reset", err)
			}
		} else if err := far.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		want := io.EOF
		if resets {
			want = unix.ECONNRESET
		}
		for range 2 {
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, want) {
				t.Errorf("read after an end, reset %v: got error %v, want %v", resets, err, want)
			}
		}
	}
}

func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		accepted.Close()
	})
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}
