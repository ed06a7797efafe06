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
		DialTimeout:         time.Second,
		EngineStallTimeout:  200 * time.Millisecond,
		ServiceStallTimeout: 200 * time.Millisecond,
		Scope:               tally.NoopScope,
	})
}

func address(server *httptest.Server) string {
	return strings.TrimPrefix(server.URL, "http://")
}

func engineCall(addr string, stream bool) relay.Call {
	return relay.Call{
		AttemptID: attemptID,
		Target:    "t1",
		Address:   addr,
		Method:    http.MethodPost,
		Path:      "/v1/completions",
		Header:    http.Header{},
		Body:      []byte(`{}`),
		Engine:    true,
		Stream:    stream,
	}
}

// engine starts a fake engine that serves requests with handler and echoes
// attemptID in each response.
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

// textChunk returns the data of an event that carries generated text.
func textChunk(text string) string {
	return fmt.Sprintf(`{"id":%q,"choices":[{"text":%q}]}`, attemptID, text)
}

func outcomeOf(err error) outcome.Outcome {
	var outcomeError *outcome.Error
	ExpectWithOffset(1, errors.As(err, &outcomeError)).To(BeTrue(), "got error %v, want an *outcome.Error", err)
	return outcomeError.Outcome
}

// usageChunk returns the data of the event before the end marker.
func usageChunk() string {
	return fmt.Sprintf(`{"id":%q,"choices":[],"usage":{"total_tokens":3}}`, attemptID)
}

var _ = Describe("a streamed engine response", func() {
	It("is incomplete if an end marker arrives before its own usage", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				writeEvent(w, 1, textChunk("one"))
				writeEvent(w, 2, "[DONE]")
			}
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).To(MatchError(filter.ErrIncomplete))
		Expect(rec.Body.String()).NotTo(ContainSubstring("[DONE]"))
	})

	It("is incomplete without its end marker", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			writeEvent(w, 1, textChunk("one"))
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).To(MatchError(filter.ErrIncomplete))
		Expect(rec.Body.String()).NotTo(ContainSubstring("[DONE]"))
	})

	It("is resumed after the last event and forwarded without gaps or repeated events", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPost:
				writeEvent(w, 1, textChunk("one"))
				writeEvent(w, 2, textChunk("two"))
			case r.Header.Get("Last-Event-ID") == "2":
				writeEvent(w, 2, textChunk("two"))
				writeEvent(w, 3, usageChunk())
				writeEvent(w, 4, "[DONE]")
			}
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).NotTo(HaveOccurred())
		want := "data: " + textChunk("one") + "\n\ndata: " + textChunk("two") + "\n\ndata: " + usageChunk() + "\n\ndata: [DONE]\n\n"
		Expect(rec.Body.String()).To(Equal(want))
	})

	It("is resumed after an event of another request, which is not forwarded", func() {
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				writeEvent(w, 1, textChunk("one"))
				writeEvent(w, 2, `{"id":"other"}`)
				return
			}
			writeEvent(w, 2, usageChunk())
			writeEvent(w, 3, "[DONE]")
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(rec))
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.Body.String()).NotTo(ContainSubstring("other"))
	})

	It("is canceled at the engine after the stall timeout and not counted as a crash", func() {
		canceled := make(chan struct{})
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				close(canceled)
				return
			}
			writeEvent(w, 1, textChunk("one"))
			<-r.Context().Done()
		})
		result, err := newClient().Do(context.Background(), engineCall(address(server), true), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(err).To(MatchError(filter.ErrIncomplete))
		Expect(result.Crashed).To(BeFalse())
		Eventually(canceled).Should(BeClosed())
	})

	It("is canceled at the engine when the caller disconnects", func() {
		canceled := make(chan struct{})
		firstEventSent := make(chan struct{})
		server := engine(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				close(canceled)
				return
			}
			writeEvent(w, 1, textChunk("one"))
			close(firstEventSent)
			<-r.Context().Done()
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-firstEventSent
			cancel()
		}()
		result, _ := newClient().Do(ctx, engineCall(address(server), true), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(result.Failed).To(BeFalse())
		Eventually(canceled).Should(BeClosed())
	})
})

var _ = Describe("an engine response that is not streamed", func() {
	It("is not forwarded if it belongs to another request", func() {
		server := engine(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"id":"other"}`)
		})
		rec := httptest.NewRecorder()
		_, err := newClient().Do(context.Background(), engineCall(address(server), false), filter.NewResponseWriter(rec))
		Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
		Expect(rec.Body.Len()).To(BeZero())
	})

	It("has the outcome not-run if the status is 429", func() {
		server := engine(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTooManyRequests)
		})
		result, err := newClient().Do(context.Background(), engineCall(address(server), false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(outcomeOf(err)).To(Equal(outcome.NotRun))
		Expect(result.Rejected).To(BeTrue())
	})
})

var _ = Describe("the outcome of an attempt", func() {
	It("is not-run if no connection was established", func() {
		free, err := loopback.NewPool().Reserve(1)
		Expect(err).NotTo(HaveOccurred())
		_, err = newClient().Do(context.Background(), engineCall(free[0], false), filter.NewResponseWriter(httptest.NewRecorder()))
		Expect(outcomeOf(err)).To(Equal(outcome.NotRun))
	})

	It("is unknown if the connection broke, and not a crash if the engine still has the attempt", func() {
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

	It("is a crash if a restarted engine no longer has the attempt", func() {
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

	It("is unknown and a crash if the target stopped after accepting the connection", func() {
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

// closingServer responds to the first request on each connection. It reads the
// second one and closes the connection without a response. On such a closed
// keep-alive connection net/http replays an idempotent request.
type closingServer struct {
	requests atomic.Int64
}

func (s *closingServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *closingServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if n > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

var _ = Describe("a request with an idempotency key and an empty body", func() {
	// receivedRequests sends two requests and returns the number that reached the
	// target.
	receivedRequests := func(onceOnly bool) int64 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		server := &closingServer{}
		go server.serve(listener)
		client := newClient()
		for range 2 {
			call := relay.Call{
				AttemptID: attemptID,
				Target:    "t1",
				Address:   listener.Addr().String(),
				Method:    http.MethodPost,
				Path:      "/orders",
				Header:    http.Header{"Idempotency-Key": {"k"}},
				OnceOnly:  onceOnly,
			}
			_, _ = client.Do(context.Background(), call, filter.NewResponseWriter(httptest.NewRecorder()))
		}
		return server.requests.Load()
	}

	It("is never replayed by the transport if it is once-only", func() {
		Expect(receivedRequests(true)).To(BeEquivalentTo(2))
	})

	It("is replayed on a reused connection if it is not once-only", func() {
		Expect(receivedRequests(false)).To(BeEquivalentTo(3))
	})
})
