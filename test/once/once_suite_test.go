// Package once proves with real processes that once-only work runs at most
// once, that "not run" is true, and that a request that crashes targets is
// isolated.
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
	// single is a plain service of one process that runs one call at a time.
	single = "single"
	// poisoned is a model that only one engine has.
	poisoned = "poisoned"
	model    = "assistant"
	// claimBuckets is the number of buckets in bench.OrdersSettings.
	claimBuckets = 16
)

// fleet is started once for all specs of this package that need routers.
var fleet *harness.Fleet

var bodies atomic.Int64

func startFleet(ctx context.Context) {
	if fleet != nil {
		return
	}
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	spec := bench.OrdersFleet()
	spec.Domains[0].Services = append(spec.Domains[0].Services, harness.Service{Name: single, Concurrency: 1})
	spec.Domains[0].Engines = []harness.Engine{{Models: []string{poisoned}, Concurrency: 16, TokensPerSecond: 400}}
	for i := range spec.Domains {
		engine := harness.Engine{Models: []string{model}, Concurrency: 8, TokensPerSecond: 400}
		spec.Domains[i].Engines = append(spec.Domains[i].Engines, harness.Repeat(3, engine)...)
	}
	spec.EditSettings = func(s *settings.Settings) {
		bench.OrdersSettings(s)
		// The relays look up who called them before they pass a byte on, which
		// takes seconds on a loaded machine.
		s.Targets.ServiceStallMS = int(soon / time.Millisecond)
	}
	fleet, err = harness.Start(ctx, binaries, spec)
	Expect(err).NotTo(HaveOccurred())
	Expect(fleet.ApplyContract(ctx, harness.Contract(bench.OrdersWorkspace, 1))).To(Succeed())
}

// heal lifts all faults and waits for the routers.
func heal(ctx context.Context) {
	Expect(bench.ClearFaults(ctx, fleet)).To(Succeed())
	for _, r := range fleet.Routers {
		Expect(r.WaitReady(ctx, readyTimeout)).To(Succeed())
	}
}

// newOrder returns an order with a content and key of its own.
func newOrder() *bench.Order {
	n := bodies.Add(1)
	return &bench.Order{Key: fmt.Sprint("key-", n), Body: fmt.Appendf(nil, "order %d", n)}
}

// warmOrder returns an order whose claim falls to a bucket that the router
// knows as it stands, so that its write goes out without a read.
func warmOrder(ctx context.Context, router int) *bench.Order {
	bucket := func(o *bench.Order) int {
		return claim.KeyOf(bench.OrdersWorkspace, o.Key).Bucket(claimBuckets)
	}
	warm := newOrder()
	Expect(sendUntil(ctx, warm, router)).To(Equal(bench.ResultDone))
	Eventually(func() bench.SendResult { return send(ctx, again(warm), router) }, soon).Should(Equal(bench.ResultDone))
	order := newOrder()
	for bucket(order) != bucket(warm) {
		order = newOrder()
	}
	return order
}

// again returns a repeat of an order, with nothing said yet.
func again(o *bench.Order) *bench.Order {
	return &bench.Order{Key: o.Key, Body: o.Body, Service: o.Service, Path: o.Path}
}

// send places an order at a router and returns what was said.
func send(ctx context.Context, o *bench.Order, router int) bench.SendResult {
	caller := fleet.Routers[router].Caller(bench.OrdersWorkspace)
	defer caller.Close()
	said, _ := o.Send(ctx, caller)
	GinkgoWriter.Printf("%s at router %d: %d %s\n", o.Key, router, said, o.Codes[len(o.Codes)-1])
	return said
}

// sendLater places an order in the background.
func sendLater(ctx context.Context, o *bench.Order, router int) chan bench.SendResult {
	done := make(chan bench.SendResult, 1)
	go func() {
		defer GinkgoRecover()
		done <- send(ctx, o, router)
	}()
	return done
}

// sendUntil repeats an order at a router until something else than "not run" is
// said.
func sendUntil(ctx context.Context, o *bench.Order, router int) bench.SendResult {
	said := bench.ResultNotRun
	Eventually(func() bench.SendResult {
		said = send(ctx, o, router)
		return said
	}, soon).ShouldNot(Equal(bench.ResultNotRun))
	return said
}

// runs returns how often an order ran.
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

// granted returns how many claims stand that have not ended.
func granted(ctx context.Context) int {
	list, err := fleet.Platform.List(ctx, api.KindClaims)
	Expect(err).NotTo(HaveOccurred())
	n := 0
	for _, obj := range list.Objects {
		bucket, err := claim.Decode(obj.Value)
		if err != nil {
			continue // the layout
		}
		n += bucket.Count(claim.Granted)
	}
	return n
}

// everywhere repeats an order at all routers and returns what was said.
func everywhere(ctx context.Context, o *bench.Order) []bench.SendResult {
	var said []bench.SendResult
	for i := range fleet.Routers {
		said = append(said, send(ctx, again(o), i))
	}
	return said
}

// metric returns the value of a counter without tags.
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

// direct returns a caller of a target itself.
func direct(address string) *harness.Caller {
	caller := harness.NewCaller(address, "")
	DeferCleanup(caller.Close)
	return caller
}
