package connlimit

import (
	"bufio"
	"crypto/tls"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func ignoreClose(Close) {}

// startServer starts a server whose connections l limits and returns its address.
func startServer(t *testing.T, l *Limiter) string {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	s.Listener = l.Listen(s.Listener.(*net.TCPListener))
	s.Config.ConnState = l.Track
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// openIdleConn opens a connection, completes one request on it and leaves it idle.
func openIdleConn(t *testing.T, address string) net.Conn {
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

// isClosedWithin reports whether the remote side closes a connection within a time.
func isClosedWithin(t *testing.T, c net.Conn, within time.Duration) bool {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Read(make([]byte, 1))
	return err == io.EOF //nolint:errorlint // net.Conn returns io.EOF unwrapped
}

// At the limit each new connection closes the one that has been idle longest, and no
// other.
func TestLongestIdleConnectionIsClosedAtLimit(t *testing.T) {
	const maxConns = 3
	l := New(maxConns, ignoreClose)
	address := startServer(t, l)
	var conns []net.Conn
	for range maxConns + 2 {
		conns = append(conns, openIdleConn(t, address))
		time.Sleep(20 * time.Millisecond)
	}
	for i, c := range conns {
		want := i < 2
		if got := isClosedWithin(t, c, 100*time.Millisecond); got != want {
			t.Errorf("connection %d: got closed %v, want %v", i, got, want)
		}
	}
	if l.CloseShare() != 1 || l.IsAboveLimit() {
		t.Errorf("%d connections open: got share to close %v, above limit %v, want 1, false", len(l.conns), l.CloseShare(), l.IsAboveLimit())
	}
}

// Guards against callers that are all asked to connect anew, at the cost of a connection for each
// request, while there is room for many more connections.
func TestShareOfClosedConnectionsGrowsTowardsTheLimit(t *testing.T) {
	const maxConns = 20
	l := New(maxConns, ignoreClose)
	address := startServer(t, l)
	for open := 1; open <= maxConns; open++ {
		openIdleConn(t, address)
		want := max(0, float64(open)/maxConns-0.5) / 0.5
		if got := l.CloseShare(); math.Abs(got-want) > 1e-9 {
			t.Errorf("with %d of %d connections open the share is %v, want %v", open, maxConns, got, want)
		}
	}
}

// CloseExpired closes a connection only after its idle time has passed.
func TestCloseExpiredHonorsIdleTimeout(t *testing.T) {
	l := New(0, ignoreClose)
	c := openIdleConn(t, startServer(t, l))
	time.Sleep(20 * time.Millisecond)
	l.CloseExpired(time.Now(), Timeouts{Idle: time.Minute})
	if isClosedWithin(t, c, 50*time.Millisecond) {
		t.Fatal("connection closed before it was idle for a minute")
	}
	l.CloseExpired(time.Now(), Timeouts{Idle: 10 * time.Millisecond})
	if !isClosedWithin(t, c, time.Second) {
		t.Error("connection idle for 20 ms is still open, want it closed after 10 ms")
	}
}

// Guards against closing a connection that is serving a request: only idle ones may be
// closed, even if the limit is exceeded.
func TestActiveConnectionsAreNotClosed(t *testing.T) {
	l := New(1, ignoreClose)
	active, added := l.newConn(&net.TCPConn{}), l.newConn(&net.TCPConn{})
	l.updateState(active, http.StateNew)
	l.updateState(active, http.StateActive)
	if evicted := l.updateState(added, http.StateNew); evicted != nil {
		t.Error("an active connection was selected for closing")
	}
	if !l.IsAboveLimit() {
		t.Error("2 connections at a limit of 1 are not above the limit")
	}
	l.updateState(added, http.StateClosed)
	if l.IsAboveLimit() {
		t.Error("still above the limit after the second connection was closed")
	}
}

// Guards against closing a connection on which a part of a request has arrived: by its
// idle timeout, at the limit and in a drain.
func TestConnectionWithArrivingRequestIsNotClosed(t *testing.T) {
	for name, closeIdle := range map[string]func(t *testing.T, l *Limiter, address string){
		"idle timeout": func(_ *testing.T, l *Limiter, _ string) {
			l.CloseExpired(time.Now().Add(time.Minute), Timeouts{Idle: time.Millisecond})
		},
		"limit": func(t *testing.T, _ *Limiter, address string) { openIdleConn(t, address) },
		"drain": func(_ *testing.T, l *Limiter, _ string) { l.Drain() },
	} {
		for _, afterBytes := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(name+" "+afterBytes.String()+" after the first bytes", func(t *testing.T) {
				l := New(1, ignoreClose)
				address := startServer(t, l)
				c := openIdleConn(t, address)
				time.Sleep(20 * time.Millisecond)
				head := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
				if _, err := io.WriteString(c, head[:10]); err != nil {
					t.Fatal(err)
				}
				time.Sleep(afterBytes)
				closeIdle(t, l, address)
				time.Sleep(20 * time.Millisecond)
				if _, err := io.WriteString(c, head[10:]); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatalf("got error %v, want the response to the request that arrived", err)
				}
				_ = resp.Body.Close()
			})
		}
	}
}

// Guards against counting a connection twice whose close was revoked, or not at all.
func TestRevokedCloseIsCountedOnce(t *testing.T) {
	l := New(2, ignoreClose)
	c := l.newConn(&net.TCPConn{})
	l.updateState(c, http.StateNew)
	l.updateState(c, http.StateIdle)
	l.CloseExpired(time.Now().Add(time.Minute), Timeouts{Idle: time.Millisecond})
	if got := l.open(); got != 0 {
		t.Fatalf("got %d open connections while the only one is closing, want 0", got)
	}
	c.recordRead()
	l.updateState(c, http.StateActive)
	if got := l.open(); got != 1 {
		t.Errorf("got %d open connections after the close was revoked, want 1", got)
	}
	l.updateState(c, http.StateClosed)
	if got := l.open(); got != 0 {
		t.Errorf("got %d open connections after all were closed, want 0", got)
	}
}

// Guards against a drain that reports its end while a request is served.
func TestDrainWaitsForServedRequests(t *testing.T) {
	l := New(0, ignoreClose)
	c := l.newConn(&net.TCPConn{})
	l.updateState(c, http.StateNew)
	l.updateState(c, http.StateActive)
	drained := l.Drain()
	select {
	case <-drained:
		t.Fatal("drained while a request is served")
	default:
	}
	l.updateState(c, http.StateIdle)
	if !c.isClosing() {
		t.Error("the connection stays open after its response in a drain, want it closed")
	}
	l.updateState(c, http.StateClosed)
	select {
	case <-drained:
	default:
		t.Error("not drained after the last connection was closed")
	}
}

// Guards against closing a connection on which a part of the next request was read together
// with the one before.
func TestConnectionWithPipelinedPartIsNotClosed(t *testing.T) {
	for name, closeIdle := range map[string]func(t *testing.T, l *Limiter, address string){
		"idle timeout": func(_ *testing.T, l *Limiter, _ string) {
			l.CloseExpired(time.Now().Add(time.Minute), Timeouts{Idle: time.Millisecond})
		},
		"limit": func(t *testing.T, _ *Limiter, address string) { openIdleConn(t, address) },
		"drain": func(_ *testing.T, l *Limiter, _ string) { l.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			l := New(1, ignoreClose)
			address := startServer(t, l)
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			head := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
			if _, err := io.WriteString(c, head+head[:10]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			closeIdle(t, l, address)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, head[10:])
			r := bufio.NewReader(c)
			for i := range 2 {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("response %d: got error %v, want status 200", i+1, err)
				}
				if resp.StatusCode != http.StatusOK {
					t.Errorf("response %d: got status %d, want 200", i+1, resp.StatusCode)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}

// Guards against a drain that never closes a connection accepted just before it.
func TestDrainClosesConnectionReportedLate(t *testing.T) {
	l := New(0, ignoreClose)
	serving, late := l.newConn(&net.TCPConn{}), l.newConn(&net.TCPConn{})
	l.updateState(serving, http.StateNew)
	l.updateState(serving, http.StateActive)
	l.Drain()
	l.updateState(late, http.StateNew)
	if !late.isClosing() {
		t.Error("the connection that was reported after the drain began stays open, want it closed")
	}
}

// Guards against a drain that waits for a TLS connection on which no request has begun.
func TestDrainClosesNewTLSConnection(t *testing.T) {
	l := New(0, ignoreClose)
	openTLSConn(t, l)
	time.Sleep(50 * time.Millisecond)
	select {
	case <-l.Drain():
	case <-time.After(time.Second):
		t.Error("not drained after 1 s, want the connection closed")
	}
}

// openTLSConn starts a server with TLS whose connections l limits, and opens a connection to it
// with a complete handshake.
func openTLSConn(t *testing.T, l *Limiter) (client *tls.Conn, server *httptest.Server) {
	t.Helper()
	// The certificate of a test server.
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	s.Listener = l.ListenTLS(s.Listener.(*net.TCPListener), &tls.Config{Certificates: certificate.TLS.Certificates})
	s.Config.ConnState = l.Track
	s.Start()
	t.Cleanup(s.Close)
	c, err := tls.Dial("tcp", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, s
}

// Guards against a drain that closes a TLS connection on which a part of a request has arrived,
// or serves it wrongly.
func TestTLSConnectionWithArrivingRequestIsNotClosed(t *testing.T) {
	for name, parts := range map[string][2]string{
		"new connection":  {"GET /a HTT", "P/1.1\r\nHost: x\r\n\r\n"},
		"kept connection": {"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"},
		"pipelined part":  {"GET /0 HTTP/1.1\r\nHost: x\r\n\r\nGET /a HTT", "P/1.1\r\nHost: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(0, ignoreClose)
			c, _ := openTLSConn(t, l)
			if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(c, parts[0]); err != nil {
				t.Fatal(err)
			}
			response := bufio.NewReader(c)
			if name == "kept connection" {
				expectBody(t, response, "/0")
				if _, err := io.WriteString(c, parts[1][:10]); err != nil {
					t.Fatal(err)
				}
				parts[1] = parts[1][10:]
			}
			time.Sleep(50 * time.Millisecond)
			l.Drain()
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(c, parts[1]); err != nil {
				t.Fatal(err)
			}
			if name == "pipelined part" {
				expectBody(t, response, "/0")
			}
			expectBody(t, response, "/a")
		})
	}
}

// Guards against a head that takes too long over TLS and gets no response.
func TestSlowHeadOverTLSGetsResponse(t *testing.T) {
	l := New(0, ignoreClose)
	c, _ := openTLSConn(t, l)
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /a HTT"); err != nil {
		t.Fatal(err)
	}
	// Repeatedly, as a router does: the server may not have read the part yet.
	expired, isOver := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(expired)
		for {
			select {
			case <-isOver:
				return
			case <-time.After(20 * time.Millisecond):
				l.CloseExpired(time.Now(), Timeouts{Idle: time.Minute, Head: 200 * time.Millisecond})
			}
		}
	}()
	defer func() { close(isOver); <-expired }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("got error %v, want status 408", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got status %d, want 408", resp.StatusCode)
	}
}

// Guards against a drain that waits for a connection whose TLS handshake does not end.
func TestDrainClosesConnectionInTLSHandshake(t *testing.T) {
	l := New(0, ignoreClose)
	_, s := openTLSConn(t, l)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	// The start of a record of the handshake.
	if _, err := io.WriteString(c, "\x16\x03\x01"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	select {
	case <-l.Drain():
	case <-time.After(time.Second):
		t.Error("not drained after 1 s, want the connections closed")
	}
}

// expectBody reads a response and checks its body.
func expectBody(t *testing.T, response *bufio.Reader, want string) {
	t.Helper()
	resp, err := http.ReadResponse(response, nil)
	if err != nil {
		t.Fatalf("got error %v, want the response to the request that arrived", err)
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || string(body) != want {
		t.Errorf("got body %q and error %v, want %q", body, err, want)
	}
}
