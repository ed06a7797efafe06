package faultlink_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/faultlink"
)

func TestFaultlink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultlink")
}

// echo serves lines back until the test ends.
func echo() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				scanner := bufio.NewScanner(conn)
				for scanner.Scan() {
					_, _ = conn.Write(append(scanner.Bytes(), '\n'))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(address string) (net.Conn, <-chan string) {
	conn, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	lines := make(chan string, 16)
	go func() {
		defer close(lines)
		scanner := bufio.NewScanner(conn)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
	}()
	return conn, lines
}

var _ = Describe("Relay", func() {
	var relay *faultlink.Relay

	BeforeEach(func() {
		var err error
		relay, err = faultlink.New(faultlink.Options{
			Target: echo(),
			Client: func(_, _ net.Addr) string { return "c" },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
	})

	It("passes bytes and the end on", func() {
		conn, lines := dial(relay.Address())
		_, _ = conn.Write([]byte("a\n"))
		Eventually(lines).Should(Receive(Equal("a")))
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Eventually(lines).Should(BeClosed())
	})

	DescribeTable("holds a direction until the rule is lifted", func(rule faultlink.Rule) {
		conn, lines := dial(relay.Address())
		_, _ = conn.Write([]byte("a\n"))
		Eventually(lines).Should(Receive(Equal("a")))
		relay.SetClient("c", rule)
		_, _ = conn.Write([]byte("b\n"))
		Consistently(lines, 50*time.Millisecond).ShouldNot(Receive())
		relay.Clear()
		Eventually(lines).Should(Receive(Equal("b")))
	},
		Entry("both ways", faultlink.Cut()),
		Entry("forward", faultlink.Rule{Forward: faultlink.Way{Hold: true}}),
		Entry("back", faultlink.Rule{Back: faultlink.Way{Hold: true}}),
	)

	It("resets connections and refuses new ones", func() {
		_, lines := dial(relay.Address())
		relay.Set(faultlink.Rule{Reset: true})
		Eventually(lines).Should(BeClosed())
		_, lines = dial(relay.Address())
		Eventually(lines).Should(BeClosed())
	})

	It("stops while bytes are held", func() {
		conn, lines := dial(relay.Address())
		relay.Set(faultlink.Cut())
		_, _ = conn.Write([]byte("a\n"))
		relay.Close()
		Eventually(lines).Should(BeClosed())
	})
})
