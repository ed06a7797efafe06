package once

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/bench"
	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/platform"
	"github.com/umberhill/umberhill/internal/standin/service"
)

const (
	readyTimeout = 20 * time.Second
	// pastTimeouts exceeds every timeout of the routers in these specs, except
	// the one for a service that does not answer.
	pastTimeouts = 1500 * time.Millisecond
	// eventualTimeout is the deadline for conditions that must become true.
	eventualTimeout = 15 * time.Second
	// quietPeriod is how long a condition must stay true.
	quietPeriod = time.Second
)

var _ = Describe("An order at failing routers", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	It("runs once when eight routers receive it at the same time", func(ctx context.Context) {
		const keys = 25
		var orders []*bench.Order
		for range keys {
			order := newOrder()
			order.Path = "/?run_ms=20"
			copies := make([]*bench.Order, len(fleet.Routers))
			p := pool.New()
			for i := range copies {
				copies[i] = repeatOf(order)
				p.Go(func() { send(ctx, copies[i], i) })
			}
			p.Wait()
			for _, c := range copies {
				order.Results = append(order.Results, c.Results...)
				Expect(c.HasWrongResponse).To(BeFalse())
			}
			orders = append(orders, order)
		}
		all, err := bench.ServiceRuns(fleet)
		Expect(err).NotTo(HaveOccurred())
		result := bench.CheckOrders(orders, all)
		Expect(result.Examples).To(BeEmpty())
		Expect(result.Done).To(Equal(keys))
	})

	It("is answered from the recorded outcome when it is repeated", func(ctx context.Context) {
		order := newOrder()
		Expect(send(ctx, order, 0)).To(Equal(bench.ResultDone))
		Expect(sendToAll(ctx, order)).To(HaveEach(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	})

	// queueOrder sends an order to router 1 and returns once its claim is granted and
	// it waits for the only slot of its service. waitFree waits until that slot is
	// free.
	queueOrder := func(ctx context.Context) (order *bench.Order, result chan bench.SendResult, waitFree func()) {
		before := countGranted(ctx)
		blocker := newOrder()
		blocker.Service, blocker.Path = singleSlotService, "/?run_ms=2000"
		blocked := sendAsync(ctx, blocker, 0)
		Eventually(func() int { return runs(blocker) }, eventualTimeout).Should(Equal(1))
		order = newOrder()
		order.Service = singleSlotService
		result = sendAsync(ctx, order, 1)
		Eventually(func() int { return countGranted(ctx) }, eventualTimeout).Should(Equal(before + 2))
		return order, result, func() { Eventually(blocked, eventualTimeout).Should(Receive(Equal(bench.ResultDone))) }
	}

	It("never runs when the router is killed between claim and dispatch", func(ctx context.Context) {
		order, result, waitFree := queueOrder(ctx)
		Expect(fleet.Routers[1].Kill()).To(Succeed())
		Eventually(result, eventualTimeout).Should(Receive(Equal(bench.ResultNoResponse)))
		waitFree()
		Eventually(func() bench.SendResult { return send(ctx, repeatOf(order), 2) }, eventualTimeout).Should(Equal(bench.ResultUnknown))
		Expect(fleet.Routers[1].Restart(ctx)).To(Succeed())
		Expect(sendToAll(ctx, order)).To(HaveEach(bench.ResultUnknown))
		Expect(runs(order)).To(BeZero())
	})

	It("runs at most once when the router is frozen between claim and dispatch", func(ctx context.Context) {
		order, result, waitFree := queueOrder(ctx)
		fleet.Routers[1].Freeze()
		waitFree()
		time.Sleep(pastTimeouts)
		Expect(send(ctx, repeatOf(order), 2)).To(Equal(bench.ResultUnknown))
		fleet.Routers[1].Resume()
		Eventually(result, eventualTimeout).Should(Receive())
		Consistently(func() int { return runs(order) }, quietPeriod).Should(BeNumerically("<=", 1))
		all, err := bench.ServiceRuns(fleet)
		Expect(err).NotTo(HaveOccurred())
		Expect(bench.CheckOrders([]*bench.Order{order}, all).Examples).To(BeEmpty())
	})

	// startOrder sends an order to router 1 and returns once it runs.
	startOrder := func(ctx context.Context, path string) (*bench.Order, chan bench.SendResult) {
		order := newOrder()
		order.Path = path
		result := sendAsync(ctx, order, 1)
		Eventually(func() int { return runs(order) }, eventualTimeout).Should(Equal(1))
		return order, result
	}

	It("runs once when the router is killed during the run", func(ctx context.Context) {
		order, result := startOrder(ctx, "/?run_ms=500")
		Expect(fleet.Routers[1].Kill()).To(Succeed())
		Eventually(result, eventualTimeout).Should(Receive(Equal(bench.ResultNoResponse)))
		Expect(send(ctx, repeatOf(order), 2)).To(Equal(bench.ResultUnknown))
		Expect(fleet.Routers[1].Restart(ctx)).To(Succeed())
		Expect(sendToAll(ctx, order)).To(HaveEach(bench.ResultUnknown))
		Expect(runs(order)).To(Equal(1))
	})

	It("runs once when the router is killed before the outcome is recorded", func(ctx context.Context) {
		order, result := startOrder(ctx, "/?run_ms=300")
		Expect(fleet.Platform.SetFaults(ctx, platform.Faults{Down: platform.DownRefuse})).To(Succeed())
		Eventually(result, eventualTimeout).Should(Receive(Equal(bench.ResultDone)))
		Expect(fleet.Routers[1].Kill()).To(Succeed())
		heal(ctx)
		Expect(sendToAll(ctx, order)).To(HaveEach(bench.ResultUnknown))
		Expect(runs(order)).To(Equal(1))
	})

	It("runs once when the router is frozen during the run", func(ctx context.Context) {
		order, result := startOrder(ctx, "/?run_ms=300")
		fleet.Routers[1].Freeze()
		time.Sleep(pastTimeouts)
		Expect(send(ctx, repeatOf(order), 2)).To(Equal(bench.ResultUnknown))
		fleet.Routers[1].Resume()
		Eventually(result, eventualTimeout).Should(Receive(Equal(bench.ResultDone)))
		Eventually(func() bench.SendResult { return send(ctx, repeatOf(order), 2) }, eventualTimeout).Should(Equal(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	})

	It("runs once when the claim's write reaches the store after the router was frozen", func(ctx context.Context) {
		order := warmOrder(ctx, 1)
		fleet.Links.SetPlatformRule(fleet.Routers[1], faultlink.Rule{Forward: faultlink.Impairment{Hold: true}})
		result := sendAsync(ctx, order, 1)
		time.Sleep(quietPeriod / 5)
		fleet.Routers[1].Freeze()
		Expect(send(ctx, repeatOf(order), 2)).To(Equal(bench.ResultDone))
		fleet.Links.Clear()
		time.Sleep(pastTimeouts)
		fleet.Routers[1].Resume()
		Eventually(result, eventualTimeout).Should(Receive())
		Consistently(func() int { return runs(order) }, quietPeriod).Should(Equal(1))
	})
})

var _ = Describe("An order while the store fails", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	DescribeTable("is refused immediately, and did not run", func(ctx context.Context, down platform.DownMode) {
		Expect(fleet.Platform.SetFaults(ctx, platform.Faults{Down: down})).To(Succeed())
		order := newOrder()
		for i := range fleet.Routers {
			Expect(send(ctx, order, i)).To(Equal(bench.ResultNotRun))
		}
		Expect(runs(order)).To(BeZero())
		heal(ctx)
		Eventually(func() bench.SendResult { return send(ctx, order, 3) }, eventualTimeout).Should(Equal(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	},
		Entry("drops connections", platform.DownClose),
		Entry("answers 503", platform.DownRefuse),
	)

	DescribeTable("runs once", func(ctx context.Context, faults platform.Faults) {
		Expect(fleet.Platform.SetFaults(ctx, faults)).To(Succeed())
		for i := range fleet.Routers {
			order := newOrder()
			Expect(sendUntilRun(ctx, order, i)).To(Equal(bench.ResultDone))
			Eventually(func() bench.SendResult { return send(ctx, repeatOf(order), (i+1)%8) }, eventualTimeout).Should(Equal(bench.ResultDone))
			Expect(runs(order)).To(Equal(1))
		}
	},
		Entry("slow", platform.Faults{DelayMS: 100}),
		Entry("losing every response", platform.Faults{DropResponseEvery: 1}),
		Entry("losing every second response", platform.Faults{DropResponseEvery: 2}),
	)

	It("is not run when its claim reaches the store after the refusal", func(ctx context.Context) {
		order := warmOrder(ctx, 1)
		fleet.Links.SetPlatformRule(fleet.Routers[1], faultlink.Rule{Forward: faultlink.Impairment{Hold: true}})
		Expect(send(ctx, order, 1)).To(Equal(bench.ResultNotRun))
		fleet.Links.Clear()
		Consistently(func() int { return runs(order) }, quietPeriod).Should(BeZero())
		Eventually(func() bench.SendResult { return send(ctx, order, 2) }, eventualTimeout).Should(Equal(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	})
})

var _ = Describe("An order at a failing target", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	DescribeTable("never runs twice", func(ctx context.Context, point service.CrashPoint, want int) {
		order := newOrder()
		order.Body = append(order.Body, service.CrashMarker(point)...)
		Expect(send(ctx, order, 0)).To(Equal(bench.ResultUnknown))
		heal(ctx)
		for _, result := range sendToAll(ctx, order) {
			Expect(result).To(BeElementOf(bench.ResultUnknown, bench.ResultNotRun))
		}
		Expect(runs(order)).To(Equal(want))
	},
		Entry("that exits before the run", service.CrashBeforeRun, 0),
		Entry("that exits during the run", service.CrashDuringRun, 1),
		Entry("that exits before the response", service.CrashAfterRun, 1),
	)

	It("is not retried by the transport after the connection was closed", func(ctx context.Context) {
		target := newConnDropper()
		object := api.Target{
			ID: "conn-dropper", Kind: api.TargetService, Address: target.address(), Domain: "a",
			Service: "conn-dropper", Concurrency: 1, State: api.StateLive,
		}
		Expect(fleet.Platform.Put(ctx, api.KindTarget, object.ID, object)).To(Succeed())
		DeferCleanup(func(ctx context.Context) {
			Expect(fleet.Platform.Delete(ctx, api.KindTarget, object.ID)).To(Succeed())
		})
		caller := fleet.Routers[0].Caller(bench.OrdersWorkspace)
		defer caller.Close()
		Eventually(func() int {
			return caller.Call(ctx, "POST", "conn-dropper", "/", "warm", nil).Status
		}, eventualTimeout).Should(Equal(200))
		for _, key := range []string{"a", "b", "c"} {
			caller.Call(ctx, "POST", "conn-dropper", "/", key, nil)
			Expect(target.runsOf(key)).To(BeEquivalentTo(1))
		}
	})
})

var _ = Describe("Orders without faults", func() {
	BeforeEach(startFleet)

	It("are all done, with no unknown outcome", func(ctx context.Context) {
		const orders = 150
		sent := bench.OrdersRun{
			Seed: 7, MinOrders: orders, EntryRouters: len(fleet.Routers),
			NewCaller: func(n int) *harness.Caller { return fleet.Routers[n].Caller(bench.OrdersWorkspace) },
		}.Do(ctx)
		all, err := bench.ServiceRuns(fleet)
		Expect(err).NotTo(HaveOccurred())
		result := bench.CheckOrders(sent, all)
		GinkgoWriter.Printf("%+v\n", result)
		Expect(result.Examples).To(BeEmpty())
		Expect(result.Unknown).To(BeZero())
		Expect(result.Done).To(Equal(len(sent)))
	})
})

// This spec is a short run of the soak, with its random faults and a fixed seed.
var _ = Describe("Orders under random faults", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	It("run at most once, and every result agrees with the recorded runs", func(ctx context.Context) {
		result, err := bench.RunOrders(ctx, fleet, 1, 200, 0)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%+v\n", result)
		Expect(result.Examples).To(BeEmpty())
		Expect(result.RanMoreThanOnce + result.FalseNotRun + result.FalseDone + result.WrongResponse).To(BeZero())
		Expect(result.Done).To(BeNumerically(">", 0))
	})
})

var _ = Describe("The faults of a soak", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	It("are set at a service that an earlier one has stopped", func(ctx context.Context) {
		s := fleet.Services[0]
		Expect(s.Kill()).To(Succeed())
		Expect(bench.SetServiceFaults(ctx, s, service.Faults{DropResponseEvery: 1})).To(Succeed())
		Expect(s.IsRunning()).To(BeTrue())
	})
})
