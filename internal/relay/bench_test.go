package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/relay"
)

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// BenchmarkStream relays one stream per iteration. The time includes the fake
// engine, so it is an upper bound of the relay's own cost.
func BenchmarkStream(b *testing.B) {
	for _, events := range []int{1, 100, 1_000} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			var body strings.Builder
			for i := range events {
				fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i+1, textChunk("token "))
			}
			fmt.Fprintf(&body, "id: %d\ndata: %s\n\nid: %d\ndata: [DONE]\n\n", events+1, usageChunk(), events+2)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(relay.AttemptHeader, attemptID)
				_, _ = w.Write([]byte(body.String()))
			}))
			defer server.Close()
			client := newClient()
			call := engineCall(address(server), true)
			b.ReportAllocs()
			for b.Loop() {
				call.Header = http.Header{}
				_, err := client.Do(context.Background(), call, filter.NewResponseWriter(discardWriter{header: http.Header{}}))
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}
