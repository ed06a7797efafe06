// Package outage_test proves that the fleet serves what can be served while the
// platform is down, and comes back without a herd, with real processes.
package outage_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/standin/platform"
)

const (
	workspace = "acme"
	// The platform takes this many calls a second for the whole fleet.
	readsPerSecond  = 2000
	writesPerSecond = 500
	// atOnce is how soon a once-only request is refused in an outage: well
	// before any deadline.
	atOnce = 5 * time.Second
)

func TestOutage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outage")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

func spec() harness.Spec {
	domain := func(name string) harness.Domain {
		return harness.Domain{
			Name: name, Routers: 4,
			Engines:  []harness.Engine{{Models: []string{"m"}, TokensPerSecond: 500}},
			Services: []harness.Service{{Name: "orders"}},
		}
	}
	return harness.Spec{Domains: []harness.Domain{domain("a"), domain("b")}}
}

func start(ctx context.Context) *harness.Fleet {
	GinkgoHelper()
	f := proctest.Start(ctx, spec())
	contract := harness.Contract(workspace, 1)
	contract.Routes = []api.Route{{Service: "orders", PathPrefix: "/quotes", Class: api.ClassIdempotent}}
	Expect(f.ApplyContract(ctx, contract)).To(Succeed())
	return f
}

func order(ctx context.Context, c *harness.Caller, key string) harness.Response {
	return c.Call(ctx, http.MethodPost, "orders", "/new", key, []byte(key))
}

// expectServed checks that a router serves all that needs no claim.
func expectServed(ctx context.Context, c *harness.Caller) {
	GinkgoHelper()
	ask := harness.CompletionRequest{Model: "m", Prompt: "in an outage", MaxTokens: 10, Stream: true}
	answer := c.Complete(ctx, ask)
	Expect(harness.CheckResponse(ask, answer)).To(Equal(harness.VerdictCorrect), "%+v", answer)
	for _, a := range []harness.Response{
		c.Call(ctx, http.MethodGet, "orders", "/stock", "", nil),
		c.Call(ctx, http.MethodPost, "orders", "/quotes", "", []byte("x")),
		// Without a key one dispatch is at most once by itself.
		c.Call(ctx, http.MethodPost, "orders", "/new", "", []byte("x")),
	} {
		Expect(a.Status).To(Equal(http.StatusOK), "%+v", a)
		Expect(a.Outcome()).To(Equal(outcome.Done))
	}
}

// expectRefused checks that an order is refused at once and says so truly.
func expectRefused(ctx context.Context, f *harness.Fleet, c *harness.Caller, key string) {
	GinkgoHelper()
	a := order(ctx, c, key)
	Expect(a.Refusal).NotTo(BeNil(), "%+v", a)
	Expect(a.Refusal.Code).To(Equal(outcome.CodeLedger))
	Expect(a.Refusal.Outcome).To(Equal(outcome.NotRun))
	Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(a.TotalTime).To(BeNumerically("<", atOnce))
	Expect(runs(f, key)).To(BeZero())
}

// runs counts the runs of an order in the services' own records.
func runs(f *harness.Fleet, key string) int {
	GinkgoHelper()
	n := 0
	for _, s := range f.Services {
		record, err := s.Runs()
		Expect(err).NotTo(HaveOccurred())
		for _, run := range record {
			if run.IdempotencyKey == key {
				n++
			}
		}
	}
	return n
}

func each(f *harness.Fleet, do func(n int, r *harness.Router, c *harness.Caller)) {
	for n, r := range f.Routers {
		c := r.Caller(workspace)
		do(n, r, c)
		c.Close()
	}
}

var _ = DescribeTable("While the platform is down the fleet serves all but claims, refuses those truly, and comes back",
	func(ctx context.Context, faults platform.Faults) {
		f := start(ctx)
		each(f, func(n int, _ *harness.Router, c *harness.Caller) {
			Expect(order(ctx, c, fmt.Sprint("before-", n)).Outcome()).To(Equal(outcome.Done))
		})
		Expect(f.Platform.SetFaults(ctx, faults)).To(Succeed())
		var wg conc.WaitGroup
		for n, r := range f.Routers {
			wg.Go(func() {
				defer GinkgoRecover()
				c := r.Caller(workspace)
				defer c.Close()
				expectRefused(ctx, f, c, fmt.Sprint("during-", n))
				expectServed(ctx, c)
			})
		}
		wg.Wait()

		By("starting two routers in the outage")
		for _, i := range []int{0, 5} {
			r := f.Routers[i]
			Expect(r.Kill()).To(Succeed())
			Expect(r.Restart(ctx)).To(Succeed())
			c := r.Caller(workspace)
			expectServed(ctx, c)
			expectRefused(ctx, f, c, fmt.Sprint("restarted-", i))
			c.Close()
		}

		By("ending the outage")
		before, err := f.Platform.Stats(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Platform.SetFaults(ctx, platform.Faults{})).To(Succeed())
		expectNoHerd(ctx, f, before)
		each(f, func(n int, r *harness.Router, c *harness.Caller) {
			key := fmt.Sprint("during-", n)
			Eventually(func() outcome.Outcome { return order(ctx, c, key).Outcome() }, proctest.EventuallyTimeout, proctest.PollInterval).Should(Equal(outcome.Done), r.ID)
			Expect(runs(f, key)).To(Equal(1))
			repeat := order(ctx, c, key)
			Expect(repeat.Outcome()).To(Equal(outcome.Done), "%+v", repeat)
			Expect(runs(f, key)).To(Equal(1))
		})
		for n := range f.Routers {
			Expect(runs(f, fmt.Sprint("before-", n))).To(Equal(1))
		}
	},
	Entry("dropping connections", SpecTimeout(proctest.SpecLimit), platform.Faults{Down: platform.DownClose}),
	Entry("refusing", SpecTimeout(proctest.SpecLimit), platform.Faults{Down: platform.DownRefuse}),
	Entry("too slow", SpecTimeout(proctest.SpecLimit), platform.Faults{DelayMS: 8000}),
)

// expectNoHerd counts the calls of the three seconds after an outage, second by
// second: without load they are those of the watchers and of what each router
// settles of its own.
func expectNoHerd(ctx context.Context, f *harness.Fleet, before platform.Stats) {
	GinkgoHelper()
	for second := range 3 {
		time.Sleep(time.Second)
		now, err := f.Platform.Stats(ctx)
		Expect(err).NotTo(HaveOccurred())
		reads := now.Reads + now.Watches - before.Reads - before.Watches
		writes := now.Writes - before.Writes
		GinkgoWriter.Printf("second %d after the outage: %d reads and watches, %d writes\n", second, reads, writes)
		// 8 routers stand for a fleet of 1,200, whose limits they share.
		Expect(reads).To(BeNumerically("<=", readsPerSecond*len(f.Routers)/fleetOfPlatform))
		Expect(writes).To(BeNumerically("<=", writesPerSecond*len(f.Routers)/fleetOfPlatform))
		before = now
	}
}

// fleetOfPlatform is the number of routers that share the platform's limits.
const fleetOfPlatform = 100

var _ = Describe("A router that starts alone in an outage", func() {
	It("is not ready and serves nothing until the platform is back", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, harness.Spec{Domains: []harness.Domain{{
			Name: "a", Routers: 2, Engines: []harness.Engine{{Models: []string{"m"}, TokensPerSecond: 500}},
		}}})
		Expect(f.ApplyContract(ctx, harness.Contract(workspace, 1))).To(Succeed())
		Expect(f.Platform.SetFaults(ctx, platform.Faults{Down: platform.DownClose})).To(Succeed())
		for _, r := range f.Routers {
			Expect(r.Kill()).To(Succeed())
		}
		r := f.Routers[0]
		Expect(r.Start()).To(Succeed())
		c := r.Caller(workspace)
		DeferCleanup(c.Close)
		ask := harness.CompletionRequest{Model: "m", Prompt: "alone", MaxTokens: 5}
		Eventually(func() error { return c.Complete(ctx, ask).Err }, proctest.EventuallyTimeout, proctest.PollInterval).Should(Succeed())
		Consistently(func() bool { return r.IsReady(ctx) }, 3*time.Second, proctest.PollInterval).Should(BeFalse())
		a := c.Complete(ctx, ask)
		Expect(a.Refusal).NotTo(BeNil(), "%+v", a)
		Expect(a.Refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(f.Platform.SetFaults(ctx, platform.Faults{})).To(Succeed())
		Expect(r.WaitReady(ctx, proctest.EventuallyTimeout)).To(Succeed())
		Eventually(func() harness.Verdict { return harness.CheckResponse(ask, c.Complete(ctx, ask)) }, proctest.EventuallyTimeout, proctest.PollInterval).Should(Equal(harness.VerdictCorrect))
	})
})
