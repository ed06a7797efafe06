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

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/relay"
)

// rawTarget starts a target that calls serve for each connection and returns its address.
func rawTarget(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// serviceCall returns a call of a plain service with a body of the given size.
func serviceCall(address string, bodyBytes int) relay.Call {
	return relay.Call{
		AttemptID: attemptID, Target: "t1", Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{},
		Body: bytes.Repeat([]byte("b"), bodyBytes),
	}
}

// Guards against a panic, or an empty answer, after a status that is none of a response.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "002", "099", "+20", "-00", "101"} {
		for _, isEngine := range []bool{false, true} {
			for _, onceOnly := range []bool{false, true} {
				address := rawTarget(t, func(conn *net.TCPConn) {
					if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", status, relay.AttemptHeader, attemptID)
					}
				})
				call := serviceCall(address, 10)
				call.Engine, call.OnceOnly = isEngine, onceOnly
				rec := httptest.NewRecorder()
				var got *outcome.Error
				result, err := newClient().Do(context.Background(), call, filter.NewResponseWriter(rec))
				if !errors.As(err, &got) || got.Outcome != outcome.Unknown || got.Status != http.StatusBadGateway || !result.Failed || rec.Body.Len() > 0 {
					t.Errorf("status %s, engine %v, once-only %v: got error %v, result %+v, body %q, want a failed target", status, isEngine, onceOnly, err, result, rec.Body)
				}
			}
		}
	}
}

// Guards against a valid status that is not given on.
func TestStatusIsReturnedUnchanged(t *testing.T) {
	t.Parallel()
	for _, status := range []int{200, 299, 404, 500, 600, 999} {
		address := rawTarget(t, func(conn *net.TCPConn) {
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\nbody", status)
			}
		})
		rec := httptest.NewRecorder()
		if _, err := newClient().Do(context.Background(), serviceCall(address, 10), filter.NewResponseWriter(rec)); err != nil || rec.Code != status || rec.Body.String() != "body" {
			t.Errorf("got error %v, status %d, body %q, want status %d", err, rec.Code, rec.Body, status)
		}
	}
}
