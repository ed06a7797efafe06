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

// discard takes an answer as a caller's connection would, without sending it.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// BenchmarkStream relays one stream; the engine's side is in the figure, which
// is therefore an upper bound.
func BenchmarkStream(b *testing.B) {
	for _, events := range []int{1, 100, 1_000} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			var body strings.Builder
			for i := range events {
				fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", i+1, part("token "))
			}
			fmt.Fprintf(&body, "id: %d\ndata: %s\n\nid: %d\ndata: [DONE]\n\n", events+1, last(), events+2)
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
				_, err := client.Do(context.Background(), call, filter.NewResponseWriter(discard{header: http.Header{}}))
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*events), "ns/event")
		})
	}
}
