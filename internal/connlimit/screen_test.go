package connlimit

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pathScreen refuses whole requests for /no, and closes the connection after those for
// /no-more.
type pathScreen struct{ passed atomic.Int32 }

func (s *pathScreen) Enabled() bool { return true }

func (s *pathScreen) Screen(request []byte, _ bool) (response []byte, closes bool) {
	if !bytes.HasSuffix(request, []byte("\r\n\r\n")) || !bytes.HasPrefix(request, []byte("GET /no")) {
		s.passed.Add(1)
		return nil, false
	}
	return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), bytes.HasPrefix(request, []byte("GET /no-more"))
}

func startScreenedServer(t *testing.T) (*Limiter, *pathScreen, net.Conn) {
	t.Helper()
	l, s := New(0, ignoreClose), new(pathScreen)
	l.SetScreen(s)
	c, err := net.Dial("tcp", startServer(t, l))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return l, s, c
}

func getStatus(t *testing.T, c net.Conn, r *bufio.Reader, parts ...string) int {
	t.Helper()
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Guards against a connection on which refused and served requests follow each other and
// that loses or mixes their responses.
func TestScreenedConnectionServesAfterARefusal(t *testing.T) {
	_, s, c := startScreenedServer(t)
	r := bufio.NewReader(c)
	const no, yes = "GET /no HTTP/1.1\r\nHost: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for i, step := range []struct {
		parts []string
		want  int
	}{
		{[]string{no}, 503},
		{[]string{no}, 503},
		{[]string{yes}, 200},
		{[]string{no}, 503},
		{[]string{no[:20], no[20:]}, 200}, // not whole: net/http decides
		{[]string{yes + no}, 200},
	} {
		if got := getStatus(t, c, r, step.parts...); got != step.want {
			t.Fatalf("step %d: got status %d, want %d", i, got, step.want)
		}
	}
	if n := s.passed.Load(); n != 3 {
		t.Errorf("the screen passed %d requests, want 3", n)
	}
}

func TestScreenedConnectionIsClosedAfterTheResponse(t *testing.T) {
	_, _, c := startScreenedServer(t)
	r := bufio.NewReader(c)
	if got := getStatus(t, c, r, "GET /no-more HTTP/1.1\r\nHost: x\r\n\r\n"); got != http.StatusServiceUnavailable {
		t.Fatalf("got status %d, want 503", got)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("after the response: got error %v, want EOF", err)
	}
}

// Guards against a stop that waits for a connection whose requests were all refused early.
func TestDrainClosesScreenedConnection(t *testing.T) {
	l, _, c := startScreenedServer(t)
	r := bufio.NewReader(c)
	getStatus(t, c, r, "GET /no HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case <-l.Drain():
	case <-time.After(time.Second):
		t.Error("the connection is open 1 s after the drain began")
	}
}

// passScreen passes all requests.
type passScreen struct{}

func (passScreen) Enabled() bool                      { return true }
func (passScreen) Screen([]byte, bool) ([]byte, bool) { return nil, false }

// Guards against bytes that are read for the screen and lost, doubled or given to the next request.
func TestRequestsThatPassTheScreenKeepTheirBodies(t *testing.T) {
	l := New(0, ignoreClose)
	l.SetScreen(passScreen{})
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnState: l.Track, ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l.Listen(tcp.(*net.TCPListener))) }()
	rapid.Check(t, func(rt *rapid.T) {
		c, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			rt.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 10, 3900, 4096, 9000, 66 << 10, 90 << 10}), 1, 3).Draw(rt, "sizes")
		var sent []string
		go func() {
			var all strings.Builder
			for i, size := range sizes {
				body := strings.Repeat(string(rune('a'+i)), size)
				all.WriteString("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + body)
			}
			// Some requests arrive together.
			_, _ = io.WriteString(c, all.String())
		}()
		for i, size := range sizes {
			sent = append(sent, strings.Repeat(string(rune('a'+i)), size))
		}
		r := bufio.NewReader(c)
		for i, want := range sent {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				rt.Fatalf("request %d: %v", i, err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != want {
				rt.Fatalf("request %d: got %d bytes (error %v), want the %d of its body", i, len(got), err, len(want))
			}
		}
	})
}
