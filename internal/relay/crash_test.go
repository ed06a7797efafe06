package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/relay"
)

// Guards against a request that crashes engine after engine, since a crash within some responses goes
// unnoticed, and against a truncated response that counts as a crash.
func TestCrashOfAnEngineIsNoticedWithinAnyResponse(t *testing.T) {
	t.Parallel()
	head := relay.AttemptHeader + ": " + attemptID + "\r\nContent-Length: 9\r\n\r\npart"
	for name, response := range map[string]string{
		"before the response": "", "within the head": "HTTP/1.1 200 OK\r\nX-", "within a 200": "HTTP/1.1 200 OK\r\n" + head,
		"within a 404": "HTTP/1.1 404 Not Found\r\n" + head, "within a 500": "HTTP/1.1 500 Internal Server Error\r\n" + head,
		"within a 503": "HTTP/1.1 503 Service Unavailable\r\n" + head,
	} {
		for _, crashes := range []bool{false, true} {
			address := rawTarget(t, func(conn *net.TCPConn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Method != http.MethodDelete {
					_, _ = io.WriteString(conn, response)
					return
				}
				// An engine that restarted does not know the attempt.
				status := http.StatusOK
				if crashes {
					status = http.StatusNotFound
				}
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
			})
			result, err := newClient().Do(context.Background(), engineCall(address, false), filter.NewResponseWriter(httptest.NewRecorder()))
			if err == nil || !result.Failed || result.Crashed != crashes {
				t.Errorf("%s, crash %v: got result %+v, error %v", name, crashes, result, err)
			}
		}
	}
}
