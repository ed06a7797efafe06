package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// scriptConn is a connection on which a target sends data and then closes it.
type scriptConn struct {
	net.Conn
	data io.Reader
}

func (c scriptConn) Read(p []byte) (int, error)      { return c.data.Read(p) }
func (c scriptConn) Close() error                    { return nil }
func (c scriptConn) SetReadDeadline(time.Time) error { return nil }

// receiveAll reads a whole response from data. It returns the number of bytes that the
// response takes.
func receiveAll(data []byte, method string) (c *Conn, body []byte, used int, err error) {
	source := bytes.NewReader(data)
	c = newConn(scriptConn{data: source}, Endpoint{}, nil)
	resp, err := c.Receive(method)
	if err != nil {
		return c, nil, 0, err
	}
	body, err = io.ReadAll(resp.Body)
	return c, body, len(data) - source.Len() - c.reader.Buffered(), err
}

// FuzzReceive reads responses from arbitrary bytes of a target. A response that is
// received without an error must be complete: with one byte less it must fail, unless it
// ends with its connection. The memory must be bounded by the bounds of a head and the
// size of the input.
func FuzzReceive(f *testing.F) {
	chunked := statusLine + "Transfer-Encoding: chunked\r\n\r\n"
	for _, seed := range []string{
		"",
		statusLine + "Content-Length: 3\r\n\r\nabc",
		statusLine + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		statusLine + "Content-Length: -1\r\n\r\n",
		statusLine + "Content-Length: 99999999999999999999\r\n\r\n",
		statusLine + "\r\nends with the connection",
		statusLine + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		statusLine + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		chunked + "1\r\nx\r\n0\r\n\r\n",
		chunked + "1;a=b\r\nx\r\n0\r\nTrailing: t\r\n\r\n",
		chunked + "ffffffffffffffff\r\nx",
		chunked + "1\r\nx\r\n0\r\n" + strings.Repeat("a: b\r\n", 3000),
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + statusLine + "Content-Length: 0\r\n\r\n",
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9),
		"HTTP/1.1 204 No Content\r\n\r\nrest",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nx",
		"HTTP/1.1 099 Low\r\n\r\n" + statusLine + "\r\n",
		statusLine + "A: b\r\n folded\r\nContent-Length: 0\r\n\r\n",
		statusLine + "Keep-Alive: timeout=-1, max=x\r\nContent-Length: 0\r\n\r\n",
		statusLine + strings.Repeat("a:b\n", maxHeadFields+1) + "\n",
		statusLine + "A: " + strings.Repeat("x", 2*maxHeadBytes),
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c, body, used, err := receiveAll(data, method)
		runtime.ReadMemStats(&after)
		const perByte, fixed = 64, 1 << 20
		if n := after.TotalAlloc - before.TotalAlloc; n > uint64(fixed+perByte*len(data)) {
			t.Errorf("allocated %d bytes for an input of %d bytes", n, len(data))
		}
		if err != nil {
			if !isConnError(err) && !errors.Is(err, ErrMalformedResponse) {
				t.Errorf("got error %v, want it marked as a malformed response", err)
			}
			return
		}
		if len(body) > len(data) {
			t.Errorf("got a body of %d bytes from %d bytes", len(body), len(data))
		}
		if c.mustClose || used == 0 {
			return
		}
		if _, _, _, err := receiveAll(data[:used-1], method); err == nil {
			t.Errorf("a response without its last byte looks complete: %q", data[:used-1])
		}
	})
}
