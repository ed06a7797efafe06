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
	// pastTimeouts outlasts every timeout of a router here but that of a
	// silent service.
	pastTimeouts = 1500 * time.Millisecond
	// soon bounds what must happen in the end.
	soon = 15 * time.Second
	// while is how long nothing must happen.
	while = time.Second
)

var _ = Describe("An order at routers that fail", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	It("runs once where eight routers get it at once", func(ctx context.Context) {
		const keys = 25
		var orders []*bench.Order
		for range keys {
			order := newOrder()
			order.Path = "/?run_ms=20"
			copies := make([]*bench.Order, len(fleet.Routers))
			p := pool.New()
			for i := range copies {
				copies[i] = again(order)
				p.Go(func() { send(ctx, copies[i], i) })
			}
			p.Wait()
			for _, c := range copies {
				order.Results = append(order.Results, c.Results...)
				Expect(c.HasWrongAnswer).To(BeFalse())
			}
			orders = append(orders, order)
		}
		all, err := bench.ServiceRuns(fleet)
		Expect(err).NotTo(HaveOccurred())
		result := bench.CheckOrders(orders, all)
		Expect(result.Examples).To(BeEmpty())
		Expect(result.Done).To(Equal(keys))
	})

	It("is answered from the record where it is repeated", func(ctx context.Context) {
		order := newOrder()
		Expect(send(ctx, order, 0)).To(Equal(bench.ResultDone))
		Expect(everywhere(ctx, order)).To(HaveEach(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	})

	// queued places an order at router 1 that has its claim and waits for the
	// only slot of its service, which the returned function waits to be freed.
	queued := func(ctx context.Context) (order *bench.Order, said chan bench.SendResult, freed func()) {
		before := granted(ctx)
		blocker := newOrder()
		blocker.Service, blocker.Path = single, "/?run_ms=2000"
		blocked := sendLater(ctx, blocker, 0)
		Eventually(func() int { return runs(blocker) }, soon).Should(Equal(1))
		order = newOrder()
		order.Service = single
		said = sendLater(ctx, order, 1)
		Eventually(func() int { return granted(ctx) }, soon).Should(Equal(before + 2))
		return order, said, func() { Eventually(blocked, soon).Should(Receive(Equal(bench.ResultDone))) }
	}

	It("never runs where the router is killed between claim and dispatch", func(ctx context.Context) {
		order, said, freed := queued(ctx)
		Expect(fleet.Routers[1].Kill()).To(Succeed())
		Eventually(said, soon).Should(Receive(Equal(bench.ResultNoResponse)))
		freed()
		Eventually(func() bench.SendResult { return send(ctx, again(order), 2) }, soon).Should(Equal(bench.ResultUnknown))
		Expect(fleet.Routers[1].Restart(ctx)).To(Succeed())
		Expect(everywhere(ctx, order)).To(HaveEach(bench.ResultUnknown))
		Expect(runs(order)).To(BeZero())
	})

	It("runs at most once where the router is frozen between claim and dispatch", func(ctx context.Context) {
		order, said, freed := queued(ctx)
		fleet.Routers[1].Freeze()
		freed()
		time.Sleep(pastTimeouts)
		Expect(send(ctx, again(order), 2)).To(Equal(bench.ResultUnknown))
		fleet.Routers[1].Resume()
		Eventually(said, soon).Should(Receive())
		Consistently(func() int { return runs(order) }, while).Should(BeNumerically("<=", 1))
		all, err := bench.ServiceRuns(fleet)
		Expect(err).NotTo(HaveOccurred())
		Expect(bench.CheckOrders([]*bench.Order{order}, all).Examples).To(BeEmpty())
	})

	// running places an order at router 1 and returns once it runs.
	running := func(ctx context.Context, path string) (*bench.Order, chan bench.SendResult) {
		order := newOrder()
		order.Path = path
		said := sendLater(ctx, order, 1)
		Eventually(func() int { return runs(order) }, soon).Should(Equal(1))
		return order, said
	}

	It("runs once where the router is killed during the run", func(ctx context.Context) {
		order, said := running(ctx, "/?run_ms=500")
		Expect(fleet.Routers[1].Kill()).To(Succeed())
		Eventually(said, soon).Should(Receive(Equal(bench.ResultNoResponse)))
		Expect(send(ctx, again(order), 2)).To(Equal(bench.ResultUnknown))
		Expect(fleet.Routers[1].Restart(ctx)).To(Succeed())
		Expect(everywhere(ctx, order)).To(HaveEach(bench.ResultUnknown))
		Expect(runs(order)).To(Equal(1))
	})

	It("runs once where the router is killed before the outcome is recorded", func(ctx context.Context) {
		order, said := running(ctx, "/?run_ms=300")
		Expect(fleet.Platform.SetFaults(ctx, platform.Faults{Down: platform.DownRefuse})).To(Succeed())
		Eventually(said, soon).Should(Receive(Equal(bench.ResultDone)))
		Expect(fleet.Routers[1].Kill()).To(Succeed())
		heal(ctx)
		Expect(everywhere(ctx, order)).To(HaveEach(bench.ResultUnknown))
		Expect(runs(order)).To(Equal(1))
	})

	It("runs once where the router is frozen during the run", func(ctx context.Context) {
		order, said := running(ctx, "/?run_ms=300")
		fleet.Routers[1].Freeze()
		time.Sleep(pastTimeouts)
		Expect(send(ctx, again(order), 2)).To(Equal(bench.ResultUnknown))
		fleet.Routers[1].Resume()
		Eventually(said, soon).Should(Receive(Equal(bench.ResultDone)))
		Eventually(func() bench.SendResult { return send(ctx, again(order), 2) }, soon).Should(Equal(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	})

	It("runs once where the claim's write arrives after the router was frozen", func(ctx context.Context) {
		order := warmOrder(ctx, 1)
		fleet.Links.SetPlatformRule(fleet.Routers[1], faultlink.Rule{Forward: faultlink.Impairment{Hold: true}})
		said := sendLater(ctx, order, 1)
		time.Sleep(while / 5)
		fleet.Routers[1].Freeze()
		Expect(send(ctx, again(order), 2)).To(Equal(bench.ResultDone))
		fleet.Links.Clear()
		time.Sleep(pastTimeouts)
		fleet.Routers[1].Resume()
		Eventually(said, soon).Should(Receive())
		Consistently(func() int { return runs(order) }, while).Should(Equal(1))
	})
})

var _ = Describe("An order while the store fails", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	DescribeTable("is refused at once and truly not run", func(ctx context.Context, down platform.Down) {
		Expect(fleet.Platform.SetFaults(ctx, platform.Faults{Down: down})).To(Succeed())
		order := newOrder()
		for i := range fleet.Routers {
			Expect(send(ctx, order, i)).To(Equal(bench.ResultNotRun))
		}
		Expect(runs(order)).To(BeZero())
		heal(ctx)
		Eventually(func() bench.SendResult { return send(ctx, order, 3) }, soon).Should(Equal(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	},
		Entry("drops connections", platform.DownClose),
		Entry("answers 503", platform.DownRefuse),
	)

	DescribeTable("runs once", func(ctx context.Context, faults platform.Faults) {
		Expect(fleet.Platform.SetFaults(ctx, faults)).To(Succeed())
		for i := range fleet.Routers {
			order := newOrder()
			Expect(sendUntil(ctx, order, i)).To(Equal(bench.ResultDone))
			Eventually(func() bench.SendResult { return send(ctx, again(order), (i+1)%8) }, soon).Should(Equal(bench.ResultDone))
			Expect(runs(order)).To(Equal(1))
		}
	},
		Entry("slow", platform.Faults{DelayMS: 100}),
		Entry("losing every answer", platform.Faults{LoseEvery: 1}),
		Entry("losing every second answer", platform.Faults{LoseEvery: 2}),
	)

	It("is not run where its claim arrives after it was refused", func(ctx context.Context) {
		order := warmOrder(ctx, 1)
		fleet.Links.SetPlatformRule(fleet.Routers[1], faultlink.Rule{Forward: faultlink.Impairment{Hold: true}})
		Expect(send(ctx, order, 1)).To(Equal(bench.ResultNotRun))
		fleet.Links.Clear()
		Consistently(func() int { return runs(order) }, while).Should(BeZero())
		Eventually(func() bench.SendResult { return send(ctx, order, 2) }, soon).Should(Equal(bench.ResultDone))
		Expect(runs(order)).To(Equal(1))
	})
})

var _ = Describe("An order at a target that fails", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	DescribeTable("never runs twice", func(ctx context.Context, moment service.Moment, want int) {
		order := newOrder()
		order.Body = append(order.Body, service.Marker(moment)...)
		Expect(send(ctx, order, 0)).To(Equal(bench.ResultUnknown))
		heal(ctx)
		for _, said := range everywhere(ctx, order) {
			Expect(said).To(BeElementOf(bench.ResultUnknown, bench.ResultNotRun))
		}
		Expect(runs(order)).To(Equal(want))
	},
		Entry("dying before it runs", service.Before, 0),
		Entry("dying while it runs", service.During, 1),
		Entry("dying before the answer", service.After, 1),
	)

	It("is not run again by the transport on a dead connection", func(ctx context.Context) {
		target := newForgetful()
		object := api.Target{
			ID: "forgetful", Kind: api.TargetService, Address: target.address(), Domain: "a",
			Service: "forgetful", Concurrency: 1, State: api.StateLive,
		}
		Expect(fleet.Platform.Put(ctx, api.KindTarget, object.ID, object)).To(Succeed())
		DeferCleanup(func(ctx context.Context) {
			Expect(fleet.Platform.Delete(ctx, api.KindTarget, object.ID)).To(Succeed())
		})
		caller := fleet.Routers[0].Caller(bench.OrdersWorkspace)
		defer caller.Close()
		Eventually(func() int {
			return caller.Call(ctx, "POST", "forgetful", "/", "warm", nil).Status
		}, soon).Should(Equal(200))
		for _, key := range []string{"a", "b", "c"} {
			caller.Call(ctx, "POST", "forgetful", "/", key, nil)
			Expect(target.runsOf(key)).To(BeEquivalentTo(1))
		}
	})
})

var _ = Describe("Orders without faults", func() {
	BeforeEach(startFleet)

	It("are all done, and nothing is unknown", func(ctx context.Context) {
		const orders = 150
		placed := bench.OrdersRun{
			Seed: 7, MinOrders: orders, EntryRouters: len(fleet.Routers),
			NewCaller: func(n int) *harness.Caller { return fleet.Routers[n].Caller(bench.OrdersWorkspace) },
		}.Do(ctx)
		all, err := bench.ServiceRuns(fleet)
		Expect(err).NotTo(HaveOccurred())
		result := bench.CheckOrders(placed, all)
		GinkgoWriter.Printf("%+v\n", result)
		Expect(result.Examples).To(BeEmpty())
		Expect(result.Unknown).To(BeZero())
		Expect(result.Done).To(Equal(len(placed)))
	})
})

// A short run of the soak with its faults, by a fixed seed.
var _ = Describe("Orders under random faults", func() {
	BeforeEach(startFleet)
	AfterEach(heal)

	It("run at most once, and what is said of them is true", func(ctx context.Context) {
		result, err := bench.RunOrders(ctx, fleet, 1, 200, 0)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%+v\n", result)
		Expect(result.Examples).To(BeEmpty())
		Expect(result.RanMoreThanOnce + result.FalseNotRun + result.FalseDone + result.WrongAnswer).To(BeZero())
		Expect(result.Done).To(BeNumerically(">", 0))
	})
})
