package answers_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

var _ = Describe("A partitioned failure domain", func() {
	It("is served by its own engine only, and by all engines after the partition", func(ctx context.Context) {
		domain := func(name string) harness.Domain {
			return harness.Domain{
				Name: name, Routers: 1,
				Engines: []harness.Engine{{Models: []string{"m"}, TokensPerSecond: 200, Concurrency: 2}},
			}
		}
		fleet := start(ctx, harness.Spec{UseRelays: true, Domains: []harness.Domain{domain("a"), domain("b")}})
		startedRequests := func(i int) uint64 {
			GinkgoHelper()
			stats, err := fleet.Engines[i].EngineStats(ctx)
			Expect(err).NotTo(HaveOccurred())
			return stats.Started
		}
		sendLoad := func(router, inFlight int) {
			GinkgoHelper()
			caller := fleet.Routers[router].Caller("ws")
			defer caller.Close()
			verdicts := make(chan harness.Verdict, inFlight)
			for range inFlight {
				go func() {
					req := harness.CompletionRequest{Model: "m", Prompt: "p" + engine.LengthMarker(40), Stream: true}
					verdicts <- harness.CheckResponse(req, caller.Complete(ctx, req))
				}()
			}
			for range inFlight {
				Eventually(verdicts, eventualTimeout).Should(Receive(Equal(harness.VerdictCorrect)))
			}
		}
		sendLoad(0, 12)
		Expect(startedRequests(1)).To(BeNumerically(">", 0), "requests must use the other domain's engine while the links work")

		fleet.Links.SetDomainRule("b", faultlink.Partition())
		Eventually(func() (string, error) {
			return fleet.CLI(ctx, fleet.Routers[0], "status")
		}, eventualTimeout).Should(ContainSubstring("1 routers answered"))
		before := startedRequests(0)
		sendLoad(1, 12)
		Expect(startedRequests(0)).To(Equal(before), "no request may cross the partition")

		fleet.Links.Clear()
		Eventually(func() uint64 {
			sendLoad(1, 12)
			return startedRequests(0)
		}, eventualTimeout).Should(BeNumerically(">", before))
	})
})
