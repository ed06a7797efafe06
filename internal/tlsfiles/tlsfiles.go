// Package tlsfiles builds TLS configurations from certificate files and reloads
// the files when they change. If the new files are invalid, the certificates
// loaded before stay in use, so that a faulty or incomplete rotation does not
// interrupt service.
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
	// checkInterval is the minimum time between two checks, made during a
	// handshake, whether the files changed. It covers file systems that send no
	// change notifications.
	checkInterval = time.Second
	// settleDelay is the time without further change notifications after which the
	// files are reloaded, as the files of one rotation change one by one.
	settleDelay = 50 * time.Millisecond
	// logRate, in lines per second, and logBurst, in lines, bound the log lines
	// about reloading.
	logRate  = 0.1
	logBurst = 5
)

// Options configures a Source.
type Options struct {
	// Logger receives the outcomes of reloading. Default: the standard logrus
	// logger.
	Logger *logrus.Entry
	// Scope is the parent scope of the metrics. Default: no metrics.
	Scope tally.Scope
}

// Source holds the certificates last loaded from the files. Its methods are safe
// for concurrent use.
type Source struct {
	cfg      settings.TLS
	changes  *obs.ChangeLogger
	reloads  tally.Counter
	failures tally.Counter
	now      func() time.Time
	// reloadMu serializes reload.
	reloadMu sync.Mutex

	mu        sync.Mutex
	loaded    credentials
	versions  [maxFiles]fileVersion
	checkedAt time.Time
}

// credentials are the content of the files.
type credentials struct {
	certificate *tls.Certificate
	// authorities is nil if the settings name no CA file.
	authorities *x509.CertPool
}

// maxFiles is the largest number of files that a settings.TLS names.
const maxFiles = 3

// fileVersion identifies a version of a file by its modification time and size in
// bytes.
type fileVersion struct {
	modifiedAt time.Time
	size       int64
}

// Open loads the files and returns a Source for them. It returns an error that
// names the file if one cannot be read or is invalid.
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
		changes:  obs.NewChangeLogger(opts.Logger, logRate, logBurst),
		reloads:  scope.Counter("reloads"),
		failures: scope.Counter("reload_failures"),
		now:      time.Now,
	}
	s.versions = s.statFiles()
	loaded, err := load(cfg)
	if err != nil {
		return nil, err
	}
	s.loaded = loaded
	s.checkedAt = s.now()
	return s, nil
}

// Server returns the configuration of a listener for cfg. With mutual set,
// clients must present a certificate signed by a CA of the CA file.
func Server(cfg settings.TLS, mutual bool) (*tls.Config, error) {
	s, err := Open(cfg, Options{})
	if err != nil {
		return nil, err
	}
	return s.Server(mutual)
}

// Peer returns the configuration for both sides of the links between routers, see
// Source.Peer.
func Peer(cfg settings.TLS) (*tls.Config, error) {
	s, err := Open(cfg, Options{})
	if err != nil {
		return nil, err
	}
	return s.Peer()
}

// Server returns the configuration of a listener. With mutual set, clients must
// present a certificate signed by a CA of the CA file; it is an error if the
// settings name no CA file.
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

// Peer returns the configuration for both sides of a link. Each side must present
// a certificate signed by a CA of the CA file. Peers are dialed by IP address and
// send their name in the hello message, so the names in the certificate are not
// checked.
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

// verify checks the certificate chain that the remote side presented against the
// CA file.
func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the remote side presented no certificate")
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
	return errors.Wrap(err, "verify the remote side's certificate")
}

// Run reloads the files as soon as they change, until ctx ends. Without Run,
// changes take effect at the first handshake that is at least checkInterval after
// the last check.
func (s *Source) Run(ctx context.Context) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return errors.Wrap(err, "watch certificate files")
	}
	defer func() { _ = watcher.Close() }()
	// The directories are watched, because a watch on a file ends when the file is
	// replaced by a rename.
	for _, name := range s.fileNames() {
		if err := watcher.Add(filepath.Dir(name)); err != nil {
			return errors.Wrapf(err, "watch %s", filepath.Dir(name))
		}
	}
	s.watch(ctx, watcher)
	return nil
}

// watch reloads the files once no notification has arrived for settleDelay. It
// also reloads after a watch error, which may stand for lost notifications.
func (s *Source) watch(ctx context.Context, watcher *fsnotify.Watcher) {
	timer := time.NewTimer(settleDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-watcher.Events:
			if !ok {
				return
			}
			timer.Reset(settleDelay)
		case _, ok := <-watcher.Errors:
			if !ok {
				return
			}
			timer.Reset(settleDelay)
		case <-timer.C:
			s.reload()
		}
	}
}

// current returns the certificates in use. It first reloads the files if the last
// check is at least checkInterval ago.
func (s *Source) current() credentials {
	s.mu.Lock()
	due := s.now().Sub(s.checkedAt) >= checkInterval
	s.mu.Unlock()
	if due {
		s.reload()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// reload loads the files if they changed since the last check.
func (s *Source) reload() {
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	versions := s.statFiles()
	s.mu.Lock()
	s.checkedAt = s.now()
	unchanged := versions == s.versions
	s.versions = versions
	s.mu.Unlock()
	if unchanged {
		return
	}
	loaded, err := load(s.cfg)
	if err != nil {
		s.failures.Inc(1)
		s.changes.Set(logrus.WarnLevel, "certificate files "+s.cfg.CertFile, "invalid; the previous certificates stay in use",
			logrus.Fields{"error": err.Error()})
		return
	}
	s.mu.Lock()
	s.loaded = loaded
	s.mu.Unlock()
	s.reloads.Inc(1)
	s.changes.Set(logrus.InfoLevel, "certificate files "+s.cfg.CertFile, "in use", nil)
}

// fileNames returns the names of the files.
func (s *Source) fileNames() []string {
	names := []string{s.cfg.CertFile, s.cfg.KeyFile}
	if s.cfg.CAFile != "" {
		names = append(names, s.cfg.CAFile)
	}
	return names
}

// statFiles returns the versions of the files, zero for a file that cannot be read.
func (s *Source) statFiles() [maxFiles]fileVersion {
	var versions [maxFiles]fileVersion
	for i, name := range s.fileNames() {
		if info, err := os.Stat(name); err == nil {
			versions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return versions
}

func load(cfg settings.TLS) (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		return credentials{}, errors.Wrapf(err, "read certificate %s and key %s", cfg.CertFile, cfg.KeyFile)
	}
	if cfg.CAFile == "" {
		return credentials{certificate: &certificate}, nil
	}
	pem, err := os.ReadFile(cfg.CAFile)
	if err != nil {
		return credentials{}, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, errors.Newf("CA file %s holds no certificate", cfg.CAFile)
	}
	return credentials{certificate: &certificate, authorities: pool}, nil
}
