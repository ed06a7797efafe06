package tlsfiles_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/tlsfiles"
)

// silent is a peer.Handler that does nothing.
type silent struct{}

func (silent) Receive(peer.Peer, *peerv1.Envelope) {}
func (silent) PeersChanged([]peer.Peer)                 {}
func (silent) Serve(context.Context, peer.Peer, string, []byte) ([]byte, error) {
	return nil, nil
}

// router starts a mesh with a TLS configuration, nil for plain TCP.
func router(t *testing.T, name string, cfg *tls.Config, scope tally.Scope) (*peer.Mesh, settings.Seed) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mesh := peer.New(peer.Options{
		Fleet: "f", Self: ids.Instance(name), Incarnation: 1, Domain: "d", Listener: listener, TLS: cfg, Scope: scope,
		Handler: silent{}, Logger: logrus.NewEntry(logger), HeartbeatInterval: 50 * time.Millisecond, Timeout: 500 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- mesh.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return mesh, settings.Seed{Instance: name, Address: listener.Addr().String(), Domain: "d"}
}

// Routers with certificates of one CA link; a router without one, and one of
// another CA, do not, and cost the others nothing.
func TestLinksNeedACertificateOfTheCA(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	cfg, foreign := paths(t), paths(t)
	ours.write(g, cfg, 10)
	theirs.write(g, foreign, 20)
	good, err := tlsfiles.Peer(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	bad, err := tlsfiles.Peer(foreign)
	g.Expect(err).NotTo(HaveOccurred())
	scope := tally.NewTestScope("", nil)
	c, seedC := router(t, "c", good, scope)
	d, seedD := router(t, "d", good, tally.NoopScope)
	plain, _ := router(t, "a", nil, tally.NoopScope)
	stranger, _ := router(t, "b", bad, tally.NoopScope)
	for _, m := range []*peer.Mesh{c, d, plain, stranger} {
		m.SetPeers([]settings.Seed{seedC, seedD})
	}
	g.Eventually(c.Live).WithTimeout(10 * time.Second).Should(HaveLen(1))
	g.Expect(c.Live()[0].Instance).To(Equal(ids.Instance("d")))
	failures := func() int64 {
		if counter := scope.Snapshot().Counters()["peer.dial_failures+"]; counter != nil {
			return counter.Value()
		}
		return 0
	}
	g.Eventually(failures).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 4))
	g.Expect(plain.Live()).To(BeEmpty())
	g.Expect(stranger.Live()).To(BeEmpty())
	g.Expect(c.Live()).To(HaveLen(1))
}
