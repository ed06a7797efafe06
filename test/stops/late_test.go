package stops_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/settings"
)

var _ = Describe("A router at the end of its stop", func() {
	It("does not run what arrives late, and cuts no request that it took", SpecTimeout(proctest.SpecLimit), func(ctx context.Context) {
		const stopSeconds = 4
		f := proctest.Start(ctx, harness.Spec{
			Domains:      []harness.Domain{{Name: "a", Routers: 1, Engines: engines(1, 3)}},
			EditSettings: func(s *settings.Settings) { s.StopSeconds = stopSeconds },
		})
		Expect(f.ApplyContract(ctx, harness.Contract(workspace, 1))).To(Succeed())
		r := f.Routers[0]
		caller := r.Caller(workspace)
		DeferCleanup(caller.Close)
		longResponses := newResponseSet(1)
		longResponses.send(ctx, caller, longRequest())
		waitRunning(ctx, f.Engines[0], 1)
		body := `{"model":"m","prompt":"late","max_tokens":150}`
		head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nAuthorization: Bearer " + caller.Key + "\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		started := startedRequests(ctx, f.Engines[0])
		var conns []net.Conn
		for range 3 {
			conn, err := net.Dial("tcp", r.CallersAddress)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.SetDeadline(time.Now().Add(proctest.EventuallyTimeout))).To(Succeed())
			_, err = io.WriteString(conn, head[:20])
			Expect(err).NotTo(HaveOccurred())
			conns = append(conns, conn)
		}
		time.Sleep(50 * time.Millisecond)
		r.Terminate()
		for _, conn := range conns {
			time.Sleep(time.Second)
			_, err := io.WriteString(conn, head[20:]+body)
			Expect(err).NotTo(HaveOccurred())
		}
		for _, conn := range conns {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(startedRequests(ctx, f.Engines[0])).To(Equal(started))
		expectCorrect(longRequest(), longResponses.wait())
	})
})
