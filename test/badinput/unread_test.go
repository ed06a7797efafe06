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
	// longTestsEnv is the environment variable that enables tests that take longer than
	// half a minute.
	longTestsEnv = "UMBERHILL_LONG"
	// unreadTimeout is longer than the routers' write timeout of 30 s towards callers.
	unreadTimeout = 60 * time.Second
	// unreadTokens gives a response larger than any socket buffer.
	unreadTokens = 4_000_000
)

var _ = It("disconnects a caller that does not read its response, and frees the target", func(ctx context.Context) {
	if os.Getenv(longTestsEnv) == "" {
		Skip("takes more than 30 s; set " + longTestsEnv + " to run it")
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
	runningRequests := func() int {
		stats, err := fleet.Engines[0].EngineStats(ctx)
		Expect(err).NotTo(HaveOccurred())
		return stats.Running
	}
	Eventually(runningRequests).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(Equal(1))
	start := time.Now()
	Eventually(runningRequests).WithTimeout(unreadTimeout).WithPolling(pollInterval).Should(BeZero())
	GinkgoWriter.Println("target freed after", time.Since(start).Round(time.Second))
	expectServes(ctx, r)
})
