package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/standin/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform stand-in")
}

var _ = Describe("Server", func() {
	var (
		server *platform.Server
		url    string
	)

	BeforeEach(func() {
		server = platform.New(platform.Options{MaxEvents: 2})
		web := httptest.NewServer(server)
		DeferCleanup(web.Close)
		url = web.URL
	})

	do := func(method, path, body string, header ...string) (int, string) {
		GinkgoHelper()
		req, err := http.NewRequest(method, url+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		for i := 0; i < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode, strings.TrimSpace(string(text))
	}
	put := func(path string, header ...string) int {
		GinkgoHelper()
		status, _ := do(http.MethodPut, path, `{"a":1}`, header...)
		return status
	}

	It("applies conditional writes and returns the existing object on a conflict", func() {
		Expect(put("/v1/objects/k/a", "If-None-Match", "*")).To(Equal(200))
		Expect(put("/v1/objects/k/a", "If-None-Match", "*")).To(Equal(412))
		status, body := do(http.MethodPut, "/v1/objects/k/a", `{"a":2}`, "If-Match", `"1"`)
		Expect(status).To(Equal(200))
		Expect(body).To(Equal(`{"kind":"k","name":"a","version":2,"value":{"a":2}}`))
		status, body = do(http.MethodPut, "/v1/objects/k/a", `{"a":3}`, "If-Match", `"1"`)
		Expect(status).To(Equal(412))
		Expect(body).To(Equal(`{"error":"conflict","current":{"kind":"k","name":"a","version":2,"value":{"a":2}}}`))
		status, body = do(http.MethodPut, "/v1/objects/k/b", `{}`, "If-Match", `"1"`)
		Expect(status).To(Equal(412))
		Expect(body).To(Equal(`{"error":"conflict","current":null}`))
		status, body = do(http.MethodDelete, "/v1/objects/k/a", "", "If-Match", `"2"`)
		Expect(status).To(Equal(200))
		Expect(body).To(Equal(`{"version":3}`))
		status, _ = do(http.MethodDelete, "/v1/objects/k/a", "")
		Expect(status).To(Equal(404))
		status, body = do(http.MethodGet, "/v1/objects/k", "")
		Expect(status).To(Equal(200))
		Expect(body).To(Equal(`{"revision":3,"objects":[]}`))
	})

	It("refuses values that are too large or not valid JSON", func() {
		status, _ := do(http.MethodPut, "/v1/objects/k/a", `"`+strings.Repeat("x", platform.MaxValueBytes)+`"`)
		Expect(status).To(Equal(413))
		status, _ = do(http.MethodPut, "/v1/objects/k/a", `{`)
		Expect(status).To(Equal(400))
	})

	It("delivers changes to watches and refuses compacted revisions", func() {
		done := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := do(http.MethodGet, "/v1/watch?kinds=x,k&since=0&wait_ms=10000", "")
			done <- body
		}()
		Eventually(func() uint64 { return server.Stats().Watches }).Should(BeEquivalentTo(1))
		put("/v1/objects/other/a")
		put("/v1/objects/k/a")
		Eventually(done).Should(Receive(Equal(
			`{"revision":2,"events":[{"deleted":false,"object":{"kind":"k","name":"a","version":2,"value":{"a":1}}}]}`)))
		put("/v1/objects/k/b")
		status, _ := do(http.MethodGet, "/v1/watch?kinds=k&since=0&wait_ms=1", "")
		Expect(status).To(Equal(410))
		_, body := do(http.MethodGet, "/v1/watch?kinds=k&since=3&wait_ms=1", "")
		Expect(body).To(Equal(`{"revision":3,"events":[]}`))
	})

	It("drops responses after the write was applied", func() {
		server.SetFaults(platform.Faults{DropNextResponses: 1})
		Expect(put("/v1/objects/k/a")).To(Equal(0))
		status, _ := do(http.MethodGet, "/v1/objects/k/a", "")
		Expect(status).To(Equal(200))
		Expect(put("/v1/objects/k/a", "If-Match", `"1"`)).To(Equal(200))
	})

	It("applies the faults down, rate limit, cut and stale", func() {
		Expect(put("/v1/objects/k/a")).To(Equal(200))
		server.SetFaults(platform.Faults{Down: platform.DownRefuse})
		Expect(put("/v1/objects/k/a")).To(Equal(503))
		server.SetFaults(platform.Faults{Down: platform.DownClose})
		Expect(put("/v1/objects/k/a")).To(Equal(0))
		server.SetFaults(platform.Faults{WritesPerSecond: 1})
		Expect(put("/v1/objects/k/a")).To(Equal(200))
		Expect(put("/v1/objects/k/a")).To(Equal(429))
		server.SetFaults(platform.Faults{CutTokens: []string{"t"}})
		Expect(put("/v1/objects/k/a", "Authorization", "Bearer t")).To(Equal(0))
		server.SetFaults(platform.Faults{Stale: true})
		Expect(put("/v1/objects/k/new")).To(Equal(200))
		status, _ := do(http.MethodGet, "/v1/objects/k/new", "")
		Expect(status).To(Equal(404))
		server.SetFaults(platform.Faults{})
		status, _ = do(http.MethodGet, "/v1/objects/k/new", "")
		Expect(status).To(Equal(200))
	})

	It("closes the connection of a waiting watch when it goes down", func() {
		done := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _ := do(http.MethodGet, "/v1/watch?kinds=k&since=0&wait_ms=60000", "")
			done <- status
		}()
		Eventually(func() uint64 { return server.Stats().Watches }).Should(BeEquivalentTo(1))
		Consistently(done, 20*time.Millisecond).ShouldNot(Receive())
		server.SetFaults(platform.Faults{Down: platform.DownClose})
		Eventually(done).Should(Receive(Equal(0)))
	})
})
