// Package answers_test checks that every response is complete and belongs to
// its request, or that the caller can recognize that it does not.
package answers_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/bench"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

const (
	seed     = 1
	requests = 600
	// eventualTimeout is a generous deadline for conditions that must become true.
	eventualTimeout = 20 * time.Second
)

func TestAnswers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answers")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

// start starts a fleet with a contract for the workspace "ws".
func start(ctx context.Context, spec harness.Spec) *harness.Fleet {
	GinkgoHelper()
	fleet := proctest.Start(ctx, spec)
	Expect(fleet.ApplyContract(ctx, harness.Contract("ws", 1))).To(Succeed())
	return fleet
}

// singleEngines is the number of engines in the fleet that the single-engine specs
// share. Each spec uses an engine of its own, with a model that no other engine
// serves.
const singleEngines = 27

var _ = Describe("A single engine", Ordered, ContinueOnFailure, func() {
	var (
		fleet      *harness.Fleet
		caller     *harness.Caller
		nextEngine int
		target     *harness.Target
		model      string
	)

	BeforeAll(func(ctx context.Context) {
		domain := harness.Domain{Name: "a", Routers: 1}
		for i := range singleEngines {
			domain.Engines = append(domain.Engines, harness.Engine{
				Models: []string{fmt.Sprint("m", i)}, TokensPerSecond: 200,
			})
		}
		fleet = start(ctx, harness.Spec{
			Domains:      []harness.Domain{domain},
			EditSettings: func(s *settings.Settings) { s.Targets.StallMS = 500 },
		})
		caller = fleet.Routers[0].Caller("ws")
		DeferCleanup(caller.Close)
	})

	BeforeEach(func() {
		target = fleet.Engines[nextEngine]
		model = target.Object.Models[0]
		nextEngine++
	})

	newRequest := func(stream, chat bool) harness.CompletionRequest {
		return harness.CompletionRequest{Model: model, Prompt: "how much ice", MaxTokens: 20, Stream: stream, Chat: chat}
	}

	DescribeTable("gives complete responses", func(ctx context.Context, stream, chat bool) {
		req := newRequest(stream, chat)
		resp := caller.Complete(ctx, req)
		Expect(harness.CheckResponse(req, resp)).To(Equal(harness.VerdictCorrect), "%+v", resp)
		Expect(resp.RequestID()).NotTo(BeEmpty())
		Expect(resp.Usage).To(HaveField("CompletionTokens", 20))
	},
		Entry("completion", false, false),
		Entry("chat", false, true),
		Entry("streamed completion", true, false),
		Entry("streamed chat", true, true),
	)

	DescribeTable("resumes an interrupted stream", func(ctx context.Context, faults engine.Faults) {
		Expect(target.SetFaults(ctx, faults)).To(Succeed())
		for _, chat := range []bool{false, true} {
			req := newRequest(true, chat)
			resp := caller.Complete(ctx, req)
			Expect(harness.CheckResponse(req, resp)).To(Equal(harness.VerdictCorrect), "%+v", resp)
		}
		Expect(target.EngineStats(ctx)).To(And(HaveField("Resumed", BeEquivalentTo(2)), HaveField("Started", BeEquivalentTo(2))))
	},
		Entry("connection closed before the first event", engine.Faults{CutEvery: 1}),
		Entry("connection closed", engine.Faults{CutEvery: 1, CutAfter: 7}),
		Entry("connection closed before the end marker", engine.Faults{CutEvery: 1, CutAfter: 21}),
		Entry("ended as if complete", engine.Faults{TruncateEvery: 1, CutAfter: 7}),
		Entry("ended as if complete after the usage", engine.Faults{TruncateEvery: 1, CutAfter: 21}),
	)

	DescribeTable("never forwards a wrong or truncated response as complete",
		func(ctx context.Context, stream bool, faults engine.Faults) {
			other := harness.CompletionRequest{Model: model, Prompt: "another request", MaxTokens: 20}
			Expect(harness.CheckResponse(other, caller.Complete(ctx, other))).To(Equal(harness.VerdictCorrect))
			Expect(target.SetFaults(ctx, faults)).To(Succeed())
			req := newRequest(stream, false)
			resp := caller.Complete(ctx, req)
			Expect(harness.CheckResponse(req, resp)).To(BeElementOf(harness.VerdictVisiblyTruncated, harness.VerdictRefused), "%+v", resp)
			if resp.Refusal != nil {
				Expect(resp.Refusal.Outcome).To(Equal(outcome.Unknown))
			}
		},
		Entry("non-resumable stream closed", true, engine.Faults{CutEvery: 1, CutAfter: 7, RefuseResume: true}),
		Entry("non-resumable stream ended", true, engine.Faults{TruncateEvery: 1, CutAfter: 7, RefuseResume: true}),
		Entry("stream of another request", true, engine.Faults{CrossEvery: 1, RefuseResume: true}),
		Entry("stream of another request with the right header", true, engine.Faults{CrossEvery: 1, CrossBody: true, RefuseResume: true}),
		Entry("stream that switches to another request", true, engine.Faults{CrossEvery: 1, CrossAfter: 7, RefuseResume: true}),
		Entry("response truncated", false, engine.Faults{CutEvery: 1}),
		Entry("response ended early", false, engine.Faults{TruncateEvery: 1}),
		Entry("response of another request", false, engine.Faults{CrossEvery: 1}),
		Entry("response of another request with the right header", false, engine.Faults{CrossEvery: 1, CrossBody: true}),
	)

	It("does not accept the end marker of another, shorter stream as its own", func(ctx context.Context) {
		shorter := harness.CompletionRequest{Model: model, Prompt: "another request", MaxTokens: 5, Stream: true}
		Expect(harness.CheckResponse(shorter, caller.Complete(ctx, shorter))).To(Equal(harness.VerdictCorrect))
		Expect(target.SetFaults(ctx, engine.Faults{CrossEvery: 1, CrossAfter: 6})).To(Succeed())
		req := newRequest(true, false)
		resp := caller.Complete(ctx, req)
		Expect(harness.CheckResponse(req, resp)).To(Equal(harness.VerdictCorrect), "%+v", resp)
	})

	It("forwards a delayed response", func(ctx context.Context) {
		Expect(target.SetFaults(ctx, engine.Faults{DelayEvery: 1, DelayMS: 200})).To(Succeed())
		for _, stream := range []bool{false, true} {
			req := newRequest(stream, false)
			Expect(harness.CheckResponse(req, caller.Complete(ctx, req))).To(Equal(harness.VerdictCorrect))
		}
	})

	It("reports that a request refused by the engine did not run", func(ctx context.Context) {
		Expect(target.SetFaults(ctx, engine.Faults{RefuseEvery: 1})).To(Succeed())
		callCtx, cancel := context.WithTimeout(ctx, eventualTimeout)
		defer cancel()
		req := newRequest(false, false)
		req.Header = http.Header{"Umberhill-Timeout-Ms": {"1000"}}
		resp := caller.Complete(callCtx, req)
		Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
		Expect(resp.Refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(target.EngineStats(ctx)).To(HaveField("Started", BeEquivalentTo(0)))
	})

	It("ends the stream visibly incomplete when the engine exits", func(ctx context.Context) {
		req := newRequest(true, false)
		req.Prompt += engine.CrashAfterMarker(5)
		resp := caller.Complete(ctx, req)
		Expect(harness.CheckResponse(req, resp)).To(BeElementOf(harness.VerdictVisiblyTruncated, harness.VerdictRefused), "%+v", resp)
	})

	DescribeTable("cancels the request of a caller that disconnected", func(ctx context.Context, faults engine.Faults, stream bool) {
		Expect(target.SetFaults(ctx, faults)).To(Succeed())
		req := newRequest(stream, false)
		req.Prompt += engine.LengthMarker(100_000)
		callCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			caller.Complete(callCtx, req)
		}()
		Eventually(func() (engine.Stats, error) { return target.EngineStats(ctx) }, eventualTimeout).
			Should(HaveField("Running", 1))
		cancel()
		Eventually(done, eventualTimeout).Should(BeClosed())
		Eventually(func() (engine.Stats, error) { return target.EngineStats(ctx) }, eventualTimeout).
			Should(And(HaveField("Running", 0), HaveField("Canceled", BeEquivalentTo(1))))
	},
		Entry("streamed", engine.Faults{}, true),
		Entry("not streamed", engine.Faults{}, false),
		Entry("delayed", engine.Faults{DelayEvery: 1, DelayMS: 300}, true),
	)
})

var _ = Describe("A fleet with faults", func() {
	It("gives no caller a wrong or silently truncated response", func(ctx context.Context) {
		fleet := start(ctx, bench.AnswersFleet())
		result, err := bench.RunAnswers(ctx, fleet, seed, requests, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Examples()).To(BeEmpty())
		Expect(result.Wrong.Load()).To(BeZero())
		Expect(result.SilentlyTruncated.Load()).To(BeZero())
		Expect(result.TimedOut.Load()).To(BeZero())
		Expect(result.StillRunning).To(BeZero(), "requests still running at the engines")
		Expect(result.Correct.Load()).To(BeNumerically(">", requests/2))
	})
})
