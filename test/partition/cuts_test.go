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
	AfterEach(healed)

	It("cut from the others serves its own, once-only work and new configuration included", func(ctx context.Context) {
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		linked(a...)
		linked(b...)
		serves(ctx, fleet.Routers...)
		change(ctx, "w1", 3)
		holds(revision(ctx), fleet.Routers...)
		for _, r := range fleet.Routers {
			Eventually(func() outcome.Outcome { return order(ctx, r, "cut-others-"+r.ID).Outcome() }).
				WithTimeout(patience).Should(Equal(outcome.Done))
			Expect(runs("cut-others-" + r.ID)).To(Equal(1))
		}
		// The same key on both sides runs once.
		Expect(order(ctx, a[0], "both-sides").Outcome()).To(Equal(outcome.Done))
		_ = order(ctx, b[0], "both-sides")
		Expect(runs("both-sides")).To(Equal(1))
		healed()
		permitsWithin()
		serves(ctx, fleet.Routers...)
	})

	It("cut from the platform gets configuration from its peers and refuses once-only work", func(ctx context.Context) {
		for _, r := range a {
			fleet.Links.SetPlatformRule(r, faultlink.Partition())
		}
		change(ctx, "w2", 2)
		holds(revision(ctx), fleet.Routers...)
		serves(ctx, a...)
		Eventually(func(g Gomega) {
			g.Expect(own(g, a[0]).Platform.Up).To(BeFalse())
		}).WithTimeout(patience).Should(Succeed())
		refusedNotRun(order(ctx, a[0], "no-platform"))
		Expect(runs("no-platform")).To(BeZero())
		healed()
		Eventually(func() outcome.Outcome { return order(ctx, a[0], "no-platform").Outcome() }).
			WithTimeout(patience).Should(Equal(outcome.Done))
		Expect(runs("no-platform")).To(Equal(1))
	})

	It("cut from both goes on with its last configuration and catches up after", func(ctx context.Context) {
		before := own(Default, a[0]).Revision
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		for _, r := range a {
			fleet.Links.SetPlatformRule(r, faultlink.Partition())
		}
		linked(a...)
		change(ctx, "w2", 5)
		newest := revision(ctx)
		holds(newest, b...)
		serves(ctx, a...)
		refusedNotRun(order(ctx, a[1], "alone"))
		Expect(own(Default, a[0]).Revision).To(Equal(before))
		fleet.Links.Clear()
		holds(newest, a...)
		healed()
		permitsWithin()
	})

	DescribeTable("whose bytes pass one way only is treated as cut",
		func(ctx context.Context, rule faultlink.Rule) {
			fleet.Links.SetDomainRule("a", rule)
			linked(a...)
			linked(b...)
			serves(ctx, fleet.Routers...)
			healed()
			permitsWithin()
			serves(ctx, fleet.Routers...)
		},
		Entry("outwards held", faultlink.Rule{Forward: faultlink.Impairment{Hold: true}}),
		Entry("inwards held", faultlink.Rule{Backward: faultlink.Impairment{Hold: true}}),
	)

	It("tells the others of a request that crashes targets", func(ctx context.Context) {
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		linked(a...)
		linked(b...)
		poison := harness.CompletionRequest{Model: model, Prompt: "bad " + engine.CrashMarker, MaxTokens: 5}
		crashes := 0
		revive := func() {
			for _, e := range fleet.Engines {
				if _, err := e.Wait(reap); err == nil {
					crashes++
					Expect(e.Restart(ctx)).To(Succeed())
				}
			}
		}
		caller := a[0].Caller("w1")
		defer caller.Close()
		Eventually(func(g Gomega) {
			answer := caller.Complete(ctx, poison)
			revive()
			g.Expect(answer.Refusal).NotTo(BeNil(), "%+v", answer)
			g.Expect(answer.Refusal.Code).To(Equal(outcome.CodeQuarantined))
		}).WithTimeout(patience).Should(Succeed())
		healed()
		// What was on its way over the cut arrives late.
		revive()
		GinkgoWriter.Println("crashes:", crashes)
		Expect(crashes).To(BeNumerically("<=", 2+len(a)))
		other := b[1].Caller("w1")
		defer other.Close()
		Eventually(func(g Gomega) {
			g.Expect(own(g, b[1]).Conditions).To(ContainElement(HaveField("Type", BeEquivalentTo("requests-quarantined"))))
		}).WithTimeout(patience).Should(Succeed())
		answer := other.Complete(ctx, poison)
		Expect(answer.Refusal).NotTo(BeNil(), "%+v", answer)
		Expect(answer.Refusal.Code).To(Equal(outcome.CodeQuarantined))
		Expect(answer.Status).NotTo(Equal(http.StatusOK))
		for _, e := range fleet.Engines {
			_, err := e.Wait(reap)
			Expect(err).To(HaveOccurred(), "%s crashed", e.Name)
		}
		serves(ctx, fleet.Routers...)
	})
})

// reap is how long the end of a process takes to be seen.
const reap = 200 * time.Millisecond

// flood keeps requests of a workspace waiting at a router until ctx ends.
func flood(ctx context.Context, r *harness.Router, workspace string, parallel int) (stop func()) {
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
	// cutFor is how long one side serves a workspace that the other ignores.
	cutFor = 5 * time.Second
	// converge is how soon the routers must agree after it: twenty intervals of
	// reports. Routers that exchange nothing level out too, but later.
	converge = 20 * reportMS * time.Millisecond
	// spreadCap bounds how far routers may disagree on a workspace's service:
	// twice the work in flight and that of one interval of reports.
	requestUnits = 40
	poolRate     = 2 * concurrency * tokenRate
	spreadCap    = 2 * (2*concurrency*requestUnits + poolRate*reportMS/1000)
)

var _ = Describe("Accounts", Ordered, func() {
	AfterEach(healed)

	It("differ over a cut and agree after it", func(ctx context.Context) {
		change(ctx, "w3", 1)
		holds(revision(ctx), fleet.Routers...)
		fleet.Links.SetDomainRule("a", faultlink.Partition())
		linked(a...)
		linked(b...)
		// w3 has one side for itself.
		stop := flood(ctx, a[0], "w3", 3*concurrency)
		time.Sleep(cutFor)
		stop()
		for _, r := range []*harness.Router{a[0], b[0]} {
			for _, workspace := range []string{"w1", "w2", "w3"} {
				defer flood(ctx, r, workspace, 3*concurrency)()
			}
		}
		Eventually(func(g Gomega) { g.Expect(spread(g, "w3")).To(BeNumerically(">", 4*spreadCap)) }).
			WithTimeout(patience).Should(Succeed())
		before := spread(Default, "w3")
		healed()
		GinkgoWriter.Println("spread in the cut:", before, "and healed:", spread(Default, "w3"))
		agree := func(g Gomega) { g.Expect(spread(g, "w3")).To(BeNumerically("<=", spreadCap)) }
		Eventually(agree).WithTimeout(converge).Should(Succeed())
		Consistently(agree).WithTimeout(converge / 2).WithPolling(50 * time.Millisecond).Should(Succeed())
		GinkgoWriter.Println("spread after the cut:", spread(Default, "w3"), "bound", spreadCap)
	})
})

// spread is how far the two sides' first routers disagree on the service of a
// workspace that waits at both.
func spread(g Gomega, workspace string) float64 {
	GinkgoHelper()
	var seen []float64
	for _, r := range []*harness.Router{a[0], b[0]} {
		for _, w := range own(g, r).Workspaces {
			if w.Workspace == workspace {
				seen = append(seen, w.Units)
			}
		}
	}
	g.Expect(seen).To(HaveLen(2))
	return max(seen[0], seen[1]) - min(seen[0], seen[1])
}
