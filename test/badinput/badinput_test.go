// Package badinput_test proves that broken and hostile callers and peers take
// no router down, cost bounded resources, and get clear answers.
package badinput_test

import (
	"context"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	model = "m"
	// patience is a generous limit for things that must happen at all.
	patience = 20 * time.Second
	poll     = 50 * time.Millisecond
	maxBody  = 64 << 10
	maxHeld  = 256
)

func TestBadInput(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bad input")
}

var fleet *harness.Fleet

var _ = BeforeSuite(func(ctx context.Context) {
	binaries, err := harness.Build(ctx)
	Expect(err).NotTo(HaveOccurred())
	fleet, err = harness.Start(ctx, binaries, harness.Spec{
		Domains: []harness.Domain{{
			Name: "a", Routers: 2,
			Engines:  []harness.Engine{{Models: []string{model}, Concurrency: 64, TokensPerSecond: 1e5}},
			Services: []harness.Service{{Name: "svc"}},
		}},
		EditSettings: func(s *settings.Settings) {
			s.Callers.ReadSeconds = 1
			s.Callers.IdleSeconds = 1
			s.Targets.IdleSeconds = 1
			s.Callers.MaxBodyBytes = maxBody
			s.Callers.MaxHeld = maxHeld
		},
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(fleet.ApplyContract(ctx, harness.Contract("ws", 1))).To(Succeed())
})

var _ = AfterSuite(func() {
	if fleet != nil {
		fleet.Close()
	}
	Expect(harness.Clean()).To(Succeed())
})

func ask() harness.CompletionRequest {
	return harness.CompletionRequest{Model: model, Prompt: "stock", MaxTokens: 5}
}

// serves proves that a router answers.
func serves(ctx context.Context, r *harness.Router) {
	GinkgoHelper()
	caller := r.Caller("ws")
	defer caller.Close()
	Eventually(func(g Gomega) {
		answer := caller.Complete(ctx, ask())
		g.Expect(harness.CheckResponse(ask(), answer)).To(Equal(harness.VerdictCorrect), "%+v", answer)
	}).WithTimeout(patience).Should(Succeed())
}

// metric sums the series of a metric that carry all of the label pairs.
func metric(g Gomega, r *harness.Router, name string, labels ...string) float64 {
	GinkgoHelper()
	text, err := r.Metrics(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	sum := 0.0
	for line := range strings.Lines(text) {
		series, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || series != name && !strings.HasPrefix(series, name+"{") || !containsAll(series, labels) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		g.Expect(err).NotTo(HaveOccurred())
		sum += v
	}
	return sum
}

func containsAll(text string, parts []string) bool {
	for _, p := range parts {
		if !strings.Contains(text, p) {
			return false
		}
	}
	return true
}

var _ = DescribeTable("A bad request gets a typed refusal that says not run",
	func(ctx context.Context, path, workspace string, body string, status int, code outcome.Code) {
		caller := harness.NewCaller(fleet.Routers[0].CallersAddress, workspace)
		defer caller.Close()
		answer := caller.Do(ctx, http.MethodPost, path, nil, []byte(body))
		Expect(answer.Err).NotTo(HaveOccurred())
		Expect(answer.Refusal).NotTo(BeNil(), "%+v", answer)
		Expect(answer.Status).To(Equal(status))
		Expect(answer.Refusal.Code).To(Equal(code))
		Expect(answer.Outcome()).To(Equal(outcome.NotRun))
		Expect(answer.RequestID()).NotTo(BeEmpty())
	},
	Entry("body over the limit", "/v1/completions", "ws", strings.Repeat("x", maxBody+1), 413, outcome.CodeBodyTooLarge),
	Entry("service body over the limit", "/services/svc/x", "ws", strings.Repeat("x", maxBody+1), 413, outcome.CodeBodyTooLarge),
	Entry("no key", "/v1/completions", "", `{"model":"m","prompt":"p"}`, 401, outcome.CodeUnauthorized),
	Entry("key of no workspace", "/v1/completions", "nobody", `{"model":"m","prompt":"p"}`, 401, outcome.CodeUnauthorized),
	Entry("no JSON", "/v1/completions", "ws", `{"model":`, 400, outcome.CodeBadRequest),
	Entry("deep JSON", "/v1/completions", "ws", strings.Repeat("[", maxBody-1), 400, outcome.CodeBadRequest),
	Entry("no model", "/v1/chat/completions", "ws", `{"messages":[]}`, 400, outcome.CodeBadRequest),
	Entry("unknown model", "/v1/completions", "ws", `{"model":"other","prompt":"p"}`, 404, outcome.CodeUnknownModel),
	Entry("unknown service", "/services/other/x", "ws", `{}`, 404, outcome.CodeUnknownService),
)

// The number of requests of the memory test; CI runs the short one.
const (
	requestsVar   = "UMBERHILL_MEMORY_REQUESTS"
	requestsShort = 9_000
	// warmShare of the requests come before the first reading.
	warmShare = 3
	// growth is the most by which memory may grow over the rest, for the
	// spread of readings between garbage collections.
	growth = 4 << 20
	// targetMemory is what a node may take.
	targetMemory = 128 << 20
	parallel     = 32
	// moreGoroutines than before may be seen; connections to targets are not
	// among them, since they are closed after a second without use.
	moreGoroutines = 5
)

func requests() int {
	if n, err := strconv.Atoi(os.Getenv(requestsVar)); err == nil {
		return n
	}
	return requestsShort
}

var _ = It("keeps memory and goroutines flat over many requests", func(ctx context.Context) {
	r := fleet.Routers[0]
	n := requests()
	load(ctx, r, n/warmShare)
	warm, goroutines := idle(r)
	load(ctx, r, n-n/warmShare)
	after, goroutinesAfter := idle(r)
	GinkgoWriter.Printf("%d requests: least heap %.0f then %.0f bytes, goroutines %.0f then %.0f\n",
		n, warm, after, goroutines, goroutinesAfter)
	Expect(after - warm).To(BeNumerically("<", growth))
	Expect(goroutinesAfter).To(BeNumerically("<=", goroutines+moreGoroutines))
	Expect(metric(Default, r, "process_resident_memory_bytes")).To(BeNumerically("<", targetMemory))
})

func load(ctx context.Context, r *harness.Router, n int) {
	GinkgoHelper()
	caller := r.Caller("ws")
	defer caller.Close()
	results := make(chan harness.Verdict, parallel)
	for worker := range parallel {
		share := n / parallel
		if worker < n%parallel {
			share++
		}
		go func() {
			worst := harness.VerdictCorrect
			for i := range share {
				a := ask()
				a.Stream = i%2 == 0
				if v := harness.CheckResponse(a, caller.Complete(ctx, a)); v != harness.VerdictCorrect {
					worst = v
				}
			}
			results <- worst
		}()
	}
	for range parallel {
		Expect(<-results).To(Equal(harness.VerdictCorrect))
	}
}

// idle waits until the callers' connections are gone and returns the least heap
// and number of goroutines seen over some collections.
func idle(r *harness.Router) (heap, goroutines float64) {
	GinkgoHelper()
	const readings, pause = 40, 50 * time.Millisecond
	heap, goroutines = math.Inf(1), math.Inf(1)
	for range readings {
		time.Sleep(pause)
		heap = min(heap, metric(Default, r, "go_memstats_heap_alloc_bytes"))
		goroutines = min(goroutines, metric(Default, r, "go_goroutines"))
	}
	return heap, goroutines
}
