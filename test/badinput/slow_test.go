package badinput_test

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
)

const slowCallers = 200

func dial(address string) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// isClosed reports whether the other side has closed a connection.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

var _ = DescribeTable("A slow caller is disconnected and does not affect other callers",
	func(ctx context.Context, sent string) {
		r := fleet.Routers[1]
		before := metric(Default, r, "go_goroutines")
		conns := make([]net.Conn, slowCallers)
		for i := range conns {
			conns[i] = dial(r.CallersAddress)
			_, err := conns[i].Write([]byte(sent))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conns[i].Close)
		}
		expectServes(ctx, r)
		for _, conn := range conns {
			Eventually(func() bool { return isClosed(conn) }).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(BeTrue())
		}
		Eventually(func(g Gomega) {
			g.Expect(metric(g, r, "go_goroutines")).To(BeNumerically("<", before+slowCallers/4))
		}).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(Succeed())
		expectServes(ctx, r)
	},
	Entry("that sends half the headers", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuth"),
	Entry("that sends half the body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
		harness.Key("ws")+"\r\nContent-Length: 100\r\n\r\n{\"model\""),
	Entry("that does not send HTTP", "\x16\x03\x01\x02\x00\x01\x00"),
)

var _ = It("refuses requests above the limit of held requests", func(ctx context.Context) {
	r := fleet.Routers[1]
	engine := fleet.Engines[0]
	Expect(engine.SetFaults(ctx, map[string]any{"freeze": true})).To(Succeed())
	ctx, cancel := context.WithCancel(ctx)
	caller := r.Caller("ws")
	const sentRequests = maxHeldRequests + 50
	responses := make(chan harness.Response, sentRequests)
	for range sentRequests {
		go func() { responses <- caller.Complete(ctx, request()) }()
	}
	for range sentRequests - maxHeldRequests {
		var resp harness.Response
		Eventually(responses).WithTimeout(eventualTimeout).Should(Receive(&resp))
		Expect(resp.Refusal).NotTo(BeNil(), "%+v", resp)
		Expect(resp.Refusal.Code).To(BeEquivalentTo("too_many_held"))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	}
	cancel()
	for range maxHeldRequests {
		Eventually(responses).WithTimeout(eventualTimeout).Should(Receive())
	}
	caller.Close()
	Expect(engine.SetFaults(context.Background(), map[string]any{})).To(Succeed())
	expectServes(context.Background(), r)
})
