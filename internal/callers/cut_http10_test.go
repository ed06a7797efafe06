package callers_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/filter"
)

// partialTarget sends a part of a response without a length.
type partialTarget struct{}

func (partialTarget) Name() string { return "last" }

func (partialTarget) Serve(x *filter.Exchange, _ filter.Handler) error {
	_, _ = x.Response.Write([]byte("a part"))
	_ = x.Response.Flush()
	return filter.ErrIncomplete
}

// Guards against a response that looks complete to a caller of HTTP/1.0 although it was cut.
func TestResponseThatIsCutIsIncompleteInHTTP10(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		s := httptest.NewServer(newHandler(partialTarget{}))
		t.Cleanup(s.Close)
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.WriteString(c, "POST /v1/completions "+version+"\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: 26\r\n\r\n"+`{"model":"m","prompt":"p"}`)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Errorf("%s: got status %d and %q as a complete response, want it to be cut", version, resp.StatusCode, body)
		}
	}
}
