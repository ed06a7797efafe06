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

// register is the oracle: the versions of the contract that were written, and
// the newest one that has been seen in force everywhere.
type register struct {
	mu      sync.Mutex
	written int
	settled int
	faults  []string
}

func (g *register) next() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.written++
	return g.written
}

func (g *register) settle(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settled = max(g.settled, n)
}

func (g *register) state() (written, settled int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written, g.settled
}

func (g *register) fault(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = append(g.faults, fmt.Sprintf(format, args...))
}

// observe asks a router again and again which version it has in force. It must
// be at least the one that was in force everywhere before the question, also
// after a restart without memory, and never go back.
func (g *register) observe(ctx context.Context, r *harness.Router) {
	caller := r.Caller("")
	defer caller.Close()
	last := 0
	for ctx.Err() == nil {
		_, settled := g.state()
		inForce, asked := g.ask(ctx, caller, r, settled)
		if asked && inForce < max(last, settled) {
			g.fault("%s has version %d in force after %d; %d was in force everywhere", r.ID, inForce, last, settled)
		}
		last = max(last, inForce)
		select {
		case <-time.After(proctest.PollInterval):
		case <-ctx.Done():
		}
	}
}

// passes is how often all keys are tried before none counts as in force: the
// version may rise past the key being tried, but not more often than this.
const passes = 6

// ask finds the version in force; the newest that could be is tried first.
func (g *register) ask(ctx context.Context, caller *harness.Caller, r *harness.Router, settled int) (int, bool) {
	if !r.IsReady(ctx) {
		return 0, false
	}
	for range passes {
		written, _ := g.state()
		for n := written; n >= max(settled-1, 1); n-- {
			takes, err := proctest.AcceptsKey(ctx, caller, proctest.VersionKey(workspace, n))
			if err != nil {
				return 0, false
			}
			if takes {
				return n, true
			}
		}
	}
	return 0, true
}

// watchEnds is longer than the platform holds a watch: all watchers have got an
// answer by then.
const watchEnds = 6 * time.Second

var _ = Describe("A configuration in force", func() {
	It("never goes back, over restarts without memory, a platform that answers with an older state, outages and racing operators", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		f := proctest.Start(ctx, twoDomains())
		g := &register{}
		write := func() {
			n := g.next()
			Expect(f.Platform.Put(ctx, api.KindContract, workspace, proctest.VersionContract(workspace, n))).To(Succeed())
		}
		settle := func(routers []*harness.Router) {
			GinkgoHelper()
			n, _ := g.state()
			list, err := f.Platform.List(ctx, api.KindContract)
			Expect(err).NotTo(HaveOccurred())
			Expect(list.Objects).To(HaveLen(1))
			proctest.AwaitInForce(ctx, routers, list.Objects[0].Version)
			g.settle(n)
		}
		write()
		settle(f.Routers)

		watchCtx, stop := context.WithCancel(ctx)
		var wg conc.WaitGroup
		for _, r := range f.Routers {
			wg.Go(func() { g.observe(watchCtx, r) })
		}
		rng := rand.New(rand.NewPCG(1, 1))
		for round := range 4 {
			By(fmt.Sprintf("round %d", round))
			Expect(f.Platform.SetFaults(ctx, platform.Faults{Mark: true})).To(Succeed())
			write()
			write()
			settle(f.Routers)
			By("answering with the state before the last two writes")
			Expect(f.Platform.SetFaults(ctx, platform.Faults{Stale: true})).To(Succeed())
			if round == 0 {
				time.Sleep(watchEnds)
			}
			victims := rng.Perm(len(f.Routers))[:3]
			faults := []platform.Faults{{Stale: true}, {Down: platform.DownClose}, {Stale: true}, {Down: platform.DownRefuse}}
			Expect(f.Platform.SetFaults(ctx, faults[round])).To(Succeed())
			for _, i := range victims {
				Expect(f.Routers[i].Kill()).To(Succeed())
			}
			for _, i := range victims {
				Expect(f.Routers[i].Restart(ctx)).To(Succeed())
			}
			Expect(f.Platform.SetFaults(ctx, platform.Faults{})).To(Succeed())
			settle(f.Routers)
		}
		stop()
		wg.Wait()
		Expect(g.faults).To(BeEmpty())
		written, settled := g.state()
		Expect(settled).To(Equal(written))
	})

	It("follows deletion and re-creation", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
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
