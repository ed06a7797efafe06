package loadpoll

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// Guards against an engine whose report has no end.
func TestReportIsBounded(t *testing.T) {
	const body = `{"running":1,"waiting":2`
	for name, c := range map[string]struct {
		head, body int
		want       bool
	}{
		"small":          {10, 10, true},
		"head too large": {maxReportHeadBytes, 0, false},
		"body too large": {0, maxReportBytes, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Large", strings.Repeat("x", c.head))
			_, _ = w.Write([]byte(body + strings.Repeat(" ", c.body) + "}"))
		}))
		p := New(Options{Interval: time.Second, Scope: tally.NoopScope})
		_, err := p.fetch(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		if (err == nil) != c.want {
			t.Errorf("%s: got error %v, want the report accepted: %t", name, err, c.want)
		}
	}
}
