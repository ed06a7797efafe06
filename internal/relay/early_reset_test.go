package relay_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/filter"
)

// Guards against a part of a body that passes for a whole answer (MIXED): a response without a length
// that ends with a reset while the request is written, and whose reset only the write sees.
func TestResetWhileTheRequestIsWrittenEndsNoResponse(t *testing.T) {
	t.Parallel()
	for _, bodyBytes := range []int{20 << 10, 900 << 10, 5 << 20, 16 << 20} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, onceOnly := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d bytes, reset after %v, %s, once-only %v", bodyBytes, delay, version, onceOnly), func(t *testing.T) {
						t.Parallel()
						checkResetEndsNoResponse(t, bodyBytes, delay, version, onceOnly)
					})
				}
			}
		}
	}
}

func checkResetEndsNoResponse(t *testing.T, bodyBytes int, delay time.Duration, version string, onceOnly bool) {
	t.Helper()
	address := rawTarget(t, func(conn *net.TCPConn) {
		if _, err := bufio.NewReader(conn).Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, version+" 200 OK\r\n\r\npart")
		time.Sleep(delay)
		_ = conn.SetLinger(0)
	})
	call := serviceCall(address, bodyBytes)
	call.OnceOnly = onceOnly
	for range 5 {
		rec := httptest.NewRecorder()
		if _, err := newClient().Do(context.Background(), call, filter.NewResponseWriter(rec)); err == nil {
			t.Errorf("got the answer %q without an error", rec.Body)
		}
	}
}

// Guards against a whole response without a length that counts as incomplete since the target takes
// no more of the request.
func TestClosedResponseWithoutALengthIsWhole(t *testing.T) {
	t.Parallel()
	for _, bodyBytes := range []int{10, 20 << 10, 5 << 20} {
		for _, readsBody := range []bool{false, true} {
			address := rawTarget(t, func(conn *net.TCPConn) {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if readsBody {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
				_ = conn.CloseWrite()
				time.Sleep(100 * time.Millisecond)
			})
			rec := httptest.NewRecorder()
			if _, err := newClient().Do(context.Background(), serviceCall(address, bodyBytes), filter.NewResponseWriter(rec)); err != nil || !bytes.Equal(rec.Body.Bytes(), []byte("whole")) {
				t.Errorf("body of %d bytes, read %v: got %q, error %v, want the whole answer", bodyBytes, readsBody, rec.Body, err)
			}
		}
	}
}
