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

// authority is a CA that signs certificates.
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

// write creates a certificate with a serial number and writes it, its key and the
// CA's certificate to the files of cfg.
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
	writePEM(g, cfg.CertFile, "CERTIFICATE", der)
	writePEM(g, cfg.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(g, cfg.CAFile, "CERTIFICATE", a.cert.Raw)
}

func writePEM(g *WithT, name, kind string, der []byte) {
	g.Expect(os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

func certificatePaths(t *testing.T) settings.TLS {
	dir := t.TempDir()
	return settings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem"),
	}
}

const handshakeTimeout = 5 * time.Second

// handshake performs a handshake between two configurations and returns the serial
// number of the server's certificate.
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
		_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
		served <- tls.Server(conn, server).Handshake()
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn := tls.Client(raw, client)
	err = conn.Handshake()
	if err != nil {
		raw.Close()
	}
	// The server checks the client's certificate after the client's handshake has
	// returned.
	if serverErr := <-served; err == nil {
		err = serverErr
	}
	if err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLSRequiresCertificateOfTheCA(t *testing.T) {
	g := NewWithT(t)
	ca, foreignCA := newAuthority(g), newAuthority(g)
	cfg, foreignCfg := certificatePaths(t), certificatePaths(t)
	ca.write(g, cfg, 10)
	foreignCA.write(g, foreignCfg, 20)
	peer, err := tlsfiles.Peer(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	foreign, err := tlsfiles.Peer(foreignCfg)
	g.Expect(err).NotTo(HaveOccurred())
	serial, err := handshake(peer, peer)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(BeEquivalentTo(10))
	_, err = handshake(peer, foreign)
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(foreign, peer)
	g.Expect(err).To(HaveOccurred())
	anonymous := &tls.Config{InsecureSkipVerify: true}
	_, err = handshake(peer, anonymous)
	g.Expect(err).To(HaveOccurred())
	server, err := tlsfiles.Server(cfg, false)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(server, anonymous)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestReloadKeepsOldCertificateWhenNewFilesAreInvalid(t *testing.T) {
	g := NewWithT(t)
	ca := newAuthority(g)
	cfg := certificatePaths(t)
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

func TestErrorsNameTheInvalidFileOrSetting(t *testing.T) {
	g := NewWithT(t)
	cfg := certificatePaths(t)
	_, err := tlsfiles.Server(cfg, false)
	g.Expect(err).To(MatchError(ContainSubstring(cfg.CertFile)))
	newAuthority(g).write(g, cfg, 1)
	cfg.CAFile = ""
	_, err = tlsfiles.Peer(cfg)
	g.Expect(err).To(MatchError(ContainSubstring("ca_file")))
}
