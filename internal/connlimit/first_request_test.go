package connlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a flood of new connections, of which each costs a goroutine and buffers before its
// only request is refused (FAIR).
func TestRefusedFirstRequestsDoNotReachTheServer(t *testing.T) {
	const maxConns = 4
	l, s := New(maxConns, ignoreClose), new(pathScreen)
	l.SetScreen(s)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// Connections wait until their requests have arrived, as at a router without processor time.
	var conns []net.Conn
	requests := []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET /no HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}
	for _, request := range requests {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	listener := l.Listen(tcp.(*net.TCPListener))
	defer listener.Close()
	for i := range requests {
		if requests[i] == "GET /no HTTP/1.1\r\nHost: h\r\n\r\n" {
			continue
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// net/http reads into a buffer that is smaller than a request.
		got := make([]byte, len(requests[i]))
		if _, err := io.ReadFull(readerOf(conn, 10), got); err != nil || string(got) != requests[i] {
			t.Errorf("connection %d: got %q (error %v), want its request", i, got, err)
		}
	}
	r := bufio.NewReader(conns[4])
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("the refused caller got %v (error %v), want 503", resp, err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got error %v on the refused caller's connection, want it closed", err)
	}
	if accepted, open := l.Counts(); accepted != len(requests) || open != len(requests)-1 {
		t.Errorf("%d connections accepted and %d open, want %d and %d", accepted, open, len(requests), len(requests)-1)
	}
}

// readerOf returns a reader that reads n bytes at a time.
func readerOf(conn net.Conn, n int) io.Reader {
	return readerFunc(func(p []byte) (int, error) { return conn.Read(p[:min(n, len(p))]) })
}

type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
