package callers_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/callers"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/filter/validate"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const maxBody = 4096

type pools struct{}

func (pools) IsKnown(pool ids.Pool) bool { return pool == ids.ModelPool("m") }

// last ends the chain with a whole answer.
type last struct{ reached *filter.Exchange }

func (l *last) Name() string { return "last" }

func (l *last) Serve(x *filter.Exchange, _ filter.Handler) error {
	l.reached = x
	_, err := x.Response.Write([]byte("ok"))
	return err
}

// FuzzModelRequest sends arbitrary bodies and headers to the callers' edge:
// each is either carried on with a known pool and bounded fields, or gets a
// typed refusal that says "not run".
func FuzzModelRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3}`), "", "")
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`), "1000", "1e3")
	f.Add([]byte(`{"model":"other","prompt":"p"}`), "-1", "NaN")
	f.Add([]byte(`[[[[`), "99999999999999999999", "Inf")
	f.Add([]byte(`{"model":{},"prompt":"p","max_tokens":1e400}`), "0", "")
	f.Add(bytes.Repeat([]byte("["), maxBody), "", "-0")
	f.Fuzz(func(t *testing.T, body []byte, timeout, hint string) {
		end := &last{}
		handler := edge(end)
		req := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(body))
		req.Header[validate.TimeoutHeader] = []string{timeout}
		req.Header[validate.CostHintHeader] = []string{hint}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		if end.reached != nil {
			mustBeBounded(t, end.reached, body)
			return
		}
		mustRefuse(t, w)
	})
}

func edge(end *last) http.Handler {
	check := validate.New(validate.Options{
		MaxBodyBytes:   maxBody,
		DefaultTimeout: time.Minute,
		Pools:          pools{},
		Fingerprint:    func(ids.Workspace, ids.Pool, []byte) uint64 { return 1 },
	})
	return callers.New(filter.Chain(check, end), logrus.NewEntry(logrus.New()))
}

func mustBeBounded(t *testing.T, x *filter.Exchange, body []byte) {
	t.Helper()
	if x.Pool != ids.ModelPool("m") || !bytes.Equal(x.Body, body) {
		t.Fatalf("pool %q, body of %d bytes for %d", x.Pool, len(x.Body), len(body))
	}
	const maxHint, maxWait = 2e7, 24 * time.Hour
	if !(x.CostHint >= 0 && x.CostHint <= maxHint) || x.Deadline.Sub(x.Arrived) > maxWait {
		t.Fatalf("hint %v, deadline %v after arrival", x.CostHint, x.Deadline.Sub(x.Arrived))
	}
}

func mustRefuse(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	var refusal struct {
		Error *outcome.Error `json:"error"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil || refusal.Error == nil {
		t.Fatalf("refusal %q: %v", w.Body, err)
	}
	if w.Code < 400 || w.Code > 499 || refusal.Error.Outcome != outcome.NotRun ||
		w.Header().Get(outcome.Header) != string(outcome.NotRun) {
		t.Fatalf("status %d, outcome %q", w.Code, refusal.Error.Outcome)
	}
}
