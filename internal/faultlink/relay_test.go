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

// startEchoServer returns the address of a server that sends every line back until the
// test ends.
func startEchoServer() string {
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

// dial returns a connection and a channel of the lines that it receives. The channel is
// closed when the connection ends.
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
			Target:     startEchoServer(),
			ClientName: func(_, _ net.Addr) string { return "c" },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
	})

	It("relays data and the end of the stream", func() {
		conn, lines := dial(relay.Address())
		_, _ = conn.Write([]byte("a\n"))
		Eventually(lines).Should(Receive(Equal("a")))
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		Eventually(lines).Should(BeClosed())
	})

	DescribeTable("holds a direction back until the rule is removed", func(rule faultlink.Rule) {
		conn, lines := dial(relay.Address())
		_, _ = conn.Write([]byte("a\n"))
		Eventually(lines).Should(Receive(Equal("a")))
		relay.SetClient("c", rule)
		_, _ = conn.Write([]byte("b\n"))
		Consistently(lines, 50*time.Millisecond).ShouldNot(Receive())
		relay.Clear()
		Eventually(lines).Should(Receive(Equal("b")))
	},
		Entry("both directions", faultlink.Partition()),
		Entry("forward", faultlink.Rule{Forward: faultlink.Impairment{Hold: true}}),
		Entry("backward", faultlink.Rule{Backward: faultlink.Impairment{Hold: true}}),
	)

	It("resets connections and refuses new ones", func() {
		_, lines := dial(relay.Address())
		relay.SetDefault(faultlink.Rule{Reset: true})
		Eventually(lines).Should(BeClosed())
		_, lines = dial(relay.Address())
		Eventually(lines).Should(BeClosed())
	})

	It("closes while data is held back", func() {
		conn, lines := dial(relay.Address())
		relay.SetDefault(faultlink.Partition())
		_, _ = conn.Write([]byte("a\n"))
		relay.Close()
		Eventually(lines).Should(BeClosed())
	})
})
