// Package answers_test proves that an answer is whole and its own request's, or that
// its caller sees that it is not.
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
	// patience is a generous limit for things that must happen at all.
	patience = 20 * time.Second
)

func TestAnswers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "answers")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

// start starts a fleet with a contract for "ws".
func start(ctx context.Context, spec harness.Spec) *harness.Fleet {
	GinkgoHelper()
	fleet := proctest.Start(ctx, spec)
	Expect(fleet.ApplyContract(ctx, harness.Contract("ws", 1))).To(Succeed())
	return fleet
}

// engines of the fleet shared by the specs of one engine; each takes one for
// itself, with a model of its own.
const engines = 27

var _ = Describe("One engine", Ordered, ContinueOnFailure, func() {
	var (
		fleet  *harness.Fleet
		caller *harness.Caller
		taken  int
		target *harness.Target
		model  string
	)

	BeforeAll(func(ctx context.Context) {
		domain := harness.Domain{Name: "a", Routers: 1}
		for i := range engines {
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
		target = fleet.Engines[taken]
		model = target.Object.Models[0]
		taken++
	})

	ask := func(stream, chat bool) harness.CompletionRequest {
		return harness.CompletionRequest{Model: model, Prompt: "how much ice", MaxTokens: 20, Stream: stream, Chat: chat}
	}

	DescribeTable("answers whole", func(ctx context.Context, stream, chat bool) {
		a := ask(stream, chat)
		answer := caller.Complete(ctx, a)
		Expect(harness.CheckResponse(a, answer)).To(Equal(harness.VerdictCorrect), "%+v", answer)
		Expect(answer.RequestID()).NotTo(BeEmpty())
		Expect(answer.Usage).To(HaveField("CompletionTokens", 20))
	},
		Entry("completion", false, false),
		Entry("chat", false, true),
		Entry("streamed completion", true, false),
		Entry("streamed chat", true, true),
	)

	DescribeTable("resumes a stream that stopped", func(ctx context.Context, faults engine.Faults) {
		Expect(target.SetFaults(ctx, faults)).To(Succeed())
		for _, chat := range []bool{false, true} {
			a := ask(true, chat)
			answer := caller.Complete(ctx, a)
			Expect(harness.CheckResponse(a, answer)).To(Equal(harness.VerdictCorrect), "%+v", answer)
		}
		Expect(target.EngineStats(ctx)).To(And(HaveField("Resumed", BeEquivalentTo(2)), HaveField("Started", BeEquivalentTo(2))))
	},
		Entry("cut before the first event", engine.Faults{CutEvery: 1}),
		Entry("cut", engine.Faults{CutEvery: 1, CutAfter: 7}),
		Entry("cut before the end marker", engine.Faults{CutEvery: 1, CutAfter: 21}),
		Entry("ended as if whole", engine.Faults{EndEvery: 1, CutAfter: 7}),
		Entry("ended as if whole after the usage", engine.Faults{EndEvery: 1, CutAfter: 21}),
	)

	DescribeTable("never passes a wrong or short answer on as whole",
		func(ctx context.Context, stream bool, faults engine.Faults) {
			before := harness.CompletionRequest{Model: model, Prompt: "another request", MaxTokens: 20}
			Expect(harness.CheckResponse(before, caller.Complete(ctx, before))).To(Equal(harness.VerdictCorrect))
			Expect(target.SetFaults(ctx, faults)).To(Succeed())
			a := ask(stream, false)
			answer := caller.Complete(ctx, a)
			Expect(harness.CheckResponse(a, answer)).To(BeElementOf(harness.VerdictVisiblyTruncated, harness.VerdictRefused), "%+v", answer)
			if answer.Refusal != nil {
				Expect(answer.Refusal.Outcome).To(Equal(outcome.Unknown))
			}
		},
		Entry("stream cut for good", true, engine.Faults{CutEvery: 1, CutAfter: 7, Forget: true}),
		Entry("stream ended for good", true, engine.Faults{EndEvery: 1, CutAfter: 7, Forget: true}),
		Entry("stream crossed", true, engine.Faults{CrossEvery: 1, Forget: true}),
		Entry("stream crossed behind a right header", true, engine.Faults{CrossEvery: 1, CrossBody: true, Forget: true}),
		Entry("stream crossed midway", true, engine.Faults{CrossEvery: 1, CrossAfter: 7, Forget: true}),
		Entry("answer cut", false, engine.Faults{CutEvery: 1}),
		Entry("answer ended early", false, engine.Faults{EndEvery: 1}),
		Entry("answer crossed", false, engine.Faults{CrossEvery: 1}),
		Entry("answer crossed behind a right header", false, engine.Faults{CrossEvery: 1, CrossBody: true}),
	)

	It("doesn't take the end marker of a shorter stream for its own", func(ctx context.Context) {
		shorter := harness.CompletionRequest{Model: model, Prompt: "another request", MaxTokens: 5, Stream: true}
		Expect(harness.CheckResponse(shorter, caller.Complete(ctx, shorter))).To(Equal(harness.VerdictCorrect))
		Expect(target.SetFaults(ctx, engine.Faults{CrossEvery: 1, CrossAfter: 6})).To(Succeed())
		a := ask(true, false)
		answer := caller.Complete(ctx, a)
		Expect(harness.CheckResponse(a, answer)).To(Equal(harness.VerdictCorrect), "%+v", answer)
	})

	It("passes a late answer on", func(ctx context.Context) {
		Expect(target.SetFaults(ctx, engine.Faults{LateEvery: 1, LateMS: 200})).To(Succeed())
		for _, stream := range []bool{false, true} {
			a := ask(stream, false)
			Expect(harness.CheckResponse(a, caller.Complete(ctx, a))).To(Equal(harness.VerdictCorrect))
		}
	})

	It("says that a request which the engine refused did not run", func(ctx context.Context) {
		Expect(target.SetFaults(ctx, engine.Faults{RefuseEvery: 1})).To(Succeed())
		callCtx, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		a := ask(false, false)
		a.Header = http.Header{"Umberhill-Timeout-Ms": {"1000"}}
		answer := caller.Complete(callCtx, a)
		Expect(answer.Refusal).NotTo(BeNil(), "%+v", answer)
		Expect(answer.Refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(target.EngineStats(ctx)).To(HaveField("Started", BeEquivalentTo(0)))
	})

	It("breaks the stream visibly when the engine dies", func(ctx context.Context) {
		a := ask(true, false)
		a.Prompt += engine.CrashAfterMarker(5)
		answer := caller.Complete(ctx, a)
		Expect(harness.CheckResponse(a, answer)).To(BeElementOf(harness.VerdictVisiblyTruncated, harness.VerdictRefused), "%+v", answer)
	})

	DescribeTable("cancels the work of a caller that left", func(ctx context.Context, faults engine.Faults, stream bool) {
		Expect(target.SetFaults(ctx, faults)).To(Succeed())
		a := ask(stream, false)
		a.Prompt += engine.LengthMarker(100_000)
		callCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			caller.Complete(callCtx, a)
		}()
		Eventually(func() (engine.Stats, error) { return target.EngineStats(ctx) }, patience).
			Should(HaveField("Running", 1))
		cancel()
		Eventually(done, patience).Should(BeClosed())
		Eventually(func() (engine.Stats, error) { return target.EngineStats(ctx) }, patience).
			Should(And(HaveField("Running", 0), HaveField("Cancelled", BeEquivalentTo(1))))
	},
		Entry("streamed", engine.Faults{}, true),
		Entry("whole", engine.Faults{}, false),
		Entry("late", engine.Faults{LateEvery: 1, LateMS: 300}, true),
	)
})

var _ = Describe("A fleet with faults", func() {
	It("gives no caller a wrong or silently cut answer", func(ctx context.Context) {
		fleet := start(ctx, bench.AnswersFleet())
		result, err := bench.RunAnswers(ctx, fleet, seed, requests, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Examples()).To(BeEmpty())
		Expect(result.Wrong.Load()).To(BeZero())
		Expect(result.SilentlyTruncated.Load()).To(BeZero())
		Expect(result.TimedOut.Load()).To(BeZero())
		Expect(result.StillRunning).To(BeZero(), "requests left running at the engines")
		Expect(result.Correct.Load()).To(BeNumerically(">", requests/2))
	})
})
