// Package badinput_test checks that malformed and hostile input from callers and
// peers stops no router, uses bounded resources, and gets a typed refusal.
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
	// eventualTimeout is a generous deadline for conditions that must become true.
	eventualTimeout = 20 * time.Second
	pollInterval    = 50 * time.Millisecond
	// maxBodyBytes is the limit for request bodies, in bytes.
	maxBodyBytes = 64 << 10
	// maxHeldRequests is the limit for requests that a router holds at a time.
	maxHeldRequests = 256
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
			s.Callers.MaxBodyBytes = maxBodyBytes
			s.Callers.MaxHeld = maxHeldRequests
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

func request() harness.CompletionRequest {
	return harness.CompletionRequest{Model: model, Prompt: "stock", MaxTokens: 5}
}

// expectServes checks that a router answers a valid request.
func expectServes(ctx context.Context, r *harness.Router) {
	GinkgoHelper()
	caller := r.Caller("ws")
	defer caller.Close()
	Eventually(func(g Gomega) {
		resp := caller.Complete(ctx, request())
		g.Expect(harness.CheckResponse(request(), resp)).To(Equal(harness.VerdictCorrect), "%+v", resp)
	}).WithTimeout(eventualTimeout).Should(Succeed())
}

// metric returns the sum of the series of a metric that have all of the label
// pairs.
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

var _ = DescribeTable("A bad request gets a typed refusal with the outcome not run",
	func(ctx context.Context, path, workspace string, body string, status int, code outcome.Code) {
		caller := harness.NewCaller(fleet.Routers[0].CallersAddress, workspace)
		defer caller.Close()
		resp := caller.Do(ctx, http.MethodPost, path, nil, []byte(body))
		Expect(resp.Err).NotTo(HaveOccurred())
		Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
		Expect(resp.Status).To(Equal(status))
		Expect(resp.Refusal.Code).To(Equal(code))
		Expect(resp.Outcome()).To(Equal(outcome.NotRun))
		Expect(resp.RequestID()).NotTo(BeEmpty())
	},
	Entry("body over the limit", "/v1/completions", "ws", strings.Repeat("x", maxBodyBytes+1), 413, outcome.CodeBodyTooLarge),
	Entry("service body over the limit", "/services/svc/x", "ws", strings.Repeat("x", maxBodyBytes+1), 413, outcome.CodeBodyTooLarge),
	Entry("no API key", "/v1/completions", "", `{"model":"m","prompt":"p"}`, 401, outcome.CodeUnauthorized),
	Entry("API key of an unknown workspace", "/v1/completions", "nobody", `{"model":"m","prompt":"p"}`, 401, outcome.CodeUnauthorized),
	Entry("malformed JSON", "/v1/completions", "ws", `{"model":`, 400, outcome.CodeBadRequest),
	Entry("deeply nested JSON", "/v1/completions", "ws", strings.Repeat("[", maxBodyBytes-1), 400, outcome.CodeBadRequest),
	Entry("no model", "/v1/chat/completions", "ws", `{"messages":[]}`, 400, outcome.CodeBadRequest),
	Entry("unknown model", "/v1/completions", "ws", `{"model":"other","prompt":"p"}`, 404, outcome.CodeUnknownModel),
	Entry("unknown service", "/services/other/x", "ws", `{}`, 404, outcome.CodeUnknownService),
)

const (
	// requestsEnv is the environment variable that sets the number of requests of
	// the memory test.
	requestsEnv = "UMBERHILL_MEMORY_REQUESTS"
	// defaultRequests is the number of requests in CI.
	defaultRequests = 9_000
	// warmupDivisor is the divisor that gives the number of requests before the first
	// reading.
	warmupDivisor = 3
	// maxHeapGrowth is the limit for heap growth over the remaining requests, in
	// bytes. It allows for the variation of readings between garbage collections.
	maxHeapGrowth = 4 << 20
	// maxResidentMemory is the limit for the resident memory of a router, in bytes.
	maxResidentMemory = 128 << 20
	// loadWorkers is the number of concurrent callers.
	loadWorkers = 32
	// maxExtraGoroutines is the limit for the increase in goroutines. Connections to
	// targets do not count here, since they are closed after one idle second.
	maxExtraGoroutines = 5
)

// memoryTestRequests returns the number of requests of the memory test.
func memoryTestRequests() int {
	if n, err := strconv.Atoi(os.Getenv(requestsEnv)); err == nil {
		return n
	}
	return defaultRequests
}

var _ = It("keeps memory and goroutines flat over many requests", func(ctx context.Context) {
	r := fleet.Routers[0]
	n := memoryTestRequests()
	sendLoad(ctx, r, n/warmupDivisor)
	warm, goroutines := minIdleUsage(r)
	sendLoad(ctx, r, n-n/warmupDivisor)
	after, goroutinesAfter := minIdleUsage(r)
	GinkgoWriter.Printf("%d requests: minimum heap %.0f, then %.0f bytes; goroutines %.0f, then %.0f\n",
		n, warm, after, goroutines, goroutinesAfter)
	Expect(after - warm).To(BeNumerically("<", maxHeapGrowth))
	Expect(goroutinesAfter).To(BeNumerically("<=", goroutines+maxExtraGoroutines))
	Expect(metric(Default, r, "process_resident_memory_bytes")).To(BeNumerically("<", maxResidentMemory))
})

// sendLoad sends n requests from concurrent workers and checks every response.
func sendLoad(ctx context.Context, r *harness.Router, n int) {
	GinkgoHelper()
	caller := r.Caller("ws")
	defer caller.Close()
	results := make(chan harness.Verdict, loadWorkers)
	for worker := range loadWorkers {
		share := n / loadWorkers
		if worker < n%loadWorkers {
			share++
		}
		go func() {
			worst := harness.VerdictCorrect
			for i := range share {
				req := request()
				req.Stream = i%2 == 0
				if v := harness.CheckResponse(req, caller.Complete(ctx, req)); v != harness.VerdictCorrect {
					worst = v
				}
			}
			results <- worst
		}()
	}
	for range loadWorkers {
		Expect(<-results).To(Equal(harness.VerdictCorrect))
	}
}

// minIdleUsage reads the metrics of an idle router for 2 s, in which the callers'
// connections close and several garbage collections run. It returns the lowest heap
// size, in bytes, and the lowest number of goroutines.
func minIdleUsage(r *harness.Router) (heap, goroutines float64) {
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
