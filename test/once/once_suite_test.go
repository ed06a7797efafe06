// Package once tests with real processes that once-only work runs at most once,
// that work answered with "not run" did not run, and that a request that crashes
// targets is quarantined.
package once

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/bench"
	"github.com/umberhill/umberhill/internal/core/claim"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/standin/service"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once-only work")
}

var _ = AfterSuite(func() {
	if fleet != nil {
		fleet.Close()
	}
	Expect(harness.Clean()).To(Succeed())
})

const (
	// singleSlotService is a plain service with one process that runs one call at a
	// time.
	singleSlotService = "single"
	// singleEngineModel is a model that only one engine serves.
	singleEngineModel = "poisoned"
	model             = "assistant"
	// claimBuckets is the number of claim buckets set by bench.OrdersSettings.
	claimBuckets = 16
)

// fleet is shared by all specs of this package that need routers.
var fleet *harness.Fleet

// orderCount numbers the orders, so that each has its own body and key.
var orderCount atomic.Int64

func startFleet(ctx context.Context) {
	if fleet != nil {
		return
	}
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	spec := bench.OrdersFleet()
	spec.Domains[0].Services = append(spec.Domains[0].Services, harness.Service{Name: singleSlotService, Concurrency: 1})
	spec.Domains[0].Engines = []harness.Engine{{Models: []string{singleEngineModel}, Concurrency: 16, TokensPerSecond: 400}}
	for i := range spec.Domains {
		engine := harness.Engine{Models: []string{model}, Concurrency: 8, TokensPerSecond: 400}
		spec.Domains[i].Engines = append(spec.Domains[i].Engines, harness.Repeat(3, engine)...)
	}
	spec.EditSettings = func(s *settings.Settings) {
		bench.OrdersSettings(s)
		// The relays of the harness look up the calling process before they forward
		// the first byte, which takes seconds on a loaded machine.
		s.Targets.ServiceStallMS = int(eventualTimeout / time.Millisecond)
	}
	fleet, err = harness.Start(ctx, binaries, spec)
	Expect(err).NotTo(HaveOccurred())
	Expect(fleet.ApplyContract(ctx, harness.Contract(bench.OrdersWorkspace, 1))).To(Succeed())
}

// heal removes all injected faults and waits until every router is ready.
func heal(ctx context.Context) {
	Expect(bench.ClearFaults(ctx, fleet)).To(Succeed())
	for _, r := range fleet.Routers {
		Expect(r.WaitReady(ctx, readyTimeout)).To(Succeed())
	}
}

// newOrder returns an order with a unique body and idempotency key.
func newOrder() *bench.Order {
	n := orderCount.Add(1)
	return &bench.Order{Key: fmt.Sprint("key-", n), Body: fmt.Appendf(nil, "order %d", n)}
}

// warmOrder returns an order whose claim falls into a bucket that the router has
// cached at its current version, so that the router writes the claim without
// reading the bucket first.
func warmOrder(ctx context.Context, router int) *bench.Order {
	bucket := func(o *bench.Order) int {
		return claim.KeyOf(bench.OrdersWorkspace, o.Key).Bucket(claimBuckets)
	}
	warm := newOrder()
	Expect(sendUntilRun(ctx, warm, router)).To(Equal(bench.ResultDone))
	Eventually(func() bench.SendResult { return send(ctx, repeatOf(warm), router) }, eventualTimeout).Should(Equal(bench.ResultDone))
	order := newOrder()
	for bucket(order) != bucket(warm) {
		order = newOrder()
	}
	return order
}

// repeatOf returns a copy of an order without the results received so far.
func repeatOf(o *bench.Order) *bench.Order {
	return &bench.Order{Key: o.Key, Body: o.Body, Service: o.Service, Path: o.Path}
}

// send sends an order to a router and returns the result.
func send(ctx context.Context, o *bench.Order, router int) bench.SendResult {
	caller := fleet.Routers[router].Caller(bench.OrdersWorkspace)
	defer caller.Close()
	result, _ := o.Send(ctx, caller)
	GinkgoWriter.Printf("%s at router %d: %d %s\n", o.Key, router, result, o.Codes[len(o.Codes)-1])
	return result
}

// sendAsync sends an order in the background.
func sendAsync(ctx context.Context, o *bench.Order, router int) chan bench.SendResult {
	done := make(chan bench.SendResult, 1)
	go func() {
		defer GinkgoRecover()
		done <- send(ctx, o, router)
	}()
	return done
}

// sendUntilRun sends an order to a router until the result is not ResultNotRun,
// and returns that result.
func sendUntilRun(ctx context.Context, o *bench.Order, router int) bench.SendResult {
	result := bench.ResultNotRun
	Eventually(func() bench.SendResult {
		result = send(ctx, o, router)
		return result
	}, eventualTimeout).ShouldNot(Equal(bench.ResultNotRun))
	return result
}

// runs returns how many times the services ran an order.
func runs(o *bench.Order) int {
	all, err := bench.ServiceRuns(fleet)
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, run := range all {
		if run.BodyHash == service.BodyHash(o.Body) {
			n++
		}
	}
	return n
}

// countGranted returns the number of stored claims that are granted and not finished.
func countGranted(ctx context.Context) int {
	list, err := fleet.Platform.List(ctx, api.KindClaims)
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, obj := range list.Objects {
		bucket, err := claim.Decode(obj.Value)
		if err != nil {
			continue // the object that holds the bucket layout
		}
		n += bucket.Count(claim.Granted)
	}
	return n
}

// sendToAll sends a copy of an order to each router and returns the results.
func sendToAll(ctx context.Context, o *bench.Order) []bench.SendResult {
	var results []bench.SendResult
	for i := range fleet.Routers {
		results = append(results, send(ctx, repeatOf(o), i))
	}
	return results
}

// metric returns the value of a metric without labels, or 0 if it is absent.
func metric(ctx context.Context, r *harness.Router, name string) float64 {
	text, err := r.Metrics(ctx)
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			Expect(err).NotTo(HaveOccurred())
			return n
		}
	}
	return 0
}

// directCaller returns a caller that sends to address and is closed after the spec.
func directCaller(address string) *harness.Caller {
	caller := harness.NewCaller(address, "")
	DeferCleanup(caller.Close)
	return caller
}
