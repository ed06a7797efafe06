package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/relay"
)

var _ = DescribeTable("a response head beyond the bound fails the attempt", func(isEngine, stream, onceOnly bool) {
	server := engine(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Large", strings.Repeat("x", 128<<10))
		_, _ = w.Write([]byte("{}"))
	})
	call := engineCall(address(server), stream)
	call.Engine, call.OnceOnly = isEngine, onceOnly
	out := filter.NewResponseWriter(httptest.NewRecorder())
	result, err := newClient().Do(context.Background(), call, out)
	Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	Expect(result.Failed).To(BeTrue())
	Expect(out.IsCommitted()).To(BeFalse())
},
	Entry("of an engine", true, false, false),
	Entry("of an engine, streamed", true, true, false),
	Entry("of a plain service", false, false, false),
	Entry("of a once-only request", false, false, true),
)

var _ = It("an event whose lines have no end fails the attempt", func() {
	const lines = 64
	line := "data: " + strings.Repeat("x", 64<<10) + "\n"
	server := engine(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			return
		}
		_, _ = w.Write([]byte("id: 1\n"))
		for range lines {
			_, _ = w.Write([]byte(line))
		}
		// The engine waits within the event.
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	out := filter.NewResponseWriter(httptest.NewRecorder())
	started := time.Now()
	const stallTimeout = 4 * time.Second
	client := relay.New(relay.Options{DialTimeout: time.Second, EngineStallTimeout: stallTimeout, Scope: tally.NoopScope})
	_, err := client.Do(context.Background(), engineCall(address(server), true), out)
	Expect(outcomeOf(err)).To(Equal(outcome.Unknown))
	Expect(out.IsCommitted()).To(BeFalse())
	Expect(time.Since(started)).To(BeNumerically("<", stallTimeout/2), "ended by its bound and not by the stall timeout")
})
