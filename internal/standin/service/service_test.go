package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/service"
)

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service stand-in")
}

var _ = Describe("Service", func() {
	var (
		s      *service.Service
		caller *harness.Caller
		record string
	)

	start := func() {
		var err error
		s, err = service.New(service.Options{Name: "s", RecordFile: record, Exit: func(int) { panic(http.ErrAbortHandler) }})
		Expect(err).NotTo(HaveOccurred())
		web := httptest.NewServer(s)
		DeferCleanup(web.Close)
		caller = harness.NewCaller(strings.TrimPrefix(web.URL, "http://"), "")
	}
	order := func(path, body string) harness.Response {
		header := http.Header{"Idempotency-Key": {"k"}, "X-Request-Id": {"r"}}
		return caller.Do(context.Background(), http.MethodPost, path, header, []byte(body))
	}

	BeforeEach(func() {
		record = filepath.Join(GinkgoT().TempDir(), "runs")
		start()
	})

	It("preserves the recorded runs across a restart", func() {
		Expect(order("/orders?x=1", "ice").Status).To(Equal(200))
		start()
		Expect(order("/orders?x=1", "ice").Status).To(Equal(200))
		runs := s.Runs()
		Expect(runs).To(HaveLen(2))
		Expect(runs[0].BodyHash).To(Equal(service.BodyHash([]byte("ice"))))
		Expect(runs[1]).To(And(
			HaveField("Order", 2), HaveField("Method", "POST"), HaveField("Path", "/orders?x=1"),
			HaveField("IdempotencyKey", "k"), HaveField("RequestID", "r")))
		Expect(service.ReadRecord(record)).To(Equal(runs))
	})

	DescribeTable("exits at a crash point of a call", func(point service.CrashPoint, ran int) {
		Expect(order("/orders", service.CrashMarker(point)).Err).To(HaveOccurred())
		Expect(s.Runs()).To(HaveLen(ran))
		s.SetFaults(service.Faults{CrashAt: point, CrashCall: 2})
		Expect(order("/orders", "").Err).NotTo(HaveOccurred())
		Expect(order("/orders", "").Err).To(HaveOccurred())
		Expect(s.Runs()).To(HaveLen(2*ran + 1))
	},
		Entry("before", service.CrashBeforeRun, 0),
		Entry("during", service.CrashDuringRun, 1),
		Entry("after", service.CrashAfterRun, 1),
	)

	It("drops a response after the run", func() {
		s.SetFaults(service.Faults{DropNextResponses: 1})
		Expect(order("/orders", "").Err).To(HaveOccurred())
		Expect(order("/orders", "").Err).NotTo(HaveOccurred())
		Expect(s.Runs()).To(HaveLen(2))
	})
})
