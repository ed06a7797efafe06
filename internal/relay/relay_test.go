package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/loopback"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/relay"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

const attemptID = "a-1"

func newClient() *relay.Client {
	return relay.New(relay.Options{
		Dial:         time.Second,
		Stall:        200 * time.Millisecond,
		ServiceStall: 200 * time.Millisecond,
		Scope:        tally.NoopScope,
	})
}

func address(server *httptest.Server) string {
	return strings.TrimPrefix(server.URL, "http://")
}

func engineCall(addr string, stream bool) relay.Call {
	return relay.Call{
		Attempt: attemptID,
		Target:  "t1",
		Address: addr,
		Method:  http.MethodPost,
		Path:    "/v1/completions",
		Header:  http.Header{},
		Body:    []byte(`{}`),
		Engine:  true,
		Stream:  stream,
	}
}

// engine serves streams of the given events; handler decides per connection.
func engine(handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(relay.AttemptHeader, attemptID)
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	return server
}

func writeEvent(w http.ResponseWriter, id int, data string) {
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	w.(http.Flusher).Flush()
}

func part(text string) string {
	return fmt.Sprintf(`{"id":%q,"choices":[{"text":%q}]}`, attemptID, text)
}

func outcomeOf(err error) outcome.Outcome {
	var failure *outcome.Error
	ExpectWithOffset(1, errors.As(err, &failure)).To(BeTrue(), "error %v", err)
	return failure.Outcome
}

// last is the part before the end marker.
func last() string {
	return fmt.Sprintf(`{"id":%q,"choices":[],"usage":{"total_tokens":3}}`, attemptID)
}

var _ = Describe("an engine's stream", func() {
	It("ends with its own usage, not with the end marker of another", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				writeEvent(w, 1, part("one"))
				writeEvent(w, 2, "[DONE]")
			}
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).To(MatchError(filter.ErrIncomplete))
		Expect(rec.Body.String()).NotTo(ContainSubstring("[DONE]"))
	})

	It("is whole only with its end marker", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			writeEvent(w, 1, part("one"))
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).To(MatchError(filter.ErrIncomplete))
		Expect(rec.Body.String()).NotTo(ContainSubstring("[DONE]"))
	})

	It("is resumed after the last event and passed on without a gap or repeat", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPost:
				writeEvent(w, 1, part("one"))
				writeEvent(w, 2, part("two"))
			case r.Header.Get("Last-Event-ID") == "2":
				writeEvent(w, 2, part("two"))
				writeEvent(w, 3, last())
				writeEvent(w, 4, "[DONE]")
			}
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).NotTo(HaveOccurred())
		want := "data: " + part("one") + "\n\ndata: " + part("two") + "\n\ndata: " + last() + "\n\ndata: [DONE]\n\n"
		Expect(rec.Body.String()).To(Equal(want))
	})

	It("drops an event of another request and asks again for its own", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				writeEvent(w, 1, part("one"))
				writeEvent(w, 2, `{"id":"other"}`)
				return
			}
			writeEvent(w, 2, last())
			writeEvent(w, 3, "[DONE]")
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.Body.String()).NotTo(ContainSubstring("other"))
	})

	It("that falls silent is given up and canceled at the engine", func() {
		canceled := make(chan struct{})
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				close(canceled)
				return
			}
			writeEvent(w, 1, part("one"))
			<-r.Context().Done()
		})
		result, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(err).To(MatchError(filter.ErrIncomplete))
		Expect(result.Crashed).To(BeFalse())
		Eventually(canceled).Should(BeClosed())
	})

	It("of a caller that left is canceled at the engine", func() {
		canceled := make(chan struct{})
		begun := make(chan struct{})
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				close(canceled)
				return
			}
			writeEvent(w, 1, part("one"))
			close(begun)
			<-r.Context().Done()
		})
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-begun
			leave()
		}()
		result, _ := newClient().Do(ctx, engineCall(address(server), true), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(result.Failed).To(BeFalse())
		Eventually(canceled).Should(BeClosed())
	})
})

var _ = Describe("an engine's answer in one piece", func() {
	It("of another request is not passed on", func() {
		server := engine(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"id":"other"}`)
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), false), filter.NewResponseWriter(rec))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
		Expect(rec.Body.Len()).To(BeZero())
	})

	It("refused with 429 did not run", func() {
		server := engine(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
		})
		result, err := newClient().Do(context.Background(), engineCall(address(server), false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(outcomeOf(err)).To(Equal(outcome.NotRun))
		Expect(result.Refused).To(BeTrue())
	})
})

var _ = Describe("the outcome of an attempt", func() {
	It("is not-run where no connection came about", func() {
		free, err := loopback.NewPool().Reserve(1)
		Expect(err).NotTo(HaveOccurred())
		_, err = newClient().Do(context.Background(), engineCall(free[0], false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(outcomeOf(err)).To(Equal(outcome.NotRun))
	})

	It("is unknown where the connection broke, and no crash where the target lives", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				w.WriteHeader(http.StatusNoContent)
				return
			}
			panic(http.ErrAbortHandler)
		})
		result, err := newClient().Do(context.Background(), engineCall(address(server), false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
		Expect(result.Crashed).To(BeFalse())
	})

	It("is a crash where the engine is back and knows the attempt no more", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			panic(http.ErrAbortHandler)
		})
		result, _ := newClient().Do(context.Background(), engineCall(address(server), false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(result.Crashed).To(BeTrue())
	})

	It("is unknown where the target died after the connection", func() {
		free, err := loopback.NewPool().Reserve(1)
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", free[0])
		Expect(err).NotTo(HaveOccurred())
		go func() {
			conn, err := listener.Accept()
			listener.Close()
			if err == nil {
				conn.Close()
			}
		}()
		result, err := newClient().Do(context.Background(), engineCall(listener.Addr().String(), false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
		Expect(result.Crashed).To(BeTrue())
	})
})

// flaky answers the first request on each connection and then, on the second
// one, reads the request and closes the connection without an answer: a dead
// kept-alive connection on which net/http would replay an idempotent request.
type flaky struct {
	runs atomic.Int64
}

func (f *flaky) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go f.connection(conn)
	}
}

func (f *flaky) connection(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		f.runs.Add(1)
		if n > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

var _ = Describe("a once-only request with an idempotency key and an empty body", func() {
	run := func(onceOnly bool) int64 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		f := &flaky{}
		go f.serve(listener)
		client := newClient()
		for range 2 {
			call := relay.Call{
				Attempt:  attemptID,
				Target:   "t1",
				Address:  listener.Addr().String(),
				Method:   http.MethodPost,
				Path:     "/orders",
				Header:   http.Header{"Idempotency-Key": {"k"}},
				OnceOnly: onceOnly,
			}
			_, _ = client.Do(context.Background(), call, filter.NewResponseWriter(httptest.NewRecorder()))
		}
		return f.runs.Load()
	}

	It("is never replayed by the transport", func() {
		Expect(run(true)).To(BeEquivalentTo(2))
	})

	It("would be replayed on a shared connection", func() {
		Expect(run(false)).To(BeEquivalentTo(3))
	})
})
