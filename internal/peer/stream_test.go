package peer

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/member"
)

// heldConn is a connection whose Close blocks until released, and whose writes fail while
// broken is set.
type heldConn struct {
	net.Conn
	closing, released chan struct{}
	broken            atomic.Bool
}

func (c *heldConn) Write(p []byte) (int, error) {
	if c.broken.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *heldConn) Close() error {
	close(c.closing)
	<-c.released
	return c.Conn.Close()
}

// Guards against readers and writers that use a processor from the end of a session until
// its connection is closed.
func TestEndOfSessionDoesNotUseTheProcessor(t *testing.T) {
	const synWindow, syn = 1, 1
	ends := map[string]func(l *link, local *heldConn, remote net.Conn){
		"closed here":        func(l *link, _ *heldConn, _ net.Conn) { go l.session.Close() },
		"closed by the peer": func(_ *link, _ *heldConn, remote net.Conn) { _ = remote.Close() },
		"timeout of a call that the peer does not accept": func(l *link, _ *heldConn, _ net.Conn) { _, _ = l.session.OpenStream() },
		"failed write": func(l *link, local *heldConn, _ net.Conn) {
			local.broken.Store(true)
			_, _ = l.session.OpenStream()
		},
		"malformed header": func(_ *link, _ *heldConn, remote net.Conn) {
			_, _ = remote.Write([]byte{9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
		},
		"duplicate stream": func(_ *link, _ *heldConn, remote net.Conn) {
			for range 2 {
				_, _ = remote.Write(yamuxHeader(synWindow, syn, 2, 0))
			}
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			local, remote := net.Pipe()
			conn := &heldConn{Conn: local, closing: make(chan struct{}), released: make(chan struct{})}
			peer, err := yamux.Server(remote, quietConfig())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			l := newLink(start(t, "a").Mesh, 1, member.Info{Instance: "b"}, conn, true)
			ended := make(chan error, 3)
			go func() { ended <- l.runSession() }()
			if _, err := peer.AcceptStream(); err != nil {
				t.Fatal(err)
			}
			<-l.opened
			stream, err := l.openCall(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			go func() { ended <- fill(stream) }()
			go func() { _, err := stream.Read(make([]byte, 1)); ended <- err }()
			end(l, conn, remote)
			<-conn.closing
			const held, limit = 500 * time.Millisecond, 100 * time.Millisecond
			before := cpuTime(t)
			time.Sleep(held)
			if used := cpuTime(t) - before; used > limit {
				t.Errorf("%v of processor time in %v after the end of the session, want at most %v", used, held, limit)
			}
			close(conn.released)
			for range 3 {
				if err := <-ended; err == nil {
					t.Error("a reader or writer ended without an error")
				}
			}
		})
	}
}

// fill writes until an error, which the stream's window causes to block first.
func fill(w io.Writer) error {
	buf := make([]byte, streamWindowBytes)
	for {
		if _, err := w.Write(buf); err != nil {
			return err
		}
	}
}

func quietConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	return cfg
}

// Guards against a link that stays half closed after its session has ended: the peer must
// be reported lost once, and be linked again when it connects again.
func TestPeerIsLostOnceAndLinkedAgain(t *testing.T) {
	ends := map[string]func(a *node, session *yamux.Session, stopHeartbeats func()){
		"closed by the peer": func(_ *node, session *yamux.Session, _ func()) { _ = session.Close() },
		"timeout of a call that the peer does not accept": func(a *node, _ *yamux.Session, _ func()) {
			_, _ = a.Call(context.Background(), "evil", "hang", nil)
		},
		"silent peer": func(_ *node, _ *yamux.Session, stopHeartbeats func()) { stopHeartbeats() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, scope := startWithScope(t, "a")
			session, stop := connectPeer(t, a)
			g.Eventually(a.Live).Should(HaveLen(1))
			end(a, session, stop)
			g.Eventually(counterSum(scope, "peer.links_closed")).WithTimeout(5 * time.Second).Should(BeEquivalentTo(1))
			g.Eventually(a.Live).Should(BeEmpty())
			stop()
			connectPeer(t, a)
			g.Eventually(a.Live).Should(HaveLen(1))
			g.Expect(counterSum(scope, "peer.links_closed")()).To(BeEquivalentTo(1))
		})
	}
}

// Guards against calls that outlast their context while a peer sends heartbeats but accepts
// no calls.
func TestCallEndsWithItsContextAtPeerThatAcceptsNone(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a")
	connectPeer(t, a)
	g.Eventually(a.Live).Should(HaveLen(1))
	const calls = 3 * acceptBacklog
	ended := make(chan error, calls)
	for range calls {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := a.Call(ctx, "evil", "hang", nil)
			ended <- err
		}()
	}
	for range calls {
		var err error
		g.Eventually(ended).WithTimeout(2 * time.Second).Should(Receive(&err))
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
	}
}

// connectPeer links to a node as the peer "evil", which accepts no calls. It sends
// heartbeats until stop is called.
func connectPeer(t *testing.T, n *node) (session *yamux.Session, stop func()) {
	t.Helper()
	session, err := yamux.Client(dialWithHello(t, n), quietConfig())
	if err != nil {
		t.Fatal(err)
	}
	control, err := session.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	heartbeat, _, err := encode(&peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: &peerv1.Heartbeat{}}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if _, err := control.Write(heartbeat); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(func() { _ = session.Close(); stop() })
	return session, stop
}
