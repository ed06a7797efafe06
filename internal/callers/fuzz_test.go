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

// fakeTarget ends the chain with a complete response.
type fakeTarget struct{ received *filter.Exchange }

func (t *fakeTarget) Name() string { return "last" }

func (t *fakeTarget) Serve(x *filter.Exchange, _ filter.Handler) error {
	t.received = x
	_, err := x.Response.Write([]byte("ok"))
	return err
}

// FuzzModelRequest sends arbitrary bodies and headers to the callers' handler. Each
// request must either reach the end of the chain with a known pool and bounded
// fields, or get a typed refusal with the outcome "not run". A request with unbounded
// fields would distort the scheduler's accounting.
func FuzzModelRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3}`), "", "")
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`), "1000", "1e3")
	f.Add([]byte(`{"model":"other","prompt":"p"}`), "-1", "NaN")
	f.Add([]byte(`[[[[`), "99999999999999999999", "Inf")
	f.Add([]byte(`{"model":{},"prompt":"p","max_tokens":1e400}`), "0", "")
	f.Add(bytes.Repeat([]byte("["), maxBody), "", "-0")
	f.Fuzz(func(t *testing.T, body []byte, timeout, hint string) {
		target := &fakeTarget{}
		handler := newHandler(target)
		req := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(body))
		req.Header[validate.TimeoutHeader] = []string{timeout}
		req.Header[validate.CostHintHeader] = []string{hint}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, req)
		if target.received != nil {
			mustBeBounded(t, target.received, body)
			return
		}
		mustRefuse(t, w)
	})
}

func newHandler(target filter.Filter) http.Handler {
	validator := validate.New(validate.Options{
		MaxBodyBytes:   maxBody,
		DefaultTimeout: time.Minute,
		Pools:          pools{},
		Fingerprint:    func(ids.Workspace, ids.Pool, []byte) uint64 { return 1 },
	})
	return callers.New(filter.Chain(validator, target), logrus.NewEntry(logrus.New()))
}

func mustBeBounded(t *testing.T, x *filter.Exchange, body []byte) {
	t.Helper()
	if x.Pool != ids.ModelPool("m") || !bytes.Equal(x.Body, body) {
		t.Fatalf("got pool %q and a body of %d bytes, want the pool of model m and %d bytes", x.Pool, len(x.Body), len(body))
	}
	const maxHint, maxWait = 2e7, 24 * time.Hour
	if !(x.CostHint >= 0 && x.CostHint <= maxHint) || x.Deadline.Sub(x.ArrivedAt) > maxWait {
		t.Fatalf("got cost hint %v and a deadline %v after arrival, want at most 2e7 and 24h", x.CostHint, x.Deadline.Sub(x.ArrivedAt))
	}
}

func mustRefuse(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	var refusal struct {
		Error *outcome.Error `json:"error"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil || refusal.Error == nil {
		t.Fatalf("got body %q, want a JSON refusal: error %v", w.Body, err)
	}
	if w.Code < 400 || w.Code > 499 || refusal.Error.Outcome != outcome.NotRun ||
		w.Header().Get(outcome.Header) != string(outcome.NotRun) {
		t.Fatalf("got status %d and outcome %q, want a 4xx status and outcome \"not-run\"", w.Code, refusal.Error.Outcome)
	}
}
