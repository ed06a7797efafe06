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

// noopHandler is a peer.Handler that does nothing.
type noopHandler struct{}

func (noopHandler) Receive(peer.Peer, *peerv1.Envelope) {}
func (noopHandler) PeersChanged([]peer.Peer)            {}
func (noopHandler) Serve(context.Context, peer.Peer, string, []byte) ([]byte, error) {
	return nil, nil
}

// startRouter starts a mesh with a TLS configuration, or with plain TCP if cfg is
// nil.
func startRouter(t *testing.T, name string, cfg *tls.Config, scope tally.Scope) (*peer.Mesh, settings.Seed) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mesh := peer.New(peer.Options{
		Fleet: "f", Self: ids.Instance(name), Incarnation: 1, Domain: "d", Listener: listener, TLS: cfg, Scope: scope,
		Handler: noopHandler{}, Logger: logrus.NewEntry(logger), HeartbeatInterval: 50 * time.Millisecond, Timeout: 500 * time.Millisecond,
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

// TestLinksRequireCertificateOfTheCA guards against links to a router that uses
// plain TCP or a certificate of another CA. Such a router must not affect the links
// between the routers with certificates of the CA.
func TestLinksRequireCertificateOfTheCA(t *testing.T) {
	g := NewWithT(t)
	ca, foreignCA := newAuthority(g), newAuthority(g)
	cfg, foreignCfg := certificatePaths(t), certificatePaths(t)
	ca.write(g, cfg, 10)
	foreignCA.write(g, foreignCfg, 20)
	ownTLS, err := tlsfiles.Peer(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	foreignTLS, err := tlsfiles.Peer(foreignCfg)
	g.Expect(err).NotTo(HaveOccurred())
	scope := tally.NewTestScope("", nil)
	c, seedC := startRouter(t, "c", ownTLS, scope)
	d, seedD := startRouter(t, "d", ownTLS, tally.NoopScope)
	plain, _ := startRouter(t, "a", nil, tally.NoopScope)
	foreign, _ := startRouter(t, "b", foreignTLS, tally.NoopScope)
	for _, m := range []*peer.Mesh{c, d, plain, foreign} {
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
	g.Expect(foreign.Live()).To(BeEmpty())
	g.Expect(c.Live()).To(HaveLen(1))
}
