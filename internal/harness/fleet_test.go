package harness_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/service"
)

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "harness")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

var _ = Describe("Fleet without routers", func() {
	var fleet *harness.Fleet

	BeforeEach(func(ctx context.Context) {
		binaries, err := harness.Build(ctx)
		Expect(err).NotTo(HaveOccurred())
		fleet, err = harness.Start(ctx, binaries, harness.Spec{
			UseRelays: true,
			Domains: []harness.Domain{{
				Name:     "a",
				Engines:  []harness.Engine{{Models: []string{"m"}, TokensPerSecond: 1000}},
				Services: []harness.Service{{Name: "orders"}},
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
	})

	It("lists its targets at the platform", func(ctx context.Context) {
		list, err := fleet.Platform.List(ctx, api.KindTarget)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Objects).To(HaveLen(2))
	})

	It("kills, restarts and freezes an engine at its address", func(ctx context.Context) {
		engine := fleet.Engines[0]
		req := harness.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: 3, Stream: true}
		complete := func() harness.Verdict {
			caller := harness.NewCaller(engine.Object.Address, "")
			defer caller.Close()
			return harness.CheckResponse(req, caller.Complete(ctx, req))
		}
		Expect(complete()).To(Equal(harness.VerdictCorrect))
		Expect(engine.Kill()).To(Succeed())
		Expect(complete()).To(Equal(harness.VerdictVisiblyTruncated))
		Expect(engine.Restart(ctx)).To(Succeed())
		Expect(complete()).To(Equal(harness.VerdictCorrect))
		engine.Freeze()
		done := make(chan harness.Verdict, 1)
		go func() { done <- complete() }()
		engine.Resume()
		Eventually(done).Should(Receive(Equal(harness.VerdictCorrect)))
	})

	It("keeps a service's record across a crash", func(ctx context.Context) {
		orders := fleet.Services[0]
		caller := harness.NewCaller(orders.Address, "")
		resp := caller.Do(ctx, "POST", "/", nil, []byte(service.CrashMarker(service.CrashDuringRun)))
		Expect(resp.Err).To(HaveOccurred())
		Eventually(orders.IsRunning).Should(BeFalse())
		Expect(orders.Runs()).To(HaveLen(1))
		Expect(orders.Restart(ctx)).To(Succeed())
		Expect(caller.Do(ctx, "POST", "/", nil, nil).Err).NotTo(HaveOccurred())
		Expect(orders.Runs()).To(HaveLen(2))
	})
})
