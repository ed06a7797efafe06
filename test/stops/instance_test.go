package stops_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
)

var _ = Describe("An instance that is announced as leaving", func() {
	It("goes unready and still answers, until the announcement is taken back", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, harness.Spec{Domains: []harness.Domain{{Name: "a", Routers: 2, Engines: engines(1, 3)}}})
		Expect(f.ApplyContract(ctx, harness.Contract(workspace, 1))).To(Succeed())
		r, other := f.Routers[0], f.Routers[1]
		caller := r.Caller(workspace)
		DeferCleanup(caller.Close)
		list := func(state api.State) {
			GinkgoHelper()
			Expect(f.Platform.Put(ctx, api.KindRouter, r.ID, api.Router{
				ID: r.ID, PeerAddress: r.PeerAddress, Domain: r.Domain, State: state,
			})).To(Succeed())
		}
		tool := func(verb string) {
			GinkgoHelper()
			_, err := f.CLI(ctx, other, "instance", verb, r.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		ready := func() bool { return r.IsReady(ctx) }

		for name, announce := range map[string][2]func(){
			"tool": {func() { tool("drain") }, func() { tool("undrain") }},
			"list": {func() { list(api.StateLeaving) }, func() { list(api.StateLive) }},
		} {
			By("announcing by the " + name)
			announce[0]()
			Eventually(ready, proctest.InForceTimeout, proctest.PollInterval).Should(BeFalse())
			Expect(other.IsReady(ctx)).To(BeTrue())
			expectRight(short(), []harness.Response{caller.Complete(ctx, short())})
			announce[1]()
			Eventually(ready, proctest.InForceTimeout, proctest.PollInterval).Should(BeTrue())
		}
	})
})
