package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine stand-in")
}

var _ = Describe("Engine", func() {
	var (
		e      *engine.Engine
		caller *harness.Caller
		exits  atomic.Int32
	)

	start := func(opts engine.Options) {
		opts.Models = []string{"m"}
		opts.Exit = func(int) { exits.Add(1) }
		e = engine.New(opts)
		web := httptest.NewServer(e)
		caller = harness.NewCaller(strings.TrimPrefix(web.URL, "http://"), "")
		DeferCleanup(func() {
			web.CloseClientConnections()
			e.Close()
			web.Close()
		})
	}
	newRequest := func(prompt, attempt string) harness.CompletionRequest {
		return harness.CompletionRequest{
			Model: "m", Prompt: prompt, MaxTokens: 5, Stream: true,
			Header: http.Header{"X-Request-Id": {attempt}},
		}
	}
	complete := func(req harness.CompletionRequest) harness.Response {
		return caller.Complete(context.Background(), req)
	}

	BeforeEach(func() {
		exits.Store(0)
		start(engine.Options{TokensPerSecond: 2000, Concurrency: 2})
	})

	DescribeTable("answers with the complete expected text", func(stream, chat bool) {
		req := newRequest("one two three", "r1")
		req.Stream, req.Chat = stream, chat
		got := complete(req)
		Expect(harness.CheckResponse(req, got)).To(Equal(harness.VerdictCorrect))
		Expect(got.Header.Get("X-Request-Id")).To(Equal("r1"))
		Expect(got.Usage.CompletionTokens).To(Equal(5))
	},
		Entry("whole completion", false, false),
		Entry("whole chat", false, true),
		Entry("streamed completion", true, false),
		Entry("streamed chat", true, true),
	)

	It("resumes a cut stream after any event", func() {
		e.SetFaults(engine.Faults{CutEvery: 1, CutAfter: 2})
		req := newRequest("p", "r1")
		got := complete(req)
		Expect(harness.CheckResponse(req, got)).To(Equal(harness.VerdictVisiblyTruncated))
		Expect(got.Events).To(Equal(2))
		rest := caller.Do(context.Background(), http.MethodGet, "/v1/streams/r1", http.Header{"Last-Event-Id": {"2"}}, nil)
		Expect(rest.HasEndMarker).To(BeTrue())
		Expect(got.Text + rest.Text).To(Equal(req.ExpectedText()))
		e.SetFaults(engine.Faults{RefuseResume: true})
		rest = caller.Do(context.Background(), http.MethodGet, "/v1/streams/r1", http.Header{"Last-Event-Id": {"2"}}, nil)
		Expect(rest.Status).To(Equal(http.StatusNotFound))
	})

	It("cancels a running and a waiting request", func() {
		for _, attempt := range []string{"r1", "r2", "r3"} {
			go complete(newRequest(engine.LengthMarker(100000), attempt))
		}
		Eventually(func() int { return e.Stats().Waiting }).Should(Equal(1))
		for _, attempt := range []string{"r1", "r2", "r3"} {
			got := caller.Do(context.Background(), http.MethodDelete, "/v1/streams/"+attempt, nil, nil)
			Expect(got.Status).To(Equal(http.StatusNoContent))
		}
		Eventually(func() int { return e.Stats().Running }).Should(Equal(0))
		Expect(e.Stats().Canceled).To(BeEquivalentTo(3))
	})

	It("completes a run after its caller has disconnected", func() {
		req := newRequest("p", "r1")
		req.OnEvent = func(int, string) bool { return false }
		complete(req)
		Eventually(func() uint64 { return e.Stats().Completed }).Should(BeEquivalentTo(1))
	})

	DescribeTable("applies the faults to responses", func(faults engine.Faults, want harness.Verdict) {
		e.SetFaults(faults)
		complete(newRequest("other", "r1"))
		for attempt, stream := range map[string]bool{"r2": true, "r3": false} {
			req := newRequest(attempt, attempt)
			req.Stream = stream
			Expect(harness.CheckResponse(req, complete(req))).To(Equal(want))
		}
	},
		Entry("delayed", engine.Faults{DelayEvery: 1, DelayMS: 5}, harness.VerdictCorrect),
		Entry("cut", engine.Faults{CutEvery: 1, CutAfter: 3}, harness.VerdictVisiblyTruncated),
		Entry("crossed", engine.Faults{CrossEvery: 1}, harness.VerdictWrong),
		Entry("crossed body", engine.Faults{CrossEvery: 1, CrossBody: true}, harness.VerdictWrong),
		Entry("failed", engine.Faults{FailEvery: 1}, harness.VerdictWrong),
	)

	It("ends responses early without an error, streams without the end marker", func() {
		e.SetFaults(engine.Faults{TruncateEvery: 1, CutAfter: 2})
		req := newRequest("p", "r1")
		Expect(harness.CheckResponse(req, complete(req))).To(Equal(harness.VerdictVisiblyTruncated))
		req = newRequest("p", "r2")
		req.Stream = false
		Expect(harness.CheckResponse(req, complete(req))).To(Equal(harness.VerdictSilentlyTruncated))
	})

	It("refuses before running", func() {
		e.SetFaults(engine.Faults{RefuseEvery: 1})
		refused := complete(newRequest("p", "r1"))
		Expect(refused.Status).To(Equal(http.StatusTooManyRequests))
		Expect(refused.Header.Get("X-Request-Id")).To(Equal("r1"))
		Expect(e.Stats().Started).To(BeZero())
	})

	It("resumes responses after a freeze", func() {
		e.SetFaults(engine.Faults{Freeze: true})
		done := make(chan harness.Response, 1)
		go func() { done <- complete(newRequest("p", "r1")) }()
		Consistently(done, 30*time.Millisecond).ShouldNot(Receive())
		e.SetFaults(engine.Faults{})
		Eventually(done).Should(Receive(HaveField("HasEndMarker", true)))
	})

	It("exits on a request with the crash marker", func() {
		complete(newRequest(engine.CrashMarker, "r1"))
		Expect(exits.Load()).To(BeNumerically(">", 0))
	})

	It("counts units by tag and has a shorter prefill for cached prompts", func() {
		start(engine.Options{TokensPerSecond: 2000, PromptTokensPerSecond: 1000, CacheBlocks: 10})
		prompt := engine.TagMarker("ws") + strings.Repeat(" w", 99)
		first := complete(newRequest(prompt, "r1"))
		second := complete(newRequest(prompt, "r2"))
		Expect(second.TimeToFirstByte).To(BeNumerically("<", first.TimeToFirstByte))
		Expect(e.Stats().UnitsByTag).To(Equal(map[string]uint64{"ws": 210}))
	})

	It("reports its load with a delay", func() {
		start(engine.Options{TokensPerSecond: 10, LoadLag: 20 * time.Millisecond})
		go complete(newRequest("p", "r1"))
		Eventually(func() string {
			return string(caller.Do(context.Background(), http.MethodGet, "/load", nil, nil).Body)
		}).Should(HavePrefix(`{"running":1,"waiting":0,"at_ms":`))
	})
})
