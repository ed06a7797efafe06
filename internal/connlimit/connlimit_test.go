package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// serve starts a server under a limit.
func serve(t *testing.T, l *Limit) string {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	s.Config.ConnState = l.Track
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// idleConnTo opens a connection, sends a request and leaves it idle.
func idleConnTo(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return c
}

// closed tells whether the other side closes a connection within a time.
func closed(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF //nolint:errorlint // a plain connection
}

func TestOldestIdleConnectionGivesWay(t *testing.T) {
	const most = 3
	l := New(most)
	address := serve(t, l)
	var conns []net.Conn
	for range most + 2 {
		conns = append(conns, idleConnTo(t, address))
		time.Sleep(20 * time.Millisecond)
	}
	for i, c := range conns {
		want := i < 2
		if got := closed(t, c, 100*time.Millisecond); got != want {
			t.Errorf("connection %d: closed %v, want %v", i, got, want)
		}
	}
	if !l.Crowded() || l.Full() {
		t.Errorf("%d connections open: crowded %v, full %v", len(l.open), l.Crowded(), l.Full())
	}
}

func TestIdleConnectionsAreClosedInTime(t *testing.T) {
	l := New(0)
	c := idleConnTo(t, serve(t, l))
	time.Sleep(20 * time.Millisecond)
	l.CloseIdle(time.Now(), time.Minute)
	if closed(t, c, 50*time.Millisecond) {
		t.Fatal("closed too early")
	}
	l.CloseIdle(time.Now(), 10*time.Millisecond)
	if !closed(t, c, time.Second) {
		t.Error("still open")
	}
}

// A connection under a request is no idle one.
func TestBusyConnectionsStay(t *testing.T) {
	l := New(1)
	a, b := &net.TCPConn{}, &net.TCPConn{}
	l.track(a, http.StateNew)
	l.track(a, http.StateActive)
	if surplus := l.track(b, http.StateNew); surplus != nil {
		t.Error("a busy connection gave way")
	}
	if !l.Full() {
		t.Error("two connections of one are not too many")
	}
	l.track(b, http.StateClosed)
	if l.Full() {
		t.Error("full after the second has closed")
	}
}
