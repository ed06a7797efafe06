package badinput_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
)

const (
	// longVar is set where tests of more than half a minute are to run.
	longVar = "UMBERHILL_LONG"
	// unreadWait is above the 30 s that a caller has for one write.
	unreadWait = 60 * time.Second
	// unreadTokens make an answer that no socket buffer holds.
	unreadTokens = 4_000_000
)

var _ = It("cuts off a caller that does not read its answer, and frees the target", func(ctx context.Context) {
	if os.Getenv(longVar) == "" {
		Skip("takes more than 30 s; runs where " + longVar + " is set")
	}
	r := fleet.Routers[1]
	conn := dial(r.CallersAddress)
	DeferCleanup(conn.Close)
	body := fmt.Sprintf(`{"model":%q,"prompt":"p","max_tokens":%d,"stream":true}`, model, unreadTokens)
	request := strings.Join([]string{
		"POST /v1/completions HTTP/1.1", "Host: x", "Authorization: Bearer " + harness.Key("ws"),
		fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}, "\r\n")
	_, err := conn.Write([]byte(request))
	Expect(err).NotTo(HaveOccurred())
	running := func() int {
		stats, err := fleet.Engines[0].EngineStats(ctx)
		Expect(err).NotTo(HaveOccurred())
		return stats.Running
	}
	Eventually(running).WithTimeout(patience).WithPolling(poll).Should(Equal(1))
	began := time.Now()
	Eventually(running).WithTimeout(unreadWait).WithPolling(poll).Should(BeZero())
	GinkgoWriter.Println("freed after", time.Since(began).Round(time.Second))
	serves(ctx, r)
})
