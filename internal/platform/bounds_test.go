package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/api"
)

// pagingWire is a protocol whose lists have pages.
type pagingWire struct{ defaultWire }

func (pagingWire) Page(_ Call, body []byte) (Page, error) {
	var page Page
	return page, json.Unmarshal(body, &page)
}

// Guards against a service whose answers to one list have no end, which would be held in
// memory: each page alone is within the limit.
func TestListIsBounded(t *testing.T) {
	t.Parallel()
	const maxBytes, pageBytes = 64 << 10, 20 << 10
	for name, c := range map[string]struct {
		next func(page int64) string
		want string
	}{
		"pages without end": {func(page int64) string { return fmt.Sprintf("name-%06d", page) }, "over the limit of"},
		"the same page":     {func(int64) string { return "same" }, "ends where it starts"},
	} {
		t.Run(name, func(t *testing.T) {
			var pages atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				page := Page{Revision: 7, Next: c.next(pages.Add(1))}
				page.Objects = []Object{{Name: "x", Value: json.RawMessage(`"` + strings.Repeat("x", pageBytes) + `"`)}}
				_ = json.NewEncoder(w).Encode(page)
			}))
			defer server.Close()
			client := New(Options{URL: server.URL, Timeout: time.Second, Wire: pagingWire{}, MaxListBytes: maxBytes})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			objs, _, err := client.List(ctx, api.KindClaims)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %d objects, error %v, want an error with %q", len(objs), err, c.want)
			}
			if got := pages.Load(); got > maxBytes/pageBytes+1 {
				t.Errorf("read %d pages of %d bytes, want no more than the limit of %d bytes", got, pageBytes, maxBytes)
			}
		})
	}
}

// The limit applies to the answer of a watch too.
func TestWatchIsBounded(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":8,"events":[]}` + strings.Repeat(" ", 100<<10)))
	}))
	defer server.Close()
	for limit, want := range map[int64]bool{64 << 10: false, 0: true} {
		client := New(Options{URL: server.URL, Timeout: time.Second, MaxListBytes: limit})
		_, err := client.Watch(context.Background(), []api.Kind{api.KindClaims}, 0, time.Millisecond)
		if (err == nil) != want {
			t.Errorf("limit %d: got error %v, want the answer accepted: %t", limit, err, want)
		}
	}
}
