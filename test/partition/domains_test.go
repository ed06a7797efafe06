package partition_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

var _ = Describe("A failure domain", Ordered, func() {
	AfterEach(heal)

	It("partitioned from the others serves its callers, runs once-only work and applies new configuration", func(ctx context.Context) {
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		waitLinked(domainA...)
		waitLinked(domainB...)
		expectServes(ctx, fleet.Routers...)
		putContract(ctx, "w1", 3)
		waitRevision(newestRevision(ctx), fleet.Routers...)
		for _, r := range fleet.Routers {
			Eventually(func() outcome.Outcome { return order(ctx, r, "cut-others-"+r.ID).Outcome() }).
				WithTimeout(eventualTimeout).Should(Equal(outcome.Done))
			Expect(runs("cut-others-" + r.ID)).To(Equal(1))
		}
		// The same key sent on both sides of the partition runs once.
		Expect(order(ctx, domainA[0], "both-sides").Outcome()).To(Equal(outcome.Done))
		_ = order(ctx, domainB[0], "both-sides")
		Expect(runs("both-sides")).To(Equal(1))
		heal()
		expectPermitsWithinConcurrency()
		expectServes(ctx, fleet.Routers...)
	})

	It("partitioned from the platform gets configuration from its peers and refuses once-only work", func(ctx context.Context) {
		for _, r := range domainA {
			fleet.Links.SetPlatformRule(r, faultlink.Partition())
		}
		putContract(ctx, "w2", 2)
		waitRevision(newestRevision(ctx), fleet.Routers...)
		expectServes(ctx, domainA...)
		Eventually(func(g Gomega) {
			g.Expect(ownStatus(g, domainA[0]).Platform.Up).To(BeFalse())
		}).WithTimeout(eventualTimeout).Should(Succeed())
		expectRefusedNotRun(order(ctx, domainA[0], "no-platform"))
		Expect(runs("no-platform")).To(BeZero())
		heal()
		Eventually(func() outcome.Outcome { return order(ctx, domainA[0], "no-platform").Outcome() }).
			WithTimeout(eventualTimeout).Should(Equal(outcome.Done))
		Expect(runs("no-platform")).To(Equal(1))
	})

	It("partitioned from both continues with its last configuration and catches up afterwards", func(ctx context.Context) {
		before := ownStatus(Default, domainA[0]).Revision
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		for _, r := range domainA {
			fleet.Links.SetPlatformRule(r, faultlink.Partition())
		}
		waitLinked(domainA...)
		putContract(ctx, "w2", 5)
		newest := newestRevision(ctx)
		waitRevision(newest, domainB...)
		expectServes(ctx, domainA...)
		expectRefusedNotRun(order(ctx, domainA[1], "alone"))
		Expect(ownStatus(Default, domainA[0]).Revision).To(Equal(before))
		fleet.Links.Clear()
		waitRevision(newest, domainA...)
		heal()
		expectPermitsWithinConcurrency()
	})

	DescribeTable("whose links carry bytes in one direction only is treated as partitioned",
		func(ctx context.Context, rule faultlink.Rule) {
			fleet.Links.SetDomainRule("a", rule)
			waitLinked(domainA...)
			waitLinked(domainB...)
			expectServes(ctx, fleet.Routers...)
			heal()
			expectPermitsWithinConcurrency()
			expectServes(ctx, fleet.Routers...)
		},
		Entry("outbound bytes held back", faultlink.Rule{Forward: faultlink.Impairment{Hold: true}}),
		Entry("inbound bytes held back", faultlink.Rule{Backward: faultlink.Impairment{Hold: true}}),
	)

	It("shares the quarantine of a request that crashes targets with the other domains", func(ctx context.Context) {
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		waitLinked(domainA...)
		waitLinked(domainB...)
		poison := harness.CompletionRequest{Model: model, Prompt: "bad " + engine.CrashMarker, MaxTokens: 5}
		crashes := 0
		restartCrashed := func() {
			for _, e := range fleet.Engines {
				if _, err := e.Wait(exitPoll); err == nil {
					crashes++
					Expect(e.Restart(ctx)).To(Succeed())
				}
			}
		}
		caller := domainA[0].Caller("w1")
		defer caller.Close()
		Eventually(func(g Gomega) {
			resp := caller.Complete(ctx, poison)
			restartCrashed()
			g.Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
			g.Expect(resp.Refusal.Code).To(Equal(outcome.CodeQuarantined))
		}).WithTimeout(eventualTimeout).Should(Succeed())
		heal()
		// Messages that the partition held back arrive now, and may crash targets.
		restartCrashed()
		GinkgoWriter.Println("crashes:", crashes)
		Expect(crashes).To(BeNumerically("<=", 2+len(domainA)))
		other := domainB[1].Caller("w1")
		defer other.Close()
		Eventually(func(g Gomega) {
			g.Expect(ownStatus(g, domainB[1]).Conditions).To(ContainElement(HaveField("Type", BeEquivalentTo("requests-quarantined"))))
		}).WithTimeout(eventualTimeout).Should(Succeed())
		resp := other.Complete(ctx, poison)
		Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
		Expect(resp.Refusal.Code).To(Equal(outcome.CodeQuarantined))
		Expect(resp.Status).NotTo(Equal(http.StatusOK))
		for _, e := range fleet.Engines {
			_, err := e.Wait(exitPoll)
			Expect(err).To(HaveOccurred(), "%s crashed", e.Name)
		}
		expectServes(ctx, fleet.Routers...)
	})
})

// exitPoll is how long the specs wait to observe the exit of a process.
const exitPoll = 200 * time.Millisecond

// startFlood keeps parallel requests of a workspace at a router until stop is called
// or ctx ends.
func startFlood(ctx context.Context, r *harness.Router, workspace string, parallel int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	caller := r.Caller(workspace)
	ended := make(chan struct{}, parallel)
	for range parallel {
		go func() {
			defer func() { ended <- struct{}{} }()
			for ctx.Err() == nil {
				caller.Complete(ctx, harness.CompletionRequest{Model: model, Prompt: "flood", MaxTokens: 20})
			}
		}()
	}
	return func() {
		cancel()
		for range parallel {
			<-ended
		}
		caller.Close()
	}
}

const (
	// partitionDuration is how long one side of the partition serves a workspace
	// that has no requests on the other side.
	partitionDuration = 5 * time.Second
	// convergeTimeout is the deadline for the routers to agree after the partition:
	// 20 report intervals. Without reports the routers converge too, but later.
	convergeTimeout = 20 * reportMS * time.Millisecond
	// requestUnits is the work of one request, in units.
	requestUnits = 40
	// poolRate is the capacity of both engines, in units per second.
	poolRate = 2 * concurrency * tokenRate
	// maxSpread bounds how far routers may disagree on the service of a workspace,
	// in units: twice the sum of the work in flight and the work of one report
	// interval.
	maxSpread = 2 * (2*concurrency*requestUnits + poolRate*reportMS/1000)
)

var _ = Describe("Service accounts", Ordered, func() {
	AfterEach(heal)

	It("diverge during a partition and converge after it", func(ctx context.Context) {
		putContract(ctx, "w3", 1)
		waitRevision(newestRevision(ctx), fleet.Routers...)
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		waitLinked(domainA...)
		waitLinked(domainB...)
		// Only one side of the partition gets requests of w3.
		stop := startFlood(ctx, domainA[0], "w3", 3*concurrency)
		time.Sleep(partitionDuration)
		stop()
		for _, r := range []*harness.Router{domainA[0], domainB[0]} {
			for _, workspace := range []string{"w1", "w2", "w3"} {
				defer startFlood(ctx, r, workspace, 3*concurrency)()
			}
		}
		Eventually(func(g Gomega) { g.Expect(spread(g, "w3")).To(BeNumerically(">", 4*maxSpread)) }).
			WithTimeout(eventualTimeout).Should(Succeed())
		before := spread(Default, "w3")
		heal()
		GinkgoWriter.Println("spread during the partition:", before, "and after it:", spread(Default, "w3"))
		agree := func(g Gomega) { g.Expect(spread(g, "w3")).To(BeNumerically("<=", maxSpread)) }
		Eventually(agree).WithTimeout(convergeTimeout).Should(Succeed())
		Consistently(agree).WithTimeout(convergeTimeout / 2).WithPolling(50 * time.Millisecond).Should(Succeed())
		GinkgoWriter.Println("spread after convergence:", spread(Default, "w3"), "bound", maxSpread)
	})
})

// spread returns the difference, in units, between the service of a workspace as
// counted by the first router of each domain. The workspace must have requests
// waiting at both.
func spread(g Gomega, workspace string) float64 {
	GinkgoHelper()
	var units []float64
	for _, r := range []*harness.Router{domainA[0], domainB[0]} {
		for _, w := range ownStatus(g, r).Workspaces {
			if w.Workspace == workspace {
				units = append(units, w.Units)
			}
		}
	}
	g.Expect(units).To(HaveLen(2))
	return max(units[0], units[1]) - min(units[0], units[1])
}
