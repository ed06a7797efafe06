package faultlink

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose first Accept fails.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOMEM}
	}
	return l.Listener.Accept()
}

// Guards against a relay that stops accepting after a temporary error: the kernel would
// still complete connections to it, and their clients would wait without an answer.
func TestRelayAcceptsAfterAnError(t *testing.T) {
	target := listen(t)
	listener := &failingListener{Listener: listen(t)}
	relay := start(Options{Target: target.Addr().String()}, listener)
	defer relay.Close()
	client, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := target.Accept(); err == nil {
			accepted <- conn
		}
	}()
	select {
	case conn := <-accepted:
		_ = conn.Close()
	case <-time.After(5 * time.Second):
		t.Fatal("the relay accepted no connection within 5 s after an error")
	}
	if s := relay.Stats(); s.AcceptErrors != 1 || s.Accepted != 1 {
		t.Errorf("%d accept errors and %d accepted connections, want 1 and 1", s.AcceptErrors, s.Accepted)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}
