package callers_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

// silentTarget ends the chain without a response.
type silentTarget struct{ err error }

func (silentTarget) Name() string { return "last" }

func (s silentTarget) Serve(*filter.Exchange, filter.Handler) error { return s.err }

// Guards against an empty response with status 200, which net/http sends for a handler
// that returns without a response.
func TestRequestWithoutResponseFails(t *testing.T) {
	for name, err := range map[string]error{
		"no error":          nil,
		"untyped error":     errors.New("unexpected"),
		"response not sent": filter.ErrIncomplete,
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
		newHandler(silentTarget{err: err}).ServeHTTP(w, r)
		if w.Code != http.StatusInternalServerError || !strings.Contains(w.Body.String(), string(outcome.CodeInternal)) {
			t.Errorf("%s: got status %d with body %q, want 500 with the code %s", name, w.Code, w.Body.String(), outcome.CodeInternal)
		}
	}
}
