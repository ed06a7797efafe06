// Package path_test sends requests through a fleet of real processes and checks the
// responses that callers get.
package path_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/settings"
)

// eventualTimeout is a generous deadline for conditions that must become true.
const eventualTimeout = 20 * time.Second

// maxBodyBytes is the limit for request bodies, in bytes.
const maxBodyBytes = 4096

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "path")
}

var _ = AfterSuite(func() { Expect(harness.Clean()).To(Succeed()) })

var _ = Describe("A fleet of one router", Ordered, func() {
	var (
		fleet  *harness.Fleet
		caller *harness.Caller
	)

	BeforeAll(func(ctx context.Context) {
		binaries, err := harness.Build(ctx)
		Expect(err).NotTo(HaveOccurred())
		fleet, err = harness.Start(context.Background(), binaries, harness.Spec{
			Domains: []harness.Domain{{
				Name: "a", Routers: 1,
				Engines:  []harness.Engine{{Models: []string{"m"}, TokensPerSecond: 50}},
				Services: []harness.Service{{Name: "ice"}},
			}},
			EditSettings: func(s *settings.Settings) { s.Callers.MaxBodyBytes = maxBodyBytes },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(fleet.Logs())
			}
			fleet.Close()
		})
		Expect(fleet.ApplyContract(ctx, harness.Contract("ws", 1))).To(Succeed())
		caller = fleet.Routers[0].Caller("ws")
	})

	expectRefused := func(resp harness.Response, status int, code outcome.Code) {
		GinkgoHelper()
		Expect(resp.Err).NotTo(HaveOccurred())
		Expect(resp.Status).To(Equal(status))
		Expect(resp.Refusal).NotTo(BeNil())
		Expect(resp.Refusal.Code).To(Equal(code))
		Expect(resp.Refusal.Outcome).To(Equal(outcome.NotRun))
		Expect(resp.Outcome()).To(Equal(outcome.NotRun))
		Expect(resp.RequestID()).NotTo(BeEmpty())
	}

	post := func(ctx context.Context, path, body string) harness.Response {
		return caller.Do(ctx, http.MethodPost, path, nil, []byte(body))
	}

	It("answers a completion, streamed or not", func(ctx context.Context) {
		for _, stream := range []bool{false, true} {
			req := harness.CompletionRequest{Model: "m", Prompt: "hello", MaxTokens: 8, Stream: stream}
			resp := caller.Complete(ctx, req)
			Expect(resp.Status).To(Equal(http.StatusOK))
			Expect(resp.Text).To(Equal(req.ExpectedText()))
			Expect(resp.Outcome()).To(Equal(outcome.Done))
		}
	})

	It("refuses a body over the limit", func(ctx context.Context) {
		body := `{"model":"m","prompt":"` + string(bytes.Repeat([]byte("x"), maxBodyBytes)) + `"}`
		expectRefused(post(ctx, "/v1/completions", body), http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge)
	})

	DescribeTable("refuses a malformed model request",
		func(ctx context.Context, body string) {
			expectRefused(post(ctx, "/v1/completions", body), http.StatusBadRequest, outcome.CodeBadRequest)
		},
		Entry("that is not valid JSON", `{"model":`),
		Entry("that is not an object", `[1]`),
		Entry("without a model", `{"prompt":"x"}`),
		Entry("without a prompt", `{"model":"m"}`),
		Entry("with a negative length", `{"model":"m","prompt":"x","max_tokens":-1}`),
		Entry("with a model that is not a string", `{"model":7,"prompt":"x"}`),
	)

	It("refuses an unknown model, service and path", func(ctx context.Context) {
		expectRefused(post(ctx, "/v1/completions", `{"model":"none","prompt":"x"}`), http.StatusNotFound, outcome.CodeUnknownModel)
		expectRefused(post(ctx, "/services/none/x", ""), http.StatusNotFound, outcome.CodeUnknownService)
	})

	It("refuses a wrong API key, a missing one, and one of an unknown workspace", func(ctx context.Context) {
		for _, key := range []string{"", "wrong", harness.Key("nobody")} {
			other := harness.NewCaller(fleet.Routers[0].CallersAddress, "")
			other.Key = key
			resp := other.Complete(ctx, harness.CompletionRequest{Model: "m", Prompt: "x", MaxTokens: 1})
			expectRefused(resp, http.StatusUnauthorized, outcome.CodeUnauthorized)
			other.Close()
		}
	})

	DescribeTable("refuses a malformed header",
		func(ctx context.Context, name, value string) {
			req := harness.CompletionRequest{Model: "m", Prompt: "x", MaxTokens: 1, Header: http.Header{name: {value}}}
			expectRefused(caller.Complete(ctx, req), http.StatusBadRequest, outcome.CodeBadRequest)
		},
		Entry(nil, "Umberhill-Timeout-Ms", "0"),
		Entry(nil, "Umberhill-Timeout-Ms", "soon"),
		Entry(nil, "Umberhill-Cost-Hint", "-1"),
		Entry(nil, "Umberhill-Cost-Hint", "NaN"),
	)

	It("cancels the request at the engine when the caller disconnects", func(ctx context.Context) {
		engine := fleet.Engines[0]
		before, err := engine.EngineStats(ctx)
		Expect(err).NotTo(HaveOccurred())
		caller.Complete(ctx, harness.CompletionRequest{
			Model: "m", Prompt: "leave", MaxTokens: 100_000, Stream: true,
			OnEvent: func(n int, _ string) bool { return n < 3 },
		})
		Eventually(func(g Gomega) {
			after, err := engine.EngineStats(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after.Canceled).To(Equal(before.Canceled + 1))
			g.Expect(after.Running).To(BeZero())
		}).WithTimeout(eventualTimeout).Should(Succeed())
	})

	It("runs a once-only order once and repeats its response", func(ctx context.Context) {
		first := caller.Call(ctx, http.MethodPost, "ice", "/orders", "order-1", []byte(`{"t":3}`))
		Expect(first.Status).To(BeNumerically("<", http.StatusMultipleChoices))
		again := caller.Call(ctx, http.MethodPost, "ice", "/orders", "order-1", []byte(`{"t":3}`))
		Expect(again.Status).To(Equal(first.Status))
		Expect(again.Body).To(Equal(first.Body))
		Expect(again.Header.Get("Umberhill-Replayed")).To(Equal("true"))
		other := caller.Call(ctx, http.MethodPost, "ice", "/orders", "order-1", []byte(`{"t":4}`))
		expectRefused(other, http.StatusUnprocessableEntity, outcome.CodeKeyReused)
		runs, err := fleet.Services[0].Runs()
		Expect(err).NotTo(HaveOccurred())
		Expect(runs).To(HaveLen(1))
	})
})
