package stops_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
)

var _ = Describe("An instance that is announced as draining", func() {
	It("becomes unready but still serves requests, until the announcement is withdrawn", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, harness.Spec{Domains: []harness.Domain{{Name: "a", Routers: 2, Engines: engines(1, 3)}}})
		Expect(f.ApplyContract(ctx, harness.Contract(workspace, 1))).To(Succeed())
		r, other := f.Routers[0], f.Routers[1]
		caller := r.Caller(workspace)
		DeferCleanup(caller.Close)
		announceInPlatform := func(state api.State) {
			GinkgoHelper()
			Expect(f.Platform.Put(ctx, api.KindRouter, r.ID, api.Router{
				ID: r.ID, PeerAddress: r.PeerAddress, Domain: r.Domain, State: state,
			})).To(Succeed())
		}
		runCLI := func(verb string) {
			GinkgoHelper()
			_, err := f.CLI(ctx, other, "instance", verb, r.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		ready := func() bool { return r.IsReady(ctx) }

		for name, steps := range map[string][2]func(){
			"command line tool":          {func() { runCLI("drain") }, func() { runCLI("undrain") }},
			"platform's list of routers": {func() { announceInPlatform(api.StateDraining) }, func() { announceInPlatform(api.StateLive) }},
		} {
			By("announcing with the " + name)
			steps[0]()
			Eventually(ready, proctest.InForceTimeout, proctest.PollInterval).Should(BeFalse())
			Expect(other.IsReady(ctx)).To(BeTrue())
			expectCorrect(shortRequest(), []harness.Response{caller.Complete(ctx, shortRequest())})
			steps[1]()
			Eventually(ready, proctest.InForceTimeout, proctest.PollInterval).Should(BeTrue())
		}
	})
})
