package badinput_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/peer"
)

const (
	seed            = 1
	hostileMessages = 2_000
)

// hello returns a valid hello message of an instance.
func hello(instance string) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Hello{Hello: &peerv1.Hello{
		Version: peer.Version, Fleet: harness.FleetName, Instance: instance, Incarnation: 1, Domain: "a",
	}}}
}

// encoded returns msg with its length prefix.
func encoded(msg proto.Message) []byte {
	GinkgoHelper()
	var out bytes.Buffer
	_, err := protodelim.MarshalTo(&out, msg)
	Expect(err).NotTo(HaveOccurred())
	return out.Bytes()
}

// openLink opens a link to r as a router of the fleet, including the hello exchange,
// and returns its session and control stream.
func openLink(r *harness.Router, instance string) (*yamux.Session, net.Conn) {
	GinkgoHelper()
	conn := dial(r.PeerAddress)
	_, err := conn.Write(encoded(hello(instance)))
	Expect(err).NotTo(HaveOccurred())
	length := make([]byte, 2)
	_, err = io.ReadFull(conn, length[:1])
	Expect(err).NotTo(HaveOccurred())
	size := uint64(length[0])
	if length[0] >= 0x80 {
		_, err = io.ReadFull(conn, length[1:])
		Expect(err).NotTo(HaveOccurred())
		size, _ = binary.Uvarint(length)
	}
	_, err = io.CopyN(io.Discard, conn, int64(size))
	Expect(err).NotTo(HaveOccurred())
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	session, err := yamux.Client(conn, cfg)
	Expect(err).NotTo(HaveOccurred())
	control, err := session.OpenStream()
	Expect(err).NotTo(HaveOccurred())
	return session, control
}

var _ = DescribeTable("A connection that is not from a router of the fleet is refused and counted",
	func(ctx context.Context, name string, input []byte) {
		r := fleet.Routers[0]
		before := metric(Default, r, name)
		conn := dial(r.PeerAddress)
		defer conn.Close()
		_, err := conn.Write(input)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func(g Gomega) {
			g.Expect(metric(g, r, name)).To(BeNumerically(">", before))
		}).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(Succeed())
		Eventually(func() bool { return isClosed(conn) }).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(BeTrue())
		expectServes(ctx, r)
	},
	Entry("HTTP", "umberhill_peer_malformed", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"+string(make([]byte, 100)))),
	Entry("length prefix without end", "umberhill_peer_malformed", []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
	Entry("another fleet", "umberhill_peer_refused", []byte{9, 10, 7, 8, 1, 18, 1, 'x', 26, 0}),
)

// randomMessage returns a well-formed message with invalid content, as a faulty or
// hostile router may send it.
func randomMessage(rng *rand.Rand) *peerv1.Envelope {
	uint64Value := func() uint64 {
		return []uint64{0, 1, math.MaxUint32, math.MaxUint64, rng.Uint64()}[rng.IntN(5)]
	}
	uint32Value := func() uint32 { return uint32(uint64Value()) }
	uint64Values := func() []uint64 {
		out := make([]uint64, rng.IntN(5))
		for i := range out {
			out[i] = uint64Value()
		}
		return out
	}
	uint32Values := func() []uint32 {
		out := make([]uint32, rng.IntN(5))
		for i := range out {
			out[i] = uint32Value()
		}
		return out
	}
	switch rng.IntN(4) {
	case 0:
		return &peerv1.Envelope{Body: &peerv1.Envelope_Sched{Sched: &schedv1.Message{
			Incarnation: uint32Value(), Sequence: uint32Value(),
			Report: &schedv1.Report{Keys: uint64Values(), Units: uint64Values(), States: uint32Values(), Levels: uint64Values()},
			Totals: &schedv1.Totals{Keys: uint64Values(), Others: uint64Values(), To: uint32Value()},
			Holds: []*schedv1.Hold{{
				Group: uint32Value(), Session: uint32Value(), Granted: uint32Values(), Returned: uint32Values(), Used: uint32Value(),
				Want: uint32Value(), Urgent: uint32Value(), Vs: uint64Value(), Step: uint64Value(), Avoid: uint64Value(), Solo: true, Refused: uint32Values(),
			}, {}},
			Leases: []*schedv1.Lease{{Group: uint32Value()}, {}},
			Usage:  &schedv1.Usage{}, Quota: &schedv1.Quota{},
		}}}
	case 1:
		return &peerv1.Envelope{Body: &peerv1.Envelope_Config{Config: &configv1.Message{Body: &configv1.Message_Pull{
			Pull: &configv1.Pull{Since: uint64Value()},
		}}}}
	case 2:
		return &peerv1.Envelope{Body: &peerv1.Envelope_Config{Config: &configv1.Message{Body: &configv1.Message_Push{
			Push: &configv1.Push{Revision: 1, Since: uint64Value(), Objects: []*configv1.Object{
				{Kind: "contracts", Name: "ws", Version: 1, Value: []byte("{")},
				{Kind: "nonsense", Name: "", Version: uint64Value(), Value: []byte("null"), Deleted: true},
				{},
			}},
		}}}}
	default:
		return &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: &quarantinev1.Message{}}}
	}
}

var _ = It("keeps running and serving after messages with invalid content from a linked peer", func(ctx context.Context) {
	r := fleet.Routers[0]
	before := metric(Default, r, "umberhill_peer_messages", `direction="received"`)
	session, control := openLink(r, "evil")
	defer session.Close()
	go func() { _, _ = io.Copy(io.Discard, control) }()
	rng := rand.New(rand.NewPCG(seed, seed))
	for range hostileMessages {
		_ = control.SetWriteDeadline(time.Now().Add(eventualTimeout))
		_, err := control.Write(encoded(randomMessage(rng)))
		Expect(err).NotTo(HaveOccurred())
	}
	// The router read all messages, so none of them closed the link.
	Eventually(func(g Gomega) {
		g.Expect(metric(g, r, "umberhill_peer_messages", `direction="received"`)).To(BeNumerically(">=", before+hostileMessages))
	}).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(Succeed())
	Expect(session.Close()).To(Succeed())
	Expect(r.IsRunning()).To(BeTrue(), r.Log())
	for _, router := range fleet.Routers {
		expectServes(ctx, router)
	}
	// A new configuration still comes into force on all routers.
	Expect(fleet.ApplyContract(ctx, harness.Contract("later", 2))).To(Succeed())
})

var _ = It("limits connections that never send a hello message", func(ctx context.Context) {
	r := fleet.Routers[0]
	const silentConns = 300
	before := metric(Default, r, "go_goroutines")
	conns := make([]net.Conn, silentConns)
	for i := range conns {
		conns[i] = dial(r.PeerAddress)
		DeferCleanup(conns[i].Close)
	}
	Eventually(func(g Gomega) {
		g.Expect(metric(g, r, "umberhill_peer_refused", `reason="busy"`)).To(BeNumerically(">", 0))
	}).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(Succeed())
	expectServes(ctx, r)
	for _, conn := range conns {
		Eventually(func() bool { return isClosed(conn) }).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(BeTrue())
	}
	Eventually(func(g Gomega) {
		g.Expect(metric(g, r, "go_goroutines")).To(BeNumerically("<", before+silentConns/4))
	}).WithTimeout(eventualTimeout).WithPolling(pollInterval).Should(Succeed())
})
