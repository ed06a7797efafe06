// Package tlsfiles makes TLS configurations from certificate files and reads
// the files again when they change. Where the new files are bad, the old ones
// stay in use.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// checkInterval is how often a handshake looks whether the files changed,
	// for file systems that notify nobody.
	checkInterval = time.Second
	// settle is the quiet time after a notice, as files change one by one.
	settle = 50 * time.Millisecond
	// logRate and logBurst bound the lines about reloading.
	logRate  = 0.1
	logBurst = 5
)

// Options of a Source.
type Options struct {
	// Logger for changes of state. Default: logrus' standard logger.
	Logger *logrus.Entry
	// Scope of the metrics. Default: none.
	Scope tally.Scope
}

// Source holds the certificates that the files named last.
type Source struct {
	cfg       settings.TLS
	changes   *obs.Changes
	reloads   tally.Counter
	failures  tally.Counter
	now       func() time.Time
	reloading sync.Mutex

	mu      sync.Mutex
	loaded  material
	stamps  [files]stamp
	checked time.Time
}

// material is what the files hold.
type material struct {
	certificate *tls.Certificate
	// authorities is nil where no CA file is named.
	authorities *x509.CertPool
}

// files is the number of files that a settings.TLS names.
const files = 3

// stamp tells whether a file changed.
type stamp struct {
	modified time.Time
	size     int64
}

// Open reads the files for the first time; it fails where they are bad.
func Open(cfg settings.TLS, opts Options) (*Source, error) {
	if opts.Logger == nil {
		opts.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	scope := opts.Scope.SubScope("tls")
	s := &Source{
		cfg:      cfg,
		changes:  obs.NewChanges(opts.Logger, logRate, logBurst),
		reloads:  scope.Counter("reloads"),
		failures: scope.Counter("reload_failures"),
		now:      time.Now,
	}
	s.stamps = s.stampFiles()
	loaded, err := load(cfg)
	if err != nil {
		return nil, err
	}
	s.loaded = loaded
	s.checked = s.now()
	return s, nil
}

// Server returns the configuration of a listener for cfg. With mutual set, the
// other side must show a certificate signed by the CA file.
func Server(cfg settings.TLS, mutual bool) (*tls.Config, error) {
	s, err := Open(cfg, Options{})
	if err != nil {
		return nil, err
	}
	return s.Server(mutual)
}

// Peer returns the configuration for both sides of the links between routers.
func Peer(cfg settings.TLS) (*tls.Config, error) {
	s, err := Open(cfg, Options{})
	if err != nil {
		return nil, err
	}
	return s.Peer()
}

// Server returns the configuration of a listener.
func (s *Source) Server(mutual bool) (*tls.Config, error) {
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current().certificate, nil },
	}
	if !mutual {
		return cfg, nil
	}
	if s.cfg.CAFile == "" {
		return nil, errors.New("ca_file: required for mutual TLS")
	}
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.VerifyConnection = s.verify
	return cfg, nil
}

// Peer returns the configuration for both sides of a link. Each side must show
// a certificate signed by the CA file. Peers are reached by IP number and say
// their name in the greeting, so the certificate's name is not compared.
func (s *Source) Peer() (*tls.Config, error) {
	cfg, err := s.Server(true)
	if err != nil {
		return nil, err
	}
	cfg.MinVersion = tls.VersionTLS13
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.current().certificate, nil
	}
	cfg.InsecureSkipVerify = true // VerifyConnection checks the chain against the CA file.
	return cfg, nil
}

// verify checks the chain that the other side showed.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         s.current().authorities,
		Intermediates: intermediates,
		CurrentTime:   s.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify the other side's certificate")
}

// Run reads the files as soon as they change, until ctx ends. Without Run they
// are read at the first handshake that comes checkInterval later.
func (s *Source) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return errors.Wrap(err, "watch certificate files")
	}
	defer func() { _ = watcher.Close() }()
	// Directories are watched, as a rename takes a watched file away.
	for _, name := range s.names() {
		if err := watcher.Add(filepath.Dir(name)); err != nil {
			return errors.Wrapf(err, "watch %s", filepath.Dir(name))
		}
	}
	s.watch(ctx, watcher)
	return nil
}

func (s *Source) watch(ctx context.Context, watcher *fsnotify.Watcher) {
	timer := time.NewTimer(settle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-watcher.Events:
			if !ok {
				return
			}
			timer.Reset(settle)
		case _, ok := <-watcher.Errors:
			if !ok {
				return
			}
			timer.Reset(settle)
		case <-timer.C:
			s.reload()
		}
	}
}

// current returns the certificates in use after a look at the files.
func (s *Source) current() material {
	s.mu.Lock()
	due := s.now().Sub(s.checked) >= checkInterval
	s.mu.Unlock()
	if due {
		s.reload()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// reload reads the files where they changed since they were last looked at.
func (s *Source) reload() {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	stamps := s.stampFiles()
	s.mu.Lock()
	s.checked = s.now()
	same := stamps == s.stamps
	s.stamps = stamps
	s.mu.Unlock()
	if same {
		return
	}
	loaded, err := load(s.cfg)
	if err != nil {
		s.failures.Inc(1)
		s.changes.Set(logrus.WarnLevel, "certificate files "+s.cfg.CertFile, "bad, the old ones stay in use",
			logrus.Fields{"error": err.Error()})
		return
	}
	s.mu.Lock()
	s.loaded = loaded
	s.mu.Unlock()
	s.reloads.Inc(1)
	s.changes.Set(logrus.InfoLevel, "certificate files "+s.cfg.CertFile, "in use", nil)
}

func (s *Source) names() []string {
	names := []string{s.cfg.CertFile, s.cfg.KeyFile}
	if s.cfg.CAFile != "" {
		names = append(names, s.cfg.CAFile)
	}
	return names
}

func (s *Source) stampFiles() [files]stamp {
	var stamps [files]stamp
	for i, name := range s.names() {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

func load(cfg settings.TLS) (material, error) {
	certificate, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		return material{}, errors.Wrapf(err, "read certificate %s and key %s", cfg.CertFile, cfg.KeyFile)
	}
	if cfg.CAFile == "" {
		return material{certificate: &certificate}, nil
	}
	pem, err := os.ReadFile(cfg.CAFile)
	if err != nil {
		return material{}, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return material{}, errors.Newf("%s holds no certificate", cfg.CAFile)
	}
	return material{certificate: &certificate, authorities: pool}, nil
}
