package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/encoding/protowire"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/settings"
)

// counterSum returns a function that sums the counters of a name over all tags.
func counterSum(scope tally.TestScope, name string) func() int64 {
	return func() int64 {
		var sum int64
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == name {
				sum += c.Value()
			}
		}
		return sum
	}
}

// refusalCount returns a function that reads the count of refusals for a reason.
func refusalCount(scope tally.TestScope, reason string) func() int64 {
	return func() int64 {
		c := scope.Snapshot().Counters()["peer.refused+reason="+reason]
		if c == nil {
			return 0
		}
		return c.Value()
	}
}

func startWithScope(t testing.TB, name string) (*node, tally.TestScope) {
	scope := tally.NewTestScope("", nil)
	return start(t, name, func(o *Options) { o.Scope = scope }), scope
}

// dialRaw opens a TCP connection to a node.
func dialRaw(t testing.TB, n *node) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", n.seed.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// helloFrame returns a frame with a valid hello, altered by change.
func helloFrame(change func(*peerv1.Hello)) []byte {
	hello := &peerv1.Hello{Version: Version, Fleet: "f", Instance: "evil", Incarnation: 1, Domain: "d1"}
	if change != nil {
		change(hello)
	}
	frame, err := appendFrame(nil, &peerv1.Envelope{Body: &peerv1.Envelope_Hello{Hello: hello}})
	if err != nil {
		panic(err)
	}
	return frame
}

// dialWithHello returns a connection on which both sides have sent their hello, so
// that yamux starts next.
func dialWithHello(t testing.TB, n *node) net.Conn {
	t.Helper()
	conn := dialRaw(t, n)
	if _, err := conn.Write(helloFrame(nil)); err != nil {
		t.Fatal(err)
	}
	reader := &frameReader{r: unbufferedReader{conn}}
	if _, _, err := reader.next(maxHelloBytes); err != nil {
		t.Fatal(err)
	}
	return conn
}

// isClosed returns a function that reports whether the peer has closed conn. The
// function discards the data that conn has received.
func isClosed(conn net.Conn) func() bool {
	return func() bool {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := io.Copy(io.Discard, conn)
		var timeout net.Error
		return !errors.As(err, &timeout) || !timeout.Timeout()
	}
}

func TestInvalidHelloIsRefused(t *testing.T) {
	cases := map[string]func(*peerv1.Hello){
		"version":   func(h *peerv1.Hello) { h.Version = Version + 1 },
		"fleet":     func(h *peerv1.Hello) { h.Fleet = "other" },
		"self":      func(h *peerv1.Hello) { h.Instance = "a" },
		"malformed": func(h *peerv1.Hello) { h.Domain = "" },
	}
	for reason, change := range cases {
		t.Run(reason, func(t *testing.T) {
			g := NewWithT(t)
			a, scope := startWithScope(t, "a")
			conn := dialRaw(t, a)
			_, err := conn.Write(helloFrame(change))
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(refusalCount(scope, reason)).Should(BeEquivalentTo(1))
			g.Eventually(isClosed(conn)).Should(BeTrue())
			g.Expect(a.Live()).To(BeEmpty())
		})
	}
}

func TestWrongInstanceAtAddressIsRefused(t *testing.T) {
	g := NewWithT(t)
	a, scope := startWithScope(t, "a")
	c := start(t, "c")
	a.SetPeers([]settings.Seed{{Instance: "b", Address: c.seed.Address, Domain: "d1"}})
	g.Eventually(refusalCount(scope, "instance")).Should(BeNumerically(">=", 1))
	g.Expect(a.Live()).To(BeEmpty())
}

func TestOlderIncarnationIsRefusedWhileNewerIsLive(t *testing.T) {
	g := NewWithT(t)
	a, scope := startWithScope(t, "a")
	b := start(t, "b", func(o *Options) { o.Incarnation = 9 })
	linkAll(a, b)
	g.Eventually(a.Live).Should(HaveLen(1))
	old := dialRaw(t, a)
	_, err := old.Write(helloFrame(func(h *peerv1.Hello) { h.Instance, h.Incarnation = "b", 8 }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(refusalCount(scope, "old_incarnation")).Should(BeEquivalentTo(1))
	g.Expect(a.Live()[0].Incarnation).To(BeEquivalentTo(9))
}

func yamuxHeader(kind byte, flags uint16, stream, length uint32) []byte {
	header := []byte{0, kind, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}
	binary.BigEndian.PutUint16(header[2:], flags)
	binary.BigEndian.PutUint32(header[4:], stream)
	binary.BigEndian.PutUint32(header[8:], length)
	return header
}

// controlStreamData returns the yamux data frame that opens the control stream and
// carries payload.
func controlStreamData(payload []byte) []byte {
	const synData = 1
	out := yamuxHeader(0, synData, 1, uint32(len(payload)))
	return append(out, payload...)
}

func lengthPrefixed(payload []byte) []byte {
	return append(protowire.AppendVarint(nil, uint64(len(payload))), payload...)
}

func TestMalformedInputClosesTheLinkAndIsCounted(t *testing.T) {
	const ping, syn = 2, 1
	cases := map[string][]byte{
		"yamux version":      {9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		"yamux type":         {0, 200, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		"yamux ping":         yamuxHeader(ping, syn, 0, 7),
		"yamux data length":  yamuxHeader(0, syn, 1, streamWindowBytes+1),
		"frame length":       controlStreamData(protowire.AppendVarint(nil, MaxFrameBytes+1)),
		"frame length bytes": controlStreamData([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
		"protobuf":           controlStreamData(lengthPrefixed([]byte{0xff, 0xff, 0xff})),
		"second hello":       controlStreamData(helloFrame(nil)),
		"oversized heartbeat": controlStreamData(lengthPrefixed(protowire.AppendBytes(
			protowire.AppendTag(nil, 2, protowire.BytesType),
			protowire.AppendBytes(protowire.AppendTag(nil, 99, protowire.BytesType), make([]byte, maxHeartbeatBytes))))),
	}
	for name, input := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, scope := startWithScope(t, "a")
			b := start(t, "b")
			linkAll(a, b)
			conn := dialWithHello(t, a)
			_, err := conn.Write(input)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(counterSum(scope, "peer.malformed")).Should(BeEquivalentTo(1))
			g.Eventually(isClosed(conn)).Should(BeTrue())
			g.Eventually(a.Live).Should(HaveLen(1))
			g.Expect(a.Live()[0].Instance).To(BeEquivalentTo("b"))
		})
	}
}

// A violation that yamux finds must be counted whether or not streams of the session wait to
// be accepted when it ends. The order varies, hence the repeats.
func TestDuplicateStreamClosesTheLinkAndIsCounted(t *testing.T) {
	const syn, repeats = 1, 30
	cases := map[string][]uint32{
		"control stream": {1, 1},
		"call":           {1, 3, 3},
		"last of calls":  {1, 3, 5, 7, 9, 11, 13, 13},
	}
	for name, streams := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, scope := startWithScope(t, "a")
			var input []byte
			for _, id := range streams {
				input = append(input, yamuxHeader(0, syn, id, 0)...)
			}
			for i := range repeats {
				conn := dialWithHello(t, a)
				_, err := conn.Write(input)
				g.Expect(err).NotTo(HaveOccurred())
				g.Eventually(counterSum(scope, "peer.links_closed")).Should(BeEquivalentTo(i + 1))
				g.Eventually(isClosed(conn)).Should(BeTrue())
			}
			g.Expect(counterSum(scope, "peer.malformed")()).To(BeEquivalentTo(repeats))
		})
	}
}

// A message of an unknown kind, as a later version may send, must be counted and
// must not end the link.
func TestUnknownKindIsIgnored(t *testing.T) {
	g := NewWithT(t)
	a, _ := startWithScope(t, "a")
	conn := dialWithHello(t, a)
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 77, protowire.BytesType), []byte("x"))
	_, err := conn.Write(controlStreamData(lengthPrefixed(unknown)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() uint64 { return a.Traffic().Kinds["unknown"].MessagesReceived }).Should(BeEquivalentTo(1))
	g.Expect(a.Live()).To(HaveLen(1))
}

// A peer could exhaust memory by announcing large frames without sending them, if
// the read buffer were allocated by the announced length.
func TestMemoryIsBoundedByReceivedBytes(t *testing.T) {
	g := NewWithT(t)
	reader := newFrameReader(&truncatedReader{left: 100})
	_, _, err := reader.next(MaxFrameBytes)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(cap(reader.buf)).To(BeNumerically("<=", 2*readChunkBytes))
}

// truncatedReader announces a payload of MaxFrameBytes and ends after left bytes,
// one for each Read.
type truncatedReader struct {
	prefix []byte
	left   int
}

func (r *truncatedReader) Read(p []byte) (int, error) {
	if r.prefix == nil {
		r.prefix = protowire.AppendVarint(nil, MaxFrameBytes)
		return copy(p, r.prefix), nil
	}
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	p[0] = 1
	return 1, nil
}

// A peer that opens call streams without limit must lose its link, and the number
// of goroutines must stay bounded until then.
func TestFloodOfCallsClosesTheLink(t *testing.T) {
	g := NewWithT(t)
	a, scope := startWithScope(t, "a")
	a.onCall = func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	before := runtime.NumGoroutine()
	conn := dialWithHello(t, a)
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	// Without an open timeout, the client starts no goroutine for each stream, so
	// the increase in goroutines is the router's.
	cfg.StreamOpenTimeout = 0
	session, err := yamux.Client(conn, cfg)
	g.Expect(err).NotTo(HaveOccurred())
	defer session.Close()
	// The first stream is the control stream.
	control, err := session.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = control.Write(lengthPrefixed(nil))
	g.Expect(err).NotTo(HaveOccurred())
	call, err := appendFrame(nil, &peerv1.CallRequest{Method: "hang"})
	g.Expect(err).NotTo(HaveOccurred())
	maxGoroutines := 0
	for range 5000 {
		stream, err := session.OpenStream()
		if err != nil {
			break
		}
		_, _ = stream.Write(call)
		maxGoroutines = max(maxGoroutines, runtime.NumGoroutine())
	}
	g.Eventually(counterSum(scope, "peer.malformed")).Should(BeEquivalentTo(1))
	g.Expect(maxGoroutines - before).To(BeNumerically("<", 100))
}

// A peer that does not read must cost no more memory than one send queue, and must
// lose its link.
func TestPeerThatDoesNotReadIsDisconnected(t *testing.T) {
	g := NewWithT(t)
	a, scope := startWithScope(t, "a")
	conn := dialWithHello(t, a)
	_, err := conn.Write(controlStreamData(lengthPrefixed(nil)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(a.Live).Should(HaveLen(1))
	env := &peerv1.Envelope{Body: schedMessage(1).Body}
	env.GetSched().GetReport().Keys = make([]uint64, 1000)
	const messages = 10_000
	queued := 0
	for range messages {
		if a.Send("evil", env) {
			queued++
		}
	}
	g.Expect(queued).To(BeNumerically("<", messages))
	g.Eventually(a.Live).WithTimeout(5 * time.Second).Should(BeEmpty())
	// The peer leaves the live set at its timeout; its link closes after that.
	g.Eventually(counterSum(scope, "peer.links_closed")).Should(BeEquivalentTo(1))
	// Messages still queued when the link ends count as dropped too.
	kind := a.Traffic().Kinds["sched"]
	g.Expect(kind.Dropped).To(BeNumerically(">=", messages-queued))
	g.Expect(kind.Dropped + kind.MessagesSent).To(BeNumerically("<=", messages))
	g.Expect(counterSum(scope, "peer.links_closed")()).To(BeEquivalentTo(1))
}

// Connections that never send a hello must be bounded in number and time, so that
// they cannot keep other peers from linking.
func TestConnectionsWithoutHelloAreBounded(t *testing.T) {
	g := NewWithT(t)
	a, scope := startWithScope(t, "a")
	conns := make([]net.Conn, maxHandshakes+10)
	for i := range conns {
		conns[i] = dialRaw(t, a)
	}
	g.Eventually(refusalCount(scope, "busy")).Should(BeEquivalentTo(10))
	for _, c := range conns {
		g.Eventually(isClosed(c)).WithTimeout(2 * handshakeTimeout).Should(BeTrue())
	}
	b := start(t, "b")
	linkAll(a, b)
	g.Eventually(a.Live).WithTimeout(5 * time.Second).Should(HaveLen(1))
}

// A link whose peer sends no heartbeats and does not close the connection must be
// closed after the timeout.
func TestUnresponsivePeerTimesOut(t *testing.T) {
	g := NewWithT(t)
	a, scope := startWithScope(t, "a")
	conn := dialWithHello(t, a)
	_, err := conn.Write(controlStreamData(lengthPrefixed(nil)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(a.Live).Should(HaveLen(1))
	g.Eventually(a.Live).WithTimeout(5 * time.Second).Should(BeEmpty())
	g.Expect(counterSum(scope, "peer.timeouts")()).To(BeEquivalentTo(1))
}

// maxHeartbeatBytesPerSecond bounds the bytes that one router in a fleet of 8
// sends per second for heartbeats.
const maxHeartbeatBytesPerSecond = 300

func TestHeartbeatTrafficOfEightRoutersIsBounded(t *testing.T) {
	g := NewWithT(t)
	newHeartbeat := func() *peerv1.Heartbeat { return &peerv1.Heartbeat{Revision: 1 << 40, Watcher: true} }
	a := start(t, "a", func(o *Options) { o.NewHeartbeat = newHeartbeat })
	b := start(t, "b", func(o *Options) { o.NewHeartbeat = newHeartbeat })
	linkAll(a, b)
	g.Eventually(a.Live).Should(HaveLen(1))
	read := func() (wire, heartbeats uint64) {
		t := a.Traffic()
		return t.WireSent, t.Kinds["heartbeat"].MessagesSent
	}
	wire, heartbeats := read()
	g.Eventually(func() uint64 { _, n := read(); return n }).WithTimeout(10 * time.Second).Should(BeNumerically(">", heartbeats+40))
	wire2, heartbeats2 := read()
	bytesPerHeartbeat := float64(wire2-wire) / float64(heartbeats2-heartbeats)
	const peers = 7
	g.Expect(bytesPerHeartbeat * peers / defaultHeartbeatInterval.Seconds()).To(BeNumerically("<", maxHeartbeatBytesPerSecond))
}
