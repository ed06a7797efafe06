package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/revision"
	"github.com/umberhill/umberhill/internal/loopback"
)

var value = json.RawMessage(`{"a":1}`)

// serve returns a client of a test server with the given handler.
func serve(t *testing.T, h http.HandlerFunc) *Client {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return New(Options{URL: srv.URL, Token: "t", Timeout: time.Second})
}

// respondWith returns a client of a test server that gives every request the same
// response. The header has the form "Name: value" or is empty.
func respondWith(t *testing.T, status int, header, body string) *Client {
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if name, text, ok := strings.Cut(header, ": "); ok {
			w.Header().Set(name, text)
		}
		w.WriteHeader(status)
		w.Write([]byte(body))
	})
}

func TestPut(t *testing.T) {
	g := NewWithT(t)
	var got *http.Request
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Write([]byte(`{"kind":"claims","name":"x","version":7,"value":{"a":1}}`))
	})
	obj, err := c.Put(context.Background(), api.KindClaims, "a b/c", value, Condition{Version: 6})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(obj.Version).To(Equal(uint64(7)))
	g.Expect(got.URL.EscapedPath()).To(Equal("/v1/objects/claims/a%20b%2Fc"))
	g.Expect(got.Header.Get("If-Match")).To(Equal(`"6"`))
	g.Expect(got.Header.Get("Authorization")).To(Equal("Bearer t"))
}

// A caller may repeat a write that was not applied, but must read back one that is
// unconfirmed. Each response must therefore map to the right type of error.
func TestWriteErrorTypes(t *testing.T) {
	var conflict *ConflictError
	var notApplied *NotAppliedError
	var unconfirmed *UnconfirmedError
	cases := []struct {
		status       int
		header, body string
		want         any
	}{
		{412, "", `{"error":"conflict","current":{"kind":"claims","name":"x","version":3,"value":1}}`, &conflict},
		{412, "", `{"error":"conflict","current":null}`, &conflict},
		{412, "", `<html>`, &notApplied},
		{413, "", ``, &notApplied},
		{401, "", ``, &notApplied},
		{503, "Umberhill-Applied: no", ``, &notApplied},
		{429, "Umberhill-Applied: no", ``, &notApplied},
		{503, "", ``, &unconfirmed},
		{429, "", ``, &unconfirmed},
		{500, "", ``, &unconfirmed},
		{307, "Location: /v1/objects/claims/y", ``, &unconfirmed},
		{200, "", `{"kind":`, &unconfirmed},
	}
	for _, x := range cases {
		c := respondWith(t, x.status, x.header, x.body)
		_, err := c.Put(context.Background(), api.KindClaims, "x", value, Condition{})
		g := NewWithT(t)
		g.Expect(err).To(HaveOccurred())
		g.Expect(isType(err, x.want)).To(BeTrue(), "status %d, header %q, body %q: got error type %T", x.status, x.header, x.body, err)
	}
	c := respondWith(t, 412, "", `{"error":"conflict","current":{"kind":"claims","name":"x","version":3,"value":1}}`)
	_, err := c.Delete(context.Background(), api.KindClaims, "x", Condition{Version: 2})
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("at version 3")))
}

// A write for which no connection was obtained, or whose value is over the limit, was
// certainly not applied.
func TestUnsentWriteIsNotApplied(t *testing.T) {
	g := NewWithT(t)
	free, err := loopback.NewPool().Reserve(1)
	g.Expect(err).NotTo(HaveOccurred())
	c := New(Options{URL: "http://" + free[0]})
	_, err = c.Put(context.Background(), api.KindClaims, "x", value, Condition{})
	var notApplied *NotAppliedError
	g.Expect(isType(err, &notApplied)).To(BeTrue(), "got error type %T", err)
	_, err = c.Put(context.Background(), api.KindClaims, "x", make([]byte, MaxValueBytes+1), Condition{})
	g.Expect(isType(err, &notApplied)).To(BeTrue(), "got error type %T", err)
}

// http.Transport may resend a request after a failure of a reused connection. A write
// whose response is lost this way must reach the service only once and be reported as
// unconfirmed.
func TestLostResponseIsUnconfirmedAndNotResent(t *testing.T) {
	for _, op := range []string{"put", "put empty", "delete"} {
		g := NewWithT(t)
		var writes atomic.Int32
		c := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				w.Write([]byte(`{"revision":1,"objects":[]}`))
				return
			}
			writes.Add(1)
			panic(http.ErrAbortHandler)
		})
		_, _, err := c.List(context.Background(), api.KindClaims)
		g.Expect(err).NotTo(HaveOccurred())
		switch op {
		case "put":
			_, err = c.Put(context.Background(), api.KindClaims, "x", value, Condition{})
		case "put empty":
			_, err = c.Put(context.Background(), api.KindClaims, "x", nil, Condition{})
		default:
			_, err = c.Delete(context.Background(), api.KindClaims, "x", Condition{})
		}
		var unconfirmed *UnconfirmedError
		g.Expect(isType(err, &unconfirmed)).To(BeTrue(), "%s: got error type %T", op, err)
		g.Expect(writes.Load()).To(Equal(int32(1)), op)
	}
}

func TestReads(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	_, err := respondWith(t, 404, "", ``).Get(ctx, api.KindClaims, "x")
	g.Expect(err).To(MatchError(ErrNotFound))
	_, err = respondWith(t, 410, "", ``).Watch(ctx, api.ConfigKinds, 1, time.Millisecond)
	g.Expect(err).To(MatchError(ErrCompacted))
	_, err = respondWith(t, 503, "Retry-After: 7", ``).Watch(ctx, api.ConfigKinds, 1, time.Millisecond)
	var read *ReadError
	g.Expect(isType(err, &read)).To(BeTrue(), "got error type %T", err)
	g.Expect(read.RetryAfter).To(Equal(7 * time.Second))
	_, err = respondWith(t, 200, "", strings.Repeat(" ", maxObjectBytes+1)).Get(ctx, api.KindClaims, "x")
	g.Expect(err).To(MatchError(ContainSubstring("over the limit")))
	objs, rev, err := respondWith(t, 200, "", `{"revision":9,"objects":[{"kind":"contracts","name":"a","version":8,"value":{}}]}`).List(ctx, api.KindContract)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rev).To(Equal(uint64(9)))
	g.Expect(objs).To(HaveLen(1))
}

func TestCallsAreCounted(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	c := respondWith(t, 404, "", ``)
	c.scope = scope
	c.Get(context.Background(), api.KindClaims, "x")
	counter := scope.Snapshot().Counters()["platform_calls+call=get,result=not_found"]
	g.Expect(counter).NotTo(BeNil())
	g.Expect(counter.Value()).To(Equal(int64(1)))
}

func isType(err error, target any) bool { return errors.As(err, target) }

// eraWire is the default protocol with eras and lists of several pages.
type eraWire struct{ defaultWire }

func (w eraWire) Encode(c Call) (Request, error) {
	r, err := w.defaultWire.Encode(c)
	if c.After != "" {
		r.Path += "?after=" + c.After
	}
	return r, err
}

func (w eraWire) Page(c Call, body []byte) (Page, error) {
	page, err := w.defaultWire.Page(c, body)
	var out struct {
		Next string `json:"next"`
	}
	_ = json.Unmarshal(body, &out)
	page.Next = out.Next
	return page, err
}

func (eraWire) Era(h http.Header) uint64 {
	era, _ := strconv.ParseUint(h.Get("Era"), 10, 64)
	return era
}

// Guards against a write that takes an object of a later era for that of an earlier one,
// whose version the store has given out again.
func TestConditionOnVersionOfAnEarlierEraIsNotSent(t *testing.T) {
	g := NewWithT(t)
	era, writes := "1", 0
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			writes++
		}
		w.Header().Set("Era", era)
		w.Write([]byte(`{"kind":"claims","name":"3","version":7,"value":{}}`))
	})
	c.wire = eraWire{}
	before, err := c.Get(t.Context(), "claims", "3")
	g.Expect(err).NotTo(HaveOccurred())
	era = "2"
	after, err := c.Get(t.Context(), "claims", "3")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.Version).To(BeNumerically(">", before.Version))
	_, err = c.Put(t.Context(), "claims", "3", json.RawMessage(`{}`), Condition{Version: before.Version})
	var notApplied *NotAppliedError
	g.Expect(errors.As(err, &notApplied)).To(BeTrue(), "error %v", err)
	g.Expect(writes).To(BeZero())
	_, err = c.Put(t.Context(), "claims", "3", json.RawMessage(`{}`), Condition{Version: after.Version})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writes).To(Equal(1))
}

// Guards against a list with pages of two copies of the store.
func TestListStartsAgainIfTheEraChanges(t *testing.T) {
	g := NewWithT(t)
	var after []string
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		after = append(after, r.URL.Query().Get("after"))
		w.Header().Set("Era", []string{"1", "2", "2", "2"}[len(after)-1])
		next := ""
		if len(after)%2 == 1 {
			next = "a"
		}
		fmt.Fprintf(w, `{"revision":9,"objects":[{"name":"o%d","version":1}],"next":%q}`, len(after), next)
	})
	c.wire = eraWire{}
	objects, asOf, err := c.List(t.Context(), "claims")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(asOf).To(Equal(revision.Join(2, 9)))
	g.Expect(after).To(Equal([]string{"", "a", "", "a"}))
	g.Expect(objects).To(HaveLen(2))
	g.Expect(objects[0].Name).To(Equal("o3"))
}

// Guards against events that get lost since one beside them cannot be decoded, and against a log
// that each read of an odd object fills.
func TestUndecodedElementsAreCountedAndEventsListedAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		array, element := "objects", `{"name":"odd","version":"x"}`
		if r.URL.Query().Has("since") {
			array, element = "events", `{"object":`+element+`}`
		}
		fmt.Fprintf(w, `{"revision":9,%q:[%s,%s]}`, array, element, strings.ReplaceAll(element, `"x"`, "7"))
	})
	scope := tally.NewTestScope("", nil)
	logger, hook := logtest.NewNullLogger()
	c.scope, c.logger = scope, logger.WithField("instance", "a")
	_, err := c.Watch(context.Background(), []api.Kind{api.KindContract}, 3, 0)
	g.Expect(err).To(MatchError(ErrCompacted))
	objects, _, err := c.List(context.Background(), api.KindContract)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objects).To(HaveLen(2))
	g.Expect(objects[0].Value).To(BeNil())
	g.Expect(objects[1].Version).To(Equal(uint64(7)))
	g.Expect(scope.Snapshot().Counters()["platform_undecoded_elements+"].Value()).To(Equal(int64(2)))
	g.Expect(hook.AllEntries()).To(HaveLen(1))
	g.Expect(hook.LastEntry().Data[logrus.ErrorKey]).To(MatchError(ContainSubstring(`object "odd"`)))
}
