// Package outage_test checks with real processes that the fleet serves everything
// that needs no claim while the platform is down, and that the routers do not
// overload the platform with a burst of calls when it is back (thundering herd).
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
	// readsPerSecond and writesPerSecond are the calls that the platform accepts
	// from the whole fleet.
	readsPerSecond  = 2000
	writesPerSecond = 500
	// refusalTimeout is the limit for refusing a once-only request in an outage. It
	// is well below any request deadline.
	refusalTimeout = 5 * time.Second
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

// expectServed checks that a router serves all kinds of work that need no claim.
func expectServed(ctx context.Context, c *harness.Caller) {
	GinkgoHelper()
	req := harness.CompletionRequest{Model: "m", Prompt: "in an outage", MaxTokens: 10, Stream: true}
	resp := c.Complete(ctx, req)
	Expect(harness.CheckResponse(req, resp)).To(Equal(harness.VerdictCorrect), "%+v", resp)
	for _, resp := range []harness.Response{
		c.Call(ctx, http.MethodGet, "orders", "/stock", "", nil),
		c.Call(ctx, http.MethodPost, "orders", "/quotes", "", []byte("x")),
		// A request without an idempotency key needs no claim: it is dispatched at most
		// once.
		c.Call(ctx, http.MethodPost, "orders", "/new", "", []byte("x")),
	} {
		Expect(resp.Status).To(Equal(http.StatusOK), "%+v", resp)
		Expect(resp.Outcome()).To(Equal(outcome.Done))
	}
}

// expectRefused checks that an order is refused within refusalTimeout, that the
// refusal says "not run" and when to retry, and that the order did not run.
func expectRefused(ctx context.Context, f *harness.Fleet, c *harness.Caller, key string) {
	GinkgoHelper()
	resp := order(ctx, c, key)
	Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
	Expect(resp.Refusal.Code).To(Equal(outcome.CodeLedger))
	Expect(resp.Refusal.Outcome).To(Equal(outcome.NotRun))
	Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(resp.TotalTime).To(BeNumerically("<", refusalTimeout))
	Expect(runs(f, key)).To(BeZero())
}

// runs returns how many times an order ran, as recorded by the services.
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

// forEachRouter calls do for each router with its index and a caller for it.
func forEachRouter(f *harness.Fleet, do func(n int, r *harness.Router, c *harness.Caller)) {
	for n, r := range f.Routers {
		c := r.Caller(workspace)
		do(n, r, c)
		c.Close()
	}
}

var _ = DescribeTable("While the platform is down the fleet serves work without claims, refuses orders as not run, and recovers afterwards",
	func(ctx context.Context, faults platform.Faults) {
		f := start(ctx)
		forEachRouter(f, func(n int, _ *harness.Router, c *harness.Caller) {
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

		By("restarting two routers during the outage")
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
		expectNoRecoveryBurst(ctx, f, before)
		forEachRouter(f, func(n int, r *harness.Router, c *harness.Caller) {
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
	Entry("platform drops connections", SpecTimeout(proctest.SpecLimit), platform.Faults{Down: platform.DownClose}),
	Entry("platform refuses calls", SpecTimeout(proctest.SpecLimit), platform.Faults{Down: platform.DownRefuse}),
	Entry("platform too slow", SpecTimeout(proctest.SpecLimit), platform.Faults{DelayMS: 8000}),
)

// expectNoRecoveryBurst checks the platform calls in each of the three seconds
// after an outage against the platform's limits. Without load, the only calls are
// those of the watchers and those with which each router settles its own claims.
func expectNoRecoveryBurst(ctx context.Context, f *harness.Fleet, before platform.Stats) {
	GinkgoHelper()
	for second := range 3 {
		time.Sleep(time.Second)
		now, err := f.Platform.Stats(ctx)
		Expect(err).NotTo(HaveOccurred())
		reads := now.Reads + now.Watches - before.Reads - before.Watches
		writes := now.Writes - before.Writes
		GinkgoWriter.Printf("second %d after the outage: %d reads and watches, %d writes\n", second, reads, writes)
		// The 8 routers stand for a fleet of 1,200, which shares the platform's limits,
		// so they may use only part of them.
		Expect(reads).To(BeNumerically("<=", readsPerSecond*len(f.Routers)/fleetRouters))
		Expect(writes).To(BeNumerically("<=", writesPerSecond*len(f.Routers)/fleetRouters))
		before = now
	}
}

// fleetRouters is the number of routers among which the platform's limits are
// divided.
const fleetRouters = 100

var _ = Describe("A router that starts without peers during an outage", func() {
	It("is not ready and serves nothing until the platform is reachable again", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
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
		req := harness.CompletionRequest{Model: "m", Prompt: "alone", MaxTokens: 5}
		Eventually(func() error { return c.Complete(ctx, req).Err }, proctest.EventuallyTimeout, proctest.PollInterval).Should(Succeed())
		Consistently(func() bool { return r.IsReady(ctx) }, 3*time.Second, proctest.PollInterval).Should(BeFalse())
		resp := c.Complete(ctx, req)
		Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
		Expect(resp.Refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(f.Platform.SetFaults(ctx, platform.Faults{})).To(Succeed())
		Expect(r.WaitReady(ctx, proctest.EventuallyTimeout)).To(Succeed())
		Eventually(func() harness.Verdict { return harness.CheckResponse(req, c.Complete(ctx, req)) }, proctest.EventuallyTimeout, proctest.PollInterval).Should(Equal(harness.VerdictCorrect))
	})
})
