package tlsfiles_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/tlsfiles"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(g *WithT) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &authority{cert: cert, key: key}
}

// write puts a certificate with a serial number into the files of cfg.
func (a *authority) write(g *WithT, cfg settings.TLS, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "r"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	put(g, cfg.CertFile, "CERTIFICATE", der)
	put(g, cfg.KeyFile, "PRIVATE KEY", keyDER)
	put(g, cfg.CAFile, "CERTIFICATE", a.cert.Raw)
}

func put(g *WithT, name, kind string, der []byte) {
	g.Expect(os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

func paths(t *testing.T) settings.TLS {
	dir := t.TempDir()
	return settings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
	}
}

const handshakeBound = 5 * time.Second

// handshake returns the serial number that the server shows.
func handshake(server, client *tls.Config) (int64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(handshakeBound))
		served <- tls.Server(conn, server).Handshake()
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(handshakeBound))
	conn := tls.Client(raw, client)
	err = conn.Handshake()
	if err != nil {
		raw.Close()
	}
	// The server's verdict on the client comes after the client's handshake.
	if serverErr := <-served; err == nil {
		err = serverErr
	}
	if err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutual(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	cfg, foreign := paths(t), paths(t)
	ours.write(g, cfg, 10)
	theirs.write(g, foreign, 20)
	peer, err := tlsfiles.Peer(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	stranger, err := tlsfiles.Peer(foreign)
	g.Expect(err).NotTo(HaveOccurred())
	serial, err := handshake(peer, peer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(BeEquivalentTo(10))
	_, err = handshake(peer, stranger)
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(stranger, peer)
	g.Expect(err).To(HaveOccurred())
	anonymous := &tls.Config{InsecureSkipVerify: true}
	_, err = handshake(peer, anonymous)
	g.Expect(err).To(HaveOccurred())
	server, err := tlsfiles.Server(cfg, false)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(server, anonymous)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestReloadKeepsOldWhereNewIsBad(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(g)
	cfg := paths(t)
	ca.write(g, cfg, 1)
	scope := tally.NewTestScope("", nil)
	source, err := tlsfiles.Open(cfg, tlsfiles.Options{Scope: scope})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- source.Run(ctx) }()
	defer func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
	}()
	peer, err := source.Peer()
	g.Expect(err).NotTo(HaveOccurred())
	serial := func() int64 {
		n, err := handshake(peer, peer)
		g.Expect(err).NotTo(HaveOccurred())
		return n
	}
	g.Expect(serial()).To(BeEquivalentTo(1))
	ca.write(g, cfg, 2)
	g.Eventually(serial).WithTimeout(10 * time.Second).Should(BeEquivalentTo(2))
	g.Expect(os.WriteFile(cfg.KeyFile, []byte("broken"), 0o600)).To(Succeed())
	g.Eventually(func() int64 {
		counter := scope.Snapshot().Counters()["tls.reload_failures+"]
		if counter == nil {
			return 0
		}
		return counter.Value()
	}).WithTimeout(10 * time.Second).Should(BeNumerically(">=", 1))
	g.Expect(serial()).To(BeEquivalentTo(2))
}

func TestBadFilesAreNamed(t *testing.T) {
	g := NewWithT(t)
	cfg := paths(t)
	_, err := tlsfiles.Server(cfg, false)
	g.Expect(err).To(MatchError(ContainSubstring(cfg.CertFile)))
	newAuthority(g).write(g, cfg, 1)
	cfg.CAFile = ""
	_, err = tlsfiles.Peer(cfg)
	g.Expect(err).To(MatchError(ContainSubstring("ca_file")))
}
