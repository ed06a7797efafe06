package answers_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

var _ = Describe("A failure domain that is cut off", func() {
	It("is served by its own engine alone, and by all again after", func(ctx context.Context) {
		domain := func(name string) harness.Domain {
			return harness.Domain{
				Name: name, Routers: 1,
				Engines: []harness.Engine{{Models: []string{"m"}, TokensPerSecond: 200, Concurrency: 2}},
			}
		}
		fleet := start(ctx, harness.Spec{UseRelays: true, Domains: []harness.Domain{domain("a"), domain("b")}})
		started := func(i int) uint64 {
			GinkgoHelper()
			stats, err := fleet.Engines[i].EngineStats(ctx)
			Expect(err).NotTo(HaveOccurred())
			return stats.Started
		}
		load := func(router, inFlight int) {
			GinkgoHelper()
			caller := fleet.Routers[router].Caller("ws")
			defer caller.Close()
			verdicts := make(chan harness.Verdict, inFlight)
			for range inFlight {
				go func() {
					ask := harness.CompletionRequest{Model: "m", Prompt: "p" + engine.LengthMarker(40), Stream: true}
					verdicts <- harness.CheckResponse(ask, caller.Complete(ctx, ask))
				}()
			}
			for range inFlight {
				Eventually(verdicts, patience).Should(Receive(Equal(harness.VerdictCorrect)))
			}
		}
		load(0, 12)
		Expect(started(1)).To(BeNumerically(">", 0), "work spills while the links are whole")

		fleet.Links.SetDomainRule("b", faultlink.Partition())
		Eventually(func() (string, error) {
			return fleet.CLI(ctx, fleet.Routers[0], "status")
		}, patience).Should(ContainSubstring("1 routers answered"))
		before := started(0)
		load(1, 12)
		Expect(started(0)).To(Equal(before), "no work crosses the cut")

		fleet.Links.Clear()
		Eventually(func() uint64 {
			load(1, 12)
			return started(0)
		}, patience).Should(BeNumerically(">", before))
	})
})
