package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/standin/platform"
)

// versionOracle records the version of the contract that was written last, the newest
// version that has been in force on all routers, and the violations found.
type versionOracle struct {
	mu         sync.Mutex
	written    int
	settled    int // the newest version that has been in force on all routers
	violations []string
}

func (o *versionOracle) next() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.written++
	return o.written
}

func (o *versionOracle) settleVersion(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settled = max(o.settled, n)
}

func (o *versionOracle) state() (written, settled int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written, o.settled
}

func (o *versionOracle) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// pollVersion polls the version that a router has in force until ctx ends. The version
// must be at least the one that was in force on all routers before the poll, also
// after a restart, which loses the router's memory, and must never decrease.
func (o *versionOracle) pollVersion(ctx context.Context, r *harness.Router) {
	caller := r.Caller("")
	defer caller.Close()
	last := 0
	for ctx.Err() == nil {
		_, settled := o.state()
		inForce, ok := o.versionInForce(ctx, caller, r, settled)
		if ok && inForce < max(last, settled) {
			o.addViolation("%s has version %d in force after it had %d; %d was in force on all routers", r.ID, inForce, last, settled)
		}
		last = max(last, inForce)
		select {
		case <-time.After(proctest.PollInterval):
		case <-ctx.Done():
		}
	}
}

// maxPasses is how many times versionInForce tries the keys of all versions before it
// reports that none is in force. A pass misses the version in force if a newer one, whose
// key the pass has tried already, replaces it. This does not happen in every pass.
const maxPasses = 6

// versionInForce returns the version that a router has in force, or 0 if it has
// none, and whether the router answered. It tries the newest written version first.
func (o *versionOracle) versionInForce(ctx context.Context, caller *harness.Caller, r *harness.Router, settled int) (int, bool) {
	if !r.IsReady(ctx) {
		return 0, false
	}
	for range maxPasses {
		written, _ := o.state()
		for n := written; n >= max(settled-1, 1); n-- {
			isAccepted, err := proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, n))
			if err != nil {
				return 0, false
			}
			if isAccepted {
				return n, true
			}
		}
	}
	return 0, true
}

// watchTimeout is longer than the platform keeps a watch call open, so that all
// watchers have received a response by then.
const watchTimeout = 6 * time.Second

var _ = Describe("A configuration in force", func() {
	It("never returns to an older version, despite restarts that lose all memory, a platform that answers with an older state, and outages", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, twoDomains())
		o := &versionOracle{}
		write := func() {
			n := o.next()
			Expect(f.Platform.Put(ctx, api.KindContract, workspace, proctest.VersionContract(workspace, n))).To(Succeed())
		}
		settleVersion := func(routers []*harness.Router) {
			GinkgoHelper()
			n, _ := o.state()
			list, err := f.Platform.List(ctx, api.KindContract)
			Expect(err).NotTo(HaveOccurred())
			Expect(list.Objects).To(HaveLen(1))
			proctest.AwaitInForce(ctx, routers, list.Objects[0].Version)
			o.settleVersion(n)
		}
		write()
		settleVersion(f.Routers)

		watchCtx, stop := context.WithCancel(ctx)
		var wg conc.WaitGroup
		for _, r := range f.Routers {
			wg.Go(func() { o.pollVersion(watchCtx, r) })
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for round := range 4 {
			By(fmt.Sprintf("round %d", round))
			Expect(f.Platform.SetFaults(ctx, platform.Faults{MarkContent: true})).To(Succeed())
			write()
			write()
			settleVersion(f.Routers)
			By("answering with the state before the last two writes")
			Expect(f.Platform.SetFaults(ctx, platform.Faults{Stale: true})).To(Succeed())
			if round == 0 {
				time.Sleep(watchTimeout)
			}
			restarted := rng.Perm(len(f.Routers))[:3]
			faults := []platform.Faults{{Stale: true}, {Down: platform.DownClose}, {Stale: true}, {Down: platform.DownRefuse}}
			Expect(f.Platform.SetFaults(ctx, faults[round])).To(Succeed())
			for _, i := range restarted {
				Expect(f.Routers[i].Kill()).To(Succeed())
			}
			for _, i := range restarted {
				Expect(f.Routers[i].Restart(ctx)).To(Succeed())
			}
			Expect(f.Platform.SetFaults(ctx, platform.Faults{})).To(Succeed())
			settleVersion(f.Routers)
		}
		stop()
		wg.Wait()
		Expect(o.violations).To(BeEmpty())
		written, settled := o.state()
		Expect(settled).To(Equal(written))
	})

	It("follows the deletion and re-creation of a contract", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, harness.Spec{Domains: []harness.Domain{{Name: "a", Routers: 2}, {Name: "b", Routers: 2}}})
		for n := 1; n <= 3; n++ {
			proctest.AwaitInForce(ctx, f.Routers, put(ctx, f, n))
			Expect(f.Platform.Delete(ctx, api.KindContract, workspace)).To(Succeed())
			for _, r := range f.Routers {
				caller := r.Caller("")
				Eventually(func() (bool, error) {
					return proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, n))
				}, proctest.InForceTimeout, proctest.PollInterval).Should(BeFalse(), r.ID)
				caller.Close()
			}
		}
	})
})
