package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response without a length that ends with a reset and counts as complete: the
// kernel reports a reset once, and the write of a body may get the report.
func TestResetThatTheWriteOfABodySawEndsNoResponse(t *testing.T) {
	t.Parallel()
	c, far := connToSilent(t)
	taken := make(chan struct{})
	if err := c.Send(post(taken)); err != nil {
		t.Fatal(err)
	}
	// Until the kernel's buffers are full, the write does not wait for the target.
	time.Sleep(300 * time.Millisecond)
	if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	_ = far.(*net.TCPConn).SetLinger(0)
	_ = far.Close()
	<-taken
	resp, err := c.Receive(http.MethodPost)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("got the body %q without an error, want an error", body)
	}
}

// Guards against the same for a reset that a look at the socket saw, after this process was
// suspended beyond a silence.
func TestResetThatALookAtTheSocketSawEndsNoResponse(t *testing.T) {
	t.Parallel()
	c, far := connToSilent(t)
	if err := c.Send(&Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive(http.MethodGet)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	c.netConn = suspendedConn{c.netConn.(*net.TCPConn), 200 * time.Millisecond}
	silences := 0
	c.SetReadLimits(ReadLimits{Silence: 100 * time.Millisecond, OnSilence: func() bool {
		silences++
		return true
	}})
	_ = far.(*net.TCPConn).SetLinger(0)
	_ = far.Close()
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("got %q and then the end of the response, want an error", body)
	}
	if silences > 0 {
		t.Errorf("got %d silences of a target that has reset the connection, want none", silences)
	}
}

// Guards against a response without a length that counts as incomplete since the target takes
// no more of the body.
func TestClosedResponseWithoutALengthIsComplete(t *testing.T) {
	t.Parallel()
	c, far := connToSilent(t)
	taken := make(chan struct{})
	if err := c.Send(post(taken)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"); err != nil {
		t.Fatal(err)
	}
	if err := far.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Receive(http.MethodPost)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		t.Errorf("got %q, error %v, want the whole response", body, err)
	}
}

// Guards against a head that was cut off and counts as one of a response without a body.
func TestHeadThatIsCutOffIsNoResponse(t *testing.T) {
	t.Parallel()
	const fields = "X-Id: 1\r\nX-Seal: s\r\nContent-Type: text/plain\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"HTTP/1.0 200 OK\r\n" + fields + "\r\n",
		strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"\r\n", "\r\n", "\n"),
	} {
		for n := range head {
			for _, isReset := range []bool{false, true} {
				c, far := connToSilent(t)
				if err := c.Send(&Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAtLeast(far, make([]byte, 1<<10), 1); err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(far, head[:n])
				if isReset {
					_ = far.(*net.TCPConn).SetLinger(0)
				}
				_ = far.Close()
				resp, err := c.Receive(http.MethodGet)
				if err == nil {
					_ = resp.Body.Close()
					t.Errorf("%q, reset %v: got status %d, want an error", head[:n], isReset, resp.StatusCode)
				}
				c.Close()
			}
		}
	}
}
