package daemon

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/connlimit"
	"github.com/umberhill/umberhill/internal/settings"
)

// Guards against a caller whose head takes too long and that gets no response.
func TestSlowHeadGetsResponse(t *testing.T) {
	t.Parallel()
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)
	for name, config := range map[string]*tls.Config{
		"without TLS": nil,
		"with TLS":    {Certificates: certificate.TLS.Certificates},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectResponseToSlowHead(t, config)
		})
	}
}

func expectResponseToSlowHead(t *testing.T, config *tls.Config) {
	t.Helper()
	d := &Daemon{settings: &settings.Settings{}, callerConns: connlimit.New(0, func(connlimit.Close) {}), scope: tally.NoopScope}
	d.settings.Callers.ReadSeconds, d.settings.Callers.IdleSeconds = 30, 90
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := d.callersServer()
	d.tls.callers = config
	listener := d.trackCallers(tcp)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if config != nil {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
	}
	if err := c.SetDeadline(time.Now().Add(headerTimeout + 5*time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: "); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("got error %v, want status 408", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("got status %d, want 408", resp.StatusCode)
	}
}
