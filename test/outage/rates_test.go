package outage_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/standin/platform"
)

var _ = Describe("Platform call rates under a load of orders", func() {
	It("stay within the platform's limits before, during and after an outage", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		const workers, seconds = 32, 3
		f := start(ctx)
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		var wg conc.WaitGroup
		for n := range workers {
			wg.Go(func() { repeatOrders(loadCtx, f.Routers[n%len(f.Routers)], n) })
		}
		for _, faults := range []platform.Faults{{}, {Down: platform.DownClose}, {}} {
			Expect(f.Platform.SetFaults(ctx, faults)).To(Succeed())
			for range seconds {
				expectCallRatesWithinLimits(ctx, f)
			}
		}
		stop()
		wg.Wait()
	})
})

// repeatOrders sends orders with new keys until ctx ends, without a delay after
// a refusal.
func repeatOrders(ctx context.Context, r *harness.Router, worker int) {
	c := r.Caller(workspace)
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		order(context.WithoutCancel(ctx), c, fmt.Sprintf("load-%d-%d", worker, n))
	}
}

// expectCallRatesWithinLimits checks the platform calls during one second against
// the platform's limits.
func expectCallRatesWithinLimits(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	before, err := f.Platform.Stats(ctx)
	Expect(err).NotTo(HaveOccurred())
	begin := time.Now()
	time.Sleep(time.Second)
	after, err := f.Platform.Stats(ctx)
	Expect(err).NotTo(HaveOccurred())
	took := time.Since(begin).Seconds()
	reads := float64(after.Reads+after.Watches-before.Reads-before.Watches) / took
	writes := float64(after.Writes-before.Writes) / took
	GinkgoWriter.Printf("%.0f reads and watches, %.0f writes a second\n", reads, writes)
	Expect(reads).To(BeNumerically("<=", readsPerSecond))
	Expect(writes).To(BeNumerically("<=", writesPerSecond))
}
