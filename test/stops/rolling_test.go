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

// balancer stands in for the platform's load balancer: it sends requests only to
// ready routers.
type balancer struct {
	callers map[*harness.Router]*harness.Caller
	ready   atomic.Pointer[[]*harness.Caller]
}

const (
	// leadMS is how long a stopping router still accepts requests.
	leadMS = 500
	// readinessInterval is how often the balancer checks readiness. It is far shorter
	// than leadMS, so that the balancer stops using a router before that router refuses
	// requests.
	readinessInterval = 50 * time.Millisecond
)

func newBalancer(f *harness.Fleet) *balancer {
	lb := &balancer{callers: map[*harness.Router]*harness.Caller{}}
	for _, r := range f.Routers {
		lb.callers[r] = r.Caller(workspace)
	}
	return lb
}

// trackReadiness updates the list of ready routers until ctx ends.
func (lb *balancer) trackReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*harness.Caller
		for r, caller := range lb.callers {
			if r.IsReady(ctx) {
				ready = append(ready, caller)
			}
		}
		lb.ready.Store(&ready)
		select {
		case <-time.After(readinessInterval):
		case <-ctx.Done():
		}
	}
}

func (lb *balancer) pickReady(rng *rand.Rand) *harness.Caller {
	ready := *lb.ready.Load()
	return ready[rng.IntN(len(ready))]
}

// tally counts the results of the requests.
type tally struct {
	mu       sync.Mutex
	verdicts map[harness.Verdict]int
	// interrupted describes each response that is neither correct nor a refusal with
	// the outcome not run.
	interrupted []string
	// refused counts the refusals with the outcome not run. A stopping router may
	// refuse waiting requests.
	refused int
	// orderOutcomes holds the outcomes by idempotency key.
	orderOutcomes map[string]outcome.Outcome
}

func (t *tally) addStream(req harness.CompletionRequest, resp harness.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := harness.CheckResponse(req, resp)
	t.verdicts[v]++
	if isNotRun(resp) {
		t.refused++
		return
	}
	if v != harness.VerdictCorrect {
		t.interrupted = append(t.interrupted, fmt.Sprintf("%s: status %d, %v, %+v", v, resp.Status, resp.Err, resp.Refusal))
	}
}

func isNotRun(resp harness.Response) bool {
	return resp.Refusal != nil && resp.Refusal.Outcome == outcome.NotRun
}

func (t *tally) addOrder(key string, resp harness.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orderOutcomes[key] = resp.Outcome()
	if isNotRun(resp) {
		t.refused++
		return
	}
	if resp.Err != nil || resp.Status != http.StatusOK {
		t.interrupted = append(t.interrupted, fmt.Sprintf("order %s: status %d, %v, %+v", key, resp.Status, resp.Err, resp.Refusal))
	}
}

var _ = Describe("A rolling restart of all routers under load", func() {
	It("interrupts no request and runs no order twice", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
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
		lb := newBalancer(f)
		t := &tally{verdicts: map[harness.Verdict]int{}, orderOutcomes: map[string]outcome.Outcome{}}
		loadCtx, stop := context.WithCancel(ctx)
		defer stop()
		var wg conc.WaitGroup
		wg.Go(func() { lb.trackReadiness(loadCtx) })
		Eventually(func() bool { return lb.ready.Load() != nil && len(*lb.ready.Load()) == len(f.Routers) }, proctest.EventuallyTimeout, proctest.PollInterval).Should(BeTrue())
		for worker := range 8 {
			wg.Go(func() { sendStreams(loadCtx, lb, t, uint64(worker)) })
			wg.Go(func() { sendOrders(loadCtx, lb, t, uint64(worker)) })
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

		GinkgoWriter.Printf("streams %v, orders %d, refused before they ran %d\n", t.verdicts, len(t.orderOutcomes), t.refused)
		Expect(t.interrupted).To(BeEmpty())
		Expect(t.verdicts).To(HaveKeyWithValue(harness.VerdictCorrect, BeNumerically(">", 50)))
		expectEachOnce(f, t)
	})
})

func sendStreams(ctx context.Context, lb *balancer, t *tally, seed uint64) {
	rng := rand.New(rand.NewPCG(1, seed))
	for n := 0; ctx.Err() == nil; n++ {
		req := harness.CompletionRequest{Model: "m", Prompt: fmt.Sprintf("stream %d of %d", n, seed), MaxTokens: 10 + rng.IntN(40), Stream: true}
		t.addStream(req, lb.pickReady(rng).Complete(context.WithoutCancel(ctx), req))
	}
}

func sendOrders(ctx context.Context, lb *balancer, t *tally, seed uint64) {
	rng := rand.New(rand.NewPCG(2, seed))
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("order-%d-%d", seed, n)
		t.addOrder(key, lb.pickReady(rng).Call(context.WithoutCancel(ctx), http.MethodPost, "orders", "/new", key, []byte(key)))
	}
}

// expectEachOnce checks the outcomes that callers got against the runs that the
// services recorded: no order ran twice, and each outcome is true.
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
	var ranTwice, wrongOutcome []string
	for key, n := range runs {
		if n > 1 {
			ranTwice = append(ranTwice, key)
		}
	}
	for key, o := range t.orderOutcomes {
		if o == outcome.Done && runs[key] == 0 || o == outcome.NotRun && runs[key] > 0 {
			wrongOutcome = append(wrongOutcome, key)
		}
	}
	slices.Sort(ranTwice)
	Expect(ranTwice).To(BeEmpty())
	Expect(wrongOutcome).To(BeEmpty(), "keys whose reported outcome differs from the recorded runs")
	Expect(len(t.orderOutcomes)).To(BeNumerically(">", 100))
}
