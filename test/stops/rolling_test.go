package stops_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/settings"
)

// balancer stands for the platform's: it sends requests to ready routers only.
type balancer struct {
	callers map[*harness.Router]*harness.Caller
	ready   atomic.Pointer[[]*harness.Caller]
}

// lead is for how long a stopping router still takes requests; the balancer
// looks far more often.
const (
	leadMS    = 500
	lookEvery = 50 * time.Millisecond
)

func newBalancer(f *harness.Fleet) *balancer {
	b := &balancer{callers: map[*harness.Router]*harness.Caller{}}
	for _, r := range f.Routers {
		b.callers[r] = r.Caller(workspace)
	}
	return b
}

// look keeps the list of ready routers until ctx ends.
func (b *balancer) look(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*harness.Caller
		for r, caller := range b.callers {
			if r.IsReady(ctx) {
				ready = append(ready, caller)
			}
		}
		b.ready.Store(&ready)
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
		}
	}
}

func (b *balancer) pick(rng *rand.Rand) *harness.Caller {
	ready := *b.ready.Load()
	return ready[rng.IntN(len(ready))]
}

// tally counts what became of the requests.
type tally struct {
	mu       sync.Mutex
	verdicts map[harness.Verdict]int
	cut      []string
	// refused before they ran, which a stop may do to what waits.
	refused int
	// orders are the outcomes by idempotency key.
	orders map[string]outcome.Outcome
}

func (t *tally) stream(ask harness.CompletionRequest, a harness.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := harness.CheckResponse(ask, a)
	t.verdicts[v]++
	if notRun(a) {
		t.refused++
		return
	}
	if v != harness.VerdictCorrect {
		t.cut = append(t.cut, fmt.Sprintf("%s: status %d, %v, %+v", v, a.Status, a.Err, a.Refusal))
	}
}

func notRun(a harness.Response) bool {
	return a.Refusal != nil && a.Refusal.Outcome == outcome.NotRun
}

func (t *tally) order(key string, a harness.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[key] = a.Outcome()
	if notRun(a) {
		t.refused++
		return
	}
	if a.Err != nil || a.Status != http.StatusOK {
		t.cut = append(t.cut, fmt.Sprintf("order %s: status %d, %v, %+v", key, a.Status, a.Err, a.Refusal))
	}
}

var _ = Describe("A rolling restart of all routers under load", func() {
	It("cuts nothing, and runs no order twice", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		domain := func(name string) harness.Domain {
			return harness.Domain{
				Name: name, Routers: 4, Engines: engines(1, 16),
				Services: []harness.Service{{Name: "orders", RunTime: 20 * time.Millisecond}},
			}
		}
		f := proctest.Start(ctx, harness.Spec{
			Domains:      []harness.Domain{domain("a"), domain("b")},
			EditSettings: func(s *settings.Settings) { s.StopLeadMS = leadMS },
		})
		Expect(f.ApplyContract(ctx, harness.Contract(workspace, 1))).To(Succeed())
		b := newBalancer(f)
		t := &tally{verdicts: map[harness.Verdict]int{}, orders: map[string]outcome.Outcome{}}
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		var wg conc.WaitGroup
		wg.Go(func() { b.look(loadCtx) })
		Eventually(func() bool { return b.ready.Load() != nil && len(*b.ready.Load()) == len(f.Routers) }, proctest.EventuallyTimeout, proctest.PollInterval).Should(BeTrue())
		for worker := range 8 {
			wg.Go(func() { streams(loadCtx, b, t, uint64(worker)) })
			wg.Go(func() { orders(loadCtx, b, t, uint64(worker)) })
		}
		for _, r := range f.Routers {
			r.Terminate()
			code, err := r.Wait(proctest.EventuallyTimeout)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(BeZero())
			Expect(r.Restart(ctx)).To(Succeed())
		}
		stop()
		wg.Wait()

		GinkgoWriter.Printf("streams %v, orders %d, refused before they ran %d\n", t.verdicts, len(t.orders), t.refused)
		Expect(t.cut).To(BeEmpty())
		Expect(t.verdicts).To(HaveKeyWithValue(harness.VerdictCorrect, BeNumerically(">", 50)))
		expectEachOnce(f, t)
	})
})

func streams(ctx context.Context, b *balancer, t *tally, seed uint64) {
	rng := rand.New(rand.NewPCG(1, seed))
	for n := 0; ctx.Err() == nil; n++ {
		ask := harness.CompletionRequest{Model: "m", Prompt: fmt.Sprintf("stream %d of %d", n, seed), MaxTokens: 10 + rng.IntN(40), Stream: true}
		t.stream(ask, b.pick(rng).Complete(context.WithoutCancel(ctx), ask))
	}
}

func orders(ctx context.Context, b *balancer, t *tally, seed uint64) {
	rng := rand.New(rand.NewPCG(2, seed))
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("order-%d-%d", seed, n)
		t.order(key, b.pick(rng).Call(context.WithoutCancel(ctx), http.MethodPost, "orders", "/new", key, []byte(key)))
	}
}

// expectEachOnce compares the services' own records with what callers were told.
func expectEachOnce(f *harness.Fleet, t *tally) {
	GinkgoHelper()
	runs := map[string]int{}
	for _, s := range f.Services {
		record, err := s.Runs()
		Expect(err).NotTo(HaveOccurred())
		for _, run := range record {
			runs[run.IdempotencyKey]++
		}
	}
	var doubled, untrue []string
	for key, n := range runs {
		if n > 1 {
			doubled = append(doubled, key)
		}
	}
	for key, o := range t.orders {
		if o == outcome.Done && runs[key] == 0 || o == outcome.NotRun && runs[key] > 0 {
			untrue = append(untrue, key)
		}
	}
	slices.Sort(doubled)
	Expect(doubled).To(BeEmpty())
	Expect(untrue).To(BeEmpty(), "what callers were told differs from the record")
	Expect(len(t.orders)).To(BeNumerically(">", 100))
}
