package path_test

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
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/proctest"
	"github.com/umberhill/umberhill/internal/settings"
)

// writeCertificate writes a self-signed certificate, which is its own CA, and its
// key to files in dir.
func writeCertificate(dir string) settings.TLS {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "router"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		BasicConstraintsValid: true,
		IsCA:                  true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	write := func(path, kind string, data []byte) {
		Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(Succeed())
	}
	write(files.CertFile, "CERTIFICATE", raw)
	write(files.KeyFile, "PRIVATE KEY", rawKey)
	return files
}

var _ = Describe("A fleet with TLS", func() {
	It("links its routers by certificates and answers callers over TLS only", func(ctx context.Context) {
		callers := writeCertificate(GinkgoT().TempDir())
		peers := callers
		peers.CAFile = callers.CertFile
		fleet := proctest.Start(ctx, harness.Spec{
			Domains: []harness.Domain{{Name: "a", Routers: 2, Engines: []harness.Engine{{Models: []string{"m"}}}}},
			EditSettings: func(s *settings.Settings) {
				s.Callers.TLS = &callers
				s.Peer.TLS = &peers
			},
		})
		Expect(fleet.ApplyContract(ctx, harness.Contract("ws", 1))).To(Succeed())
		Eventually(func() (string, error) { return fleet.CLI(ctx, fleet.Routers[0], "status") }, eventualTimeout).
			Should(ContainSubstring("2 routers answered"))

		body := `{"model":"m","prompt":"x","max_tokens":1}`
		send := func(scheme string) (int, error) {
			client := &http.Client{Transport: &http.Transport{
				TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // the certificate does not name the loopback address that the harness assigned
			}}
			defer client.CloseIdleConnections()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+fleet.Routers[0].CallersAddress+"/v1/completions", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+harness.Key("ws"))
			resp, err := client.Do(req)
			if err != nil {
				return 0, err
			}
			defer resp.Body.Close()
			return resp.StatusCode, nil
		}
		Expect(send("https")).To(Equal(http.StatusOK))
		Expect(send("http")).To(Equal(http.StatusBadRequest))
	})
})
